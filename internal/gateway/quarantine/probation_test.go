package quarantine

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// refusedRegistry returns a registry with a refused request whose last crash is at testStart.
func refusedRegistry(t *testing.T) *Registry {
	t.Helper()
	q := newRegistry()
	for i := range 3 {
		q.crashAt(1, fleet.ID(10+i), i, 0)
	}
	if v := verdictAt(q, 1, 2000); v != Refused {
		t.Fatalf("after three crashes: got verdict %v", v)
	}
	return q
}

// A request that was refused for unrelated crashes must run again after a successful probation
// run. The next crash refuses it at once.
func TestSuccessfulProbationRunLiftsRefusal(t *testing.T) {
	q := refusedRegistry(t)
	if v := verdictAt(q, 1, 9900); v != Refused {
		t.Errorf("before probationAfter: got verdict %v", v)
	}
	if v := verdictAt(q, 1, 10_000); v != Alone {
		t.Fatalf("after probationAfter without a crash: got verdict %v", v)
	}
	if !q.StartProbationRun(1, 50, atMs(10_000)) {
		t.Fatal("the probation run was not started")
	}
	if q.StartProbationRun(1, 51, atMs(10_010)) || verdictAt(q, 1, 10_010) == Alone && q.StartProbationRun(1, 52, atMs(10_020)) {
		t.Error("a second probation run was started")
	}
	run := q.StartRun(1, 50, 0, nil)
	q.MarkServed(1)
	q.EndRun(run)
	q.EndProbationRun(1, 50)
	if v := verdictAt(q, 1, 10_500); v != Alone && v != Free {
		t.Errorf("after the successful run: got verdict %v", v)
	}
	for range 3 * servedPerStep {
		q.MarkServed(1)
	}
	if v := verdictAt(q, 1, 11_000); v != Free {
		t.Errorf("after more successful runs: got verdict %v", v)
	}
	q.crashAt(1, 60, 3, 12_000)
	if v := verdictAt(q, 1, 13_500); v != Refused {
		t.Errorf("after another crash: got verdict %v", v)
	}
}

// Probation must wait until no target has crashed for a while: a run amid other crashes proves
// nothing.
func TestProbationWaitsForQuietPeriod(t *testing.T) {
	q := refusedRegistry(t)
	q.crashAt(2, 99, 0, 8_000)
	if v := verdictAt(q, 1, 17_900); v != Refused {
		t.Errorf("before probationAfter since an unrelated crash: got verdict %v", v)
	}
	if v := verdictAt(q, 1, 18_000); v != Alone {
		t.Errorf("after probationAfter since the unrelated crash: got verdict %v", v)
	}
}

// Failed probation runs must be limited over all entries, because each crashes a target.
func TestFailedProbationRunsAreLimited(t *testing.T) {
	q := refusedRegistry(t)
	now := 10_000
	for n := range maxProbations {
		if !q.StartProbationRun(1, fleet.ID(50+n), atMs(now)) {
			t.Fatalf("probation run %d was not started", n)
		}
		q.crashAt(1, fleet.ID(50+n), 3+n, now+100)
		q.EndProbationRun(1, fleet.ID(50+n))
		now += 100 + int(probationAfter.Milliseconds())*probationBackoff
		if v := verdictAt(q, 1, now-1000); v != Refused {
			t.Errorf("before the backoff has passed: got verdict %v", v)
		}
	}
	r, _ := q.Get(1)
	peer := newRegistry()
	peer.Merge(FromMessage(ToMessage(&r, atMs(now)), atMs(now)), false, atMs(now))
	for _, registry := range []*Registry{q, peer} {
		if v := verdictAt(registry, 1, now+int((12*time.Hour).Milliseconds())); v != Refused {
			t.Errorf("after maxProbations failed runs: got verdict %v", v)
		}
	}
}

// Two entries must not start a probation run of the same request: the later one waits until it
// has received the other's announcement.
func TestEntriesStaggerProbation(t *testing.T) {
	first := refusedRegistry(t)
	second := refusedRegistry(t)
	second.limits.ProbationDelay = func(Fingerprint) time.Duration { return 200 * time.Millisecond }
	if v := verdictAt(second, 1, 10_100); v != Refused {
		t.Errorf("before the probation delay: got verdict %v", v)
	}
	if !first.StartProbationRun(1, 50, atMs(10_050)) {
		t.Fatal("the probation run was not started")
	}
	r, _ := first.Get(1)
	second.Merge(FromMessage(ToMessage(&r, atMs(10_060)), atMs(10_060)), false, atMs(10_060))
	if second.StartProbationRun(1, 51, atMs(10_300)) {
		t.Error("both entries started a probation run")
	}
}

// A successful run that started before the request was refused must not lift the refusal.
func TestEarlierRunDoesNotLiftRefusal(t *testing.T) {
	q := refusedRegistry(t)
	q.MarkServed(1)
	if v := verdictAt(q, 1, 3000); v != Refused {
		t.Errorf("after an earlier run succeeded: got verdict %v", v)
	}
}
