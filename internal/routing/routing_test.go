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

func fleet(n int) []Target {
	targets := make([]Target, 0, n)
	for i := range n {
		targets = append(targets, NewTarget("s", fmt.Sprintf("t%d", i), fmt.Sprintf("127.0.0.1:%d", 20000+i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r%d", i%2)))
	}
	return targets
}

var place = Location{Zone: "z0", Region: "r0"}

// No target that is leaving is ever ranked; suspects only when no other is
// left; the entry's own region goes before others.
func TestRankFilters(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		targets := fleet(rapid.IntRange(0, 30).Draw(rt, "n"))
		near, live := 0, 0
		for i := range targets {
			targets[i].State = State(rapid.IntRange(0, 2).Draw(rt, "state"))
			if targets[i].State == Live {
				live++
				if targets[i].Region == place.Region {
					near++
				}
			}
		}
		ranking := Rank(targets, place, []uint64{1, 2, 3})
		seen := map[int]bool{}
		for i := range ranking.Len() {
			target := targets[ranking.At(i)]
			if seen[ranking.At(i)] {
				rt.Fatalf("target %s stands twice", target.Name)
			}
			seen[ranking.At(i)] = true
			if target.State == Leaving || live > 0 && target.State == Suspect || near > 0 && target.Region != place.Region {
				rt.Fatalf("%s of region %s in state %d was ranked (%d live, %d near)", target.Name, target.Region, target.State, live, near)
			}
		}
		if near > 0 && ranking.Len() < min(near, MaxRanked) {
			rt.Fatalf("%d of %d targets were ranked", ranking.Len(), near)
		}
	})
}

// When a target goes, only the families that it was first for move.
func TestRankMovesLittle(t *testing.T) {
	targets := fleet(40)
	moved, firsts := 0, 0
	const families = 2000
	for key := range uint64(families) {
		levels := []uint64{1, key * 7919, key}
		first := Rank(targets, place, levels)
		without := fleet(40)
		without[6].State = Leaving
		after := Rank(without, place, levels)
		if first.At(0) == 6 {
			firsts++
			continue
		}
		if first.At(0) != after.At(0) {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d families moved that the target was not first for", moved)
	}
	if share := float64(firsts) / families; share < 0.03 || share > 0.07 {
		t.Errorf("one of 20 near targets is first for %.3f of the families", share)
	}
}

func TestPickWeighsWaitAgainstRecomputing(t *testing.T) {
	p := DefaultPolicy
	cached := Estimate{Index: 0, Wait: 60 * time.Millisecond}
	idle := Estimate{Index: 1, Prefill: 80 * time.Millisecond}
	busy := idle
	busy.Busy = 0.9
	for _, c := range []struct {
		name   string
		class  config.Class
		quotes []Estimate
		want   int
	}{
		{"an alert recomputes rather than wait", config.ClassAlert, []Estimate{cached, idle}, 1},
		{"a question waits for the cache", config.ClassInteractive, []Estimate{cached, idle}, 0},
		{"nobody recomputes at a busy target", config.ClassAlert, []Estimate{cached, busy}, 0},
		{"a refused quote is no choice", config.ClassAlert, []Estimate{{Refused: true}, cached}, 1},
		{"all refused", config.ClassAlert, []Estimate{{Refused: true}}, -1},
		{"the first of equal ones", config.ClassBatch, []Estimate{cached, cached}, 0},
	} {
		if got := p.Pick(c.class, c.quotes); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

func BenchmarkRank(b *testing.B) {
	for _, n := range []int{9, 18, 72, 288, 600} {
		targets := fleet(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Rank(targets, place, []uint64{1, uint64(i), uint64(i) * 3})
			}
		})
	}
}
