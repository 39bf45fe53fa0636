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

// Sidecars that see the same decide alike without talking: of any set of
// engines, no more than may load at once are told to, and while one lacks the
// version and could load, one is.
func TestNoMoreThanAllowedLoadAtOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := make([]EngineView, rapid.IntRange(1, 60).Draw(rt, "engines"))
		lacking := 0
		for i := range engines {
			engines[i] = EngineView{
				Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("e%d", i)}, Version: rapid.Int64Range(1, 3).Draw(rt, "version"),
				Phase: rapid.SampledFrom([]Phase{Serving, Loading}).Draw(rt, "phase"),
			}
			if engines[i].Version < 3 || engines[i].Phase == Loading {
				lacking++
			}
		}
		told := 0
		for _, e := range engines {
			if e.Version >= 3 && e.Phase == Serving {
				continue
			}
			if Decide(Input{Self: e.Incarnation, Engines: engines, Wanted: 3, MaxStaleness: 8 * time.Second}) == LoadNow {
				told++
			}
		}
		if told > MaxParallelLoads(len(engines)) {
			rt.Fatalf("%d of %d engines load at once", told, len(engines))
		}
		if lacking > 0 && told == 0 {
			rt.Fatalf("%d engines lack the version, and none loads", lacking)
		}
	})
}

// The sidecars of the engines whose turn it is are gone. The others do not wait
// for them.
func TestSilentSidecarsAreNotWaitedFor(t *testing.T) {
	var engines []EngineView
	for i := range 9 {
		engines = append(engines, EngineView{Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("e%d", i)}, Version: 1})
	}
	turns := RolloutOrder(engines, 2)
	q := Input{Self: turns[2].Incarnation, Engines: engines, Wanted: 2, MaxStaleness: 8 * time.Second}
	if Decide(q) != Wait {
		t.Fatal("the third engine does not wait, although two go first")
	}
	for i := range engines {
		if engines[i].Instance == turns[0].Instance {
			engines[i].Phase, engines[i].PhaseAge = Loading, 300*time.Millisecond
		}
	}
	q.LoadTime = 450 * time.Millisecond
	if Decide(q) != Drain {
		t.Fatal("the third engine does not empty itself, although a load is about to end")
	}
	for i := range engines {
		if engines[i].Instance == turns[0].Instance {
			engines[i].Age = 2 * silentAfter
		}
	}
	if Decide(q) != LoadNow {
		t.Error("the third engine waits for a silent sidecar")
	}
}

// Time runs out while others still load. An engine that is late loads at once:
// requests may not begin on the older weights any more.
func TestLateEngineLoadsWhateverTheOthersDo(t *testing.T) {
	var engines []EngineView
	for i := range 9 {
		engines = append(engines, EngineView{Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("e%d", i)}, Version: 1})
	}
	last := RolloutOrder(engines, 2)[8].Incarnation
	q := Input{Self: last, Engines: engines, Wanted: 2, MaxStaleness: 8 * time.Second, StaleFor: 5 * time.Second}
	if Decide(q) != LoadNow {
		t.Error("the last engine still waits")
	}
}

// A new version is named every few seconds. An engine that skipped some is
// behind since the first that it lacks, not since the newest.
func TestBehindCountsFromTheFirstNewerVersion(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	var h History
	for i, v := range []int64{2, 3, 4} {
		h = h.Add(WantedVersion{Version: v, Since: at(10 * (i + 1))})
	}
	for have, want := range map[int64]time.Duration{1: 25 * time.Second, 2: 15 * time.Second, 3: 5 * time.Second, 4: 0} {
		if got := h.StaleFor(have, at(35)); got != want {
			t.Errorf("with version %d: behind for %v, want %v", have, got, want)
		}
	}
	if h.Newest() != 4 {
		t.Errorf("newest %d", h.Newest())
	}
}
