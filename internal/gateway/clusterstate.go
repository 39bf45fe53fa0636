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
	"github.com/toucanwell/toucanwell/internal/gateway/lag"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
	"github.com/toucanwell/toucanwell/internal/settings"
)

// Topic names, as used between processes.
const (
	topicOperators = "operators"
	topicTargets   = "targets"
)

const (
	// declarationsWait is how long a read of the declarations waits at the store for a new
	// record. Longer waits need fewer calls, but a read on a dead connection delays new
	// declarations for as long.
	declarationsWait = 4 * time.Second
	// outageGap is how long the store must be unreachable for it to count as an outage.
	outageGap = 1500 * time.Millisecond
	// refreshPeriod is how often the view is rebuilt without a change, to drop expired data.
	refreshPeriod = 200 * time.Millisecond
	// engineReportTTL is how long a sidecar's report of its engine is valid.
	engineReportTTL = 2500 * time.Millisecond
)

// clusterState is what a process knows of the deployment. It is used on the control thread
// only; requests use the immutable view that it publishes.
type clusterState struct {
	settings *Settings
	platform Platform
	loop     *control.Loop
	clock    *hostclock.Clock
	logger   logr.Logger
	// auditLogger is for lines that are not dropped.
	auditLogger  logr.Logger
	peers        *http.Client
	mesh         *mesh.Mesh
	declarations *feed.Follower
	targets      *feed.Follower
	directory    *fleet.Directory
	estate       *estate.Estate
	// lag compares the declarations in force with those that other processes announce.
	lag *lag.Monitor
	// loggedOutdated is set while the last line on it says that the declarations are outdated.
	loggedOutdated bool
	// rawEstate is the record that the estate was decoded from.
	rawEstate     []byte
	wantedWeights map[string]weights.History
	// announceWantedUntil is until when heartbeats announce since when versions are wanted.
	announceWantedUntil time.Time
	// wantedAnnounced counts the versions that heartbeats have announced.
	wantedAnnounced int
	engineReports   map[fleet.Incarnation]view.EngineReport
	// unlisted are the reported incarnations that are missing from the target list.
	unlisted        map[fleet.Incarnation]fleet.UnlistedState
	loggedOutageEnd time.Time
	// unresponsive holds the time of the last report of each unresponsive engine.
	unresponsive map[netip.AddrPort]time.Time
	// listingsDigest is the digest of all listings, digestByKey that of each listing.
	listingsDigest uint64
	digestByKey    map[string]uint64
	// fetches are the fetches from peers that are in progress, by topic, in the order of their beginnings.
	fetches map[string][]*topicFetch
	// offers are the peers that have announced records of each topic that this process lacks.
	offers map[string]*topicOffers
	// fetchedAt is when each topic was last fetched from a peer.
	fetchedAt        map[string]time.Time
	schedulingDelays schedulingDelays
	startedAt        time.Time
	// replicaSeenAt is when a peer last announced a replica of each topic. emptyPeerSeen is set once
	// a peer has announced that it has none.
	replicaSeenAt map[string]time.Time
	emptyPeerSeen bool
	// replicaAnnouncedTo holds when this process last announced its replicas to each process without
	// one.
	replicaAnnouncedTo map[netip.AddrPort]time.Time
	// era is the newest era of the store that this process has heard of.
	era feed.Era
	// eraMetric, restatedMetric and retainedMetric are the values of metrics as of the last view.
	eraMetric, restatedMetric, retainedMetric atomic.Uint64
	// retainedSeen holds what peers retain of earlier eras and this process has merged.
	retainedSeen map[retainedSet]bool
	// seesLarge is set if this process itself knows enough processes and engines for a large fleet,
	// which it announces. peerSaysLarge is set once a peer has announced that.
	seesLarge, peerSaysLarge bool
	// large is set in large fleets; see updateFleetSize.
	large atomic.Bool
	// rejectedListings holds the error of each invalid record of the target list.
	rejectedListings map[string]string
	// listedEntries are the targets that are listed at addresses of entries.
	listedEntries map[fleet.Incarnation]bool
	stopping      bool
	// stoppingSince is when the process began to stop; zero if it has not.
	stoppingSince time.Time
	view          blackboard.Fact[*view.View]
	// onViewChange is called after each new view, onEstateChange for each new version of the
	// estate.
	onViewChange func()
	// quarantinePage returns the quarantine records for a process that starts.
	quarantinePage func() (mesh.TopicPage, bool)
	onEstateChange func(version int64)
	// onFetch is called after each fetch from a peer.
	onFetch func(topic, result string)
	// onListingRejected is called for each invalid record of the target list.
	onListingRejected func()
}

func newClusterState(s *Settings, p Platform, loop *control.Loop, clock *hostclock.Clock, logger logr.Logger, peers *http.Client, onCall func(string, time.Duration, error)) *clusterState {
	c := &clusterState{
		settings: s, platform: p, lag: lag.NewMonitor(s.Bounds.Configuration.Duration), loop: loop, clock: clock, logger: logger, auditLogger: logger, peers: peers,
		directory: fleet.NewDirectory(), wantedWeights: map[string]weights.History{}, engineReports: map[fleet.Incarnation]view.EngineReport{}, unlisted: map[fleet.Incarnation]fleet.UnlistedState{}, unresponsive: map[netip.AddrPort]time.Time{},
		replicaAnnouncedTo: map[netip.AddrPort]time.Time{}, fetches: map[string][]*topicFetch{}, offers: map[string]*topicOffers{}, fetchedAt: map[string]time.Time{}, replicaSeenAt: map[string]time.Time{}, digestByKey: map[string]uint64{}, rejectedListings: map[string]string{}, onViewChange: func() {}, quarantinePage: func() (mesh.TopicPage, bool) { return mesh.TopicPage{}, false }, onEstateChange: func(int64) {}, onFetch: func(string, string) {}, onListingRejected: func() {}, retainedSeen: map[retainedSet]bool{},
	}
	onEra := func(era feed.Era) { c.noteEra(era, clock.Now()) }
	c.declarations = feed.NewFollower(loop, p.Declarations(), c.newDeclarationsReplica(), feed.Options{
		Name: topicOperators, Wait: declarationsWait, Place: c.placeAmongReaders, RenewPeriod: c.declarationsRenewPeriod, ShouldRead: c.shouldReadDeclarations, IdlePeriod: c.readCheckPeriod, OnChange: c.declarationsChanged, AwaitPeers: c.awaitsRestoredPeers, OnEra: onEra,
		OnCall: onCall, OnRecovered: func() {}, OnRefreshed: func() {}, Logger: logger, Now: clock.Now,
	})
	c.targets = feed.NewFollower(loop, p.Targets(), c.newTargetsReplica(), feed.Options{
		Name: topicTargets, ShouldRead: c.shouldReadTargets, IdlePeriod: c.readCheckPeriod, OnChange: c.targetsChanged, AwaitPeers: c.awaitsRestoredPeers, OnEra: onEra,
		OnCall: onCall, OnRecovered: c.declarations.RestartCall, OnRefreshed: c.publishView, Logger: logger, Now: clock.Now,
	})
	return c
}

// start starts to follow the store. The mesh must be set.
func (c *clusterState) start() {
	c.startedAt = c.clock.Now()
	c.loop.Post(c.mesh.Introduce)
	c.declarations.Start()
	c.targets.Start()
	c.loop.Every(func() time.Duration { return refreshPeriod }, func() {
		c.targets.Expire()
		c.publishView()
	})
}

// stop records that the process is stopping.
func (c *clusterState) stop() { c.stopping, c.stoppingSince = true, c.clock.Now() }

const (
	// usualStopTime is how long entries usually take to stop: until the load balancer sends them no more
	// connections, and until the requests that were running then have ended.
	usualStopTime = balancerRemoveTime + time.Second
	// restartTime is how long after its exit an entry usually serves callers again.
	restartTime = time.Second
)

// otherEntryAt returns when another entry is expected to accept callers, by the monotonic clock; zero if
// one does now or if this one is not stopping.
func (c *clusterState) otherEntryAt(now time.Time) time.Time {
	if !c.stopping || !c.isEntry() {
		return time.Time{}
	}
	first := c.stoppingSince
	for _, m := range c.mesh.Live(true) {
		if !m.Leaving {
			return time.Time{}
		}
		if m.StoppingSince.Before(first) {
			first = m.StoppingSince
		}
	}
	return time.Now().Add(first.Add(usualStopTime + restartTime).Sub(now))
}

func (c *clusterState) isEntry() bool { return c.settings.Role == settings.RoleEntry }

func (c *clusterState) declarationsChanged(keys []string) {
	for _, key := range keys {
		r, ok := c.declarations.Replica().Get(key)
		if !ok {
			continue
		}
		d, err := c.platform.DecodeDeclaration(r)
		if err != nil {
			// The last valid declaration stays in force; parts of an invalid one are not applied.
			c.logger.Error(err, "declaration_refused", "key", key, "offset", r.Offset)
			continue
		}
		c.applyDeclaration(d, r)
	}
	c.publishView()
	c.mesh.Broadcast()
	c.mesh.Introduce() // the hosts of targets are known with their services only
}

func (c *clusterState) applyDeclaration(d Declaration, r feed.Record) {
	if d.Estate != nil && (c.estate == nil || d.Estate.Version > c.estate.Version) {
		replaced := int64(0)
		if c.estate != nil {
			replaced = c.estate.Version
		}
		c.estate, c.rawEstate = d.Estate, r.Value
		c.directory.Invalidate()
		c.onEstateChange(d.Estate.Version)
		known := c.lastView()
		c.auditLogger.Info("estate_in_force", "estate", d.Estate.Version, "offset", r.Offset, "era", uint64(r.Era), "source", r.Source, "replaced", replaced, "known_age", c.age(known.EstateCurrentAt), "confirmed_by", known.EstateConfirmedBy, "routes", len(d.Estate.Routes()), "services", len(d.Estate.Services()), "stores", len(d.Estate.Stores()), "limited", len(d.Estate.RateLimited()))
	}
	if d.Model == "" || d.Version <= c.wantedWeights[d.Model].Newest() {
		return
	}
	replaced := c.wantedWeights[d.Model].Newest()
	c.wantedWeights[d.Model] = c.wantedWeights[d.Model].Add(weights.WantedVersion{Version: d.Version, Since: c.clock.Now()})
	c.logger.Info("weights_wanted", "model", d.Model, "version", d.Version, "offset", r.Offset, "era", uint64(r.Era), "source", r.Source, "replaced", replaced)
}

// lastView returns the view before what is being applied, an empty one if there is none.
func (c *clusterState) lastView() *view.View {
	if v, ok := c.view.Get(); ok {
		return v
	}
	return &view.View{}
}

func (c *clusterState) targetsChanged(keys []string) {
	changed, listed := false, 0
	bulk := len(keys) > maxListingsLogged
	for _, key := range keys {
		r, ok := c.targets.Replica().Get(key)
		if !ok {
			delete(c.rejectedListings, key)
			c.setListingDigest(key, 0)
			if c.directory.Remove(key, c.listedAt()) {
				changed = true
				at, source := c.targets.Replica().Newest()
				c.logger.Info("target_gone", "target", key, "end", c.targets.Replica().End(), "era", uint64(at.Era), "source", source)
			}
			continue
		}
		listing, err := c.platform.DecodeTarget(r)
		if err != nil {
			c.rejectListing(key, r.Offset, err)
			c.targets.Replica().Truncate(key, rejectedBytes)
			c.setListingDigest(key, 0)
			continue
		}
		delete(c.rejectedListings, key)
		c.setListingDigest(key, listingDigest(&listing))
		if c.applyListing(listing, &r, bulk) {
			changed = true
			listed++
		}
	}
	if bulk {
		c.logger.Info("targets_listed", "records", len(keys), "changed", listed, "end", c.targets.Replica().End())
	}
	if changed {
		c.publishViewSoon()
		c.mesh.Introduce()
	}
}

const (
	// maxRejectedListings limits the size of rejectedListings.
	maxRejectedListings = 1000
	// rejectedBytes is how much of an invalid record is kept: less than any valid one has.
	rejectedBytes = 64
	// maxErrorLogged bounds what is logged of a record's error, which may quote the record.
	maxErrorLogged = 300
	// maxNameLogged bounds a name in the log that another writer chooses.
	maxNameLogged = 64
)

// bounded returns the beginning of a text for the log.
func bounded(text string, n int) string { return text[:min(len(text), n)] }

// rejectListing skips an invalid record of the target list. Every rejection is counted, but
// only new errors are logged, since the record's writer may repeat it with each heartbeat.
func (c *clusterState) rejectListing(key string, offset uint64, err error) {
	c.onListingRejected()
	text := bounded(err.Error(), maxErrorLogged)
	if c.rejectedListings[key] == text || len(c.rejectedListings) >= maxRejectedListings {
		return
	}
	c.rejectedListings[key] = text
	c.logger.Info("target_refused", "target", key, "offset", offset, "error", text)
}

// maxListingsLogged is the number of records up to which each new listing is logged. Larger pages,
// as at the start of a process, are logged as one line and the targets that leave or return.
const maxListingsLogged = 100

// applyListing applies a listing and reports whether a relevant field changed. An ordinary listing in
// a bulk update is not logged.
func (c *clusterState) applyListing(l fleet.Listing, r *feed.Record, bulk bool) bool {
	old, known := c.directory.Find(l.Instance)
	returned := c.directory.Gone(old.Incarnation)
	if !c.directory.Add(l, r.First, c.clock.Now()) {
		c.logger.Info("target_listing_delayed", "target", l.Incarnation, "newest", old.Incarnation, "offset", r.Offset, "era", uint64(r.Era), "source", r.Source)
		return false
	}
	if known && !returned && listingDigest(&old.Listing) == listingDigest(&l) {
		return false
	}
	if bulk && !l.Leaving && !returned {
		return true
	}
	c.logger.Info("target_listed", "target", l.Incarnation, "service", l.Service, "address", l.Address, "zone", l.Zone, "version", bounded(l.SoftwareVersion, maxNameLogged),
		"leaving", l.Leaving, "weights", l.Weights, "returned", returned, "offset", r.Offset, "era", uint64(r.Era), "source", r.Source)
	return true
}

// publishViewSoon publishes a new view at once, or with the next refresh in a large fleet,
// where engines change continuously.
func (c *clusterState) publishViewSoon() {
	if !c.large.Load() {
		c.publishView()
	}
}

// publishView builds and publishes a new view.
func (c *clusterState) publishView() {
	now := c.clock.Now()
	syncState := c.syncState(now)
	c.logOutage(syncState)
	v := &view.View{
		Declared: knowledge(c.declarations), Listed: knowledge(c.targets), Estate: c.estate, RawEstate: c.rawEstate, Targets: c.directory.Targets(c.isDeclared, now, syncState),
		TargetsCurrentAt: c.targets.Replica().CurrentAt(), EstateCurrentAt: c.declarations.Replica().CurrentAt(), EstateConfirmedBy: c.declarations.Replica().ConfirmedBy(), Engines: map[fleet.Incarnation]view.EngineReport{}, Unresponsive: map[netip.AddrPort]bool{}, Wanted: map[string]weights.History{},
		EntryCount: 1 + c.mesh.LiveCount(true), EntryRank: c.entryRank(), Stopping: c.stopping, OtherEntryAt: c.otherEntryAt(now),
	}
	c.updateFleetSize(v.Targets)
	v.LargeFleet = c.large.Load()
	for incarnation, report := range c.engineReports {
		if now.Sub(report.AsOf) <= engineReportTTL {
			v.Engines[incarnation] = report
		} else {
			delete(c.engineReports, incarnation)
		}
	}
	for address, reportedAt := range c.unresponsive {
		if now.Sub(reportedAt) <= engineReportTTL {
			v.Unresponsive[address] = true
		} else {
			delete(c.unresponsive, address)
		}
	}
	c.logUnlisted(v, c.directory.ApplyReports(v.Targets, reportedTargets(v.Engines), syncState, now))
	c.dropEntries(v.Targets)
	v.SingleVersions = c.directory.SingleVersions(v.Targets, c.targets.Replica().CompleteSince())
	for model, w := range c.wantedWeights {
		v.Wanted[model] = w
	}
	declarations, targets := c.declarations.Replica(), c.targets.Replica()
	c.eraMetric.Store(uint64(c.era))
	c.restatedMetric.Store(uint64(declarations.Restated() + targets.Restated()))
	c.retainedMetric.Store(uint64(len(declarations.Retained()) + len(targets.Retained())))
	c.view.Post(v, now)
	c.lag.Applied(declarations.EndPosition())
	c.logLag(now)
	c.onViewChange()
}

func knowledge(f *feed.Follower) view.Knowledge {
	at, source := f.Replica().Newest()
	return view.Knowledge{At: at.String(), Source: source}
}

// isDeclared reports whether operators declare a service.
func (c *clusterState) isDeclared(service string) bool {
	return c.estate != nil && c.estate.Service(service) != nil
}

// sidecarHosts returns the hosts that may run sidecars, which are those of the engines.
func (c *clusterState) sidecarHosts() []netip.Addr {
	v, ok := c.view.Get()
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

// targetsOf returns the targets of a service in the current view.
func (c *clusterState) targetsOf(service string) []fleet.Target {
	v, ok := c.view.Get()
	if !ok {
		return nil
	}
	return v.Targets[service]
}
