package weights

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Sidecars that decide independently from the same views must not load more engines at once
// than allowed, and must load at least one while any lacks the version.
func TestNoMoreThanAllowedLoadAtOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := make([]EngineView, rapid.IntRange(1, 60).Draw(rt, "engines"))
		unfinished := 0
		for i := range engines {
			engines[i] = EngineView{
				Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("e%d", i)}, Version: rapid.Int64Range(1, 3).Draw(rt, "version"),
				Phase: rapid.SampledFrom([]Phase{Serving, Loading}).Draw(rt, "phase"),
			}
			if engines[i].Version < 3 || engines[i].Phase == Loading {
				unfinished++
			}
		}
		loading := 0
		for _, e := range engines {
			if e.Version >= 3 && e.Phase == Serving {
				continue
			}
			if Decide(Input{Self: e.Incarnation, Engines: engines, Wanted: 3, MaxStaleness: 8 * time.Second}) == LoadNow {
				loading++
			}
		}
		if loading > MaxParallelLoads(len(engines)) {
			rt.Fatalf("%d of %d engines load at once", loading, len(engines))
		}
		if unfinished > 0 && loading == 0 {
			rt.Fatalf("%d engines lack the version or are loading, but none may load", unfinished)
		}
	})
}

// Guards against a rollout that waits for engines whose sidecars are gone.
func TestUnresponsiveSidecarsAreNotWaitedFor(t *testing.T) {
	var engines []EngineView
	for i := range 9 {
		engines = append(engines, EngineView{Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("e%d", i)}, Version: 1})
	}
	ordered := RolloutOrder(engines, 2)
	in := Input{Self: ordered[2].Incarnation, Engines: engines, Wanted: 2, MaxStaleness: 8 * time.Second}
	if Decide(in) != Wait {
		t.Fatal("the third engine does not wait for the first two")
	}
	for i := range engines {
		if engines[i].Instance == ordered[0].Instance {
			engines[i].Phase, engines[i].PhaseAge = Loading, 300*time.Millisecond
		}
	}
	in.LoadTime = 450 * time.Millisecond
	if Decide(in) != Drain {
		t.Fatal("the third engine does not drain although a load is about to end")
	}
	for i := range engines {
		if engines[i].Instance == ordered[0].Instance {
			engines[i].Age = 2 * unresponsiveAfter
		}
	}
	if Decide(in) != LoadNow {
		t.Error("the third engine waits for an unresponsive sidecar")
	}
}

// Guards against an engine that exceeds MaxStaleness because it waits for others.
func TestLateEngineLoadsRegardlessOfOthers(t *testing.T) {
	var engines []EngineView
	for i := range 9 {
		engines = append(engines, EngineView{Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("e%d", i)}, Version: 1})
	}
	last := RolloutOrder(engines, 2)[8].Incarnation
	in := Input{Self: last, Engines: engines, Wanted: 2, MaxStaleness: 8 * time.Second, StaleFor: 5 * time.Second}
	if Decide(in) != LoadNow {
		t.Error("the last engine still waits")
	}
}

// An engine that skipped versions is stale since the first version it lacks, not since the
// newest.
func TestStaleForCountsFromTheFirstNewerVersion(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	var h History
	for i, v := range []int64{2, 3, 4} {
		h = h.Add(WantedVersion{Version: v, Since: at(10 * (i + 1))})
	}
	for version, want := range map[int64]time.Duration{1: 25 * time.Second, 2: 15 * time.Second, 3: 5 * time.Second, 4: 0} {
		if got := h.StaleFor(version, at(35)); got != want {
			t.Errorf("version %d: stale for %v, want %v", version, got, want)
		}
	}
	if h.Newest() != 4 {
		t.Errorf("newest version %d, want 4", h.Newest())
	}
}

// Guards against a process that takes weights for less outdated than another one knows them to be, in
// whichever order it is told, and against versions that only another process has read.
func TestHistoryIsBackdated(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(version int64, d time.Duration) WantedVersion {
		return WantedVersion{Version: version, Since: now.Add(-d)}
	}
	h := History{}.Add(ago(5, time.Second))
	for _, told := range [][]WantedVersion{
		{ago(3, 20*time.Second), ago(5, 9*time.Second), ago(4, 15*time.Second)},
		{ago(5, 9*time.Second), ago(5, 2*time.Second), ago(4, 15*time.Second), ago(3, 20*time.Second), ago(6, time.Hour)},
	} {
		next := h
		for _, w := range told {
			next = next.Backdate(w)
		}
		for version, want := range map[int64]time.Duration{2: 20 * time.Second, 3: 15 * time.Second, 4: 9 * time.Second, 5: 0} {
			if got := next.StaleFor(version, now); got != want {
				t.Errorf("told %v: version %d is outdated for %v, want %v", told, version, got, want)
			}
		}
		if next.Newest() != 5 {
			t.Errorf("the newest version is %d, want 5", next.Newest())
		}
	}
	if h.StaleFor(4, now) != time.Second {
		t.Error("the history itself has changed")
	}
	if got := History(nil).Backdate(ago(1, time.Second)); len(got) != 0 {
		t.Errorf("a history without records has %v", got)
	}
}
