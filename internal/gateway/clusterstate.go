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
	// declarationsWait is how long a read of what operators declare waits at the
	// store. A record answers it at once, so that the wait costs no time, only
	// calls: one in four seconds for each entry. A connection that went silent
	// holds it up for that long.
	declarationsWait = 4 * time.Second
	// outageGap is the time without word of the store that counts as an outage.
	outageGap = 1500 * time.Millisecond
	// viewPeriod is how often the view is made anew without a change, so that what
	// became old leaves it.
	refreshPeriod = 200 * time.Millisecond
	// engineReportTTL is how long an engine's sidecar is believed.
	engineReportTTL = 2500 * time.Millisecond
)

// clusterState holds what a process knows of the deployment. Its state is used on
// the control thread; traffic reads the view.
type clusterState struct {
	settings     *Settings
	platform     Platform
	loop         *control.Loop
	clock        *hostclock.Clock
	logger       logr.Logger
	peers        *http.Client
	mesh         *mesh.Mesh
	declarations *feed.Follower
	targets      *feed.Follower
	directory    *fleet.Directory
	estate       *estate.Estate
	// estateText is the record that the estate was read from.
	estateText    []byte
	wantedWeights map[string]weights.History
	engineReports map[fleet.Life]view.EngineWord
	// unlisted are the reported lives that the list lacks.
	unlisted map[fleet.Life]fleet.Standing
	// loggedOutageEnd is the end of the last outage that was logged.
	loggedOutageEnd time.Time
	// unresponsive holds since when the sidecars of unresponsive engines were heard last.
	unresponsive map[netip.AddrPort]time.Time
	// listingsDigest of all listings, and of each.
	listingsDigest uint64
	digestByKey    map[string]uint64
	fetching       map[string]bool
	// fetchedAt is when each topic was fetched from a peer last.
	fetchedAt map[string]time.Time
	startedAt time.Time
	// replicaAnnouncedTo are the lives of the processes that lacked a copy and were told of ours.
	replicaAnnouncedTo map[netip.AddrPort]uint64
	// large fleets do not tell all entries of all engines: see sizeUp.
	large atomic.Bool
	// rejectedListings entries of the list, with what is wrong with them.
	rejectedListings map[string]string
	stopping         bool
	// stoppingSince, selectiveFrom and shutdownAt are set once the process stops; the
	// latter two are the view's.
	stoppingSince, selectiveFrom, shutdownAt time.Time
	view                                     blackboard.Fact[*view.View]
	// onViewChange is told after each new view, inForce of each new version of the
	// estate.
	onViewChange   func()
	onEstateChange func(version int64)
	// onListingRejected is told of each entry of the list that names no target.
	onListingRejected func()
}

func newClusterState(s *Settings, p Platform, loop *control.Loop, clock *hostclock.Clock, logger logr.Logger, peers *http.Client, called func(string, time.Duration, error)) *clusterState {
	b := &clusterState{
		settings: s, platform: p, loop: loop, clock: clock, logger: logger, peers: peers,
		directory: fleet.NewDirectory(), wantedWeights: map[string]weights.History{}, engineReports: map[fleet.Life]view.EngineWord{}, unlisted: map[fleet.Life]fleet.Standing{}, unresponsive: map[netip.AddrPort]time.Time{},
		replicaAnnouncedTo: map[netip.AddrPort]uint64{}, fetching: map[string]bool{}, fetchedAt: map[string]time.Time{}, digestByKey: map[string]uint64{}, rejectedListings: map[string]string{}, onViewChange: func() {}, onEstateChange: func(int64) {}, onListingRejected: func() {},
	}
	b.declarations = feed.NewFollower(loop, p.Declarations(), feed.NewCopy(outageGap), feed.Options{
		Name: topicOperators, Wait: declarationsWait, Reads: b.shouldReadDeclarations, Changed: b.declarationsChanged,
		Called: called, Regained: func() {}, Logger: logger, Now: clock.Now,
	})
	b.targets = feed.NewFollower(loop, p.Targets(), feed.NewCopy(outageGap), feed.Options{
		Name: topicTargets, Reads: b.shouldReadTargets, Changed: b.targetsChanged,
		Called: called, Regained: b.declarations.Again, Logger: logger, Now: clock.Now,
	})
	return b
}

// start begins to follow the store. The mesh is set before.
func (b *clusterState) start() {
	b.startedAt = b.clock.Now()
	b.loop.Post(b.mesh.Introduce)
	b.declarations.Start()
	b.targets.Start()
	b.loop.Every(func() time.Duration { return refreshPeriod }, b.publishView)
}

// stop notes that the process stops and ends at a time.
func (b *clusterState) stop(endsAt time.Time) {
	b.stopping, b.stoppingSince = true, b.clock.Now()
	b.selectiveFrom, b.shutdownAt = time.Now().Add(balancerNotice), endsAt
}

func (b *clusterState) isEntry() bool { return b.settings.Role == settings.RoleEntry }

func (b *clusterState) declarationsChanged(keys []string) {
	for _, key := range keys {
		r, ok := b.declarations.Copy().Get(key)
		if !ok {
			continue
		}
		d, err := b.platform.DecodeDeclaration(r)
		if err != nil {
			// The last good one stays in force: half of a bad one must not.
			b.logger.Error(err, "declaration_refused", "key", key, "offset", r.Offset)
			continue
		}
		b.applyDeclaration(d, r)
	}
	b.publishView()
	b.mesh.Tell()
}

func (b *clusterState) applyDeclaration(d Declaration, r feed.Record) {
	if d.Estate != nil && (b.estate == nil || d.Estate.Version > b.estate.Version) {
		b.estate, b.estateText = d.Estate, r.Value
		b.onEstateChange(d.Estate.Version)
		b.logger.Info("estate_in_force", "estate", d.Estate.Version, "offset", r.Offset, "routes", len(d.Estate.Routes()), "services", len(d.Estate.Services()), "stores", len(d.Estate.Stores()), "limited", len(d.Estate.Limited()))
	}
	if d.Model == "" || d.Version <= b.wantedWeights[d.Model].Newest() {
		return
	}
	b.wantedWeights[d.Model] = b.wantedWeights[d.Model].Add(weights.Wanted{Version: d.Version, Since: b.clock.Now()})
	b.logger.Info("weights_wanted", "model", d.Model, "version", d.Version, "offset", r.Offset)
}

func (b *clusterState) targetsChanged(keys []string) {
	changed := false
	for _, key := range keys {
		r, ok := b.targets.Copy().Get(key)
		if !ok {
			delete(b.rejectedListings, key)
			b.setListingDigest(key, 0)
			if b.directory.Drop(key, b.listedAt()) {
				changed = true
				b.logger.Info("target_gone", "target", key, "end", b.targets.Copy().End())
			}
			continue
		}
		listing, err := b.platform.DecodeTarget(r)
		if err != nil {
			b.rejectListing(key, r.Offset, err)
			b.setListingDigest(key, 0)
			continue
		}
		delete(b.rejectedListings, key)
		b.setListingDigest(key, listingDigest(&listing))
		changed = b.applyListing(listing, r.Offset) || changed
	}
	if changed {
		b.publishViewSoon()
		b.mesh.Introduce()
	}
}

// maxRejectedListings bounds the entries of which is remembered that they were refused.
const maxRejectedListings = 1000

// rejectListing passes over an entry that names no target. It is counted each time and logged
// when it is new: another writer may write it anew with each of its heartbeats.
func (b *clusterState) rejectListing(key string, offset uint64, err error) {
	b.onListingRejected()
	if b.rejectedListings[key] == err.Error() || len(b.rejectedListings) >= maxRejectedListings {
		return
	}
	b.rejectedListings[key] = err.Error()
	b.logger.Info("target_refused", "target", key, "offset", offset, "error", err.Error())
}

// applyListing takes in a listing and reports whether it changed what matters.
func (b *clusterState) applyListing(l fleet.Listing, offset uint64) bool {
	old, known := b.directory.Find(l.Instance)
	returned := b.directory.Gone(old.Life)
	if !b.directory.List(l, offset, b.clock.Now()) {
		b.logger.Info("target_late_word", "target", l.Life, "newest", old.Life, "offset", offset)
		return false
	}
	if known && !returned && listingDigest(&old.Listing) == listingDigest(&l) {
		return false
	}
	b.logger.Info("target_listed", "target", l.Life, "service", l.Service, "address", l.Address, "zone", l.Zone,
		"leaving", l.Leaving, "weights", l.Weights, "returned", returned, "offset", offset)
	return true
}

// publishViewSoon makes a new view, in a large fleet with what else changes until the next
// refresh: engines of which there are some hundred change all the time.
func (b *clusterState) publishViewSoon() {
	if !b.large.Load() {
		b.publishView()
	}
}

// publishView makes a new view of all beliefs.
func (b *clusterState) publishView() {
	now := b.clock.Now()
	following := b.syncState(now)
	b.logOutage(following)
	v := &view.View{
		Estate: b.estate, EstateText: b.estateText, Targets: b.directory.Targets(b.isDeclared, now, following),
		ListedAt: b.targets.Copy().CurrentAt(), DeclaredAt: b.currentAt(topicOperators), Engines: map[fleet.Life]view.EngineWord{}, Silent: map[netip.AddrPort]bool{}, Wanted: map[string]weights.History{},
		Entries: 1 + len(b.mesh.Live(true)), EntriesBefore: b.entryRank(), Stopping: b.stopping, PicksFrom: b.selectiveFrom, EndsAt: b.shutdownAt,
	}
	b.updateFleetSize(v.Targets)
	v.Large = b.large.Load()
	for life, word := range b.engineReports {
		if now.Sub(word.HeardAt) <= engineReportTTL {
			v.Engines[life] = word
		} else {
			delete(b.engineReports, life)
		}
	}
	for address, heard := range b.unresponsive {
		if now.Sub(heard) <= engineReportTTL {
			v.Silent[address] = true
		} else {
			delete(b.unresponsive, address)
		}
	}
	b.logUnlisted(v, b.directory.Correct(v.Targets, reportedTargets(v.Engines), following, now))
	for model, w := range b.wantedWeights {
		v.Wanted[model] = w
	}
	b.view.Post(v, now)
	b.onViewChange()
}

// isDeclared reports whether operators declare a service.
func (b *clusterState) isDeclared(service string) bool {
	return b.estate != nil && b.estate.Service(service) != nil
}

// sidecarHosts are those on which sidecars may run: the engines'.
func (b *clusterState) sidecarHosts() []netip.Addr {
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

// targetsOf returns the targets of a service, as the newest view has them.
func (b *clusterState) targetsOf(service string) []fleet.Target {
	v, ok := b.view.Get()
	if !ok {
		return nil
	}
	return v.Targets[service]
}
