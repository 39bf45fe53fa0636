package forward

import (
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
)

// A store of unknown content is preferred to an engine that has only a small part of the
// prompt. Once its content is known, the source with more tokens wins, and an engine wins a
// tie.
func TestStoreOfUnknownContentIsAsked(t *testing.T) {
	store := source{id: 1, zone: "a", unknown: true}
	engine := source{id: 2, zone: "a", peer: true, tokens: 500}
	target := &fleet.Target{ID: 3, Listing: fleet.Listing{Zone: "a"}}
	choose := func(sources ...source) (c placement.Candidate) {
		p := &promptLocations{sharedTokens: 6000, cached: map[fleet.ID]int{}, sources: sources}
		for i := range p.sources {
			p.sources[i].rate = 100 + float64(p.sources[i].id) // identifies the chosen source
		}
		p.fillCandidate(&c, target)
		return c
	}
	if got := choose(store, engine); got.Source.TokensPerMs != 101 || got.FetchableTokens != 0 {
		t.Errorf("chosen source: %+v", got)
	}
	store.unknown = false
	if got := choose(store, engine); got.Source.TokensPerMs != 102 || got.FetchableTokens != 500 {
		t.Errorf("chosen source: %+v", got)
	}
	store.tokens = 6000
	if got := choose(engine, store); got.Source.TokensPerMs != 101 || got.FetchableTokens != 6000 {
		t.Errorf("chosen source: %+v", got)
	}
	engine.tokens = 6000
	if got := choose(store, engine); got.Source.TokensPerMs != 102 {
		t.Errorf("an engine with as many tokens: %+v", got)
	}
	if got := choose(store, source{id: 3, tokens: 6000, zone: "a", peer: true}); got.Source.TokensPerMs != 101 {
		t.Errorf("the engine is its own source: %+v", got)
	}
}
