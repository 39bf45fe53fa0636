package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/mesh"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

const (
	// balancerNotice is how long a stopping entry still takes new connections:
	// the balancer turns away after two questions a second apart.
	balancerNotice = 2500 * time.Millisecond
	// balancerReturn is how long after its first heartbeat an entry is given
	// connections: the balancer asks once a second.
	balancerReturn = 1200 * time.Millisecond
	// successorPeriod is how often another entry is looked for.
	successorPeriod = 50 * time.Millisecond
	// stopGap is by how much later another entry must have begun to stop to be
	// waited for by callers; less may be the way of its heartbeat.
	stopGap = 300 * time.Millisecond
	// idleFor is the time without requests after which a stopping entry ends. A
	// request that was sent before the port closed has arrived by then.
	idleFor = 200 * time.Millisecond
)

// Stop is the planned stop. The entry is not ready at once, so that the
// balancer turns away; it goes on taking requests until the balancer has and
// another entry takes them, and asks callers to use other connections; then it
// ends what runs. No request is cut that ends within the grace period.
func (p *process) Stop() {
	p.logger.Info("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.grace())
	defer cancel()
	endsAt, _ := ctx.Deadline()
	p.loop.Post(func() {
		p.beliefs.stop(endsAt)
		p.beliefs.post()
		p.beliefs.mesh.Broadcast()
	})
	if p.callers != nil {
		sleep.For(ctx, balancerNotice)
		awaitSuccessor(ctx, func() bool { return p.hasSuccessor(ctx) })
		_ = p.listener.Close()
		p.finish(ctx)
	}
	p.Close()
}

// finish waits for the requests under way to end.
//
// The failure guarded against is a connection on which no request comes: the
// server waits for it to the end of the grace period, and for that long the
// host serves nobody.
func (p *process) finish(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		awaitIdle(ctx, p.entry.forwarder.InFlight)
		cancel(errIdle)
	}()
	err := p.callers.shutdown(ctx)
	if err != nil && !errors.Is(context.Cause(ctx), errIdle) {
		p.logger.Info("stop_cut_requests", "in_flight", p.entry.forwarder.InFlight(), "error", err.Error())
	}
}

// errIdle is the cause of contexts that end because no request is under way.
var errIdle = errors.New("no request is under way")

// awaitIdle returns when no request has been under way for idleFor, or the context
// has ended.
func awaitIdle(ctx context.Context, inFlight func() int) {
	since := time.Now()
	for time.Since(since) < idleFor && sleep.For(ctx, successorPeriod) {
		if inFlight() > 0 {
			since = time.Now()
		}
	}
}

// awaitSuccessor returns when another entry takes callers, or the context has
// ended.
//
// The failure guarded against is a roll that is quicker than the stops: while
// every entry stops, the balancer has nowhere to turn, and callers find closed
// ports for a second and more.
func awaitSuccessor(ctx context.Context, taken func() bool) {
	for !taken() && sleep.For(ctx, successorPeriod) {
		continue
	}
}

// hasSuccessor reports whether another entry takes callers.
func (p *process) hasSuccessor(ctx context.Context) bool {
	found, ok := control.Call(ctx, p.loop, func() bool {
		return slices.ContainsFunc(p.beliefs.mesh.Live(true), func(m *mesh.Member) bool {
			return takesCallers(m, p.beliefs.stoppingSince, p.clock.Now())
		})
	})
	return found || !ok
}

// takesCallers reports whether another entry takes callers in place of one that
// stops since a time: it serves and the balancer gives it connections, or it began
// to stop later, and so goes on until the first one is back.
func takesCallers(m *mesh.Member, stopping, now time.Time) bool {
	if !m.Leaving {
		return now.Sub(m.AliveSince) > balancerReturn
	}
	return m.StoppingSince.Sub(stopping) > stopGap
}
