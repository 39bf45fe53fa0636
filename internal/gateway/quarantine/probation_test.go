package quarantine

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// refusedBook holds a request that is refused, its last end at the start.
func refusedBook(t *testing.T) *Registry {
	t.Helper()
	b := newBook()
	for i := range 3 {
		b.blameAt(1, fleet.ID(10+i), i, 0)
	}
	if v := verdict(b, 1, 2000); v != Refused {
		t.Fatalf("after three ends: %v", v)
	}
	return b
}

// A request was refused for crashes that had another cause. Ten seconds after the last of
// them it runs once, goes well, and is let back; a single end more refuses it again.
func TestRunOnProbationThatGoesWellLetsARequestBack(t *testing.T) {
	b := refusedBook(t)
	if v := verdict(b, 1, 9900); v != Refused {
		t.Errorf("before the time: %v", v)
	}
	if v := verdict(b, 1, 10_000); v != Alone {
		t.Fatalf("when nothing ended for ten seconds: %v", v)
	}
	if !b.StartProbationRun(1, 50, at(10_000)) {
		t.Fatal("the run may not begin")
	}
	if b.StartProbationRun(1, 51, at(10_010)) || verdict(b, 1, 10_010) == Alone && b.StartProbationRun(1, 52, at(10_020)) {
		t.Error("a second run begins beside it")
	}
	run := b.StartRun(1, 50, nil)
	b.MarkServed(1)
	b.EndRun(run)
	b.EndProbationRun(1, 50)
	if v := verdict(b, 1, 10_500); v != Alone && v != Free {
		t.Errorf("after the run went well: %v", v)
	}
	for range 3 * servedPerStep {
		b.MarkServed(1)
	}
	if v := verdict(b, 1, 11_000); v != Free {
		t.Errorf("served on and on: %v", v)
	}
	b.blameAt(1, 60, 3, 12_000)
	if v := verdict(b, 1, 13_500); v != Refused {
		t.Errorf("after one end more: %v", v)
	}
}

// Targets go on ending without the request. It does not run before they have stopped to: a
// run meanwhile would tell nothing.
func TestProbationWaitsForACalmFleet(t *testing.T) {
	b := refusedBook(t)
	b.blameAt(2, 99, 0, 8_000)
	if v := verdict(b, 1, 17_900); v != Refused {
		t.Errorf("ten seconds after an end without it: %v", v)
	}
	if v := verdict(b, 1, 18_000); v != Alone {
		t.Errorf("when that is ten seconds ago: %v", v)
	}
}

// A request ends its target on probation too. The next run is a minute later, and there is
// no third one, at any entry: an entry that hears of it counts the runs of the others.
func TestFatalRequestHasTwoRunsOnProbation(t *testing.T) {
	b := refusedBook(t)
	now := 10_000
	for n := range mostProbations {
		if !b.StartProbationRun(1, fleet.ID(50+n), at(now)) {
			t.Fatalf("run %d may not begin", n)
		}
		b.blameAt(1, fleet.ID(50+n), 3+n, now+100)
		b.EndProbationRun(1, fleet.ID(50+n))
		now += 100 + int(probationAfter.Milliseconds())*probationGrowth
		if v := verdict(b, 1, now-1000); v != Refused {
			t.Errorf("a second before a minute has passed: %v", v)
		}
	}
	r, _ := b.Get(1)
	other := newBook()
	other.Merge(FromMessage(ToMessage(&r, at(now)), at(now)), false, at(now))
	for _, book := range []*Registry{b, other} {
		if v := verdict(book, 1, now+int((12*time.Hour).Milliseconds())); v != Refused {
			t.Errorf("after two runs on probation: %v", v)
		}
	}
}

// Two entries see that the time has come. The second one waits until it would have heard of
// the first one's run, and then leaves it at that.
func TestEntriesTakeTurnsAtProbation(t *testing.T) {
	first := refusedBook(t)
	second := refusedBook(t)
	second.limits.ProbationDelay = func(Fingerprint) time.Duration { return 200 * time.Millisecond }
	if v := verdict(second, 1, 10_100); v != Refused {
		t.Errorf("before its turn: %v", v)
	}
	if !first.StartProbationRun(1, 50, at(10_050)) {
		t.Fatal("the run may not begin")
	}
	r, _ := first.Get(1)
	second.Merge(FromMessage(ToMessage(&r, at(10_060)), at(10_060)), false, at(10_060))
	if second.StartProbationRun(1, 51, at(10_300)) {
		t.Error("both run it")
	}
}

// A run had begun before the request was refused, and is answered afterwards. It lets
// nothing back: it began when less was known.
func TestOnlyARunOnProbationLetsBack(t *testing.T) {
	b := refusedBook(t)
	b.MarkServed(1)
	if v := verdict(b, 1, 3000); v != Refused {
		t.Errorf("served by an earlier run: %v", v)
	}
}
