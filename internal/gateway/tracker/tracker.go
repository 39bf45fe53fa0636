// Package tracker records what a sidecar knows about its engine: the prompts that all entries
// have sent and that have not finished, the content of its cache, its speed and its health.
//
// The state is kept in memory only. After a restart it is complete again once the requests
// from before the restart have ended.
package tracker

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/readtime"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

const (
	// unreportedTTL is how long a part counts as cached after its prefill without a report of
	// the cache, which arrives after about 150 ms.
	unreportedTTL = 2 * time.Second
	// sweepInterval is how often expired sends are removed, whose end was never announced
	// because the datagram was lost or the entry died.
	sweepInterval = 250 * time.Millisecond
	// maxSends bounds the memory to about 300 bytes per send. An engine runs and queues some
	// hundred requests.
	maxSends = 4096
	// maxParts is the largest number of shared parts that are tracked for a prompt.
	maxParts = 16
)

// anyStore stands for the store of a prompt's parts, whichever that is. The tracker knows
// only what this engine has offloaded.
const anyStore = fleet.ID(0)

// State is what the engine's controller knows of the engine.
type State struct {
	Incarnation fleet.Incarnation
	Weights     map[string]int64
	Phase       weights.Phase
	// ReportedAt is when the engine last reported.
	ReportedAt time.Time
}

// Tracker tracks one engine. It implements probe.Engine and is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu    sync.Mutex
	known bool
	state State
	index *parts.Index
	paces *readtime.Slowdowns
	// speeds is nil if speeds are not estimated.
	speeds *readtime.Speeds
	health *health.Monitor
	sends  map[probe.SendID]*send
	// remote tracks families that have this engine as their first choice.
	remote *remotePrefills
	// lastPrefillEnd is when the engine last finished a prefill.
	lastPrefillEnd time.Time
	offered        offeredLoad
	sweptAt        time.Time
}

// New returns a tracker with no knowledge of its engine.
func New(now func() time.Time) *Tracker {
	return &Tracker{
		now: now, index: parts.NewIndex(), paces: readtime.NewSlowdowns(),
		health: health.NewMonitor(nil), sends: map[probe.SendID]*send{}, remote: newRemotePrefills(),
	}
}

// EstimateSpeed turns the estimate of the engine's speed on or off. It is off at first.
func (t *Tracker) EstimateSpeed(on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !on:
		t.speeds = nil
	case t.speeds == nil:
		t.speeds = readtime.NewSpeeds()
	}
}

// Speed returns the measured time of the engine relative to a usual one; zero if it is unknown.
func (t *Tracker) Speed() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.speeds == nil {
		return 0
	}
	return t.speeds.Speed(t.state.Incarnation, t.now()).Factor
}

// SetState sets the state of the engine. If the engine has restarted, the sends and the cache
// content of the earlier incarnation are deleted. An empty incarnation, of an engine that
// does not respond at the moment, leaves the last one in place.
func (t *Tracker) SetState(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Incarnation.Instance == "" {
		s.Incarnation = t.state.Incarnation
	}
	if t.known && s.Incarnation != t.state.Incarnation && t.state.Incarnation.Instance != "" {
		t.reset()
	}
	t.known, t.state = true, s
}

// reset deletes what is known of an earlier incarnation. The caller holds mu.
func (t *Tracker) reset() {
	t.index, t.paces = parts.NewIndex(), readtime.NewSlowdowns()
	if t.speeds != nil {
		t.speeds = readtime.NewSpeeds()
	}
	clear(t.sends)
}

// SetCached records how many tokens of a part the engine's cache has reported.
func (t *Tracker) SetCached(k parts.Key, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.index.RecordReport(t.id(), k, tokens, t.now())
}

// id returns the engine's ID. The caller holds mu.
func (t *Tracker) id() fleet.ID { return fleet.IDOf(t.state.Incarnation.String()) }

// Probe implements probe.Engine.
func (t *Tracker) Probe(p probe.Prompt) (probe.Response, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if !t.known {
		return probe.Response{}, false
	}
	t.sweep(now)
	a := probe.Response{
		Incarnation: t.state.Incarnation, WeightVersions: t.state.Weights, Phase: t.state.Phase,
		Work: workOf(slices.Collect(maps.Values(t.sends)), t.lastPrefillEnd, now), OfferedLoad: t.offered.permille(now), Slowdown: t.paces.Factor(t.state.Incarnation, now), ReportAge: now.Sub(t.state.ReportedAt),
	}
	if t.speeds != nil {
		a.Speed = t.speeds.Speed(t.state.Incarnation, now).Reported()
	}
	_, a.Unhealthy = t.health.Ejected(now)[t.state.Incarnation]
	t.fillCacheState(p, &a, now)
	return a, true
}

// fillCacheState sets which of a prompt's shared parts are cached or in progress, for the
// weights that the engine has loaded. The caller holds mu.
func (t *Tracker) fillCacheState(p probe.Prompt, a *probe.Response, now time.Time) {
	keys := partKeys(p, t.state.Weights[p.Model])
	if len(keys) == 0 {
		return
	}
	id := t.id()
	for _, prefix := range t.index.Prefixes(keys, p.Parts[:len(keys)], unreportedTTL, now) {
		if prefix.Target == id {
			a.CachedTokens = prefix.Tokens
		}
	}
	for i, k := range keys {
		if t.index.StateAt(k, p.Parts[i].Tokens, id, now) == parts.InProgress {
			a.PrefillInProgress = true
		}
	}
	last := len(keys) - 1
	a.Offloaded = t.index.StateAt(keys[last], p.Parts[last].Tokens, anyStore, now) == parts.Cached
	t.remote.fillResponse(keys[last], a, now)
}

// partKeys returns the keys of a prompt's parts for a version of the weights.
func partKeys(p probe.Prompt, version int64) []parts.Key {
	scope := parts.Scope(p.Model, version, p.CacheDomain)
	n := min(len(p.Parts), maxParts)
	keys := make([]parts.Key, 0, n)
	for _, part := range p.Parts[:n] {
		keys = append(keys, parts.KeyOf(scope, part.ID))
	}
	return keys
}

// OnSend implements probe.Engine.
func (t *Tracker) OnSend(id probe.SendID, s probe.Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.sweep(now)
	if len(t.sends) >= maxSends || t.sends[id] != nil {
		return
	}
	if s.Holder.IsValid() {
		t.remote.record(id, partKeys(s.Prompt, s.WeightVersion), s, now)
		return
	}
	tracked := &send{
		priority: s.Priority, prefill: s.PrefillTime, memoryTokens: s.Memory, keys: partKeys(s.Prompt, s.WeightVersion), offloaded: s.Offloaded,
		sentAt: now, expiresAt: now.Add(s.Lifetime),
	}
	t.sends[id] = tracked
	t.offered.add(tracked.priority, tracked.prefill, now)
	t.index.Record(t.id(), tracked.keys, false, now)
	t.index.DropUpdates() // a sidecar announces no updates
}

// OnProgress implements probe.Engine. It ignores late or repeated messages, which refer to no
// known send.
func (t *Tracker) OnProgress(id probe.SendID, p probe.Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	tracked := t.sends[id]
	if tracked == nil {
		t.remote.update(id, p, now)
		return
	}
	if p.PrefillDone {
		if t.speeds != nil && !tracked.prefilled { // a repeated datagram is no further sample
			t.speeds.Record(t.state.Incarnation, p.Latency, p.ExpectedLatency, now)
		}
		tracked.prefilled, t.lastPrefillEnd = true, now
		t.index.Record(t.id(), tracked.keys, true, now)
		if tracked.offloaded {
			t.index.Record(anyStore, tracked.keys, true, now)
		}
		t.index.DropUpdates()
		t.paces.Record(t.state.Incarnation, p.Latency, p.ExpectedLatency, now)
	}
	if p.Ended {
		delete(t.sends, id)
		t.health.Record("", t.state.Incarnation, p.Outcome, now)
	}
}

// sweep removes expired sends. The caller holds mu.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for id, tracked := range t.sends {
		if now.After(tracked.expiresAt) {
			delete(t.sends, id)
		}
	}
}
