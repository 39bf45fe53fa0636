package fleet

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

var start = time.Unix(1000, 0)

// currentSync is the state of a replica that is complete since start; later is a time at which
// the start no longer leaves a target unconfirmed.
var (
	currentSync = SyncState{StartedAt: start, CompleteSince: start, Current: true}
	later       = start.Add(time.Minute)
)

// declared reports whether a service is the one that the tests use.
func declared(service string) bool { return service == "s" }

func listing(instance string, port uint16) Listing {
	return Listing{Incarnation: Incarnation{Instance: instance}, Service: "s", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Zone: "a"}
}

func unconfirmedByName(d *Directory, now, outageEnd time.Time) map[string]bool {
	unconfirmed := map[string]bool{}
	for _, t := range d.Targets(declared, now, SyncState{OutageEnded: outageEnd})["s"] {
		unconfirmed[t.Instance] = t.Unconfirmed
	}
	return unconfirmed
}

// A target must not be used once it is removed from the list.
func TestRemovedTargetIsNotUsed(t *testing.T) {
	d := NewDirectory()
	d.Add(listing("x", 1), feed.Position{Offset: 1}, start)
	if !d.Remove("x", start) || d.Remove("x", start) {
		t.Error("Remove must report true for the first removal only")
	}
	if got := unconfirmedByName(d, start, time.Time{}); len(got) != 0 {
		t.Errorf("targets %v", got)
	}
	if !d.Gone(Incarnation{Instance: "x"}) {
		t.Error("the removed target is not reported as gone")
	}
}

// After a store outage in which all entries expired, the live targets must stay usable as
// unconfirmed until they could have renewed their entries.
func TestExpiredTargetsAreUnconfirmedAfterOutage(t *testing.T) {
	d := NewDirectory()
	d.Add(listing("x", 1), feed.Position{Offset: 1}, start)
	d.Add(listing("y", 2), feed.Position{Offset: 1}, start)
	d.Remove("x", start)
	d.Remove("y", start)
	if got := unconfirmedByName(d, start.Add(time.Second), start); len(got) != 2 || !got["x"] {
		t.Errorf("a second after the outage: %v", got)
	}
	d.Add(listing("x", 1), feed.Position{Offset: 1}, start)
	if got := unconfirmedByName(d, start.Add(relistTimeout+time.Second), start); len(got) != 1 || got["x"] {
		t.Errorf("after the relist timeout: %v", got)
	}
}

// A target removed before the outage must not be taken for one whose entry expired during it.
func TestTargetRemovedBeforeOutageIsNotUnconfirmed(t *testing.T) {
	d := NewDirectory()
	d.Add(listing("left", 1), feed.Position{Offset: 1}, start)
	d.Add(listing("expired", 2), feed.Position{Offset: 2}, start)
	d.Remove("left", start.Add(4*time.Second))
	sync := SyncState{OutageBegan: start.Add(4 * time.Second), OutageEnded: start.Add(9 * time.Second)}
	d.Remove("expired", sync.OutageEnded)
	targets := d.Targets(declared, sync.OutageEnded.Add(time.Second), sync)["s"]
	if len(targets) != 1 || targets[0].Instance != "expired" || !targets[0].Unconfirmed {
		t.Errorf("targets %v", targets)
	}
}

// A target that was leaving before the outage must not be used as unconfirmed.
func TestLeavingTargetIsNotUnconfirmed(t *testing.T) {
	d := NewDirectory()
	l := listing("x", 1)
	l.Leaving = true
	d.Add(l, feed.Position{Offset: 1}, start)
	d.Remove("x", start)
	if got := unconfirmedByName(d, start, start); len(got) != 0 {
		t.Errorf("targets %v", got)
	}
}

// An engine restarted under a new name at its address while the list still shows the old one:
// the host's report must replace the listed incarnation.
func TestReportReplacesListedTarget(t *testing.T) {
	d := NewDirectory()
	old := listing("old", 1)
	old.Slots = 64
	d.Add(old, feed.Position{Offset: 1}, start)
	d.Add(listing("other", 2), feed.Position{Offset: 1}, start)
	byService := d.Targets(declared, start, SyncState{})
	d.ApplyReports(byService, []Report{{Incarnation: Incarnation{Instance: "new"}, Service: "s", Address: old.Address, Zone: "a", Weights: map[string]int64{"m": 2}}}, currentSync, later)
	found := map[string]int{}
	for _, t := range byService["s"] {
		found[t.Instance] = t.Slots
	}
	if len(found) != 2 || found["new"] != 64 {
		t.Errorf("targets %v", found)
	}
	d.Add(listing("new", 1), feed.Position{Offset: 2}, start)
	byService = d.Targets(declared, start, SyncState{})
	d.ApplyReports(byService, []Report{{Incarnation: Incarnation{Instance: "new"}, Service: "s", Address: old.Address}}, currentSync, later)
	if len(byService["s"]) != 2 {
		t.Errorf("targets after the new incarnation is listed: %v, want 2", byService["s"])
	}
}

// While the list has two incarnations at one address, only the newer may be used. The earlier
// one must not return when the newer is removed.
func TestEarlierIncarnationAtAddressIsNotUsed(t *testing.T) {
	d := NewDirectory()
	d.Add(listing("new", 1), feed.Position{Offset: 7}, start)
	d.Add(listing("old", 1), feed.Position{Offset: 3}, start)
	if got := unconfirmedByName(d, start, time.Time{}); len(got) != 1 || got["new"] {
		t.Errorf("targets %v", got)
	}
	if target, ok := d.ByAddress(declared, listing("new", 1).Address); !ok || target.Instance != "new" {
		t.Errorf("at the address: %v %v", target, ok)
	}
	d.Remove("old", start)
	d.Remove("new", start)
	if got := unconfirmedByName(d, start, time.Time{}); len(got) != 0 {
		t.Errorf("targets %v", got)
	}
}

// Guards against an odd entry whose start time is far ahead: it would take precedence over the sound target of its
// name, or at its address, for good.
func TestStartTimeFarAheadCountsAsNotStated(t *testing.T) {
	d := NewDirectory()
	now := start
	declared := func(string) bool { return true }
	sound := Listing{Incarnation: Incarnation{Instance: "i-1", StartedMs: now.UnixMilli()}, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	position := uint64(0)
	add := func(l Listing) {
		position++
		d.Add(l, feed.Position{Offset: position}, now)
	}
	for _, ahead := range []int64{math.MaxInt64, now.AddDate(8000, 0, 0).UnixMilli()} {
		odd := sound
		odd.StartedMs = ahead
		add(sound)
		add(odd)
		add(sound)
		odd.Instance = "i-odd"
		add(odd)
		add(sound)
		if got := d.Targets(declared, now, currentSync)["s"]; len(got) != 1 || got[0].Incarnation != sound.Incarnation {
			t.Errorf("start time %d: the targets are %+v", ahead, got)
		}
	}
}
