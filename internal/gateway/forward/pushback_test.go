package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// countedLimits has room for a number of requests at each target.
type countedLimits struct {
	mu       sync.Mutex
	room     map[fleet.ID]int
	admitted int
	refunded int
	asked    int
	reserves []int
}

func (l *countedLimits) RefusedUntil(TargetRequest) (time.Time, bool) {
	return time.Time{}, false
}

func (l *countedLimits) Admit(_ context.Context, r TargetRequest) ratelimit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked++
	l.reserves = append(l.reserves, r.Reserve)
	if l.room[r.Target] <= 0 {
		return ratelimit.Decision{Source: ratelimit.Coordinated, RetryAfter: time.Second}
	}
	l.room[r.Target]--
	l.admitted++
	return ratelimit.Decision{Admitted: true, Source: ratelimit.Coordinated}
}

func (l *countedLimits) Refund(fleet.ID, ratelimit.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refunded++
}

// statedLimit is the limit of the targets in newThrottledEnv, in requests per second.
const statedLimit = 5

// newThrottledEnv returns an environment whose targets answer everything. Each of the first n states a
// limit and has room for the given number of requests.
func newThrottledEnv(t *testing.T, targets, n, room int) (*testEnv, *countedLimits, []*fakeTarget) {
	t.Helper()
	var all []*fakeTarget
	for i := range targets {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, _ string) bool {
			if i < n {
				w = &headerInserter{w: w, header: fmt.Sprintf("%s: %d\r\n", wiretest.RateLimit, statedLimit)}
			}
			return tg.writeSealed(w, r, http.StatusOK, "fine")
		})
		all = append(all, tg)
	}
	env := newTestEnv(t, all...)
	limits := &countedLimits{room: map[fleet.ID]int{}}
	env.TargetLimits = limits
	for _, tg := range all[:n] {
		target := env.plainTarget(tg.instance)
		env.stateLimit(target, statedLimit)
		limits.room[target.ID] = room
	}
	return env, limits, all
}

// plainTarget returns the plain target of an instance.
func (env *testEnv) plainTarget(instance string) *fleet.Target {
	for i := range env.view.Targets["plain"] {
		if t := &env.view.Targets["plain"][i]; t.Instance == instance {
			return t
		}
	}
	return nil
}

func (env *testEnv) stateLimit(t *fleet.Target, perSecond float64) {
	env.Pushback.Record(pushback.Response{Target: t.ID, Incarnation: t.Incarnation, Pushback: wire.Pushback{RateLimit: perSecond, HasRateLimit: true}}, env.Now())
}

// Guards against requests to a target that has no room within its limit while another one can take
// them.
func TestRequestPassesOverLimitedTarget(t *testing.T) {
	env, limits, targets := newThrottledEnv(t, 2, 1, 3)
	for n := range 20 {
		if resp, _, err := env.post(t, "/again/x", "", wiretest.ID, fmt.Sprint(n)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	if runs := targets[0].runs.Load(); runs == 0 || int(runs) != limits.admitted || runs > 3 {
		t.Errorf("the limited target got %d requests, %d were admitted", runs, limits.admitted)
	}
}

// Guards against callers that wait although no target has room, and against retry delays that bring
// all of them back at the same time.
func TestRequestIsRefusedAtOnceWhenAllTargetsAreThrottled(t *testing.T) {
	env, limits, _ := newThrottledEnv(t, 6, 6, 0)
	seen := map[string]bool{}
	for n := range 4 {
		start := time.Now()
		resp, body, err := env.post(t, "/again/x", "", wiretest.ID, fmt.Sprint(n), wiretest.TimeLeft, "1m")
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "throttled") {
			t.Fatalf("response %v, body %q, error %v", resp, body, err)
		}
		if took := time.Since(start); took > 200*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if err != nil || after < 0.15 || seen[resp.Header.Get("Retry-After")] {
			t.Errorf("Retry-After %q, others %v", resp.Header.Get("Retry-After"), seen)
		}
		seen[resp.Header.Get("Retry-After")] = true
	}
	if limits.asked > 4*maxDenials {
		t.Errorf("%d questions about room for 4 requests", limits.asked)
	}
}

// Guards against retries that are not counted against a target's limit.
func TestEachSendCountsAgainstTheLimit(t *testing.T) {
	var failing *fakeTarget
	failing = startTarget(t, "failing", func(w io.Writer, r *http.Request, _ string) bool {
		return failing.writeSealed(w, r, http.StatusInternalServerError, "failed")
	})
	other := startTarget(t, "other", failing.handle)
	env := newTestEnv(t, failing, other)
	limits := &countedLimits{room: map[fleet.ID]int{}}
	env.TargetLimits = limits
	for _, name := range []string{"failing", "other"} {
		env.stateLimit(env.plainTarget(name), 5)
		limits.room[env.plainTarget(name).ID] = 5
	}
	if _, _, err := env.post(t, "/again/x", ""); err != nil {
		t.Fatal(err)
	}
	if runs := failing.runs.Load() + other.runs.Load(); runs != 2 || limits.admitted != 2 {
		t.Errorf("%d sends, %d admitted", runs, limits.admitted)
	}
}

// Guards against a target's limit that is used up by requests that never reached the target.
func TestUnsentRequestIsRefunded(t *testing.T) {
	env, limits, targets := newThrottledEnv(t, 2, 1, 1)
	targets[0].listener.Close()
	for n := range 5 {
		if resp, _, err := env.post(t, "/again/x", "", wiretest.ID, fmt.Sprint(n)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	if limits.admitted == 0 || limits.refunded != limits.admitted {
		t.Errorf("%d admitted, %d refunded", limits.admitted, limits.refunded)
	}
}

// Guards against a statement in a response that is not recorded, and one that outlives it.
func TestStatementsOfResponsesAreRecorded(t *testing.T) {
	for name, respond := range map[string]func(tg *fakeTarget, w io.Writer, r *http.Request) bool{
		"success": func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
			return tg.writeSealed(w, r, http.StatusOK, "fine")
		},
		"failure": func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
			return tg.writeSealed(w, r, http.StatusInternalServerError, "failed")
		},
		"not run": func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
			return tg.writeNotRun(w, r, http.StatusServiceUnavailable)
		},
		"misdirected": func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
			return tg.writeNotRun(w, r, http.StatusMisdirectedRequest)
		},
		"unsealed": func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", wiretest.ID, r.Header.Get(wiretest.ID))
			return true
		},
		"stream": func(tg *fakeTarget, w io.Writer, r *http.Request) bool {
			tg.writeStreamHead(w, r)
			writeChunk(w, event(1))
			writeChunk(w, "")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			states := true
			var tg *fakeTarget
			tg = startTarget(t, "t", func(w io.Writer, r *http.Request, _ string) bool {
				if states {
					w = &headerInserter{w: w, header: wiretest.RateLimit + ": 5\r\n"}
				}
				return respond(tg, w, r)
			})
			env := newTestEnv(t, tg)
			path := "/once/x"
			if name == "stream" {
				path = "/stream/x"
			}
			for _, states = range []bool{true, false} {
				if _, _, err := env.post(t, path, ""); err != nil {
					t.Fatal(err)
				}
				if _, _, limited := env.Pushback.RateLimit(env.plainTarget("t").ID, env.Now()); limited != states {
					t.Errorf("limited: %v, stated: %v", limited, states)
				}
			}
		})
	}
}

// headerInserter adds a header after the status line.
type headerInserter struct {
	w      io.Writer
	header string
	done   bool
}

func (h *headerInserter) Write(p []byte) (int, error) {
	text := string(p)
	if i := strings.Index(text, "\r\n"); i >= 0 && !h.done {
		h.done = true
		text = text[:i+2] + h.header + text[i+2:]
	}
	_, err := io.WriteString(h.w, text)
	return len(p), err
}

// Guards against requests of low priority that use the last room of a target.
func TestLowPriorityLeavesRoomForOthers(t *testing.T) {
	env, limits, _ := newThrottledEnv(t, 1, 1, 100)
	for _, route := range env.view.Estate.Routes() {
		if route.Name == "again" {
			env.view.Estate.Match(host, "/again/x").Priority = 3
		}
	}
	for _, path := range []string{"/again/x", "/once/x"} {
		if _, _, err := env.post(t, path, ""); err != nil {
			t.Fatal(err)
		}
	}
	if len(limits.reserves) != 2 || limits.reserves[0] <= limits.reserves[1] {
		t.Errorf("reserves %v; want a larger one for the lower priority", limits.reserves)
	}
}

// Guards against a schedule that gives a turn to callers that would not wait for it.
func TestReturnScheduleSkipsImpatientCallers(t *testing.T) {
	var s returnSchedule
	now := time.Unix(1000, 0)
	earliest := now.Add(time.Second)
	if d := s.reserve("s", earliest, time.Second, 500*time.Millisecond, now); d != time.Second {
		t.Errorf("delay %v", d)
	}
	for n := range 3 {
		want := time.Duration(n+1) * time.Second
		if d := s.reserve("s", earliest, time.Second, time.Minute, now); d != want {
			t.Errorf("caller %d: delay %v, want %v", n, d, want)
		}
	}
	if !s.pending("s", now) || s.pending("other", now) || s.pending("s", now.Add(5*time.Second)) {
		t.Error("callers are due to come back for 4 s, and to one service only")
	}
	if d := s.reserve("other", earliest, time.Second, time.Minute, now); d != time.Second {
		t.Errorf("delay %v for another service", d)
	}
}

// Guards against requests to a target that has said that it leaves, and against a successor under its
// name that is taken for it.
func TestRequestPassesOverLeavingTarget(t *testing.T) {
	env, _, targets := newThrottledEnv(t, 2, 0, 0)
	leaving := env.plainTarget(targets[0].instance)
	env.Pushback.Record(pushback.Response{Target: leaving.ID, Incarnation: leaving.Incarnation, Pushback: wire.Pushback{Leaving: true}}, env.Now())
	for n := range 10 {
		if resp, _, err := env.post(t, "/again/x", "", wiretest.ID, fmt.Sprint(n)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	if runs := targets[0].runs.Load(); runs > 0 {
		t.Errorf("the leaving target got %d requests", runs)
	}
	listing := leaving.Listing
	listing.StartedMs = 5
	*leaving = fleet.NewTarget(listing)
	for n := range 20 {
		if _, _, err := env.post(t, "/again/x", "", wiretest.ID, fmt.Sprint("s", n)); err != nil {
			t.Fatal(err)
		}
	}
	if targets[0].runs.Load() == 0 {
		t.Error("the successor got no requests")
	}
}

// Guards against a retry delay from a target that leaves: none is free at any time that it states.
func TestLeavingTargetsAreNoReasonToComeBack(t *testing.T) {
	env, _, targets := newThrottledEnv(t, 2, 0, 0)
	for _, tg := range targets {
		leaving := env.plainTarget(tg.instance)
		env.Pushback.Record(pushback.Response{Target: leaving.ID, Incarnation: leaving.Incarnation, Pushback: wire.Pushback{Leaving: true}}, env.Now())
	}
	resp, body, err := env.post(t, "/again/x", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "no_target") {
		t.Errorf("response %v, body %q, error %v", resp, body, err)
	}
}

// Guards against requests to a target that has asked for rest, and against a retry delay that ends
// before the rest.
func TestRequestPassesOverRestingTarget(t *testing.T) {
	env, _, targets := newThrottledEnv(t, 2, 0, 0)
	rest := func(instance string, d time.Duration) {
		target := env.plainTarget(instance)
		env.Pushback.Record(pushback.Response{Target: target.ID, Incarnation: target.Incarnation, Pushback: wire.Pushback{RetryAfter: d}}, env.Now())
	}
	rest(targets[0].instance, time.Minute)
	for n := range 10 {
		if resp, _, err := env.post(t, "/again/x", "", wiretest.ID, fmt.Sprint(n)); err != nil || resp.StatusCode != http.StatusOK {
			t.Fatalf("response %v, error %v", resp, err)
		}
	}
	if runs := targets[0].runs.Load(); runs > 0 {
		t.Errorf("the resting target got %d requests", runs)
	}
	rest(targets[1].instance, 30*time.Second)
	resp, body, err := env.post(t, "/again/x", "")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || !strings.Contains(body, "throttled") {
		t.Fatalf("response %v, body %q, error %v", resp, body, err)
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after < 29.9 || after > 31.1 {
		t.Errorf("Retry-After %q, want the 30 s of the target that is free first, and the second by which entries differ", resp.Header.Get("Retry-After"))
	}
}

// Guards against a trial after a rest that never ends because its request failed or was not sent.
func TestTrialEndsWithItsRequest(t *testing.T) {
	var tg *fakeTarget
	tg = startTarget(t, "t", func(w io.Writer, r *http.Request, _ string) bool {
		if tg.runs.Load() == 1 {
			return false
		}
		return tg.writeSealed(w, r, http.StatusOK, "fine")
	})
	env := newTestEnv(t, tg)
	target := env.plainTarget("t")
	env.Pushback.Record(pushback.Response{Target: target.ID, Incarnation: target.Incarnation, Pushback: wire.Pushback{RetryAfter: time.Millisecond}}, env.Now())
	<-time.After(5 * time.Millisecond)
	if resp, _, err := env.post(t, "/once/x", "", wiretest.ID, "r1"); err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Fatalf("response %v, error %v", resp, err)
	}
	if resp, _, err := env.post(t, "/once/x", "", wiretest.ID, "r2"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("response %v, error %v", resp, err)
	}
}
