package quarantine

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

func (q *Registry) suspectAt(fp Fingerprint, target fleet.ID, step, ms int) {
	q.SuspectCrash(fp, Caller{"town", "check"}, UnconfirmedCrash{Target: target, Step: step, At: atMs(ms)})
}

// announceTo sends the pending updates of a registry to another one.
func (q *Registry) announceTo(peer *Registry, ms int) {
	for _, r := range q.TakeUpdates(100) {
		peer.Merge(FromMessage(ToMessage(&r, atMs(ms)), atMs(ms)), false, atMs(ms))
	}
}

// While it is unknown whether a target has crashed, its request must not crash further ones: with
// two crashes and an unconfirmed one it waits, for a second at most.
func TestUnconfirmedCrashHoldsRequest(t *testing.T) {
	q := newRegistry()
	q.crashAt(1, 10, 0, 0)
	q.crashAt(1, 11, 1, 100)
	q.suspectAt(1, 12, 2, 200)
	if s := q.Status(1, atMs(300)); s.Verdict != Held || s.Step != 3 || s.Crashes != 2 || s.Unconfirmed != 1 {
		t.Errorf("unknown: got %+v", s)
	}
	if v := verdictAt(q, 1, 200+int(unconfirmedTimeout.Milliseconds())+1); v != Alone {
		t.Errorf("still unknown after the timeout: got verdict %v", v)
	}
	q.crashAt(1, 12, 2, 400)
	if s := q.Status(1, atMs(500)); s.Verdict != Held || s.Crashes != 3 || s.Unconfirmed != 0 {
		t.Errorf("confirmed: got %+v", s)
	}
	if v := verdictAt(q, 1, 1500); v != Refused {
		t.Errorf("after the decision delay: got verdict %v", v)
	}
}

// A target that turns out to be alive must not restrict the request that it broke off.
func TestDismissedCrashDoesNotRestrict(t *testing.T) {
	q := newRegistry()
	q.crashAt(1, 10, 0, 0)
	q.crashAt(1, 11, 1, 100)
	q.suspectAt(1, 12, 2, 200)
	q.DismissCrash(1, 12, atMs(250))
	if s := q.Status(1, atMs(300)); s.Verdict != Alone || s.Step != 2 || s.Unconfirmed != 0 {
		t.Errorf("got %+v", s)
	}
	q.suspectAt(1, 12, 2, 350)
	if s := q.Status(1, atMs(400)); s.Unconfirmed != 0 {
		t.Errorf("the same incarnation counts again: %+v", s)
	}
}

// A network that resets connections must not restrict a request after one broken run, nor make it
// wait after two.
func TestBrokenConnectionsAloneRestrictLittle(t *testing.T) {
	q := newRegistry()
	for i, want := range []Verdict{Free, Alone, Held} {
		q.suspectAt(1, fleet.ID(10+i), i, 100*i)
		if v := verdictAt(q, 1, 100*i); v != want {
			t.Errorf("after %d broken runs: got verdict %v, want %v", i+1, v, want)
		}
		if listed := q.List(atMs(100 * i)); len(listed) != 0 {
			t.Errorf("after %d broken runs: listed as %+v", i+1, listed)
		}
	}
	if v := verdictAt(q, 1, 1300); v != Free {
		t.Errorf("after the timeout: got verdict %v", v)
	}
	if q.crashAt(2, 20, 0, 20_000); q.records[1] != nil {
		t.Error("the record was not swept")
	}
}

// A request that was served often since its crashes is not restricted by a broken connection.
func TestUnconfirmedCrashOfClearedRequest(t *testing.T) {
	q := newRegistry()
	q.crashAt(1, 10, 0, 0)
	q.crashAt(1, 11, 1, 100)
	for range 2 * servedPerStep {
		q.MarkServed(1)
	}
	q.suspectAt(1, 12, 2, 1000)
	if v := verdictAt(q, 1, 1100); v != Free {
		t.Errorf("got verdict %v", v)
	}
}

// A popular request that is served must not be restricted because its connections to some live
// targets broke; nor must what was served before a crash excuse it.
func TestBrokenConnectionsOfServedRequest(t *testing.T) {
	q := newRegistry()
	for i := range 3 {
		q.suspectAt(1, fleet.ID(10+i), i, 10*i)
	}
	for range servedPerStep {
		q.MarkServed(1)
	}
	if v := verdictAt(q, 1, 50); v != Free {
		t.Errorf("served between broken runs: got verdict %v", v)
	}
	for i := range 3 {
		q.DismissCrash(1, fleet.ID(10+i), atMs(200))
	}
	q.crashAt(1, 20, 0, 500)
	if v := verdictAt(q, 1, 600); v != Apart {
		t.Errorf("after a crash: got verdict %v", v)
	}
}

// Other entries must know of an unconfirmed crash, or a retry there crashes another target, and
// also that it was dismissed.
func TestUnconfirmedCrashIsAnnounced(t *testing.T) {
	q, peer := newRegistry(), newRegistry()
	q.crashAt(1, 10, 0, 0)
	q.announceTo(peer, 10)
	q.suspectAt(1, 11, 1, 100)
	q.announceTo(peer, 110)
	peer.crashAt(1, 12, 1, 200)
	if s := peer.Status(1, atMs(300)); s.Verdict != Held || s.Unconfirmed != 1 {
		t.Errorf("after the announcement: got %+v", s)
	}
	q.DismissCrash(1, 11, atMs(310))
	q.announceTo(peer, 320)
	if v := verdictAt(peer, 1, 330); v != Alone {
		t.Errorf("after the dismissal: got verdict %v", v)
	}
	q.suspectAt(2, 20, 0, 400)
	if updates := q.TakeUpdates(10); len(updates) != 0 {
		t.Errorf("a single broken connection was announced: %+v", updates)
	}
}

// An announcement that arrives after the crash was attributed must not count it twice.
func TestLateAnnouncementOfUnconfirmedCrash(t *testing.T) {
	q, peer := newRegistry(), newRegistry()
	q.crashAt(1, 10, 0, 0)
	q.suspectAt(1, 11, 1, 100)
	late := q.TakeUpdates(10)
	q.crashAt(1, 11, 1, 300)
	q.announceTo(peer, 310)
	for _, r := range late {
		peer.Merge(r, false, atMs(320))
	}
	if s := peer.Status(1, atMs(330)); s.Crashes != 2 || s.Unconfirmed != 0 {
		t.Errorf("got %+v", s)
	}
}

// The unconfirmed crashes of a record are bounded; the oldest are dropped.
func TestUnconfirmedCrashesAreBounded(t *testing.T) {
	q := newRegistry()
	for i := range 100 {
		q.suspectAt(1, fleet.ID(i), i, i)
	}
	r, _ := q.Get(1)
	if n := len(r.Unconfirmed); n != maxUnconfirmed || r.Unconfirmed[n-1].Target != 99 {
		t.Errorf("%d unconfirmed crashes, the last %+v", n, r.Unconfirmed[n-1])
	}
	if got := FromMessage(ToMessage(&r, atMs(100)), atMs(100)); len(got.Unconfirmed) != maxUnconfirmed {
		t.Errorf("%d in a message", len(got.Unconfirmed))
	}
	if got := ToMessage(&r, atMs(100).Add(2*time.Second)); len(got.Unconfirmed) != 0 {
		t.Errorf("%d in a message after the timeout", len(got.Unconfirmed))
	}
}
