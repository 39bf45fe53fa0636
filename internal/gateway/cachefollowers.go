package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/holdings"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// cacheAnnounceDelay batches the changes of a cache, so that a part that is evicted block
	// by block is announced once.
	cacheAnnounceDelay = 30 * time.Millisecond
	// maxPartsPerDatagram is the most cached parts in one datagram. A part takes about six
	// bytes.
	maxPartsPerDatagram = 160
	// reannouncePeriod is how often one of reannounceSlices slices of each cache is announced
	// again. A full cycle takes half of the time for which entries keep the information.
	reannouncePeriod = 500 * time.Millisecond
	reannounceSlices = 10
	// maxPartsToNewEntry limits the parts of one cache that are sent to a new entry at once.
	maxPartsToNewEntry = 10 * maxPartsPerDatagram
	// storeFollowers is the number of sidecars that follow each store of cached parts.
	storeFollowers = 2
	// storeAssignPeriod is how often a sidecar updates the stores that it follows.
	storeAssignPeriod = time.Second
	// meshSettleTime is the time after the start in which a sidecar discovers the others.
	// Before, every sidecar would follow every store, and stores serve only a limited number
	// of requests at once.
	meshSettleTime = time.Second
)

// cacheFollowers follows the caches of a sidecar's engine and of the stores assigned to it,
// and announces their contents to the entries. It is used on the control thread.
type cacheFollowers struct {
	process     *process
	engine      *holdings.Follower
	incarnation fleet.Incarnation
	stores      map[netip.AddrPort]*holdings.Follower
	announcing  map[*holdings.Follower]bool
	announcedTo map[netip.AddrPort]uint64
}

func newCacheFollowers(p *process) *cacheFollowers {
	return &cacheFollowers{
		process: p, stores: map[netip.AddrPort]*holdings.Follower{}, announcing: map[*holdings.Follower]bool{}, announcedTo: map[netip.AddrPort]uint64{},
	}
}

func (c *cacheFollowers) start() {
	c.process.loop.Every(func() time.Duration { return reannouncePeriod }, c.reannounce)
	c.process.loop.Go(func(ctx context.Context) {
		if sleep.For(ctx, meshSettleTime) {
			c.process.loop.Post(func() {
				c.process.loop.Every(func() time.Duration { return storeAssignPeriod }, c.assignStores)
			})
		}
	})
}

// followEngine follows the cache of the engine's current incarnation.
func (c *cacheFollowers) followEngine(address netip.AddrPort, incarnation fleet.Incarnation) {
	if incarnation.Instance == "" || incarnation == c.incarnation {
		return
	}
	c.incarnation = incarnation
	if c.engine != nil {
		c.engine.Stop()
	}
	c.engine = c.follow(address, incarnation.String(), c.engineCacheTokens())
}

// engineCacheTokens returns the declared size of the engine's cache, or zero if it is not
// declared.
func (c *cacheFollowers) engineCacheTokens() int {
	state := c.process.state
	if state.estate == nil {
		return 0
	}
	if s := state.estate.Service(c.process.sidecar.engineService()); s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

func (c *cacheFollowers) follow(address netip.AddrPort, name string, capacity int) *holdings.Follower {
	var f *holdings.Follower
	f = holdings.Follow(name, c.process.loop, c.process.platform.Cache(address), holdings.NewContents(capacity), c.pollInterval, func() { c.announceSoon(f) }, c.process.logger)
	return f
}

// pollInterval returns the minimum time between two calls to a cache.
func (c *cacheFollowers) pollInterval() time.Duration {
	if c.process.state.large.Load() {
		return holdings.LocalPollInterval
	}
	return holdings.BroadcastPollInterval
}

// assignStores starts and stops following stores according to the current assignment.
func (c *cacheFollowers) assignStores() {
	state := c.process.state
	if state.estate == nil {
		return
	}
	assigned := map[netip.AddrPort]bool{}
	for _, s := range state.estate.Stores() {
		address := s.Store.Address
		if !state.broadcastsCaches() || !c.isAssigned(address) {
			continue
		}
		assigned[address] = true
		if c.stores[address] == nil {
			c.stores[address] = c.follow(address, address.String(), s.Store.CacheTokens)
			c.process.logger.Info("store_followed", "store", address)
		}
	}
	for address, f := range c.stores {
		if !assigned[address] {
			f.Stop()
			delete(c.stores, address)
			c.process.logger.Info("store_left", "store", address)
		}
	}
}

func (c *cacheFollowers) isAssigned(store netip.AddrPort) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(store.String() + "\x00" + name) }
	own := rank(c.process.settings.Name)
	higherRanked := 0
	for _, m := range c.process.state.mesh.Live(false) {
		if !m.Leaving && m.Name != "" && rank(m.Name) > own {
			higherRanked++
		}
	}
	return higherRanked < storeFollowers
}

// announceSoon schedules an announcement of the cache's changes.
func (c *cacheFollowers) announceSoon(f *holdings.Follower) {
	if c.announcing[f] {
		return
	}
	c.announcing[f] = true
	c.process.loop.Go(func(ctx context.Context) {
		sleep.For(ctx, cacheAnnounceDelay)
		c.process.loop.Post(func() {
			delete(c.announcing, f)
			c.announceChanges(f)
		})
	})
}

func (c *cacheFollowers) announceChanges(f *holdings.Follower) {
	if !c.isActive(f) {
		return
	}
	for {
		cached := f.Contents.TakeUpdates(maxPartsPerDatagram)
		if len(cached) == 0 {
			return
		}
		c.announce(f, cached)
	}
}

// isActive reports whether a follower is still in use.
func (c *cacheFollowers) isActive(f *holdings.Follower) bool { return slices.Contains(c.all(), f) }

func (c *cacheFollowers) all() []*holdings.Follower {
	var all []*holdings.Follower
	if c.engine != nil {
		all = append(all, c.engine)
	}
	for _, f := range c.stores {
		all = append(all, f)
	}
	return all
}

func (c *cacheFollowers) announce(f *holdings.Follower, cached []holdings.CachedPart) {
	if len(cached) == 0 {
		return
	}
	if f == c.engine {
		for _, part := range cached {
			c.process.sidecar.tracker.SetCached(part.Part, part.Tokens)
		}
	}
	if c.process.state.large.Load() {
		return
	}
	c.process.state.mesh.BroadcastToEntries(mesh.FanOut, func(heartbeat *peerv1.Beat) { heartbeat.Cache = cacheState(f, cached) })
}

// reannounce announces the next slice of each cache again.
func (c *cacheFollowers) reannounce() {
	for _, f := range c.all() {
		c.announce(f, f.Contents.NextRefresh(min(f.Contents.Len()/reannounceSlices+1, maxPartsPerDatagram)))
	}
}

// onHeartbeat sends the contents of all caches to an entry that has just started.
func (c *cacheFollowers) onHeartbeat(m *mesh.Member) {
	if !m.Entry || c.process.state.large.Load() || c.announcedTo[m.Address] == m.Incarnation {
		return
	}
	c.announcedTo[m.Address] = m.Incarnation
	for _, f := range c.all() {
		for cached := range slices.Chunk(f.Contents.List(maxPartsToNewEntry), maxPartsPerDatagram) {
			c.process.state.mesh.SendTo(m.Address, func(heartbeat *peerv1.Beat) { heartbeat.Cache = cacheState(f, cached) })
		}
	}
}

func cacheState(f *holdings.Follower, cached []holdings.CachedPart) *peerv1.CacheState {
	state := &peerv1.CacheState{Cache: uint32(fleet.IDOf(f.Name))}
	for _, part := range cached {
		state.Parts = append(state.Parts, uint32(part.Part))
		state.Tokens = append(state.Tokens, uint32(part.Tokens))
	}
	return state
}
