package gateway

import "github.com/toucanwell/toucanwell/internal/gateway/fleet"

// broadcastsCaches reports whether the fleet is known to be small, so that sidecars broadcast what
// caches hold. Before a sidecar has the list of targets, it may be one of hundreds; if all of
// them followed the stores of cached parts, these would refuse most of the polls.
func (c *clusterState) broadcastsCaches() bool {
	return !c.large.Load() && !c.targets.Replica().CurrentAt().IsZero()
}

// updateFleetSize determines whether the fleet is large, that is whether entries probe the
// sidecars of candidate engines and work and cache contents are not broadcast. Without live
// sidecars, of which this process may be one, a fleet is never large.
func (c *clusterState) updateFleetSize(targets map[string][]fleet.Target) {
	engines := 0
	for _, list := range targets {
		for i := range list {
			if len(list[i].Weights) > 0 {
				engines++
			}
		}
	}
	entries := c.mesh.LiveCount(true)
	hasSidecars := !c.isEntry() || c.mesh.LiveCount(false) > 0
	large := hasSidecars && (engines > c.settings.LargeEngines || entries > c.settings.LargeEntries)
	if c.large.Swap(large) != large {
		c.logger.Info("fleet_sized", "large", large, "engines", engines, "entries", entries)
	}
}
