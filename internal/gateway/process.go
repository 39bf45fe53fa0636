package gateway

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/hostclock"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/origin"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/logging"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/settings"
)

const (
	// Heartbeat periods among entries, which announce their work at targets; between entries
	// and sidecars; and among sidecars.
	entryHeartbeatPeriod   = 100 * time.Millisecond
	mixedHeartbeatPeriod   = 400 * time.Millisecond
	sidecarHeartbeatPeriod = 500 * time.Millisecond
	// The same in large fleets, where heartbeats carry only liveness and the positions of
	// topic replicas.
	largeEntryHeartbeatPeriod = 400 * time.Millisecond
	largeHeartbeatPeriod      = time.Second
	// The number of receivers of a round of heartbeats in large fleets. Which entries are live and
	// which replicas are current is passed on from process to process.
	largeRoundToEntries  = 10
	largeRoundToSidecars = 5
	// maxControlBody is the maximum size of a body that the servers for peers, operators and the load
	// balancer read, controlReadTimeout the time in which a request must have arrived.
	maxControlBody     = 1 << 20
	controlReadTimeout = 10 * time.Second
	// controlConnDivisor divides the memory of the process into the part that the connections of one server
	// for operators or the load balancer may take. Peers are processes of the deployment, with a connection
	// or two each.
	controlConnDivisor = 64
)

// process is a running entry or sidecar.
type process struct {
	settings      *Settings
	platform      Platform
	logger        logr.Logger
	routineLogger logr.Logger
	// auditLogger is for lines that are not dropped.
	auditLogger logr.Logger
	log         *logging.Bounded
	metrics     *metrics.Metrics
	burn        *burn.Counter
	clock       *hostclock.Clock
	loop        *control.Loop
	state       *clusterState
	entry       *entry
	sidecar     *sidecar
	callers     *callerServer
	listener    net.Listener
	servers     []*http.Server
	serveErrors chan error
	// useSpeeds is set if placement uses the measured speeds of engines.
	useSpeeds atomic.Bool
	deputy    *deputy
	// origins shares which software versions began streams.
	origins *origin.Exchange
	// incarnation distinguishes this start of the process from others.
	incarnation uint64
}

// Process is a running entry or sidecar.
type Process struct{ *process }

// Start starts a process. It runs until Stop or Close.
func Start(s *Settings, platform Platform, out io.Writer) (*Process, error) {
	s.applyContracts(platform)
	log := logging.NewBounded(out, s.Name, s.LogLinesPerSecond)
	p := &process{
		settings: s, platform: platform, log: log, logger: logging.New(log, s.Name), routineLogger: logging.New(log.Routine(), s.Name), metrics: metrics.New(),
		clock: hostclock.New(), burn: burn.NewCounter(time.Now), incarnation: rand.Uint64(), serveErrors: make(chan error, 4),
	}
	p.auditLogger = logging.New(log.Audit(), s.Name).WithValues("incarnation", p.incarnation)
	platform.SetLogger(p.logger)
	p.useSpeeds.Store(s.Speeds.Enabled)
	p.loop = control.NewLoop(s.seed(), p.metrics.ControlTime)
	p.loop.ObserveWait((&controlWaits{metrics: p.metrics, logger: p.logger}).observe)
	p.origins = newOrigins(p)
	peers := mesh.NewClient(s.Bounds.Configuration.Duration)
	p.state = newClusterState(s, platform, p.loop, p.clock, p.logger, peers, p.metrics.StoreCall)
	p.state.auditLogger = logging.New(log.Audit(), s.Name)
	if s.Role == settings.RoleEntry {
		p.entry = newEntry(p)
	} else {
		p.sidecar = newSidecar(p)
	}
	if err := p.open(); err != nil {
		log.Close()
		return nil, err
	}
	p.registerGauges()
	p.registerQueueGauges()
	p.metrics.RegisterEngineSpeeds(p.engineSpeeds)
	go p.loop.Run()
	p.state.mesh.Start()
	p.state.start()
	if p.sidecar != nil {
		p.sidecar.start()
	}
	if p.entry != nil {
		p.loop.Go(p.entry.pool.Reap)
		if limits := p.entry.limits; limits != nil {
			go limits.limiter.Serve()
			p.loop.Go(limits.limiter.ReportUsage)
		}
		p.entry.quarantine.start()
		p.deputy = newDeputy(p)
		p.deputy.start()
	}
	p.loop.Go(func(ctx context.Context) { p.clock.Watch(ctx, p.onResume) })
	p.logger.Info("started", "role", string(s.Role), "incarnation", p.incarnation, "mesh", s.MeshListen, "store", s.Store.Address)
	return &Process{p}, nil
}

// registerGauges registers the gauges that are computed from the current view.
func (p *process) registerGauges() {
	age := func(timeOf func(*view.View) time.Time) func() float64 {
		return func() float64 {
			v, ok := p.state.view.Get()
			if !ok || timeOf(v).IsZero() {
				return math.NaN()
			}
			return p.clock.Now().Sub(timeOf(v)).Seconds()
		}
	}
	p.metrics.RegisterGauge("targets_age_seconds", "Age of the local replica of the platform's target list.", age(func(v *view.View) time.Time { return v.TargetsCurrentAt }))
	p.metrics.RegisterGauge("declarations_age_seconds", "Age of the local replica of operators' declarations.", age(func(v *view.View) time.Time { return v.EstateCurrentAt }))
	p.metrics.RegisterGauge("log_lines_dropped", "Log lines dropped since the process started.", func() float64 { return float64(p.log.Dropped()) })
	p.metrics.RegisterGauge("log_audit_lines_dropped", "Log lines on sends of requests that may run once that were dropped since the process started.", func() float64 { return float64(p.log.DroppedAudits()) })
	count := func(value *atomic.Uint64) func() float64 { return func() float64 { return float64(value.Load()) } }
	p.metrics.RegisterGauge("store_era", "Newest era of the platform's store that the process has heard of.", count(&p.state.eraMetric))
	p.metrics.RegisterGauge("records_restated", "Records that were written again after restores of the store.", count(&p.state.restatedMetric))
	p.metrics.RegisterGauge("records_retained", "Statements of earlier eras in force that the store lacks.", count(&p.state.retainedMetric))
	p.state.onFetch = p.metrics.PeerFetch
	p.state.onListingRejected = p.metrics.TargetEntryRefused
	p.state.onEstateChange = func(version int64) { p.metrics.ConfigVersion(uint64(version)) }
	if p.entry != nil {
		p.metrics.RegisterGauge("requests_in_flight", "Requests being served.", func() float64 { return float64(p.entry.forwarder.InFlight()) })
	}
}

func (p *process) onResume(pause time.Duration) {
	p.logger.Info("host_woke", "suspended_for", pause)
	p.state.declarations.RestartCall()
	p.state.targets.RestartCall()
}

// open binds the listen addresses and starts serving.
func (p *process) open() error {
	m, err := mesh.New(p.loop, mesh.Options{
		Self: &peerv1.Beat{
			Name: p.settings.Name, Incarnation: p.incarnation, Entry: p.entry != nil, Zone: p.settings.AvailabilityZone,
		},
		Listen: p.settings.meshAddress(), Seeds: p.settings.seedHosts(), Hosts: p.state.sidecarHosts,
		Compose: p.compose, OnHeartbeat: p.onHeartbeat, OnReceived: p.state.onHeartbeatReceived, OnOrigin: p.origins.Handle, Period: p.heartbeatPeriod, RoundSize: p.heartbeatRoundSize, Logger: p.logger, Now: p.clock.Now,
	})
	if err != nil {
		return err
	}
	p.state.mesh = m
	mux := http.NewServeMux()
	mux.Handle(mesh.NewServer(p.loop, []string{topicOperators, topicTargets, topicQuarantine}, p.state.topicPage).Handler())
	if err := p.serve(p.settings.MeshListen, mux, nil); err != nil {
		return err
	}
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", promhttp.HandlerFor(p.metrics.Registry, promhttp.HandlerOpts{}))
	if err := p.serve(p.settings.MetricsListen, metricsMux, p.controlBudget()); err != nil {
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
	if err := p.serve(p.settings.ReadyListen, p.entry.readyHandler(p.platform.ReadyPath()), p.controlBudget()); err != nil {
		return err
	}
	return p.serveCallers()
}

// controlBudget returns the memory for the connections of a server for operators or the load balancer.
func (p *process) controlBudget() *buffers.Budget {
	return buffers.NewBudget(p.settings.MemoryMB << 20 / controlConnDivisor)
}

// serve serves peers, operators or the load balancer. Connections beyond the memory for them are closed; nil
// for no bound.
func (p *process) serve(address string, handler http.Handler, memory *buffers.Budget) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	server := &http.Server{Handler: http.MaxBytesHandler(handler, maxControlBody), ReadHeaderTimeout: headerTimeout, ReadTimeout: controlReadTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	p.servers = append(p.servers, server)
	listener = callers.NewConns(memory, nil).Guard(server, listener, false)
	go func() { p.serveErrors <- server.Serve(listener) }()
	return nil
}

func (p *process) serveCallers() error {
	listener, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	p.listener = listener
	conns := callers.NewConns(p.entry.forwarder.Connections, func(reason string) {
		p.metrics.ConnectionShed(reason)
		p.routineLogger.Info("caller_connection_shed", "reason", reason)
	})
	p.callers = newCallerServer(p.entry.forwarder, listener.Addr(), conns, p.entry.outdated, p.logger)
	p.state.onViewChange = func() {
		p.entry.forwarder.RecheckCrashes()
		p.entry.refreshOrigins(p.origins)
		p.entry.keepStatements()
		p.entry.forwarder.NotifyQueue()
		if p.entry.limits != nil {
			p.entry.limits.refresh()
		}
		if p.state.estate != nil {
			p.callers.apply(p.state.estate.Limits)
		}
	}
	go func() { p.serveErrors <- p.callers.serve(listener) }()
	return nil
}

func (p *process) compose(heartbeat *peerv1.Beat) {
	p.state.compose(heartbeat)
	if p.entry != nil {
		p.entry.compose(heartbeat)
	} else {
		p.sidecar.compose(heartbeat)
	}
}

func (p *process) onHeartbeat(m *mesh.Member) {
	p.state.onHeartbeat(m)
	if p.entry != nil {
		p.entry.onHeartbeat(m)
		p.entry.onOriginMember(p.origins, m)
	} else {
		p.sidecar.onHeartbeat(m)
	}
}

func (p *process) heartbeatPeriod(entries bool) time.Duration {
	switch {
	case p.state.large.Load() && entries && p.entry != nil:
		return largeEntryHeartbeatPeriod
	case p.state.large.Load():
		return largeHeartbeatPeriod
	case entries && p.entry != nil:
		return entryHeartbeatPeriod
	case !entries && p.entry == nil:
		return sidecarHeartbeatPeriod
	default:
		return mixedHeartbeatPeriod
	}
}

func (p *process) heartbeatRoundSize(entries bool) int {
	switch {
	case !p.state.large.Load():
		return mesh.FanOut
	case entries:
		return largeRoundToEntries
	default:
		return largeRoundToSidecars
	}
}

// ServeErrors returns the channel that receives the error of an HTTP server that stopped.
func (p *process) ServeErrors() <-chan error { return p.serveErrors }

// Close stops the process immediately.
func (p *process) Close() {
	if p.callers != nil {
		_ = p.listener.Close()
		p.callers.close()
	}
	for _, s := range p.servers {
		_ = s.Close()
	}
	p.state.mesh.Close()
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
