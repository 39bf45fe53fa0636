package gateway

import (
	"cmp"
	"slices"

	"github.com/toucanwell/toucanwell/internal/metrics"
)

// engineSpeeds returns the speeds of the engines that this process measures: in large fleets a sidecar
// that of its engine, otherwise an entry those of all engines.
func (p *process) engineSpeeds() []metrics.EngineSpeeds {
	if !p.useSpeeds.Load() || p.state.large.Load() != (p.sidecar != nil) {
		return nil
	}
	if p.sidecar != nil {
		return []metrics.EngineSpeeds{{Service: p.settings.Service, Factors: []float64{p.sidecar.tracker.Speed()}}}
	}
	v := p.currentView()
	if v.Estate == nil {
		return nil
	}
	var all []metrics.EngineSpeeds
	for _, service := range v.Estate.Services() {
		if service.Engine == nil {
			continue
		}
		speeds := metrics.EngineSpeeds{Service: service.Name}
		for i := range v.Targets[service.Name] {
			speeds.Factors = append(speeds.Factors, p.entry.forwarder.EngineSpeed(v.Targets[service.Name][i].Incarnation))
		}
		all = append(all, speeds)
	}
	slices.SortFunc(all, func(a, b metrics.EngineSpeeds) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
