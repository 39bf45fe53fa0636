package gateway

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// limits enforces the rate limits of workspaces and targets at an entry.
type limits struct {
	state   *clusterState
	entry   *entry
	limiter *ratelimit.Limiter
	// port is the port on which all entries serve rate-limit leases.
	port      uint16
	startedAt time.Time
	// seenIncarnations are the last seen incarnations of the other entries.
	seenIncarnations map[netip.AddrPort]uint64
}

// openLimits starts the rate limiter. It returns nil if rate limits are disabled.
func openLimits(p *process) (*limits, error) {
	if p.settings.LimitsListen == "" {
		return nil, nil
	}
	address, err := netip.ParseAddrPort(p.settings.LimitsListen)
	if err != nil {
		return nil, errors.Wrap(err, "limits_listen")
	}
	l := &limits{state: p.state, entry: p.entry, port: address.Port(), startedAt: p.clock.Now(), seenIncarnations: map[netip.AddrPort]uint64{}}
	l.limiter, err = ratelimit.Open(ratelimit.Options{
		Listen: address, Incarnation: p.incarnation, LimitOf: l.limitOf, Stated: p.entry.statedLimit, Learn: p.entry.learnLimit, Now: p.clock.Now,
		OnRequest: func(kind ratelimit.RequestKind) { p.metrics.RateLimitRequest(string(kind)) },
	})
	return l, err
}

// limitOf returns the limit of a target, or that of a workspace in the current view.
func (l *limits) limitOf(key string) ratelimit.Limit {
	if id, isTarget := pushback.IDFromKey(key); isTarget {
		return l.entry.targetLimitOf(id)
	}
	v, ok := l.state.view.Get()
	if !ok || v.Estate == nil {
		return ratelimit.Limit{}
	}
	w := v.Estate.Workspace(key)
	if w == nil {
		return ratelimit.Limit{}
	}
	return w.Rate.Limit
}

// onHeartbeat refreshes the limiter's members as soon as another entry has started. After a
// restart of all entries, callers wait until the entries know each other.
func (l *limits) onHeartbeat(m *mesh.Member) {
	if l.seenIncarnations[m.Address] == m.Incarnation {
		return
	}
	l.seenIncarnations[m.Address] = m.Incarnation
	l.refresh()
}

// refresh updates the limiter's members. It runs on the control thread.
func (l *limits) refresh() {
	state := l.state
	known, unreachable := state.mesh.Known(true)
	m := &ratelimit.Members{AsOf: state.clock.Now(), StartedAt: l.startedAt, Known: 1 + known, Unreachable: unreachable, Self: l.limitsAddress(state.settings.meshAddress())}
	if !state.stopping {
		m.Live = append(m.Live, m.Self)
	}
	for _, member := range state.mesh.Live(true) {
		if !member.Leaving {
			m.Live = append(m.Live, l.limitsAddress(member.Address))
		}
	}
	m.HeardPeer = len(l.seenIncarnations) > 0 || state.settings.FirstStart
	l.limiter.SetMembers(m)
}

// limitsAddress returns the address on which the entry at a mesh address serves rate-limit
// leases.
func (l *limits) limitsAddress(mesh netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(mesh.Addr(), l.port)
}
