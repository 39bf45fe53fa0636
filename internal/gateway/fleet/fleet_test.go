package fleet

import (
	"net/netip"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// followed is a list that has been followed without a gap since start, and later a time
// at which no doubt is left from then.
var (
	followed = SyncState{StartedAt: start, CompleteSince: start, Current: true}
	later    = start.Add(time.Minute)
)

// declared services are those of the tests.
func declared(service string) bool { return service == "s" }

func listing(instance string, port uint16) Listing {
	return Listing{Incarnation: Incarnation{Instance: instance}, Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Zone: "a"}
}

func names(d *Directory, now, outageEnd time.Time) map[string]bool {
	doubtful := map[string]bool{}
	for _, t := range d.Targets(declared, now, SyncState{OutageEnded: outageEnd})["s"] {
		doubtful[t.Instance] = t.Unconfirmed
	}
	return doubtful
}

// A target that leaves the list is not used from then on, however it left.
func TestDroppedTargetIsNotUsed(t *testing.T) {
	d := NewDirectory()
	d.Add(listing("x", 1), 1, start)
	if !d.Remove("x", start) || d.Remove("x", start) {
		t.Error("a drop counts once")
	}
	if got := names(d, start, time.Time{}); len(got) != 0 {
		t.Errorf("targets %v", got)
	}
	if !d.Gone(Incarnation{Instance: "x"}) {
		t.Error("the target does not count as gone")
	}
}

// The store was away for some seconds, and the entries of all targets lapsed.
// At its return the list is empty although the targets live: they are used as
// doubtful until they would have reported.
func TestLapsedTargetsAreDoubtfulForAWhile(t *testing.T) {
	d := NewDirectory()
	d.Add(listing("x", 1), 1, start)
	d.Add(listing("y", 2), 1, start)
	d.Remove("x", start)
	d.Remove("y", start)
	if got := names(d, start.Add(time.Second), start); len(got) != 2 || !got["x"] {
		t.Errorf("a second after the outage: %v", got)
	}
	d.Add(listing("x", 1), 1, start)
	if got := names(d, start.Add(returnTime+time.Second), start); len(got) != 1 || got["x"] {
		t.Errorf("later: %v", got)
	}
}

// Guards against new work at a target that had left seconds before the store went away:
// the end of the outage made it count as one whose entry had lapsed.
func TestTargetThatLeftBeforeAnOutageIsNotDoubtful(t *testing.T) {
	d := NewDirectory()
	d.Add(listing("left", 1), 1, start)
	d.Add(listing("lapsed", 2), 2, start)
	d.Remove("left", start.Add(4*time.Second))
	f := SyncState{OutageBegan: start.Add(4 * time.Second), OutageEnded: start.Add(9 * time.Second)}
	d.Remove("lapsed", f.OutageEnded)
	targets := d.Targets(declared, f.OutageEnded.Add(time.Second), f)["s"]
	if len(targets) != 1 || targets[0].Instance != "lapsed" || !targets[0].Unconfirmed {
		t.Errorf("targets %v", targets)
	}
}

// A target that announced its leaving before the outage is not brought back by
// the doubt.
func TestLeavingTargetIsNotDoubtful(t *testing.T) {
	d := NewDirectory()
	l := listing("x", 1)
	l.Leaving = true
	d.Add(l, 1, start)
	d.Remove("x", start)
	if got := names(d, start, start); len(got) != 0 {
		t.Errorf("targets %v", got)
	}
}

// An engine crashed and came back under a new name at its address. The list
// still shows the old one; its own host knows better.
func TestOwnHostCorrectsTheList(t *testing.T) {
	d := NewDirectory()
	old := listing("old", 1)
	old.Slots = 64
	d.Add(old, 1, start)
	d.Add(listing("other", 2), 1, start)
	byService := d.Targets(declared, start, SyncState{})
	d.ApplyReports(byService, []Report{{Incarnation: Incarnation{Instance: "new"}, Service: "s", Address: old.Address, Zone: "a", Weights: map[string]int64{"m": 2}}}, followed, later)
	found := map[string]int{}
	for _, t := range byService["s"] {
		found[t.Instance] = t.Slots
	}
	if len(found) != 2 || found["new"] != 64 {
		t.Errorf("targets %v", found)
	}
	d.Add(listing("new", 1), 2, start)
	byService = d.Targets(declared, start, SyncState{})
	d.ApplyReports(byService, []Report{{Incarnation: Incarnation{Instance: "new"}, Service: "s", Address: old.Address}}, followed, later)
	if len(byService["s"]) != 2 {
		t.Errorf("both lives are used: %v", byService["s"])
	}
}

// All hosts lose power and come back. For a second or two the list has two lives of
// each target at one address, and requests that name the earlier one are refused.
// Only the newer is used; when it goes, the earlier one does not come back.
func TestEarlierLifeAtAnAddressIsNotUsed(t *testing.T) {
	d := NewDirectory()
	d.Add(listing("new", 1), 7, start)
	d.Add(listing("old", 1), 3, start)
	if got := names(d, start, time.Time{}); len(got) != 1 || got["new"] {
		t.Errorf("targets %v", got)
	}
	if at, ok := d.ByAddress(declared, listing("new", 1).Address); !ok || at.Instance != "new" {
		t.Errorf("at the address: %v %v", at, ok)
	}
	d.Remove("old", start)
	d.Remove("new", start)
	if got := names(d, start, time.Time{}); len(got) != 0 {
		t.Errorf("targets %v", got)
	}
}
