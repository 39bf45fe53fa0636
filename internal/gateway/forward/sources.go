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

// cacheScopeAt returns the cache scope of the request for a version of the weights.
func (fl *flow) cacheScopeAt(version int64) string {
	return parts.Scope(fl.request.Model, version, fl.cacheDomain)
}

// promptLocations is where the shared parts of a prompt are cached, for one version of the
// weights.
type promptLocations struct {
	// cached is how many tokens of the prompt's prefix each target has cached.
	cached map[fleet.ID]int
	// sharedTokens is the number of tokens in the shared parts.
	sharedTokens int
	// sources are where an engine can fetch missing parts from.
	sources []source
}

// source is an engine or a store from which other engines can fetch the prefix of a prompt.
type source struct {
	id      fleet.ID
	address netip.AddrPort
	zone    string
	// peer is set if the source is an engine; engines are preferred to stores because their
	// links are faster and more numerous.
	peer   bool
	tokens int
	// unknown is set if the source may have more tokens cached than is known. This applies
	// to the prompt's store while nothing is known of its content.
	unknown bool
	// rate is the number of tokens that its link transfers per millisecond.
	rate float64
}

// versionLocations looks up the locations of a prompt once per version of the weights.
type versionLocations struct {
	fl        *flow
	retention time.Duration
	byVersion map[int64]*promptLocations
}

// locationsByVersion returns an empty set of lookups. Engines keep unused parts for the
// given retention.
func (fl *flow) locationsByVersion(retention time.Duration) *versionLocations {
	return &versionLocations{fl: fl, retention: retention, byVersion: map[int64]*promptLocations{}}
}

func (p *versionLocations) get(version int64) *promptLocations {
	found := p.byVersion[version]
	if found == nil {
		found = p.fl.lookUpPrompt(version, p.retention)
		p.byVersion[version] = found
	}
	return found
}

// partKeysAt returns the keys of the prompt's shared parts for a version of the weights.
func (fl *flow) partKeysAt(version int64) []parts.Key {
	return parts.Keys(fl.cacheScopeAt(version), fl.request.Parts)
}

func (fl *flow) lookUpPrompt(version int64, retention time.Duration) *promptLocations {
	keys := fl.partKeysAt(version)
	p := &promptLocations{cached: map[fleet.ID]int{}, sharedTokens: fl.sharedTokens()}
	if len(keys) == 0 {
		return p
	}
	for _, prefix := range fl.Parts.Prefixes(keys, fl.request.Parts, retention, fl.Now()) {
		p.cached[prefix.Target] = prefix.Tokens
	}
	p.addStores(fl, keys)
	p.addPeers(fl, version)
	return p
}

// addStores adds the stores that have some of the prompt cached. The prompt's own store is
// added even if it is not known to have any: a miss costs only a millisecond.
func (p *promptLocations) addStores(fl *flow, keys []parts.Key) {
	own := fl.storeOf(keys)
	for _, s := range fl.view.Estate.Stores() {
		id := storeID(s.Store.Address.String())
		if tokens := p.cached[id]; tokens > 0 || s == own {
			rate := fl.linkRate(min(s.Store.LinkMbps, fl.service.Engine.LinkMbps))
			p.sources = append(p.sources, source{
				id: id, address: s.Store.Address, zone: s.Store.Zone, tokens: tokens, rate: rate,
				unknown: !fl.Parts.ReportedRecently(id, fl.Now()) && fl.linkQueue(s.Store.Address) < maxLinkQueue,
			})
		}
	}
}

// addPeers adds the engines that have some of the prompt cached.
func (p *promptLocations) addPeers(fl *flow, version int64) {
	targets := fl.view.Targets[fl.service.Name]
	for i := range targets {
		t := &targets[i]
		tokens := p.cached[t.ID]
		if tokens == 0 || fl.view.Unresponsive[t.Address] || fl.view.Version(t, fl.request.Model) != version {
			continue
		}
		p.sources = append(p.sources, source{
			id: t.ID, address: t.Address, zone: t.Zone, peer: true, tokens: tokens, rate: fl.linkRate(fl.service.Engine.LinkMbps),
		})
	}
}

// linkID returns the ID under which the work of a source's link is counted.
func linkID(address netip.AddrPort) fleet.ID { return fleet.IDOf("link " + address.String()) }

// maxLinkQueue is the queue from which a store of unknown content is not used: computing
// the parts would be faster.
const maxLinkQueue = 150 * time.Millisecond

// linkQueue returns the time that a link needs for the fetches that all entries have
// queued.
func (fl *flow) linkQueue(address netip.AddrPort) time.Duration {
	work := fl.totalWork[linkID(address)]
	return work.Prefill.Total()
}

// linkRate returns how many of the service's tokens a link transfers per millisecond.
func (fl *flow) linkRate(mbps float64) float64 {
	return mbps * 1e6 / 8 / 1000 / max(float64(fl.service.Engine.TokenBytes), 1)
}

// fillCandidate sets how much of the prompt a candidate has cached, and its best source for
// the rest.
func (p *promptLocations) fillCandidate(c *placement.Candidate, t *fleet.Target) {
	c.CachedTokens = p.cached[t.ID]
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

// unknownStoreShare is the share of a prompt that a store of unknown content is expected to
// have.
const unknownStoreShare = 0.6

// expectedTokens returns how many tokens of the prompt a source is expected to have.
func (p *promptLocations) expectedTokens(s *source) int {
	if s.unknown {
		return max(s.tokens, int(unknownStoreShare*float64(p.sharedTokens)))
	}
	return s.tokens
}

// betterThan reports whether s is a better source than other for an engine in a zone: the
// one with more of the prompt, then the one in the same zone, then an engine before a
// store.
//
// The expected tokens of a store of unknown content matter after a restart of all
// processes: engines that are known to have just the first part must not win over a store
// that probably has all parts.
func (p *promptLocations) betterThan(s, other *source, zone string) bool {
	if a, b := p.expectedTokens(s), p.expectedTokens(other); a != b {
		return a > b
	}
	if sameZone := s.zone == zone; sameZone != (other.zone == zone) {
		return sameZone
	}
	return s.peer && !other.peer
}

// storeOf returns the store of a prompt's parts, or nil. Families are distributed over the
// stores by rendezvous hashing.
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

// minSharedShare is the least share of shared tokens in a prompt that is offloaded. The
// prompt's own part is offloaded with the rest and evicts parts that others use.
const minSharedShare = 0.4

// shouldOffload reports whether a prompt is worth offloading to a store.
func shouldOffload(in *placement.Input) bool {
	return float64(in.SharedTokens) >= minSharedShare*float64(in.SharedTokens+in.OwnTokens)
}

// offloadTo returns the address of the store to offload the prompt's parts to, or "" if the
// store has them or is receiving them.
func (fl *flow) offloadTo(keys []parts.Key, in *placement.Input) string {
	if len(keys) == 0 || !shouldOffload(in) {
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

// storeID returns the ID of a store among the targets.
func storeID(address string) fleet.ID { return fleet.IDOf(address) }
