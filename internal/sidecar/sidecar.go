// Package sidecar is the role that stands beside a target, as the one way to
// it.
//
// # What a sidecar guards against
//
// An engine that crashes comes back empty: its new incarnation empties the
// prefix index, and runs that were on it end with a refusal that lets the
// entry run them elsewhere. A connection that breaks, on either side of the
// sidecar, loses nothing: frames are numbered and kept until read, and the
// engine's stream is continued at the next number. A sidecar that is killed
// beside a living engine is replaced by one that takes its runs over from the
// engine. Calls that may not be repeated are claimed on the platform's log
// before they start (package once). A sidecar that stops refuses new work and
// finishes what it has.
//
// Traffic threads use the gate, the registry of runs and immutable facts on
// the blackboard; controllers on the control thread follow the configuration,
// the engine's events and its state.
package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/admission"
	"github.com/toucanwell/toucanwell/internal/blackboard"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/once"
	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	reapPeriod   = time.Second
	forgetPeriod = time.Minute
	loadPeriod   = 500 * time.Millisecond
	// loaderIdle and loaderBusy are the loader's periods without and with a
	// ticket in line; it also steps with each word of the engine.
	loaderIdle = time.Second
	loaderBusy = 100 * time.Millisecond
	ioTimeout  = 2 * time.Second
	drainPoll  = 20 * time.Millisecond
)

// Board is a sidecar's blackboard.
type Board struct {
	// Config is owned by the configuration follower.
	Config blackboard.Fact[configlog.Snapshot]
	// Engine is owned by the engine watcher.
	Engine blackboard.Fact[external.EngineStatus]
}

// Sidecar is one process of the role. Make it with New.
type Sidecar struct {
	settings *settings.Settings
	logger   logr.Logger
	metrics  *metrics.Metrics
	log      external.Log
	engine   external.Engine
	plain    external.Plain
	gate     *Gate
	runs     *runs
	board    *Board
	loop     *control.Loop
	follower *configlog.Follower
	watcher  *engineWatcher
	loader   *loader

	ledgerMu sync.Mutex
	ledgers  map[string]*once.Ledger

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
	calls sync.WaitGroup
}

// Deps are what a sidecar needs from outside.
type Deps struct {
	Log    external.Log
	Engine external.Engine
	Plain  external.Plain
	// Peers calls other processes.
	Peers   *http.Client
	Logger  logr.Logger
	Metrics *metrics.Metrics
}

// New returns a sidecar that has not started.
func New(s *settings.Settings, d Deps) *Sidecar {
	ctx, stop := context.WithCancel(context.Background())
	start := time.Now()
	limits := admission.Limits{MaxRunning: s.Target.MaxRunning, MaxPrefilling: s.Target.MaxPrefilling, MaxQueued: s.Target.MaxQueued}
	clock := func() time.Duration { return time.Since(start) }
	c := &Sidecar{
		settings: s, logger: d.Logger, metrics: d.Metrics, log: d.Log, engine: d.Engine, plain: d.Plain,
		gate:    NewGate(limits, s.Cache.MaxBlocks, s.Target.PrefillTokensPerSecond, clock),
		runs:    newRuns(),
		board:   &Board{},
		loop:    control.NewLoop(s.Seed, d.Metrics.ControlTime),
		ledgers: map[string]*once.Ledger{},
		ctx:     ctx, stop: stop,
	}
	c.follower = configlog.NewFollower(c.loop, d.Log, &c.board.Config, configlog.FollowerOptions{
		Address: s.Listen, Peers: s.Peers, LogPolls: s.Timing.LogPolls, SyncPeriod: s.Timing.SyncPeriod.Duration,
		Retention: s.Platform.LogRetention.Duration, Client: d.Peers, Logger: d.Logger, LogError: d.Metrics.LogError,
		OnChange: c.inForce,
	})
	c.watcher = &engineWatcher{sidecar: c}
	c.loader = newLoader(c)
	return c
}

// Start runs the control thread and the controllers.
func (s *Sidecar) Start() {
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		s.loop.Run()
	}()
	s.follower.Start()
	s.every(reapPeriod, func() {
		s.runs.reap(time.Now(), s.settings.Timing.ResumeGrace.Duration)
		s.showCounts()
	})
	s.every(forgetPeriod, s.forgetKeys)
	s.every(s.settings.Timing.EventsPeriod.Duration, s.watcher.readEvents)
	s.every(loadPeriod, s.watcher.readLoad)
	s.loop.Every(s.loader.period, s.loader.step)
}

// inForce is told of each new configuration, on the control thread.
func (s *Sidecar) inForce(snapshot configlog.Snapshot) {
	s.metrics.ConfigVersion(snapshot.Version)
	s.watcher.readLoad()
}

func (s *Sidecar) every(period time.Duration, event func()) {
	s.loop.Every(func() time.Duration { return period }, event)
}

// Handler serves the Gate and Peer services.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	// Frames are a few bytes each; compressing them costs more than it saves.
	mux.Handle(peerv1.NewGateHandler(s, connect.WithCompression("gzip", nil, nil)))
	mux.Handle(peerv1.NewPeerHandler(configlog.NewPeerServer(&s.board.Config, s.follower.Hint)))
	return mux
}

// Drain refuses new work and waits until all that runs has ended and was read,
// or the context ends.
func (s *Sidecar) Drain(ctx context.Context) {
	s.gate.Drain()
	s.logger.Info("draining", "runs", s.runs.unread())
	for !s.idle() {
		if !sleep.For(ctx, drainPoll) {
			return
		}
	}
	s.calls.Wait()
}

func (s *Sidecar) idle() bool {
	counts := s.gate.Counts()
	return s.runs.unread() == 0 && counts.Running == 0 && counts.Waiting == 0
}

// Close ends the sidecar. Runs that are left are cancelled.
func (s *Sidecar) Close() {
	s.stop()
	s.loop.Stop()
	s.tasks.Wait()
}

// Board returns the blackboard, for the administration API.
func (s *Sidecar) Board() *Board { return s.board }

// Ready reports whether the sidecar has a configuration and, beside an engine,
// knows the engine's state.
func (s *Sidecar) Ready() bool {
	if _, refusal := s.own(); refusal != nil {
		return false
	}
	return !s.hasEngine() || s.board.Engine.Entry() != nil
}

// InFlight is the number of requests at the gate and the target.
func (s *Sidecar) InFlight() int {
	counts := s.gate.Counts()
	return counts.Running + counts.Waiting
}

// noteVersion reacts to a caller with a newer configuration: the log has it.
func (s *Sidecar) noteVersion(version uint64) {
	if current, _ := s.board.Config.Get(); version > current.Version {
		s.follower.Trigger()
	}
}

func (s *Sidecar) showCounts() {
	counts := s.gate.Counts()
	s.metrics.Queue(counts.Waiting, counts.Running)
	s.metrics.Index(counts.Blocks, counts.Gaps)
}

func (s *Sidecar) forgetKeys() {
	o, refusal := s.own()
	if refusal != nil {
		return
	}
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	for _, l := range s.ledgers {
		l.DropExpired(termsOf(o.service))
	}
}
