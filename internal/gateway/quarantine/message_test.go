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
	r.Trial, r.RenewedAt = Trial{Number: 4, Target: 13, Since: at(1500)}, at(-500)
	elsewhere := at(2000).Add(time.Hour)
	got := FromMessage(Message(r, at(2000)), elsewhere)
	want := r.clone()
	want.RenewedAt, want.Trial.Since = want.RenewedAt.Add(time.Hour), want.Trial.Since.Add(time.Hour)
	for i := range want.Ends {
		want.Ends[i].At = want.Ends[i].At.Add(time.Hour)
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
		for _, way := range [][2]*Book{{b, other}, {other, b}} {
			r, _ := way[0].Get(1)
			m := Message(&r, now)
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
		text, err := proto.Marshal(Message(r, at(5000)))
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
		b.Settle(at(100))
		for _, l := range b.List(at(100)) {
			if len(l.Record.Ends) > maxEnds {
				t.Errorf("%d ends", len(l.Record.Ends))
			}
			Message(&l.Record, at(100))
		}
		b.TakeFresh(10)
	})
}
