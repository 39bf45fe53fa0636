package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// watch counts what a book tells.
type watch struct{ blamed, told, judged, cleared, released, evicted int }

func (w *watch) CrashAttributed(_ *Record, _ Crash, told bool) {
	w.blamed++
	if told {
		w.told++
	}
}
func (w *watch) FindingChanged(*Record, Finding, Finding, bool) { w.judged++ }
func (w *watch) Cleared(*Record)                                { w.cleared++ }
func (w *watch) Released(*Record, bool)                         { w.released++ }
func (w *watch) Evicted(*Record)                                { w.evicted++ }
func (w *watch) ProbationStarted(*Record)                       {}

var testLimits = Limits{MaxCrashes: 3, SuspectFor: time.Hour, RefuseFor: 24 * time.Hour, MaxRecords: 100}

func newBook() *Registry { return NewRegistry(testLimits, &watch{}) }

func (b *Registry) blameAt(p Fingerprint, life fleet.ID, step, ms int) {
	b.AttributeCrash(p, Caller{"town", "check"}, Crash{Target: life, Step: step, At: at(ms)})
}

func verdict(b *Registry, p Fingerprint, ms int) Verdict { return b.Status(p, at(ms)).Verdict }

// A request goes from free over apart and alone to refused, and no other one with it.
func TestVerdictsFollowTheEnds(t *testing.T) {
	b := newBook()
	for i, want := range []Verdict{Free, Apart, Alone, Held} {
		if got := verdict(b, 1, 1000); got != want {
			t.Errorf("after %d ends: %v, want %v", i, got, want)
		}
		b.blameAt(1, fleet.ID(10+i), i, 500*i)
	}
	if got := verdict(b, 1, 2500); got != Refused {
		t.Errorf("a second after the third end: %v", got)
	}
	if got := verdict(b, 2, 2500); got != Free {
		t.Errorf("another request is %v", got)
	}
	if s := b.Status(1, at(2600)); s.Until != at(1500).Add(probationAfter) {
		t.Errorf("held until %v", s.Until)
	}
}

// One request has ended its targets on probation too. It comes back after an hour, while it
// is refused, and after it was held for as long as it is. A suspect with fewer ends is
// forgotten after an hour.
func TestRecordsEndByAge(t *testing.T) {
	b := newBook()
	for i := range 3 {
		b.blameAt(1, fleet.ID(10+i), i, 0)
	}
	b.records[1].Probations = mostProbations
	b.blameAt(2, 20, 0, 0)
	hour := int(time.Hour.Milliseconds())
	if v := verdict(b, 1, hour+1); v != Refused {
		t.Errorf("after an hour: %v", v)
	}
	if v := verdict(b, 2, hour+1); v != Free {
		t.Errorf("a suspect after an hour: %v", v)
	}
	if v := verdict(b, 1, 24*hour+1); v != Free {
		t.Errorf("after a day: %v", v)
	}
}

// A popular request stood beside a fault of its target. It is served again and again, and
// nothing is held against it any more. One that ends its target on every second or third
// run is served in between, and refused after its third end.
func TestServedRequestsAreCleared(t *testing.T) {
	b := newBook()
	b.blameAt(1, 10, 0, 0)
	for range servedPerStep {
		b.MarkServed(1)
	}
	if v := verdict(b, 1, 200); v != Free {
		t.Errorf("served: %v", v)
	}
	for i := range 5 {
		for range 50 {
			b.MarkServed(1)
		}
		b.blameAt(1, fleet.ID(20+i), b.Status(1, at(1000*i+1000)).Step, 1000*i+1000)
	}
	if v := verdict(b, 1, 10000); v != Free {
		t.Errorf("served fifty times for each end: %v", v)
	}
	for _, servedBetween := range []int{1, 2} {
		b, p := newBook(), Fingerprint(100+servedBetween)
		for i := range 3 {
			b.blameAt(p, fleet.ID(100*int(p)+i), b.Status(p, at(5000*i)).Step, 5000*i)
			for range servedBetween {
				b.MarkServed(p)
			}
		}
		if v := verdict(b, p, 12000); v != Refused {
			t.Errorf("served %d times between two ends: %v", servedBetween, v)
		}
	}
}

// Callers hold the same suspect at the same time. One run of it is made, at a target where
// no other suspect runs, and the next when that one has ended or its entry is gone.
func TestOneTrialAtATime(t *testing.T) {
	b := newBook()
	for _, p := range []Fingerprint{1, 2} {
		b.blameAt(p, fleet.ID(10+p), 0, 0)
		b.blameAt(p, fleet.ID(20+p), 1, 10)
	}
	if !b.StartProbationRun(1, 50, at(100)) {
		t.Fatal("the first run may not begin")
	}
	if b.StartProbationRun(1, 51, at(110)) {
		t.Error("a second run of the same request began")
	}
	if b.StartProbationRun(2, 50, at(110)) || !b.RunsOtherSuspect(50, 2, at(110)) || b.RunsOtherSuspect(50, 1, at(110)) {
		t.Error("another suspect began at the same target")
	}
	if !b.StartProbationRun(2, 51, at(110)) {
		t.Error("another suspect may not begin elsewhere")
	}
	b.EndProbationRun(1, 50)
	if !b.StartProbationRun(1, 52, at(120)) {
		t.Error("the next run may not begin")
	}
	if !b.StartProbationRun(1, 53, at(120).Add(trialFor)) {
		t.Error("a run whose end nobody told holds up the next one for ever")
	}
}

// Repeats wait at two other engines when the first one ends. They are given up, unless
// their answer has begun or they may not be made twice; what is sent with that knowledge
// goes on.
func TestWaitingRepeatsAreGivenUp(t *testing.T) {
	b := newBook()
	var given []string
	start := func(name string, p Fingerprint, target fleet.ID) *Run {
		return b.StartRun(p, target, func() { given = append(given, name) })
	}
	start("waits", 1, 11)
	b.MarkResponding(start("begun", 1, 12))
	b.StartRun(1, 13, nil)
	start("other request", 2, 11)
	b.EndRun(start("done", 1, 11))
	b.blameAt(1, 10, 0, 0)
	start("after", 1, 14)
	b.Merge(Record{Fingerprint: 1, Crashes: []Crash{{Target: 10, At: at(0)}}}, false, at(10))
	if !slices.Equal(given, []string{"waits"}) {
		t.Errorf("given up: %v", given)
	}
	b.Merge(Record{Fingerprint: 1, Crashes: []Crash{{Target: 15, Step: 0, At: at(20)}}}, false, at(20))
	b.Reevaluate(at(20))
	if !slices.Equal(given, []string{"waits", "after"}) {
		t.Errorf("given up after a second end: %v", given)
	}
}

// Somebody sends many requests that each end one target. Records stay bounded, what is
// refused stays refused, and the oldest of the others go.
func TestFloodOfSuspectsIsBounded(t *testing.T) {
	w := &watch{}
	b := NewRegistry(testLimits, w)
	for i := range 3 {
		b.blameAt(1, fleet.ID(10+i), i, i)
	}
	b.blameAt(2, 20, 0, 3)
	b.blameAt(2, 21, 1, 4)
	for i := range 500 {
		b.blameAt(Fingerprint(1000+i), fleet.ID(1000+i), 0, 10000+i)
	}
	if n := len(b.List(at(11000))); n != testLimits.MaxRecords {
		t.Errorf("%d records", n)
	}
	if w.evicted != 500+2-testLimits.MaxRecords {
		t.Errorf("%d evicted", w.evicted)
	}
	if verdict(b, 1, 11000) != Refused || verdict(b, 2, 11000) != Alone || verdict(b, 1000, 11000) != Free || verdict(b, 1499, 11000) != Apart {
		t.Error("others than the least suspected and oldest were dropped")
	}
}

// An operator lets a request go. Word of its earlier ends that comes late, or again, does
// not bring them back; new ends count.
func TestReleasedRequestsBeginAnew(t *testing.T) {
	b, other := newBook(), newBook()
	for i := range 3 {
		b.blameAt(1, fleet.ID(10+i), i, i)
	}
	old, _ := b.Get(1)
	other.Merge(old, false, at(10))
	if !b.Release(1, at(20)) || b.Release(1, at(21)) || b.Release(7, at(21)) {
		t.Error("what was released is told wrongly")
	}
	b.Merge(old, false, at(30))
	if v := verdict(b, 1, 40); v != Free {
		t.Errorf("late word brought it back: %v", v)
	}
	fresh, _ := b.Get(1)
	if other.Merge(fresh, false, at(40)); verdict(other, 1, 50) != Free {
		t.Error("another process still refuses it")
	}
	b.blameAt(1, 40, 0, 60)
	if v := verdict(b, 1, 70); v != Apart {
		t.Errorf("a new end makes it %v", v)
	}
}

// Each process hears the same facts, some of them late, twice, or in another order. When
// all were heard, all refuse the same requests. A word lost is made up for by the next.
func TestBooksConvergeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		books := []*Registry{newBook(), newBook(), newBook()}
		var facts []Record
		n := rapid.IntRange(1, 40).Draw(t, "facts")
		for i := range n {
			b := books[rapid.IntRange(0, 2).Draw(t, "witness")]
			p := Fingerprint(rapid.IntRange(1, 4).Draw(t, "request"))
			life := fleet.ID(rapid.IntRange(1, 9).Draw(t, "life"))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				b.Release(p, at(i*100))
			case 1:
				b.MarkServed(p)
			default:
				b.blameAt(p, life, b.Status(p, at(i*100)).Step, i*100)
			}
			if r, ok := b.Get(p); ok {
				facts = append(facts, r)
			}
			if len(facts) > 0 && rapid.Bool().Draw(t, "heard") {
				books[rapid.IntRange(0, 2).Draw(t, "who")].Merge(facts[rapid.IntRange(0, len(facts)-1).Draw(t, "which")], false, at(i*100))
			}
		}
		end := at(n*100 + 100)
		for range 3 { // as heartbeats do, all tell all in the end
			for _, from := range books {
				for _, r := range from.NextToAnnounce(100, end) {
					for _, to := range books {
						to.Merge(FromMessage(ToMessage(&r, end), end), false, end)
					}
				}
			}
		}
		for p := Fingerprint(1); p <= 4; p++ {
			one := books[0].Status(p, end)
			for i, b := range books[1:] {
				if s := b.Status(p, end); s.Verdict != one.Verdict || s.Crashes != one.Crashes {
					t.Fatalf("request %d is %v with %d ends at one, %v with %d at %d", p, one.Verdict, one.Crashes, s.Verdict, s.Crashes, i+1)
				}
			}
		}
	})
}

// What a request costs that nothing is held against, beside records of others: a look-up,
// and a note of its send.
func BenchmarkOrdinaryRequest(b *testing.B) {
	for _, records := range []int{0, 100} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			book := newBook()
			for i := range records {
				book.blameAt(Fingerprint(1000+i), fleet.ID(i), 0, 0)
			}
			for b.Loop() {
				book.Status(1, at(1))
				book.EndRun(book.StartRun(1, 5, nil))
			}
		})
	}
}
