package ledger

import (
	"net/netip"
	"testing"
	"time"
)

var (
	now   = time.Unix(1000, 0)
	other = netip.MustParseAddrPort("10.0.0.2:7000")
)

// Work is counted from the send to the end; its prompt counts as unread up to
// the first event.
func TestWorkIsCountedWhileItLasts(t *testing.T) {
	l := New()
	item := l.Begin(1, Work{Running: 1, Unread: 100, Memory: 120})
	if got := l.Totals(now)[1]; got != (Work{Running: 1, Unread: 100, Memory: 120}) {
		t.Errorf("%+v", got)
	}
	item.Read()
	if got := l.Totals(now)[1]; got.Unread != 0 || got.Memory != 120 {
		t.Errorf("%+v", got)
	}
	item.Read()
	item.End()
	item.End()
	if got := l.Totals(now); len(got) != 0 {
		t.Errorf("left over: %v", got)
	}
}

// Another entry tells its work and then dies. Its word counts for a moment: the
// targets have dropped its requests.
func TestWordOfADeadEntryEnds(t *testing.T) {
	l := New()
	item := l.Begin(1, Work{Running: 1})
	defer item.End()
	l.Told(other, map[uint64]Work{1: {Running: 3}, 2: {Running: 1}}, false, now)
	if got := l.Totals(now); got[1].Running != 4 || got[2].Running != 1 {
		t.Errorf("%v", got)
	}
	l.Told(other, map[uint64]Work{1: {Running: 2}}, false, now)
	if got := l.Totals(now); got[1].Running != 3 || got[2].Running != 0 {
		t.Errorf("the newer word does not replace the older: %v", got)
	}
	l.Told(other, map[uint64]Work{2: {Running: 5}}, true, now)
	if got := l.Totals(now); got[1].Running != 3 || got[2].Running != 5 {
		t.Errorf("a partial word replaces all: %v", got)
	}
	if got := l.Totals(now.Add(toldFor + 1)); got[1].Running != 1 {
		t.Errorf("%v", got)
	}
}
