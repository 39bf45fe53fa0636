package entry

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/errkind"
)

const (
	// bodyShareNumerator and bodyShareDivisor are the part of the process's memory in which bodies and
	// their copies are held.
	bodyShareNumerator, bodyShareDivisor = 3, 8
	// bodyCopies is how often a prompt is held while its request is served: the body, the decoded messages,
	// their rendered text, and the encoded request to the sidecar.
	bodyCopies = 4
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 30 * time.Second
	// memoryRetryAfter is the retry delay for callers whose bodies were not taken.
	memoryRetryAfter = time.Second
	// defaultMaxBody is the body limit until a configuration is known.
	defaultMaxBody = 4 << 20
)

// bodyLimit returns the size of the largest body that the configuration allows.
func (e *Entry) bodyLimit() int64 {
	if c, _, ok := e.current(); ok {
		return c.Limits.MaxBodyBytes
	}
	return defaultMaxBody
}

// readBody reads the whole body, and takes the memory that its request needs.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, memory *buffers.Share) ([]byte, *errkind.Error) {
	limit := e.bodyLimit()
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := callers.ReadBody(r, int(limit), memory)
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{})
	}
	if err == nil && !memory.Grow(bodyCopies*len(body)) {
		err = callers.ErrMemoryFull
	}
	var timeout net.Error
	switch {
	case err == nil:
		return body, nil
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, errkind.NewRetryAfter(errkind.DeadlineUnmeetable, memoryRetryAfter, "the body did not arrive within %s", bodyTimeout)
	case errors.Is(err, callers.ErrMemoryFull):
		return nil, errkind.NewRetryAfter(errkind.MemoryFull, memoryRetryAfter, "")
	case errors.Is(err, callers.ErrBodyTooLarge):
		return nil, errkind.New(errkind.BodyTooLarge, "the limit is %d bytes", limit)
	default:
		return nil, errkind.New(errkind.BadRequest, "read body: %v", err)
	}
}

// refuseBody refuses a request whose body was not read to its end or is not held.
func (e *Entry) refuseBody(w http.ResponseWriter, r *http.Request, memory *buffers.Share, refusal *errkind.Error) {
	memory.Release()
	id := requestID(r.Context())
	e.recordRefusal(id, unknownLabel, unknownLabel, refusal, time.Now())
	if refusal.Kind == errkind.BadRequest {
		writeProblem(w, id, refusal)
		return
	}
	deadline := time.Now().Add(bodyTimeout)
	if refusal.Kind == errkind.DeadlineUnmeetable {
		deadline = time.Now() // the caller has had its time
	}
	callers.RefuseUnread(w, r, e.bodyLimit(), deadline, func() { writeProblem(w, id, refusal) })
}
