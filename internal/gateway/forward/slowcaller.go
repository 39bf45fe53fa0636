package forward

import (
	"net/http"
	"time"
)

const (
	// deliveryGrace is how long after the request's deadline its response may still be delivered. A
	// caller that reads nothing until then is disconnected, which frees what is held for it.
	deliveryGrace = 10 * time.Second
	// stalledAfter is how long a write to the caller must block for the caller to count as stalled.
	// Targets break off responses that are not read for some seconds.
	stalledAfter = time.Second
	// stallMemory is how long after such a write a broken response may still result from it. What the
	// target sent before it broke off is relayed first.
	stallMemory = 5 * time.Second
)

// limitWrites bounds how long a caller that does not read may hold its connection. Connections that
// support no deadline have none.
func (fl *flow) limitWrites() {
	_ = http.NewResponseController(fl.w).SetWriteDeadline(fl.deadline.Add(deliveryGrace))
}

// callerWriter writes to the caller and notes whether the caller has stopped reading.
type callerWriter struct{ fl *flow }

// Write implements io.Writer.
func (c callerWriter) Write(p []byte) (int, error) {
	start := time.Now()
	n, err := c.fl.w.Write(p)
	c.fl.noteStall(start)
	return n, err
}

// flush sends what was written to the caller.
func (c callerWriter) flush(flusher *http.ResponseController) error {
	start := time.Now()
	err := flusher.Flush()
	c.fl.noteStall(start)
	return err
}

// noteStall notes a stall if a write that began at start has blocked for long.
func (fl *flow) noteStall(start time.Time) {
	if now := time.Now(); now.Sub(start) > stalledAfter {
		fl.stalledAt = now
	}
}

// callerStalled reports whether the caller has stopped reading lately, so that a target may have broken
// off its response for that.
func (fl *flow) callerStalled() bool {
	return !fl.stalledAt.IsZero() && time.Since(fl.stalledAt) < stallMemory
}
