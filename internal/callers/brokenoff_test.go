package callers

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// Guards against callers of HTTP/1.0 who take a response that was broken off for whole: it has no chunks, and
// without a length its end is that of the connection.
func TestBrokenOffResponseLooksBrokenOff(t *testing.T) {
	part := strings.Repeat("x", 100_000)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/short" {
			return
		}
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		if r.URL.Path == "/broken" {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, part)
	})
	for _, version := range []string{"HTTP/1.0\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n", "HTTP/1.1\r\nConnection: close\r\n"} {
		for path, whole := range map[string]bool{"/broken": false, "/whole": true} {
			conn := dial(t, s.address)
			_, _ = io.WriteString(conn, "GET "+path+" "+version+"Host: h\r\n\r\n")
			text, err := io.ReadAll(conn)
			_, body, _ := strings.Cut(string(text), "\r\n\r\n")
			endsWithChunk := strings.HasSuffix(body, "0\r\n\r\n")
			looksWhole := err == nil && (endsWithChunk || strings.HasPrefix(version, "HTTP/1.0"))
			if looksWhole != whole || whole && strings.Count(body, "x") != 2*len(part) {
				t.Errorf("%s %q: %d bytes, error %v", path, version, len(body), err)
			}
		}
	}
	// The second response on a connection.
	conn := dial(t, s.address)
	reader := bufio.NewReader(conn)
	_, _ = io.WriteString(conn, "GET /short HTTP/1.0\r\nConnection: keep-alive\r\nHost: h\r\n\r\n")
	if resp, err := http.ReadResponse(reader, nil); err != nil || resp.Close {
		t.Fatalf("a short response: %v, error %v", resp, err)
	}
	_, _ = io.WriteString(conn, "GET /broken HTTP/1.0\r\nConnection: keep-alive\r\nHost: h\r\n\r\n")
	if text, err := io.ReadAll(reader); err == nil {
		t.Errorf("a response that was broken off after a whole one looks whole: %d bytes", len(text))
	}
}
