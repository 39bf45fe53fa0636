package forward

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// fixedLimits admit or refuse everything, and count what is asked of them.
type fixedLimits struct {
	mu                      sync.Mutex
	refuse                  bool
	asked, returned, charge float64
}

func (l *fixedLimits) Admit(_ context.Context, r ratelimit.Request) ratelimit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked += r.Cost
	return ratelimit.Decision{Admitted: !l.refuse, Source: ratelimit.Coordinated, RetryAfter: 200 * time.Millisecond}
}

func (l *fixedLimits) GiveBack(r ratelimit.Request, _ ratelimit.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.returned += r.Cost
}

func (l *fixedLimits) Charge(r ratelimit.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charge += r.Cost
}

// startLimited serves targets to the workspace "town", which has a limit of one thousand
// tokens a second and counts 200 for a request that states no size.
func startLimited(t *testing.T, limits *fixedLimits, targets ...*target) *world {
	w := startWorld(t, targets...)
	w.Limits = limits
	w.view.Estate.Workspace("town").Rate = ratelimit.Policy{Limit: ratelimit.Limit{PerSecond: 1000, Burst: 1000}, Unit: ratelimit.Tokens, DefaultCost: 200}
	return w
}

// A workspace has used up its limit. Its caller is told so with 429 and when to come back,
// before the body has come in, and no target sees the request. Another workspace is served.
func TestBeyondTheLimitIsRefusedBeforeTheBody(t *testing.T) {
	tg := startTarget(t, "t", nil)
	tg.answer = func(w io.Writer, r *http.Request, _ string) bool { return tg.whole(w, r, http.StatusOK, "fine") }
	w := startLimited(t, &fixedLimits{refuse: true}, tg)
	body, feed := io.Pipe()
	defer feed.Close()
	req, err := http.NewRequest(http.MethodPost, w.server.URL+"/again/x", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	req.Header = http.Header{wiretest.ID: {"r1"}, wiretest.Key: {"town-key"}}
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusTooManyRequests || resp.Header.Get("Retry-After") == "" || !strings.Contains(string(text), "rate_limited") {
		t.Errorf("%v, %v, %q, %v", resp.StatusCode, resp.Header, text, err)
	}
	if n := tg.runs.Load(); n != 0 {
		t.Errorf("%d runs", n)
	}
	if resp, _, err := w.ask(t, "/again/x", "body", wiretest.Key, "fort-key"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("another workspace: %v, %v", resp, err)
	}
}

// What a request takes of the limit depends on what becomes of it: nothing where no target
// ran it, and once more for each run after the first.
func TestWhatARequestTakesOfTheLimit(t *testing.T) {
	failing := func(n int) func(tg *target) func(io.Writer, *http.Request, string) bool {
		return func(tg *target) func(io.Writer, *http.Request, string) bool {
			return func(w io.Writer, r *http.Request, _ string) bool {
				if int(tg.runs.Load()) <= n {
					return false
				}
				return tg.whole(w, r, http.StatusOK, "fine")
			}
		}
	}
	for name, c := range map[string]struct {
		answer   func(tg *target) func(io.Writer, *http.Request, string) bool
		used     float64
		leaving  bool
		expected int
	}{
		"served":    {answer: failing(0), used: 200, expected: http.StatusOK},
		"no target": {answer: failing(0), leaving: true, used: 0, expected: http.StatusServiceUnavailable},
		"refused by targets": {answer: func(tg *target) func(io.Writer, *http.Request, string) bool {
			return func(w io.Writer, r *http.Request, _ string) bool { return tg.refused(w, r, 503) }
		}, used: 0, expected: http.StatusServiceUnavailable},
		"broken off and done": {answer: failing(1), used: 400, expected: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := startTarget(t, "t1", nil), startTarget(t, "t2", nil)
			first.answer, second.answer = c.answer(first), failing(0)(second)
			if name == "refused by targets" {
				second.answer = c.answer(second)
			}
			limits := &fixedLimits{}
			w := startLimited(t, limits, first, second)
			for _, list := range w.view.Targets {
				for i := range list {
					list[i].Leaving = c.leaving
				}
			}
			// Either target may be chosen first: where the failing one is not, there is one run.
			resp, body, err := w.ask(t, "/again/x", "body")
			if err != nil || resp.StatusCode != c.expected {
				t.Fatalf("%v, %q, %v", resp, body, err)
			}
			limits.mu.Lock()
			defer limits.mu.Unlock()
			used := limits.asked - limits.returned + limits.charge
			if want := c.used; used != want && !(name == "broken off and done" && first.runs.Load() == 0 && used == 200) {
				t.Errorf("%.0f tokens used, %.0f expected", used, want)
			}
		})
	}
}

// Requests count by their tokens where the workspace is limited in tokens, those that state
// no size by the operators' figure, and one each where it is limited in requests.
func TestCostOfARequest(t *testing.T) {
	tokens := ratelimit.Policy{Unit: ratelimit.Tokens, DefaultCost: 200}
	for _, c := range []struct {
		terms          ratelimit.Policy
		stated         bool
		prompt, answer int
		cost           float64
	}{
		{tokens, true, 1460, 80, 1540},
		{tokens, false, 0, 0, 200},
		{tokens, true, 0, 0, 1},
		{ratelimit.Policy{Unit: ratelimit.Tokens}, false, 0, 0, 1},
		{ratelimit.Policy{Unit: ratelimit.Requests, DefaultCost: 200}, true, 1460, 80, 1},
	} {
		if got := c.terms.Cost(c.stated, c.prompt, c.answer); got != c.cost {
			t.Errorf("%+v: %.0f", c, got)
		}
	}
}

// Operators declare a limit below zero by mistake: the version is refused whole.
func TestLimitBelowZeroIsRefused(t *testing.T) {
	for _, terms := range []ratelimit.Policy{{Limit: ratelimit.Limit{PerSecond: -1}}, {Limit: ratelimit.Limit{Burst: -1}}, {DefaultCost: -1}} {
		if _, err := estate.New(1, nil, nil, []estate.Workspace{{Name: "town", Rate: terms}}, estate.Limits{}); err == nil {
			t.Errorf("%+v is taken", terms)
		}
	}
}
