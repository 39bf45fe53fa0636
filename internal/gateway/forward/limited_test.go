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

// fixedLimits admits or refuses all requests and sums up their costs.
type fixedLimits struct {
	mu                          sync.Mutex
	refuse                      bool
	admitted, refunded, charged float64
}

func (l *fixedLimits) Admit(_ context.Context, r ratelimit.Request) ratelimit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admitted += r.Cost
	return ratelimit.Decision{Admitted: !l.refuse, Source: ratelimit.Coordinated, RetryAfter: 200 * time.Millisecond}
}

func (l *fixedLimits) Refund(r ratelimit.Request, _ ratelimit.Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refunded += r.Cost
}

func (l *fixedLimits) Charge(r ratelimit.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charged += r.Cost
}

// newLimitedEnv limits the workspace "town" to 1000 tokens per second. Requests without a
// size cost 200.
func newLimitedEnv(t *testing.T, limits *fixedLimits, targets ...*fakeTarget) *testEnv {
	env := newTestEnv(t, targets...)
	env.Limits = limits
	env.view.Estate.Workspace("town").Rate = ratelimit.Policy{Limit: ratelimit.Limit{PerSecond: 1000, Burst: 1000}, Unit: ratelimit.Tokens, DefaultCost: 200}
	return env
}

// A request over its workspace's limit gets 429 with Retry-After before its body arrives,
// and reaches no target. Other workspaces are served.
func TestRateLimitedRequestIsRefusedBeforeItsBody(t *testing.T) {
	tg := startTarget(t, "t", nil)
	tg.handle = func(w io.Writer, r *http.Request, _ string) bool { return tg.writeSealed(w, r, http.StatusOK, "fine") }
	env := newLimitedEnv(t, &fixedLimits{refuse: true}, tg)
	body, feed := io.Pipe()
	defer feed.Close()
	req, err := http.NewRequest(http.MethodPost, env.server.URL+"/again/x", body)
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
		t.Errorf("status %v, header %v, body %q, error %v", resp.StatusCode, resp.Header, text, err)
	}
	if n := tg.runs.Load(); n != 0 {
		t.Errorf("the target ran %d requests; want none", n)
	}
	if resp, _, err := env.post(t, "/again/x", "body", wiretest.Key, "fort-key"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("another workspace: response %v, error %v", resp, err)
	}
}

// A request that no target ran must cost nothing, and each run after the first costs again.
func TestRateLimitChargesOnlyRuns(t *testing.T) {
	failing := func(n int) func(tg *fakeTarget) func(io.Writer, *http.Request, string) bool {
		return func(tg *fakeTarget) func(io.Writer, *http.Request, string) bool {
			return func(w io.Writer, r *http.Request, _ string) bool {
				if int(tg.runs.Load()) <= n {
					return false
				}
				return tg.writeSealed(w, r, http.StatusOK, "fine")
			}
		}
	}
	for name, c := range map[string]struct {
		handle   func(tg *fakeTarget) func(io.Writer, *http.Request, string) bool
		used     float64
		leaving  bool
		expected int
	}{
		"served":    {handle: failing(0), used: 200, expected: http.StatusOK},
		"no target": {handle: failing(0), leaving: true, used: 0, expected: http.StatusServiceUnavailable},
		"refused by targets": {handle: func(tg *fakeTarget) func(io.Writer, *http.Request, string) bool {
			return func(w io.Writer, r *http.Request, _ string) bool { return tg.writeNotRun(w, r, 503) }
		}, used: 0, expected: http.StatusServiceUnavailable},
		"retried after a failure": {handle: failing(1), used: 400, expected: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			first, second := startTarget(t, "t1", nil), startTarget(t, "t2", nil)
			first.handle, second.handle = c.handle(first), failing(0)(second)
			if name == "refused by targets" {
				second.handle = c.handle(second)
			}
			limits := &fixedLimits{}
			env := newLimitedEnv(t, limits, first, second)
			for _, list := range env.view.Targets {
				for i := range list {
					list[i].Leaving = c.leaving
				}
			}
			// Either target may be chosen first; if the failing one isn't, there is only one run.
			resp, body, err := env.post(t, "/again/x", "body")
			if err != nil || resp.StatusCode != c.expected {
				t.Fatalf("response %v, body %q, error %v", resp, body, err)
			}
			limits.mu.Lock()
			defer limits.mu.Unlock()
			used := limits.admitted - limits.refunded + limits.charged
			if want := c.used; used != want && !(name == "retried after a failure" && first.runs.Load() == 0 && used == 200) {
				t.Errorf("%.0f tokens used, want %.0f", used, want)
			}
		})
	}
}

// The cost is the request's tokens, the configured default if they are not stated, or one
// if the limit counts requests.
func TestRateLimitCost(t *testing.T) {
	tokens := ratelimit.Policy{Unit: ratelimit.Tokens, DefaultCost: 200}
	for _, c := range []struct {
		terms          ratelimit.Policy
		stated         bool
		prompt, output int
		cost           float64
	}{
		{tokens, true, 1460, 80, 1540},
		{tokens, false, 0, 0, 200},
		{tokens, true, 0, 0, 1},
		{ratelimit.Policy{Unit: ratelimit.Tokens}, false, 0, 0, 1},
		{ratelimit.Policy{Unit: ratelimit.Requests, DefaultCost: 200}, true, 1460, 80, 1},
	} {
		if got := c.terms.Cost(c.stated, c.prompt, c.output); got != c.cost {
			t.Errorf("%+v: cost %.0f", c, got)
		}
	}
}

// A configuration with a negative rate limit must be rejected.
func TestNegativeRateLimitIsRejected(t *testing.T) {
	for _, terms := range []ratelimit.Policy{{Limit: ratelimit.Limit{PerSecond: -1}}, {Limit: ratelimit.Limit{Burst: -1}}, {DefaultCost: -1}} {
		if _, err := estate.New(1, nil, nil, []estate.Workspace{{Name: "town", Rate: terms}}, estate.Limits{}); err == nil {
			t.Errorf("%+v was accepted", terms)
		}
	}
}
