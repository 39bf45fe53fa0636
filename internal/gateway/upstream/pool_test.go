package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listen starts a listener that calls handle for each connection, with the connection's
// number from 1.
func listen(t *testing.T, handle func(n int, c net.Conn, r *bufio.Reader)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var tasks sync.WaitGroup
	tasks.Add(1)
	go func() {
		defer tasks.Done()
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tasks.Add(1)
			go func() {
				defer tasks.Done()
				defer c.Close()
				handle(n, c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() { l.Close(); tasks.Wait() })
	return netip.MustParseAddrPort(l.Addr().String())
}

// send posts a request with the given ID and returns the body of the response.
func send(t *testing.T, p *Pool, to netip.AddrPort, id string) (string, error) {
	t.Helper()
	resp, err := p.Send(t.Context(), to, &Request{
		Method: http.MethodPost, RequestURI: "/a%2Fb?x=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"), Attempt: id,
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// serveOne answers one request with its target and body.
func serveOne(c net.Conn, r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	body, _ := io.ReadAll(req.Body)
	text := req.RequestURI + " " + string(body)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("Id"), len(text), text)
	return true
}

// serveAll starts a listener that answers all requests, and returns the number of its connections so far.
func serveAll(t *testing.T) (netip.AddrPort, *atomic.Int32) {
	var connections atomic.Int32
	to := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		connections.Store(int32(n))
		for serveOne(c, r) {
		}
	})
	return to, &connections
}

// Consecutive requests use one connection, and the request target arrives unchanged.
func TestConnectionIsReused(t *testing.T) {
	to, connections := serveAll(t)
	p := NewPool(func() {})
	defer p.CloseIdle()
	for i := range 3 {
		if got, err := send(t, p, to, fmt.Sprint(i)); err != nil || got != "/a%2Fb?x=1 body" {
			t.Fatalf("response %q, error %v", got, err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections, want 1", n)
	}
}

// Idle connections that the target has closed are not used: it would be unknown whether the
// request ran.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 1)
	to := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		serveOne(c, r)
		if n == 1 {
			c.Close()
			closed <- struct{}{}
			return
		}
		for serveOne(c, r) {
		}
	})
	p := NewPool(func() {})
	defer p.CloseIdle()
	if _, err := send(t, p, to, "1"); err != nil {
		t.Fatal(err)
	}
	<-closed
	if _, err := send(t, p, to, "2"); err != nil {
		t.Errorf("the second request failed: %v", err)
	}
}

// A request to a port without a listener fails with ErrNotSent.
func TestRefusedConnectionIsErrNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	if _, err := send(t, NewPool(func() {}), to, "1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want ErrNotSent", err)
	}
}

// A request whose connection is reset may have run, and must not fail with ErrNotSent.
func TestResetAfterRequestIsNotErrNotSent(t *testing.T) {
	to := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	if _, err := send(t, NewPool(func() {}), to, "1"); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("error %v, want one other than ErrNotSent", err)
	}
}

// A connection that delivers only responses to other requests is abandoned after a few.
func TestUnmatchedResponsesAreLimited(t *testing.T) {
	to := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		for range 5 {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n")
		}
		_, _ = io.Copy(io.Discard, r)
	})
	p := NewPool(func() {})
	defer p.CloseIdle()
	if _, err := send(t, p, to, "1"); !errors.Is(err, ErrUnmatchedResponse) {
		t.Errorf("error %v, want ErrUnmatchedResponse", err)
	}
}

// The dial of a probe may be reset because the listener closes while the connection is in its
// queue. The process then counts as refusing connections, unless it listens again.
func TestProbeIsRepeatedAfterResetDial(t *testing.T) {
	address := netip.MustParseAddrPort("127.0.0.1:9")
	for _, c := range []struct {
		name string
		// results are the errors of the dials; the connection of one without an error stays open.
		results []error
		want    ListenerState
	}{
		{"reset, then refused", []error{syscall.ECONNRESET, syscall.ECONNREFUSED}, ListenerRefuses},
		{"reset twice, then refused", []error{syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNREFUSED}, ListenerRefuses},
		{"reset, then accepted", []error{syscall.ECONNRESET, nil}, ListenerAccepts},
		{"always reset", []error{syscall.ECONNRESET, syscall.ECONNRESET, syscall.ECONNRESET}, ListenerUnknown},
		{"unreachable", []error{syscall.EHOSTUNREACH}, ListenerUnknown},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		p := NewPool(func() {})
		dials := 0
		p.dialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
			dials++
			if err := c.results[dials-1]; err != nil {
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", err)}
			}
			return NewDialer().DialContext(ctx, network, l.Addr().String())
		}
		if got, err := p.ProbeListener(t.Context(), address); got != c.want || dials != len(c.results) {
			t.Errorf("%s: got %v after %d dials, error %v, want %v after %d", c.name, got, dials, err, c.want, len(c.results))
		}
		p.CloseIdle()
		l.Close()
	}
}

// A process that exits may accept a connection and close it just before its listener. It
// counts as refusing connections, unlike one that closes one connection or none and goes on.
func TestRefusesConnectionsOfExitingProcess(t *testing.T) {
	for _, c := range []struct {
		name             string
		accepted, closes int
		want             bool
	}{{"ends after one connection", 1, 1, true}, {"closes one connection and keeps the next", 9, 1, false}, {"keeps the connection", 9, 0, false}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := netip.MustParseAddrPort(l.Addr().String())
		var kept []net.Conn
		done := make(chan struct{})
		go func() {
			defer close(done)
			for n := 1; n <= c.accepted; n++ {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				if n <= c.closes {
					conn.Close()
				} else {
					kept = append(kept, conn)
				}
			}
			l.Close()
		}()
		p := NewPool(func() {})
		if got, err := p.ProbeListener(t.Context(), address); (got == ListenerRefuses) != c.want {
			t.Errorf("%s: the listener's state is %v, error %v", c.name, got, err)
		}
		l.Close()
		<-done
		for _, conn := range kept {
			conn.Close()
		}
		p.CloseIdle()
	}
}

// Guards against a connection that carries an attempt again: a late copy of the response before has the right ID.
// Other attempts use it.
func TestConnectionCarriesAnAttemptOnce(t *testing.T) {
	to, connections := serveAll(t)
	p := NewPool(func() {})
	defer p.CloseIdle()
	for _, attempt := range []struct {
		id          string
		connections int32
	}{{"1", 1}, {"2", 1}, {"1", 2}, {"3", 2}, {"1", 3}, {"2", 3}, {"2", 4}, {"3", 4}} {
		if _, err := send(t, p, to, attempt.id); err != nil || connections.Load() != attempt.connections {
			t.Errorf("attempt %s: error %v, %d connections, want %d", attempt.id, err, connections.Load(), attempt.connections)
		}
	}
}

// Guards against a connection that forgets attempts: it is closed once it can't remember any further ones.
func TestConnectionEndsWithItsMemoryOfAttempts(t *testing.T) {
	to, connections := serveAll(t)
	p := NewPool(func() {})
	defer p.CloseIdle()
	for i := range maxAttempts + 1 {
		if _, err := send(t, p, to, fmt.Sprint(i)); err != nil {
			t.Fatal(err)
		}
		if want := int32(1 + i/maxAttempts); connections.Load() != want {
			t.Fatalf("%d connections after %d requests, want %d", connections.Load(), i+1, want)
		}
	}
}

// Guards against callers whose requests all have one ID, and which take up all connections that a target accepts.
func TestRepeatedAttemptsDoNotAddConnections(t *testing.T) {
	var accepted, open atomic.Int32
	mostOpen := int32(0)
	to := listen(t, func(_ int, c net.Conn, r *bufio.Reader) {
		accepted.Add(1)
		open.Add(1)
		defer open.Add(-1)
		for serveOne(c, r) {
		}
	})
	p := NewPool(func() {})
	defer p.CloseIdle()
	for range 200 {
		if _, err := send(t, p, to, "1"); err != nil {
			t.Fatal(err)
		}
		mostOpen = max(mostOpen, open.Load())
	}
	p.mu.Lock()
	idle := len(p.idle[to])
	p.mu.Unlock()
	if idle != 1 || accepted.Load() != 200 || mostOpen > 20 {
		t.Errorf("%d idle connections, %d made, at most %d open at a time; want 1, 200 and few", idle, accepted.Load(), mostOpen)
	}
}

// Guards against a connection that is used again while a request is still being written on it, after an early
// response: the next request would wait for the target to read on.
func TestConnectionWithUnfinishedRequestIsNotUsedAgain(t *testing.T) {
	const buffer = 8 << 10 // keeps the kernel from taking a whole body before it is read
	mayRead := make(chan struct{})
	to := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		_ = c.(*net.TCPConn).SetReadBuffer(buffer)
		if n > 1 {
			serveOne(c, r)
			return
		}
		fmt.Fprint(c, "HTTP/1.1 503 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		<-mayRead
	})
	p := NewPool(func() {})
	defer p.CloseIdle()
	defer close(mayRead)
	dial := p.dialContext
	p.dialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err == nil {
			_ = c.(*net.TCPConn).SetWriteBuffer(buffer)
		}
		return c, err
	}
	resp, err := p.Send(t.Context(), to, &Request{
		Method: http.MethodPost, RequestURI: "/", Host: "h", Body: make([]byte, 16<<20), Attempt: "1",
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "1" },
	})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp)
	resp.Close()
	if got, err := send(t, p, to, "2"); err != nil || got != "/a%2Fb?x=1 body" {
		t.Errorf("response %q, error %v", got, err)
	}
}
