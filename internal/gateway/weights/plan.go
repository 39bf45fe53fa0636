// Package weights brings the engines of a service to the weights that the
// operators want, a few at a time, so that the others go on serving.
//
// Each sidecar decides for its own engine from what all sidecars tell of
// theirs. There is no coordinator: all rank the engines alike, and the first in
// the ranking that lack the wanted version load it.
package weights

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Phase is what an engine is doing about weights.
type Phase uint8

// The phases.
const (
	// Serving engines take requests.
	Serving Phase = iota
	// Loading engines load weights, or are just about to.
	Loading
	// Silent engines do not answer their own sidecar.
	Unresponsive
	// Emptying engines load next: they take nothing new, and their runs are moved
	// away.
	Draining
)

var phaseNames = map[Phase]string{Serving: "serving", Loading: "loading", Unresponsive: "silent", Draining: "emptying"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// EngineView is what one sidecar knows of an engine of its service.
type EngineView struct {
	fleet.Incarnation
	// Version of the model that the engine has.
	Version int64
	Phase   Phase
	// Age of this knowledge.
	Age time.Duration
	// PhaseAge is for how long the engine has been in its phase.
	PhaseAge time.Duration
}

const (
	// parallelShare is the share of a service's engines that load at once. More
	// make each load slower and leave too few to serve; at a fifth, loading all
	// takes five times one load.
	parallelShare = 0.2
	// minParallel lets small services finish in time.
	minParallel = 2
	// silentAfter is the age from which an engine's sidecar counts as gone and
	// is not waited for. Sidecars tell of themselves twice a second.
	silentAfter = 1200 * time.Millisecond
	// hurryShare is the part of the time bound after which an engine loads
	// whatever the others do: one that is late is of no use.
	hurryShare = 0.55
)

// Parallel is how many of n engines may load at once.
func MaxParallelLoads(n int) int { return max(minParallel, int(float64(n)*parallelShare)) }

// Turns returns the engines in the order in which they load a version: a new
// one for each version, so that no engine is always the last.
func RolloutOrder(engines []EngineView, version int64) []EngineView {
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(a, b EngineView) int {
		ra, rb := rank(a.Instance, version), rank(b.Instance, version)
		switch {
		case ra < rb:
			return -1
		case ra > rb:
			return 1
		default:
			return 0
		}
	})
	return ordered
}

func rank(instance string, version int64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(version))
	_, _ = d.WriteString(instance)
	return d.Sum64()
}

// Wanted is a version of a model that operators want.
type WantedVersion struct {
	Version int64
	// Since is when this process learned of it.
	Since time.Time
}

// History is the versions of a model that operators named, oldest first.
type History []WantedVersion

// maxHistory is how many versions are remembered. Older ones are long overdue.
const maxHistory = 16

// Add returns the history with a version that is newer than all before.
func (h History) Add(w WantedVersion) History {
	next := append(slices.Clone(h), w)
	return next[max(0, len(next)-maxHistory):]
}

// Newest is the newest version; zero when none was named.
func (h History) Newest() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Version
}

// Behind returns for how long an engine that has a version has been behind:
// since the first newer one was named. The newest alone would not tell, because
// it may have been named a moment ago.
func (h History) StaleFor(have int64, now time.Time) time.Duration {
	for _, w := range h {
		if w.Version > have {
			return now.Sub(w.Since)
		}
	}
	return 0
}

// Question is what Decide goes by.
type Input struct {
	// Self is the life of the deciding sidecar's engine.
	Self fleet.Incarnation
	// Engines of the service, the own one included.
	Engines []EngineView
	// Wanted version, and for how long the own engine has been behind.
	Wanted   int64
	StaleFor time.Duration
	// Bound is the time within which engines must have the wanted version.
	MaxStaleness time.Duration
	// LoadTime is how long a load is expected to take.
	LoadTime time.Duration
	// Named is for how long this process has known the wanted version.
	KnownFor time.Duration
	// Unheard is set in fleets that are too large for all sidecars to hear of all
	// engines.
	PartialView bool
}

// Turn is when an engine loads a version.
type Action uint8

// The turns.
const (
	// Later engines go on serving.
	Wait Action = iota
	// Next engines empty themselves while others end their loads.
	Drain
	// Now engines load.
	LoadNow
)

// Decide returns the own engine's turn. Those first in the order that still lack
// the wanted version go, as many again are next; engines whose sidecars are
// silent are passed over.
func Decide(q Input) Action {
	if q.StaleFor > time.Duration(hurryShare*float64(q.MaxStaleness)) {
		return LoadNow
	}
	if q.PartialView {
		return turnByTime(q)
	}
	places := MaxParallelLoads(len(q.Engines))
	before := 0
	soon := false
	for _, e := range RolloutOrder(q.Engines, q.Wanted) {
		if e.Version >= q.Wanted && e.Phase == Serving || e.Age > silentAfter {
			continue
		}
		if e.Incarnation == q.Self {
			return turnAfter(before, places, soon)
		}
		soon = soon || e.Phase == Loading && q.LoadTime-e.PhaseAge < emptyLead
		before++
	}
	return Wait
}

// turnByTime is the own engine's turn where nothing is heard of the others: all know the
// list of engines and learn of a version within some 100 ms of each other, so that each
// can reckon when its turn comes.
//
// The load pattern that it answers: hundreds of engines load weights, a fifth at once. Each
// sidecar hears few of the others lately, takes the rest for silent, and passes them over:
// all load in disorder. A load that takes longer than usual overlaps with the
// next ones, which makes them slower and breaks nothing.
func turnByTime(q Input) Action {
	places := MaxParallelLoads(len(q.Engines))
	own := rank(q.Self.Instance, q.Wanted)
	before := 0
	for i := range q.Engines {
		if rank(q.Engines[i].Instance, q.Wanted) < own {
			before++
		}
	}
	starts := time.Duration(before/places) * usualLoadTime
	switch {
	case q.KnownFor >= starts:
		return LoadNow
	case q.KnownFor >= starts-emptyLead:
		return Drain
	default:
		return Wait
	}
}

// emptyLead is how long before its turn an engine begins to empty itself. Short
// runs end in that time; in a longer one too few engines are left to serve.
const emptyLead = 200 * time.Millisecond

func turnAfter(before, places int, soon bool) Action {
	switch {
	case before < places:
		return LoadNow
	case before < 2*places && soon:
		return Drain
	default:
		return Wait
	}
}

// usualLoadTime is how long a load takes with the time before it in which the
// engine is emptied, as far as who only schedules by it can tell.
const usualLoadTime = 650 * time.Millisecond

// Schedule returns in how long each engine that lacks the wanted version loads
// it, by the order of turns. Engines that have it are left out.
func Schedule(engines []EngineView, wanted int64) map[fleet.Incarnation]time.Duration {
	var schedule map[fleet.Incarnation]time.Duration
	places := MaxParallelLoads(len(engines))
	before := 0
	for _, e := range RolloutOrder(engines, wanted) {
		if e.Version >= wanted && e.Phase == Serving {
			continue
		}
		if schedule == nil {
			schedule = map[fleet.Incarnation]time.Duration{}
		}
		schedule[e.Incarnation] = time.Duration(before/places) * usualLoadTime
		before++
	}
	return schedule
}
