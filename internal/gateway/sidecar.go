package gateway

import (
	"context"
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
	"github.com/toucanwell/toucanwell/internal/gateway/tracker"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

const (
	tokenTimeout = 2 * time.Second
	tokenRetry   = 500 * time.Millisecond
	// freshAfter is how long a host must have run since it was suspended before
	// its sidecar gives orders: its beliefs are renewed by then.
	freshAfter = 600 * time.Millisecond
	// never is the age of what was not heard.
	never = time.Hour
)

// sidecar is the role beside an engine: it watches the engine, tells the
// entries, and gives the engine its orders.
type sidecar struct {
	process *process
	beliefs *beliefs
	address netip.AddrPort
	orders  *weights.Controller
	// life, report and phase are the engine's as the controller said last.
	life   fleet.Incarnation
	report weights.Report
	phase  weights.Phase
	known  bool
	token  uint64
	caches *caches
	// tracker knows the engine for the entries, which ask it through probes; nil where
	// probes are off.
	tracker *tracker.Tracker
	probes  *probe.Server
}

func newSidecar(p *process) *sidecar {
	s := &sidecar{process: p, beliefs: p.beliefs, address: netip.MustParseAddrPort(p.settings.Engine)}
	s.orders = weights.NewController(p.loop, p.platform.Engine(s.address), weights.Environment{
		Wanted: s.wanted, HealthPath: s.healthPath, Engines: s.engines, PartialView: s.beliefs.large.Load, OnChange: s.changed,
		Token:    func() (uint64, bool) { return s.token, s.token > 0 },
		UpToDate: func() bool { p.clock.Check(); return p.clock.SinceResume() > freshAfter },
	}, weights.Options{
		Holder: p.settings.Name, MaxStaleness: p.settings.Bounds.MaxStaleness.Duration, Logger: p.logger, Now: p.clock.Now,
		OnOutcome: func(o weights.Outcome) { p.metrics.WeightsOrder(o.String()) },
	})
	p.beliefs.changed = s.orders.Trigger
	s.caches = newCaches(p)
	s.tracker = tracker.New(p.clock.Now)
	return s
}

// wanted are the weights that the engine is to have: none while it may be leaving. A load
// would change the weights under its last runs, whose answers are worth nothing then.
func (s *sidecar) wanted() map[string]weights.History {
	life := fleet.Report{Incarnation: s.life, Address: s.address, StartedAfter: s.orders.StartedAfter()}
	if b := s.beliefs; !b.directory.Active(b.declared, &life, b.following(b.clock.Now()), b.clock.Now()) {
		return nil
	}
	return s.beliefs.wanted
}

// open begins to answer probes.
func (s *sidecar) open() error {
	address, ok := s.process.settings.probe()
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
	s.fetchToken()
	s.orders.Start()
	s.caches.start()
}

// fetchToken gets this life's fencing token, once the store gives one.
func (s *sidecar) fetchToken() {
	control.Do(s.process.loop, tokenTimeout, func(ctx context.Context) (uint64, error) {
		return s.process.platform.NextToken(ctx, s.process.settings.Name)
	}, func(token uint64, err error) {
		if err == nil {
			s.token = token
			s.process.logger.Info("token_taken", "token", token)
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
	if s.beliefs.estate == nil {
		return ""
	}
	service := s.beliefs.estate.Service(s.service())
	if service == nil {
		return ""
	}
	return service.HealthPath
}

// engines returns all engines of the own engine's service.
func (s *sidecar) engines(model string) []weights.EngineView {
	now := s.process.clock.Now()
	var all []weights.EngineView
	for _, t := range s.beliefs.listed(s.service()) {
		v := weights.EngineView{Incarnation: t.Incarnation, Version: t.Weights[model], Age: never}
		if word, ok := s.beliefs.words[t.Incarnation]; ok {
			v.Version, v.Age = word.Weights[model], now.Sub(word.ReceivedAt)
			v.Phase, v.PhaseAge = word.Phase, now.Sub(word.PhaseSince)
		}
		if t.Incarnation == s.life {
			v.Version, v.Phase, v.Age = s.report.Weights[model], s.phase, 0
		}
		all = append(all, v)
	}
	return all
}

func (s *sidecar) service() string {
	if t, ok := s.beliefs.directory.ByAddress(s.beliefs.declared, s.address); ok {
		return t.Service
	}
	return s.process.settings.Service
}

// changed takes in the engine's newest report, and tells the others at once of
// what they must not learn late.
func (s *sidecar) changed(life fleet.Incarnation, report weights.Report, phase weights.Phase) {
	told := !s.known || phase != s.phase || life != s.life
	for model, version := range report.Weights {
		if s.report.Weights[model] != version {
			told = true
		}
	}
	s.caches.followEngine(s.address, life)
	s.life, s.report, s.phase, s.known = life, report, phase, true
	s.tracker.SetState(tracker.State{
		Incarnation: life, Weights: report.Weights, Phase: phase, ReportedAt: report.ReceivedAt,
	})
	if told && !s.beliefs.large.Load() {
		s.beliefs.mesh.Broadcast()
	}
}

// compose adds the engine's state to a heartbeat.
func (s *sidecar) compose(beat *peerv1.Beat) {
	if !s.known || s.life.Instance == "" && s.phase != weights.Unresponsive {
		return
	}
	e := &peerv1.EngineState{
		Instance: s.life.Instance, Born: s.life.StartedMs, Service: s.service(), Address: s.address.String(), Phase: peerv1.EnginePhase_ENGINE_PHASE_SERVING,
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
	if after := s.orders.StartedAfter(); !after.IsZero() {
		e.BeganWithinMs = uint64(max(1, s.process.clock.Now().Sub(after).Milliseconds()))
	}
	for model, version := range s.report.Weights {
		e.Weights = append(e.Weights, &peerv1.ModelWeights{Model: model, Version: version})
	}
	beat.Engine = e
}

func (s *sidecar) heard(m *mesh.Member) {
	s.caches.heard(m)
	if s.beliefs.hearEngine(m) {
		s.orders.Trigger()
	}
}
