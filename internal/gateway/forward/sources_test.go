package forward

import (
	"testing"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/placement"
)

// All processes have started again. Engines have told of the part that all prompts begin
// with, and nobody yet of the store. The rest is asked of the store, which probably has
// it; once the store is known not to, it is asked of the engine.
func TestStoreOfWhichNothingIsKnownIsAsked(t *testing.T) {
	store := source{id: 1, zone: "a", unknown: true}
	engine := source{id: 2, zone: "a", peer: true, tokens: 500}
	target := &fleet.Target{ID: 3, Listing: fleet.Listing{Zone: "a"}}
	choose := func(sources ...source) (c placement.Candidate) {
		p := &prompt{shared: 6000, held: map[fleet.ID]int{}, sources: sources}
		for i := range p.sources {
			p.sources[i].rate = 100 + float64(p.sources[i].id) // tells which was chosen
		}
		p.addTo(&c, target)
		return c
	}
	if got := choose(store, engine); got.Source.TokensPerMs != 101 || got.FetchableTokens != 0 {
		t.Errorf("%+v", got)
	}
	store.unknown = false
	if got := choose(store, engine); got.Source.TokensPerMs != 102 || got.FetchableTokens != 500 {
		t.Errorf("%+v", got)
	}
	store.tokens = 6000
	if got := choose(engine, store); got.Source.TokensPerMs != 101 || got.FetchableTokens != 6000 {
		t.Errorf("%+v", got)
	}
	engine.tokens = 6000
	if got := choose(store, engine); got.Source.TokensPerMs != 102 {
		t.Errorf("an engine that holds as much: %+v", got)
	}
	if got := choose(store, source{id: 3, tokens: 6000, zone: "a", peer: true}); got.Source.TokensPerMs != 101 {
		t.Errorf("the engine itself is its source: %+v", got)
	}
}
