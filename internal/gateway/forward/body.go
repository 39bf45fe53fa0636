package forward

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/buffers"
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
	done := fl.interruptBody(ctx)
	defer done()
	var err error
	if length > 0 {
		err = fl.readBodyOfLength(int(length))
	} else {
		err = fl.readBodyUpTo(int(limit))
	}
	switch {
	case errors.Is(err, errBodyMemory):
		return errkind.NewRetryAfter(errkind.MemoryFull, fl.jitter(busyRetryAfter), "")
	case errors.Is(err, errBodyTooLarge):
		return errkind.New(errkind.BodyTooLarge, "the body exceeds %d bytes", limit)
	case err != nil && errors.Is(context.Cause(ctx), errExit):
		return fl.exitRefusal()
	case err != nil:
		return errkind.New(errkind.BadRequest, "read body: %v", err)
	}
	return nil
}

var (
	errBodyMemory   = errors.New("no memory left for the body")
	errBodyTooLarge = errors.New("the body is too large")
)

func (fl *flow) readBodyOfLength(n int) error {
	if !fl.bodyMemory.Grow(n) {
		return errBodyMemory
	}
	fl.body = make([]byte, n)
	_, err := io.ReadFull(fl.r.Body, fl.body)
	return err
}

// readBodyUpTo reads a body of unknown length.
func (fl *flow) readBodyUpTo(limit int) error {
	body := make([]byte, 0, min(buffers.Step, limit+1))
	for {
		n, err := fl.r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return errBodyTooLarge
		case err == io.EOF:
			fl.body = body
			return nil
		case err != nil:
			return err
		}
		if len(body) < cap(body) {
			continue
		}
		larger := min(2*cap(body), limit+1)
		if !fl.bodyMemory.Grow(cap(body) + larger) { // both are held while the body is copied
			return errBodyMemory
		}
		body = append(make([]byte, 0, larger), body...)
	}
}

// refuseUnread refuses a request whose body is not held. The caller gets the response at once, and what it
// still sends is read and dropped: it would get a reset instead of the response otherwise.
func (fl *flow) refuseUnread(e *errkind.Error) {
	fl.bodyMemory.Release()
	response := http.NewResponseController(fl.w)
	_ = response.EnableFullDuplex() // without it the body is read before the response is sent
	fl.refuse(e)
	_ = response.Flush()
	_ = response.SetReadDeadline(fl.deadline)
	_, _ = io.CopyN(io.Discard, fl.r.Body, fl.bodyLimit())
}
