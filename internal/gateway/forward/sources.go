package forward

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
)

// scopeAt is the cache scope of the request at weights of a version.
func (fl *flow) scopeAt(version int64) string {
	return parts.Scope(fl.request.Model, version, fl.isolated())
}

// isolated is the request's workspace, where that shares no part with others.
func (fl *flow) isolated() string {
	if fl.workspace != nil && fl.workspace.Isolated {
		return fl.workspace.Name
	}
	return ""
}

// prompt is what is believed of a prompt's shared parts at weights of one version.
type prompt struct {
	// held is how many tokens of its beginning each target holds.
	held map[fleet.ID]int
	// shared is how many tokens they have.
	shared int
	// sources are where an engine that lacks some can fetch them from.
	sources []source
}

// source is a place other than an engine itself that holds the beginning of a prompt.
type source struct {
	id      fleet.ID
	address netip.AddrPort
	zone    string
	// peer sources are engines: they have faster links than stores, and are many.
	peer   bool
	tokens int
	// unknown sources may hold more than is known: the prompt's store, while nobody
	// tells of it.
	unknown bool
	// rate is how many tokens its link carries in a millisecond.
	rate float64
}

// prompts holds the prompt at each version of the weights that some engine has.
type prompts struct {
	fl        *flow
	kept      time.Duration
	byVersion map[int64]*prompt
}

// promptsByVersion looks the prompt up once for each version; kept is for how long
// engines keep parts that are not used.
func (fl *flow) promptsByVersion(kept time.Duration) *prompts {
	return &prompts{fl: fl, kept: kept, byVersion: map[int64]*prompt{}}
}

func (p *prompts) at(version int64) *prompt {
	known := p.byVersion[version]
	if known == nil {
		known = p.fl.lookUp(version, p.kept)
		p.byVersion[version] = known
	}
	return known
}

// keysAt are the keys of the prompt's shared parts at weights of a version.
func (fl *flow) keysAt(version int64) []parts.Key {
	return parts.Keys(fl.scopeAt(version), fl.request.Parts)
}

func (fl *flow) lookUp(version int64, kept time.Duration) *prompt {
	keys := fl.keysAt(version)
	p := &prompt{held: map[fleet.ID]int{}, shared: fl.sharedTokens()}
	if len(keys) == 0 {
		return p
	}
	for _, one := range fl.Parts.Prefixes(keys, fl.request.Parts, kept, fl.Now()) {
		p.held[one.Target] = one.Tokens
	}
	p.addStores(fl, keys)
	p.addPeers(fl, version)
	return p
}

// addStores adds the stores of cached parts. The prompt's own is a source also when it
// is not known to hold any of it: asking for a part that it lacks costs a millisecond.
func (p *prompt) addStores(fl *flow, keys []parts.Key) {
	own := fl.storeOf(keys)
	for _, s := range fl.view.Estate.Stores() {
		id := storeID(s.Store.Address.String())
		if tokens := p.held[id]; tokens > 0 || s == own {
			rate := fl.linkRate(min(s.Store.LinkMbps, fl.service.Engine.LinkMbps))
			p.sources = append(p.sources, source{
				id: id, address: s.Store.Address, zone: s.Store.Zone, tokens: tokens, rate: rate,
				unknown: !fl.Parts.ReportedRecently(id, fl.Now()) && fl.linkQueue(s.Store.Address) < fullLink,
			})
		}
	}
}

// addPeers adds the engines that hold some of the prompt.
func (p *prompt) addPeers(fl *flow, version int64) {
	targets := fl.view.Targets[fl.service.Name]
	for i := range targets {
		t := &targets[i]
		tokens := p.held[t.ID]
		if tokens == 0 || fl.view.Unresponsive[t.Address] || fl.view.Version(t, fl.request.Model) != version {
			continue
		}
		p.sources = append(p.sources, source{
			id: t.ID, address: t.Address, zone: t.Zone, peer: true, tokens: tokens, rate: fl.linkRate(fl.service.Engine.LinkMbps),
		})
	}
}

// linkID names the link of a source among the targets at which work is counted.
func linkID(address netip.AddrPort) fleet.ID { return fleet.IDOf("link " + address.String()) }

// fullLink is the queue from which a store of which nothing is known is not asked: what
// it may have would come later than it is read.
const fullLink = 150 * time.Millisecond

// linkQueue is the time until a link has carried what prompts of all entries wait for.
func (fl *flow) linkQueue(address netip.AddrPort) time.Duration {
	work := fl.totals[linkID(address)]
	return work.Prefill.Total()
}

// linkRate is how many of the service's tokens a link carries in a millisecond.
func (fl *flow) linkRate(mbps float64) float64 {
	return mbps * 1e6 / 8 / 1000 / max(float64(fl.service.Engine.TokenBytes), 1)
}

// addTo fills in what a candidate holds of the prompt, and from where it best fetches
// the rest: from where most of it is, near by, and from an engine before a store.
func (p *prompt) addTo(c *placement.Candidate, t *fleet.Target) {
	c.CachedTokens = p.held[t.ID]
	best := -1
	for i := range p.sources {
		if p.sources[i].id != t.ID && (best < 0 || p.betterThan(&p.sources[i], &p.sources[best], t.Zone)) {
			best = i
		}
	}
	if best < 0 {
		return
	}
	s := &p.sources[best]
	c.Source = placement.Source{Address: s.address, SameZone: s.zone == t.Zone, TokensPerMs: s.rate}
	c.FetchableTokens = s.tokens
}

// probableShare is the share of a prompt that a store of which nothing is known counts
// as holding: it has room for most of what is shared.
const probableShare = 0.6

// probable is how many tokens a source probably has of the prompt.
func (p *prompt) probable(s *source) int {
	if s.unknown {
		return max(s.tokens, int(probableShare*float64(p.shared)))
	}
	return s.tokens
}

// betterThan compares two sources for an engine in a zone.
//
// The failure guarded against: all processes have started again, and know of engines
// that hold the part that all prompts begin with. Fetched from there, the rest is read
// again although the store holds all of it.
func (p *prompt) betterThan(s, o *source, zone string) bool {
	if a, b := p.probable(s), p.probable(o); a != b {
		return a > b
	}
	if near := s.zone == zone; near != (o.zone == zone) {
		return near
	}
	return s.peer && !o.peer
}

// storeOf returns the store of a prompt's parts, or nil. Where there are several
// each has its share of the families, so that together they hold more.
func (fl *flow) storeOf(keys []parts.Key) *estate.Service {
	if len(keys) == 0 {
		return nil
	}
	family := uint64(keys[len(keys)-1])
	var best *estate.Service
	var highest uint64
	for _, s := range fl.view.Estate.Stores() {
		if score := placement.Mix(family ^ xxhash.Sum64String(s.Store.Address.String())); best == nil || score > highest {
			best, highest = s, score
		}
	}
	return best
}

// minSharedShare is the least share of a saved prompt that others use too. The
// prompt's own part is sent with the rest and drives out what others need.
const minSharedShare = 0.4

// saved reports whether prompts like this one are saved to stores.
func saved(q *placement.Input) bool {
	return float64(q.SharedTokens) >= minSharedShare*float64(q.SharedTokens+q.OwnTokens)
}

// saveTo returns the store that the prompt's parts are to be sent to: one that
// neither holds them nor is about to. Saving them again would fill its link.
func (fl *flow) saveTo(keys []parts.Key, q *placement.Input) string {
	if len(keys) == 0 || !saved(q) {
		return ""
	}
	s := fl.storeOf(keys)
	if s == nil {
		return ""
	}
	last := len(keys) - 1
	if fl.Parts.StateAt(keys[last], fl.request.Parts[last].Tokens, storeID(s.Store.Address.String()), fl.Now()) != parts.Absent {
		return ""
	}
	return s.Store.Address.String()
}

// storeID names a store of cached parts among targets.
func storeID(address string) fleet.ID { return fleet.IDOf(address) }
