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
	// balancerRemoveTime is how long a stopping entry still accepts new connections. The load
	// balancer stops sending connections after two failed readiness checks, one second apart.
	balancerRemoveTime = 2500 * time.Millisecond
	// balancerReaddTime is how long after its first heartbeat an entry receives connections.
	// The load balancer checks readiness once a second.
	balancerReaddTime = 1200 * time.Millisecond
	// stopPollPeriod is the interval between checks for a successor and for running requests.
	stopPollPeriod = 50 * time.Millisecond
	// minStopLag is how much later another entry must have begun to stop to count as a
	// successor. Smaller differences may be due to the latency of heartbeats.
	minStopLag = 300 * time.Millisecond
	// idleTime is the time without requests after which a stopping entry exits. Requests that
	// were sent before the port was closed have arrived by then.
	idleTime = 200 * time.Millisecond
	// answerTime is reserved before the exit for the last answers.
	answerTime = 250 * time.Millisecond
)

// Stop shuts the process down gracefully. The entry becomes unready at once, but accepts
// connections until the load balancer has stopped sending them and another entry accepts
// callers; meanwhile it asks callers to use other connections. Then it closes the port and
// waits for running requests. Requests that end within the grace period are not
// interrupted.
func (p *process) Stop() {
	exitAt := time.Now().Add(p.settings.stopTimeout())
	if p.entry != nil {
		p.entry.forwarder.BeginShutdown(exitAt)
		p.logger.Info("stopping", "exit_in", time.Until(exitAt), "in_flight", p.entry.forwarder.InFlight())
	} else {
		p.logger.Info("stopping")
	}
	ctx, cancel := context.WithDeadline(context.Background(), exitAt.Add(-answerTime))
	defer cancel()
	p.loop.Post(func() {
		p.state.stop(exitAt)
		p.state.publishView()
		p.state.mesh.Broadcast()
	})
	if p.callers != nil {
		sleep.For(ctx, balancerRemoveTime)
		awaitSuccessor(ctx, func() bool { return p.hasSuccessor(ctx) })
		_ = p.listener.Close()
		p.drain(ctx)
		p.origins.HandOver()
	}
	p.Close()
}

// drain waits for the running requests. It does not wait for connections on which no
// request has been sent, as http.Server.Shutdown does.
func (p *process) drain(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go func() {
		awaitIdle(ctx, p.entry.forwarder.InFlight)
		cancel(errIdle)
	}()
	err := p.callers.shutdown(ctx)
	if err != nil && !errors.Is(context.Cause(ctx), errIdle) {
		p.logger.Info("stop_cut_requests", "in_flight", p.entry.forwarder.InFlight(), "error", err.Error())
		p.entry.forwarder.Interrupt()
		sleep.For(context.Background(), answerTime)
	}
}

// errIdle is the cancellation cause when no request is running.
var errIdle = errors.New("no request is running")

// awaitIdle returns when no request has been running for idleTime, or the context has
// ended.
func awaitIdle(ctx context.Context, inFlight func() int) {
	since := time.Now()
	for time.Since(since) < idleTime && sleep.For(ctx, stopPollPeriod) {
		if inFlight() > 0 {
			since = time.Now()
		}
	}
}

// awaitSuccessor returns when another entry accepts callers, or the context has ended. In a
// rolling restart that is faster than the shutdowns, all entries would otherwise have
// closed their ports at the same time.
func awaitSuccessor(ctx context.Context, found func() bool) {
	for !found() && sleep.For(ctx, stopPollPeriod) {
		continue
	}
}

// hasSuccessor reports whether another entry accepts callers.
func (p *process) hasSuccessor(ctx context.Context) bool {
	found, ok := control.Call(ctx, p.loop, func() bool {
		return slices.ContainsFunc(p.state.mesh.Live(true), func(m *mesh.Member) bool {
			return acceptsCallers(m, p.state.stoppingSince, p.clock.Now())
		})
	})
	return found || !ok
}

// acceptsCallers reports whether another entry accepts callers in place of one that began
// to stop at the given time: it is running and receives connections from the load balancer,
// or it began to stop later and thus waits for a successor itself.
func acceptsCallers(m *mesh.Member, stoppingSince, now time.Time) bool {
	if !m.Leaving {
		return now.Sub(m.AliveSince) > balancerReaddTime
	}
	return m.StoppingSince.Sub(stoppingSince) > minStopLag
}
