package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
)

func startCallers(t *testing.T, handler http.Handler) (*callerServer, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newCallerServer(handler, listener.Addr(), logr.Discard())
	done := make(chan struct{})
	go func() { defer close(done); _ = c.serve(listener) }()
	t.Cleanup(func() { listener.Close(); c.close(); <-done })
	return c, listener.Addr().String()
}

func echoURI(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.RequestURI) }

// statusLine writes a request's bytes and returns the status of what comes.
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

// Operators lower the limits. They hold for the connections that come from then
// on; one that is open goes on under the ones that it began with.
func TestLimitsFollowTheEstate(t *testing.T) {
	c, address := startCallers(t, http.HandlerFunc(echoURI))
	open, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer open.Close()
	reader := bufio.NewReader(open)
	ask := func() string {
		fmt.Fprintf(open, "GET /kept HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", 20_000))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return err.Error()
		}
		body, _ := io.ReadAll(resp.Body)
		return string(body)
	}
	if got := ask(); got != "/kept" {
		t.Fatalf("before: %q", got)
	}
	c.apply(estate.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: time.Second})
	if got := ask(); got != "/kept" {
		t.Errorf("the open connection: %q", got)
	}
	long := fmt.Sprintf("GET / HTTP/1.1\r\nHost: h\r\nX: %s\r\n\r\n", strings.Repeat("x", 20_000))
	if got := statusLine(t, address, long); !strings.Contains(got, "431") {
		t.Errorf("long header: %q", got)
	}
	if got := statusLine(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); !strings.Contains(got, "200") {
		t.Errorf("ordinary: %q", got)
	}
	if got := statusLine(t, address, "GET / HTTP/1.1\r\nHo"); strings.Contains(got, "200") {
		t.Errorf("half a header: %q", got)
	}
}

// A caller smuggles a second request within the body of a first, by stating its
// length in two ways. The handler sees no second request.
func TestSmuggledRequestIsNotServed(t *testing.T) {
	var seen []string
	_, address := startCallers(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, r.RequestURI+" "+string(body))
	}))
	inner := "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, request := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(inner)) + "\r\nContent-Length: 0\r\n\r\n" + inner,
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\nContent-Length: 0\r\n\r\n" + inner,
		"POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: " + fmt.Sprint(len(inner)) + "\r\n\r\n" + inner,
	} {
		statusLine(t, address, request)
	}
	for _, s := range seen {
		if strings.HasPrefix(s, "/smuggled") {
			t.Errorf("served: %q", seen)
		}
	}
}

// A planned stop waits for requests on servers of earlier limits too.
func TestShutdownWaitsForAllServers(t *testing.T) {
	release, begun := make(chan struct{}), make(chan struct{})
	c, address := startCallers(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(begun)
		<-release
		echoURI(w, r)
	}))
	got := make(chan string, 1)
	go func() { got <- statusLine(t, address, "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n") }()
	<-begun
	c.apply(estate.Limits{HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second})
	done := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		done <- c.shutdown(ctx)
	}()
	close(release)
	if err := <-done; err != nil {
		t.Error(err)
	}
	if line := <-got; !strings.Contains(line, "200") {
		t.Errorf("the request was cut: %q", line)
	}
}
