package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// A connection breaks after a non-idempotent request was sent. The request must not be sent
// again, and must not be reported as not run.
func TestNonIdempotentRequestIsNotRetriedAfterLostResponse(t *testing.T) {
	broken := func(w io.Writer, r *http.Request, body string) bool { return false }
	a, b := startTarget(t, "a", broken), startTarget(t, "b", broken)
	env := newTestEnv(t, a, b)
	resp, _, err := env.post(t, "/once/x", "file")
	if err != nil {
		t.Fatal(err)
	}
	if runs := a.runs.Load() + b.runs.Load(); runs != 1 {
		t.Errorf("the request was sent %d times", runs)
	}
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d, want 502; 429 and 503 mean that the request did not run", resp.StatusCode)
	}
}

// A target states that it did not run a non-idempotent request. The request must be sent to
// another target.
func TestRefusedRequestGoesToAnotherTarget(t *testing.T) {
	var a, b *fakeTarget
	refuseFirst := func(self **fakeTarget) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			if a.runs.Load()+b.runs.Load() == 1 {
				return (*self).writeNotRun(w, r, http.StatusServiceUnavailable)
			}
			return (*self).writeSealed(w, r, http.StatusOK, "filed")
		}
	}
	a, b = startTarget(t, "a", refuseFirst(&a)), startTarget(t, "b", refuseFirst(&b))
	env := newTestEnv(t, a, b)
	resp, body, err := env.post(t, "/once/x", "file")
	if err != nil || resp.StatusCode != http.StatusOK || body != "filed" {
		t.Fatalf("status %v, body %q, error %v", resp, body, err)
	}
	if a.runs.Load() != 1 || b.runs.Load() != 1 {
		t.Errorf("sends: %d and %d, want 1 and 1", a.runs.Load(), b.runs.Load())
	}
}

// If all targets refuse, the caller must get a retryable error at once, not at the
// deadline.
func TestFullTargetsAreRefusedAtOnce(t *testing.T) {
	var a *fakeTarget
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		return a.writeNotRun(w, r, http.StatusServiceUnavailable)
	})
	env := newTestEnv(t, a)
	start := time.Now()
	resp, _, err := env.post(t, "/once/x", "file", wiretest.TimeLeft, "30s")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("refused after %v", took)
	}
}

// An idempotent request that failed with 500 is retried at another target.
func TestFailedIdempotentRequestIsRetried(t *testing.T) {
	var a, b *fakeTarget
	failFirst := func(self **fakeTarget) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			if a.runs.Load()+b.runs.Load() == 1 {
				return (*self).writeSealed(w, r, http.StatusInternalServerError, "failed")
			}
			return (*self).writeSealed(w, r, http.StatusOK, "fine")
		}
	}
	a, b = startTarget(t, "a", failFirst(&a)), startTarget(t, "b", failFirst(&b))
	env := newTestEnv(t, a, b)
	resp, body, err := env.post(t, "/again/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
		t.Fatalf("status %v, body %q, error %v", resp, body, err)
	}
}

// A failure of the last target to be tried must be relayed with its seal, not replaced by
// the entry's own error.
func TestLastFailureIsRelayedUnchanged(t *testing.T) {
	var a *fakeTarget
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		return a.writeSealed(w, r, http.StatusInternalServerError, "broken")
	})
	env := newTestEnv(t, a)
	resp, body, err := env.post(t, "/once/x", "")
	if err != nil || resp.StatusCode != http.StatusInternalServerError || body != "broken" || resp.Header.Get(wiretest.Seal) != "by-a" {
		t.Fatalf("response %v, body %q, error %v", resp, body, err)
	}
}

// Responses without a seal, with another request's ID, encoded, truncated or malformed
// must not be relayed as a success.
func TestInvalidResponsesAreNotRelayed(t *testing.T) {
	id := func(r *http.Request) string { return r.Header.Get(wiretest.ID) }
	responses := map[string]func(w io.Writer, r *http.Request, body string) bool{
		"no seal": func(w io.Writer, r *http.Request, body string) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", wiretest.ID, id(r))
			return true
		},
		"another id": func(w io.Writer, r *http.Request, body string) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: other\r\n%s: s\r\nContent-Length: 2\r\n\r\nok", wiretest.ID, wiretest.Seal)
			return false
		},
		"encoded": func(w io.Writer, r *http.Request, body string) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", wiretest.ID, id(r), wiretest.Seal)
			return true
		},
		"cut": func(w io.Writer, r *http.Request, body string) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 20\r\n\r\nok", wiretest.ID, id(r), wiretest.Seal)
			return false
		},
		"no HTTP": func(w io.Writer, r *http.Request, body string) bool {
			fmt.Fprint(w, "\x00\x01garbage\r\n\r\n")
			return false
		},
	}
	for name, handle := range responses {
		t.Run(name, func(t *testing.T) {
			a := startTarget(t, "a", handle)
			env := newTestEnv(t, a)
			resp, body, err := env.post(t, "/once/x", "")
			if err != nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("response %v, body %q, error %v", resp, body, err)
			}
		})
	}
}

// A target sends a second response on a kept-alive connection. The next request must not
// get it.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	var a *fakeTarget
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		if a.runs.Load() == 2 {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: r1\r\n%s: by-a\r\nContent-Length: 5\r\n\r\nagain", wiretest.ID, wiretest.Seal)
		}
		return a.writeSealed(w, r, http.StatusOK, "for "+r.Header.Get(wiretest.ID))
	})
	env := newTestEnv(t, a)
	for _, id := range []string{"r1", "r2", "r3"} {
		resp, body, err := env.post(t, "/once/x", "", wiretest.ID, id)
		if err != nil || resp.StatusCode != http.StatusOK || body != "for "+id {
			t.Errorf("%s: response %v, body %q, error %v", id, resp, body, err)
		}
	}
}

// A response without a length is complete when its connection is closed in order.
func TestResponseWithoutLengthEndsWithItsConnection(t *testing.T) {
	a := startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nunframed", wiretest.ID, r.Header.Get(wiretest.ID), wiretest.Seal)
		return false
	})
	env := newTestEnv(t, a)
	resp, body, err := env.post(t, "/once/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "unframed" {
		t.Errorf("response %v, body %q, error %v", resp, body, err)
	}
}

// An engine fails in the middle of an event on a resumable route. The stream must continue
// at another engine, with each event relayed once and in order.
func TestStreamResumesAfterLastWholeEvent(t *testing.T) {
	var a, b *fakeTarget
	serve := func(self **fakeTarget) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			(*self).writeStreamHead(w, r)
			if last := r.Header.Get(wiretest.LastEventID); last != "" {
				if last != "2" {
					t.Errorf("resumed after event %s, want 2", last)
				}
				writeChunk(w, event(3)+event(4))
				io.WriteString(w, "0\r\n\r\n")
				return true
			}
			writeChunk(w, event(1))
			writeChunk(w, event(2)+"id: 3\ndata: pie")
			return false
		}
	}
	a, b = startTarget(t, "a", serve(&a)), startTarget(t, "b", serve(&b))
	env := newTestEnv(t, a, b)
	resp, body, err := env.post(t, "/resume/x", "")
	if err != nil {
		t.Fatal(err)
	}
	if want := event(1) + event(2) + event(3) + event(4); body != want {
		t.Errorf("got %q", body)
	}
	if a.runs.Load() != 1 || b.runs.Load() != 1 {
		t.Errorf("sends: %d and %d, want 1 and 1", a.runs.Load(), b.runs.Load())
	}
	if resp.Header.Get(wiretest.Seal) == "" {
		t.Error("the head has no seal")
	}
}

// On a route that is not resumable, a broken stream is not sent again and must not look
// complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	var a, b *fakeTarget
	serve := func(self **fakeTarget) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			(*self).writeStreamHead(w, r)
			writeChunk(w, event(1))
			return false
		}
	}
	a, b = startTarget(t, "a", serve(&a)), startTarget(t, "b", serve(&b))
	env := newTestEnv(t, a, b)
	_, body, err := env.post(t, "/stream/x", "")
	if err == nil {
		t.Errorf("the response looks complete: %q", body)
	}
	if runs := a.runs.Load() + b.runs.Load(); runs != 1 {
		t.Errorf("the stream was sent %d times", runs)
	}
}

// Events must not be buffered until the end of the stream.
func TestEventsAreRelayedImmediately(t *testing.T) {
	proceed := make(chan struct{})
	var a *fakeTarget
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		a.writeStreamHead(w, r)
		writeChunk(w, event(1))
		<-proceed
		writeChunk(w, event(2))
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	env := newTestEnv(t, a)
	req, _ := http.NewRequest(http.MethodPost, env.server.URL+"/stream/x", nil)
	req.Host = host
	req.Header.Set(wiretest.ID, "r1")
	req.Header.Set(wiretest.Key, "town-key")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	first := make([]byte, len(event(1)))
	if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != event(1) {
		t.Fatalf("first event %q, error %v", first, err)
	}
	close(proceed)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || string(rest) != event(2) {
		t.Errorf("second event %q, error %v", rest, err)
	}
}

// When the caller disconnects from a stream, the connection to the engine must be closed.
func TestDisconnectedCallerCancelsRequest(t *testing.T) {
	var a *fakeTarget
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		a.writeStreamHead(w, r)
		for n := 1; ; n++ {
			if _, err := io.WriteString(w, fmt.Sprintf("%x\r\n%s\r\n", len(event(n)), event(n))); err != nil {
				return false
			}
			select {
			case <-t.Context().Done():
				return false
			case <-time.After(time.Millisecond):
			}
		}
	})
	env := newTestEnv(t, a)
	ctx, disconnect := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, env.server.URL+"/stream/x", nil)
	req.Host = host
	req.Header.Set(wiretest.ID, "r1")
	req.Header.Set(wiretest.Key, "town-key")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	first := make([]byte, len(event(1)))
	_, _ = io.ReadFull(resp.Body, first)
	disconnect()
	resp.Body.Close()
	waitFor(t, "the request has ended", func() bool { return env.InFlight() == 0 })
	if got := env.Ledger.Own(time.Now()); len(got) != 0 {
		t.Errorf("work is still in the ledger: %v", got)
	}
}

// If a target hangs, the caller must get 504 at its deadline, and not a status that says
// the request did not run.
func TestDeadlineEndsRequest(t *testing.T) {
	release := make(chan struct{})
	a := startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool { <-release; return false })
	defer close(release)
	env := newTestEnv(t, a)
	start := time.Now()
	resp, _, err := env.post(t, "/once/x", "file", wiretest.TimeLeft, "150ms")
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(start); resp.StatusCode != http.StatusGatewayTimeout || took > 600*time.Millisecond {
		t.Errorf("status %d after %v", resp.StatusCode, took)
	}
}

// If a target does not respond to an idempotent request, another one must be tried before
// the deadline.
func TestHangingIdempotentRequestIsRetried(t *testing.T) {
	release := make(chan struct{})
	var a, b *fakeTarget
	hangFirst := func(self **fakeTarget) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			if a.runs.Load()+b.runs.Load() == 1 {
				<-release
				return false
			}
			return (*self).writeSealed(w, r, http.StatusOK, "fine")
		}
	}
	a, b = startTarget(t, "a", hangFirst(&a)), startTarget(t, "b", hangFirst(&b))
	defer close(release)
	env := newTestEnv(t, a, b)
	resp, body, err := env.post(t, "/again/x", "", wiretest.TimeLeft, "600ms")
	if err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
		t.Errorf("response %v, body %q, error %v", resp, body, err)
	}
}

// A target responds before it has read the whole body. The rest of the body must not be
// read as the next request: the connection is not reused.
func TestEarlyResponseClosesConnection(t *testing.T) {
	var a *fakeTarget
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		return a.writeSealed(w, r, http.StatusOK, fmt.Sprint(len(body)))
	})
	early := startEarlyResponder(t)
	env := newTestEnv(t, a)
	env.view.Targets["plain"][0].Address = early.address
	long := strings.Repeat("x", 1<<19)
	resp, _, err := env.post(t, "/once/x", long)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode == http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	for range 3 {
		_, _, _ = env.post(t, "/once/x", "next")
	}
	if n := early.misread.Load(); n != 0 {
		t.Errorf("%d requests were sent into an unfinished body", n)
	}
}

// Invalid requests must be refused with the right status and reach no target.
func TestRefusalsBeforeASend(t *testing.T) {
	var a *fakeTarget
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool { return a.writeSealed(w, r, http.StatusOK, "") })
	env := newTestEnv(t, a)
	cases := []struct {
		name, path, body, key string
		status                int
	}{
		{"no route", "/nowhere/x", "", "town-key", http.StatusNotFound},
		{"prefix without its slash", "/once", "", "town-key", http.StatusNotFound},
		{"no key", "/once/x", "", "", http.StatusUnauthorized},
		{"wrong key", "/once/x", "", "other", http.StatusUnauthorized},
		{"too large", "/once/x", strings.Repeat("x", 1<<20+1), "town-key", http.StatusRequestEntityTooLarge},
	}
	for _, c := range cases {
		resp, _, err := env.post(t, c.path, c.body, wiretest.Key, c.key)
		if err != nil || resp.StatusCode != c.status {
			t.Errorf("%s: response %v, error %v, want status %d", c.name, resp, err, c.status)
		}
	}
	if a.runs.Load() != 0 {
		t.Errorf("%d requests reached the target", a.runs.Load())
	}
	if resp, _, err := env.post(t, "/public/x", "", wiretest.Key, ""); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("public route: response %v, error %v", resp, err)
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting: %s", what)
		}
		<-time.After(2 * time.Millisecond)
	}
}

// An entry that is partitioned from all engines must refuse at once, and close the connection
// so that the caller retries at another entry.
func TestPartitionedEntryRefusesAtOnce(t *testing.T) {
	tg := startTarget(t, "i1", nil)
	env := newTestEnv(t, tg)
	env.Reach.HeartbeatReceived(time.Now().Add(-time.Second))
	env.Reach.ConnectFailed(time.Now())
	resp, body, err := env.post(t, "/prompt/x", "p", wiretest.Model, model, wiretest.Prompt, "10,1")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "cut_off") {
		t.Errorf("status %d, body %s", resp.StatusCode, body)
	}
	if !resp.Close || resp.Header.Get("Retry-After") == "" {
		t.Errorf("close %v, headers %v", resp.Close, resp.Header)
	}
	if n := tg.runs.Load(); n != 0 {
		t.Errorf("%d sends, want none", n)
	}
}

// A prompt whose first event is expected after the caller's first-event timeout must be
// refused without being sent.
func TestPromptBeyondFirstEventTimeoutIsRefused(t *testing.T) {
	tg := startTarget(t, "i1", nil)
	env := newTestEnv(t, tg)
	env.view.Estate.Match(host, "/prompt/").MaxWait = 300 * time.Millisecond
	busy := env.Ledger.Begin(fleet.IDOf("i1-engine"), ledger.Work{Running: 1, Prefill: ledger.AtPriority(0, 2*time.Second)}, time.Hour, time.Now())
	defer busy.End()
	resp, body, err := env.post(t, "/prompt/x", "p", wiretest.Model, model, wiretest.Prompt, "10,1")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "deadline_unmeetable") || resp.Header.Get("Retry-After") == "" {
		t.Errorf("response %v, body %s, error %v", resp, body, err)
	}
	if n := tg.runs.Load(); n != 0 {
		t.Errorf("%d sends, want none", n)
	}
}

// Guards against requests that are given up after half of their time although no other target is left: the
// answer of the only one would have come in time.
func TestOnlyTargetIsWaitedFor(t *testing.T) {
	var tg *fakeTarget
	tg = startTarget(t, "t", func(w io.Writer, r *http.Request, _ string) bool {
		<-time.After(600 * time.Millisecond)
		if strings.HasPrefix(r.RequestURI, "/resume-prompt/") {
			tg.writeStreamHead(w, r)
			writeChunk(w, event(1))
			writeChunk(w, "")
			return true
		}
		return tg.writeSealed(w, r, http.StatusOK, "fine")
	})
	for path, headers := range map[string][]string{"/again/x": nil, "/resume-prompt/x": {wiretest.Model, model, wiretest.Prompt, "10"}} {
		env := newTestEnv(t, tg)
		if resp, body, err := env.post(t, path, "", append(headers, wiretest.TimeLeft, "1s")...); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%s: response %v, body %q, error %v", path, resp, body, err)
		}
	}
}
