package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func newTargets(n int) []Target {
	targets := make([]Target, 0, n)
	for i := range n {
		targets = append(targets, NewTarget("s", fmt.Sprintf("t%d", i), fmt.Sprintf("127.0.0.1:%d", 20000+i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i%2)))
	}
	return targets
}

var location = Location{Zone: "z0", Region: "r0"}

// Leaving targets must never be ranked, suspects only if no live target is left, and targets of
// other regions only if the entry's region has none.
func TestRankFilters(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := newTargets(rapid.IntRange(0, 30).Draw(rt, "n"))
		inRegion, live := 0, 0
		for i := range targets {
			targets[i].State = State(rapid.IntRange(0, 2).Draw(rt, "state"))
			if targets[i].State == Live {
				live++
				if targets[i].Region == location.Region {
					inRegion++
				}
			}
		}
		ranking := Rank(targets, location, []uint64{1, 2, 3})
		seen := map[int]bool{}
		for i := range ranking.Len() {
			target := targets[ranking.At(i)]
			if seen[ranking.At(i)] {
				rt.Fatalf("target %s is ranked twice", target.Name)
			}
			seen[ranking.At(i)] = true
			if target.State == Leaving || live > 0 && target.State == Suspect || inRegion > 0 && target.Region != location.Region {
				rt.Fatalf("%s of region %s in state %d was ranked (%d live, %d in the region)", target.Name, target.Region, target.State, live, inRegion)
			}
		}
		if inRegion > 0 && ranking.Len() < min(inRegion, MaxRanked) {
			rt.Fatalf("%d of %d targets were ranked", ranking.Len(), inRegion)
		}
	})
}

// When a target leaves, only the families that it was first for may move.
func TestRankIsStableWhenTargetLeaves(t *testing.T) {
	targets := newTargets(40)
	moved, firsts := 0, 0
	const families = 2000
	for key := range uint64(families) {
		levels := []uint64{1, key * 7919, key}
		first := Rank(targets, location, levels)
		without := newTargets(40)
		without[6].State = Leaving
		after := Rank(without, location, levels)
		if first.At(0) == 6 {
			firsts++
			continue
		}
		if first.At(0) != after.At(0) {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d families moved that did not have the leaving target first", moved)
	}
	if share := float64(firsts) / families; share < 0.03 || share > 0.07 {
		t.Errorf("one of 20 targets of the region is first for %.3f of the families", share)
	}
}

func TestPickWeighsWaitAgainstPrefill(t *testing.T) {
	p := DefaultPolicy
	cached := Estimate{Index: 0, Wait: 60 * time.Millisecond}
	idle := Estimate{Index: 1, Prefill: 80 * time.Millisecond}
	busy := idle
	busy.Busy = 0.9
	for _, c := range []struct {
		name      string
		class     config.Class
		estimates []Estimate
		want      int
	}{
		{"alert prefills at an idle target instead of waiting", config.ClassAlert, []Estimate{cached, idle}, 1},
		{"interactive request waits for the cached prefix", config.ClassInteractive, []Estimate{cached, idle}, 0},
		{"alert does not prefill at a busy target", config.ClassAlert, []Estimate{cached, busy}, 0},
		{"refused", config.ClassAlert, []Estimate{{Refused: true}, cached}, 1},
		{"all refused", config.ClassAlert, []Estimate{{Refused: true}}, -1},
		{"first of equal costs", config.ClassBatch, []Estimate{cached, cached}, 0},
	} {
		if got := p.Pick(c.class, c.estimates); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{9, 18, 72, 288, 600} {
		targets := newTargets(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Rank(targets, location, []uint64{1, uint64(i), uint64(i) * 3})
			}
		})
	}
}
