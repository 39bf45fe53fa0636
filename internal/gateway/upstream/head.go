package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// checkHead reads the head of a response, and leaves it to be read again. It fails if the head contains a
// second status line.
//
// A target may send the beginning of another response after a complete one and stop within a line. The head
// of the answer that follows on the connection then goes on with that line: read as one, the status and
// headers of the stray part would count, for whose framing net/http may even drop the line that shows it.
func (c *conn) checkHead() error {
	head, err := c.readHead()
	if err != nil {
		return err
	}
	if containsStatusLine(head[1:]) {
		return ErrJoinedHeads
	}
	c.head = bytes.Clone(head[:min(len(head), maxTracedHead)])
	rest, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	c.input.unread = append(append(head, rest...), c.input.unread...)
	c.reader.Reset(c.input)
	return nil
}

// usualHead is the size that fits most heads.
const usualHead = 1 << 10

// readHead reads up to the empty line that ends a head.
func (c *conn) readHead() ([]byte, error) {
	head := make([]byte, 0, usualHead)
	for start := 0; ; {
		piece, err := c.reader.ReadSlice('\n')
		head = append(head, piece...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if line := bytes.TrimSuffix(head[start:len(head)-1], []byte("\r")); len(line) == 0 {
			return head, nil
		}
		start = len(head)
	}
}

// containsStatusLine reports whether a text contains what net/http takes for the beginning of a status
// line: "HTTP/", a digit, a dot, a digit, spaces and three digits.
func containsStatusLine(text []byte) bool {
	for {
		_, after, ok := bytes.Cut(text, []byte("HTTP/"))
		if !ok {
			return false
		}
		text = after
		const version = len("1.1")
		if len(after) < version || !isDigit(after[0]) || after[1] != '.' || !isDigit(after[2]) {
			continue
		}
		status := bytes.TrimLeft(after[version:], " ")
		const digits = 3
		if len(status) < len(after)-version && len(status) >= digits && isDigit(status[0]) && isDigit(status[1]) && isDigit(status[2]) {
			return true
		}
	}
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
