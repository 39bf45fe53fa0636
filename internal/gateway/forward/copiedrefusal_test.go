package forward

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// copyingTarget refuses its first request, and sends the refusal again before its answer to the next one on the
// connection. It runs all requests but the first.
type copyingTarget struct {
	*fakeTarget
	status int
	// refused is called at the refusal, unless nil.
	refused func()
	mu      sync.Mutex
	// copies are the refusals on each connection.
	copies map[io.Writer]string
	// ran counts runs, copied the copies.
	ran, copied atomic.Int32
}

func startCopyingTarget(t *testing.T, instance string, status int) *copyingTarget {
	c := &copyingTarget{status: status, copies: map[io.Writer]string{}}
	first := true
	c.fakeTarget = startTarget(t, instance, func(w io.Writer, r *http.Request, _ string) bool {
		c.mu.Lock()
		refuses, refusal := first, c.copies[w]
		first = false
		if refuses {
			refusal = fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", c.status, wiretest.ID, r.Header.Get(wiretest.ID), wiretest.NotRun)
			c.copies[w] = refusal
		}
		c.mu.Unlock()
		if refuses {
			if c.refused != nil {
				c.refused()
			}
			_, _ = io.WriteString(w, refusal)
			return true
		}
		c.ran.Add(1)
		if refusal != "" {
			c.copied.Add(1)
			_, _ = io.WriteString(w, refusal)
		}
		return c.writeSealed(w, r, http.StatusOK, "own")
	})
	return c
}

// Guards against a request that may run once and runs twice, or whose caller is told that it did not run, because the
// process that refused it is listed under another identity, gets it again on the same connection, and sends the
// refusal again.
func TestCopyOfARefusalIsNoAnswerToASecondSend(t *testing.T) {
	identities := map[string]struct {
		status int
		relist func(t fleet.Target) fleet.Target
	}{
		"its start time becomes known": {http.StatusServiceUnavailable, func(t fleet.Target) fleet.Target {
			return t.WithIncarnation(fleet.Incarnation{Instance: t.Instance, StartedMs: 1_700_000_000_000})
		}},
		"another name": {http.StatusServiceUnavailable, func(t fleet.Target) fleet.Target {
			return t.WithIncarnation(fleet.Incarnation{Instance: "alias"})
		}},
		"the successor of the listed process": {http.StatusMisdirectedRequest, func(t fleet.Target) fleet.Target {
			return t.WithIncarnation(fleet.Incarnation{Instance: "successor"})
		}},
	}
	for name, identity := range identities {
		for _, route := range []string{"/once/x", "/again/x"} {
			target := startCopyingTarget(t, "t", identity.status)
			env := newTestEnv(t, target.fakeTarget)
			var current atomic.Pointer[view.View]
			current.Store(env.view)
			env.View = func() (*view.View, bool) { return current.Load(), true }
			target.refused = func() {
				updated := *env.view
				updated.Targets = map[string][]fleet.Target{"plain": {identity.relist(env.view.Targets["plain"][0])}}
				current.Store(&updated)
			}
			resp, _, err := env.post(t, route, "order")
			if err != nil {
				t.Errorf("%s, %s: %v", name, route, err)
				continue
			}
			if ran, sent := target.ran.Load(), target.runs.Load(); resp.StatusCode != http.StatusOK || ran != 1 || sent != 2 {
				t.Errorf("%s, %s: sent %d times, ran %d times, its caller was told %d", name, route, sent, ran, resp.StatusCode)
			}
		}
	}
}

// Guards against the same where a caller's attempt arrives again at the entry that has sent it before.
func TestCopyOfARefusalIsNoAnswerToARepeatedAttempt(t *testing.T) {
	target := startCopyingTarget(t, "t", http.StatusServiceUnavailable)
	env := newTestEnv(t, target.fakeTarget)
	if resp, _, err := env.post(t, "/again/x", "order", wiretest.ID, "r", wiretest.TimeLeft, "500ms"); err != nil || !impliesNotRun(resp.StatusCode) || target.runs.Load() != 1 {
		t.Fatalf("response %v, error %v; want a refusal", resp, err)
	}
	resp, body, err := env.post(t, "/again/x", "order", wiretest.ID, "r")
	if err != nil || resp.StatusCode != http.StatusOK || body != "own" || target.ran.Load() != 1 {
		t.Errorf("response %v, body %q, error %v, %d runs", resp, body, err, target.ran.Load())
	}
}
