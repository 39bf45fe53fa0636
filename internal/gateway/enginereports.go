package gateway

import (
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
	"github.com/toucanwell/toucanwell/internal/gateway/weights"
)

// phases maps phases on the wire to weights phases. Unresponsive engines are handled
// separately.
var phases = map[peerv1.EnginePhase]weights.Phase{
	peerv1.EnginePhase_ENGINE_PHASE_SERVING:  weights.Serving,
	peerv1.EnginePhase_ENGINE_PHASE_LOADING:  weights.Loading,
	peerv1.EnginePhase_ENGINE_PHASE_EMPTYING: weights.Draining,
}

// maxBeganWithinMs bounds the age that a report may state: a year.
const maxBeganWithinMs = uint64(365 * 24 * time.Hour / time.Millisecond)

// applyEngineReport stores a sidecar's report of its engine. It reports whether anything
// changed that affects placement.
func (c *clusterState) applyEngineReport(m *mesh.Member) bool {
	e := m.Heartbeat.Engine
	if e == nil {
		return false
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		c.logger.Info("engine_report_refused", "peer", m.Name, "address", e.Address, "error", err.Error())
		return false
	}
	if e.Phase == peerv1.EnginePhase_ENGINE_PHASE_SILENT {
		return c.applyUnresponsive(m, address)
	}
	delete(c.unresponsive, address)
	incarnation := fleet.Incarnation{Instance: e.Instance, StartedMs: e.Born}
	report := view.EngineReport{
		Service: e.Service, Address: address, Zone: m.Zone,
		Weights: map[string]int64{}, Phase: phases[e.Phase],
		Running: int(e.Running), Queued: int(e.Queued), AsOf: m.Receipt.Earliest(0),
	}
	for _, w := range e.Weights {
		report.Weights[w.Model] = w.Version
	}
	if e.BeganWithinMs > 0 {
		report.StartedAfter = m.Receipt.Earliest(time.Duration(min(e.BeganWithinMs, maxBeganWithinMs)) * time.Millisecond)
	}
	old, known := c.engineReports[incarnation]
	if !known {
		c.dropReportsAt(address)
	}
	report.PhaseSince = m.Receipt.Latest(0)
	if known && old.Phase == report.Phase {
		report.PhaseSince = old.PhaseSince
	}
	c.engineReports[incarnation] = report
	changed := !known || old.Phase != report.Phase
	for model, version := range report.Weights {
		if old.Weights[model] != version {
			changed = true
		}
	}
	// In a large fleet a report expires before the sidecar's next one, so most are the first.
	ordinary := c.large.Load() && !known && report.Phase == weights.Serving
	if changed && !ordinary {
		c.logger.Info("engine_reported", "target", incarnation, "peer", m.Name, "weights", report.Weights, "phase", report.Phase.String())
	}
	return changed
}

// applyUnresponsive records that an engine does not respond to its sidecar. Sidecars detect
// this within a tenth of a second, well before the target list shows a crash. It reports
// whether this is new.
func (c *clusterState) applyUnresponsive(m *mesh.Member, address netip.AddrPort) bool {
	_, known := c.unresponsive[address]
	c.unresponsive[address] = m.Receipt.Earliest(0)
	if known {
		return false
	}
	c.logger.Info("engine_reported_unresponsive", "peer", m.Name, "address", address)
	c.dropReportsAt(address)
	return true
}

// dropReportsAt drops the reports of the incarnations at an address, which have ended.
func (c *clusterState) dropReportsAt(address netip.AddrPort) {
	for incarnation, r := range c.engineReports {
		if r.Address == address {
			delete(c.engineReports, incarnation)
		}
	}
}
