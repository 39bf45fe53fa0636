package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// startCrashingTargets starts targets that stop listening when they run the body "fatal".
func startCrashingTargets(t *testing.T, n int) []*fakeTarget {
	var all []*fakeTarget
	for i := range n {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, body string) bool {
			if body == "fatal" {
				tg.listener.Close()
				return false
			}
			return tg.writeSealed(w, r, http.StatusOK, "fine")
		})
		all = append(all, tg)
	}
	return all
}

func totalRuns(targets []*fakeTarget) int {
	n := 0
	for _, tg := range targets {
		n += int(tg.runs.Load())
	}
	return n
}

// A non-idempotent request that crashes its target is not retried. After three crashes,
// further attempts by the caller must be refused without being run.
func TestRequestThatCrashesTargetsIsQuarantined(t *testing.T) {
	targets := startCrashingTargets(t, 6)
	env := newTestEnv(t, targets...)
	for n := 1; n <= 3; n++ {
		resp, _, err := env.post(t, "/once/x", "fatal")
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("attempt %d: response %v, error %v", n, resp, err)
		}
		if runs := totalRuns(targets); runs != n {
			t.Fatalf("after attempt %d: %d runs", n, runs)
		}
	}
	quarantined := false
	for n := 4; n <= 7; n++ {
		resp, body, err := env.post(t, "/once/x", "fatal", wiretest.ID, fmt.Sprintf("r%d", n))
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("attempt %d, after the third crash: response %v, body %q, error %v", n, resp, body, err)
		}
		quarantined = strings.Contains(body, "quarantined")
	}
	if !quarantined {
		t.Error("no refusal names the quarantine")
	}
	if runs := totalRuns(targets); runs != 3 {
		t.Errorf("%d runs; want 3", runs)
	}
}

// Guards against a request that crashes one target after the other because these send a broken head before they end.
func TestCrashAfterMalformedHeadIsAttributed(t *testing.T) {
	var targets []*fakeTarget
	for i := range 6 {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, _ string) bool {
			tg.listener.Close()
			fmt.Fprintf(w, "HTTP/1.1 000 X\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", wiretest.ID, r.Header.Get(wiretest.ID))
			return false
		})
		targets = append(targets, tg)
	}
	env := newTestEnv(t, targets...)
	for n := 1; n <= 4; n++ {
		want := http.StatusBadGateway
		if n > 3 {
			want = http.StatusServiceUnavailable
		}
		resp, body, err := env.post(t, "/once/x", "fatal")
		if err != nil || resp.StatusCode != want {
			t.Errorf("attempt %d: response %v, body %q, error %v", n, resp, body, err)
		}
	}
	if runs := totalRuns(targets); runs != 3 {
		t.Errorf("%d runs; want 3", runs)
	}
}

// A request that crashes targets whose listeners close only some time after their connections, so
// that the first probe finds no evidence, must crash three of them at most.
func TestCrashWithLateEvidence(t *testing.T) {
	const listenerDelay = 50 * time.Millisecond
	var targets []*fakeTarget
	for i := range 12 {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, body string) bool {
			time.AfterFunc(listenerDelay, func() { tg.listener.Close() })
			return false
		})
		targets = append(targets, tg)
	}
	env := newTestEnv(t, targets...)
	quarantined := false
	for n := range 6 {
		_, body, err := env.post(t, "/again/x", "fatal", wiretest.ID, fmt.Sprintf("r%d", n))
		if err != nil {
			t.Fatal(err)
		}
		quarantined = strings.Contains(body, "quarantined")
	}
	if !quarantined {
		t.Error("the request was not quarantined")
	}
	crashed := 0
	for _, tg := range targets {
		if tg.runs.Load() > 0 {
			crashed++
		}
	}
	if crashed != 3 {
		t.Errorf("%d targets crashed; want 3", crashed)
	}
}

// A run that is cancelled after another target's crash may crash its own target all the same. That crash
// counts, so that the request crashes three targets at most.
func TestCrashOfCancelledRun(t *testing.T) {
	const crashAfter = 60 * time.Millisecond
	var started atomic.Int32
	second := make(chan struct{})
	var targets []*fakeTarget
	for i := range 6 {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, body string) bool {
			if started.Add(1) == 2 {
				close(second)
				<-time.After(crashAfter)
			} else {
				<-second
			}
			tg.listener.Close()
			return false
		})
		targets = append(targets, tg)
	}
	env := newTestEnv(t, targets...)
	var callers sync.WaitGroup
	for n := range 2 {
		callers.Go(func() {
			_, _, _ = env.post(t, "/again/x", "fatal", wiretest.ID, fmt.Sprintf("first%d", n))
		})
	}
	callers.Wait()
	quarantined := false
	deadline := time.Now().Add(10 * time.Second)
	for n := 0; !quarantined && time.Now().Before(deadline); n++ {
		_, body, err := env.post(t, "/again/x", "fatal", wiretest.ID, fmt.Sprintf("r%d", n))
		if err != nil {
			t.Fatal(err)
		}
		quarantined = strings.Contains(body, "quarantined")
	}
	if !quarantined {
		t.Error("the request was not quarantined")
	}
	crashed := 0
	for _, tg := range targets {
		if tg.runs.Load() > 0 {
			crashed++
		}
	}
	if crashed != 3 {
		t.Errorf("%d targets crashed; want 3", crashed)
	}
}

// A request whose callers leave before it crashes its target must not crash one target after the
// other.
func TestCrashAfterCallerLeft(t *testing.T) {
	const patience, crashAfter = 20 * time.Millisecond, 40 * time.Millisecond
	var targets []*fakeTarget
	for i := range 6 {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, body string) bool {
			<-time.After(crashAfter)
			tg.listener.Close()
			return false
		})
		targets = append(targets, tg)
	}
	env := newTestEnv(t, targets...)
	for n := 1; n <= 3; n++ {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, env.server.URL+"/again/x", strings.NewReader("fatal"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		req.Header = http.Header{wiretest.ID: {fmt.Sprintf("r%d", n)}, wiretest.Key: {"town-key"}}
		if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
			t.Fatalf("attempt %d: got %v although the caller left", n, resp)
		}
		cancel()
		deadline := time.Now().Add(5 * time.Second)
		for crashes := 0; crashes < n; {
			if listed := env.Quarantine.List(env.Now()); len(listed) > 0 {
				crashes = len(listed[0].Record.Crashes)
			}
			if time.Now().After(deadline) {
				t.Fatalf("attempt %d: %d crashes were attributed", n, crashes)
			}
			<-time.After(time.Millisecond)
		}
	}
	if _, body, err := env.post(t, "/again/x", "fatal"); err != nil || !strings.Contains(body, "quarantined") {
		t.Errorf("after three crashes: got %q, error %v", body, err)
	}
	if runs := totalRuns(targets); runs != 3 {
		t.Errorf("%d runs; want 3", runs)
	}
}

// The same with callers that leave once their request runs, and targets that crash once the entry has
// ended the run, however long either takes.
func TestCrashAfterCallerLeftDuringItsRun(t *testing.T) {
	const crashAfter = 20 * time.Millisecond
	started := make(chan struct{}, 6)
	var targets []*fakeTarget
	for i := range 6 {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, body string) bool {
			started <- struct{}{}
			_, _ = w.(net.Conn).Read(make([]byte, 1)) // until the entry ends the run
			<-time.After(crashAfter)
			tg.listener.Close()
			return false
		})
		targets = append(targets, tg)
	}
	env := newTestEnv(t, targets...)
	for n := 1; n <= 3; n++ {
		ctx, cancel := context.WithCancel(t.Context())
		go func() { <-started; cancel() }()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, env.server.URL+"/again/x", strings.NewReader("fatal"))
		if err != nil {
			t.Fatal(err)
		}
		req.Host = host
		req.Header = http.Header{wiretest.ID: {fmt.Sprintf("r%d", n)}, wiretest.Key: {"town-key"}}
		if resp, err := http.DefaultTransport.RoundTrip(req); err == nil {
			t.Fatalf("attempt %d: got %v although the caller left", n, resp)
		}
		cancel()
		deadline := time.Now().Add(5 * time.Second)
		for crashes := 0; crashes < n; {
			if listed := env.Quarantine.List(env.Now()); len(listed) > 0 {
				crashes = len(listed[0].Record.Crashes)
			}
			if time.Now().After(deadline) {
				t.Fatalf("attempt %d: %d crashes were attributed", n, crashes)
			}
			<-time.After(time.Millisecond)
		}
	}
	if _, body, err := env.post(t, "/again/x", "fatal"); err != nil || !strings.Contains(body, "quarantined") {
		t.Errorf("after three crashes: got %q, error %v", body, err)
	}
	if runs := totalRuns(targets); runs != 3 {
		t.Errorf("%d runs; want 3", runs)
	}
}

// Requests that differ in path, body or workspace from a quarantined one must be run.
func TestQuarantineMatchesOnlyTheSameRequest(t *testing.T) {
	targets := startCrashingTargets(t, 24)
	env := newTestEnv(t, targets...)
	for range 4 {
		if _, _, err := env.post(t, "/again/x", "fatal"); err != nil {
			t.Fatal(err)
		}
	}
	if runs := totalRuns(targets); runs != 3 {
		t.Fatalf("%d runs of the request; want 3", runs)
	}
	if resp, body, err := env.post(t, "/again/x", "another"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("another body: response %v, body %q, error %v", resp, body, err)
	}
	for n, request := range [][]string{{"/again/y"}, {"/again/x?y"}, {"/again/x", wiretest.Key, "fort-key"}} {
		runs := totalRuns(targets)
		if _, _, err := env.post(t, request[0], "fatal", request[1:]...); err != nil {
			t.Fatal(err)
		}
		if totalRuns(targets) == runs {
			t.Errorf("request %d was refused because of another request's crashes", n)
		}
	}
}

// A target that breaks connections but does not crash must not affect the status of its
// requests.
func TestBrokenConnectionIsNotAttributed(t *testing.T) {
	broken := func(w io.Writer, r *http.Request, _ string) bool { return false }
	a, b := startTarget(t, "a", broken), startTarget(t, "b", broken)
	env := newTestEnv(t, a, b)
	for n := range 6 {
		resp, body, err := env.post(t, "/again/x", "question", wiretest.ID, fmt.Sprintf("r%d", n))
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("attempt %d: response %v, body %q, error %v", n, resp, body, err)
		}
	}
	if listed := env.Quarantine.List(env.Now()); len(listed) != 0 {
		t.Errorf("crashes were attributed: %+v", listed)
	}
}

// A request that is running whenever some target crashes must not be quarantined if it is
// served between the crashes.
func TestFrequentRequestIsNotQuarantined(t *testing.T) {
	const interval, crashes = 40, 5
	var targets []*fakeTarget
	var runs atomic.Int32
	for i := range 24 {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, _ string) bool {
			if runs.Add(1)%interval == 0 {
				tg.listener.Close()
				return false
			}
			return tg.writeSealed(w, r, http.StatusOK, "fine")
		})
		targets = append(targets, tg)
	}
	env := newTestEnv(t, targets...)
	failed := 0
	for n := range interval * crashes {
		resp, body, err := env.post(t, "/again/x", "question")
		if err != nil || resp.StatusCode == http.StatusServiceUnavailable {
			t.Fatalf("request %d: response %v, body %q, error %v", n, resp, body, err)
		}
		if resp.StatusCode != http.StatusOK {
			failed++
		}
	}
	if failed > crashes {
		t.Errorf("%d requests failed", failed)
	}
}

// Guards against a crash that counts for an incarnation which has ended already: its successor under the
// same name runs the request, and one target more than allowed crashes.
func TestSuspectDoesNotRunAtARestartedTarget(t *testing.T) {
	for name, c := range map[string]struct {
		startedMs int64
		err       error
		runs      int
	}{"the listed incarnation": {5, nil, 1}, "started again": {6, nil, 0}, "no answer": {0, io.ErrUnexpectedEOF, 1}, "does not say": {0, nil, 1}} {
		var tg *fakeTarget
		tg = startTarget(t, "t", func(w io.Writer, r *http.Request, _ string) bool {
			tg.writeStreamHead(w, r)
			writeChunk(w, event(1))
			writeChunk(w, "")
			return true
		})
		env := newTestEnv(t, tg)
		env.view.Targets["engines"][0].StartedMs = 5
		env.StartTime = func(context.Context, netip.AddrPort) (int64, error) { return c.startedMs, c.err }
		env.Quarantine.AttributeCrash(quarantine.FingerprintOf("town", "/prompt/x", []byte("fatal")), quarantine.Caller{}, quarantine.Crash{Target: 77, At: time.Now()})
		_, _, err := env.post(t, "/prompt/x", "fatal", wiretest.Model, model, wiretest.Prompt, "1000", wiretest.TimeLeft, "1s")
		if got := int(tg.runs.Load()); err != nil || got != c.runs {
			t.Errorf("%s: %d runs, want %d; error %v", name, got, c.runs, err)
		}
	}
}
