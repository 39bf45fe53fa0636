package gateway

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// fleetSizeSettleTime is how long after its start a process takes the fleet for large if a peer says so.
// Its own list of targets and members may still be incomplete.
const fleetSizeSettleTime = 10 * time.Second

// broadcastsCaches reports whether the fleet is known to be small, so that sidecars broadcast what
// caches hold. Before a sidecar has the list of targets, it may be one of hundreds; if all of
// them followed the stores of cached parts, these would refuse most of the polls.
func (c *clusterState) broadcastsCaches() bool {
	return !c.large.Load() && !c.targets.Replica().CurrentAt().IsZero()
}

// updateFleetSize determines whether the fleet is large, that is whether entries probe the
// sidecars of candidate engines and work and cache contents are not broadcast. Without live
// sidecars, of which this process may be one, a fleet is never large. A process that has just
// started also goes by what its peers say.
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
	c.seesLarge = hasSidecars && (engines > c.settings.LargeEngines || entries > c.settings.LargeEntries)
	isNew := c.clock.Now().Sub(c.startedAt) < fleetSizeSettleTime
	large := c.seesLarge || isNew && c.peerSaysLarge
	if c.large.Swap(large) != large {
		c.logger.Info("fleet_sized", "large", large, "engines", engines, "entries", entries)
	}
}
