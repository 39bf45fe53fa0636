package gateway

import (
	"net/netip"
	"slices"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// dropEntries removes the targets that are listed at addresses at which entries serve callers. Requests sent
// there would come back. Entries of a deployment serve callers on the same port.
func (c *clusterState) dropEntries(targets map[string][]fleet.Target) {
	own, err := netip.ParseAddrPort(c.settings.Listen)
	if err != nil {
		return // a sidecar
	}
	entries := map[netip.AddrPort]bool{own: true}
	for _, m := range c.mesh.Live(true) {
		entries[netip.AddrPortFrom(m.Address.Addr(), own.Port())] = true
	}
	isEntry := func(t fleet.Target) bool { return entries[t.Address] }
	listed := map[fleet.Incarnation]bool{}
	for service, list := range targets {
		if !slices.ContainsFunc(list, isEntry) {
			continue
		}
		for i := range list {
			if t := &list[i]; isEntry(*t) {
				listed[t.Incarnation] = true
				if !c.listedEntries[t.Incarnation] {
					c.logger.Info("target_is_entry", "target", t.Incarnation, "service", service, "address", t.Address)
				}
			}
		}
		targets[service] = slices.DeleteFunc(slices.Clone(list), isEntry)
	}
	c.listedEntries = listed
}
