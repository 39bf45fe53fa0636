// Package tracker is what a sidecar knows of its engine: what all entries have sent
// there and it has not finished, what its cache holds, how fast it is, and whether it
// fails. It is soft state: a sidecar that starts again knows it anew within the time in
// which requests end.
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
	// keptFor is for how long a part that was read counts as held without the cache's
	// own word, which comes some 150 ms later.
	keptFor = 2 * time.Second
	// sweepPeriod is how often sends are looked through for those whose end was never
	// told: its datagram was lost, or its entry died.
	sweepPeriod = 250 * time.Millisecond
	// mostSends bounds the memory, some 300 bytes each. An engine runs and queues some
	// hundred requests.
	mostSends = 4096
	// mostParts bounds the shared parts that one send names.
	mostParts = 16
)

// theStore stands for the store of a prompt's parts, whichever that is: what it holds is
// known here only from this engine's saves.
const theStore = fleet.ID(0)

// State is what the engine's controller knows of it.
type State struct {
	Incarnation fleet.Incarnation
	Weights     map[string]int64
	Phase       weights.Phase
	// ReportedAt is when the engine last reported.
	ReportedAt time.Time
}

// Tracker is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu     sync.Mutex
	known  bool
	state  State
	book   *parts.Index
	paces  *readtime.Slowdowns
	health *health.Monitor
	sends  map[probe.SendID]*send
	// elsewhere is where other engines read the families of which this one is the first.
	elsewhere *elsewhere
	// freeAt is when the engine had read the last prompt.
	freeAt   time.Time
	arriving arrivals
	sweptAt  time.Time
}

// New returns a tracker of an engine of which nothing is known.
func New(now func() time.Time) *Tracker {
	return &Tracker{
		now: now, book: parts.NewIndex(), paces: readtime.NewSlowdowns(),
		health: health.NewMonitor(nil), sends: map[probe.SendID]*send{}, elsewhere: newElsewhere(),
	}
}

// Set takes in what the engine's controller knows. What was sent to an earlier life of
// the engine ended with it; one that does not answer for a moment keeps its life.
func (t *Tracker) SetState(s State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Incarnation.Instance == "" {
		s.Incarnation = t.state.Incarnation
	}
	if t.known && s.Incarnation != t.state.Incarnation && t.state.Incarnation.Instance != "" {
		t.forget()
	}
	t.known, t.state = true, s
}

func (t *Tracker) forget() {
	t.book, t.paces = parts.NewIndex(), readtime.NewSlowdowns()
	clear(t.sends)
}

// Learn takes in that the engine's cache holds so many tokens of a part now.
func (t *Tracker) SetCached(k parts.Key, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.book.RecordReport(t.id(), k, tokens, t.now())
}

// id is the engine's short name. The caller holds mu.
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
		Work: workOf(slices.Collect(maps.Values(t.sends)), t.freeAt, now), OfferedLoad: t.arriving.thousandths(now), Slowdown: t.paces.Factor(t.state.Incarnation, now), ReportAge: now.Sub(t.state.ReportedAt),
	}
	_, a.Unhealthy = t.health.Ejected(now)[t.state.Incarnation]
	t.lookUp(p, &a, now)
	return a, true
}

// lookUp fills in what the engine holds or reads of a prompt's shared parts, at the
// weights that it has. The caller holds mu.
func (t *Tracker) lookUp(p probe.Prompt, a *probe.Response, now time.Time) {
	keys := keysOf(p, t.state.Weights[p.Model])
	if len(keys) == 0 {
		return
	}
	id := t.id()
	for _, held := range t.book.Prefixes(keys, p.Parts[:len(keys)], keptFor, now) {
		if held.Target == id {
			a.CachedTokens = held.Tokens
		}
	}
	for i, k := range keys {
		if t.book.StateAt(k, p.Parts[i].Tokens, id, now) == parts.InProgress {
			a.PrefillInProgress = true
		}
	}
	last := len(keys) - 1
	a.Offloaded = t.book.StateAt(keys[last], p.Parts[last].Tokens, theStore, now) == parts.Cached
	t.elsewhere.lookUp(keys[last], a, now)
}

func keysOf(p probe.Prompt, version int64) []parts.Key {
	scope := parts.Scope(p.Model, version, p.IsolatedWorkspace)
	n := min(len(p.Parts), mostParts)
	keys := make([]parts.Key, 0, n)
	for _, part := range p.Parts[:n] {
		keys = append(keys, parts.KeyOf(scope, part.ID))
	}
	return keys
}

// Sent implements probe.Engine.
func (t *Tracker) OnSend(id probe.SendID, s probe.Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.sweep(now)
	if len(t.sends) >= mostSends || t.sends[id] != nil {
		return
	}
	if s.Holder.IsValid() {
		t.elsewhere.sent(id, keysOf(s.Prompt, s.WeightVersion), s, now)
		return
	}
	one := &send{
		urgency: s.Priority, reads: s.PrefillTime, memory: s.Memory, keys: keysOf(s.Prompt, s.WeightVersion), saved: s.Offloaded,
		begunAt: now, endsAt: now.Add(s.Lifetime),
	}
	t.sends[id] = one
	t.arriving.add(one.urgency, one.reads, now)
	t.book.Record(t.id(), one.keys, false, now)
	t.book.DropUpdates() // nobody else is told
}

// Progressed implements probe.Engine. The failure guarded against is a word that comes
// late or twice: it finds no send of its name.
func (t *Tracker) OnProgress(id probe.SendID, p probe.Progress) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	one := t.sends[id]
	if one == nil {
		t.elsewhere.progressed(id, p, now)
		return
	}
	if p.PrefillDone {
		one.wasRead, t.freeAt = true, now
		t.book.Record(t.id(), one.keys, true, now)
		if one.saved {
			t.book.Record(theStore, one.keys, true, now)
		}
		t.book.DropUpdates()
		t.paces.Record(t.state.Incarnation, p.Latency, p.ExpectedLatency, now)
	}
	if p.Ended {
		delete(t.sends, id)
		t.health.Record("", t.state.Incarnation, p.Outcome, now)
	}
}

// sweep ends the sends whose lifetime is over. The caller holds mu.
func (t *Tracker) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepPeriod {
		return
	}
	t.sweptAt = now
	for id, one := range t.sends {
		if now.After(one.endsAt) {
			delete(t.sends, id)
		}
	}
}
