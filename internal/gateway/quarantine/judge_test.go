package quarantine

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at is a time in milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// rec returns a record with the ends of some lives: one a step, 500 ms apart from ms on.
func rec(p Fingerprint, ms int, lives ...fleet.ID) *Record {
	r := &Record{Fingerprint: p}
	for i, life := range lives {
		r.addEnd(Crash{Target: life, Step: i, At: at(ms + 500*i)})
	}
	return r
}

// sameMoment returns a record whose ends all came under sends of one step.
func sameMoment(p Fingerprint, ms int, lives ...fleet.ID) *Record {
	r := &Record{Fingerprint: p}
	for _, life := range lives {
		r.addEnd(Crash{Target: life, At: at(ms)})
	}
	return r
}

func TestJudge(t *testing.T) {
	for _, c := range []struct {
		story   string
		records []*Record
		refused []Fingerprint
	}{
		{"two ends are no proof", []*Record{rec(1, 0, 10, 11)}, nil},
		{"three ends in a row are", []*Record{rec(1, 0, 10, 11, 12)}, []Fingerprint{1}},
		{
			"requests that shared engines with the cause have some of its ends, and none is left against them",
			[]*Record{rec(1, 0, 10, 11, 12, 13), rec(2, 0, 10, 11, 12), rec(3, 0, 10), rec(4, 0, 10, 11)}, []Fingerprint{1},
		},
		{"two causes are told apart by the ends that each has alone", []*Record{rec(1, 0, 10, 11, 12, 13), rec(2, 0, 10, 20, 21, 22)}, []Fingerprint{1, 2}},
		{"two requests with the same ends are both left to run alone", []*Record{rec(1, 0, 10, 11, 12), rec(2, 0, 10, 11, 12)}, nil},
		{"one more end tells them apart", []*Record{rec(1, 0, 10, 11, 12, 13), rec(2, 0, 10, 11, 12)}, []Fingerprint{1}},
		{
			"power is lost everywhere while one request runs at three engines at once: others end without it",
			[]*Record{sameMoment(1, 0, 10, 11, 12), sameMoment(2, 100, 13), sameMoment(3, 100, 14)}, nil,
		},
		{"a request ends the three engines that it runs at at once, and no other ends", []*Record{sameMoment(1, 0, 10, 11, 12), sameMoment(2, 0, 10)}, []Fingerprint{1}},
		{
			"targets end by themselves as often as under the request",
			[]*Record{rec(1, 5000, 10, 11, 12), rec(2, 0, 20), rec(3, 2000, 21), rec(4, 4000, 22)}, nil,
		},
		{
			"the same, and the request goes on ending targets",
			[]*Record{rec(1, 5000, 10, 11, 12, 13, 14), rec(2, 0, 20), rec(3, 2000, 21), rec(4, 4000, 22)}, []Fingerprint{1},
		},
		{"an end long before or after has a cause of its own", []*Record{sameMoment(1, 5000, 10, 11, 12), sameMoment(2, 0, 13), sameMoment(3, 9000, 14)}, []Fingerprint{1}},
	} {
		found := Evaluate(c.records, 3, at(60_000))
		if len(found) != len(c.refused) {
			t.Errorf("%s: found %v, want refused %v", c.story, found, c.refused)
		}
		for _, p := range c.refused {
			if found[p] != MustNotRun {
				t.Errorf("%s: found %v, want refused %v", c.story, found, c.refused)
			}
		}
	}
}

// Three targets end in a row under one request. It is held for a second, in which more may
// end without it, and refused when none has.
func TestJudgementWaitsForOtherEnds(t *testing.T) {
	records := []*Record{rec(1, 1000, 10, 11, 12), rec(2, 500, 20)}
	if f := Evaluate(records, 3, at(2500))[1]; f != MustWait {
		t.Errorf("at once: %v", f)
	}
	if f := Evaluate(records, 3, at(3000))[1]; f != MustNotRun {
		t.Errorf("after a second: %v", f)
	}
	more := append(records, rec(3, 2600, 21), rec(4, 2700, 22))
	if f := Evaluate(more, 3, at(3000))[1]; f != 0 {
		t.Errorf("others went on to end without it: %v", f)
	}
}

// ran states how long the request was under way at each of its ends.
func ran(d time.Duration, r *Record) *Record {
	for i := range r.Crashes {
		r.Crashes[i].Elapsed = d
	}
	return r
}

// Three targets crashed by themselves within the last ten seconds. Then three more end, each
// 60 ms after the same request was sent to it: at that rate of crashes a request that did
// nothing would meet three of them once in thirty thousand times. It was run a fourth time,
// since as many targets had ended without it as with it:
//
//	request_blamed ... ends=3 step=2
//	request_held ... ends=4 served=0
func TestEndsRightAfterTheSendOutweighEarlierCrashes(t *testing.T) {
	records := []*Record{ran(60*time.Millisecond, rec(1, 10_000, 10, 11, 12)), rec(2, 1000, 20), rec(3, 6500, 21), rec(4, 7500, 22)}
	if f := Evaluate(records, 3, at(60_000))[1]; f != MustNotRun {
		t.Errorf("found %v", f)
	}
	records[0] = ran(2*time.Second, rec(1, 10_000, 10, 11, 12))
	if f := Evaluate(records, 3, at(60_000))[1]; f != 0 {
		t.Errorf("under way for two seconds each time: found %v", f)
	}
}

// Targets crash every 300 ms. A prompt that is always under way, for 200 ms each time, meets
// three of the crashes, and is answered once between: it takes two ends more than one that
// is never answered.
func TestAnsweredBetweenCrashesInAStorm(t *testing.T) {
	r := ran(200*time.Millisecond, rec(1, 1000, 10, 11, 12))
	if f := Evaluate([]*Record{r}, 3, at(60_000))[1]; f != MustNotRun {
		t.Errorf("never answered: found %v", f)
	}
	r.Served = 1
	if f := Evaluate([]*Record{r}, 3, at(60_000))[1]; f != 0 {
		t.Errorf("answered once between: found %v", f)
	}
}

// What it costs to judge anew after a change, with a book that is full of suspects with one
// end, and a few that may be refused.
func BenchmarkJudge(b *testing.B) {
	var records []*Record
	for i := range 2000 {
		records = append(records, rec(Fingerprint(i), 10*i, fleet.ID(i)))
	}
	for i := range 5 {
		life := fleet.ID(10000 + 10*i)
		records = append(records, rec(Fingerprint(10000+i), 1000, life, life+1, life+2))
	}
	for b.Loop() {
		Evaluate(records, 3, at(60_000))
	}
}
