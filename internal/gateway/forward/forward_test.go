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

// A trader files a renewal. The target runs it and the connection breaks before
// the answer. The trader must not be billed twice, and must not read that it
// did not run.
func TestLostAnswerOfACallThatRunsOnceIsNotRepeated(t *testing.T) {
	broken := func(w io.Writer, r *http.Request, body string) bool { return false }
	a, b := startTarget(t, "a", broken), startTarget(t, "b", broken)
	w := startWorld(t, a, b)
	resp, _, err := w.ask(t, "/once/x", "file")
	if err != nil {
		t.Fatal(err)
	}
	if runs := a.runs.Load() + b.runs.Load(); runs != 1 {
		t.Errorf("the call was sent %d times", runs)
	}
	if resp.StatusCode != http.StatusBadGateway {
		t.Errorf("status %d; 429 and 503 would say that it did not run", resp.StatusCode)
	}
}

// The first target is full and says that it did not run the call. Another one
// takes it; the caller sees one answer.
func TestRefusedCallGoesToAnotherTarget(t *testing.T) {
	var a, b *target
	refuseFirst := func(self **target) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			if a.runs.Load()+b.runs.Load() == 1 {
				return (*self).refused(w, r, http.StatusServiceUnavailable)
			}
			return (*self).whole(w, r, http.StatusOK, "filed")
		}
	}
	a, b = startTarget(t, "a", refuseFirst(&a)), startTarget(t, "b", refuseFirst(&b))
	w := startWorld(t, a, b)
	resp, body, err := w.ask(t, "/once/x", "file")
	if err != nil || resp.StatusCode != http.StatusOK || body != "filed" {
		t.Fatalf("status %v, body %q, error %v", resp, body, err)
	}
	if a.runs.Load() != 1 || b.runs.Load() != 1 {
		t.Errorf("sends: %d and %d", a.runs.Load(), b.runs.Load())
	}
}

// All targets are full. The caller reads that the call did not run, and when to
// come back; nothing is held until the deadline.
func TestFullTargetsAreToldAtOnce(t *testing.T) {
	var a *target
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		return a.refused(w, r, http.StatusServiceUnavailable)
	})
	w := startWorld(t, a)
	began := time.Now()
	resp, _, err := w.ask(t, "/once/x", "file", wiretest.TimeLeft, "30s")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusTooManyRequests && resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("held for %v", took)
	}
}

// A target answers a question with an error of its own, which may be a passing
// one. A question may be asked again; the caller gets the good answer.
func TestFailedQuestionIsAskedElsewhere(t *testing.T) {
	var a, b *target
	failFirst := func(self **target) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			if a.runs.Load()+b.runs.Load() == 1 {
				return (*self).whole(w, r, http.StatusInternalServerError, "failed")
			}
			return (*self).whole(w, r, http.StatusOK, "fine")
		}
	}
	a, b = startTarget(t, "a", failFirst(&a)), startTarget(t, "b", failFirst(&b))
	w := startWorld(t, a, b)
	resp, body, err := w.ask(t, "/again/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
		t.Fatalf("status %v, body %q, error %v", resp, body, err)
	}
}

// The last target that may be tried fails. Its own answer is passed on as it
// is, with its seal: an own failure with its seal would be a forgery.
func TestLastFailureIsTheTargetsOwn(t *testing.T) {
	var a *target
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		return a.whole(w, r, http.StatusInternalServerError, "broken")
	})
	w := startWorld(t, a)
	resp, body, err := w.ask(t, "/once/x", "")
	if err != nil || resp.StatusCode != http.StatusInternalServerError || body != "broken" || resp.Header.Get(wiretest.Seal) != "by-a" {
		t.Fatalf("response %v, body %q, error %v", resp, body, err)
	}
}

// A faulty target spoils answers: without its seal, with another request's id,
// compressed, or cut short. None may reach the caller as a success.
func TestSpoiledAnswersAreNoSuccess(t *testing.T) {
	id := func(r *http.Request) string { return r.Header.Get(wiretest.ID) }
	spoiled := map[string]func(w io.Writer, r *http.Request, body string) bool{
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
	for name, answer := range spoiled {
		t.Run(name, func(t *testing.T) {
			a := startTarget(t, "a", answer)
			w := startWorld(t, a)
			resp, body, err := w.ask(t, "/once/x", "")
			if err != nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("response %v, body %q, error %v", resp, body, err)
			}
		})
	}
}

// A target sends a second answer to a request, late: it lies on the kept
// connection when the next request comes. Each caller gets its own answer.
func TestLateSecondAnswerReachesNobody(t *testing.T) {
	var a *target
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		if a.runs.Load() == 2 {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: r1\r\n%s: by-a\r\nContent-Length: 5\r\n\r\nagain", wiretest.ID, wiretest.Seal)
		}
		return a.whole(w, r, http.StatusOK, "for "+r.Header.Get(wiretest.ID))
	})
	w := startWorld(t, a)
	for _, id := range []string{"r1", "r2", "r3"} {
		resp, body, err := w.ask(t, "/once/x", "", wiretest.ID, id)
		if err != nil || resp.StatusCode != http.StatusOK || body != "for "+id {
			t.Errorf("%s: response %v, body %q, error %v", id, resp, body, err)
		}
	}
}

// An answer without a length ends with its connection. Closed in order it is
// whole.
func TestAnswerWithoutALengthIsWholeWhenItsConnectionCloses(t *testing.T) {
	a := startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n\r\nunframed", wiretest.ID, r.Header.Get(wiretest.ID), wiretest.Seal)
		return false
	})
	w := startWorld(t, a)
	resp, body, err := w.ask(t, "/once/x", "")
	if err != nil || resp.StatusCode != http.StatusOK || body != "unframed" {
		t.Errorf("response %v, body %q, error %v", resp, body, err)
	}
}

// An engine breaks off in the middle of an event. The stream may be resumed: it
// goes on at another engine after the last whole event, and the reader sees
// each event once and in order, under the first engine's head.
func TestStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	var a, b *target
	serve := func(self **target) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			(*self).streamHead(w, r)
			if last := r.Header.Get(wiretest.LastEventID); last != "" {
				if last != "2" {
					t.Errorf("the rest was asked for after event %s", last)
				}
				chunk(w, event(3)+event(4))
				io.WriteString(w, "0\r\n\r\n")
				return true
			}
			chunk(w, event(1))
			chunk(w, event(2)+"id: 3\ndata: pie")
			return false
		}
	}
	a, b = startTarget(t, "a", serve(&a)), startTarget(t, "b", serve(&b))
	w := startWorld(t, a, b)
	resp, body, err := w.ask(t, "/resume/x", "")
	if err != nil {
		t.Fatal(err)
	}
	if want := event(1) + event(2) + event(3) + event(4); body != want {
		t.Errorf("the reader got %q", body)
	}
	if a.runs.Load() != 1 || b.runs.Load() != 1 {
		t.Errorf("sends: %d and %d", a.runs.Load(), b.runs.Load())
	}
	if resp.Header.Get(wiretest.Seal) == "" {
		t.Error("the head has no seal")
	}
}

// The same on a route that may not be resumed: the rest is not asked for, and
// the answer does not look complete.
func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	var a, b *target
	serve := func(self **target) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			(*self).streamHead(w, r)
			chunk(w, event(1))
			return false
		}
	}
	a, b = startTarget(t, "a", serve(&a)), startTarget(t, "b", serve(&b))
	w := startWorld(t, a, b)
	_, body, err := w.ask(t, "/stream/x", "")
	if err == nil {
		t.Errorf("the answer looks complete: %q", body)
	}
	if runs := a.runs.Load() + b.runs.Load(); runs != 1 {
		t.Errorf("the stream was sent %d times", runs)
	}
}

// Events reach the caller as they come, not at the stream's end.
func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	proceed := make(chan struct{})
	var a *target
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		a.streamHead(w, r)
		chunk(w, event(1))
		<-proceed
		chunk(w, event(2))
		io.WriteString(w, "0\r\n\r\n")
		return true
	})
	w := startWorld(t, a)
	req, _ := http.NewRequest(http.MethodPost, w.server.URL+"/stream/x", nil)
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
		t.Fatalf("%q, %v", first, err)
	}
	close(proceed)
	rest, err := io.ReadAll(resp.Body)
	if err != nil || string(rest) != event(2) {
		t.Errorf("%q, %v", rest, err)
	}
}

// The caller goes away in the middle of a stream. The engine must not work on:
// its connection is closed.
func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	var a *target
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		a.streamHead(w, r)
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
	w := startWorld(t, a)
	ctx, leave := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, w.server.URL+"/stream/x", nil)
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
	leave()
	resp.Body.Close()
	waitFor(t, "the forwarder has let go of the request", func() bool { return w.InFlight() == 0 })
	if got := w.Ledger.Own(time.Now()); len(got) != 0 {
		t.Errorf("work is still counted: %v", got)
	}
}

// A target hangs. The caller gets its final answer at the route's time, not
// later, and it does not say that the call did not run.
func TestFinalAnswerComesAtTheRoutesTime(t *testing.T) {
	release := make(chan struct{})
	a := startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool { <-release; return false })
	defer close(release)
	w := startWorld(t, a)
	began := time.Now()
	resp, _, err := w.ask(t, "/once/x", "file", wiretest.TimeLeft, "150ms")
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); resp.StatusCode != http.StatusGatewayTimeout || took > 600*time.Millisecond {
		t.Errorf("status %d after %v", resp.StatusCode, took)
	}
}

// A question that one target leaves unanswered is asked elsewhere while there
// is time.
func TestQuestionThatHangsIsAskedElsewhere(t *testing.T) {
	release := make(chan struct{})
	var a, b *target
	hangFirst := func(self **target) func(io.Writer, *http.Request, string) bool {
		return func(w io.Writer, r *http.Request, body string) bool {
			if a.runs.Load()+b.runs.Load() == 1 {
				<-release
				return false
			}
			return (*self).whole(w, r, http.StatusOK, "fine")
		}
	}
	a, b = startTarget(t, "a", hangFirst(&a)), startTarget(t, "b", hangFirst(&b))
	defer close(release)
	w := startWorld(t, a, b)
	resp, body, err := w.ask(t, "/again/x", "", wiretest.TimeLeft, "600ms")
	if err != nil || resp.StatusCode != http.StatusOK || body != "fine" {
		t.Errorf("response %v, body %q, error %v", resp, body, err)
	}
}

// A long body is refused by an engine before it is in. The rest of the body
// must not be read as the next request: the connection is not used again.
func TestEarlyAnswerToALongBodyEndsItsConnection(t *testing.T) {
	var a *target
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool {
		return a.whole(w, r, http.StatusOK, fmt.Sprint(len(body)))
	})
	early := startEarlyTarget(t)
	w := startWorld(t, a)
	w.view.Targets["plain"][0].Address = early.address
	long := strings.Repeat("x", 1<<19)
	resp, _, err := w.ask(t, "/once/x", long)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode == http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
	for range 3 {
		_, _, _ = w.ask(t, "/once/x", "next")
	}
	if n := early.mixed.Load(); n != 0 {
		t.Errorf("%d requests came where the rest of a body was due", n)
	}
}

// Requests without a route, without a key, with a wrong key or too large a body
// are refused with what is wrong, and reach no target.
func TestRefusalsBeforeASend(t *testing.T) {
	var a *target
	a = startTarget(t, "a", func(w io.Writer, r *http.Request, body string) bool { return a.whole(w, r, http.StatusOK, "") })
	w := startWorld(t, a)
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
		resp, _, err := w.ask(t, c.path, c.body, wiretest.Key, c.key)
		if err != nil || resp.StatusCode != c.status {
			t.Errorf("%s: response %v, error %v, want status %d", c.name, resp, err, c.status)
		}
	}
	if a.runs.Load() != 0 {
		t.Errorf("%d requests reached the target", a.runs.Load())
	}
	if resp, _, err := w.ask(t, "/public/x", "", wiretest.Key, ""); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("public route: response %v, error %v", resp, err)
	}
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", what)
		}
		<-time.After(2 * time.Millisecond)
	}
}

// The links of an entry's host fail while callers still reach it. Each request
// tried four engines and waited a quarter of a second for each before it was
// refused. Once one connection has failed and no process is heard, the refusal
// comes at once, and sends the caller to another entry.
func TestEntryThatIsCutOffRefusesAtOnce(t *testing.T) {
	tg := startTarget(t, "i1", nil)
	w := startWorld(t, tg)
	w.Reach.HeartbeatReceived(time.Now().Add(-time.Second))
	w.Reach.ConnectFailed(time.Now())
	resp, body, err := w.ask(t, "/prompt/x", "p", wiretest.Model, model, wiretest.Prompt, "10,1")
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "cut_off") {
		t.Errorf("%d %s", resp.StatusCode, body)
	}
	if !resp.Close || resp.Header.Get("Retry-After") == "" {
		t.Errorf("close %v, headers %v", resp.Close, resp.Header)
	}
	if n := tg.runs.Load(); n != 0 {
		t.Errorf("%d sends", n)
	}
}

// A stopping entry takes a review that lasts longer than the entry has left. The
// stream was cut off in the middle. What will have ended in time is still served:
// other entries may be stopping too.
func TestStoppingEntryTakesOnlyWhatWillEnd(t *testing.T) {
	var tg *target
	tg = startTarget(t, "i1", func(w io.Writer, r *http.Request, _ string) bool { return tg.whole(w, r, 200, "answer") })
	w := startWorld(t, tg)
	w.view.Stopping, w.view.SelectiveFrom, w.view.ShutdownAt = true, time.Now(), time.Now().Add(time.Second)
	resp, body, err := w.ask(t, "/again/x", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "stopping") {
		t.Errorf("a request of two seconds: %v %s %v", resp, body, err)
	}
	resp, body, err = w.ask(t, "/again/x", "", wiretest.TimeLeft, "300ms")
	if err != nil || resp.StatusCode != http.StatusOK || body != "answer" || !resp.Close {
		t.Errorf("a request of 0.3 seconds: %v %s %v", resp, body, err)
	}
}

// Engines are so full that the first event would come after the caller has left,
// long before its deadline. The prompt was sent all the same, read, and thrown
// away. It is refused at once, with the time to come back.
func TestPromptWhoseCallerWouldLeaveIsRefused(t *testing.T) {
	tg := startTarget(t, "i1", nil)
	w := startWorld(t, tg)
	w.view.Estate.Match(host, "/prompt/").MaxWait = 300 * time.Millisecond
	busy := w.Ledger.Begin(fleet.IDOf("i1-engine"), ledger.Work{Running: 1, Prefill: ledger.AtPriority(0, 2*time.Second)}, time.Hour, time.Now())
	defer busy.End()
	resp, body, err := w.ask(t, "/prompt/x", "p", wiretest.Model, model, wiretest.Prompt, "10,1")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "deadline_unmeetable") || resp.Header.Get("Retry-After") == "" {
		t.Errorf("%v %s %v", resp, body, err)
	}
	if n := tg.runs.Load(); n != 0 {
		t.Errorf("%d sends", n)
	}
}
