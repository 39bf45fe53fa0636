package gateway

import (
	"context"
	"maps"
	"math"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/forward"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/ledger"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/reach"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// maxPartUpdates is the most part updates in one heartbeat. An update takes 14 bytes; the
// heartbeat must fit into one packet.
const maxPartUpdates = 60

// entry is the role that serves callers' requests.
type entry struct {
	state    *clusterState
	ledger   *ledger.Ledger
	parts    *parts.Index
	health   *health.Monitor
	reach    *reach.Monitor
	pushback *pushback.Registry
	// targetLimits shares the rate limits that targets state among all entries.
	targetLimits *targetLimits
	pool         *upstream.Pool
	forwarder    *forward.Forwarder
	quarantine   *quarantineSync
	// cacheReportedAt is when the last report of each cache was received.
	cacheReportedAt map[fleet.ID]time.Time
	// wasReady is the last answer to the load balancer.
	wasReady atomic.Bool
	// probes sends probes to sidecars; nil if probes are disabled.
	probes *probe.Client
	// limits enforces the rate limits of workspaces; nil if they are disabled.
	limits *limits
	// changedTargets are the targets whose work from this entry has changed since the last
	// announcement to the other entries.
	changedTargets map[fleet.ID]bool
	// originsRefreshedAt is when the processes that keep the starts of streams were last updated.
	originsRefreshedAt time.Time
	originMembers      map[netip.AddrPort]bool
}

func newEntry(p *process) *entry {
	e := &entry{state: p.state, ledger: ledger.New(), parts: parts.NewIndex(), reach: &reach.Monitor{}, cacheReportedAt: map[fleet.ID]time.Time{}, changedTargets: map[fleet.ID]bool{}}
	e.health = health.NewMonitor(func(incarnation fleet.Incarnation, until time.Time, failures, others float64, outcome health.Outcome) {
		p.logger.Info("target_rested", "target", incarnation, "for", until.Sub(p.clock.Now()).Round(time.Millisecond),
			"failures", math.Round(100*failures)/100, "others", math.Round(100*others)/100, "outcome", outcome.String())
	})
	e.pushback = newPushback(p)
	e.targetLimits = newTargetLimits(p)
	e.pool = upstream.NewPool(p.metrics.Connection)
	e.quarantine = newQuarantineSync(p)
	p.state.quarantinePage = e.quarantine.page
	e.forwarder = forward.New(forward.Deps{
		Protocol: p.platform.Protocol(), View: e.currentView, Pool: e.pool, Buffers: buffers.NewBudget(p.settings.MemoryMB << 20 / maxBufferDivisor), Bodies: buffers.NewBudget(p.settings.MemoryMB << 20 * bodyShareNumerator / bodyShareDivisor), Connections: buffers.NewBudget(p.settings.MemoryMB << 20 / connDivisor), Ledger: e.ledger, Parts: e.parts, Health: e.health, Reach: e.reach, Pushback: e.pushback, TargetLimits: e.targetLimits, Origins: p.origins, RefreshTargets: p.state.refreshTargets, StartTime: startTimeOf(p.platform),
		Quarantine: e.quarantine.registry, CrashDetector: quarantine.NewCrashDetector(func(ctx context.Context, t *fleet.Target) (upstream.ListenerState, error) {
			return e.pool.ProbeListener(ctx, t.Address)
		}),
		Bounds: forward.Bounds{
			RetryRatio: p.settings.Bounds.RetryRatio, RetrySlack: p.settings.Bounds.RetrySlack, MaxStaleness: p.settings.Bounds.MaxStaleness.Duration, LongestStream: p.settings.LongestStream.Duration,
		},
		Zone: p.settings.AvailabilityZone, Logger: p.logger, RoutineLogger: p.routineLogger, AuditLogger: p.auditLogger, Metrics: requestMetrics{p.metrics, p.burn}, AnnounceWork: e.announceWork, Now: p.clock.Now, Seed: p.settings.seed(), Queue: p.settings.Queue.policy(),
		QueueObserver: queueObserver{p.routineLogger, p.metrics},
		SpeedsEnabled: p.useSpeeds.Load, Outdated: e.outdated,
	})
	return e
}

// open starts the rate limiter and the probe client if they are enabled.
func (e *entry) open(p *process) error {
	var err error
	if e.limits, err = openLimits(p); err != nil {
		return err
	}
	if e.limits != nil {
		e.forwarder.Limits = e.limits.limiter
		e.targetLimits.limiter = e.limits.limiter
	}
	return e.openProbes(p.settings)
}

func (e *entry) openProbes(s *Settings) error {
	sidecars, ok := s.probeAddress()
	if !ok {
		return nil
	}
	var err error
	e.probes, err = probe.NewClient(s.meshAddress().Addr(), sidecars.Port(), e.state.clock.Now)
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

const (
	// maxBufferDivisor divides the memory of the process into the part in which large responses are
	// buffered.
	maxBufferDivisor = 16
	// bodyShareNumerator and bodyShareDivisor are the part in which large bodies of requests are held.
	// What is left holds the process itself, and what the garbage collector has not freed yet.
	bodyShareNumerator, bodyShareDivisor = 3, 8
	// connDivisor divides the memory of the process into the part for callers' connections, heads and small
	// bodies.
	connDivisor = 4
)

// requestMetrics records requests in the Prometheus metrics and the burn-rate counter.
type requestMetrics struct {
	*metrics.Metrics
	counter *burn.Counter
}

// Burn implements forward.Metrics.
func (m requestMetrics) Burn(service, class, workspace string, good bool) {
	m.counter.Add(burn.Key{Service: service, Class: class, Workspace: workspace}, good)
}

func (e *entry) currentView() (*view.View, bool) { return e.state.view.Get() }

// outdated reports whether the entry lacks the newest configuration for longer than it should, and takes no callers
// meanwhile.
func (e *entry) outdated() bool { return e.state.lag.Overdue(e.state.clock.Now()) }

// ready reports whether the entry can serve callers. It is false while the entry is
// partitioned or outdated, so that the load balancer prefers other entries.
func (e *entry) ready() bool {
	v, ok := e.currentView()
	return ok && v.Estate != nil && len(v.Targets) > 0 && !e.forwarder.Stopping() && !e.outdated() && !e.reach.Partitioned(e.state.clock.Now())
}

// compose adds this entry's work and quarantine records to a heartbeat.
func (e *entry) compose(heartbeat *peerv1.Beat) {
	e.composeWork(heartbeat)
	e.composeStatements(heartbeat)
	e.quarantine.compose(heartbeat)
}

func (e *entry) composeWork(heartbeat *peerv1.Beat) {
	if e.state.large.Load() {
		e.parts.DropUpdates()
		return
	}
	for target, w := range e.ledger.Own(e.state.clock.Now()) {
		heartbeat.Loads = append(heartbeat.Loads, probe.EncodeLoad(target, w))
	}
}

// keepStatements keeps what targets have stated for as long as they are listed.
func (e *entry) keepStatements() {
	v, ok := e.currentView()
	if !ok {
		return
	}
	now := e.state.clock.Now()
	leaving := e.pushback.Leaving(now)
	if leaving == nil {
		return
	}
	listed := map[fleet.ID]bool{}
	for _, targets := range v.Targets {
		for i := range targets {
			if leaving[targets[i].ID] {
				listed[targets[i].ID] = true
			}
		}
	}
	e.pushback.KeepListed(func(id fleet.ID) bool { return listed[id] }, now)
}

const (
	// maxStatements is the most statements of targets in one heartbeat, statementSize the encoded
	// size of one, statementReserve the space that they leave free.
	maxStatements    = 16
	statementSize    = 24
	statementReserve = 200
)

// composeStatements adds what targets state about the load that they take.
func (e *entry) composeStatements(heartbeat *peerv1.Beat) {
	space := mesh.MaxDatagram - statementReserve - proto.Size(heartbeat)
	if n := min(maxStatements, space/statementSize); n > 0 {
		heartbeat.Statements = e.pushback.Announce(n, e.state.clock.Now())
	}
}

const (
	// announceDelay is how long changes are batched before they are announced to the other
	// entries. announceDelayPerEntry is added for each live entry, because the number of
	// announcements that an entry receives grows with the number of entries.
	announceDelay         = 8 * time.Millisecond
	announceDelayPerEntry = 2 * time.Millisecond
)

// announceWork schedules an announcement to the other entries of this entry's work at a
// target and of pending part updates.
func (e *entry) announceWork(target fleet.ID) {
	if e.state.large.Load() {
		return
	}
	e.state.loop.Post(func() {
		first := len(e.changedTargets) == 0
		e.changedTargets[target] = true
		if !first {
			return
		}
		delay := announceDelay + announceDelayPerEntry*time.Duration(e.state.mesh.LiveCount(true))
		e.state.loop.Go(func(ctx context.Context) {
			if sleep.For(ctx, delay) {
				e.state.loop.Post(e.announceChangedWork)
			}
		})
	})
}

func (e *entry) announceChangedWork() {
	now := e.state.clock.Now()
	e.state.mesh.BroadcastToEntries(mesh.FanOut, func(heartbeat *peerv1.Beat) {
		for target := range e.changedTargets {
			heartbeat.Loads = append(heartbeat.Loads, probe.EncodeLoad(target, e.ledger.OwnAt(target, now)))
		}
		heartbeat.Parts = e.takePartUpdates()
	})
	clear(e.changedTargets)
}

// takePartUpdates returns the part updates that have not been announced yet.
func (e *entry) takePartUpdates() []*peerv1.PartHeld {
	var updates []*peerv1.PartHeld
	for _, u := range e.parts.TakeUpdates(maxPartUpdates) {
		updates = append(updates, &peerv1.PartHeld{Part: uint32(u.Part), Target: uint32(u.Target), Done: u.Done})
	}
	return updates
}

func (e *entry) onHeartbeat(m *mesh.Member) {
	now := e.state.clock.Now()
	if !m.Entry {
		e.reach.HeartbeatReceived(now)
	}
	if m.Entry && e.limits != nil {
		e.limits.onHeartbeat(m)
	}
	if m.Entry {
		e.ledger.ApplyReport(m.Address, announcedWork(m.Heartbeat), m.Heartbeat.Partial, now)
		for _, p := range m.Heartbeat.Parts {
			e.parts.Apply(parts.Update{Part: parts.Key(p.Part), Target: fleet.ID(p.Target), Done: p.Done}, now)
		}
		e.quarantine.onHeartbeat(m)
	}
	e.pushback.Merge(m.Heartbeat.Statements, m.Name, m.Receipt)
	e.applyCacheReport(m, now)
	if e.state.applyEngineReport(m) {
		e.state.publishViewSoon()
	}
	e.forwarder.NotifyQueue()
}

// cacheReportTimeout is the silence after which a cache's next report is logged. Sidecars
// report each cache twice a second.
const cacheReportTimeout = 5 * time.Second

// applyCacheReport updates the part index with the cached parts that a sidecar reports.
func (e *entry) applyCacheReport(m *mesh.Member, now time.Time) {
	c := m.Heartbeat.Cache
	if c == nil || len(c.Parts) != len(c.Tokens) {
		return
	}
	if now.Sub(e.cacheReportedAt[fleet.ID(c.Cache)]) > cacheReportTimeout {
		e.state.logger.Info("cache_reported", "cache", c.Cache, "peer", m.Name, "parts", len(c.Parts))
		maps.DeleteFunc(e.cacheReportedAt, func(_ fleet.ID, at time.Time) bool { return now.Sub(at) > cacheReportTimeout })
	}
	e.cacheReportedAt[fleet.ID(c.Cache)] = now
	for i, part := range c.Parts {
		e.parts.RecordReport(fleet.ID(c.Cache), parts.Key(part), int(c.Tokens[i]), now)
	}
}

func announcedWork(heartbeat *peerv1.Beat) map[fleet.ID]ledger.Work {
	loads := make(map[fleet.ID]ledger.Work, len(heartbeat.Loads))
	for _, l := range heartbeat.Loads {
		loads[fleet.ID(l.Target)] = probe.DecodeLoad(l)
	}
	return loads
}

// readyHandler serves the load balancer's readiness check.
func (e *entry) readyHandler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
		ready := e.ready()
		e.logReadiness(ready)
		if ready {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	return mux
}

// logReadiness logs a change of the readiness, with what configuration the entry serves by.
func (e *entry) logReadiness(ready bool) {
	if e.wasReady.Swap(ready) == ready {
		return
	}
	v, ok := e.currentView()
	if !ok || v.Estate == nil {
		e.state.logger.Info("readiness", "ready", ready)
		return
	}
	e.state.logger.Info("readiness", "ready", ready, "estate", v.Estate.Version, "declared_at", v.Declared.At, "declared_source", v.Declared.Source, "declared_age", e.state.age(v.EstateCurrentAt), "list_age", e.state.age(v.TargetsCurrentAt))
}
