package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
)

func startCallerServer(t *testing.T, handler http.Handler) (*callerServer, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newCallerServer(handler, listener.Addr(), callers.NewConns(nil, nil), func() bool { return false }, logr.Discard())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.serve(listener) }()
	t.Cleanup(func() { listener.Close(); c.close(); <-done })
	return c, listener.Addr().String()
}

func echoURI(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.RequestURI) }

// statusLine sends a raw request and returns the response's status line, or "closed".
func statusLine(t *testing.T, address, request string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, request)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "closed"
	}
	return strings.TrimSpace(line)
}

// New limits apply to new connections; open connections keep the limits that they started
// with.
func TestLimitsFollowTheEstate(t *testing.T) {
	c, address := startCallerServer(t, http.HandlerFunc(echoURI))
	open, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	reader := bufio.NewReader(open)
	get := func() string {
		fmt.Fprintf(open, "GET /kept HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", 20_000))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	if got := get(); got != "/kept" {
		t.Fatalf("before the change: %q", got)
	}
	c.apply(estate.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second})
	if got := get(); got != "/kept" {
		t.Errorf("open connection: %q", got)
	}
	long := fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", 20_000))
	if got := statusLine(t, address, long); !strings.Contains(got, "431") {
		t.Errorf("long header: %q", got)
	}
	if got := statusLine(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); !strings.Contains(got, "200") {
		t.Errorf("ordinary request: %q", got)
	}
	if got := statusLine(t, address, "GET / HTTP/1.1\r\nHo"); strings.Contains(got, "200") {
		t.Errorf("truncated header: %q", got)
	}
}

// A request smuggled in the body of another one must not be served.
func TestSmuggledRequestIsNotServed(t *testing.T) {
	var seen []string
	_, address := startCallerServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, r.RequestURI+" "+string(body))
	}))
	smuggled := "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, request := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(smuggled)) + "\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n" + smuggled,
		"POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(smuggled)) + "\r\n\r\n" + smuggled,
	} {
		statusLine(t, address, request)
	}
	for _, s := range seen {
		if strings.HasPrefix(s, "/smuggled") {
			t.Errorf("smuggled request was served: %q", seen)
		}
	}
}

// A graceful shutdown must also wait for requests on servers with earlier limits, until their responses
// have been sent.
func TestShutdownWaitsForAllServers(t *testing.T) {
	release, started := make(chan struct{}), make(chan struct{})
	c, address := startCallerServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		echoURI(w, r)
	}))
	got := make(chan string, 1)
	go func() { got <- statusLine(t, address, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n") }()
	<-started
	c.apply(estate.Limits{HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	c.conns.CloseIdle()
	if n := c.conns.Busy(); n != 1 {
		t.Fatalf("%d requests are running, want 1", n)
	}
	close(release)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if !awaitNone(ctx, c.conns.Busy) {
		t.Error("the request still runs")
	}
	c.close()
	if line := <-got; !strings.Contains(line, "200") {
		t.Errorf("running request was interrupted: %q", line)
	}
}

// Guards against a request that is served although its connection has been closed as idle: its target
// runs it, and the answer is lost.
func TestNoRequestIsServedOnAClosedConnection(t *testing.T) {
	served := 0
	conns := callers.NewConns(nil, nil)
	handler := conns.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served++ }))
	client, server := net.Pipe()
	defer client.Close()
	conn := conns.Add(server, false)
	request := func() (aborted bool) {
		defer func() { aborted = recover() == http.ErrAbortHandler }()
		r, err := http.NewRequestWithContext(callers.Context(t.Context(), conn), http.MethodGet, "/", nil)
		if err != nil {
			t.Fatal(err)
		}
		handler.ServeHTTP(nil, r)
		return false
	}
	request()
	conns.CloseIdle()
	if conns.Busy() != 1 {
		t.Fatal("a connection was closed during its request")
	}
	conns.OnState(conn, http.StateIdle)
	conns.CloseIdle()
	if aborted := request(); !aborted || served != 1 || conns.Busy() != 0 {
		t.Errorf("aborted %v, %d requests served, %d busy connections", aborted, served, conns.Busy())
	}
}

// Guards against a request that is hidden in the body of another one, which states its length in two
// ways: proxies and servers disagree on where it ends.
func TestRequestWithTwoLengthsIsRefused(t *testing.T) {
	const hidden = "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
	const body = "0\r\n\r\n" + hidden
	length := fmt.Sprintf("Content-Length: %d", len(body))
	for name, request := range map[string]string{
		"length first":           "POST /a HTTP/1.1\r\nHost: h\r\n" + length + "\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
		"coding first":           "POST /a HTTP/1.1\r\nHost: h\r\ntransfer-encoding: Chunked\r\ncontent-length: 5\r\n\r\n" + body,
		"line feeds alone":       "POST /a HTTP/1.1\nHost: h\n" + length + "\nTransfer-Encoding: chunked\n\n" + body,
		"HTTP/1.0":               "POST /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + body,
		"after another":          "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi" + "POST /a HTTP/1.1\r\nHost: h\r\n" + length + "\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
		"after one without body": "GET /b HTTP/1.1\r\nHost: h\r\n\r\n" + "POST /a HTTP/1.1\r\nHost: h\r\n" + length + "\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
	} {
		var mu sync.Mutex
		var seen []string
		_, address := startCallerServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			text, _ := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, r.RequestURI+" "+string(text))
		}))
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, request)
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.ReadAll(conn); err != nil {
			t.Errorf("%s: the connection stays open: %v", name, err)
		}
		_ = conn.Close()
		mu.Lock()
		for _, s := range seen {
			if strings.HasPrefix(s, "/hidden") {
				t.Errorf("%s: the hidden request was served: %q", name, seen)
			}
		}
		mu.Unlock()
	}
}

// Guards against callers whose connections are closed although their requests are proper.
func TestProperRequestsKeepTheirConnection(t *testing.T) {
	var served atomic.Int32
	_, address := startCallerServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if text, err := io.ReadAll(r.Body); err == nil && (r.Method == http.MethodGet || string(text) == "some body") {
			served.Add(1)
		}
	}))
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	requests := []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsome \r\n4\r\nbody\r\n0\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nsome body",
	}
	for n := range 9 {
		if _, err := io.WriteString(conn, requests[n%len(requests)]); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil || resp.Close || resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d: response %v, error %v", n, resp, err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	if n := served.Load(); n != 9 {
		t.Errorf("%d of 9 requests were served whole", n)
	}
}
