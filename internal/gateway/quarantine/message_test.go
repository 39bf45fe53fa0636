package quarantine

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
)

// A record must survive encoding and decoding between processes whose clocks differ.
func TestMessageRoundTrip(t *testing.T) {
	r := sequentialCrashes(5, 0, 10, 11, 12)
	r.Workspace, r.Route, r.Generation, r.Served = "town", "check", 2, 1
	r.ProbationRun, r.ReleasedAt = ProbationRun{Number: 4, Target: 13, StartedAt: atMs(1500)}, atMs(-500)
	receivedAt := atMs(2000).Add(time.Hour)
	got := FromMessage(ToMessage(r, atMs(2000)), receivedAt)
	want := r.clone()
	want.ReleasedAt, want.ProbationRun.StartedAt = want.ReleasedAt.Add(time.Hour), want.ProbationRun.StartedAt.Add(time.Hour)
	for i := range want.Crashes {
		want.Crashes[i].At = want.Crashes[i].At.Add(time.Hour)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// Ages in announcements do not include the time in transit. Repeated announcements must not make
// a record younger, or it would never expire.
func TestAnnouncingKeepsAge(t *testing.T) {
	q, peer := newRegistry(), newRegistry()
	q.crashAt(1, 10, 0, 0)
	now := atMs(0)
	for range 10_000 {
		for _, pair := range [][2]*Registry{{q, peer}, {peer, q}} {
			r, _ := pair[0].Get(1)
			m := ToMessage(&r, now)
			now = now.Add(2 * time.Millisecond)
			pair[1].Merge(FromMessage(m, now), false, now)
		}
	}
	r, _ := q.Get(1)
	if remote, _ := peer.Get(1); r.ChangedAt() != atMs(0) || remote.ChangedAt().After(atMs(5)) {
		t.Errorf("after %v of announcements the crash is %v and %v old", now.Sub(atMs(0)), now.Sub(r.ChangedAt()), now.Sub(remote.ChangedAt()))
	}
}

// Arbitrary messages must not cause a panic or exceed the limits of a record.
func FuzzMessage(f *testing.F) {
	for _, r := range []*Record{sequentialCrashes(1, 0, 10), sequentialCrashes(2, 0, 10, 11, 12)} {
		data, err := proto.Marshal(ToMessage(r, atMs(5000)))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := &peerv1.Suspect{}
		if proto.Unmarshal(data, m) != nil {
			return
		}
		q := newRegistry()
		q.crashAt(1, 10, 0, 0)
		r := FromMessage(m, atMs(100))
		q.Merge(r, true, atMs(100))
		q.Reevaluate(atMs(100))
		for _, l := range q.List(atMs(100)) {
			if len(l.Record.Crashes) > maxRecordedCrashes {
				t.Errorf("%d crashes", len(l.Record.Crashes))
			}
			ToMessage(&l.Record, atMs(100))
		}
		q.TakeUpdates(10)
	})
}
