// Package brokentest plays servers in trouble for tests: their responses are broken.
package brokentest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Response is what a server sends in response to a request.
type Response struct {
	Name, Text string
	// Early responses are sent before the body of the request is read.
	Early bool
	// Pause is the time between the response and its end.
	Pause time.Duration
	End   End
}

// End is what a server does with the connection after an response.
type End int

const (
	// KeepsOpen reads on, until the client ends the connection.
	KeepsOpen End = iota
	// Closes closes the connection.
	Closes
	// ClosesUnread closes the connection when a part of the request has arrived and not been read: the kernel resets it.
	ClosesUnread
	// Resets resets the connection.
	Resets
	// EndsDirection ends the server's direction, and reads on until the client ends its own.
	EndsDirection
	// EndsDirectionThenResets ends the server's direction, and then resets the connection.
	EndsDirectionThenResets
	// EndsDirectionUnread ends the server's direction, and leaves the rest of the request unread until the test ends.
	EndsDirectionUnread
)

// ResetDuringUpload returns responses that a reset ends while a large request is still being written, most of them
// without a length. Header has the lines of their heads, part is the part of the body that is sent.
func ResetDuringUpload(header, part string) []Response {
	cut := func(name, version, lines string, end End) Response {
		return Response{Name: name, Text: version + " 200 OK\r\n" + header + lines + "\r\n" + part, Early: true, Pause: time.Millisecond, End: end}
	}
	chunked := cut("reset, in chunks", "HTTP/1.1", "Transfer-Encoding: chunked\r\n", Resets)
	chunked.Text = strings.TrimSuffix(chunked.Text, part) + fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	return []Response{
		cut("reset", "HTTP/1.1", "", Resets),
		cut("reset, Connection: close", "HTTP/1.1", "Connection: close\r\n", Resets),
		cut("reset, HTTP/1.0", "HTTP/1.0", "", Resets),
		cut("closed with the request unread", "HTTP/1.1", "", ClosesUnread),
		cut("reset, with a length", "HTTP/1.1", fmt.Sprintf("Content-Length: %d\r\n", len(part)+1), Resets),
		chunked,
	}
}

// Whole returns responses without a length that the server ends itself.
func Whole(header, body string) []Response {
	text := "HTTP/1.1 200 OK\r\n" + header + "\r\n" + body
	return []Response{
		{Name: "closed", Text: text, End: Closes},
		{Name: "closed in one direction", Text: text, End: EndsDirection},
		{Name: "closed in one direction, then reset", Text: text, End: EndsDirectionThenResets},
		{Name: "closed in one direction while the request is written", Text: text, Early: true, End: EndsDirection},
	}
}

// WholeThenReset returns a response without a length that the server ends itself while a large request is still
// written, before it resets the connection.
func WholeThenReset(header, body string) Response {
	return Response{Name: "closed in one direction while the request is written, then reset", Text: "HTTP/1.1 200 OK\r\n" + header + "\r\n" + body, Early: true, End: EndsDirectionThenResets}
}

// InvalidStatuses returns responses with an invalid status, or one that switches to another protocol.
func InvalidStatuses(header string) []Response {
	var all []Response
	const whole = "Content-Length: 4\r\n\r\nbody"
	for _, status := range []string{"000", "001", "099", "+20", "+99", "-00", "101"} {
		head := "HTTP/1.1 " + status + " X\r\n" + header
		all = append(all, Response{Name: "status " + status, Text: head + whole},
			Response{Name: "status " + status + " before a response", Text: head + "\r\nHTTP/1.1 200 OK\r\n" + header + whole})
	}
	return all
}

// InvalidFieldNames returns responses in whose heads a field's name has a blank or a control byte, or is missing.
func InvalidFieldNames(header string) []Response {
	var all []Response
	const length, chunk = "Content-Length: 4\r\n", "4\r\nbody\r\n0\r\n\r\n"
	for _, name := range []string{"X Name", "X-Name ", "X-Name  ", "X\tName", "X-Name\t", "X\x00Name", "X\x1bName", "X\x7fName", "X\rName", "X\x80Name", "X(Name", ""} {
		all = append(all, Response{Name: "name " + name, Text: "HTTP/1.1 200 OK\r\n" + header + name + ": x\r\n" + length + "\r\nbody"})
	}
	return append(all,
		Response{Name: "no colon", Text: "HTTP/1.1 200 OK\r\n" + header + "X-Name\r\n" + length + "\r\nbody"},
		Response{Name: "early hints", Text: "HTTP/1.1 103 Early Hints\r\nX Name: x\r\n\r\nHTTP/1.1 200 OK\r\n" + header + length + "\r\nbody"},
		Response{Name: "length, blank at the end", Text: "HTTP/1.1 200 OK\r\n" + header + "Content-Length : 4\r\n\r\nbody and more", End: Closes},
		Response{Name: "length, blank within", Text: "HTTP/1.1 200 OK\r\n" + header + "Content Length: 4\r\n\r\nbody and more", End: Closes},
		Response{Name: "coding, blank at the end", Text: "HTTP/1.1 200 OK\r\n" + header + "Transfer-Encoding : chunked\r\n\r\n" + chunk, End: Closes},
	)
}

// Server is a server whose responses are broken.
type Server struct {
	Address netip.AddrPort
	// respond returns the response to a request; nil if the request is forwarded to next.
	respond func(*http.Request) *Response
	next    string
	// rewrite changes the heads of the responses from next.
	rewrite func(head string) string
	sent    atomic.Int64
	ended   chan struct{}
	// stop is closed when the test ends.
	stop chan struct{}
	mu   sync.Mutex
	open map[net.Conn]bool
}

// maxConnections is the number of connections that end without Ended being read.
const maxConnections = 1 << 14

// Start starts a server that sends the response to each request. It ends with the test, and its connections with it.
func Start(t *testing.T, response Response) *Server {
	t.Helper()
	return start(t, "127.0.0.1:0", &Server{respond: func(*http.Request) *Response { return &response }})
}

// StartProxy starts a server that sends the responses that respond returns, which is called for the first request of
// each connection. If it returns nil the connection is forwarded to the server at next.
func StartProxy(t *testing.T, address, next string, respond func(*http.Request) *Response) *Server {
	t.Helper()
	return start(t, address, &Server{respond: respond, next: next, rewrite: func(head string) string { return head }})
}

// StartRewriter starts a server that forwards connections to the one at next, and changes the head of the first
// response of each.
func StartRewriter(t *testing.T, next string, rewrite func(head string) string) *Server {
	t.Helper()
	return start(t, "127.0.0.1:0", &Server{respond: func(*http.Request) *Response { return nil }, next: next, rewrite: rewrite})
}

func start(t *testing.T, address string, s *Server) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	s.Address, s.ended = netip.MustParseAddrPort(listener.Addr().String()), make(chan struct{}, maxConnections)
	s.stop, s.open = make(chan struct{}), map[net.Conn]bool{}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			tasks.Go(func() { s.serve(c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() { listener.Close(); s.closeAll(); tasks.Wait() })
	return s
}

// Ended receives a value for each response, once the server has ended the connection or read the request.
func (s *Server) Ended() <-chan struct{} { return s.ended }

// Responses returns the number of responses that were sent.
func (s *Server) Responses() int { return int(s.sent.Load()) }

func (s *Server) closeAll() {
	close(s.stop)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Close()
	}
}

// add keeps a connection until the test ends. It reports false if it has ended.
func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.stop:
		return false
	default:
		s.open[c] = true
		return true
	}
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
}

func (s *Server) serve(c *net.TCPConn) {
	defer c.Close()
	if !s.add(c) {
		return
	}
	defer s.remove(c)
	var head strings.Builder
	reader := bufio.NewReader(io.TeeReader(c, &head))
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	response := s.respond(r)
	if response == nil {
		s.forward(c, head.String())
		return
	}
	if !response.Early {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	s.sent.Add(1)
	_, _ = io.WriteString(c, response.Text)
	<-time.After(response.Pause)
	switch response.End {
	case EndsDirection, EndsDirectionThenResets, EndsDirectionUnread:
		_ = c.CloseWrite()
	}
	switch response.End {
	case KeepsOpen, EndsDirection:
		_, _ = io.Copy(io.Discard, r.Body)
		s.ended <- struct{}{}
		_, _ = io.Copy(io.Discard, reader)
		return
	case EndsDirectionUnread:
		s.ended <- struct{}{}
		<-s.stop
		return
	case ClosesUnread:
		awaitUnread(c)
	case Resets, EndsDirectionThenResets:
		_ = c.SetLinger(0)
	}
	_ = c.Close()
	s.ended <- struct{}{}
}

// awaitUnread waits until data has arrived on a connection, and leaves it there.
func awaitUnread(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(fd uintptr) bool { // fails only if the connection has ended
		var buffer [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN
	})
}

// forward forwards a connection of which a part has been read. It changes the head of the first response.
func (s *Server) forward(c *net.TCPConn, read string) {
	next, err := net.Dial("tcp", s.next)
	if err != nil {
		return
	}
	defer next.Close()
	go func() {
		if _, err := io.WriteString(next, read); err == nil {
			_, _ = io.Copy(next, c) // ends with the connection
		}
		_ = next.Close()
	}()
	reader := bufio.NewReader(next)
	head, err := readHead(reader)
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, s.rewrite(head)); err == nil {
		_, _ = io.Copy(c, reader)
	}
}

func readHead(r *bufio.Reader) (string, error) {
	var head strings.Builder
	for {
		line, err := r.ReadString('\n')
		head.WriteString(line)
		if err != nil || line == "\r\n" {
			return head.String(), err
		}
	}
}
