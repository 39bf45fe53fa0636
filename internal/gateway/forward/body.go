package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
)

// defaultMaxBody is the body limit if the configuration sets none.
const defaultMaxBody = 4 << 20

// bodyLimit returns the largest body that the configuration allows.
func (fl *flow) bodyLimit() int64 {
	if limit := fl.view.Estate.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBody
}

// readBody reads the whole body before anything is sent, so that the request can be retried and a
// truncated body reaches no target. A body for which there is no memory is not read.
func (fl *flow) readBody(ctx context.Context) *errkind.Error {
	limit, length := fl.bodyLimit(), fl.r.ContentLength
	if length == 0 {
		return nil
	}
	if length > limit {
		// Drain what the limit allows: a caller that is still sending would get a reset
		// instead of the response.
		_, _ = io.CopyN(io.Discard, fl.r.Body, limit)
		return errkind.New(errkind.BodyTooLarge, "the body has %d bytes; the limit is %d", length, limit)
	}
	connection := http.NewResponseController(fl.w)
	_ = connection.SetReadDeadline(fl.deadline)
	done := fl.interruptBody(ctx)
	defer done()
	var err error
	fl.body, err = callers.ReadBody(fl.r, int(limit), fl.bodyMemory)
	fl.bodyTime = time.Since(fl.arrived)
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{})
		return nil
	}
	var timeout net.Error
	switch {
	case errors.Is(err, callers.ErrMemoryFull):
		fl.unread = true
		return errkind.NewRetryAfter(errkind.MemoryFull, fl.jitter(busyRetryAfter), "")
	case errors.Is(err, callers.ErrBodyTooLarge):
		return errkind.New(errkind.BodyTooLarge, "the body exceeds %d bytes", limit)
	case errors.Is(context.Cause(ctx), errExit):
		return fl.exitRefusal()
	case errors.As(err, &timeout) && timeout.Timeout():
		fl.unread = true
		return errkind.NewRetryAfter(errkind.DeadlineUnmeetable, busyRetryAfter, "the body did not arrive before the deadline")
	default:
		return errkind.New(errkind.BadRequest, "read body: %v", err)
	}
}

// dropBody gives back the memory of the body once a target has responded to a request that can't be sent
// again.
func (fl *flow) dropBody(resp *upstream.Response) {
	if fl.route.Retryable() && fl.runs < fl.route.MaxAttempts || !resp.RequestWritten() {
		return
	}
	fl.body = nil
	fl.bodyMemory.Release()
}

// refuseUnread refuses a request whose body is not held.
func (fl *flow) refuseUnread(e *errkind.Error) {
	fl.bodyMemory.Release()
	callers.RefuseUnread(fl.w, fl.r, fl.bodyLimit(), fl.deadline, func() { fl.refuse(e) })
}
