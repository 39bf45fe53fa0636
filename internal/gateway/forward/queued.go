package forward

import (
	"context"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/quarantine"
	"github.com/toucanwell/toucanwell/internal/gateway/queue"
	"github.com/toucanwell/toucanwell/internal/sleep"
)

// ConfigureQueue enables the queue with a policy, or disables it if the policy is nil. Requests that
// wait are served as before.
func (f *Forwarder) ConfigureQueue(p *queue.Policy) {
	if p != nil {
		f.waitingRoom.setPolicy(*p)
	}
	f.queueEnabled.Store(p != nil)
}

// QueueStats returns a snapshot of the queue; ok is false while it is disabled.
func (f *Forwarder) QueueStats() (s queue.Stats, ok bool) {
	return f.waitingRoom.stats(), f.queueEnabled.Load()
}

// NotifyQueue lets waiting requests attempt placement soon, after a change of the view or of what
// other processes report.
func (f *Forwarder) NotifyQueue() { f.waitingRoom.notify() }

// usesQueue reports whether the request waits in the queue if it finds no target. Requests in
// quarantine wait for their probation run instead.
func (fl *flow) usesQueue() bool {
	return fl.queueEnabled.Load() && fl.quarantineStatus.Verdict == quarantine.Free
}

// placeQueued chooses the target of the next send. The request waits in the queue for it if necessary.
func (fl *flow) placeQueued(ctx context.Context) (*destination, *errkind.Error) {
	fl.restrictions.denials = 0
	w, d := fl.waitingRoom.enter(fl.queueItem())
	fl.waiter = w
	for {
		if refusal := fl.awaitTurn(ctx, d); refusal != nil {
			fl.leaveQueue()
			return nil, refusal
		}
		dst, refusal := fl.attemptPlacement(ctx)
		switch {
		case dst != nil && ctx.Err() == nil:
			return dst, nil
		case dst != nil:
			fl.release(dst) // nothing is sent for a caller that has left
			return nil, fl.contextRefusal(ctx)
		case refusal != nil && refusal.Kind != errkind.NoTarget:
			fl.leaveQueue()
			return nil, refusal
		case fl.quarantineStatus.Verdict != quarantine.Free:
			fl.leaveQueue()
			return fl.placePolling(ctx)
		}
		d = w.failed()
	}
}

// awaitTurn returns when the request may attempt placement, or a refusal.
func (fl *flow) awaitTurn(ctx context.Context, d queue.Decision) *errkind.Error {
	switch d.Action {
	case queue.Refuse:
		return fl.queueRefusal(&d.Refusal)
	case queue.Wait:
		refusal, err := fl.waiter.await(ctx)
		if err != nil {
			return fl.contextRefusal(ctx)
		}
		if refusal != nil {
			return fl.queueRefusal(refusal)
		}
	}
	return nil
}

// attemptPlacement attempts placement. It returns neither a destination nor a refusal if targets have no
// room within their limits. It waits for a shared part of the prompt that is being computed.
func (fl *flow) attemptPlacement(ctx context.Context) (*destination, *errkind.Error) {
	for {
		if v, ok := fl.View(); ok {
			fl.view = v
		}
		fl.updateRestrictions()
		dst, refusal := fl.chooseForStatus(ctx)
		if refusal != nil {
			return nil, refusal
		}
		if dst.probation == 0 && fl.shouldAwaitParts(dst) {
			fl.waiter.deferTurn()
			if !sleep.For(ctx, placeIntervalOf(dst)) {
				return nil, fl.contextRefusal(ctx)
			}
			continue
		}
		if fl.admitAtTarget(ctx, dst) {
			return dst, nil
		}
		fl.endProbation(dst)
		if fl.restrictions.denials > maxDenials {
			return nil, nil
		}
	}
}

// leaveQueue removes the request from the queue if it is there.
func (fl *flow) leaveQueue() {
	if fl.waiter != nil {
		fl.waiter.leave()
		fl.waiter = nil
	}
}

// recordPlaced reports to the queue that the ledger contains the request.
func (fl *flow) recordPlaced() {
	if fl.waiter != nil {
		fl.waiter.placed()
		fl.waiter = nil
	}
}

// queueItem returns the request as an item of the queue.
func (fl *flow) queueItem() queue.Item {
	run := fl.runTimes.expected(fl.route.Name, fl.request.MaxTokens)
	it := queue.Item{
		RequestID: fl.request.ID, Key: uint64(fl.fingerprint), Service: fl.service.Name, Workspace: fl.workspaceName(), Urgency: fl.priority(false),
		Cost: 1, Bytes: len(fl.body), Arrived: fl.arrived, Deadline: fl.deadline, ExpectedRun: run,
		Returned: fl.isRetry || fl.sends > 0, FirstArrival: fl.arrived.Add(-fl.callerTimeouts.spent(fl.route.Name, fl.request.TimeLeft)),
		Restricted: len(fl.excluded) > 0 || fl.origin.bound,
	}
	if fl.service.Engine != nil && fl.route.HasPrompts {
		in := fl.placementInput()
		it.Cost, it.FirstEvent = float64(in.OwnTokens+in.SharedTokens), fl.prefillTime.PrefillTime(in.OwnTokens)
		it.Probed = fl.view.LargeFleet && fl.Sidecars != nil
	}
	if fl.route.Kind == estate.Stream {
		it.ExpectedRun += it.FirstEvent
	} else {
		it.FirstEvent = it.ExpectedRun // the objective is about the complete response
	}
	if fl.responseStarted {
		it.Urgency = 0 // the caller is in the middle of a stream
		return it
	}
	if fl.route.TargetLatency > 0 {
		it.Objective = fl.arrived.Add(fl.route.TargetLatency)
	}
	if fl.route.MaxWait > 0 {
		// The caller gives up if the first event has not come by then.
		if end := fl.arrived.Add(fl.route.MaxWait - it.FirstEvent + it.ExpectedRun); end.Before(it.Deadline) {
			it.Deadline = end
		}
	}
	return it
}

// queueRefusal returns the error for a caller that the queue refuses. The request has not run.
func (fl *flow) queueRefusal(r *queue.Refusal) *errkind.Error {
	kind := errkind.DeadlineUnmeetable
	switch r.Reason {
	case queue.Full:
		kind = errkind.Overloaded
	case queue.NoForecast:
		kind = errkind.NoTarget
	case queue.Stopping:
		return fl.stoppingRefusal()
	}
	forecast := "unknown"
	if r.Forecast != queue.Unknown {
		forecast = r.Forecast.Round(time.Millisecond).String()
	}
	return errkind.NewRetryAfter(kind, r.RetryAfter, "queue: %s; waited %s, forecast %s", r.Reason, r.Waited.Round(time.Millisecond), forecast)
}
