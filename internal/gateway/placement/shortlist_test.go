package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// newFleet returns n engines of which every fifth is in the entry's zone.
func newFleet(n int, seed uint64) []RankedEngine {
	random := rand.New(rand.NewPCG(seed, seed))
	engines := make([]RankedEngine, n)
	for i := range engines {
		engines[i] = RankedEngine{Hash: random.Uint64(), SameZone: i%5 == 0}
	}
	return engines
}

// Entries of all zones must shortlist the same first engines for a family, or they miss
// each other's cached parts. Excluded engines are never listed.
func TestAllEntriesShortlistTheSameFirstEngines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := newFleet(rapid.IntRange(1, 200).Draw(rt, "engines"), rapid.Uint64().Draw(rt, "seed"))
		for i := range engines {
			engines[i].Excluded = rapid.IntRange(0, 9).Draw(rt, "excluded") == 0
		}
		family, firstPart := rapid.Uint64().Draw(rt, "family"), rapid.Uint64().Draw(rt, "first part")
		here := Shortlist(firstPart, family, engines, 3, 2)
		there := slices.Clone(engines)
		for i := range there {
			there[i].SameZone = !there[i].SameZone
		}
		remote := Shortlist(firstPart, family, there, 3, 2)
		n := min(3, len(here), len(remote))
		if !slices.Equal(here[:n], remote[:n]) {
			rt.Fatalf("listed %v in one zone and %v in the other", here, remote)
		}
		for _, i := range here {
			if engines[i].Excluded {
				rt.Fatalf("engine %d is excluded and is listed", i)
			}
		}
		if slices.Sort(here); len(slices.Compact(here)) != len(here) {
			rt.Fatalf("an engine is listed twice: %v", here)
		}
	})
}

// After a weight load all caches are empty. Only the engines that serve a first part may
// prefill it; otherwise every engine prefills every first part.
func TestFewEnginesPrefillOneFirstPart(t *testing.T) {
	engines := newFleet(180, 1)
	prefills := 0
	for firstPart := range uint64(24) {
		served := map[int]bool{}
		for family := range uint64(400) {
			served[Shortlist(Mix(firstPart+1), Mix(family+1000*firstPart), engines, 3, 2)[0]] = true
		}
		prefills += len(served)
	}
	if most := 24 * 180 * 3 / 10; prefills > most {
		t.Errorf("%d prefills of first parts, want at most %d", prefills, most)
	}
	if prefills < 24*180/6 {
		t.Errorf("%d prefills: too few engines serve each first part", prefills)
	}
}

// Other engines fill the shortlist when none that serves the first part is left.
func TestShortlistIsFilledWhenFewServe(t *testing.T) {
	engines := newFleet(40, 4)
	for i := range engines {
		engines[i].Excluded = serves(9, &engines[i])
	}
	if got := Shortlist(9, 7, engines, 3, 2); len(got) < 3 {
		t.Errorf("shortlist %v is too short", got)
	}
}

// Samples spread over the fleet: overloaded entries must not all choose the same engines.
func TestSamplesSpreadOverTheFleet(t *testing.T) {
	engines := newFleet(180, 2)
	random := rand.New(rand.NewPCG(3, 3))
	counts := map[int]int{}
	for range 1000 {
		sampled := Sample(engines, map[int]bool{4: true}, 4, random.Float64)
		if len(sampled) != 4 {
			t.Fatalf("sampled %v, want 4 engines", sampled)
		}
		for _, i := range sampled {
			counts[i]++
		}
	}
	if counts[4] > 0 {
		t.Error("an engine in the exclude set was sampled")
	}
	for i, n := range counts {
		if n > 100 {
			t.Errorf("engine %d was sampled %d times of 1000", i, n)
		}
	}
}

// BenchmarkShortlist measures the ranking of 180 engines for one prompt.
func BenchmarkShortlist(b *testing.B) {
	engines := newFleet(180, 1)
	b.ReportAllocs()
	for b.Loop() {
		Shortlist(5, 7, engines, 3, 2)
	}
}
