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
	// hintPeers is how many peers hear at once of a new version. Each of them
	// tells as many, so that a few rounds reach every process.
	hintPeers = 4
	// minPoll is the shortest time between two polls by one process.
	minPoll = 500 * time.Millisecond
	// startPeers is how many peers a starting process asks.
	startPeers = 3
	// startPatience is how long a starting process waits for a peer before it
	// reads the log from its start.
	startPatience = 300 * time.Millisecond
	// nudgeSpacing is the shortest time between two nudges.
	nudgeSpacing = 200 * time.Millisecond
)

// Follower keeps the configuration in force of one process. It is a
// controller: it owns the fact that it posts.
//
// It hears of a new version in three ways: it polls the log, at a rate that
// the whole fleet shares; a peer hints at it; and it asks one random peer
// regularly. The first makes the system learn it, the second spreads it in a
// few round trips, the third reaches who missed the second.
type Follower struct {
	loop    *control.Loop
	log     external.Log
	options FollowerOptions
	folder  *StateMachine
	fact    *blackboard.Fact[Snapshot]
	reading bool
	// mayRead is set when a peer has answered, or none has in time.
	mayRead bool
	pulling bool
	// carrying is set while a carry is on its way: until it is read back, the
	// newest copy still looks old.
	carrying  bool
	carrySeed float64
	nudged    atomic.Bool
}

// FollowerOptions are a follower's surroundings.
type FollowerOptions struct {
	// Address is where this process serves Peer.
	Address string
	// Peers are addresses known from the settings.
	Peers []string
	// LogPolls is the fleet's polls of the log a second.
	LogPolls float64
	// SyncPeriod is the time between two questions to peers.
	SyncPeriod time.Duration
	// Retention of the log.
	Retention time.Duration
	// Client calls peers.
	Client *http.Client
	Logger logr.Logger
	// LogError is told of failed calls of the log.
	LogError func(call string)
	// InForce is told on the control thread of each new version.
	OnChange func(Snapshot)
}

// NewFollower returns a follower that posts to fact.
func NewFollower(loop *control.Loop, log external.Log, fact *blackboard.Fact[Snapshot], options FollowerOptions) *Follower {
	const spreadSteps = 1000
	return &Follower{
		loop: loop, log: log, fact: fact, options: options, folder: NewStateMachine(),
		carrySeed: float64(loop.Intn(spreadSteps)) / spreadSteps,
	}
}

// Start asks peers, reads the log, and sets the timers. Peers come first: what
// one of them says covers the stream up to now, and spares the log a reader of
// all that it keeps, which at a restart of many processes would be most of them.
func (f *Follower) Start() {
	f.loop.Post(func() {
		if len(f.options.Peers) == 0 {
			f.readFromStart()
		}
		for range startPeers {
			f.sync()
		}
	})
	f.loop.Go(func(ctx context.Context) {
		if sleep.For(ctx, startPatience) {
			f.loop.Post(f.readFromStart)
		}
	})
	f.loop.Every(f.pollPeriod, f.poll)
	f.loop.Every(func() time.Duration { return f.options.SyncPeriod }, f.sync)
}

// pollPeriod is this process's part of the fleet's polls.
func (f *Follower) pollPeriod() time.Duration {
	processes := 1 + len(f.options.Peers)
	if s, ok := f.fact.Get(); ok {
		for i := range s.Config.Services {
			processes += len(s.Config.Services[i].Targets)
		}
	}
	period := time.Duration(float64(processes) / f.options.LogPolls * float64(time.Second))
	return max(period, minPoll)
}

// readFromStart lets the log be read though no peer has answered.
func (f *Follower) readFromStart() {
	if f.mayRead {
		return
	}
	f.mayRead = true
	f.poll()
}

func (f *Follower) poll() {
	if f.reading || !f.mayRead {
		return
	}
	f.reading = true
	from := f.folder.NextOffset()
	control.Do(f.loop, readTimeout, func(ctx context.Context) (*external.Page, error) {
		return f.log.Read(ctx, Stream, from)
	}, f.pageRead)
}

func (f *Follower) pageRead(page *external.Page, err error) {
	f.reading = false
	if err != nil {
		f.options.LogError("read")
		f.options.Logger.Info("config_read_failed", "error", err.Error())
		return
	}
	f.folder.Apply(page)
	for _, v := range f.folder.TakeVerdicts() {
		f.options.Logger.Info("config_publish_seen", "version", v.Offset, "accepted", v.Accepted, "in_force", v.InForce)
	}
	f.post()
	f.carryIfOld()
	if f.folder.NextOffset() < page.Next {
		f.poll()
	}
}

// post puts the folder's version in force when it is newer.
func (f *Follower) post() {
	s := f.folder.Snapshot()
	old, _ := f.fact.Get()
	if s.Version <= old.Version {
		return
	}
	f.fact.Post(s, time.Now())
	f.options.Logger.Info("config_in_force", "version", s.Version, "as_of", s.AsOf)
	f.options.OnChange(s)
	for range hintPeers {
		f.sync()
	}
}

// sync asks a random peer for its version and tells it ours.
func (f *Follower) sync() {
	peer, ok := f.randomPeer()
	if !ok {
		return
	}
	f.SyncWith(peer)
}

// Ask fetches the configuration of a peer if it is newer. It runs on the
// control thread.
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
	f.folder.Adopt(Snapshot{Version: resp.ConfigVersion, AsOf: resp.AsOf, Text: resp.Text, Config: c, NewestCopyMs: resp.NewestCopyMs})
	f.post()
	f.readFromStart()
}

// Hint is told, from any thread, that a peer has a version.
func (f *Follower) Hint(version uint64, peer string) {
	if peer == "" {
		return
	}
	if current, _ := f.fact.Get(); version <= current.Version {
		return
	}
	f.loop.Post(func() { f.pull(peer) })
}

// pull asks a hinting peer back; many hints at once make one question.
func (f *Follower) pull(peer string) {
	const hintSpacing = 50 * time.Millisecond
	if f.pulling {
		return
	}
	f.pulling = true
	f.SyncWith(peer)
	f.loop.Go(func(ctx context.Context) {
		sleep.For(ctx, hintSpacing)
		f.loop.Post(func() { f.pulling = false })
	})
}

func (f *Follower) randomPeer() (string, bool) {
	peers := f.options.Peers
	if s, ok := f.fact.Get(); ok {
		peers = appendTargets(peers, s.Config)
	}
	if len(peers) == 0 {
		return "", false
	}
	peer := peers[f.loop.Intn(len(peers))]
	return peer, peer != f.options.Address
}

func appendTargets(peers []string, c *config.Config) []string {
	all := append([]string(nil), peers...)
	for i := range c.Services {
		for _, t := range c.Services[i].Targets {
			all = append(all, t.Address)
		}
	}
	return all
}

// carryIfOld appends the configuration again when its newest copy in the log
// nears its end. Each process waits a part of its own, so that the first one
// to append spares the others.
func (f *Follower) carryIfOld() {
	s := f.folder.Snapshot()
	if s.Version == 0 || f.folder.Undecided() {
		return
	}
	age := time.Since(time.UnixMilli(s.NewestCopyMs))
	if age < carryAge(f.options.Retention, f.carrySeed) {
		f.carrying = false
		return
	}
	if f.carrying {
		return
	}
	data, err := Encode(Record{Type: TypeRepublish, Nonce: uuid.NewString(), Version: s.Version, AsOf: s.AsOf, Text: s.Text})
	if err != nil {
		return
	}
	f.carrying = true
	control.Do(f.loop, readTimeout, func(ctx context.Context) (uint64, error) {
		return f.log.Append(ctx, Stream, data)
	}, func(offset uint64, err error) {
		if err != nil {
			f.carrying = false
			f.options.LogError("append")
			return
		}
		f.options.Logger.Info("config_carried", "version", s.Version, "offset", offset)
	})
}

// carryAge is between a half and three quarters of the retention.
func carryAge(retention time.Duration, seed float64) time.Duration {
	return time.Duration((0.5 + seed/4) * float64(retention))
}

// PeerServer answers other processes.
type PeerServer struct {
	fact *blackboard.Fact[Snapshot]
	hint func(version uint64, peer string)
}

// NewPeerServer returns a server of the fact; hint is told of newer versions.
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

// Nudge makes the follower read the log and ask a peer soon. Any thread may
// call it.
func (f *Follower) Trigger() {
	if !f.nudged.CompareAndSwap(false, true) {
		return
	}
	f.loop.Post(func() {
		f.poll()
		f.sync()
	})
	f.loop.Go(func(ctx context.Context) {
		sleep.For(ctx, nudgeSpacing)
		f.nudged.Store(false)
	})
}
