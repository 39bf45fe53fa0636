// Package endlesstest plays servers in trouble for tests: they answer with bytes that do not end.
package endlesstest

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

// Form is what a server sends: Head once, then Repeat until the other end closes the connection.
type Form struct{ Name, Head, Repeat string }

const ok = "HTTP/1.1 200 OK\r\n"

// Heads returns the forms that never complete the head of a response.
func Heads() []Form {
	return []Form{
		{"header lines", ok, "X-Line: " + strings.Repeat("x", 100) + "\r\n"},
		{"one header line", ok + "X-Line: ", "x"},
		{"continued header lines", ok + "X-Line: x\r\n", " " + strings.Repeat("x", 100) + "\r\n"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"bytes without a line feed", "", "\x00\xff"},
		{"line feeds", "", "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	}
}

// Bodies returns the forms of bodies, behind a head with the given header lines.
func Bodies(header string) []Form {
	chunked := ok + header + "Transfer-Encoding: chunked\r\n\r\n"
	return []Form{
		{"body without length", ok + header + "\r\n", "x"},
		{"body with a huge length", ok + header + "Content-Length: 1000000000000\r\n\r\n", "x"},
		{"chunks", chunked, "4\r\nxxxx\r\n"},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "4;x=", "x"},
		{"trailers", chunked + "4\r\nxxxx\r\n0\r\n", "X-Line: x\r\n"},
		{"one trailer line", chunked + "4\r\nxxxx\r\n0\r\nX-Line: ", "x"},
	}
}

// Server is a server that answers each request with a form.
type Server struct {
	Address netip.AddrPort
	sent    atomic.Int64
	closed  chan struct{}
}

// Sent returns the number of bytes that the server has sent, of which the kernel may hold a part.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Closed receives a value for each connection that has been closed.
func (s *Server) Closed() <-chan struct{} { return s.closed }

const (
	// burstSize is the number of bytes in one write.
	burstSize = 64 << 10
	// maxSent bounds what a connection sends, for the sake of the machine: then it is silent.
	maxSent = 40 << 20
	// maxConnections is the number of connections that end without Closed being read.
	maxConnections = 1024
)

// Start starts a server. It ends with the test, when all its connections are closed.
func Start(t *testing.T, f Form) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Address: netip.MustParseAddrPort(listener.Addr().String()), closed: make(chan struct{}, maxConnections)}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { s.serve(c, f) })
		}
	})
	t.Cleanup(func() { listener.Close(); tasks.Wait() })
	return s
}

func (s *Server) serve(c net.Conn, f Form) {
	defer func() { c.Close(); s.closed <- struct{}{} }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, err := c.Write([]byte(f.Head))
	burst := bytes.Repeat([]byte(f.Repeat), burstSize/len(f.Repeat))
	for sent := 0; err == nil; {
		if sent > maxSent {
			_, err = c.Read(burst[:1])
			continue
		}
		var n int
		n, err = c.Write(burst)
		s.sent.Add(int64(n))
		sent += n
	}
}
