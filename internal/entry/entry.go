// Package entry implements the entry role, which serves callers' requests.
//
// An entry keeps no state that another process needs: it can be killed or restarted at any
// time, and serves again as soon as it has read the configuration from the log or from a peer.
//
// If a stream from a target breaks, the entry resumes it after the last frame received: at the
// same sidecar, at its successor, or, if the engine is gone, by running the rest of the
// completion at another target. Whether an at-most-once call may run is decided by the claims
// that sidecars record, never by the entry.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/blackboard"
	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/burn"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/probe"
	"github.com/toucanwell/toucanwell/internal/retry"
	"github.com/toucanwell/toucanwell/internal/routing"
	"github.com/toucanwell/toucanwell/internal/settings"
)

const (
	hostListTimeout = 2 * time.Second
	viewPeriod      = 200 * time.Millisecond
)

// Board is the blackboard of an entry.
type Board struct {
	// Config is written by the configuration follower.
	Config blackboard.Fact[configlog.Snapshot]
	// Hosts is written by refreshHosts.
	Hosts blackboard.Fact[[]external.Host]
	// View is written by buildView.
	View blackboard.Fact[View]
}

// Entry serves callers' requests. Use New to create one.
type Entry struct {
	settings *settings.Settings
	logger   logr.Logger
	metrics  *metrics.Metrics
	hosts    external.Hosts
	board    *Board
	loop     *control.Loop
	follower *configlog.Follower
	health   *targetHealth
	budget   *retry.Budget
	burn     *burn.Counter
	bodies   *buffers.Budget
	// connections is the memory for callers' connections, which small bodies share.
	connections *buffers.Budget
	peers       *http.Client
	prober      *probe.Client
	location    routing.Location
	// clients maps sidecar addresses to their peerv1.GateClient.
	clients         sync.Map
	inFlight        atomic.Int64
	handler         http.Handler
	tasks           sync.WaitGroup
	refreshingHosts bool
}

// Deps are the dependencies of an entry.
type Deps struct {
	Log external.Log
	// Hosts may be nil.
	Hosts   external.Hosts
	Peers   *http.Client
	Prober  *probe.Client
	Logger  logr.Logger
	Metrics *metrics.Metrics
	// Connections is the memory for callers' connections; nil for no bound.
	Connections *buffers.Budget
}

// New returns an entry. Call Start to run it.
func New(s *settings.Settings, d Deps) (*Entry, error) {
	e := &Entry{
		settings: s, logger: d.Logger, metrics: d.Metrics, hosts: d.Hosts,
		board: &Board{}, loop: control.NewLoop(s.Seed, d.Metrics.ControlTime), health: newTargetHealth(time.Now),
		connections: d.Connections, budget: retry.NewBudget(), burn: burn.NewCounter(time.Now), bodies: buffers.NewBudget(s.MemoryMB << 20 * bodyShareNumerator / bodyShareDivisor), peers: d.Peers, prober: d.Prober,
		location: routing.Location{Zone: s.AvailabilityZone, Region: s.Region},
	}
	e.follower = configlog.NewFollower(e.loop, d.Log, &e.board.Config, configlog.FollowerOptions{
		Address: s.AdminListen, Peers: s.Peers, LogPolls: s.Timing.LogPolls, SyncPeriod: s.Timing.SyncPeriod.Duration,
		Retention: s.Platform.LogRetention.Duration, Client: d.Peers, Logger: d.Logger, LogError: d.Metrics.LogError,
		OnChange: e.configChanged,
	})
	handler, err := e.newHandler()
	if err != nil {
		return nil, err
	}
	e.handler = handler
	return e, nil
}

// Start runs the control loop and the controllers.
func (e *Entry) Start() {
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		e.loop.Run()
	}()
	e.follower.Start()
	e.loop.Every(func() time.Duration { return viewPeriod }, e.buildView)
	if e.hosts != nil {
		e.loop.Every(func() time.Duration { return e.settings.Timing.HostsPeriod.Duration }, e.refreshHosts)
	}
}

// Handler returns the handler of the callers' API.
func (e *Entry) Handler() http.Handler { return e.handler }

// PeerHandler returns the path and the handler of the peer API. It must be served at the
// administration address only, which callers cannot reach.
func (e *Entry) PeerHandler() (string, http.Handler) {
	return peerv1.NewPeerHandler(configlog.NewPeerServer(&e.board.Config, e.follower.Hint))
}

// Close stops the control loop and waits for it.
func (e *Entry) Close() {
	e.loop.Stop()
	e.tasks.Wait()
}

// Board returns the blackboard, for the administration API.
func (e *Entry) Board() *Board { return e.board }

// Burn returns the counter of requests that met or missed their objective.
func (e *Entry) Burn() *burn.Counter { return e.burn }

// Ready reports whether the entry has a configuration to route by.
func (e *Entry) Ready() bool {
	_, ok := e.board.View.Get()
	return ok
}

// InFlight returns the number of requests being served.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

func (e *Entry) configChanged(s configlog.Snapshot) {
	e.metrics.ConfigVersion(s.Version)
	e.buildView()
}

func (e *Entry) refreshHosts() {
	if e.refreshingHosts {
		return
	}
	e.refreshingHosts = true
	control.Do(e.loop, hostListTimeout, e.hosts.List, func(hosts []external.Host, err error) {
		e.refreshingHosts = false
		if err != nil {
			e.logger.Info("hosts_read_failed", "error", err.Error())
			return
		}
		previous, _ := e.board.Hosts.Get()
		e.board.Hosts.Post(keepDeparted(previous, hosts, e.hasTarget), time.Now())
		e.buildView()
	})
}

// hasTarget reports whether the current configuration has a target of that name. It returns
// true while there is no configuration.
func (e *Entry) hasTarget(name string) bool {
	s, ok := e.board.Config.Get()
	if !ok {
		return true
	}
	service, _ := s.Config.FindTarget(name)
	return service != nil
}

// client returns the cached client of a sidecar.
func (e *Entry) client(address string) peerv1.GateClient {
	if c, ok := e.clients.Load(address); ok {
		return c.(peerv1.GateClient)
	}
	c, _ := e.clients.LoadOrStore(address, peerv1.NewGateClient(e.peers, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)))
	return c.(peerv1.GateClient)
}

// current returns the current configuration and the view built from it.
func (e *Entry) current() (*config.Config, View, bool) {
	view, ok := e.board.View.Get()
	return view.Config, view, ok
}

// detachedContext returns a context for calls that must outlive the caller's request.
func detachedContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}
