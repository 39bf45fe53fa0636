package quarantine

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// What one process tells another is what that one takes in, whatever their clocks show.
func TestMessageKeepsARecord(t *testing.T) {
	r := rec(5, 0, 10, 11, 12)
	r.Workspace, r.Route, r.Generation, r.Served = "town", "check", 2, 1
	r.ProbationRun, r.ReleasedAt = ProbationRun{Number: 4, Target: 13, StartedAt: at(1500)}, at(-500)
	elsewhere := at(2000).Add(time.Hour)
	got := FromMessage(ToMessage(r, at(2000)), elsewhere)
	want := r.clone()
	want.ReleasedAt, want.ProbationRun.StartedAt = want.ReleasedAt.Add(time.Hour), want.ProbationRun.StartedAt.Add(time.Hour)
	for i := range want.Crashes {
		want.Crashes[i].At = want.Crashes[i].At.Add(time.Hour)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Hundreds of processes tell each other of a request all the time, and each word is a few
// milliseconds under way. The record grows old all the same, and is forgotten.
func TestTellingMakesNoRecordYounger(t *testing.T) {
	b, other := newBook(), newBook()
	b.blameAt(1, 10, 0, 0)
	now := at(0)
	for range 10_000 {
		for _, way := range [][2]*Registry{{b, other}, {other, b}} {
			r, _ := way[0].Get(1)
			m := ToMessage(&r, now)
			now = now.Add(2 * time.Millisecond)
			way[1].Merge(FromMessage(m, now), false, now)
		}
	}
	r, _ := b.Get(1)
	if told, _ := other.Get(1); r.ChangedAt() != at(0) || told.ChangedAt().After(at(5)) {
		t.Errorf("after %v of telling the end counts as %v and %v old", now.Sub(at(0)), now.Sub(r.ChangedAt()), now.Sub(told.ChangedAt()))
	}
}

// The words of a faulty process change nothing but records: no panic, bounded size.
func FuzzMessage(f *testing.F) {
	for _, r := range []*Record{rec(1, 0, 10), rec(2, 0, 10, 11, 12)} {
		text, err := proto.Marshal(ToMessage(r, at(5000)))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m := &peerv1.Suspect{}
		if proto.Unmarshal(text, m) != nil {
			return
		}
		b := newBook()
		b.blameAt(1, 10, 0, 0)
		r := FromMessage(m, at(100))
		b.Merge(r, true, at(100))
		b.Reevaluate(at(100))
		for _, l := range b.List(at(100)) {
			if len(l.Record.Crashes) > maxEnds {
				t.Errorf("%d ends", len(l.Record.Crashes))
			}
			ToMessage(&l.Record, at(100))
		}
		b.TakeUpdates(10)
	})
}
