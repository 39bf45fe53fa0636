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
type Bounded struct {
	out     io.Writer
	perSec  int
	lines   chan []byte
	dropped atomic.Uint64
	ended   chan struct{}
	mu      sync.Mutex
	second  int64
	inSec   int
	closed  bool
}

const (
	// bufferedLines bounds the memory that a stuck reader costs: 1,024 lines of
	// some 300 bytes.
	bufferedLines = 1024
	// closeTimeout bounds the wait for a stuck reader at the end.
	closeTimeout = 200 * time.Millisecond
)

// NewBounded returns a writer of at most perSecond lines a second to out.
func NewBounded(out io.Writer, perSecond int) *Bounded {
	b := &Bounded{out: out, perSec: perSecond, lines: make(chan []byte, bufferedLines), ended: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer; each call is one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.allowed(time.Now().Unix()) {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// allowed counts a line against the second's budget. The caller holds mu.
func (b *Bounded) allowed(second int64) bool {
	if second != b.second {
		b.second, b.inSec = second, 0
	}
	b.inSec++
	return b.inSec <= b.perSec
}

// Dropped is how many lines were dropped so far.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

func (b *Bounded) run() {
	defer close(b.ended)
	var told uint64
	for line := range b.lines {
		if dropped := b.dropped.Load(); dropped > told {
			_, _ = io.WriteString(b.out, droppedLine(dropped-told))
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
