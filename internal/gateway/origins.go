package gateway

import (
	"net/netip"
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/origin"
)

// originsRefreshPeriod is how often the processes are updated that keep the starts of streams.
const originsRefreshPeriod = 500 * time.Millisecond

// newOrigins returns the exchange of a process. Sidecars keep records and answer questions only.
func newOrigins(p *process) *origin.Exchange {
	x := origin.NewExchange(origin.Options{
		Zone: p.settings.AvailabilityZone, Now: p.clock.Now,
		Send: func(to netip.AddrPort, m *peerv1.OriginMessage) { p.state.mesh.SendOrigin(to, m) },
	})
	p.metrics.RegisterGauge("stream_starts_kept", "Streams of which this process keeps the software version that began them.", func() float64 { return float64(x.Size()) })
	return x
}

// refreshOrigins updates the processes that keep the starts of streams. It runs on the control thread.
func (e *entry) refreshOrigins(x *origin.Exchange) {
	now := e.state.clock.Now()
	if now.Sub(e.originsRefreshedAt) < originsRefreshPeriod {
		return
	}
	e.originsRefreshedAt = now
	var members []origin.Member
	for _, entries := range []bool{true, false} {
		for _, m := range e.state.mesh.Live(entries) {
			if !m.Leaving {
				members = append(members, origin.Member{Address: m.Address, Zone: m.Zone, Entry: entries})
			}
		}
	}
	x.SetMembers(members)
}
