package configlog

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	"github.com/google/uuid"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/blackboard"
	"github.com/toucanwell/toucanwell/internal/config"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	readTimeout = 5 * time.Second
	syncTimeout = 2 * time.Second
	// hintPeers is how many peers a process contacts about a new version. Each of
	// them does the same, so a few rounds reach every process.
	hintPeers = 4
	// minPollPeriod is the minimum time between polls by one process.
	minPollPeriod = 500 * time.Millisecond
	// startPeers is how many peers a starting process contacts.
	startPeers = 3
	// startMaxWait is how long a starting process waits for a peer before it reads
	// the log from the start.
	startMaxWait = 300 * time.Millisecond
	// minTriggerInterval is the minimum time between two triggers.
	minTriggerInterval = 200 * time.Millisecond
)

// Follower is the controller that keeps a process's configuration up to date. It
// owns the fact that it posts.
//
// It learns of new versions in three ways: it polls the log, at a rate limited
// for the whole fleet; peers send hints about new versions; and it regularly
// syncs with a random peer, in case hints were missed.
type Follower struct {
	loop    *control.Loop
	log     external.Log
	options FollowerOptions
	machine *StateMachine
	fact    *blackboard.Fact[Snapshot]
	reading bool
	// logReadAllowed is set once a peer has responded or startMaxWait has passed.
	logReadAllowed bool
	hintPending    bool
	// republishing is set from the append of a republish until it is read back.
	republishing    bool
	republishJitter float64
	triggered       atomic.Bool
}

// FollowerOptions configure a follower.
type FollowerOptions struct {
	// Address is the address of this process's Peer service.
	Address string
	// Peers are the peer addresses from the settings.
	Peers []string
	// LogPolls is the fleet's total number of log polls per second.
	LogPolls float64
	// SyncPeriod is the time between two syncs with a random peer.
	SyncPeriod time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// Client is the client for calls to peers.
	Client *http.Client
	Logger logr.Logger
	// LogError counts failed calls of the log.
	LogError func(call string)
	// OnChange is called on the control thread for each new version.
	OnChange func(Snapshot)
}

// NewFollower returns a follower that posts to fact.
func NewFollower(loop *control.Loop, log external.Log, fact *blackboard.Fact[Snapshot], options FollowerOptions) *Follower {
	const jitterSteps = 1000
	return &Follower{
		loop: loop, log: log, fact: fact, options: options, machine: NewStateMachine(),
		republishJitter: float64(loop.Intn(jitterSteps)) / jitterSteps,
	}
}

// Start syncs with peers, reads the log and starts the timers. Peers are asked
// first, so that a restart of many processes does not make all of them read the
// whole stream.
func (f *Follower) Start() {
	f.loop.Post(func() {
		if len(f.options.Peers) == 0 {
			f.allowLogRead()
		}
		for range startPeers {
			f.syncRandomPeer()
		}
	})
	f.loop.Go(func(ctx context.Context) {
		if sleep.For(ctx, startMaxWait) {
			f.loop.Post(f.allowLogRead)
		}
	})
	f.loop.Every(f.pollPeriod, f.poll)
	f.loop.Every(func() time.Duration { return f.options.SyncPeriod }, f.syncRandomPeer)
}

// pollPeriod returns the time between polls. It grows with the fleet, so that the
// total poll rate stays constant.
func (f *Follower) pollPeriod() time.Duration {
	processes := 1 + len(f.options.Peers)
	if s, ok := f.fact.Get(); ok {
		for i := range s.Config.Services {
			processes += len(s.Config.Services[i].Targets)
		}
	}
	period := time.Duration(float64(processes) / f.options.LogPolls * float64(time.Second))
	return max(period, minPollPeriod)
}

// allowLogRead starts reading the log if it has not started yet.
func (f *Follower) allowLogRead() {
	if f.logReadAllowed {
		return
	}
	f.logReadAllowed = true
	f.poll()
}

func (f *Follower) poll() {
	if f.reading || !f.logReadAllowed {
		return
	}
	f.reading = true
	from := f.machine.NextOffset()
	control.Do(f.loop, readTimeout, func(ctx context.Context) (*external.Page, error) {
		return f.log.Read(ctx, Stream, from)
	}, f.handlePage)
}

func (f *Follower) handlePage(page *external.Page, err error) {
	f.reading = false
	if err != nil {
		f.options.LogError("read")
		f.options.Logger.Info("config_read_failed", "error", err.Error())
		return
	}
	f.machine.Apply(page)
	for _, v := range f.machine.TakeVerdicts() {
		f.options.Logger.Info("config_publish_seen", "version", v.Offset, "accepted", v.Accepted, "in_force", v.InForce)
	}
	f.postIfNewer()
	f.republishIfOld()
	if f.machine.NextOffset() < page.Next {
		f.poll()
	}
}

// postIfNewer posts the current version if it is newer than the posted one.
func (f *Follower) postIfNewer() {
	s := f.machine.Snapshot()
	old, _ := f.fact.Get()
	if s.Version <= old.Version {
		return
	}
	f.fact.Post(s, time.Now())
	f.options.Logger.Info("config_in_force", "version", s.Version, "as_of", s.AsOf)
	f.options.OnChange(s)
	for range hintPeers {
		f.syncRandomPeer()
	}
}

// syncRandomPeer syncs with a random peer.
func (f *Follower) syncRandomPeer() {
	peer, ok := f.randomPeer()
	if !ok {
		return
	}
	f.SyncWith(peer)
}

// SyncWith sends our version to a peer and adopts the peer's configuration if it
// is newer. It runs on the control thread.
func (f *Follower) SyncWith(peer string) {
	current, _ := f.fact.Get()
	request := &peerv1.SyncRequest{ConfigVersion: current.Version, Address: f.options.Address}
	client := peerv1.NewPeerClient(f.options.Client, "http://"+peer)
	control.Do(f.loop, syncTimeout, func(ctx context.Context) (*peerv1.SyncResponse, error) {
		resp, err := client.Sync(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	}, func(resp *peerv1.SyncResponse, err error) {
		if err != nil {
			return
		}
		f.adopt(resp)
	})
}

func (f *Follower) adopt(resp *peerv1.SyncResponse) {
	current, _ := f.fact.Get()
	if resp.Text == "" || resp.ConfigVersion <= current.Version {
		return
	}
	c, err := config.Parse("configuration of a peer", resp.Text)
	if err != nil {
		f.options.Logger.Info("config_peer_refused", "version", resp.ConfigVersion, "error", err.Error())
		return
	}
	f.machine.Adopt(Snapshot{Version: resp.ConfigVersion, AsOf: resp.AsOf, Text: resp.Text, Config: c, NewestCopyMs: resp.NewestCopyMs})
	f.postIfNewer()
	f.allowLogRead()
}

// Hint syncs with a peer if its version is newer. It is safe for concurrent use.
func (f *Follower) Hint(version uint64, peer string) {
	if peer == "" {
		return
	}
	if current, _ := f.fact.Get(); version <= current.Version {
		return
	}
	f.loop.Post(func() { f.syncWithHinter(peer) })
}

// syncWithHinter syncs with a peer that sent a hint. Concurrent hints cause only one
// sync.
func (f *Follower) syncWithHinter(peer string) {
	const hintInterval = 50 * time.Millisecond
	if f.hintPending {
		return
	}
	f.hintPending = true
	f.SyncWith(peer)
	f.loop.Go(func(ctx context.Context) {
		sleep.For(ctx, hintInterval)
		f.loop.Post(func() { f.hintPending = false })
	})
}

func (f *Follower) randomPeer() (string, bool) {
	peers := f.options.Peers
	if s, ok := f.fact.Get(); ok {
		peers = withTargetAddresses(peers, s.Config)
	}
	if len(peers) == 0 {
		return "", false
	}
	peer := peers[f.loop.Intn(len(peers))]
	return peer, peer != f.options.Address
}

func withTargetAddresses(peers []string, c *config.Config) []string {
	all := append([]string(nil), peers...)
	for i := range c.Services {
		for _, t := range c.Services[i].Targets {
			all = append(all, t.Address)
		}
	}
	return all
}

// republishIfOld republishes the configuration before its newest copy in the log
// expires. Processes use different ages, so that usually only one of them
// republishes.
func (f *Follower) republishIfOld() {
	s := f.machine.Snapshot()
	if s.Version == 0 || f.machine.Undecided() {
		return
	}
	age := time.Since(time.UnixMilli(s.NewestCopyMs))
	if age < republishAge(f.options.Retention, f.republishJitter) {
		f.republishing = false
		return
	}
	if f.republishing {
		return
	}
	data, err := Encode(Record{Type: TypeRepublish, Nonce: uuid.NewString(), Version: s.Version, AsOf: s.AsOf, Text: s.Text})
	if err != nil {
		return
	}
	f.republishing = true
	control.Do(f.loop, readTimeout, func(ctx context.Context) (uint64, error) {
		return f.log.Append(ctx, Stream, data)
	}, func(offset uint64, err error) {
		if err != nil {
			f.republishing = false
			f.options.LogError("append")
			return
		}
		f.options.Logger.Info("config_carried", "version", s.Version, "offset", offset)
	})
}

// republishAge returns the age at which to republish: between half and three
// quarters of the retention.
func republishAge(retention time.Duration, seed float64) time.Duration {
	return time.Duration((0.5 + seed/4) * float64(retention))
}

// PeerServer implements the Peer service.
type PeerServer struct {
	fact *blackboard.Fact[Snapshot]
	hint func(version uint64, peer string)
}

// NewPeerServer returns a server for the fact. It calls hint with the version of
// each peer that syncs.
func NewPeerServer(fact *blackboard.Fact[Snapshot], hint func(version uint64, peer string)) *PeerServer {
	return &PeerServer{fact: fact, hint: hint}
}

// Sync implements the Peer service.
func (p *PeerServer) Sync(_ context.Context, req *connect.Request[peerv1.SyncRequest]) (*connect.Response[peerv1.SyncResponse], error) {
	s, ok := p.fact.Get()
	resp := &peerv1.SyncResponse{ConfigVersion: s.Version, AsOf: s.AsOf, NewestCopyMs: s.NewestCopyMs}
	if ok && s.Version > req.Msg.ConfigVersion {
		resp.Text = s.Text
	}
	p.hint(req.Msg.ConfigVersion, req.Msg.Address)
	return connect.NewResponse(resp), nil
}

// Trigger makes the follower poll the log and sync with a peer soon. It is safe
// for concurrent use.
func (f *Follower) Trigger() {
	if !f.triggered.CompareAndSwap(false, true) {
		return
	}
	f.loop.Post(func() {
		f.poll()
		f.syncRandomPeer()
	})
	f.loop.Go(func(ctx context.Context) {
		sleep.For(ctx, minTriggerInterval)
		f.triggered.Store(false)
	})
}
