package weights

import (
	"fmt"
	"testing"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

func manyEngines(n int) []EngineView {
	engines := make([]EngineView, n)
	for i := range engines {
		engines[i] = EngineView{Incarnation: fleet.Incarnation{Instance: fmt.Sprintf("e%d", i)}, Version: 1, Age: time.Hour}
	}
	return engines
}

// New weights are named for 180 engines, of which 36 may load at once. No sidecar has
// heard of another one lately. They must go in waves all the same, and all in time: taken
// for gone, the others would be passed over and all load at once.
func TestLargeFleetLoadsInWavesWithoutHearing(t *testing.T) {
	const n, bound = 180, 10 * time.Second
	engines := manyEngines(n)
	began := map[string]time.Duration{}
	for at := time.Duration(0); at < bound; at += 50 * time.Millisecond {
		for _, e := range engines {
			q := Input{Self: e.Incarnation, Engines: engines, Wanted: 2, StaleFor: at, KnownFor: at, MaxStaleness: bound, PartialView: true}
			if _, done := began[e.Instance]; !done && Decide(q) == LoadNow {
				began[e.Instance] = at
			}
		}
	}
	if len(began) != n {
		t.Fatalf("%d of %d engines load", len(began), n)
	}
	waves := map[time.Duration]int{}
	for name, at := range began {
		waves[at/usualLoadTime]++
		if at > bound/2 {
			t.Errorf("%s begins after %v", name, at)
		}
	}
	for wave, size := range waves {
		if size > MaxParallelLoads(n)+1 {
			t.Errorf("%d engines load at once in wave %d", size, wave)
		}
	}
}

// Weights are named again while half of the engines still wait for their turn. The turns
// begin anew with the newest: an engine that was the last for the old ones must not load
// at once only because it has been behind for long, unless it would be late.
func TestTurnsFollowTheNewestWeights(t *testing.T) {
	engines := manyEngines(180)
	last := RolloutOrder(engines, 3)[179].Incarnation
	q := Input{Self: last, Engines: engines, Wanted: 3, StaleFor: 4 * time.Second, KnownFor: 100 * time.Millisecond, MaxStaleness: 10 * time.Second, PartialView: true}
	if got := Decide(q); got != Wait {
		t.Errorf("turn %d, want later", got)
	}
	q.StaleFor = 6 * time.Second
	if got := Decide(q); got != LoadNow {
		t.Errorf("turn %d of an engine that would be late, want now", got)
	}
}
