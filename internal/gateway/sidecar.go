package gateway

import (
	"context"
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/lease"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/tracker"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	tokenTimeout = 2 * time.Second
	tokenRetry   = 500 * time.Millisecond
	// tokenSpread is the time after the start within which a sidecar fetches its fencing token if it
	// has not needed it yet. It can then request loads during a store outage, and the sidecars of
	// a fleet that starts don't all write to the store at once.
	tokenSpread = 10 * time.Minute
	// resumeSettleTime is how long after a suspension of the host no orders are given, until
	// the cluster state is up to date again.
	resumeSettleTime = 600 * time.Millisecond
	// unknownAge is the age of a report that was never received.
	unknownAge = time.Hour
)

// sidecar is the role on an engine's host: it monitors the engine, reports its state to the
// entries and orders its weight loads.
type sidecar struct {
	process    *process
	state      *clusterState
	address    netip.AddrPort
	controller *weights.Controller
	// incarnation, report and phase are the engine's state as last reported by the controller.
	incarnation fleet.Incarnation
	report      weights.Report
	phase       weights.Phase
	known       bool
	// token is the fencing token of this process, fetched for its first load request, and for the first
	// one in each era of the store.
	token         lease.Token
	hasToken      bool
	fetchingToken bool
	caches        *cacheFollowers
	// statements keeps what the engine states about the load that it takes.
	statements *pushback.Registry
	// tracker keeps the engine's state for probes.
	tracker *tracker.Tracker
	probes  *probe.Server
}

func newSidecar(p *process) *sidecar {
	s := &sidecar{process: p, state: p.state, address: netip.MustParseAddrPort(p.settings.Engine), statements: newPushback(p)}
	s.controller = weights.NewController(p.loop, p.platform.Engine(s.address), weights.Environment{
		Wanted: s.wantedWeights, HealthPath: s.healthPath, Engines: s.engineViews, PartialView: s.state.large.Load, OnChange: s.engineChanged,
		Token:    s.fencingToken,
		UpToDate: func() bool { p.clock.Check(); return p.clock.SinceResume() > resumeSettleTime },
	}, weights.Options{
		Holder: p.settings.Name, MaxStaleness: p.settings.Bounds.MaxStaleness.Duration, Logger: p.logger, Now: p.clock.Now,
		OnOutcome: func(o weights.Outcome) { p.metrics.WeightsOrder(o.String()) },
	})
	p.state.onViewChange = s.controller.Trigger
	s.caches = newCacheFollowers(p)
	s.tracker = tracker.New(p.clock.Now)
	s.tracker.EstimateSpeed(p.settings.Speeds.Enabled)
	return s
}

// wantedWeights returns the weights that are wanted, by model. It returns none while the engine may be
// leaving, since a load would invalidate the responses of its last requests.
func (s *sidecar) wantedWeights() map[string]weights.History {
	if s.statements.Leaving(s.process.clock.Now())[s.engineID()] {
		return nil
	}
	report := fleet.Report{Incarnation: s.incarnation, Address: s.address, StartedAfter: s.controller.StartedAfter()}
	if state := s.state; !state.directory.Active(state.isDeclared, &report, state.syncState(state.clock.Now()), state.clock.Now()) {
		return nil
	}
	return s.state.wantedWeights
}

// open starts the probe server if probes are enabled.
func (s *sidecar) open() error {
	address, ok := s.process.settings.probeAddress()
	if !ok {
		return nil
	}
	var err error
	s.probes, err = probe.NewServer(address, s.tracker)
	return err
}

func (s *sidecar) close() {
	if s.probes != nil {
		s.probes.Close()
	}
}

func (s *sidecar) start() {
	s.controller.Start()
	s.caches.start()
	s.process.loop.Go(func(ctx context.Context) {
		if sleep.For(ctx, time.Duration(s.process.loop.Intn(int(tokenSpread)))) {
			s.process.loop.Post(func() { s.fencingToken() })
		}
	})
}

// fencingToken returns the number of the fencing token of this process. It begins to fetch one if there is
// none of the present era. One of an earlier era may be lower than a token that was given out before the
// store was restored, and of which nobody knows.
func (s *sidecar) fencingToken() (uint64, bool) {
	if s.hasToken && s.token.At.Era >= s.state.era {
		return s.token.Number(), true
	}
	if !s.fetchingToken {
		s.fetchingToken = true
		s.fetchToken()
	}
	return 0, false
}

// fetchToken fetches a fencing token and retries until it succeeds.
func (s *sidecar) fetchToken() {
	control.Do(s.process.loop, tokenTimeout, func(ctx context.Context) (lease.Token, error) {
		return s.process.platform.NextToken(ctx, s.process.settings.Name)
	}, func(token lease.Token, err error) {
		if err == nil {
			s.token, s.hasToken, s.fetchingToken = token, true, false
			s.process.logger.Info("token_taken", "token", token.Number(), "at", token.At.String())
			return
		}
		s.process.logger.Info("token_failed", "error", err.Error())
		s.process.loop.Go(func(ctx context.Context) {
			select {
			case <-time.After(s.process.loop.Jitter(tokenRetry)):
				s.process.loop.Post(s.fetchToken)
			case <-ctx.Done():
			}
		})
	})
}

func (s *sidecar) healthPath() string {
	if s.state.estate == nil {
		return ""
	}
	service := s.state.estate.Service(s.engineService())
	if service == nil {
		return ""
	}
	return service.HealthPath
}

// engineViews returns the state of all engines of the own engine's service.
func (s *sidecar) engineViews(model string) []weights.EngineView {
	now := s.process.clock.Now()
	var all []weights.EngineView
	for _, t := range s.state.targetsOf(s.engineService()) {
		v := weights.EngineView{Incarnation: t.Incarnation, Version: t.Weights[model], Age: unknownAge}
		if report, ok := s.state.engineReports[t.Incarnation]; ok {
			v.Version, v.Age = report.Weights[model], now.Sub(report.AsOf)
			v.Phase, v.PhaseAge = report.Phase, now.Sub(report.PhaseSince)
		}
		if t.Incarnation == s.incarnation {
			v.Version, v.Phase, v.Age = s.report.Weights[model], s.phase, 0
		}
		all = append(all, v)
	}
	return all
}

func (s *sidecar) engineService() string {
	if t, ok := s.state.directory.ByAddress(s.state.isDeclared, s.address); ok {
		return t.Service
	}
	return s.process.settings.Service
}

// engineChanged stores the engine's latest state. It broadcasts a heartbeat if the
// incarnation, the phase or the weights have changed.
func (s *sidecar) engineChanged(incarnation fleet.Incarnation, report weights.Report, phase weights.Phase) {
	changed := !s.known || phase != s.phase || incarnation != s.incarnation
	for model, version := range report.Weights {
		if s.report.Weights[model] != version {
			changed = true
		}
	}
	s.caches.followEngine(s.address, incarnation)
	s.incarnation, s.report, s.phase, s.known = incarnation, report, phase, true
	if report.Leaving && incarnation.Instance != "" {
		s.statements.StateLeaving(s.engineID(), incarnation, pushback.Origin{}, s.process.clock.Now())
	}
	s.tracker.SetState(tracker.State{
		Incarnation: incarnation, Weights: report.Weights, Phase: phase, ReportedAt: report.AsOf,
	})
	if changed && !s.state.large.Load() {
		s.state.mesh.Broadcast()
	}
}

// engineID returns the ID of the engine's incarnation.
func (s *sidecar) engineID() fleet.ID { return fleet.IDOf(s.incarnation.String()) }

// compose adds the engine's state to a heartbeat.
func (s *sidecar) compose(heartbeat *peerv1.Beat) {
	heartbeat.Statements = s.statements.Announce(maxStatements, s.process.clock.Now())
	if !s.known || s.incarnation.Instance == "" && s.phase != weights.Unresponsive {
		return
	}
	e := &peerv1.EngineState{
		Instance: s.incarnation.Instance, Born: s.incarnation.StartedMs, Service: s.engineService(), Address: s.address.String(), Phase: peerv1.EnginePhase_ENGINE_PHASE_SERVING,
		Running: uint32(s.report.Running), Queued: uint32(s.report.Queued),
		MemoryUsed: uint32(s.report.MemoryUsed), MemoryTotal: uint32(s.report.MemoryTotal),
	}
	switch s.phase {
	case weights.Loading:
		e.Phase = peerv1.EnginePhase_ENGINE_PHASE_LOADING
	case weights.Draining:
		e.Phase = peerv1.EnginePhase_ENGINE_PHASE_EMPTYING
	case weights.Unresponsive:
		e.Phase = peerv1.EnginePhase_ENGINE_PHASE_SILENT
	}
	if after := s.controller.StartedAfter(); !after.IsZero() {
		e.BeganWithinMs = uint64(max(1, s.process.clock.Now().Sub(after).Milliseconds()))
	}
	for model, version := range s.report.Weights {
		e.Weights = append(e.Weights, &peerv1.ModelWeights{Model: model, Version: version})
	}
	heartbeat.Engine = e
}

func (s *sidecar) onHeartbeat(m *mesh.Member) {
	s.caches.onHeartbeat(m)
	s.mergeStatements(m)
	if s.state.applyEngineReport(m) {
		s.controller.Trigger()
	}
}

// mergeStatements applies what entries have learned from the engine's responses.
func (s *sidecar) mergeStatements(m *mesh.Member) {
	id := s.engineID()
	for _, statement := range m.Heartbeat.Statements {
		if fleet.ID(statement.Target) == id {
			s.statements.Merge([]*peerv1.TargetStatement{statement}, m.Name, m.Receipt)
		}
	}
}
