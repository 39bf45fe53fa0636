package gateway

import "github.com/toucanwell/toucanwell/internal/gateway/fleet"

const (
	// Up to largeEntries entries and largeEngines engines, all are told of all work and
	// of all caches. That grows with entries times engines: with 103 and 180 it took most
	// of the small entries' processors. Past it entries ask the sidecars of the engines
	// that they consider; where there are none, telling some is all that is left.
	largeEntries = 24
	largeEngines = 60
)

// sizeUp sets whether the fleet is large.
func (b *beliefs) sizeUp(targets map[string][]fleet.Target) {
	engines := 0
	for _, list := range targets {
		for i := range list {
			if len(list[i].Weights) > 0 {
				engines++
			}
		}
	}
	entries := len(b.mesh.Live(true))
	answered := len(b.mesh.Live(false)) > 0
	large := answered && (engines > largeEngines || entries > largeEntries)
	if b.large.Swap(large) != large {
		b.logger.Info("fleet_sized", "large", large, "engines", engines, "entries", entries)
	}
}
