package callers

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

var (
	// ErrBodyTooLarge is returned for bodies beyond their limit.
	ErrBodyTooLarge = errors.New("the body is too large")
	// ErrMemoryFull is returned for bodies for which no memory is left.
	ErrMemoryFull = errors.New("no memory left for the body")
)

// ReadBody reads a body of at most limit bytes. A truncated body is an error. What is held counts against
// memory, also after an error.
func ReadBody(r *http.Request, limit int, memory *buffers.Share) ([]byte, error) {
	switch {
	case r.ContentLength > int64(limit):
		return nil, ErrBodyTooLarge
	case r.ContentLength >= 0:
		return readBodyOfLength(r.Body, int(r.ContentLength), memory)
	default:
		return readBodyUpTo(r.Body, limit, memory)
	}
}

func readBodyOfLength(in io.Reader, n int, memory *buffers.Share) ([]byte, error) {
	if !memory.Grow(n) {
		return nil, ErrMemoryFull
	}
	body := make([]byte, n)
	_, err := io.ReadFull(in, body)
	return body, err
}

// readBodyUpTo reads a body of unknown length.
func readBodyUpTo(in io.Reader, limit int, memory *buffers.Share) ([]byte, error) {
	body := make([]byte, 0, min(buffers.Step, limit+1))
	for {
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		larger := min(2*cap(body), limit+1)
		if !memory.Grow(cap(body) + larger) { // both are held while the body is copied
			return nil, ErrMemoryFull
		}
		body = append(make([]byte, 0, larger), body...)
	}
}

// RefuseUnread refuses a request whose body is not held. The client gets the response at once. What it
// still sends, up to limit bytes, is read and dropped until the deadline: it would get a reset instead of
// the response otherwise. The connection ends with it, since the rest of the body may still come.
func RefuseUnread(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time, refuse func()) {
	response := http.NewResponseController(w)
	w.Header().Set("Connection", "close")
	_ = response.EnableFullDuplex() // without it the body is read before the response is sent
	refuse()
	_ = response.Flush()
	_ = response.SetReadDeadline(deadline)
	_, _ = io.CopyN(io.Discard, r.Body, limit)
}
