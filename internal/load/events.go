package load

import (
	"bufio"
	"io"
	"strings"
)

// maxEventBytes bounds the length of an event line.
const maxEventBytes = 1 << 20

// eventReader reads the data of server-sent events.
type eventReader struct{ lines *bufio.Scanner }

func newEventReader(in io.Reader) *eventReader {
	lines := bufio.NewScanner(in)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &eventReader{lines}
}

// next returns the data of the next event.
func (r *eventReader) next() (string, error) {
	for r.lines.Scan() {
		if data, ok := strings.CutPrefix(r.lines.Text(), "data: "); ok {
			return data, nil
		}
	}
	if err := r.lines.Err(); err != nil {
		return "", err
	}
	return "", io.ErrUnexpectedEOF
}
