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
	// cacheTellDelay gathers what the entries are told of a cache: a part that is
	// dropped block by block is told once.
	cacheTellDelay = 30 * time.Millisecond
	// toldParts is how many parts one datagram tells of, of six bytes or so each.
	toldParts = 160
	// repeatPeriod is how often a slice of what a cache holds is said again, and
	// repeatSlices in how many all of it: five seconds, half of the time for which
	// entries believe it.
	repeatPeriod = 500 * time.Millisecond
	repeatSlices = 10
	// newcomerParts bounds what an entry that has just started is told at once of one
	// cache.
	newcomerParts = 10 * toldParts
	// storeFollowers is how many sidecars follow each store of cached parts: one, and
	// another in case that one is lost.
	storeFollowers = 2
	// storesCheck is how often a sidecar looks which stores are its to follow.
	storesCheck = time.Second
	// meshFormed is the time after a sidecar's start in which it hears of the others.
	// All would follow every store before, which answers only so many at once.
	meshFormed = time.Second
)

// caches is a sidecar's knowledge of caches: its engine's, and those of the stores
// that it follows. It is used on the control thread.
type caches struct {
	process  *process
	engine   *holdings.Follower
	life     fleet.Incarnation
	stores   map[netip.AddrPort]*holdings.Follower
	telling  map[*holdings.Follower]bool
	newcomer map[netip.AddrPort]uint64
}

func newCaches(p *process) *caches {
	return &caches{
		process: p, stores: map[netip.AddrPort]*holdings.Follower{}, telling: map[*holdings.Follower]bool{}, newcomer: map[netip.AddrPort]uint64{},
	}
}

func (c *caches) start() {
	c.process.loop.Every(func() time.Duration { return repeatPeriod }, c.repeat)
	c.process.loop.Go(func(ctx context.Context) {
		if sleep.For(ctx, meshFormed) {
			c.process.loop.Post(func() {
				c.process.loop.Every(func() time.Duration { return storesCheck }, c.chooseStores)
			})
		}
	})
}

// followEngine follows the cache of the engine's present life.
func (c *caches) followEngine(address netip.AddrPort, life fleet.Incarnation) {
	if life.Instance == "" || life == c.life {
		return
	}
	c.life = life
	if c.engine != nil {
		c.engine.Stop()
	}
	c.engine = c.follow(address, life.String(), c.engineRoom())
}

// engineRoom is the size of an engine's cache; zero while it is not declared.
func (c *caches) engineRoom() int {
	b := c.process.beliefs
	if b.estate == nil {
		return 0
	}
	if s := b.estate.Service(c.process.sidecar.service()); s != nil && s.Engine != nil {
		return s.Engine.CacheTokens
	}
	return 0
}

func (c *caches) follow(address netip.AddrPort, name string, room int) *holdings.Follower {
	var f *holdings.Follower
	f = holdings.Follow(name, c.process.loop, c.process.platform.Cache(address), holdings.NewContents(room), c.gather, func() { c.tellSoon(f) }, c.process.logger)
	return f
}

// gather is the least time between two questions to a cache.
func (c *caches) gather() time.Duration {
	if c.process.beliefs.large.Load() {
		return holdings.LocalPollInterval
	}
	return holdings.BroadcastPollInterval
}

// chooseStores follows the stores that are this sidecar's to follow: each sidecar
// ranks itself and the others that it hears alike.
func (c *caches) chooseStores() {
	b := c.process.beliefs
	if b.estate == nil {
		return
	}
	mine := map[netip.AddrPort]bool{}
	for _, s := range b.estate.Stores() {
		address := s.Store.Address
		if b.large.Load() || !c.ranksFor(address) {
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

func (c *caches) ranksFor(store netip.AddrPort) bool {
	rank := func(name string) uint64 { return xxhash.Sum64String(store.String() + "\x00" + name) }
	own := rank(c.process.settings.Name)
	before := 0
	for _, m := range c.process.beliefs.mesh.Live(false) {
		if !m.Leaving && rank(m.Name) > own {
			before++
		}
	}
	return before < storeFollowers
}

// tellSoon tells the entries what has changed, after what follows at once.
func (c *caches) tellSoon(f *holdings.Follower) {
	if c.telling[f] {
		return
	}
	c.telling[f] = true
	c.process.loop.Go(func(ctx context.Context) {
		sleep.For(ctx, cacheTellDelay)
		c.process.loop.Post(func() {
			delete(c.telling, f)
			c.tellChanged(f)
		})
	})
}

func (c *caches) tellChanged(f *holdings.Follower) {
	if !c.current(f) {
		return
	}
	for {
		held := f.Contents.TakeUpdates(toldParts)
		if len(held) == 0 {
			return
		}
		c.tell(f, held)
	}
}

// current reports whether a follower has not been replaced or left.
func (c *caches) current(f *holdings.Follower) bool { return slices.Contains(c.all(), f) }

func (c *caches) all() []*holdings.Follower {
	var all []*holdings.Follower
	if c.engine != nil {
		all = append(all, c.engine)
	}
	for _, f := range c.stores {
		all = append(all, f)
	}
	return all
}

func (c *caches) tell(f *holdings.Follower, held []holdings.CachedPart) {
	if len(held) == 0 {
		return
	}
	if f == c.engine {
		for _, h := range held {
			c.process.sidecar.tracker.SetCached(h.Part, h.Tokens)
		}
	}
	if c.process.beliefs.large.Load() {
		return
	}
	c.process.beliefs.mesh.BroadcastToEntries(func(beat *peerv1.Beat) { beat.Cache = cacheState(f, held) })
}

// repeat says a slice of each cache again.
func (c *caches) repeat() {
	for _, f := range c.all() {
		c.tell(f, f.Contents.NextRefresh(min(f.Contents.Len()/repeatSlices+1, toldParts)))
	}
}

// heard tells an entry that has just started all at once.
func (c *caches) heard(m *mesh.Member) {
	if !m.Entry || c.process.beliefs.large.Load() || c.newcomer[m.Address] == m.Incarnation {
		return
	}
	c.newcomer[m.Address] = m.Incarnation
	for _, f := range c.all() {
		for held := range slices.Chunk(f.Contents.List(newcomerParts), toldParts) {
			c.process.beliefs.mesh.SendTo(m.Address, func(beat *peerv1.Beat) { beat.Cache = cacheState(f, held) })
		}
	}
}

func cacheState(f *holdings.Follower, held []holdings.CachedPart) *peerv1.CacheState {
	state := &peerv1.CacheState{Cache: uint32(fleet.IDOf(f.Name))}
	for _, h := range held {
		state.Parts = append(state.Parts, uint32(h.Part))
		state.Tokens = append(state.Tokens, uint32(h.Tokens))
	}
	return state
}
