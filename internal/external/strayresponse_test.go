package external

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startStrayServer starts a server that sends stray before its response to each request which is not the
// first on its connection.
func startStrayServer(t *testing.T, stray string) (base string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	serve := func(c net.Conn) {
		defer c.Close()
		reader := bufio.NewReader(c)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(r.Body)
			if n > 0 {
				_, _ = io.WriteString(c, stray)
			}
			text := fmt.Sprintf("data: {\"end\":true}\n\nfor %s", body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
	}
	tasks.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { serve(c) })
		}
	})
	t.Cleanup(func() { listener.Close(); tasks.Wait() })
	return "http://" + listener.Addr().String()
}

// Guards against a run that is repeated elsewhere, or a call that gets another response than its own,
// because a target sent further bytes after the response before.
func TestFurtherBytesAreNotTakenForAResponse(t *testing.T) {
	client := NewHTTPClient()
	defer client.CloseIdleConnections()
	engine := NewHTTPEngine(startStrayServer(t, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"), client)
	plain := NewHTTPPlain(startStrayServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"), client)
	for n := range 3 {
		stream, err := engine.Generate(t.Context(), &GenerateRequest{})
		if err != nil {
			t.Fatalf("run %d: %v, wrong weights %t", n, err, errors.Is(err, ErrWrongWeights))
		}
		if _, err := io.Copy(io.Discard, stream.(*sseStream).body); err != nil {
			t.Error(err)
		}
		_ = stream.Close()
		resp, err := plain.Call(t.Context(), &PlainRequest{Path: "/x", Body: fmt.Appendf(nil, "call %d", n), Timeout: time.Second})
		if want := fmt.Sprintf("for call %d", n); err != nil || string(resp.Body[max(0, len(resp.Body)-len(want)):]) != want {
			t.Errorf("call %d: %+v, error %v", n, resp, err)
		}
	}
}
