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

// growth is the factor by which the buffer of a body grows.
const growth = 4

// ReadBody reads a body of at most limit bytes. A truncated body is an error. What is held counts against
// memory, also after an error: not more than growth times what has arrived, so that a client that announces
// a large body and does not send it takes no memory from others. A body that would not fit now is not read.
func ReadBody(r *http.Request, limit int, memory *buffers.Share) ([]byte, error) {
	length := int(r.ContentLength)
	if length > limit {
		return nil, ErrBodyTooLarge
	}
	if !memory.Fits(length) {
		return nil, ErrMemoryFull
	}
	size := limit + 1
	if length >= 0 {
		size = length
	}
	first := firstCapacity(size)
	if !memory.Grow(first) {
		return nil, ErrMemoryFull
	}
	body := make([]byte, 0, first)
	for {
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, ErrBodyTooLarge
		case err == io.EOF && len(body) < length:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF || len(body) == length:
			return body, nil
		case err != nil:
			return nil, err
		}
		if len(body) < cap(body) {
			continue
		}
		if body = grow(body, size, memory); body == nil {
			return nil, ErrMemoryFull
		}
	}
}

// firstCapacity returns the capacity from which growth leads to a size.
func firstCapacity(size int) int {
	for size > buffers.Step {
		size = (size + growth - 1) / growth
	}
	return size
}

// grow returns a larger buffer of at most size bytes with the same contents, or nil if there is no memory.
func grow(body []byte, size int, memory *buffers.Share) []byte {
	larger := min(growth*cap(body), size)
	if !memory.Grow(cap(body) + larger) { // both are held while the body is copied
		return nil
	}
	grown := append(make([]byte, 0, larger), body...)
	memory.Shrink(larger)
	return grown
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
