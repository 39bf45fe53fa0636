package gateway

import (
	"context"
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/origin"
)

// originsRefreshPeriod is how often the processes are updated that keep the starts of streams.
const originsRefreshPeriod = 500 * time.Millisecond

// newOrigins returns the exchange of a process. Sidecars keep records and answer questions only.
func newOrigins(p *process) *origin.Exchange {
	x := origin.NewExchange(origin.Options{
		Zone: p.settings.AvailabilityZone, Self: p.settings.meshAddress(), Now: p.clock.Now,
		Send: func(to netip.AddrPort, m *peerv1.OriginMessage) { p.state.mesh.SendOrigin(to, m) },
	})
	p.metrics.RegisterGauge("stream_starts_kept", "Streams of which this process keeps the software version that began them.", func() float64 { return float64(x.Size()) })
	return x
}

// startTimeOf returns a function that asks an engine when it started.
func startTimeOf(platform Platform) func(context.Context, netip.AddrPort) (int64, error) {
	return func(ctx context.Context, address netip.AddrPort) (int64, error) {
		report, err := platform.Engine(address).Report(ctx)
		return report.StartedMs, err
	}
}

// refreshOrigins updates the processes that keep the starts of streams. It runs on the control thread.
func (e *entry) refreshOrigins(x *origin.Exchange) {
	now := e.state.clock.Now()
	if now.Sub(e.originsRefreshedAt) < originsRefreshPeriod {
		return
	}
	e.originsRefreshedAt = now
	e.updateOriginMembers(x)
}

// onOriginMember adds a process that was heard for the first time. An entry that has just started
// thus asks the others as soon as it knows them.
func (e *entry) onOriginMember(x *origin.Exchange, m *mesh.Member) {
	if !e.originMembers[m.Address] {
		e.updateOriginMembers(x)
	}
}

func (e *entry) updateOriginMembers(x *origin.Exchange) {
	e.originMembers = map[netip.AddrPort]bool{}
	var members []origin.Member
	for _, entries := range []bool{true, false} {
		for _, m := range e.state.mesh.Live(entries) {
			e.originMembers[m.Address] = true
			members = append(members, origin.Member{Address: m.Address, Zone: m.Zone, Entry: entries, Leaving: m.Leaving})
		}
	}
	x.SetMembers(members)
}
