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
	beliefs *beliefs
	limiter *ratelimit.Limiter
	// port is where every entry answers about limits.
	port      uint16
	startedAt time.Time
	// met are the lives of the entries that were heard.
	met map[netip.AddrPort]uint64
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
	l := &limits{beliefs: p.beliefs, port: address.Port(), startedAt: p.clock.Now(), met: map[netip.AddrPort]uint64{}}
	l.limiter, err = ratelimit.Open(ratelimit.Options{Listen: address, Incarnation: p.incarnation, LimitOf: l.limitOf, Now: p.clock.Now})
	return l, err
}

// limitOf is a workspace's limit by the newest view.
func (l *limits) limitOf(workspace string) ratelimit.Limit {
	v, ok := l.beliefs.view.Get()
	if !ok || v.Estate == nil {
		return ratelimit.Limit{}
	}
	w := v.Estate.Workspace(workspace)
	if w == nil {
		return ratelimit.Limit{}
	}
	return w.Rate.Limit
}

// heard takes in at once that an entry has begun a life. Where all start anew, callers wait
// until they know of each other.
func (l *limits) heard(m *mesh.Member) {
	if l.met[m.Address] == m.Incarnation {
		return
	}
	l.met[m.Address] = m.Incarnation
	l.refresh()
}

// refresh tells the limiter which entries live. It runs on the control thread.
func (l *limits) refresh() {
	b := l.beliefs
	known, silent := b.mesh.Known(true)
	m := &ratelimit.Members{AsOf: b.clock.Now(), StartedAt: l.startedAt, Known: 1 + known, Unreachable: silent, Self: l.at(b.settings.mesh())}
	if !b.stopping {
		m.Live = append(m.Live, m.Self)
	}
	for _, member := range b.mesh.Live(true) {
		if !member.Leaving {
			m.Live = append(m.Live, l.at(member.Address))
		}
	}
	m.HeardPeer = len(l.met) > 0 || b.settings.FirstStart
	l.limiter.SetMembers(m)
}

// at is where the entry at a mesh address answers about limits.
func (l *limits) at(mesh netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(mesh.Addr(), l.port)
}
