package placement

// RankedEngine is the state of an engine that ranking needs.
type RankedEngine struct {
	Hash uint64
	// SameZone is set when the engine is in the entry's availability zone.
	SameZone bool
	// Excluded engines are not listed.
	Excluded bool
}

// Shortlist returns the engines to probe for a prompt: up to fleetCount that rank first
// for its family in the whole fleet, then up to zoneCount more of the entry's zone. All
// entries compute the same ranking, so that they find what others had cached.
//
// Engines are taken from the subset that serves the prompt's first part, where it has
// enough. This bounds how many engines prefill each first part after a weight load. Three of a family's first
// engines with current state place prompts as well as all engines.
func Shortlist(firstPart, family uint64, engines []RankedEngine, fleetCount, zoneCount int) []int {
	var chosen []int
	listed := map[int]bool{}
	add := func(n int, allowed func(e *RankedEngine) bool) {
		for _, i := range topRanked(family, engines, n, func(e *RankedEngine, i int) bool { return !e.Excluded && !listed[i] && allowed(e) }) {
			chosen = append(chosen, i)
			listed[i] = true
		}
	}
	add(fleetCount, func(e *RankedEngine) bool { return serves(firstPart, e) })
	add(fleetCount-len(chosen), func(*RankedEngine) bool { return true }) // the subset is too small
	add(zoneCount, func(e *RankedEngine) bool { return e.SameZone && serves(firstPart, e) })
	return chosen
}

// servingShare is the share of the engines that serve a given first part.
const servingShare = 0.25

// serves reports whether an engine belongs to the subset that serves a first part.
func serves(firstPart uint64, e *RankedEngine) bool {
	return Rank(firstPart, e.Hash) < servingShare
}

// topRanked returns the indexes of up to n allowed engines, the highest ranked first.
func topRanked(family uint64, engines []RankedEngine, n int, allowed func(e *RankedEngine, i int) bool) []int {
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
		pos := len(ranks)
		for pos > 0 && ranks[pos-1] < rank {
			pos--
		}
		if pos == n {
			continue
		}
		best, ranks = insertAt(best, pos, i, n), insertAt(ranks, pos, rank, n)
	}
	return best
}

// insertAt inserts a value at an index and truncates the list to n values.
func insertAt[T any](list []T, index int, value T, n int) []T {
	list = append(list, value)
	copy(list[index+1:], list[index:])
	list[index] = value
	return list[:min(len(list), n)]
}

// Sample returns up to n random engines that are not in exclude. Engines of the entry's
// zone are twice as likely. Randomness keeps overloaded entries from all choosing the same
// engines.
func Sample(engines []RankedEngine, exclude map[int]bool, n int, uniform func() float64) []int {
	var pool []int
	for i := range engines {
		if engines[i].Excluded || exclude[i] {
			continue
		}
		pool = append(pool, i)
		if engines[i].SameZone {
			pool = append(pool, i)
		}
	}
	var sampled []int
	seen := map[int]bool{}
	for range 2 * n {
		if len(sampled) == n || len(pool) == 0 {
			break
		}
		if i := pool[int(uniform()*float64(len(pool)))]; !seen[i] {
			seen[i] = true
			sampled = append(sampled, i)
		}
	}
	return sampled
}
