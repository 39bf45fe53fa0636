package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/buffers"
)

// server is a guarded server that notes the paths of requests.
type server struct {
	address string
	mu      sync.Mutex
	paths   []string
}

func startServer(t *testing.T, handler http.HandlerFunc) *server {
	t.Helper()
	return startServerWith(t, NewConns(nil, nil), handler)
}

func startServerWith(t *testing.T, conns *Conns, handler http.HandlerFunc) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{address: l.Addr().String()}
	httpServer := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.paths = append(s.paths, r.URL.Path)
		s.mu.Unlock()
		handler(w, r)
	})}
	guarded := conns.Guard(httpServer, l, false)
	go func() { _ = httpServer.Serve(guarded) }() // ends with Close
	t.Cleanup(func() { _ = httpServer.Close() })
	return s
}

// served returns the paths of the requests that were served.
func (s *server) served() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.paths, " ")
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn
}

// Guards against the rest of a body that the server has not read being served as a request.
func TestRestOfABodyIsNotServed(t *testing.T) {
	const length = 600 << 10 // more than net/http reads and drops
	hidden := "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	refuse := func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) }
	for name, handler := range map[string]http.HandlerFunc{
		"closed by the handler": func(w http.ResponseWriter, r *http.Request) { _ = r.Body.Close(); refuse(w) },
		"not read":              func(w http.ResponseWriter, r *http.Request) { refuse(w) },
		"refused, read in part": func(w http.ResponseWriter, r *http.Request) {
			RefuseUnread(w, r, length/2, time.Now().Add(time.Second), func() { refuse(w) })
		},
		"refused, late": func(w http.ResponseWriter, r *http.Request) {
			RefuseUnread(w, r, length, time.Now().Add(100*time.Millisecond), func() { refuse(w) })
		},
	} {
		for form, head := range map[string]string{
			"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n", length+len(hidden)),
			"in chunks":     fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", length+len(hidden)),
		} {
			s := startServer(t, handler)
			conn := dial(t, s.address)
			_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\n"+head+strings.Repeat("x", length-(200<<10)))
			reader := bufio.NewReader(conn)
			if resp, err := http.ReadResponse(reader, nil); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("%s, %s: response %v, error %v", name, form, resp, err)
			}
			<-time.After(200 * time.Millisecond) // beyond the deadline of the late form
			_, _ = io.WriteString(conn, strings.Repeat("x", 200<<10)+hidden+hidden)
			_, _ = io.Copy(io.Discard, reader)
			if served := s.served(); served != "/a" {
				t.Errorf("%s, %s: served %s, want /a alone", name, form, served)
			}
		}
	}
}

// Guards against a client that waits to be asked for its body, and is refused without being asked.
func TestRefusalIsNotDelayedByAnExpectedBody(t *testing.T) {
	s := startServer(t, http.NotFound)
	conn := dial(t, s.address)
	_, _ = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusNotFound {
		t.Errorf("response %v, error %v", resp, err)
	}
}

// isOpen reports whether the server keeps a connection open.
func isOpen(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := conn.Read(make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Guards against connections that fill the memory of the process, against requests that are cut off to make
// room, and against memory that is not given back.
func TestConnectionsShareMemory(t *testing.T) {
	const room = 3
	memory := buffers.NewBudget(room * connMemory)
	var mu sync.Mutex
	shed := map[string]int{}
	release, arrived := make(chan struct{}), make(chan struct{}, room)
	conns := NewConns(memory, func(reason string) {
		mu.Lock()
		defer mu.Unlock()
		shed[reason]++
	})
	s := startServerWith(t, conns, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-release
	})
	var held []net.Conn
	for range room + 1 {
		held = append(held, dial(t, s.address))
		isOpen(held[len(held)-1]) // returns once the server has accepted it
	}
	if isOpen(held[0]) || !isOpen(held[1]) || !isOpen(held[3]) {
		t.Error("want the connection closed that has waited for longest, and no other")
	}
	for _, conn := range held[1:] {
		_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		<-arrived
	}
	if isOpen(dial(t, s.address)) {
		t.Error("a connection was accepted beyond the memory")
	}
	close(release)
	for i, conn := range held[1:] {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("request %d: response %v, error %v", i, resp, err)
		}
	}
	mu.Lock()
	if shed[ShedIdle] != 1 || shed[ShedNew] != 1 {
		t.Errorf("shed %v, want one of each", shed)
	}
	mu.Unlock()
	long := dial(t, s.address)
	_, _ = io.WriteString(long, "GET /a HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", 60_000))
	if isOpen(long) {
		t.Error("a head was held beyond the memory")
	}
	for _, conn := range append(held, long) {
		_ = conn.Close()
	}
	for deadline := time.Now().Add(5 * time.Second); !memory.Take(room * connMemory); <-time.After(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("memory was not given back")
		}
	}
}

// Guards against bodies that are held beyond what the memory for them allows.
func TestReadBody(t *testing.T) {
	for _, c := range []struct {
		name         string
		length       int64
		size, memory int
		want         error
	}{
		{"empty", 0, 0, 0, nil}, {"small", 10, 10, 0, nil}, {"small, in chunks", -1, 10, 0, nil},
		{"large", 8 * buffers.Step, 8 * buffers.Step, 10 * buffers.Step, nil}, {"large, in chunks", -1, 8 * buffers.Step, 18 * buffers.Step, nil},
		{"no memory", 8 * buffers.Step, 8 * buffers.Step, buffers.Step, ErrMemoryFull}, {"no memory, in chunks", -1, 8 * buffers.Step, buffers.Step, ErrMemoryFull},
		{"too large", 11 * buffers.Step, 11 * buffers.Step, 100 * buffers.Step, ErrBodyTooLarge}, {"too large, in chunks", -1, 11 * buffers.Step, 100 * buffers.Step, ErrBodyTooLarge},
		{"truncated", 100, 50, 0, io.ErrUnexpectedEOF},
	} {
		r, err := http.NewRequest(http.MethodPost, "/", io.NopCloser(strings.NewReader(strings.Repeat("x", c.size))))
		if err != nil {
			t.Fatal(err)
		}
		r.ContentLength = c.length
		body, err := ReadBody(r, 10*buffers.Step, buffers.NewBudget(int64(c.memory)).NewBodyShare(nil))
		if err != c.want || err == nil && len(body) != c.size {
			t.Errorf("%s: %d bytes, error %v; want error %v", c.name, len(body), err, c.want)
		}
	}
}
