// Package events splits a stream of server-sent events into whole events.
package events

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

// maxEvent bounds one event. Longer ones are refused: they would be held in
// memory until their end.
const maxEvent = 1 << 20

// ErrTooLong says that an event exceeds the bound.
var ErrTooLong = errors.New("event is too long")

// ErrHalf says that a stream ended within an event.
var ErrTruncated = errors.New("stream ended within an event")

// Event is one whole event as it came, its closing blank line included.
type Event struct {
	Raw []byte
	// ID is the event's number, and HasID whether it has one.
	ID    int64
	HasID bool
}

// Reader yields whole events. The failure guarded against is a target that
// stops in the middle of one: the half that came must not reach a caller whose
// stream goes on elsewhere.
type Reader struct {
	in *bufio.Reader
}

// NewReader returns a reader of a stream.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReader(in)} }

// Next returns the next event; its bytes are valid until the next call. It
// returns io.EOF at the stream's end, and ErrHalf at an end within an event.
func (r *Reader) Next() (Event, error) {
	var e Event
	for {
		line, err := r.in.ReadSlice('\n')
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEvent {
			return Event{}, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(e.Raw)) > 0 {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		e.noteID(line)
		if isBlank(line) && len(bytes.TrimSpace(e.Raw)) > 0 {
			return e, nil
		}
	}
}

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

func (e *Event) noteID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil {
		e.ID, e.HasID = id, true
	}
}
