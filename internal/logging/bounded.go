package logging

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounded is a log writer that never blocks its caller for long. It buffers lines and drops those
// that exceed the rate limit or find the buffer full because the output is blocked. What was
// dropped is logged with the next line that is written, and at the end.
//
// Routine lines, such as those of successful requests, may use only a part of the rate, so
// that a flood of them doesn't displace the lines of failures. Audit lines are dropped only while
// the output is blocked.
type Bounded struct {
	out     io.Writer
	process string
	limit   int
	lines   chan bufferedLine
	done    chan struct{}
	// blocked is set while an audit line has waited in vain for the output.
	blocked atomic.Bool
	// writes counts the lines that the output has taken.
	writes atomic.Uint64
	mu     sync.Mutex
	second int64
	// linesInSecond counts the lines accepted in the current second, routineInSecond the
	// routine ones among them.
	linesInSecond, routineInSecond int
	closed                         bool
	// dropped counts all dropped lines, unreported those that no line has reported yet.
	dropped, unreported drops
}

// bufferedLine is a line that waits for the output.
type bufferedLine struct {
	text []byte
	// written, unless nil, is closed when the line was written.
	written chan struct{}
}

// class is what decides when a line may be dropped.
type class uint8

const (
	usual class = iota
	routine
	audit
)

const (
	// maxBufferedLines bounds the memory in use while the output is blocked.
	maxBufferedLines = 1024
	// routineShare is the share of the rate that routine lines may use.
	routineShare = 0.7
	// closeTimeout bounds how long Close waits for a blocked output.
	closeTimeout = 200 * time.Millisecond
	// stalledTicks is the number of successive ticks without a written line after which the output counts as
	// blocked. A process that gets no processor time for a while sees one long tick, after which its writer
	// goes on.
	auditTick    = 10 * time.Millisecond
	stalledTicks = 4
	// maxAuditTicks bounds how long the caller of an audit line waits for an output that is slow.
	maxAuditTicks = 25
	// auditWait is how long a blocked output delays the caller of an audit line.
	auditWait = stalledTicks * auditTick
)

// NewBounded returns a writer that writes at most perSecond lines per second to out, besides audit lines.
// The name of the process appears in its reports of dropped lines.
func NewBounded(out io.Writer, process string, perSecond int) *Bounded {
	b := &Bounded{out: out, process: process, limit: perSecond, lines: make(chan bufferedLine, maxBufferedLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. Each call writes one line; it never fails.
func (b *Bounded) Write(line []byte) (int, error) { return b.write(line, usual), nil }

// Routine returns a writer for routine lines.
func (b *Bounded) Routine() io.Writer { return classWriter{b, routine} }

// Audit returns a writer for lines whose number is bounded by what they report. They are not subject to the
// rate, and are written when Write returns, so that the end of the process doesn't lose them. A blocked output
// delays the first one by auditWait.
func (b *Bounded) Audit() io.Writer { return classWriter{b, audit} }

type classWriter struct {
	*Bounded
	class class
}

// Write implements io.Writer.
func (w classWriter) Write(line []byte) (int, error) { return w.write(line, w.class), nil }

func (b *Bounded) write(line []byte, c class) int {
	buffered := bufferedLine{text: append([]byte(nil), line...)}
	if c == audit {
		buffered.written = make(chan struct{})
	}
	if b.enqueue(buffered, c) && c == audit {
		b.await(buffered.written)
	}
	return len(line)
}

// enqueue reports whether the line was accepted.
func (b *Bounded) enqueue(line bufferedLine, c class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.closed && b.allow(time.Now().Unix(), c) {
		select {
		case b.lines <- line:
			return true
		default:
		}
	}
	b.dropped.add(line.text, c)
	b.unreported.add(line.text, c)
	return false
}

// await waits until a line was written, unless the output is blocked.
func (b *Bounded) await(written chan struct{}) {
	if b.blocked.Load() {
		return
	}
	writes, stalled := b.writes.Load(), 0
	for tick := 0; stalled < stalledTicks && tick < maxAuditTicks; tick++ {
		timer := time.NewTimer(auditTick)
		select {
		case <-written:
			timer.Stop()
			return
		case <-timer.C:
		}
		stalled++
		if now := b.writes.Load(); now != writes {
			writes, stalled = now, 0
		}
	}
	b.blocked.Store(true)
}

// allow reports whether the rate limit admits a line, and counts it. The caller holds mu.
func (b *Bounded) allow(second int64, c class) bool {
	if c == audit {
		return true
	}
	if second != b.second {
		b.second, b.linesInSecond, b.routineInSecond = second, 0, 0
	}
	if c == routine && b.routineInSecond >= int(routineShare*float64(b.limit)) || b.linesInSecond >= b.limit {
		return false
	}
	b.linesInSecond++
	if c == routine {
		b.routineInSecond++
	}
	return true
}

// Dropped returns the number of lines dropped so far.
func (b *Bounded) Dropped() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped.lines
}

// DroppedAudits returns the number of audit lines among them.
func (b *Bounded) DroppedAudits() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dropped.audit
}

func (b *Bounded) run() {
	defer close(b.done)
	for line := range b.lines {
		b.reportDropped()
		_, _ = b.out.Write(line.text) // a failing log output can't be reported
		b.writes.Add(1)
		b.blocked.Store(false)
		if line.written != nil {
			close(line.written)
		}
	}
	b.reportDropped()
}

// reportDropped writes what has been dropped since the last report.
func (b *Bounded) reportDropped() {
	b.mu.Lock()
	d := b.unreported
	b.unreported = drops{}
	b.mu.Unlock()
	if d.lines > 0 {
		_, _ = io.WriteString(b.out, d.line(b.process))
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
