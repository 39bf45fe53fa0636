package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounded is a writer of log lines that never blocks who logs. Lines go through
// a buffer to the output. Those beyond the rate, and those that come while the
// buffer is full because the output's reader is stuck, are dropped; how many is
// written when lines get through again.
//
// Ordinary lines, of requests that went well, have a part of the rate only. The
// failure guarded against is a flood of them that leaves no room for the line of
// the one request that failed.
type Bounded struct {
	out     io.Writer
	process string
	perSec  int
	lines   chan []byte
	dropped atomic.Uint64
	ended   chan struct{}
	mu      sync.Mutex
	second  int64
	// inSec and ordinary count the second's lines, all and ordinary ones.
	inSec, ordinary int
	closed          bool
}

const (
	// bufferedLines bounds the memory that a stuck reader costs: 1,024 lines of
	// some 300 bytes.
	bufferedLines = 1024
	// ordinaryShare is the part of the rate that ordinary lines may take.
	ordinaryShare = 0.7
	// closeTimeout bounds the wait for a stuck reader at the end.
	closeTimeout = 200 * time.Millisecond
)

// NewBounded returns a writer of at most perSecond lines a second to out, for the
// process of a name.
func NewBounded(out io.Writer, process string, perSecond int) *Bounded {
	b := &Bounded{out: out, process: process, perSec: perSecond, lines: make(chan []byte, bufferedLines), ended: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; each call is one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) { return b.write(line, false), nil }

// Ordinary returns the writer of ordinary lines.
func (b *Bounded) Routine() io.Writer { return ordinary{b} }

type ordinary struct{ *Bounded }

// Write implements io.Writer.
func (o ordinary) Write(line []byte) (int, error) { return o.write(line, true), nil }

func (b *Bounded) write(line []byte, ordinary bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.allowed(time.Now().Unix(), ordinary) {
		b.dropped.Add(1)
		return len(line)
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line)
}

// allowed counts a line against the second's budget. The caller holds mu.
func (b *Bounded) allowed(second int64, ordinary bool) bool {
	if second != b.second {
		b.second, b.inSec, b.ordinary = second, 0, 0
	}
	if ordinary && b.ordinary >= int(ordinaryShare*float64(b.perSec)) || b.inSec >= b.perSec {
		return false
	}
	b.inSec++
	if ordinary {
		b.ordinary++
	}
	return true
}

// Dropped is how many lines were dropped so far.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

func (b *Bounded) run() {
	defer close(b.ended)
	var told uint64
	for line := range b.lines {
		if dropped := b.dropped.Load(); dropped > told {
			_, _ = io.WriteString(b.out, droppedLine(b.process, dropped-told))
			told = dropped
		}
		_, _ = b.out.Write(line) // there is nobody left to tell
	}
}

// Close writes what is buffered, unless the output's reader is stuck.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.ended:
	case <-time.After(closeTimeout):
	}
}
