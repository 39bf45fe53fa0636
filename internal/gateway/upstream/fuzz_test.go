package upstream

import (
	"bufio"
	"io"
	"net/http"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/upstream/endlesstest"
)

// endless reads head once, and then repeat without end.
type endless struct {
	head, repeat []byte
	taken, at    int
}

func (e *endless) Read(p []byte) (int, error) {
	if len(e.head) > 0 {
		n := copy(p, e.head)
		e.head = e.head[n:]
		e.taken += n
		return n, nil
	}
	if len(e.repeat) == 0 {
		return 0, io.EOF
	}
	for i := range p {
		p[i] = e.repeat[e.at]
		e.at = (e.at + 1) % len(e.repeat)
	}
	e.taken += len(p)
	return len(p), nil
}

// Guards against bytes of any kind that the reader of responses takes without end.
func FuzzReadResponse(f *testing.F) {
	for _, form := range append(endlesstest.Heads(), endlesstest.Bodies("Id: 2\r\n")...) {
		f.Add([]byte(form.Head), []byte(form.Repeat))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nabc"), []byte("HTTP/1.1 204 No Content\r\nId: 3\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head, repeat []byte) {
		in := &endless{head: head, repeat: repeat}
		input := &headReader{in: in}
		c := &conn{input: input, reader: bufio.NewReaderSize(input, bufferSize)}
		before := len(head)
		resp, err := c.readResponse(&Request{Method: http.MethodPost, Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "1" }})
		// Chunked bodies may carry one byte in a chunk, with its size and its extension.
		const framing = 64
		if most := before + (maxUnmatched+1)*(MaxHeadBytes+bufferSize+framing*maxUnmatchedBody); in.taken > most {
			t.Errorf("%d bytes were taken, want at most %d", in.taken, most)
		}
		if err == nil && resp.Header.Get("Id") != "1" {
			t.Errorf("a response to another request was returned: %v", resp.Header)
		}
	})
}
