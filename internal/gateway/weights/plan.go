// Package weights rolls new model weights out to the engines of a service, a limited number
// of engines at a time, so that the others continue to serve.
//
// Rollouts need no coordinator: every sidecar computes the same rollout order from the
// heartbeats of all sidecars, and loads its engine when the engine is among the first that
// lack the wanted version.
package weights

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Phase is the state of an engine in a rollout.
type Phase uint8

// The phases.
const (
	// Serving engines accept requests.
	Serving Phase = iota
	// Loading engines load weights, or are about to.
	Loading
	// Unresponsive engines do not respond to their own sidecar.
	Unresponsive
	// Draining engines load next: they get no new requests, and their running requests are
	// migrated.
	Draining
)

var phaseNames = map[Phase]string{Serving: "serving", Loading: "loading", Unresponsive: "silent", Draining: "emptying"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// EngineView is the state of one engine as a sidecar of its service knows it.
type EngineView struct {
	fleet.Incarnation
	// Version is the engine's version of the model.
	Version int64
	Phase   Phase
	// Age is the age of this state.
	Age time.Duration
	// PhaseAge is how long the engine has been in its phase.
	PhaseAge time.Duration
}

const (
	// parallelShare is the share of a service's engines that may load at once. More
	// parallel loads are slower and leave too few engines to serve.
	parallelShare = 0.2
	// minParallel lets small services finish in time.
	minParallel = 2
	// unresponsiveAfter is the age of an engine's state from which its sidecar counts as
	// gone and is not waited for. Sidecars send heartbeats twice a second.
	unresponsiveAfter = 1200 * time.Millisecond
	// forceLoadShare is the share of MaxStaleness after which an engine loads regardless
	// of the others.
	forceLoadShare = 0.55
)

// MaxParallelLoads returns how many of n engines may load at once.
func MaxParallelLoads(n int) int { return max(minParallel, int(float64(n)*parallelShare)) }

// RolloutOrder returns the engines in the order in which they load a version. The order
// differs between versions, so that no engine is always the last.
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

// WantedVersion is a version of a model that operators have published.
type WantedVersion struct {
	Version int64
	// Since is when this process, or one that told it, learned of the version.
	Since time.Time
}

// History is the published versions of a model, oldest first.
type History []WantedVersion

// maxHistory bounds the number of versions in a History.
const maxHistory = 16

// Add returns the history with w appended, which must be newer than all versions in it.
func (h History) Add(w WantedVersion) History {
	next := append(slices.Clone(h), w)
	return next[max(0, len(next)-maxHistory):]
}

// Backdate returns the history with a version that another process has known since an earlier time. One that
// is newer than all in the history is ignored: new versions come with the platform's records only.
func (h History) Backdate(w WantedVersion) History {
	i, known := slices.BinarySearchFunc(h, w.Version, func(o WantedVersion, version int64) int { return cmp.Compare(o.Version, version) })
	switch {
	case i == len(h) || known && !w.Since.Before(h[i].Since):
		return h
	case known:
		next := slices.Clone(h)
		next[i].Since = w.Since
		return next
	default:
		next := slices.Insert(slices.Clone(h), i, w)
		return next[max(0, len(next)-maxHistory):]
	}
}

// Newest returns the newest version; zero if there is none.
func (h History) Newest() int64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Version
}

// StaleFor returns how long an engine with the given version has been stale: the time since
// the first newer version was published, which may be long before the newest one.
func (h History) StaleFor(version int64, now time.Time) time.Duration {
	for _, w := range h {
		if w.Version > version {
			return now.Sub(w.Since)
		}
	}
	return 0
}

// Input is the input of Decide.
type Input struct {
	// Self is the incarnation of the deciding sidecar's engine.
	Self fleet.Incarnation
	// Engines are all engines of the service, including Self.
	Engines []EngineView
	// Wanted is the wanted version, StaleFor how long Self has been stale.
	Wanted   int64
	StaleFor time.Duration
	// MaxStaleness is the time within which engines must have the wanted version.
	MaxStaleness time.Duration
	// LoadTime is the expected duration of a load.
	LoadTime time.Duration
	// KnownFor is how long this process has known the wanted version.
	KnownFor time.Duration
	// PartialView is set in fleets that are too large for every sidecar to receive every
	// engine's reports.
	PartialView bool
}

// Action is what an engine should do about a wanted version.
type Action uint8

// The actions.
const (
	// Wait means to continue serving.
	Wait Action = iota
	// Drain means to drain while other engines finish loading.
	Drain
	// LoadNow means to load the version.
	LoadNow
)

// Decide returns the action for the sidecar's own engine. The first engines in the rollout
// order that lack the wanted version load, and the next as many drain. Engines whose sidecars
// are unresponsive are skipped.
func Decide(in Input) Action {
	if in.StaleFor > time.Duration(forceLoadShare*float64(in.MaxStaleness)) {
		return LoadNow
	}
	if in.PartialView {
		return scheduledAction(in)
	}
	parallel := MaxParallelLoads(len(in.Engines))
	position := 0
	loadEndsSoon := false
	for _, e := range RolloutOrder(in.Engines, in.Wanted) {
		if e.Version >= in.Wanted && e.Phase == Serving || e.Age > unresponsiveAfter {
			continue
		}
		if e.Incarnation == in.Self {
			return actionAt(position, parallel, loadEndsSoon)
		}
		loadEndsSoon = loadEndsSoon || e.Phase == Loading && in.LoadTime-e.PhaseAge < drainLead
		position++
	}
	return Wait
}

// scheduledAction returns the action by elapsed time, for fleets in which sidecars receive few
// reports of other engines and would skip the rest as unresponsive, so that all load at once.
//
// All sidecars know the list of engines and learn of a version within about 100 ms, so each
// can compute the start of its own wave. A load that takes longer than typicalLoadTime overlaps
// with the next wave, which only makes both slower.
func scheduledAction(in Input) Action {
	parallel := MaxParallelLoads(len(in.Engines))
	own := rank(in.Self.Instance, in.Wanted)
	position := 0
	for i := range in.Engines {
		if rank(in.Engines[i].Instance, in.Wanted) < own {
			position++
		}
	}
	waveStart := time.Duration(position/parallel) * typicalLoadTime
	switch {
	case in.KnownFor >= waveStart:
		return LoadNow
	case in.KnownFor >= waveStart-drainLead:
		return Drain
	default:
		return Wait
	}
}

// drainLead is how long before its load an engine begins to drain. Short requests finish in
// that time; a longer one would leave too few engines to serve.
const drainLead = 200 * time.Millisecond

func actionAt(position, parallel int, loadEndsSoon bool) Action {
	switch {
	case position < parallel:
		return LoadNow
	case position < 2*parallel && loadEndsSoon:
		return Drain
	default:
		return Wait
	}
}

// typicalLoadTime is the expected duration of a load including the drain before it, used to
// schedule waves.
const typicalLoadTime = 650 * time.Millisecond

// Schedule returns the time until each engine that lacks the wanted version is expected to
// load it. Engines that have the version are left out.
func Schedule(engines []EngineView, wanted int64) map[fleet.Incarnation]time.Duration {
	var schedule map[fleet.Incarnation]time.Duration
	parallel := MaxParallelLoads(len(engines))
	position := 0
	for _, e := range RolloutOrder(engines, wanted) {
		if e.Version >= wanted && e.Phase == Serving {
			continue
		}
		if schedule == nil {
			schedule = map[fleet.Incarnation]time.Duration{}
		}
		schedule[e.Incarnation] = time.Duration(position/parallel) * typicalLoadTime
		position++
	}
	return schedule
}
