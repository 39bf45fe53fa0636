package gateway

import (
	"context"
	"maps"
	"math"
	"net/http"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/forward"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/reach"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// maxFacts is how many facts about parts one heartbeat holds. A fact takes 14
// bytes; with the rest a heartbeat stays within one packet.
const maxFacts = 60

// entry is the role that takes callers' requests.
type entry struct {
	beliefs   *beliefs
	ledger    *ledger.Ledger
	parts     *parts.Index
	health    *health.Monitor
	reach     *reach.Monitor
	pool      *upstream.Pool
	forwarder *forward.Forwarder
	suspects  *suspects
	// caches are those that were told of, with when they were last.
	caches map[fleet.ID]time.Time
	// probes asks sidecars; nil where probes are off.
	probes *probe.Client
	// limits is this entry's part in the rate limits; nil where there are none.
	limits *limits
	// changed are the targets at which this entry's work has changed since the
	// others were told.
	changed map[fleet.ID]bool
}

func newEntry(p *process) *entry {
	e := &entry{beliefs: p.beliefs, ledger: ledger.New(), parts: parts.NewIndex(), reach: &reach.Monitor{}, caches: map[fleet.ID]time.Time{}, changed: map[fleet.ID]bool{}}
	e.health = health.NewMonitor(func(life fleet.Incarnation, until time.Time, failures, others float64, outcome health.Outcome) {
		p.logger.Info("target_rested", "target", life, "for", until.Sub(p.clock.Now()).Round(time.Millisecond),
			"failures", math.Round(100*failures)/100, "others", math.Round(100*others)/100, "outcome", outcome.String())
	})
	e.pool = upstream.NewPool(p.metrics.Connection)
	e.suspects = newSuspects(p)
	e.forwarder = forward.New(forward.Deps{
		Protocol: p.platform.Protocol(), View: e.currentView, Pool: e.pool, Ledger: e.ledger, Parts: e.parts, Health: e.health, Reach: e.reach,
		Quarantine: e.suspects.book, CrashDetector: quarantine.NewCrashDetector(func(ctx context.Context, t *fleet.Target) bool { return e.pool.RefusesConnections(ctx, t.Address) }),
		Bounds: forward.Bounds{
			RetryRatio: p.settings.Bounds.RetryRatio, RetrySlack: p.settings.Bounds.RetrySlack, MaxStaleness: p.settings.Bounds.MaxStaleness.Duration,
		},
		Zone: p.settings.AvailabilityZone, Logger: p.logger, RoutineLogger: p.ordinary, Metrics: requestMetrics{p.metrics, p.burn}, AnnounceWork: e.tellWork, Now: p.clock.Now, Seed: p.settings.seed(),
	})
	return e
}

// open makes rate limits and probes possible.
func (e *entry) open(p *process) error {
	var err error
	if e.limits, err = openLimits(p); err != nil {
		return err
	}
	if e.limits != nil {
		e.forwarder.Limits = e.limits.limiter
	}
	return e.openProbes(p.settings)
}

func (e *entry) openProbes(s *Settings) error {
	sidecars, ok := s.probe()
	if !ok {
		return nil
	}
	var err error
	e.probes, err = probe.NewClient(s.mesh().Addr(), sidecars.Port(), e.beliefs.clock.Now)
	if err == nil {
		e.forwarder.Sidecars = e.probes
	}
	return err
}

func (e *entry) close() {
	if e.probes != nil {
		e.probes.Close()
	}
	if e.limits != nil {
		e.limits.limiter.Close()
	}
}

// requestMetrics counts requests for Prometheus and for the report on burn.
type requestMetrics struct {
	*metrics.Metrics
	counter *burn.Counter
}

// Burn implements forward.Metrics.
func (m requestMetrics) Burn(service, class, workspace string, good bool) {
	m.counter.Add(burn.Key{Service: service, Class: class, Workspace: workspace}, good)
}

func (e *entry) currentView() (*view.View, bool) { return e.beliefs.view.Get() }

// ready reports whether the entry can serve callers. One that is cut off says no,
// so that the balancer turns to others.
func (e *entry) ready() bool {
	v, ok := e.currentView()
	return ok && v.Estate != nil && len(v.Targets) > 0 && !v.Stopping && !e.reach.Partitioned(e.beliefs.clock.Now())
}

// compose adds to a heartbeat what other entries want to know.
func (e *entry) compose(beat *peerv1.Beat) {
	e.composeWork(beat)
	e.suspects.compose(beat)
}

func (e *entry) composeWork(beat *peerv1.Beat) {
	if e.beliefs.large.Load() {
		e.parts.DropUpdates()
		return
	}
	for target, w := range e.ledger.Own(e.beliefs.clock.Now()) {
		beat.Loads = append(beat.Loads, probe.EncodeLoad(target, w))
	}
}

const (
	// tellDelay gathers what other entries are told at once. In larger fleets more
	// is gathered, by tellDelayEach for each entry: what an entry hears grows with
	// their number.
	tellDelay     = 8 * time.Millisecond
	tellDelayEach = 2 * time.Millisecond
)

// tellWork tells the other entries soon of this entry's work at a target, and of
// the parts that are read there.
func (e *entry) tellWork(target fleet.ID) {
	if e.beliefs.large.Load() {
		return
	}
	e.beliefs.loop.Post(func() {
		first := len(e.changed) == 0
		e.changed[target] = true
		if !first {
			return
		}
		delay := tellDelay + tellDelayEach*time.Duration(len(e.beliefs.mesh.Live(true)))
		e.beliefs.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, delay) {
				e.beliefs.loop.Post(e.tellChanged)
			}
		})
	})
}

func (e *entry) tellChanged() {
	now := e.beliefs.clock.Now()
	e.beliefs.mesh.BroadcastToEntries(func(beat *peerv1.Beat) {
		for target := range e.changed {
			beat.Loads = append(beat.Loads, probe.EncodeLoad(target, e.ledger.OwnAt(target, now)))
		}
		beat.Parts = e.freshFacts()
	})
	clear(e.changed)
}

// freshFacts returns what the other entries were not told yet of parts.
func (e *entry) freshFacts() []*peerv1.PartHeld {
	var facts []*peerv1.PartHeld
	for _, f := range e.parts.TakeUpdates(maxFacts) {
		facts = append(facts, &peerv1.PartHeld{Part: uint32(f.Part), Target: uint32(f.Target), Done: f.Done})
	}
	return facts
}

func (e *entry) heard(m *mesh.Member) {
	now := e.beliefs.clock.Now()
	if !m.Entry {
		e.reach.HeartbeatReceived(now)
	}
	if m.Entry && e.limits != nil {
		e.limits.heard(m)
	}
	if m.Entry {
		e.ledger.ApplyReport(m.Address, loadsOf(m.Heartbeat), m.Heartbeat.Partial, now)
		for _, p := range m.Heartbeat.Parts {
			e.parts.Apply(parts.Update{Part: parts.Key(p.Part), Target: fleet.ID(p.Target), Done: p.Done}, now)
		}
		e.suspects.heard(m)
	}
	e.learnCache(m, now)
	if e.beliefs.hearEngine(m) {
		e.beliefs.postSoon()
	}
}

// cacheSilence is the silence after which word of a cache is news again. Sidecars tell of
// each cache twice a second.
const cacheSilence = 5 * time.Second

// learnCache takes in what a cache holds by its own word.
func (e *entry) learnCache(m *mesh.Member, now time.Time) {
	c := m.Heartbeat.Cache
	if c == nil || len(c.Parts) != len(c.Tokens) {
		return
	}
	if now.Sub(e.caches[fleet.ID(c.Cache)]) > cacheSilence {
		e.beliefs.logger.Info("cache_told", "cache", c.Cache, "peer", m.Name, "parts", len(c.Parts))
		maps.DeleteFunc(e.caches, func(_ fleet.ID, at time.Time) bool { return now.Sub(at) > cacheSilence })
	}
	e.caches[fleet.ID(c.Cache)] = now
	for i, part := range c.Parts {
		e.parts.RecordReport(fleet.ID(c.Cache), parts.Key(part), int(c.Tokens[i]), now)
	}
}

func loadsOf(beat *peerv1.Beat) map[fleet.ID]ledger.Work {
	loads := make(map[fleet.ID]ledger.Work, len(beat.Loads))
	for _, l := range beat.Loads {
		loads[fleet.ID(l.Target)] = probe.DecodeLoad(l)
	}
	return loads
}

// readyHandler answers the balancer.
func (e *entry) readyHandler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		if e.ready() {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	return mux
}
