// Package entry is the role that takes callers' requests.
//
// # What an entry guards against
//
// An entry holds nothing that another cannot do without: no index, no session,
// no record of calls. It is killed or restarted at any time, and a new one
// serves as soon as it has the configuration, from the log or from any peer.
//
// A stream that breaks between target and entry is continued at the frame
// after the last: at the same sidecar, at its successor, or, when the engine is
// gone, by running the rest elsewhere. The caller sees one answer without a
// gap, a repeat or a foreign frame. A call that may not be repeated is never
// run again by the entry; the record of claims behind the sidecars decides.
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
	hostsTimeout = 2 * time.Second
	viewPeriod   = 200 * time.Millisecond
)

// Board is an entry's blackboard.
type Board struct {
	// Config is owned by the configuration follower.
	Config blackboard.Fact[configlog.Snapshot]
	// Hosts is owned by the host watcher.
	Hosts blackboard.Fact[[]external.Host]
	// View is owned by the view builder.
	View blackboard.Fact[View]
}

// Entry is one process of the role. Make it with New.
type Entry struct {
	settings *settings.Settings
	logger   logr.Logger
	metrics  *metrics.Metrics
	hosts    external.Hosts
	board    *Board
	loop     *control.Loop
	follower *configlog.Follower
	health   *health
	budget   *retry.Budget
	burn     *burn.Counter
	peers    *http.Client
	prober   *probe.Client
	place    routing.Location
	clients  sync.Map // address to peerv1.GateClient
	inFlight atomic.Int64
	handler  http.Handler
	tasks    sync.WaitGroup
	reading  bool
}

// Deps are what an entry needs from outside.
type Deps struct {
	Log external.Log
	// Hosts may be nil.
	Hosts   external.Hosts
	Peers   *http.Client
	Prober  *probe.Client
	Logger  logr.Logger
	Metrics *metrics.Metrics
}

// New returns an entry that has not started.
func New(s *settings.Settings, d Deps) (*Entry, error) {
	e := &Entry{
		settings: s, logger: d.Logger, metrics: d.Metrics, hosts: d.Hosts,
		board: &Board{}, loop: control.NewLoop(s.Seed, d.Metrics.Control), health: newHealth(time.Now),
		budget: retry.NewBudget(), burn: burn.NewCounter(time.Now), peers: d.Peers, prober: d.Prober,
		place: routing.Location{Zone: s.AvailabilityZone, Region: s.Region},
	}
	e.follower = configlog.NewFollower(e.loop, d.Log, &e.board.Config, configlog.FollowerOptions{
		Address: s.AdminListen, Peers: s.Peers, LogPolls: s.Timing.LogPolls, SyncPeriod: s.Timing.SyncPeriod.Duration,
		Retention: s.Platform.LogRetention.Duration, Client: d.Peers, Logger: d.Logger, LogError: d.Metrics.LogError,
		InForce: e.inForce,
	})
	handler, err := e.newHandler()
	if err != nil {
		return nil, err
	}
	e.handler = handler
	return e, nil
}

// Start runs the control thread and the controllers.
func (e *Entry) Start() {
	e.tasks.Add(1)
	go func() {
		defer e.tasks.Done()
		e.loop.Run()
	}()
	e.follower.Start()
	e.loop.Every(func() time.Duration { return viewPeriod }, e.buildView)
	if e.hosts != nil {
		e.loop.Every(func() time.Duration { return e.settings.Timing.HostsPeriod.Duration }, e.readHosts)
	}
}

// Handler serves callers.
func (e *Entry) Handler() http.Handler { return e.handler }

// PeerHandler serves other processes; it belongs on the administration
// address, away from callers.
func (e *Entry) PeerHandler() (string, http.Handler) {
	return peerv1.NewPeerHandler(configlog.NewPeerServer(&e.board.Config, e.follower.Hint))
}

// Close ends the entry.
func (e *Entry) Close() {
	e.loop.Stop()
	e.tasks.Wait()
}

// Board returns the blackboard, for the administration API.
func (e *Entry) Board() *Board { return e.board }

// Burn returns the objective counts.
func (e *Entry) Burn() *burn.Counter { return e.burn }

// Ready reports whether the entry has a configuration to route by.
func (e *Entry) Ready() bool {
	_, ok := e.board.View.Get()
	return ok
}

// InFlight is the number of requests being served.
func (e *Entry) InFlight() int { return int(e.inFlight.Load()) }

func (e *Entry) inForce(s configlog.Snapshot) {
	e.metrics.ConfigVersion(s.Version)
	e.buildView()
}

func (e *Entry) readHosts() {
	if e.reading {
		return
	}
	e.reading = true
	control.Do(e.loop, hostsTimeout, e.hosts.List, func(hosts []external.Host, err error) {
		e.reading = false
		if err != nil {
			e.logger.Info("hosts_read_failed", "error", err.Error())
			return
		}
		before, _ := e.board.Hosts.Get()
		e.board.Hosts.Post(withDeparted(before, hosts, e.targetNamed), time.Now())
		e.buildView()
	})
}

// targetNamed reports whether the configuration in force has a target of a name.
func (e *Entry) targetNamed(name string) bool {
	s, ok := e.board.Config.Get()
	if !ok {
		return true
	}
	service, _ := s.Config.TargetNamed(name)
	return service != nil
}

// client returns the client of a sidecar.
func (e *Entry) client(address string) peerv1.GateClient {
	if c, ok := e.clients.Load(address); ok {
		return c.(peerv1.GateClient)
	}
	c, _ := e.clients.LoadOrStore(address, peerv1.NewGateClient(e.peers, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil)))
	return c.(peerv1.GateClient)
}

// current returns the configuration and the view built from it.
func (e *Entry) current() (*config.Config, View, bool) {
	view, ok := e.board.View.Get()
	return view.Config, view, ok
}

// background returns a context for what must outlive a caller.
func background(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}
