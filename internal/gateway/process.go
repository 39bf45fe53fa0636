package gateway

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/hostclock"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/logging"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/settings"
)

const (
	// Periods of heartbeats: among entries, which tell each other their work at
	// targets; between entries and sidecars; among sidecars.
	entriesPeriod  = 100 * time.Millisecond
	mixedPeriod    = 400 * time.Millisecond
	sidecarsPeriod = 500 * time.Millisecond
	// The same in large fleets, in which heartbeats carry no work: who lives, and how
	// new the copies of topics are.
	largeEntriesPeriod = 400 * time.Millisecond
	largePeriod        = time.Second
	peerIdle           = 5 * time.Second
)

// process is one process of the system.
type process struct {
	settings *Settings
	platform Platform
	logger   logr.Logger
	ordinary logr.Logger
	log      *logging.Bounded
	metrics  *metrics.Metrics
	burn     *burn.Counter
	clock    *hostclock.Clock
	loop     *control.Loop
	beliefs  *beliefs
	entry    *entry
	sidecar  *sidecar
	callers  *callers
	listener net.Listener
	others   []*http.Server
	failed   chan error
	deputy   *deputy
	// incarnation tells this life of the process from others.
	incarnation uint64
}

// Process is a running process.
type Process struct{ *process }

// Start runs a process until Stop or Close.
func Start(s *Settings, platform Platform, out io.Writer) (*Process, error) {
	log := logging.NewBounded(out, s.Name, s.LogLinesPerSecond)
	p := &process{
		settings: s, platform: platform, log: log, logger: logging.New(log, s.Name), ordinary: logging.New(log.Routine(), s.Name), metrics: metrics.New(),
		clock: hostclock.New(), burn: burn.NewCounter(time.Now), incarnation: rand.Uint64(), failed: make(chan error, 4),
	}
	p.loop = control.NewLoop(s.seed(), p.metrics.ControlTime)
	peers := &http.Client{Transport: &http.Transport{DialContext: upstream.NewDialer().DialContext, IdleConnTimeout: peerIdle, DisableCompression: true}}
	p.beliefs = newBeliefs(s, platform, p.loop, p.clock, p.logger, peers, p.metrics.StoreCall)
	if s.Role == settings.RoleEntry {
		p.entry = newEntry(p)
	} else {
		p.sidecar = newSidecar(p)
	}
	if err := p.open(); err != nil {
		log.Close()
		return nil, err
	}
	p.expose()
	go p.loop.Run()
	p.beliefs.mesh.Start()
	p.beliefs.start()
	if p.sidecar != nil {
		p.sidecar.start()
	}
	if p.entry != nil {
		p.loop.Go(p.entry.pool.Reap)
		if limits := p.entry.limits; limits != nil {
			go limits.limiter.Serve()
			p.loop.Go(limits.limiter.ReportUsage)
		}
		p.entry.suspects.start()
		p.deputy = newDeputy(p)
		p.deputy.start()
	}
	p.loop.Go(func(ctx context.Context) { p.clock.Watch(ctx, p.woke) })
	p.logger.Info("started", "role", string(s.Role), "mesh", s.MeshListen, "store", s.Store.Address)
	return &Process{p}, nil
}

// expose registers the gauges that are read off the newest view.
func (p *process) expose() {
	age := func(at func(*view.View) time.Time) func() float64 {
		return func() float64 {
			v, ok := p.beliefs.view.Get()
			if !ok || at(v).IsZero() {
				return math.NaN()
			}
			return p.clock.Now().Sub(at(v)).Seconds()
		}
	}
	p.metrics.RegisterGauge("targets_age_seconds", "Age of the copy of the platform's list of targets.", age(func(v *view.View) time.Time { return v.TargetsCurrentAt }))
	p.metrics.RegisterGauge("declarations_age_seconds", "Age of the copy of what operators declare.", age(func(v *view.View) time.Time { return v.EstateCurrentAt }))
	p.metrics.RegisterGauge("log_lines_dropped", "Log lines dropped since the start.", func() float64 { return float64(p.log.Dropped()) })
	p.beliefs.entryRefused = p.metrics.TargetEntryRefused
	p.beliefs.inForce = func(version int64) { p.metrics.ConfigVersion(uint64(version)) }
	if p.entry != nil {
		p.metrics.RegisterGauge("requests_in_flight", "Requests being served.", func() float64 { return float64(p.entry.forwarder.InFlight()) })
	}
}

func (p *process) woke(pause time.Duration) {
	p.logger.Info("host_woke", "suspended_for", pause)
	p.beliefs.operators.RestartCall()
	p.beliefs.targets.RestartCall()
}

// open binds the addresses and serves them.
func (p *process) open() error {
	m, err := mesh.New(p.loop, mesh.Options{
		Self: &peerv1.Beat{
			Name: p.settings.Name, Incarnation: p.incarnation, Entry: p.entry != nil, Zone: p.settings.AvailabilityZone,
		},
		Listen: p.settings.mesh(), Seeds: p.settings.seedHosts(), Hosts: p.beliefs.hosts,
		Compose: p.compose, OnHeartbeat: p.heard, Period: p.period, Logger: p.logger, Now: p.clock.Now,
	})
	if err != nil {
		return err
	}
	p.beliefs.mesh = m
	mux := http.NewServeMux()
	mux.Handle(mesh.NewServer(p.loop, p.beliefs.answer).Handler())
	if err := p.serve(p.settings.MeshListen, mux); err != nil {
		return err
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{}))
	if err := p.serve(p.settings.MetricsListen, metricsMux); err != nil {
		return err
	}
	if err := p.serveAdmin(); err != nil {
		return err
	}
	if p.entry == nil {
		return p.sidecar.open()
	}
	if err := p.entry.open(p); err != nil {
		return err
	}
	if err := p.serve(p.settings.ReadyListen, p.entry.readyHandler(p.platform.ReadyPath())); err != nil {
		return err
	}
	return p.serveCallers()
}

func (p *process) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	p.others = append(p.others, server)
	go func() { p.failed <- server.Serve(listener) }()
	return nil
}

func (p *process) serveCallers() error {
	listener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.listener = listener
	p.callers = newCallers(p.entry.forwarder, listener.Addr(), p.logger)
	p.beliefs.changed = func() {
		p.entry.forwarder.RecheckCrashes()
		if p.entry.limits != nil {
			p.entry.limits.refresh()
		}
		if p.beliefs.estate != nil {
			p.callers.apply(p.beliefs.estate.Limits)
		}
	}
	go func() { p.failed <- p.callers.serve(listener) }()
	return nil
}

func (p *process) compose(beat *peerv1.Beat) {
	p.beliefs.compose(beat)
	if p.entry != nil {
		p.entry.compose(beat)
	} else {
		p.sidecar.compose(beat)
	}
}

func (p *process) heard(m *mesh.Member) {
	p.beliefs.heard(m)
	if p.entry != nil {
		p.entry.heard(m)
	} else {
		p.sidecar.heard(m)
	}
}

func (p *process) period(entries bool) time.Duration {
	switch {
	case p.beliefs.large.Load() && entries && p.entry != nil:
		return largeEntriesPeriod
	case p.beliefs.large.Load():
		return largePeriod
	case entries && p.entry != nil:
		return entriesPeriod
	case !entries && p.entry == nil:
		return sidecarsPeriod
	default:
		return mixedPeriod
	}
}

// Adopt takes over what may change in the settings of a running process: the
// seeds. Everything else keeps the value that it started with, which is said.
func (p *process) Reload(next *Settings) {
	fixed := *next
	fixed.Seeds = p.settings.Seeds
	same := reflect.DeepEqual(&fixed, p.settings)
	p.loop.Post(func() { p.beliefs.mesh.SetSeeds(next.seedHosts()) })
	p.logger.Info("settings_reloaded", "seeds", next.Seeds, "others_unchanged", same)
}

// Refused tells that changed settings were not taken over.
func (p *process) ReloadFailed(err error) { p.logger.Error(err, "settings_refused") }

// Failed yields the error of a listener that ended by itself.
func (p *process) ServeErrors() <-chan error { return p.failed }

// Close ends the process at once.
func (p *process) Close() {
	if p.callers != nil {
		_ = p.listener.Close()
		p.callers.close()
	}
	for _, s := range p.others {
		_ = s.Close()
	}
	p.beliefs.mesh.Close()
	if p.sidecar != nil {
		p.sidecar.close()
	} else {
		p.entry.close()
	}
	p.loop.Stop()
	p.platform.Close()
	p.logger.Info("stopped")
	p.log.Close()
}
