package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// stopWithin begins a shutdown after which requests with deadlines until d from now are answered.
func (env *testEnv) stopWithin(d time.Duration) {
	env.BeginShutdown(time.Now().Add(d+time.Second), time.Now().Add(d))
}

// Guards against a stopping entry that accepts requests by an estimate of their run time: a target that is
// slower has run them, and the answers are cut off. Only the deadline bounds it.
func TestStoppingEntryRefusesRequestsWithDeadlinesBeyondItsExit(t *testing.T) {
	tg := startTarget(t, "i1", nil)
	tg.handle = func(w io.Writer, r *http.Request, _ string) bool {
		if !strings.Contains(r.RequestURI, "prompt") && !strings.Contains(r.RequestURI, "stream") && !strings.Contains(r.RequestURI, "resume") {
			return tg.writeSealed(w, r, http.StatusOK, "answer")
		}
		tg.writeStreamHead(w, r)
		writeChunk(w, event(6))
		fmt.Fprint(w, "0\r\n\r\n")
		return true
	}
	env := newTestEnv(t, tg)
	env.stopWithin(time.Second)
	for _, c := range []struct {
		name, path string
		timeLeft   time.Duration
		header     []string
		served     bool
	}{
		{"the caller's deadline is before the exit", "/again/x", 300 * time.Millisecond, nil, true},
		{"not idempotent, before the exit", "/once/x", 300 * time.Millisecond, nil, true},
		{"the route's timeout is after the exit", "/again/x", 0, nil, false},
		{"the caller's deadline is after the exit", "/once/x", 1500 * time.Millisecond, nil, false},
		{"a stream with one token", "/stream/x", 1500 * time.Millisecond, nil, false},
		{"a stream before the exit", "/stream/x", 300 * time.Millisecond, nil, true},
		{"a resumed stream", "/resume/x", 1500 * time.Millisecond, []string{wiretest.LastEventID, "5"}, false},
		{"a prompt with one token", "/prompt/x", 1500 * time.Millisecond, []string{wiretest.Model, model, wiretest.Prompt, "10,1"}, false},
		{"a prompt before the exit", "/prompt/x", 300 * time.Millisecond, []string{wiretest.Model, model, wiretest.Prompt, "10,1"}, true},
	} {
		runs := tg.runs.Load()
		header := c.header
		if c.timeLeft > 0 {
			header = append(header, wiretest.TimeLeft, c.timeLeft.String())
		}
		resp, body, err := env.post(t, c.path, "", header...)
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		served := resp.StatusCode == http.StatusOK && tg.runs.Load() == runs+1
		refused := resp.StatusCode == http.StatusServiceUnavailable && strings.Contains(body, "error:stopping") && resp.Header.Get("Retry-After") != "" && tg.runs.Load() == runs
		if served != c.served || refused == c.served || !resp.Close {
			t.Errorf("%s: status %d, %d runs, close %v, body %s", c.name, resp.StatusCode, tg.runs.Load()-runs, resp.Close, body)
		}
	}
}

// Guards against a check that is made only when a request arrives: the entry may begin to stop before the
// request is sent, or sent once more.
func TestShutdownIsCheckedBeforeEachSend(t *testing.T) {
	for _, c := range []struct {
		name, path string
		// first is the first response of a target, before which the entry begins to stop.
		first  func(tg *fakeTarget, w io.Writer, r *http.Request) bool
		status int
	}{
		{"the target did not run it", "/once/x", func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
			return tg.writeNotRun(w, r, http.StatusServiceUnavailable)
		}, http.StatusServiceUnavailable},
		{"the target may have run it", "/again/x", func(*fakeTarget, io.Writer, *http.Request) bool { return false }, http.StatusBadGateway},
		{"the stream broke off", "/resume/x", func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
			tg.writeStreamHead(w, r)
			writeChunk(w, event(1))
			return false
		}, 0},
	} {
		var env *testEnv
		handle := func(tg **fakeTarget) func(io.Writer, *http.Request, string) bool {
			return func(w io.Writer, r *http.Request, _ string) bool {
				env.stopWithin(time.Second)
				return c.first(*tg, w, r)
			}
		}
		var a, b *fakeTarget
		a, b = startTarget(t, "i1", handle(&a)), startTarget(t, "i2", handle(&b))
		env = newTestEnv(t, a, b)
		resp, body, err := env.post(t, c.path, "")
		if n := a.runs.Load() + b.runs.Load(); n != 1 {
			t.Errorf("%s: %d sends, want 1", c.name, n)
		}
		if c.status == 0 && err == nil || c.status != 0 && (err != nil || resp.StatusCode != c.status) {
			t.Errorf("%s: response %v, body %s, error %v", c.name, resp, body, err)
		}
	}
}

// Guards against requests that wait in a stopping entry until it refuses them. The body arrives, or a
// target becomes free, after the signal.
func TestWaitingRequestsAreRefusedWhenTheEntryStops(t *testing.T) {
	tg := startTarget(t, "i1", nil)
	tg.handle = func(w io.Writer, r *http.Request, _ string) bool {
		return tg.writeSealed(w, r, http.StatusOK, "answer")
	}
	env := newTestEnv(t, tg)
	address := strings.TrimPrefix(env.server.URL, "http://")
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /again/x HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: town-key\r\nContent-Length: 8\r\n\r\nhalf", host, wiretest.ID, wiretest.Key)
	waitFor(t, "the request is being read", func() bool { return env.InFlight() == 1 })
	env.view.Targets = map[string][]fleet.Target{}
	polling := make(chan string, 1)
	go func() {
		_, body, err := env.post(t, "/once/x", "")
		polling <- fmt.Sprint(body, err)
	}()
	waitFor(t, "a request waits for a target", func() bool { return env.InFlight() == 2 })
	env.stopWithin(time.Second)
	if got := <-polling; !strings.Contains(got, "error:stopping") { // no_target if it waits to its end
		t.Errorf("the request that waits for a target: %s", got)
	}
	fmt.Fprint(conn, "half")
	text := make([]byte, 1024)
	n, _ := conn.Read(text)
	if got := string(text[:n]); !strings.Contains(got, "503") || !strings.Contains(got, "error:stopping") || tg.runs.Load() != 0 {
		t.Errorf("the request with a slow body: %s, %d runs", got, tg.runs.Load())
	}
}

// Guards against requests without an answer at the exit: one whose body is incomplete has not run, one
// that a target runs may have.
func TestInterruptedRequestsAreAnswered(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	tg := startTarget(t, "i1", func(io.Writer, *http.Request, string) bool {
		close(started)
		<-release
		return false
	})
	defer close(release)
	env := newTestEnv(t, tg)
	running := make(chan string, 1)
	go func() {
		resp, body, err := env.post(t, "/once/x", "")
		if err != nil {
			running <- err.Error()
			return
		}
		running <- strconv.Itoa(resp.StatusCode) + " " + body
	}()
	<-started
	conn, err := net.Dial("tcp", strings.TrimPrefix(env.server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /again/x HTTP/1.1\r\nHost: %s\r\n%s: r2\r\n%s: town-key\r\n%s: 500ms\r\nContent-Length: 8\r\n\r\nhalf", host, wiretest.ID, wiretest.Key, wiretest.TimeLeft)
	waitFor(t, "the body is being read", func() bool { return env.InFlight() == 2 })
	env.stopWithin(time.Second)
	env.RefuseRequests()
	env.Interrupt()
	if got := <-running; !strings.HasPrefix(got, "502 ") || !strings.Contains(got, "error:interrupted") {
		t.Errorf("the running request: %s", got)
	}
	text := make([]byte, 1024)
	n, _ := conn.Read(text)
	if got := string(text[:n]); !strings.Contains(got, "503") || !strings.Contains(got, "error:stopping") {
		t.Errorf("the request with an incomplete body: %s", got)
	}
}

// Guards against refused callers that come back while all entries are still stopping.
func TestRefusalWhileAllEntriesStopNamesTheNextOne(t *testing.T) {
	env := newTestEnv(t, startTarget(t, "i1", nil))
	env.view.OtherEntryAt = time.Now().Add(5 * time.Second)
	env.stopWithin(time.Second)
	resp, _, err := env.post(t, "/again/x", "")
	if err != nil {
		t.Fatal(err)
	}
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || seconds < 4 || seconds > 5.1 {
		t.Errorf("Retry-After %q, error %v", resp.Header.Get("Retry-After"), err)
	}
}
