package quarantine

import (
	"math"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// atMs returns a time in milliseconds after testStart.
func atMs(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// sequentialCrashes returns a record with one crash per step, 500 ms apart from ms on.
func sequentialCrashes(fp Fingerprint, ms int, targets ...fleet.ID) *Record {
	r := &Record{Fingerprint: fp}
	for i, target := range targets {
		r.addCrash(Crash{Target: target, Step: i, At: atMs(ms + 500*i)})
	}
	return r
}

// concurrentCrashes returns a record whose crashes share a step and a time.
func concurrentCrashes(fp Fingerprint, ms int, targets ...fleet.ID) *Record {
	r := &Record{Fingerprint: fp}
	for _, target := range targets {
		r.addCrash(Crash{Target: target, At: atMs(ms)})
	}
	return r
}

func TestEvaluate(t *testing.T) {
	for _, c := range []struct {
		name    string
		records []*Record
		refused []Fingerprint
	}{
		{"two crashes in a row do not suffice", []*Record{sequentialCrashes(1, 0, 10, 11)}, nil},
		{"three crashes in a row suffice", []*Record{sequentialCrashes(1, 0, 10, 11, 12)}, []Fingerprint{1}},
		{
			"crashes shared with the cause do not count against other requests",
			[]*Record{sequentialCrashes(1, 0, 10, 11, 12, 13), sequentialCrashes(2, 0, 10, 11, 12), sequentialCrashes(3, 0, 10), sequentialCrashes(4, 0, 10, 11)}, []Fingerprint{1},
		},
		{"two causes with one shared crash", []*Record{sequentialCrashes(1, 0, 10, 11, 12, 13), sequentialCrashes(2, 0, 10, 20, 21, 22)}, []Fingerprint{1, 2}},
		{"two requests with the same crashes can't be told apart", []*Record{sequentialCrashes(1, 0, 10, 11, 12), sequentialCrashes(2, 0, 10, 11, 12)}, nil},
		{"one more crash tells them apart", []*Record{sequentialCrashes(1, 0, 10, 11, 12, 13), sequentialCrashes(2, 0, 10, 11, 12)}, []Fingerprint{1}},
		{
			"a power failure hits the three engines of a request and others",
			[]*Record{concurrentCrashes(1, 0, 10, 11, 12), concurrentCrashes(2, 100, 13), concurrentCrashes(3, 100, 14)}, nil,
		},
		{"a request crashes its three engines at once and no other crashes", []*Record{concurrentCrashes(1, 0, 10, 11, 12), concurrentCrashes(2, 0, 10)}, []Fingerprint{1}},
		{
			"as many targets crash without the request",
			[]*Record{sequentialCrashes(1, 5000, 10, 11, 12), sequentialCrashes(2, 0, 20), sequentialCrashes(3, 2000, 21), sequentialCrashes(4, 4000, 22)}, nil,
		},
		{
			"as many targets crash without the request, which keeps crashing targets",
			[]*Record{sequentialCrashes(1, 5000, 10, 11, 12, 13, 14), sequentialCrashes(2, 0, 20), sequentialCrashes(3, 2000, 21), sequentialCrashes(4, 4000, 22)}, []Fingerprint{1},
		},
		{"crashes long before or after are unrelated", []*Record{concurrentCrashes(1, 5000, 10, 11, 12), concurrentCrashes(2, 0, 13), concurrentCrashes(3, 9000, 14)}, []Fingerprint{1}},
	} {
		findings := Evaluate(c.records, 3, atMs(60_000))
		if len(findings) != len(c.refused) {
			t.Errorf("%s: got findings %v, want refused %v", c.name, findings, c.refused)
		}
		for _, fp := range c.refused {
			if findings[fp] != MustNotRun {
				t.Errorf("%s: got findings %v, want refused %v", c.name, findings, c.refused)
			}
		}
	}
}

// A request must be held before it is refused, because more targets may crash without it.
func TestDecisionDelay(t *testing.T) {
	records := []*Record{sequentialCrashes(1, 1000, 10, 11, 12), sequentialCrashes(2, 500, 20)}
	if f := Evaluate(records, 3, atMs(2500))[1]; f != MustWait {
		t.Errorf("before the delay: got finding %v", f)
	}
	if f := Evaluate(records, 3, atMs(3000))[1]; f != MustNotRun {
		t.Errorf("after the delay: got finding %v", f)
	}
	more := append(records, sequentialCrashes(3, 2600, 21), sequentialCrashes(4, 2700, 22))
	if f := Evaluate(more, 3, atMs(3000))[1]; f != 0 {
		t.Errorf("after more unrelated crashes: got finding %v", f)
	}
}

// withElapsed sets the elapsed time of all crashes.
func withElapsed(d time.Duration, r *Record) *Record {
	for i := range r.Crashes {
		r.Crashes[i].Elapsed = d
	}
	return r
}

// Three unrelated crashes in the background window must not delay the refusal of a request that
// crashes its targets 60 ms after each send: at that crash rate, three coincidences are very
// unlikely.
func TestCrashesRightAfterSendOutweighBackgroundCrashes(t *testing.T) {
	records := []*Record{withElapsed(60*time.Millisecond, sequentialCrashes(1, 10_000, 10, 11, 12)), sequentialCrashes(2, 1000, 20), sequentialCrashes(3, 6500, 21), sequentialCrashes(4, 7500, 22)}
	if f := Evaluate(records, 3, atMs(60_000))[1]; f != MustNotRun {
		t.Errorf("crashed 60 ms after each send: got finding %v", f)
	}
	records[0] = withElapsed(2*time.Second, sequentialCrashes(1, 10_000, 10, 11, 12))
	if f := Evaluate(records, 3, atMs(60_000))[1]; f != 0 {
		t.Errorf("crashed two seconds after each send: got finding %v", f)
	}
}

// A request that is always in flight meets some of frequent unrelated crashes. If it was served
// in between, it takes more crashes to refuse it.
func TestServedBetweenFrequentCrashes(t *testing.T) {
	r := withElapsed(200*time.Millisecond, sequentialCrashes(1, 1000, 10, 11, 12))
	if f := Evaluate([]*Record{r}, 3, atMs(60_000))[1]; f != MustNotRun {
		t.Errorf("never served: got finding %v", f)
	}
	r.Served = 1
	if f := Evaluate([]*Record{r}, 3, atMs(60_000))[1]; f != 0 {
		t.Errorf("served once: got finding %v", f)
	}
}

// A request that was served between its crashes, and met no more of a series of crashes than one
// that is always in flight may, must not be refused; in a large fleet as many are no coincidence.
func TestServedRequestAmongOtherCrashes(t *testing.T) {
	for _, c := range []struct {
		name                     string
		targets, served, crashes int
		others                   int
		want                     Finding
	}{
		{"five of eight crashes of three targets", 3, 4, 5, 3, 0},
		{"three of four crashes of three targets", 3, 1, 3, 1, 0},
		{"never served", 3, 0, 3, 1, MustNotRun},
		{"no other target crashed", 3, 1, 3, 0, MustNotRun},
		{"three of four crashes of sixty targets", 60, 1, 3, 1, MustNotRun},
		{"nine of ten crashes of three targets", 3, 5, 9, 1, MustNotRun},
		{"number of targets unknown", 0, 1, 3, 1, 0},
	} {
		r := &Record{Fingerprint: 1}
		for i := range c.crashes {
			r.addCrash(Crash{Target: fleet.ID(10 + i), Step: i, At: atMs(1000 + 1000*i), Elapsed: 60 * time.Millisecond, Targets: c.targets})
		}
		r.Served = c.served
		records := []*Record{r}
		for i := range c.others {
			records = append(records, sequentialCrashes(Fingerprint(100+i), 900+1000*i, fleet.ID(100+i)))
		}
		if f := Evaluate(records, 3, atMs(60_000))[1]; f != c.want {
			t.Errorf("%s: got finding %v, want %v", c.name, f, c.want)
		}
	}
}

func TestBinomialTail(t *testing.T) {
	for _, c := range []struct {
		n, least int
		p, want  float64
	}{{7, 4, 0.5, 0.5}, {3, 0, 0.1, 1}, {5, 3, 1, 1}, {4, 4, 0.5, 0.0625}, {2, 3, 0.5, 0}} {
		if got := binomialTail(c.n, c.least, c.p); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%d of %d with probability %v: got %v, want %v", c.least, c.n, c.p, got, c.want)
		}
	}
}

// BenchmarkEvaluate measures an evaluation with a registry full of single-crash suspects and
// some requests to refuse.
func BenchmarkEvaluate(b *testing.B) {
	var records []*Record
	for i := range 2000 {
		records = append(records, sequentialCrashes(Fingerprint(i), 10*i, fleet.ID(i)))
	}
	for i := range 5 {
		target := fleet.ID(10000 + 10*i)
		records = append(records, sequentialCrashes(Fingerprint(10000+i), 1000, target, target+1, target+2))
	}
	for b.Loop() {
		Evaluate(records, 3, atMs(60_000))
	}
}
