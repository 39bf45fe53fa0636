// Package copytest plays servers that send their responses twice, for tests.
package copytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// Response is a response to a request.
type Response struct {
	Status int
	Body   string
	// Once is set for a response that is not sent again.
	Once bool
}

// Server answers requests. Before the second and each later response on a connection it sends the one before
// again, once the request has arrived.
type Server struct {
	Address netip.AddrPort
	respond func(r *http.Request, body []byte) Response
	// behind is set if each response after the copy is held back until the next request has arrived.
	behind bool
	copies atomic.Int32
	dials  atomic.Int32
	mu     sync.Mutex
	open   map[net.Conn]bool
}

// Start starts a server. It ends with the test.
func Start(t testing.TB, respond func(r *http.Request, body []byte) Response) *Server {
	t.Helper()
	return start(t, respond, false)
}

// StartBehind starts a server that sends the first response on a connection twice. Each later one comes when the next
// request has arrived, as from a server whose responses take longer than the client's pauses.
func StartBehind(t testing.TB, respond func(r *http.Request, body []byte) Response) *Server {
	t.Helper()
	return start(t, respond, true)
}

func start(t testing.TB, respond func(r *http.Request, body []byte) Response, behind bool) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: netip.MustParseAddrPort(listener.Addr().String()), respond: respond, behind: behind, open: map[net.Conn]bool{}}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.dials.Add(1)
			s.mu.Lock()
			s.open[c] = true
			s.mu.Unlock()
			tasks.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		s.closeAll()
		tasks.Wait()
	})
	return s
}

// URL returns the base URL of the server.
func (s *Server) URL() string { return "http://" + s.Address.String() }

// Copies returns how many responses were sent where that to a later request was due.
func (s *Server) Copies() int { return int(s.copies.Load()) }

// Connections returns how many connections were made to the server.
func (s *Server) Connections() int { return int(s.dials.Load()) }

// Do makes a call, and makes it again if its connection was not made in time, as happens on a busy machine.
func Do(call func() error) error {
	const attempts = 10
	var err error
	for range attempts {
		err = call()
		var op *net.OpError
		if !errors.As(err, &op) || op.Op != "dial" {
			break
		}
	}
	return err
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
	}()
	reader := bufio.NewReader(c)
	for last := ""; ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if last != "" {
			s.copies.Add(1)
			_, _ = io.WriteString(c, last)
		}
		isHeldBack := s.behind && last != "" && !r.Close
		response := s.respond(r, body)
		text := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", response.Status, len(response.Body), response.Body)
		if isHeldBack {
			last = text
			continue
		}
		if _, err := io.WriteString(c, text); err != nil || r.Close {
			return
		}
		if last = text; response.Once {
			last = ""
		}
	}
}
