package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounded is a log writer that never blocks its caller. It buffers lines and drops those
// that exceed the rate limit or find the buffer full because the output is blocked. The
// number of dropped lines is logged with the next line that is written.
//
// Routine lines, such as those of successful requests, may use only a part of the rate, so
// that a flood of them doesn't displace the lines of failures.
type Bounded struct {
	out     io.Writer
	process string
	limit   int
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
	mu      sync.Mutex
	second  int64
	// linesInSecond counts the lines accepted in the current second, routineInSecond the
	// routine ones among them.
	linesInSecond, routineInSecond int
	closed                         bool
}

const (
	// maxBufferedLines bounds the memory in use while the output is blocked.
	maxBufferedLines = 1024
	// routineShare is the share of the rate that routine lines may use.
	routineShare = 0.7
	// closeTimeout bounds how long Close waits for a blocked output.
	closeTimeout = 200 * time.Millisecond
)

// NewBounded returns a writer that writes at most perSecond lines per second to out. The name
// of the process appears in its reports of dropped lines.
func NewBounded(out io.Writer, process string, perSecond int) *Bounded {
	b := &Bounded{out: out, process: process, limit: perSecond, lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. Each call writes one line; it never fails.
func (b *Bounded) Write(line []byte) (int, error) { return b.write(line, false), nil }

// Routine returns a writer for routine lines.
func (b *Bounded) Routine() io.Writer { return routineWriter{b} }

type routineWriter struct{ *Bounded }

// Write implements io.Writer.
func (o routineWriter) Write(line []byte) (int, error) { return o.write(line, true), nil }

func (b *Bounded) write(line []byte, routine bool) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || !b.allow(time.Now().Unix(), routine) {
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

// allow reports whether the rate limit admits a line, and counts it. The caller holds mu.
func (b *Bounded) allow(second int64, routine bool) bool {
	if second != b.second {
		b.second, b.linesInSecond, b.routineInSecond = second, 0, 0
	}
	if routine && b.routineInSecond >= int(routineShare*float64(b.limit)) || b.linesInSecond >= b.limit {
		return false
	}
	b.linesInSecond++
	if routine {
		b.routineInSecond++
	}
	return true
}

// Dropped returns the number of lines dropped so far.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

func (b *Bounded) run() {
	defer close(b.done)
	var reported uint64
	for line := range b.lines {
		if dropped := b.dropped.Load(); dropped > reported {
			_, _ = io.WriteString(b.out, droppedLine(b.process, dropped-reported))
			reported = dropped
		}
		_, _ = b.out.Write(line) // a failing log output can't be reported
	}
}

// Close flushes the buffer, unless the output is blocked.
func (b *Bounded) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
