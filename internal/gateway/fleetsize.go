package gateway

import "github.com/toucanwell/toucanwell/internal/gateway/fleet"

// updateFleetSize sets whether the fleet is large: whether entries ask the sidecars of the engines
// that they consider, instead of being told of all. Where no sidecar is heard, telling
// some is all that is left.
func (b *clusterState) updateFleetSize(targets map[string][]fleet.Target) {
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
	large := answered && (engines > b.settings.LargeEngines || entries > b.settings.LargeEntries)
	if b.large.Swap(large) != large {
		b.logger.Info("fleet_sized", "large", large, "engines", engines, "entries", entries)
	}
}
