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

// phases are those that traffic knows; a silent engine is told apart before.
var phases = map[peerv1.EnginePhase]weights.Phase{
	peerv1.EnginePhase_ENGINE_PHASE_SERVING:  weights.Serving,
	peerv1.EnginePhase_ENGINE_PHASE_LOADING:  weights.Loading,
	peerv1.EnginePhase_ENGINE_PHASE_EMPTYING: weights.Draining,
}

// hearEngine takes in what a sidecar says of its engine. It reports whether
// traffic goes by something else now.
func (b *beliefs) hearEngine(m *mesh.Member) bool {
	e := m.Heartbeat.Engine
	if e == nil {
		return false
	}
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil {
		b.logger.Info("engine_word_refused", "peer", m.Name, "address", e.Address, "error", err.Error())
		return false
	}
	if e.Phase == peerv1.EnginePhase_ENGINE_PHASE_SILENT {
		return b.hearSilent(m, address)
	}
	delete(b.silent, address)
	life := fleet.Incarnation{Instance: e.Instance, StartedMs: e.Born}
	word := view.EngineReport{
		Service: e.Service, Address: address, Zone: m.Zone,
		Weights: map[string]int64{}, Phase: phases[e.Phase],
		Running: int(e.Running), Queued: int(e.Queued), ReceivedAt: b.clock.Now(),
	}
	for _, w := range e.Weights {
		word.Weights[w.Model] = w.Version
	}
	if within := time.Duration(e.BeganWithinMs) * time.Millisecond; within > 0 {
		word.StartedAfter = word.ReceivedAt.Add(-within)
	}
	old, known := b.words[life]
	if !known {
		b.dropWordsAt(address)
	}
	word.PhaseSince = b.clock.Now()
	if known && old.Phase == word.Phase {
		word.PhaseSince = old.PhaseSince
	}
	b.words[life] = word
	changed := !known || old.Phase != word.Phase
	for model, version := range word.Weights {
		if old.Weights[model] != version {
			changed = true
		}
	}
	if changed {
		b.logger.Info("engine_told", "target", life, "peer", m.Name, "weights", word.Weights, "phase", word.Phase.String())
	}
	return changed
}

// hearSilent takes in that an engine does not answer its sidecar. It is known
// there within a tenth of a second; the platform's list shows a crash only
// after three heartbeats.
func (b *beliefs) hearSilent(m *mesh.Member, address netip.AddrPort) bool {
	_, known := b.silent[address]
	b.silent[address] = b.clock.Now()
	if known {
		return false
	}
	b.logger.Info("engine_told_silent", "peer", m.Name, "address", address)
	b.dropWordsAt(address)
	return true
}

// dropWordsAt forgets what was said of lives at an address: they have ended.
func (b *beliefs) dropWordsAt(address netip.AddrPort) {
	for life, w := range b.words {
		if w.Address == address {
			delete(b.words, life)
		}
	}
}
