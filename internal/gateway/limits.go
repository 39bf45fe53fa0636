package gateway

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// limits is an entry's part in the rate limits of workspaces.
type limits struct {
	state   *clusterState
	limiter *ratelimit.Limiter
	// port is where every entry answers about limits.
	port      uint16
	startedAt time.Time
	// seenIncarnations are the lives of the entries that were heard.
	seenIncarnations map[netip.AddrPort]uint64
}

// openLimits binds the address; without one there are no limits.
func openLimits(p *process) (*limits, error) {
	if p.settings.LimitsListen == "" {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(p.settings.LimitsListen)
	if err != nil {
		return nil, errors.Wrap(err, "limits_listen")
	}
	l := &limits{state: p.state, port: address.Port(), startedAt: p.clock.Now(), seenIncarnations: map[netip.AddrPort]uint64{}}
	l.limiter, err = ratelimit.Open(ratelimit.Options{Listen: address, Incarnation: p.incarnation, LimitOf: l.limitOf, Now: p.clock.Now})
	return l, err
}

// limitOf is a workspace's limit by the newest view.
func (l *limits) limitOf(workspace string) ratelimit.Limit {
	v, ok := l.state.view.Get()
	if !ok || v.Estate == nil {
		return ratelimit.Limit{}
	}
	w := v.Estate.Workspace(workspace)
	if w == nil {
		return ratelimit.Limit{}
	}
	return w.Rate.Limit
}

// onHeartbeat takes in at once that an entry has begun a life. Where all start anew, callers wait
// until they know of each other.
func (l *limits) onHeartbeat(m *mesh.Member) {
	if l.seenIncarnations[m.Address] == m.Incarnation {
		return
	}
	l.seenIncarnations[m.Address] = m.Incarnation
	l.refresh()
}

// refresh tells the limiter which entries live. It runs on the control thread.
func (l *limits) refresh() {
	b := l.state
	known, silent := b.mesh.Known(true)
	m := &ratelimit.Members{At: b.clock.Now(), StartedAt: l.startedAt, Known: 1 + known, Silent: silent, Self: l.limitsAddress(b.settings.meshAddress())}
	if !b.stopping {
		m.Live = append(m.Live, m.Self)
	}
	for _, member := range b.mesh.Live(true) {
		if !member.Leaving {
			m.Live = append(m.Live, l.limitsAddress(member.Address))
		}
	}
	m.Heard = len(l.seenIncarnations) > 0 || b.settings.FirstStart
	l.limiter.SetMembers(m)
}

// limitsAddress is where the entry limitsAddress a mesh address answers about limits.
func (l *limits) limitsAddress(mesh netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(mesh.Addr(), l.port)
}
