package ledger

import (
	"net/netip"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

var (
	now   = time.Unix(1000, 0)
	other = netip.MustParseAddrPort("10.0.0.2:7000")
)

// Work is counted from the send to the end. Of a prompt counts what is probably
// not read yet, and nothing from the first event on.
func TestWorkIsCountedWhileItLasts(t *testing.T) {
	l := New()
	item := l.Begin(1, Work{Running: 1, Prefill: AtPriority(0, 100*time.Millisecond), Memory: AtPriority(3, 120)}, 50*time.Millisecond, now)
	for after, want := range map[time.Duration]time.Duration{0: 100, 50: 100, 90: 60, 400: 15} {
		if got := l.Totals(now.Add(after * time.Millisecond))[1]; got.Prefill.Total() != want*time.Millisecond || got.Running != 1 || got.Memory.Total() != 120 {
			t.Errorf("after %d ms: %+v", after, got)
		}
	}
	item.PrefillDone()
	if got := l.Totals(now)[1]; got.Prefill.Total() != 0 || got.Memory.Total() != 120 {
		t.Errorf("%+v", got)
	}
	item.End()
	item.End()
	if got := l.Totals(now); len(got) != 0 {
		t.Errorf("left over: %v", got)
	}
}

// A prompt that is not urgent waits behind the others until its turn comes. From then
// on it holds them up like any other.
func TestPromptHoldsUpMoreUrgentOnesOnceItIsRead(t *testing.T) {
	l := New()
	item := l.Begin(1, Work{Running: 1, Prefill: AtPriority(9, 300*time.Millisecond)}, 100*time.Millisecond, now)
	defer item.End()
	if got := l.Totals(now)[1]; got.Prefill.UpTo(8) != 0 || got.Prefill.UpTo(9) != 300*time.Millisecond {
		t.Errorf("before: %+v", got)
	}
	if got := l.Totals(now.Add(150 * time.Millisecond))[1]; got.Prefill.UpTo(0) != 250*time.Millisecond || got.Prefill.Total() != 250*time.Millisecond {
		t.Errorf("while it is read: %+v", got)
	}
}

// Another entry tells its work and then dies. Its word counts for a moment: the
// targets have dropped its requests.
func TestWordOfADeadEntryEnds(t *testing.T) {
	l := New()
	item := l.Begin(1, Work{Running: 1}, 0, now)
	defer item.End()
	l.ApplyReport(other, map[fleet.ID]Work{1: {Running: 3}, 2: {Running: 1}}, false, now)
	if got := l.Totals(now); got[1].Running != 4 || got[2].Running != 1 {
		t.Errorf("%v", got)
	}
	l.ApplyReport(other, map[fleet.ID]Work{1: {Running: 2}}, false, now)
	if got := l.Totals(now); got[1].Running != 3 || got[2].Running != 0 {
		t.Errorf("the newer word does not replace the older: %v", got)
	}
	l.ApplyReport(other, map[fleet.ID]Work{2: {Running: 5}}, true, now)
	if got := l.Totals(now); got[1].Running != 3 || got[2].Running != 5 {
		t.Errorf("a partial word replaces all: %v", got)
	}
	if got := l.Totals(now.Add(toldFor + 1)); got[1].Running != 1 {
		t.Errorf("%v", got)
	}
}

// A prompt waits for those that are as urgent or more so.
func TestLanesSumUpToAnUrgency(t *testing.T) {
	w := Work{Prefill: AtPriority(1, 10*time.Millisecond), Memory: AtPriority(1, 100)}
	w.add(Work{Prefill: AtPriority(3, 5*time.Millisecond), Memory: AtPriority(3, 50)})
	if w.Prefill.UpTo(0) != 0 || w.Prefill.UpTo(2) != 10*time.Millisecond || w.Prefill.Total() != 15*time.Millisecond || w.Memory.UpTo(3) != 150 {
		t.Errorf("%+v", w)
	}
}
