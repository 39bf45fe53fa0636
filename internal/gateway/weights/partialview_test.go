package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

func newEngineViews(n int) []EngineView {
	engines := make([]EngineView, n)
	for i := range engines {
		engines[i] = EngineView{Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("e%d", i)}, Version: 1, Age: time.Hour}
	}
	return engines
}

// Guards against a disordered rollout in a large fleet, where no sidecar has recent reports of
// other engines: they must load in waves, and all in time.
func TestLargeFleetLoadsInWavesWithoutReports(t *testing.T) {
	const n, maxStaleness = 180, 10 * time.Second
	engines := newEngineViews(n)
	started := map[string]time.Duration{}
	for elapsed := time.Duration(0); elapsed < maxStaleness; elapsed += 50 * time.Millisecond {
		for _, e := range engines {
			in := Input{Self: e.Incarnation, Engines: engines, Wanted: 2, StaleFor: elapsed, KnownFor: elapsed, MaxStaleness: maxStaleness, PartialView: true}
			if _, done := started[e.Instance]; !done && Decide(in) == LoadNow {
				started[e.Instance] = elapsed
			}
		}
	}
	if len(started) != n {
		t.Fatalf("%d of %d engines load", len(started), n)
	}
	waves := map[time.Duration]int{}
	for instance, start := range started {
		waves[start/typicalLoadTime]++
		if start > maxStaleness/2 {
			t.Errorf("%s starts to load after %v", instance, start)
		}
	}
	for wave, size := range waves {
		if size > MaxParallelLoads(n)+1 {
			t.Errorf("%d engines load at once in wave %d", size, wave)
		}
	}
}

// Guards against an engine that loads out of order after a newer version is published, only
// because it has been stale for long. It may do so only when it would be late.
func TestRolloutOrderFollowsTheNewestVersion(t *testing.T) {
	engines := newEngineViews(180)
	last := RolloutOrder(engines, 3)[179].Incarnation
	in := Input{Self: last, Engines: engines, Wanted: 3, StaleFor: 4 * time.Second, KnownFor: 100 * time.Millisecond, MaxStaleness: 10 * time.Second, PartialView: true}
	if got := Decide(in); got != Wait {
		t.Errorf("action %d, want Wait", got)
	}
	in.StaleFor = 6 * time.Second
	if got := Decide(in); got != LoadNow {
		t.Errorf("action %d of an engine that would be late, want LoadNow", got)
	}
}
