package fleet

import (
	"testing"
	"time"
)

// reportOf is a host's report of the life of a listing, which it saw begin after a time.
func reportOf(l Listing, beganAfter time.Time) Report {
	return Report{Incarnation: l.Incarnation, Service: l.Service, Address: l.Address, Zone: l.Zone, StartedAfter: beganAfter, ReceivedAt: start}
}

// used returns how a directory that has listed "other" uses a reported life.
func used(d *Directory, l Report, f SyncState, now time.Time) (t Target, ok bool) {
	byService := d.Targets(declared, now, f)
	d.ApplyReports(byService, []Report{l}, f, now)
	for _, t := range byService["s"] {
		if t.Incarnation == l.Incarnation {
			return t, true
		}
	}
	return Target{}, false
}

func directoryOf(listings ...Listing) *Directory {
	d := NewDirectory()
	for i, l := range listings {
		d.Add(l, uint64(i), start)
	}
	return d
}

// Guards against new work at a target that left before this process read the list. A
// snapshot does not show that it was ever there, and its host reports it while it ends
// its requests.
func TestReportedTargetThatLeftBeforeTheSnapshot(t *testing.T) {
	d := directoryOf(listing("other", 1))
	left := reportOf(listing("left", 2), time.Time{})
	if target, ok := used(d, left, followed, start.Add(returnTime-time.Millisecond)); !ok || !target.Unconfirmed {
		t.Errorf("within the time in which a lapsed entry returns: used %v, %+v", ok, target)
	}
	for _, after := range []time.Duration{returnTime, time.Minute, time.Hour} {
		if _, ok := used(d, left, followed, start.Add(after)); ok {
			t.Errorf("used %s after the start", after)
		}
	}
}

// Guards against the same where the host saw the life begin, long before the list was read.
func TestReportedTargetThatBeganBeforeTheSnapshot(t *testing.T) {
	d := directoryOf(listing("other", 1))
	if _, ok := used(d, reportOf(listing("left", 2), start.Add(-time.Second)), followed, later); ok {
		t.Error("used")
	}
}

// A target that began since the list is followed is used before the list shows it.
func TestNewTargetIsUsedBeforeItIsListed(t *testing.T) {
	d := directoryOf(listing("other", 1))
	target, ok := used(d, reportOf(listing("new", 2), later.Add(-time.Second)), followed, later)
	if !ok || target.Unconfirmed || !target.Unlisted {
		t.Errorf("used %v, %+v", ok, target)
	}
}

// A process that starts while the store is away has the reports alone.
func TestReportedTargetsAreUsedWithoutAList(t *testing.T) {
	target, ok := used(NewDirectory(), reportOf(listing("x", 1), time.Time{}), SyncState{StartedAt: start}, later)
	if !ok || target.Unconfirmed {
		t.Errorf("used %v, %+v", ok, target)
	}
}

// The store is away, or was just now: a target that the list lacks may have lapsed. It is
// used last.
func TestReportedTargetIsInDoubtThroughAnOutage(t *testing.T) {
	d := directoryOf(listing("other", 1))
	report := reportOf(listing("x", 2), time.Time{})
	away, back := followed, followed
	away.Current, back.OutageEnded = false, later.Add(-time.Second)
	for name, f := range map[string]SyncState{"away": away, "back": back} {
		if target, ok := used(d, report, f, later); !ok || !target.Unconfirmed {
			t.Errorf("%s: used %v, %+v", name, ok, target)
		}
	}
	if _, ok := used(d, report, back, later.Add(returnTime)); ok {
		t.Error("used for longer than a lapsed entry takes to return")
	}
}

// Guards against new work at a target whose leaving was forgotten while its host still
// reported it.
func TestReportedTargetStaysGone(t *testing.T) {
	d := directoryOf(listing("other", 1), listing("left", 2))
	d.Remove("left", start)
	report := reportOf(listing("left", 2), start.Add(time.Second))
	for now := start; now.Before(start.Add(3 * goneMemory)); now = now.Add(time.Second) {
		if _, ok := used(d, report, followed, now); ok {
			t.Fatalf("used %s after it left", now.Sub(start))
		}
	}
}

// Guards against new work at a target that left, where its report says when it was born and
// its entry did not: the report was taken for that of a later life.
func TestReportedTargetWhoseEntryDidNotSayItsBirthStaysGone(t *testing.T) {
	d := directoryOf(listing("other", 1), listing("left", 2))
	d.Remove("left", later.Add(-time.Second))
	if _, ok := used(d, reportOf(born("left", 2, 300), later.Add(-2*time.Second)), followed, later); ok {
		t.Error("used")
	}
}

// Guards against new work at a target that announced its leaving, where its report says when
// it was born and its entry does not: the report replaced the entry.
func TestReportOfALeavingTargetWhoseEntryDoesNotSayItsBirth(t *testing.T) {
	leaving := listing("leaving", 2)
	leaving.Leaving, leaving.Slots = true, 8
	d := directoryOf(listing("other", 1), leaving)
	target, ok := used(d, reportOf(born("leaving", 2, 300), time.Time{}), followed, later)
	if !ok || !target.Leaving || target.Unlisted || target.Slots != 8 {
		t.Errorf("used %v, %+v", ok, target)
	}
}

// Which reported lives stay, for what is decided beside the target.
func TestStays(t *testing.T) {
	leaving := listing("leaving", 2)
	leaving.Leaving = true
	d := directoryOf(listing("listed", 1), leaving, listing("gone", 3), listing("before", 4))
	d.Remove("gone", start)
	for _, c := range []struct {
		story string
		life  Report
		want  bool
	}{
		{"listed", reportOf(listing("listed", 1), time.Time{}), true},
		{"announced", reportOf(listing("leaving", 2), time.Time{}), false},
		{"dropped", reportOf(listing("gone", 3), time.Time{}), false},
		{"in the place of another", reportOf(listing("after", 4), time.Time{}), true},
		{"new", reportOf(listing("new", 5), later.Add(-time.Second)), true},
		{"left before the list was read", reportOf(listing("left", 6), time.Time{}), false},
	} {
		if got := d.Active(declared, &c.life, followed, later); got != c.want {
			t.Errorf("%s: stays %v", c.story, got)
		}
	}
	inDoubt := reportOf(listing("left", 6), time.Time{})
	if d.Active(declared, &inDoubt, followed, start.Add(time.Second)) {
		t.Error("stays while it is in doubt")
	}
}

// Guards against new work at a target that was listed and dropped between two reads: the
// copy shows the drop alone, of a target that was never seen.
func TestReportedTargetThatWasListedBetweenTwoReads(t *testing.T) {
	d := directoryOf(listing("other", 1))
	d.Remove("brief", later.Add(-time.Second))
	if _, ok := used(d, reportOf(listing("brief", 2), later.Add(-3*time.Second)), followed, later); ok {
		t.Error("used")
	}
}

// The same for a life that began under the name of the one before it: the drop may be of
// either. One that began after the drop is new.
func TestReportedLifeThatBeganBeforeItsNameWasDropped(t *testing.T) {
	dropped := later.Add(-time.Second)
	for _, c := range []struct {
		began, now time.Time
		want       bool
		doubtful   bool
	}{
		{dropped.Add(-time.Second), later, true, true},
		{dropped.Add(-time.Second), dropped.Add(returnTime), false, false},
		{dropped.Add(time.Millisecond), later, true, false},
	} {
		d := directoryOf(listing("other", 1), born("x", 2, 100))
		d.Remove("x", dropped)
		target, ok := used(d, reportOf(born("x", 2, 200), c.began), followed, c.now)
		if ok != c.want || target.Unconfirmed != c.doubtful {
			t.Errorf("began %s from the drop: used %v, doubtful %v", c.began.Sub(dropped), ok, target.Unconfirmed)
		}
	}
}

// Guards against memory that grows with each target that was replaced at its address.
func TestGoneTargetWhoseAddressIsUsedAgainIsForgotten(t *testing.T) {
	d := directoryOf(listing("before", 1), listing("after", 1))
	d.Remove("before", start)
	d.Remove("undeclared", start)
	d.Targets(declared, start.Add(goneMemory+time.Second), followed)
	if len(d.entries) != 1 {
		t.Errorf("remembered are %d", len(d.entries))
	}
}

// What was remembered of a target ends once nobody has reported it for a while.
func TestGoneTargetIsForgotten(t *testing.T) {
	d := directoryOf(listing("left", 2))
	d.Remove("left", start)
	used(d, reportOf(listing("left", 2), time.Time{}), followed, start.Add(time.Second))
	d.Targets(declared, start.Add(goneMemory+2*time.Second), followed)
	if len(d.entries) != 0 {
		t.Errorf("remembered are %d", len(d.entries))
	}
}
