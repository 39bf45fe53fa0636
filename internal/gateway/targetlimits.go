package gateway

import (
	"context"
	"net/netip"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/asof"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/forward"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// targetLimits shares the rate limits that targets state among all entries. It implements
// forward.TargetLimits.
type targetLimits struct {
	state *clusterState
	// limiter shares the limits among the entries. Without it each entry keeps to an equal share.
	limiter *ratelimit.Limiter
	local   *ratelimit.Coordinator
	self    ratelimit.Holder
}

// localIdleTimeout is how long the buckets of an entry without a limiter are kept.
const localIdleTimeout = time.Minute

func newTargetLimits(p *process) *targetLimits {
	return &targetLimits{
		state: p.state, local: ratelimit.NewCoordinator(localIdleTimeout),
		self: ratelimit.Holder{Address: p.settings.meshAddress(), Incarnation: p.incarnation},
	}
}

// RefusedUntil implements forward.TargetLimits.
func (l *targetLimits) RefusedUntil(r forward.TargetRequest) (time.Time, bool) {
	if l.limiter == nil {
		return time.Time{}, false
	}
	return l.limiter.RefusedUntil(pushback.Key(r.Target), floor(r))
}

// maxFloor bounds the share of a target's bucket that is left for others. Requests of the lowest
// priority get what others leave over, but not nothing.
const maxFloor = 0.75

// floor returns the share of the target's bucket that a request leaves for others.
func floor(r forward.TargetRequest) float64 {
	return min(float64(r.Reserve)/ratelimit.TargetLimit(r.PerSecond).Burst, maxFloor)
}

// Admit implements forward.TargetLimits.
func (l *targetLimits) Admit(ctx context.Context, r forward.TargetRequest) ratelimit.Decision {
	limit := ratelimit.TargetLimit(r.PerSecond)
	if l.limiter == nil {
		return l.admitShare(r, limit)
	}
	return l.limiter.Admit(ctx, ratelimit.Request{Key: pushback.Key(r.Target), Limit: limit, Cost: 1, Floor: floor(r), IsRetry: r.IsRetry, HasAlternative: true})
}

// admitShare decides by this entry's share of a limit.
func (l *targetLimits) admitShare(r forward.TargetRequest, limit ratelimit.Limit) ratelimit.Decision {
	entries := 1
	if v, ok := l.state.view.Get(); ok {
		entries = max(v.EntryCount, 1)
	}
	now := l.state.clock.Now()
	request := ratelimit.LeaseRequest{RequestCost: 1, Floor: floor(r), IsRetry: r.IsRetry}
	resp := l.local.Handle(pushback.Key(r.Target), l.self, request, limit.Scaled(1/float64(entries)), now, now)
	return ratelimit.Decision{Admitted: resp.Admitted, Source: ratelimit.OwnShare, Level: resp.Level, RetryAfter: resp.RetryDelay}
}

// Refund implements forward.TargetLimits.
func (l *targetLimits) Refund(target fleet.ID, d ratelimit.Decision) {
	if l.limiter != nil {
		l.limiter.Refund(ratelimit.Request{Key: pushback.Key(target), Cost: 1}, d)
	}
}

// targetLimitOf returns the bucket of a target's key, or no limit if the target states none.
func (e *entry) targetLimitOf(id fleet.ID) ratelimit.Limit {
	perSecond, _, limited := e.pushback.RateLimit(id, e.state.clock.Now())
	if !limited {
		return ratelimit.Limit{}
	}
	return ratelimit.TargetLimit(perSecond)
}

// statedLimit returns what this entry knows of a target's limit, to be sent to its coordinator.
func (e *entry) statedLimit(key string) (ratelimit.StatedLimit, bool) {
	id, isTarget := pushback.IDFromKey(key)
	if !isTarget {
		return ratelimit.StatedLimit{}, false
	}
	now := e.state.clock.Now()
	perSecond, statedAt, limited := e.pushback.RateLimit(id, now)
	return ratelimit.StatedLimit{PerSecond: perSecond, Age: now.Sub(statedAt)}, limited
}

// learnLimit applies what another entry knows of a target's limit.
func (e *entry) learnLimit(key string, s ratelimit.StatedLimit, from netip.AddrPort, receipt asof.Receipt) {
	if id, isTarget := pushback.IDFromKey(key); isTarget {
		e.pushback.Learn(id, s, from.Addr().String(), receipt)
	}
}
