package placement

// Ranked is an engine as the ranking for a family needs it.
type RankedEngine struct {
	Hash uint64
	// Near engines stand in the entry's availability zone.
	SameZone bool
	// Excluded engines are not asked.
	Excluded bool
}

// Shortlist returns the engines that are asked for a prompt: the first of its family in
// the whole fleet, and the first of those near by that are not among them. All entries
// rank alike, so that a family's parts are found where others had them read.
//
// The load pattern that it answers: more engines than can be asked, or known, for each
// prompt. Three of a family's first engines with present knowledge place as well as all.
//
// Only the engines that rank high for the prompt's outermost part are considered. Each
// engine then serves a few of those parts: were all to serve all, each would read all of
// them after each load of weights.
func Shortlist(outer, family uint64, engines []RankedEngine, first, near int) []int {
	var chosen []int
	taken := map[int]bool{}
	add := func(n int, allowed func(e *RankedEngine) bool) {
		for _, i := range top(family, engines, n, func(e *RankedEngine, i int) bool { return !e.Excluded && !taken[i] && allowed(e) }) {
			chosen = append(chosen, i)
			taken[i] = true
		}
	}
	add(first, func(e *RankedEngine) bool { return serves(outer, e) })
	add(first-len(chosen), func(*RankedEngine) bool { return true }) // few are left of those
	add(near, func(e *RankedEngine) bool { return e.SameZone && serves(outer, e) })
	return chosen
}

// servedShare is the share of the engines that serve one outermost part.
const servedShare = 0.25

// serves reports whether an engine is among those that serve an outermost part.
func serves(outer uint64, e *RankedEngine) bool {
	return Rank(outer, e.Hash) < servedShare
}

// top returns up to n of the engines that are allowed, the highest ranked first.
func top(family uint64, engines []RankedEngine, n int, allowed func(e *RankedEngine, i int) bool) []int {
	if n <= 0 {
		return nil
	}
	best := make([]int, 0, n+1)
	ranks := make([]uint64, 0, n+1)
	for i := range engines {
		if !allowed(&engines[i], i) {
			continue
		}
		rank := Mix(family ^ engines[i].Hash)
		at := len(ranks)
		for at > 0 && ranks[at-1] < rank {
			at--
		}
		if at == n {
			continue
		}
		best, ranks = insert(best, at, i, n), insert(ranks, at, rank, n)
	}
	return best
}

// insert puts a value at a place of a list and keeps its first n.
func insert[T any](list []T, at int, value T, n int) []T {
	list = append(list, value)
	copy(list[at+1:], list[at:])
	list[at] = value
	return list[:min(len(list), n)]
}

// Draw returns up to n engines that were not taken, drawn at random, those near by
// twice as often: entries that are all pressed must not press the same ones.
func Sample(engines []RankedEngine, taken map[int]bool, n int, uniform func() float64) []int {
	var pool []int
	for i := range engines {
		if engines[i].Excluded || taken[i] {
			continue
		}
		pool = append(pool, i)
		if engines[i].SameZone {
			pool = append(pool, i)
		}
	}
	var drawn []int
	seen := map[int]bool{}
	for range 2 * n {
		if len(drawn) == n || len(pool) == 0 {
			break
		}
		if i := pool[int(uniform()*float64(len(pool)))]; !seen[i] {
			seen[i] = true
			drawn = append(drawn, i)
		}
	}
	return drawn
}
