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
)

// limitWrites bounds how long a caller that does not read may hold its connection. Connections that
// support no deadline have none.
func (fl *flow) limitWrites() {
	_ = http.NewResponseController(fl.w).SetWriteDeadline(fl.deadline.Add(deliveryGrace))
}

// deliver runs a write to the caller and notes whether the caller has stopped reading.
func (fl *flow) deliver(write func() error) error {
	start := time.Now()
	err := write()
	fl.callerStalled = fl.callerStalled || time.Since(start) > stalledAfter
	return err
}
