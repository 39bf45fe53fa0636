package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/wire/wiretest"
)

// fragileTargets start targets that end when they run the body "fatal".
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

// A trader's renewal ends the target that files it. It is not sent again by itself, and
// the trader, who is told each time that it may have run, files it anew. From the fourth
// time on it is not sent, first held for a moment and then refused: this filing has not run.
func TestSubmissionThatEndsTargetsIsRefusedAfterThree(t *testing.T) {
	targets := startCrashingTargets(t, 6)
	env := newTestEnv(t, targets...)
	for n := 1; n <= 3; n++ {
		resp, _, err := env.post(t, "/once/x", "fatal")
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("filing %d: %v, %v", n, resp, err)
		}
		if runs := totalRuns(targets); runs != n {
			t.Fatalf("after filing %d: %d runs", n, runs)
		}
	}
	settled := false
	for n := 4; n <= 7; n++ {
		resp, body, err := env.post(t, "/once/x", "fatal", wiretest.ID, fmt.Sprintf("r%d", n))
		if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Errorf("filing %d after the third end: %v, %q, %v", n, resp, body, err)
		}
		settled = strings.Contains(body, "quarantined")
	}
	if !settled {
		t.Error("it is never told why")
	}
	if runs := totalRuns(targets); runs != 3 {
		t.Errorf("%d runs; allowed are 3", runs)
	}
}

// What is refused is that request, and no other: the same body on another path, of another
// workspace, or another body on the same path is sent to a target.
func TestOnlyTheSameRequestIsRefused(t *testing.T) {
	targets := startCrashingTargets(t, 24)
	env := newTestEnv(t, targets...)
	for range 4 {
		if _, _, err := env.post(t, "/again/x", "fatal"); err != nil {
			t.Fatal(err)
		}
	}
	if runs := totalRuns(targets); runs != 3 {
		t.Fatalf("%d runs of one request; allowed are 3", runs)
	}
	if resp, body, err := env.post(t, "/again/x", "another"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("another body: %v, %q, %v", resp, body, err)
	}
	for n, ask := range [][]string{{"/again/y"}, {"/again/x?y"}, {"/again/x", wiretest.Key, "fort-key"}} {
		before := totalRuns(targets)
		if _, _, err := env.post(t, ask[0], "fatal", ask[1:]...); err != nil {
			t.Fatal(err)
		}
		if totalRuns(targets) == before {
			t.Errorf("request %d was refused for another one's ends", n)
		}
	}
}

// A target resets connections and sends nonsense, but lives. Its requests are tried
// elsewhere as before, and nothing is held against them.
func TestATargetThatOnlyBreaksOffBlamesNobody(t *testing.T) {
	broken := func(w io.Writer, r *http.Request, _ string) bool { return false }
	a, b := startTarget(t, "a", broken), startTarget(t, "b", broken)
	env := newTestEnv(t, a, b)
	for n := range 6 {
		resp, body, err := env.post(t, "/again/x", "question", wiretest.ID, fmt.Sprintf("r%d", n))
		if err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Errorf("try %d: %v, %q, %v", n, resp, body, err)
		}
	}
	if listed := env.Quarantine.List(env.Now()); len(listed) != 0 {
		t.Errorf("held against requests: %+v", listed)
	}
}

// A question is asked all the time, and a target crashes now and then: it is under way each
// time, and no other request is there to end with it. It is served some forty times between
// two crashes, and never refused.
func TestAQuestionThatIsAskedAllTheTimeIsNotRefused(t *testing.T) {
	const between, crashes = 40, 5
	var targets []*fakeTarget
	var runs atomic.Int32
	for i := range 24 {
		var tg *fakeTarget
		tg = startTarget(t, fmt.Sprintf("t%d", i), func(w io.Writer, r *http.Request, _ string) bool {
			if runs.Add(1)%between == 0 {
				tg.listener.Close()
				return false
			}
			return tg.writeSealed(w, r, http.StatusOK, "fine")
		})
		targets = append(targets, tg)
	}
	env := newTestEnv(t, targets...)
	failed := 0
	for n := range between * crashes {
		resp, body, err := env.post(t, "/again/x", "question")
		if err != nil || resp.StatusCode == http.StatusServiceUnavailable {
			t.Fatalf("question %d: %v, %q, %v", n, resp, body, err)
		}
		if resp.StatusCode != http.StatusOK {
			failed++
		}
	}
	if failed > crashes {
		t.Errorf("%d questions were not answered", failed)
	}
}
