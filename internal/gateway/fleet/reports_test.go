package fleet

import (
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/feed"
)

// reportOf is a host's report of the listed incarnation, which it saw start after a time.
func reportOf(l Listing, startedAfter time.Time) Report {
	return Report{Incarnation: l.Incarnation, Service: l.Service, Address: l.Address, Zone: l.Zone, StartedAfter: startedAfter, AsOf: start}
}

// targetAfterReport returns the target for a reported incarnation after the report is applied.
func targetAfterReport(d *Directory, r Report, sync SyncState, now time.Time) (t Target, ok bool) {
	byService := d.Targets(declared, now, sync)
	d.ApplyReports(byService, []Report{r}, sync, now)
	for _, t := range byService["s"] {
		if t.Incarnation == r.Incarnation {
			return t, true
		}
	}
	return Target{}, false
}

func directoryOf(listings ...Listing) *Directory {
	d := NewDirectory()
	for i, l := range listings {
		d.Add(l, feed.Position{Offset: uint64(i)}, start)
	}
	return d
}

// A target that left before this process read the list must get no new requests, although its
// host reports it while it finishes its requests.
func TestReportedTargetRemovedBeforeSnapshot(t *testing.T) {
	d := directoryOf(listing("other", 1))
	left := reportOf(listing("left", 2), time.Time{})
	if target, ok := targetAfterReport(d, left, currentSync, start.Add(relistTimeout-time.Millisecond)); !ok || !target.Unconfirmed {
		t.Errorf("within the relist timeout: used %v, %+v", ok, target)
	}
	for _, after := range []time.Duration{relistTimeout, time.Minute, time.Hour} {
		if _, ok := targetAfterReport(d, left, currentSync, start.Add(after)); ok {
			t.Errorf("the target is used %s after the start", after)
		}
	}
}

// The same for a target that its host saw start before the list was read.
func TestReportedTargetStartedBeforeSnapshot(t *testing.T) {
	d := directoryOf(listing("other", 1))
	if _, ok := targetAfterReport(d, reportOf(listing("left", 2), start.Add(-time.Second)), currentSync, later); ok {
		t.Error("the target is used")
	}
}

// A target that started after the list was read must be used before the list shows it.
func TestNewTargetIsUsedBeforeItIsListed(t *testing.T) {
	d := directoryOf(listing("other", 1))
	target, ok := targetAfterReport(d, reportOf(listing("new", 2), later.Add(-time.Second)), currentSync, later)
	if !ok || target.Unconfirmed || !target.Unlisted {
		t.Errorf("used %v, %+v", ok, target)
	}
}

// A process that starts during a store outage must use the reported targets.
func TestReportedTargetsAreUsedWithoutAList(t *testing.T) {
	target, ok := targetAfterReport(NewDirectory(), reportOf(listing("x", 1), time.Time{}), SyncState{StartedAt: start}, later)
	if !ok || target.Unconfirmed {
		t.Errorf("used %v, %+v", ok, target)
	}
}

// During and just after a store outage, the entry of an unlisted target may have expired: the
// target must be used as unconfirmed.
func TestReportedTargetIsUnconfirmedDuringOutage(t *testing.T) {
	d := directoryOf(listing("other", 1))
	report := reportOf(listing("x", 2), time.Time{})
	down, recovered := currentSync, currentSync
	down.Current, recovered.OutageEnded = false, later.Add(-time.Second)
	for name, sync := range map[string]SyncState{"during": down, "after": recovered} {
		if target, ok := targetAfterReport(d, report, sync, later); !ok || !target.Unconfirmed {
			t.Errorf("%s: used %v, %+v", name, ok, target)
		}
	}
	if _, ok := targetAfterReport(d, report, recovered, later.Add(relistTimeout)); ok {
		t.Error("the target is used after the relist timeout")
	}
}

// The removal of a target must be remembered as long as its host reports it.
func TestReportedTargetStaysGone(t *testing.T) {
	d := directoryOf(listing("other", 1), listing("left", 2))
	d.Remove("left", start)
	report := reportOf(listing("left", 2), start.Add(time.Second))
	for now := start; now.Before(start.Add(3 * removedRetention)); now = now.Add(time.Second) {
		if _, ok := targetAfterReport(d, report, currentSync, now); ok {
			t.Fatalf("the target is used %s after its removal", now.Sub(start))
		}
	}
}

// A report with a start time must not be taken for a later incarnation of a removed target whose
// listing had no start time.
func TestReportWithStartTimeOfRemovedTarget(t *testing.T) {
	d := directoryOf(listing("other", 1), listing("left", 2))
	d.Remove("left", later.Add(-time.Second))
	if _, ok := targetAfterReport(d, reportOf(startedListing("left", 2, 300), later.Add(-2*time.Second)), currentSync, later); ok {
		t.Error("the target is used")
	}
}

// A report with a start time must not replace the listing, without one, of a leaving target.
func TestReportWithStartTimeOfLeavingTarget(t *testing.T) {
	leaving := listing("leaving", 2)
	leaving.Leaving, leaving.Slots = true, 8
	d := directoryOf(listing("other", 1), leaving)
	target, ok := targetAfterReport(d, reportOf(startedListing("leaving", 2, 300), time.Time{}), currentSync, later)
	if !ok || !target.Leaving || target.Unlisted || target.Slots != 8 {
		t.Errorf("used %v, %+v", ok, target)
	}
}

// Active must hold for members of the fleet that are not leaving.
func TestActive(t *testing.T) {
	leaving := listing("leaving", 2)
	leaving.Leaving = true
	d := directoryOf(listing("listed", 1), leaving, listing("gone", 3), listing("before", 4))
	d.Remove("gone", start)
	for _, c := range []struct {
		name   string
		report Report
		want   bool
	}{
		{"listed", reportOf(listing("listed", 1), time.Time{}), true},
		{"leaving", reportOf(listing("leaving", 2), time.Time{}), false},
		{"removed", reportOf(listing("gone", 3), time.Time{}), false},
		{"replaces a listed target", reportOf(listing("after", 4), time.Time{}), true},
		{"new", reportOf(listing("new", 5), later.Add(-time.Second)), true},
		{"left before the list was read", reportOf(listing("left", 6), time.Time{}), false},
	} {
		if got := d.Active(declared, &c.report, currentSync, later); got != c.want {
			t.Errorf("%s: Active returned %v", c.name, got)
		}
	}
	unconfirmed := reportOf(listing("left", 6), time.Time{})
	if d.Active(declared, &unconfirmed, currentSync, start.Add(time.Second)) {
		t.Error("an unconfirmed target is active")
	}
}

// A target that was listed and removed between two reads must get no new requests: the replica
// sees only the removal.
func TestReportedTargetListedBetweenReads(t *testing.T) {
	d := directoryOf(listing("other", 1))
	d.Remove("shortlived", later.Add(-time.Second))
	if _, ok := targetAfterReport(d, reportOf(listing("shortlived", 2), later.Add(-3*time.Second)), currentSync, later); ok {
		t.Error("the target is used")
	}
}

// The removal of a name may apply to a reported incarnation that started before the removal, but
// not to one that started after it.
func TestReportedIncarnationStartedBeforeRemoval(t *testing.T) {
	removed := later.Add(-time.Second)
	for _, c := range []struct {
		started, now time.Time
		want         bool
		unconfirmed  bool
	}{
		{removed.Add(-time.Second), later, true, true},
		{removed.Add(-time.Second), removed.Add(relistTimeout), false, false},
		{removed.Add(time.Millisecond), later, true, false},
	} {
		d := directoryOf(listing("other", 1), startedListing("x", 2, 100))
		d.Remove("x", removed)
		target, ok := targetAfterReport(d, reportOf(startedListing("x", 2, 200), c.started), currentSync, c.now)
		if ok != c.want || target.Unconfirmed != c.unconfirmed {
			t.Errorf("started %s after the removal: used %v, unconfirmed %v", c.started.Sub(removed), ok, target.Unconfirmed)
		}
	}
}

// A report from before a restart must not put the ended incarnation in the place of the one that the
// list shows by now.
func TestReportFromBeforeRestartUnderAnotherName(t *testing.T) {
	for _, c := range []struct {
		name                string
		reported, listed    int64
		reportedAfterListed time.Duration
		replaced            bool
	}{
		{"report from before the restart", 100, 200, -time.Second, false},
		{"report from after the restart", 200, 100, time.Second, true},
		{"report from after the restart, the list was read later", 200, 100, -time.Second, true},
		{"restart on a host whose clock went back", 100, 200, time.Second, true},
		{"start time of the listing unknown", 100, 0, -time.Second, true},
		{"start time of the report unknown", 0, 200, -time.Second, true},
	} {
		d := directoryOf(startedListing("listed", 2, c.listed))
		report := reportOf(startedListing("reported", 2, c.reported), time.Time{})
		report.AsOf = start.Add(c.reportedAfterListed)
		if _, ok := targetAfterReport(d, report, currentSync, later); ok != c.replaced {
			t.Errorf("%s: the reported incarnation is used: %v", c.name, ok)
		}
	}
}

// The state of replaced and undeclared targets must not accumulate.
func TestReplacedTargetIsPruned(t *testing.T) {
	d := directoryOf(listing("before", 1), listing("after", 1))
	d.Remove("before", start)
	d.Remove("undeclared", start)
	d.Targets(declared, start.Add(removedRetention+time.Second), currentSync)
	if len(d.states) != 1 {
		t.Errorf("%d targets are remembered", len(d.states))
	}
}

// A removed target must be forgotten once it has not been reported for a while.
func TestRemovedTargetIsPruned(t *testing.T) {
	d := directoryOf(listing("left", 2))
	d.Remove("left", start)
	targetAfterReport(d, reportOf(listing("left", 2), time.Time{}), currentSync, start.Add(time.Second))
	d.Targets(declared, start.Add(removedRetention+2*time.Second), currentSync)
	if len(d.states) != 0 {
		t.Errorf("%d targets are remembered", len(d.states))
	}
}
