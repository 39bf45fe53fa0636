package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// countingObserver counts notifications.
type countingObserver struct {
	attributed, remote, suspected, dismissed, findingChanges, cleared, released, evicted int
}

func (o *countingObserver) CrashAttributed(_ *Record, _ Crash, remote bool) {
	o.attributed++
	if remote {
		o.remote++
	}
}
func (o *countingObserver) FindingChanged(*Record, Finding, Finding, Assessment, bool) {
	o.findingChanges++
}
func (o *countingObserver) CrashSuspected(*Record, UnconfirmedCrash) { o.suspected++ }
func (o *countingObserver) CrashDismissed(*Record, UnconfirmedCrash) { o.dismissed++ }
func (o *countingObserver) Cleared(*Record)                          { o.cleared++ }
func (o *countingObserver) Released(*Record, bool)                   { o.released++ }
func (o *countingObserver) Evicted(*Record)                          { o.evicted++ }
func (o *countingObserver) ProbationStarted(*Record)                 {}

var testLimits = Limits{MaxCrashes: 3, SuspectFor: time.Hour, RefuseFor: 24 * time.Hour, MaxRecords: 100}

func newRegistry() *Registry { return NewRegistry(testLimits, &countingObserver{}) }

func (q *Registry) crashAt(fp Fingerprint, target fleet.ID, step, ms int) {
	q.AttributeCrash(fp, Caller{"town", "check"}, Crash{Target: target, Step: step, At: atMs(ms)})
}

func verdictAt(q *Registry, fp Fingerprint, ms int) Verdict { return q.Status(fp, atMs(ms)).Verdict }

// A request becomes more restricted with each crash, up to refusal, without affecting other
// requests.
func TestVerdictsFollowCrashes(t *testing.T) {
	q := newRegistry()
	for i, want := range []Verdict{Free, Apart, Alone, Held} {
		if got := verdictAt(q, 1, 1000); got != want {
			t.Errorf("after %d crashes: got verdict %v, want %v", i, got, want)
		}
		q.crashAt(1, fleet.ID(10+i), i, 500*i)
	}
	if got := verdictAt(q, 1, 2500); got != Refused {
		t.Errorf("after the decision delay: got verdict %v", got)
	}
	if got := verdictAt(q, 2, 2500); got != Free {
		t.Errorf("another request: got verdict %v", got)
	}
	if s := q.Status(1, atMs(2600)); s.Until != atMs(1500).Add(probationAfter) {
		t.Errorf("refused until %v", s.Until)
	}
}

// Records expire: a refused request's after RefuseFor, a suspect's after SuspectFor.
func TestRecordsExpire(t *testing.T) {
	q := newRegistry()
	for i := range 3 {
		q.crashAt(1, fleet.ID(10+i), i, 0)
	}
	q.records[1].Probations = maxProbations
	q.crashAt(2, 20, 0, 0)
	hour := int(time.Hour.Milliseconds())
	if v := verdictAt(q, 1, hour+1); v != Refused {
		t.Errorf("refused request after SuspectFor: got verdict %v", v)
	}
	if v := verdictAt(q, 2, hour+1); v != Free {
		t.Errorf("suspect after SuspectFor: got verdict %v", v)
	}
	if v := verdictAt(q, 1, 24*hour+1); v != Free {
		t.Errorf("refused request after RefuseFor: got verdict %v", v)
	}
}

// A popular request that is in flight during unrelated crashes must not stay restricted. A
// request that crashes its target on every second or third run is refused at its third crash
// even though it is served in between.
func TestServedRequestsAreCleared(t *testing.T) {
	q := newRegistry()
	q.crashAt(1, 10, 0, 0)
	for range servedPerStep {
		q.MarkServed(1)
	}
	if v := verdictAt(q, 1, 200); v != Free {
		t.Errorf("after servedPerStep successful runs: got verdict %v", v)
	}
	for i := range 5 {
		for range 50 {
			q.MarkServed(1)
		}
		q.crashAt(1, fleet.ID(20+i), q.Status(1, atMs(1000*i+1000)).Step, 1000*i+1000)
	}
	if v := verdictAt(q, 1, 10000); v != Free {
		t.Errorf("served fifty times per crash: got verdict %v", v)
	}
	for _, servedBetween := range []int{1, 2} {
		q, fp := newRegistry(), Fingerprint(100+servedBetween)
		for i := range 3 {
			q.crashAt(fp, fleet.ID(100*int(fp)+i), q.Status(fp, atMs(5000*i)).Step, 5000*i)
			for range servedBetween {
				q.MarkServed(fp)
			}
		}
		if v := verdictAt(q, fp, 12000); v != Refused {
			t.Errorf("served %d times between two crashes: got verdict %v", servedBetween, v)
		}
	}
}

// Only one run of a suspect may be in flight, on a target without another suspect. It must not
// block the next run if its end is never announced.
func TestOneProbationRunAtATime(t *testing.T) {
	q := newRegistry()
	for _, fp := range []Fingerprint{1, 2} {
		q.crashAt(fp, fleet.ID(10+fp), 0, 0)
		q.crashAt(fp, fleet.ID(20+fp), 1, 10)
	}
	if !q.StartProbationRun(1, 50, atMs(100)) {
		t.Fatal("the first run was not started")
	}
	if q.StartProbationRun(1, 51, atMs(110)) {
		t.Error("a second run of the same request was started")
	}
	if q.StartProbationRun(2, 50, atMs(110)) || !q.RunsOtherSuspect(50, 2, atMs(110)) || q.RunsOtherSuspect(50, 1, atMs(110)) {
		t.Error("another suspect was started on the same target")
	}
	if !q.StartProbationRun(2, 51, atMs(110)) {
		t.Error("another suspect was not started on another target")
	}
	q.EndProbationRun(1, 50)
	if !q.StartProbationRun(1, 52, atMs(120)) {
		t.Error("the next run was not started")
	}
	if !q.StartProbationRun(1, 53, atMs(120).Add(probationRunTimeout)) {
		t.Error("a run whose end was not announced blocks the next one after the timeout")
	}
}

// Runs of a request that are queued at other targets are cancelled after a crash, except those
// that respond already, that must not be repeated, or that were sent after the crash was known.
func TestQueuedRunsAreCancelled(t *testing.T) {
	q := newRegistry()
	var cancelled []string
	startRun := func(name string, fp Fingerprint, target fleet.ID) *Run {
		return q.StartRun(fp, target, 0, func() { cancelled = append(cancelled, name) })
	}
	startRun("queued", 1, 11)
	q.MarkResponding(startRun("responding", 1, 12))
	q.StartRun(1, 13, 0, nil)
	startRun("other request", 2, 11)
	q.EndRun(startRun("ended", 1, 11))
	q.crashAt(1, 10, 0, 0)
	startRun("sent after the crash", 1, 14)
	q.Merge(Record{Fingerprint: 1, Crashes: []Crash{{Target: 10, At: atMs(0)}}}, false, atMs(10))
	if !slices.Equal(cancelled, []string{"queued"}) {
		t.Errorf("cancelled: %v", cancelled)
	}
	q.Merge(Record{Fingerprint: 1, Crashes: []Crash{{Target: 15, Step: 0, At: atMs(20)}}}, false, atMs(20))
	q.Reevaluate(atMs(20))
	if !slices.Equal(cancelled, []string{"queued", "sent after the crash"}) {
		t.Errorf("cancelled after a second crash: %v", cancelled)
	}
}

// Guards against a request that crashes a fourth target because its next run is decided before its
// cancelled runs return: their targets must count as crashed at once, until the opposite is known.
func TestCancelledRunCountsAtOnce(t *testing.T) {
	q := newRegistry()
	q.StartRun(1, 11, 0, func() {})
	q.StartRun(1, 12, 0, func() {})
	q.crashAt(1, 10, 0, 0)
	if s := q.Status(1, atMs(0)); s.Verdict != Held || s.Crashes != 1 || s.Unconfirmed != 2 {
		t.Errorf("after one crash with two runs in flight: %+v", s)
	}
	q.DismissCrash(1, 11, atMs(10))
	if v := verdictAt(q, 1, 10); v != Alone {
		t.Errorf("one of the targets is alive: %v", v)
	}
	if v := verdictAt(q, 1, 2000); v != Apart {
		t.Errorf("nothing is known of the other one after two seconds: %v", v)
	}
}

// A flood of requests that each crash one target must not exceed the record limit or displace
// requests with more crashes.
func TestFloodOfSuspectsIsBounded(t *testing.T) {
	observer := &countingObserver{}
	q := NewRegistry(testLimits, observer)
	for i := range 3 {
		q.crashAt(1, fleet.ID(10+i), i, i)
	}
	q.crashAt(2, 20, 0, 3)
	q.crashAt(2, 21, 1, 4)
	for i := range 500 {
		q.crashAt(Fingerprint(1000+i), fleet.ID(1000+i), 0, 10000+i)
	}
	if n := len(q.List(atMs(11000))); n != testLimits.MaxRecords {
		t.Errorf("%d records are listed", n)
	}
	if observer.evicted != 500+2-testLimits.MaxRecords {
		t.Errorf("%d records were evicted", observer.evicted)
	}
	if verdictAt(q, 1, 11000) != Refused || verdictAt(q, 2, 11000) != Alone || verdictAt(q, 1000, 11000) != Free || verdictAt(q, 1499, 11000) != Apart {
		t.Error("records other than the oldest and least suspect were evicted")
	}
}

// Announcements from before a release must not restore the released crashes.
func TestReleaseResetsRecord(t *testing.T) {
	q, other := newRegistry(), newRegistry()
	for i := range 3 {
		q.crashAt(1, fleet.ID(10+i), i, i)
	}
	old, _ := q.Get(1)
	other.Merge(old, false, atMs(10))
	if !q.Release(1, atMs(20)) || q.Release(1, atMs(21)) || q.Release(7, atMs(21)) {
		t.Error("Release reports a wrong result")
	}
	q.Merge(old, false, atMs(30))
	if v := verdictAt(q, 1, 40); v != Free {
		t.Errorf("after a late announcement: got verdict %v", v)
	}
	released, _ := q.Get(1)
	if other.Merge(released, false, atMs(40)); verdictAt(other, 1, 50) != Free {
		t.Error("another process still restricts the request")
	}
	q.crashAt(1, 40, 0, 60)
	if v := verdictAt(q, 1, 70); v != Apart {
		t.Errorf("after a new crash: got verdict %v", v)
	}
}

// Processes that receive the same records, delayed, repeated or reordered, must restrict the
// same requests. The announcements at the end replace lost ones.
func TestBooksConvergeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registries := []*Registry{newRegistry(), newRegistry(), newRegistry()}
		var records []Record
		n := rapid.IntRange(1, 40).Draw(t, "steps")
		for i := range n {
			q := registries[rapid.IntRange(0, 2).Draw(t, "registry")]
			fp := Fingerprint(rapid.IntRange(1, 4).Draw(t, "request"))
			target := fleet.ID(rapid.IntRange(1, 9).Draw(t, "target"))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				q.Release(fp, atMs(i*100))
			case 1:
				q.MarkServed(fp)
			default:
				q.crashAt(fp, target, q.Status(fp, atMs(i*100)).Step, i*100)
			}
			if r, ok := q.Get(fp); ok {
				records = append(records, r)
			}
			if len(records) > 0 && rapid.Bool().Draw(t, "announced") {
				registries[rapid.IntRange(0, 2).Draw(t, "receiver")].Merge(records[rapid.IntRange(0, len(records)-1).Draw(t, "record")], false, atMs(i*100))
			}
		}
		end := atMs(n*100 + 100)
		for range 3 { // each registry announces its records to all
			for _, from := range registries {
				for _, r := range from.NextToAnnounce(100, end) {
					for _, to := range registries {
						to.Merge(FromMessage(ToMessage(&r, end), end), false, end)
					}
				}
			}
		}
		for fp := Fingerprint(1); fp <= 4; fp++ {
			first := registries[0].Status(fp, end)
			for i, q := range registries[1:] {
				if s := q.Status(fp, end); s.Verdict != first.Verdict || s.Crashes != first.Crashes {
					t.Fatalf("request %d: verdict %v with %d crashes at registry 0, %v with %d at registry %d", fp, first.Verdict, first.Crashes, s.Verdict, s.Crashes, i+1)
				}
			}
		}
	})
}

// BenchmarkOrdinaryRequest measures the overhead per request without attributed crashes.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for _, records := range []int{0, 100} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			registry := newRegistry()
			for i := range records {
				registry.crashAt(Fingerprint(1000+i), fleet.ID(i), 0, 0)
			}
			for b.Loop() {
				registry.Status(1, atMs(1))
				registry.EndRun(registry.StartRun(1, 5, 0, nil))
			}
		})
	}
}
