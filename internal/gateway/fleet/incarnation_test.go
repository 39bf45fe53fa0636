package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// startedListing is the listing of an incarnation with a start time.
func startedListing(instance string, port uint16, startedMs int64) Listing {
	l := listing(instance, port)
	l.StartedMs = startedMs
	return l
}

func onlyTarget(t *testing.T, d *Directory, now time.Time) Target {
	t.Helper()
	list := d.Targets(declared, now, SyncState{})["s"]
	if len(list) != 1 {
		t.Fatalf("targets %v", list)
	}
	return list[0]
}

// After a restart under the same name, the load and the cached parts of the earlier
// incarnation must not be attributed to the new one.
func TestRestartUnderSameNameChangesID(t *testing.T) {
	d := NewDirectory()
	d.Add(startedListing("x", 1, 100), feed.Position{Offset: 1}, start)
	before := onlyTarget(t, d, start)
	d.Add(startedListing("x", 1, 200), feed.Position{Offset: 2}, start.Add(time.Second))
	after := onlyTarget(t, d, start.Add(time.Second))
	if before.ID == after.ID || before.Incarnation == after.Incarnation {
		t.Errorf("%v and %v have the same ID", before.Incarnation, after.Incarnation)
	}
	if before.Hash != after.Hash {
		t.Error("the restart changed the target's rank hash")
	}
}

// A delayed "leaving" listing of an earlier incarnation must not take its successor out of use.
func TestDelayedListingOfEarlierIncarnation(t *testing.T) {
	d := NewDirectory()
	d.Add(startedListing("x", 1, 200), feed.Position{Offset: 1}, start)
	delayed := startedListing("x", 1, 100)
	delayed.Leaving = true
	if d.Add(delayed, feed.Position{Offset: 2}, start.Add(time.Second)) {
		t.Error("the delayed listing was accepted")
	}
	if got := onlyTarget(t, d, start.Add(time.Second)); got.StartedMs != 200 || got.Leaving {
		t.Errorf("target %+v", got)
	}
}

// After a host's clock goes back, a restarted engine seems to have started before its earlier
// incarnation. It must be used once that one has not been listed for a while.
func TestRestartWithEarlierStartTime(t *testing.T) {
	d := NewDirectory()
	d.Add(startedListing("x", 1, 200), feed.Position{Offset: 1}, start)
	d.Add(startedListing("x", 1, 150), feed.Position{Offset: 2}, start.Add(time.Second))
	if got := onlyTarget(t, d, start.Add(time.Second)); got.StartedMs != 200 {
		t.Errorf("at once: %v", got.Incarnation)
	}
	d.Add(startedListing("x", 1, 150), feed.Position{Offset: 3}, start.Add(staleListingWindow+time.Second))
	if got := onlyTarget(t, d, start.Add(staleListingWindow+time.Second)); got.StartedMs != 150 {
		t.Errorf("after staleListingWindow: %v", got.Incarnation)
	}
}

// The removal of a crashed incarnation must not apply to the next one, which its host reports
// before the list shows it.
func TestNextIncarnationOfRemovedTargetIsNotGone(t *testing.T) {
	d := NewDirectory()
	d.Add(startedListing("x", 1, 100), feed.Position{Offset: 1}, start)
	d.Remove("x", start.Add(time.Second))
	if !d.Gone(Incarnation{"x", 100}) || d.Gone(Incarnation{"x", 200}) {
		t.Error("Gone does not distinguish the removed incarnation from the next one")
	}
}

// A sidecar that was suspended while its engine restarted sends an outdated report. It must not
// restore the earlier incarnation.
func TestReportOlderThanListingIsSuperseded(t *testing.T) {
	d := NewDirectory()
	d.Add(startedListing("x", 1, 200), feed.Position{Offset: 1}, start)
	if !d.Superseded(Incarnation{"x", 100}, start.Add(-time.Second)) {
		t.Error("a report from before the listing is not superseded")
	}
	if d.Superseded(Incarnation{"x", 100}, start.Add(time.Second)) {
		t.Error("a newer report with an earlier start time is superseded")
	}
}

// A listing of an undeclared service must not displace the target at the same address.
func TestUndeclaredServiceDisplacesNoTarget(t *testing.T) {
	d := NewDirectory()
	d.Add(startedListing("x", 1, 100), feed.Position{Offset: 1}, start)
	undeclared := startedListing("y", 1, 300)
	undeclared.Service = "undeclared"
	d.Add(undeclared, feed.Position{Offset: 2}, start)
	if got := onlyTarget(t, d, start); got.Instance != "x" {
		t.Errorf("target %v", got.Incarnation)
	}
	if target, ok := d.ByAddress(declared, undeclared.Address); !ok || target.Instance != "x" {
		t.Errorf("at the address: %v, %v", target.Incarnation, ok)
	}
	if _, ok := d.Targets(declared, start, SyncState{})["undeclared"]; ok {
		t.Error("targets of an undeclared service are returned")
	}
}

// Of two listings at one address, the one that started later must be used even if it was
// written first.
func TestLatestStartAtAddressIsUsed(t *testing.T) {
	d := NewDirectory()
	d.Add(startedListing("new", 1, 200), feed.Position{Offset: 1}, start)
	d.Add(startedListing("old", 1, 100), feed.Position{Offset: 2}, start)
	if got := onlyTarget(t, d, start); got.Instance != "new" {
		t.Errorf("target %v", got.Incarnation)
	}
}

// oracle is the expected state of one target: its newest incarnation, unless that has not been
// listed for so long that one with an earlier start time must be its successor.
type oracle struct {
	incarnation Incarnation
	listedAt    time.Time
	removed     bool
}

func (o *oracle) add(l Incarnation, now time.Time) {
	if l.StartedMs < o.incarnation.StartedMs && now.Sub(o.listedAt) < staleListingWindow {
		return
	}
	*o = oracle{incarnation: l, listedAt: now}
}

// Listings of restarting targets and removals arrive in any order. After each of them, the
// directory must return exactly the incarnations of the oracles.
func TestDirectoryFollowsLivesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := NewDirectory()
		oracles := map[string]*oracle{}
		now := start
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause")) * time.Millisecond)
			n := rapid.IntRange(0, 3).Draw(rt, "target")
			name := fmt.Sprintf("t%d", n)
			if rapid.IntRange(0, 5).Draw(rt, "remove") == 0 {
				d.Remove(name, now)
				if o := oracles[name]; o != nil {
					o.removed = true
				}
			} else {
				l := startedListing(name, uint16(n+1), rapid.Int64Range(1, 4).Draw(rt, "started"))
				d.Add(l, feed.Position{Offset: uint64(step)}, now)
				if oracles[name] == nil {
					oracles[name] = &oracle{}
				}
				oracles[name].add(l.Incarnation, now)
			}
			checkTargets(rt, d, oracles, now)
		}
	})
}

func checkTargets(rt *rapid.T, d *Directory, oracles map[string]*oracle, now time.Time) {
	used := map[Incarnation]netip.AddrPort{}
	for _, t := range d.Targets(declared, now, SyncState{})["s"] {
		used[t.Incarnation] = t.Address
	}
	want := 0
	for name, o := range oracles {
		if o.removed {
			continue
		}
		want++
		if _, ok := used[o.incarnation]; !ok {
			rt.Fatalf("%s: %v is not returned; got %v", name, o.incarnation, used)
		}
	}
	if len(used) != want {
		rt.Fatalf("got %v, want %d targets", used, want)
	}
}

// Guards against a restarted target that counts as running the software version of its earlier
// incarnation.
func TestVersionIsUnknownForAnotherIncarnation(t *testing.T) {
	l := listing("x", 1)
	l.SoftwareVersion, l.StartedMs = "v1", 5
	target := NewTarget(l)
	for incarnation, want := range map[Incarnation]string{{"x", 5}: "v1", {"x", 0}: "v1", {"x", 6}: "", {"y", 5}: ""} {
		if got := target.WithIncarnation(incarnation).SoftwareVersion; got != want {
			t.Errorf("%v: version %q, want %q", incarnation, got, want)
		}
	}
}
