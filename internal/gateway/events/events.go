// Package events splits a stream of server-sent events into complete events.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

// maxEvent is the maximum size of an event, which is buffered in memory until it is complete.
const maxEvent = 1 << 20

// growthFactor is how many times its size an event takes: its buffer grows by up to that factor.
const growthFactor = 2

// ErrTooLong is returned if an event exceeds maxEvent.
var ErrTooLong = errors.New("event is too long")

// ErrNoMemory is returned if an event is large and other responses have taken the memory for it.
var ErrNoMemory = errors.New("no memory for a large event")

// ErrTruncated is returned if the stream ends within an event.
var ErrTruncated = errors.New("stream ended within an event")

// Event is one complete event.
type Event struct {
	// Raw holds the event's bytes, including the blank line that ends it.
	Raw []byte
	// ID is the event's number; HasID is set if it has one.
	ID    int64
	HasID bool
}

// Reader reads complete events. If a target stops within an event, the incomplete part must not
// reach a caller whose stream continues at another target.
type Reader struct {
	in     *bufio.Reader
	memory *buffers.Share
}

// NewReader returns a Reader that reads from in and takes the memory of large events from a share. The
// caller releases the share.
func NewReader(in io.Reader, memory *buffers.Share) *Reader {
	return &Reader{in: bufio.NewReader(in), memory: memory}
}

// Next returns the next event, whose bytes are valid until the next call. It returns io.EOF at the
// end of the stream, or ErrTruncated if the stream ends within an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	r.memory.Release()
	continued := false  // the slice does not begin its line
	hasContent := false // the event is more than white space
	for {
		line, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEvent {
			return Event{}, ErrTooLong
		}
		if !r.memory.Grow(growthFactor * len(e.Raw)) {
			return Event{}, ErrNoMemory
		}
		hasContent = hasContent || len(bytes.TrimSpace(line)) > 0
		if errors.Is(err, bufio.ErrBufferFull) {
			continued = true
			continue
		}
		if err == io.EOF && hasContent {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if !continued {
			e.parseID(line)
		}
		if !continued && isBlank(line) && hasContent {
			return e, nil
		}
		continued = false
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

func (e *Event) parseID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		e.ID, e.HasID = id, true
	}
}
