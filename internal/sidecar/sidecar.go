// Package sidecar implements the sidecar process. It runs beside a target and
// forwards all requests to it.
//
// # Failure handling
//
// A new engine incarnation clears the prefix index. Runs on a crashed engine end
// with a refusal, and the entry retries them elsewhere. Streams have sequence
// numbers and are resumed after a broken connection on either side. A restarted
// sidecar resumes its runs from the engine. At-most-once calls are claimed on
// the platform's log before they start (package once). A stopping sidecar
// refuses new requests and completes the running ones.
//
// Request handlers use the gate, the registry of runs and the facts on the
// blackboard. Controllers on the control thread follow the configuration, the
// engine's cache events and its status.
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
	"github.com/toucanwell/toucanwell/internal/buffers"
	"github.com/toucanwell/toucanwell/internal/configlog"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/metrics"
	"github.com/toucanwell/toucanwell/internal/once"
	"github.com/toucanwell/toucanwell/internal/settings"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	reapPeriod      = time.Second
	keyExpiryPeriod = time.Minute
	statusPeriod    = 500 * time.Millisecond
	// loaderIdlePeriod and loaderQueuedPeriod are the times between steps of the
	// loader without and with a ticket. It also steps on each engine status.
	loaderIdlePeriod   = time.Second
	loaderQueuedPeriod = 100 * time.Millisecond
	ioTimeout          = 2 * time.Second
	drainPollPeriod    = 20 * time.Millisecond
)

// Board is the blackboard of a sidecar.
type Board struct {
	// Config is owned by the configuration follower.
	Config blackboard.Fact[configlog.Snapshot]
	// Engine is owned by the engine watcher.
	Engine blackboard.Fact[external.EngineStatus]
}

// Sidecar is a sidecar process.
type Sidecar struct {
	settings *settings.Settings
	logger   logr.Logger
	metrics  *metrics.Metrics
	log      external.Log
	engine   external.Engine
	plain    external.Plain
	gate     *Gate
	runs     *runs
	// messages is the memory for the messages of entries, responses that for what the target answers.
	messages, responses *buffers.Budget
	board               *Board
	loop                *control.Loop
	follower            *configlog.Follower
	watcher             *engineWatcher
	loader              *loader

	ledgerMu sync.Mutex
	ledgers  map[string]*once.Ledger

	ctx   context.Context
	stop  context.CancelFunc
	tasks sync.WaitGroup
	calls sync.WaitGroup
}

// Deps are the dependencies of a sidecar.
type Deps struct {
	Log    external.Log
	Engine external.Engine
	Plain  external.Plain
	// Peers is the client for calls to other processes.
	Peers   *http.Client
	Logger  logr.Logger
	Metrics *metrics.Metrics
}

// New returns a sidecar. Start starts it.
func New(s *settings.Settings, d Deps) *Sidecar {
	ctx, stop := context.WithCancel(context.Background())
	start := time.Now()
	limits := admission.Limits{MaxRunning: s.Target.MaxRunning, MaxPrefilling: s.Target.MaxPrefilling, MaxQueued: s.Target.MaxQueued}
	clock := func() time.Duration { return time.Since(start) }
	c := &Sidecar{
		settings: s, logger: d.Logger, metrics: d.Metrics, log: d.Log, engine: d.Engine, plain: d.Plain,
		gate:     NewGate(limits, s.Cache.MaxBlocks, s.Target.PrefillTokensPerSecond, clock),
		runs:     newRuns(),
		messages: buffers.NewBudget(s.MemoryMB << 20 * messageShareNumerator / messageShareDivisor), responses: buffers.NewBudget(s.MemoryMB << 20 / responseShareDivisor),
		board:   &Board{},
		loop:    control.NewLoop(s.Seed, d.Metrics.ControlTime),
		ledgers: map[string]*once.Ledger{},
		ctx:     ctx, stop: stop,
	}
	c.responses.SetReclaim(c.runs.reclaim)
	c.follower = configlog.NewFollower(c.loop, d.Log, &c.board.Config, configlog.FollowerOptions{
		Address: s.Listen, Peers: s.Peers, LogPolls: s.Timing.LogPolls, SyncPeriod: s.Timing.SyncPeriod.Duration,
		Retention: s.Platform.LogRetention.Duration, Client: d.Peers, Logger: d.Logger, LogError: d.Metrics.LogError,
		OnChange: c.configChanged,
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
	s.runEvery(reapPeriod, func() {
		s.runs.reap(time.Now(), s.settings.Timing.ResumeGrace.Duration)
		s.reportCounts()
	})
	s.runEvery(keyExpiryPeriod, s.expireKeys)
	s.runEvery(s.settings.Timing.EventsPeriod.Duration, s.watcher.readEvents)
	s.runEvery(statusPeriod, s.watcher.readStatus)
	s.loop.Every(s.loader.period, s.loader.step)
}

// configChanged handles a new configuration. It runs on the control thread.
func (s *Sidecar) configChanged(snapshot configlog.Snapshot) {
	s.metrics.ConfigVersion(snapshot.Version)
	s.watcher.readStatus()
}

func (s *Sidecar) runEvery(period time.Duration, event func()) {
	s.loop.Every(func() time.Duration { return period }, event)
}

// Handler serves the Gate and Peer services.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	// Frames are a few bytes each; compressing them costs more than it saves.
	mux.Handle(peerv1.NewGateHandler(s, connect.WithCompression("gzip", nil, nil)))
	mux.Handle(peerv1.NewPeerHandler(configlog.NewPeerServer(&s.board.Config, s.follower.Hint)))
	return s.boundMessages(mux)
}

// Drain refuses new requests and waits until the running ones have completed or
// the context ends.
func (s *Sidecar) Drain(ctx context.Context) {
	s.gate.Drain()
	s.logger.Info("draining", "runs", s.runs.active())
	for !s.idle() {
		if !sleep.For(ctx, drainPollPeriod) {
			return
		}
	}
	s.calls.Wait()
}

func (s *Sidecar) idle() bool {
	counts := s.gate.Counts()
	return s.runs.active() == 0 && counts.Running == 0 && counts.Waiting == 0
}

// Close stops the sidecar and cancels its remaining runs.
func (s *Sidecar) Close() {
	s.stop()
	s.loop.Stop()
	s.tasks.Wait()
}

// Board returns the blackboard, for the administration API.
func (s *Sidecar) Board() *Board { return s.board }

// Ready reports whether the sidecar has a configuration and, if its target is an
// engine, the engine's status.
func (s *Sidecar) Ready() bool {
	if _, refusal := s.assignment(); refusal != nil {
		return false
	}
	return !s.hasEngine() || s.board.Engine.Entry() != nil
}

// InFlight returns the number of queued and running requests.
func (s *Sidecar) InFlight() int {
	counts := s.gate.Counts()
	return counts.Running + counts.Waiting
}

// observeVersion triggers the follower if a caller has a newer configuration.
func (s *Sidecar) observeVersion(version uint64) {
	if current, _ := s.board.Config.Get(); version > current.Version {
		s.follower.Trigger()
	}
}

func (s *Sidecar) reportCounts() {
	counts := s.gate.Counts()
	s.metrics.Queue(counts.Waiting, counts.Running)
	s.metrics.Index(counts.Blocks, counts.Gaps)
}

func (s *Sidecar) expireKeys() {
	a, refusal := s.assignment()
	if refusal != nil {
		return
	}
	s.ledgerMu.Lock()
	defer s.ledgerMu.Unlock()
	for _, l := range s.ledgers {
		l.DropExpired(onceTerms(a.service))
	}
}
