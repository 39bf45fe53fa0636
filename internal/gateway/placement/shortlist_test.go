package placement

import (
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fleetOf returns engines of which every fifth stands near by.
func fleetOf(n int, seed uint64) []RankedEngine {
	random := rand.New(rand.NewPCG(seed, seed))
	engines := make([]RankedEngine, n)
	for i := range engines {
		engines[i] = RankedEngine{Hash: random.Uint64(), SameZone: i%5 == 0}
	}
	return engines
}

// Entries of different zones ask for prompts of one family. They must find the parts
// where others had them read, so that the first engines in the fleet are the same for
// all, and those that are left out stay out.
func TestAllEntriesAskTheSameFirstEngines(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engines := fleetOf(rapid.IntRange(1, 200).Draw(rt, "engines"), rapid.Uint64().Draw(rt, "seed"))
		for i := range engines {
			engines[i].Excluded = rapid.IntRange(0, 9).Draw(rt, "excluded") == 0
		}
		family, outer := rapid.Uint64().Draw(rt, "family"), rapid.Uint64().Draw(rt, "outer")
		here := Shortlist(outer, family, engines, 3, 2)
		there := slices.Clone(engines)
		for i := range there {
			there[i].SameZone = !there[i].SameZone
		}
		far := Shortlist(outer, family, there, 3, 2)
		n := min(3, len(here), len(far))
		if !slices.Equal(here[:n], far[:n]) {
			rt.Fatalf("asked %v here and %v there", here, far)
		}
		for _, i := range here {
			if engines[i].Excluded {
				rt.Fatalf("engine %d is excluded and is asked", i)
			}
		}
		if slices.Sort(here); len(slices.Compact(here)) != len(here) {
			rt.Fatalf("one engine is asked twice: %v", here)
		}
	})
}

// After a load of weights, 180 engines hold nothing, and prompts of 24 outermost parts
// come. Were each family's engines drawn from all, nearly every engine would read every
// outermost part: 4,300 times in place of 24. Engines that serve a quarter of them each
// read a quarter.
func TestFewEnginesReadOneOutermostPart(t *testing.T) {
	engines := fleetOf(180, 1)
	reads := 0
	for outer := range uint64(24) {
		served := map[int]bool{}
		for family := range uint64(400) {
			served[Shortlist(Mix(outer+1), Mix(family+1000*outer), engines, 3, 2)[0]] = true
		}
		reads += len(served)
	}
	if most := 24 * 180 * 3 / 10; reads > most {
		t.Errorf("%d reads of outermost parts, want at most %d", reads, most)
	}
	if reads < 24*180/6 {
		t.Errorf("%d reads: too few engines serve each part to bear its load", reads)
	}
}

// Hardly any engine is left of those that serve an outermost part. Prompts go to others
// then, and are not placed blindly.
func TestOthersAreAskedWhenFewServe(t *testing.T) {
	engines := fleetOf(40, 4)
	for i := range engines {
		engines[i].Excluded = serves(9, &engines[i])
	}
	if got := Shortlist(9, 7, engines, 3, 2); len(got) < 3 {
		t.Errorf("only %v are asked", got)
	}
}

// A fleet is pressed, and all entries look beyond a family's first engines. They must not
// all look at the same ones.
func TestDrawnEnginesDiffer(t *testing.T) {
	engines := fleetOf(180, 2)
	random := rand.New(rand.NewPCG(3, 3))
	times := map[int]int{}
	for range 1000 {
		drawn := Sample(engines, map[int]bool{4: true}, 4, random.Float64)
		if len(drawn) != 4 {
			t.Fatalf("drew %v", drawn)
		}
		for _, i := range drawn {
			times[i]++
		}
	}
	if times[4] > 0 {
		t.Error("one that was asked already was drawn")
	}
	for i, n := range times {
		if n > 100 {
			t.Errorf("engine %d was drawn %d times of 1000", i, n)
		}
	}
}

// BenchmarkShortlist is what ranking takes of an entry for one prompt, with 180 engines.
func BenchmarkShortlist(b *testing.B) {
	engines := fleetOf(180, 1)
	b.ReportAllocs()
	for b.Loop() {
		Shortlist(5, 7, engines, 3, 2)
	}
}
