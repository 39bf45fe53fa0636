package upstream

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
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listen serves connections with a handler that gets the number of the
// connection.
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

func send(t *testing.T, p *Pool, to netip.AddrPort, id string) (string, error) {
	t.Helper()
	resp, err := p.Send(t.Context(), to, &Request{
		Method: http.MethodPost, RequestURI: "/a%2Fb?x=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

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

// Requests in turn use one connection, and what a caller wrote as the request's
// target reaches it unchanged.
func TestConnectionIsKept(t *testing.T) {
	var connections atomic.Int32
	to := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		connections.Store(int32(n))
		for serveOne(c, r) {
		}
	})
	p := NewPool(func() {})
	defer p.CloseIdle()
	for i := range 3 {
		if got, err := send(t, p, to, fmt.Sprint(i)); err != nil || got != "/a%2Fb?x=1 body" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections", n)
	}
}

// A target closes an idle connection. The next request must not be written to
// it: whether it ran would be unknown.
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

// Nobody listens. That a request was not sent is certain, and said.
func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(l.Addr().String())
	l.Close()
	if _, err := send(t, NewPool(func() {}), to, "1"); !errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
}

// A target reads the request and resets. It may have run.
func TestResetAfterTheRequestIsNotCalledUnsent(t *testing.T) {
	to := listen(t, func(n int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	if _, err := send(t, NewPool(func() {}), to, "1"); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("error %v", err)
	}
}

// The answers on a connection are all to other requests. After a few the
// connection is given up.
func TestForeignAnswersAreNotReadForEver(t *testing.T) {
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
		t.Errorf("error %v", err)
	}
}

// A process ends: it closes a connection that it has just taken, and its listener a moment
// later. It counts as gone. One that closes no more than that connection lives, and so does
// one that keeps it.
func TestListenerThatClosesAMomentLaterRefuses(t *testing.T) {
	for _, c := range []struct {
		story         string
		taken, closes int
		want          bool
	}{{"ends after one connection", 1, 1, true}, {"closes one connection and keeps the next", 9, 1, false}, {"keeps it", 9, 0, false}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := netip.MustParseAddrPort(l.Addr().String())
		var kept []net.Conn
		done := make(chan struct{})
		go func() {
			defer close(done)
			for n := 1; n <= c.taken; n++ {
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
		if got := p.RefusesConnections(t.Context(), address); got != c.want {
			t.Errorf("%s: refuses %v", c.story, got)
		}
		l.Close()
		<-done
		for _, conn := range kept {
			conn.Close()
		}
		p.CloseIdle()
	}
}
