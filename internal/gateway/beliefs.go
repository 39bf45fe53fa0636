package gateway

import (
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/blackboard"
	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/feed"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/hostclock"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// Names of the topics between processes.
const (
	topicOperators = "operators"
	topicTargets   = "targets"
)

const (
	// operatorsWait is how long a read of what operators declare waits at the
	// store. A record answers it at once, so that the wait costs no time, only
	// calls: one in four seconds for each entry. A connection that went silent
	// holds it up for that long.
	operatorsWait = 4 * time.Second
	// outageGap is the time without word of the store that counts as an outage.
	outageGap = 1500 * time.Millisecond
	// viewPeriod is how often the view is made anew without a change, so that what
	// became old leaves it.
	refreshPeriod = 200 * time.Millisecond
	// wordFor is how long an engine's sidecar is believed.
	wordFor = 2500 * time.Millisecond
)

// beliefs holds what a process knows of the deployment. Its state is used on
// the control thread; traffic reads the view.
type beliefs struct {
	settings  *Settings
	platform  Platform
	loop      *control.Loop
	clock     *hostclock.Clock
	logger    logr.Logger
	peers     *http.Client
	mesh      *mesh.Mesh
	operators *feed.Follower
	targets   *feed.Follower
	directory *fleet.Directory
	estate    *estate.Estate
	// estateText is the record that the estate was read from.
	estateText []byte
	wanted     map[string]weights.History
	words      map[fleet.Incarnation]view.EngineReport
	// unlisted are the reported lives that the list lacks.
	unlisted map[fleet.Incarnation]fleet.UnlistedState
	// outageEnded is the end of the last outage that was logged.
	outageEnded time.Time
	// silent holds since when the sidecars of silent engines were heard last.
	silent map[netip.AddrPort]time.Time
	// digest of all listings, and of each.
	digest  uint64
	digests map[string]uint64
	pulling map[string]bool
	// pulledAt is when each topic was fetched from a peer last.
	pulledAt  map[string]time.Time
	startedAt time.Time
	// welcomed are the lives of the processes that lacked a copy and were told of ours.
	welcomed map[netip.AddrPort]uint64
	// large fleets do not tell all entries of all engines: see sizeUp.
	large atomic.Bool
	// refused entries of the list, with what is wrong with them.
	refused  map[string]string
	stopping bool
	// stoppingSince, picksFrom and endsAt are set once the process stops; the
	// latter two are the view's.
	stoppingSince, picksFrom, endsAt time.Time
	view                             blackboard.Fact[*view.View]
	// changed is told after each new view, inForce of each new version of the
	// estate.
	changed func()
	inForce func(version int64)
	// entryRefused is told of each entry of the list that names no target.
	entryRefused func()
}

func newBeliefs(s *Settings, p Platform, loop *control.Loop, clock *hostclock.Clock, logger logr.Logger, peers *http.Client, called func(string, time.Duration, error)) *beliefs {
	b := &beliefs{
		settings: s, platform: p, loop: loop, clock: clock, logger: logger, peers: peers,
		directory: fleet.NewDirectory(), wanted: map[string]weights.History{}, words: map[fleet.Incarnation]view.EngineReport{}, unlisted: map[fleet.Incarnation]fleet.UnlistedState{}, silent: map[netip.AddrPort]time.Time{},
		welcomed: map[netip.AddrPort]uint64{}, pulling: map[string]bool{}, pulledAt: map[string]time.Time{}, digests: map[string]uint64{}, refused: map[string]string{}, changed: func() {}, inForce: func(int64) {}, entryRefused: func() {},
	}
	b.operators = feed.NewFollower(loop, p.Declarations(), feed.NewReplica(outageGap), feed.Options{
		Name: topicOperators, Wait: operatorsWait, ShouldRead: b.readsOperators, OnChange: b.operatorsChanged,
		OnCall: called, OnRecovered: func() {}, Logger: logger, Now: clock.Now,
	})
	b.targets = feed.NewFollower(loop, p.Targets(), feed.NewReplica(outageGap), feed.Options{
		Name: topicTargets, ShouldRead: b.readsTargets, OnChange: b.targetsChanged,
		OnCall: called, OnRecovered: b.operators.RestartCall, Logger: logger, Now: clock.Now,
	})
	return b
}

// start begins to follow the store. The mesh is set before.
func (b *beliefs) start() {
	b.startedAt = b.clock.Now()
	b.loop.Post(b.mesh.Introduce)
	b.operators.Start()
	b.targets.Start()
	b.loop.Every(func() time.Duration { return refreshPeriod }, b.post)
}

// stop notes that the process stops and ends at a time.
func (b *beliefs) stop(endsAt time.Time) {
	b.stopping, b.stoppingSince = true, b.clock.Now()
	b.picksFrom, b.endsAt = time.Now().Add(balancerNotice), endsAt
}

func (b *beliefs) isEntry() bool { return b.settings.Role == settings.RoleEntry }

func (b *beliefs) operatorsChanged(keys []string) {
	for _, key := range keys {
		r, ok := b.operators.Replica().Get(key)
		if !ok {
			continue
		}
		d, err := b.platform.DecodeDeclaration(r)
		if err != nil {
			// The last good one stays in force: half of a bad one must not.
			b.logger.Error(err, "declaration_refused", "key", key, "offset", r.Offset)
			continue
		}
		b.declare(d, r)
	}
	b.post()
	b.mesh.Broadcast()
}

func (b *beliefs) declare(d Declaration, r feed.Record) {
	if d.Estate != nil && (b.estate == nil || d.Estate.Version > b.estate.Version) {
		b.estate, b.estateText = d.Estate, r.Value
		b.inForce(d.Estate.Version)
		b.logger.Info("estate_in_force", "estate", d.Estate.Version, "offset", r.Offset, "routes", len(d.Estate.Routes()), "services", len(d.Estate.Services()), "stores", len(d.Estate.Stores()), "limited", len(d.Estate.RateLimited()))
	}
	if d.Model == "" || d.Version <= b.wanted[d.Model].Newest() {
		return
	}
	b.wanted[d.Model] = b.wanted[d.Model].Add(weights.WantedVersion{Version: d.Version, Since: b.clock.Now()})
	b.logger.Info("weights_wanted", "model", d.Model, "version", d.Version, "offset", r.Offset)
}

func (b *beliefs) targetsChanged(keys []string) {
	changed := false
	for _, key := range keys {
		r, ok := b.targets.Replica().Get(key)
		if !ok {
			delete(b.refused, key)
			b.digestOf(key, 0)
			if b.directory.Remove(key, b.listedAt()) {
				changed = true
				b.logger.Info("target_gone", "target", key, "end", b.targets.Replica().End())
			}
			continue
		}
		listing, err := b.platform.DecodeTarget(r)
		if err != nil {
			b.refuse(key, r.Offset, err)
			b.digestOf(key, 0)
			continue
		}
		delete(b.refused, key)
		b.digestOf(key, listingDigest(&listing))
		changed = b.list(listing, r.Offset) || changed
	}
	if changed {
		b.postSoon()
		b.mesh.Introduce()
	}
}

// maxRefused bounds the entries of which is remembered that they were refused.
const maxRefused = 1000

// refuse passes over an entry that names no target. It is counted each time and logged
// when it is new: another writer may write it anew with each of its heartbeats.
func (b *beliefs) refuse(key string, offset uint64, err error) {
	b.entryRefused()
	if b.refused[key] == err.Error() || len(b.refused) >= maxRefused {
		return
	}
	b.refused[key] = err.Error()
	b.logger.Info("target_refused", "target", key, "offset", offset, "error", err.Error())
}

// list takes in a listing and reports whether it changed what matters.
func (b *beliefs) list(l fleet.Listing, offset uint64) bool {
	old, known := b.directory.Find(l.Instance)
	returned := b.directory.Gone(old.Incarnation)
	if !b.directory.Add(l, offset, b.clock.Now()) {
		b.logger.Info("target_late_word", "target", l.Incarnation, "newest", old.Incarnation, "offset", offset)
		return false
	}
	if known && !returned && listingDigest(&old.Listing) == listingDigest(&l) {
		return false
	}
	b.logger.Info("target_listed", "target", l.Incarnation, "service", l.Service, "address", l.Address, "zone", l.Zone,
		"leaving", l.Leaving, "weights", l.Weights, "returned", returned, "offset", offset)
	return true
}

// postSoon makes a new view, in a large fleet with what else changes until the next
// refresh: engines of which there are some hundred change all the time.
func (b *beliefs) postSoon() {
	if !b.large.Load() {
		b.post()
	}
}

// post makes a new view of all beliefs.
func (b *beliefs) post() {
	now := b.clock.Now()
	following := b.following(now)
	b.noteOutage(following)
	v := &view.View{
		Estate: b.estate, RawEstate: b.estateText, Targets: b.directory.Targets(b.declared, now, following),
		TargetsCurrentAt: b.targets.Replica().CurrentAt(), EstateCurrentAt: b.currentAt(topicOperators), Engines: map[fleet.Incarnation]view.EngineReport{}, Unresponsive: map[netip.AddrPort]bool{}, Wanted: map[string]weights.History{},
		EntryCount: 1 + len(b.mesh.Live(true)), EntryRank: b.entriesBefore(), Stopping: b.stopping, SelectiveFrom: b.picksFrom, ShutdownAt: b.endsAt,
	}
	b.sizeUp(v.Targets)
	v.LargeFleet = b.large.Load()
	for life, word := range b.words {
		if now.Sub(word.ReceivedAt) <= wordFor {
			v.Engines[life] = word
		} else {
			delete(b.words, life)
		}
	}
	for address, heard := range b.silent {
		if now.Sub(heard) <= wordFor {
			v.Unresponsive[address] = true
		} else {
			delete(b.silent, address)
		}
	}
	b.noteUnlisted(v, b.directory.ApplyReports(v.Targets, living(v.Engines), following, now))
	for model, w := range b.wanted {
		v.Wanted[model] = w
	}
	b.view.Post(v, now)
	b.changed()
}

// declared reports whether operators declare a service.
func (b *beliefs) declared(service string) bool {
	return b.estate != nil && b.estate.Service(service) != nil
}

// hosts are those on which sidecars may run: the engines'.
func (b *beliefs) hosts() []netip.Addr {
	v, ok := b.view.Get()
	if !ok {
		return nil
	}
	var hosts []netip.Addr
	for _, list := range v.Targets {
		for i := range list {
			if len(list[i].Weights) > 0 {
				hosts = append(hosts, list[i].Address.Addr())
			}
		}
	}
	return hosts
}

// listed returns the targets of a service, as the newest view has them.
func (b *beliefs) listed(service string) []fleet.Target {
	v, ok := b.view.Get()
	if !ok {
		return nil
	}
	return v.Targets[service]
}
