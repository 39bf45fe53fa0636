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
	// cacheAnnounceDelay gathers what the entries are told of a cache: a part that is
	// dropped block by block is told once.
	cacheAnnounceDelay = 30 * time.Millisecond
	// maxPartsPerDatagram is how many parts one datagram tells of, of six bytes or so each.
	maxPartsPerDatagram = 160
	// reannouncePeriod is how often a slice of what a cache holds is said again, and
	// repeatSlices in how many all of it: five seconds, half of the time for which
	// entries believe it.
	reannouncePeriod = 500 * time.Millisecond
	reannounceSlices = 10
	// maxPartsToNewEntry bounds what an entry that has just started is told at once of one
	// cache.
	maxPartsToNewEntry = 10 * maxPartsPerDatagram
	// storeFollowers is how many sidecars follow each store of cached parts: one, and
	// another in case that one is lost.
	storeFollowers = 2
	// storeAssignPeriod is how often a sidecar looks which stores are its to follow.
	storeAssignPeriod = time.Second
	// meshSettleTime is the time after a sidecar's start in which it hears of the others.
	// All would follow every store before, which answers only so many at once.
	meshSettleTime = time.Second
)

// cacheFollowers is a sidecar's knowledge of cacheFollowers: its engine's, and those of the stores
// that it follows. It is used on the control thread.
type cacheFollowers struct {
	process     *process
	engine      *holdings.Follower
	incarnation fleet.Life
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

// followEngine follows the cache of the engine's present life.
func (c *cacheFollowers) followEngine(address netip.AddrPort, life fleet.Life) {
	if life.Instance == "" || life == c.incarnation {
		return
	}
	c.incarnation = life
	if c.engine != nil {
		c.engine.Stop()
	}
	c.engine = c.follow(address, life.String(), c.engineCacheTokens())
}

// engineCacheTokens is the size of an engine's cache; zero while it is not declared.
func (c *cacheFollowers) engineCacheTokens() int {
	b := c.process.state
	if b.estate == nil {
		return 0
	}
	if s := b.estate.Service(c.process.sidecar.engineService()); s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

func (c *cacheFollowers) follow(address netip.AddrPort, name string, room int) *holdings.Follower {
	var f *holdings.Follower
	f = holdings.Follow(name, c.process.loop, c.process.platform.Cache(address), holdings.NewCache(room), c.pollInterval, func() { c.announceSoon(f) }, c.process.logger)
	return f
}

// pollInterval is the least time between two questions to a cache.
func (c *cacheFollowers) pollInterval() time.Duration {
	if c.process.state.large.Load() {
		return holdings.GatherTimeAsked
	}
	return holdings.GatherTime
}

// assignStores follows the stores that are this sidecar's to follow: each sidecar
// ranks itself and the others that it hears alike.
func (c *cacheFollowers) assignStores() {
	b := c.process.state
	if b.estate == nil {
		return
	}
	mine := map[netip.AddrPort]bool{}
	for _, s := range b.estate.Stores() {
		address := s.Store.Address
		if b.large.Load() || !c.isAssigned(address) {
			continue
		}
		mine[address] = true
		if c.stores[address] == nil {
			c.stores[address] = c.follow(address, address.String(), s.Store.CacheTokens)
			c.process.logger.Info("store_followed", "store", address)
		}
	}
	for address, f := range c.stores {
		if !mine[address] {
			f.Stop()
			delete(c.stores, address)
			c.process.logger.Info("store_left", "store", address)
		}
	}
}

func (c *cacheFollowers) isAssigned(store netip.AddrPort) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(store.String() + "\x00" + name) }
	own := rank(c.process.settings.Name)
	before := 0
	for _, m := range c.process.state.mesh.Live(false) {
		if !m.Leaving && rank(m.Name) > own {
			before++
		}
	}
	return before < storeFollowers
}

// announceSoon tells the entries what has changed, after what follows at once.
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
		held := f.Cache.TakeChanged(maxPartsPerDatagram)
		if len(held) == 0 {
			return
		}
		c.announce(f, held)
	}
}

// isActive reports whether a follower has not been replaced or left.
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

func (c *cacheFollowers) announce(f *holdings.Follower, held []holdings.Held) {
	if len(held) == 0 {
		return
	}
	if f == c.engine {
		for _, h := range held {
			c.process.sidecar.tracker.Learn(h.Part, h.Tokens)
		}
	}
	if c.process.state.large.Load() {
		return
	}
	c.process.state.mesh.TellEntries(func(beat *peerv1.Beat) { beat.Cache = cacheState(f, held) })
}

// reannounce says a slice of each cache again.
func (c *cacheFollowers) reannounce() {
	for _, f := range c.all() {
		c.announce(f, f.Cache.Repeat(min(f.Cache.Len()/reannounceSlices+1, maxPartsPerDatagram)))
	}
}

// onHeartbeat tells an entry that has just started all at once.
func (c *cacheFollowers) onHeartbeat(m *mesh.Member) {
	if !m.Entry || c.process.state.large.Load() || c.announcedTo[m.Address] == m.Incarnation {
		return
	}
	c.announcedTo[m.Address] = m.Incarnation
	for _, f := range c.all() {
		for held := range slices.Chunk(f.Cache.All(maxPartsToNewEntry), maxPartsPerDatagram) {
			c.process.state.mesh.TellMember(m.Address, func(beat *peerv1.Beat) { beat.Cache = cacheState(f, held) })
		}
	}
}

func cacheState(f *holdings.Follower, held []holdings.Held) *peerv1.CacheState {
	state := &peerv1.CacheState{Cache: uint32(fleet.IDOf(f.Name))}
	for _, h := range held {
		state.Parts = append(state.Parts, uint32(h.Part))
		state.Tokens = append(state.Tokens, uint32(h.Tokens))
	}
	return state
}
