package gateway

import (
	"context"
	"net/netip"
	"slices"
	"time"

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
// waits for running requests. From the signal on it accepts only requests whose deadlines are
// before its exit, so that those that are interrupted had arrived earlier.
func (p *process) Stop() {
	exitAt := time.Now().Add(p.settings.stopTimeout())
	if p.entry != nil {
		p.entry.forwarder.BeginShutdown(exitAt, exitAt.Add(-answerTime))
		p.logger.Info("stopping", "exit_in", p.settings.stopTimeout(), "in_flight", p.entry.forwarder.InFlight())
	} else {
		p.logger.Info("stopping")
	}
	ctx, cancel := context.WithDeadline(context.Background(), exitAt.Add(-answerTime))
	defer cancel()
	p.loop.Post(func() {
		p.state.stop()
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

// drain waits for the running requests, and interrupts them when the context ends. It does not wait for
// connections on which no request has been sent, as http.Server.Shutdown does.
func (p *process) drain(ctx context.Context) {
	p.callers.conns.CloseIdle()
	awaitIdle(ctx, p.callers.conns.Busy)
	p.entry.forwarder.RefuseRequests()
	if awaitNone(ctx, p.callers.conns.Busy) {
		return
	}
	p.logger.Info("stop_cut_requests", "in_flight", p.entry.forwarder.InFlight())
	p.entry.forwarder.Interrupt()
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	awaitNone(ctx, p.callers.conns.Busy)
}

// awaitNone returns whether no request was running before the context ended.
func awaitNone(ctx context.Context, inFlight func() int) bool {
	for inFlight() > 0 {
		if !sleep.For(ctx, stopPollPeriod) {
			return false
		}
	}
	return true
}

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
		entries := p.state.mesh.Live(true)
		return stopsFirst(entries, p.settings.meshAddress(), p.state.stoppingSince) || slices.ContainsFunc(entries, func(m *mesh.Member) bool {
			return acceptsCallers(m, p.state.stoppingSince, p.clock.Now())
		})
	})
	return found || !ok
}

// stopsFirst reports whether an entry is in the first half, by address, of the entries that began to stop
// at the same time. The second half accepts callers until the first has restarted; if all waited for each
// other, none would before the end of the grace period.
func stopsFirst(entries []*mesh.Member, self netip.AddrPort, stoppingSince time.Time) bool {
	before, after := 0, 0
	for _, m := range entries {
		switch lag := m.StoppingSince.Sub(stoppingSince).Abs(); {
		case !m.Leaving || lag > minStopLag/2:
		case m.Address.Compare(self) < 0:
			before++
		default:
			after++
		}
	}
	return after > before
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
