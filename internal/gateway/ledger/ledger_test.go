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

// Work counts from Begin to End. Its prefill decreases with time and is zero after
// PrefillDone.
func TestWorkCountsWhileInFlight(t *testing.T) {
	l := New()
	request := l.Begin(1, Work{Running: 1, Prefill: AtPriority(0, 100*time.Millisecond), Memory: AtPriority(3, 120)}, 50*time.Millisecond, now)
	for after, want := range map[time.Duration]time.Duration{0: 100, 50: 100, 90: 60, 400: 15} {
		if got := l.Totals(now.Add(after * time.Millisecond))[1]; got.Prefill.Total() != want*time.Millisecond || got.Running != 1 || got.Memory.Total() != 120 {
			t.Errorf("after %d ms: %+v", after, got)
		}
	}
	request.PrefillDone()
	if got := l.Totals(now)[1]; got.Prefill.Total() != 0 || got.Memory.Total() != 120 {
		t.Errorf("%+v", got)
	}
	request.End()
	request.End()
	if got := l.Totals(now); len(got) != 0 {
		t.Errorf("work left after the end: %v", got)
	}
}

// Once the prefill of a low-priority prompt has started, it blocks prompts of all
// priorities.
func TestRunningPrefillBlocksHigherPriorities(t *testing.T) {
	l := New()
	request := l.Begin(1, Work{Running: 1, Prefill: AtPriority(9, 300*time.Millisecond)}, 100*time.Millisecond, now)
	defer request.End()
	if got := l.Totals(now)[1]; got.Prefill.UpTo(8) != 0 || got.Prefill.UpTo(9) != 300*time.Millisecond {
		t.Errorf("before the prefill: %+v", got)
	}
	if got := l.Totals(now.Add(150 * time.Millisecond))[1]; got.Prefill.UpTo(0) != 250*time.Millisecond || got.Prefill.Total() != 250*time.Millisecond {
		t.Errorf("during the prefill: %+v", got)
	}
}

// Reports of another entry replace or update earlier ones, and expire after a crash.
func TestReportsOfACrashedEntryExpire(t *testing.T) {
	l := New()
	request := l.Begin(1, Work{Running: 1}, 0, now)
	defer request.End()
	l.ApplyReport(other, map[fleet.ID]Work{1: {Running: 3}, 2: {Running: 1}}, false, now)
	if got := l.Totals(now); got[1].Running != 4 || got[2].Running != 1 {
		t.Errorf("%v", got)
	}
	l.ApplyReport(other, map[fleet.ID]Work{1: {Running: 2}}, false, now)
	if got := l.Totals(now); got[1].Running != 3 || got[2].Running != 0 {
		t.Errorf("a full report does not replace the last one: %v", got)
	}
	l.ApplyReport(other, map[fleet.ID]Work{2: {Running: 5}}, true, now)
	if got := l.Totals(now); got[1].Running != 3 || got[2].Running != 5 {
		t.Errorf("a partial report replaces all targets: %v", got)
	}
	if got := l.Totals(now.Add(reportTTL + 1)); got[1].Running != 1 {
		t.Errorf("%v", got)
	}
}

// UpTo sums a priority and all higher ones.
func TestUpToSumsHigherPriorities(t *testing.T) {
	w := Work{Prefill: AtPriority(1, 10*time.Millisecond), Memory: AtPriority(1, 100)}
	w.add(Work{Prefill: AtPriority(3, 5*time.Millisecond), Memory: AtPriority(3, 50)})
	if w.Prefill.UpTo(0) != 0 || w.Prefill.UpTo(2) != 10*time.Millisecond || w.Prefill.Total() != 15*time.Millisecond || w.Memory.UpTo(3) != 150 {
		t.Errorf("%+v", w)
	}
}
