package forward

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/origin"
)

const (
	// firstEpoch is the epoch of a stream that its caller has not taken up again.
	firstEpoch = 1
	// takeoverWait is how long a stream waits for the entry before to end it: some round trips. If that does not
	// answer it may be slow, stand still or be dead.
	takeoverWait = 20 * time.Millisecond
	// maxEndWait is how long a stream that cannot go on where it ran waits for the entry before to end it, before
	// it goes on at another target: one that stands still for a moment ends it when it goes on.
	maxEndWait = 400 * time.Millisecond
)

// Results of a takeover, in logs and metrics.
const (
	// notTakenOver streams were refused, or their entry before is not known.
	notTakenOver = "none"
	// takenOver streams have ended at the entry before, unanswered ones may run on there.
	takenOver       = "ended"
	takeoverPending = "unanswered"
)

// errTakenOver is the cause of requests that are ended because their callers have taken the stream up again.
var errTakenOver = errors.New("the caller has taken the stream up again")

// serveStream registers that this entry serves the stream.
func (fl *flow) serveStream(epoch uint32) {
	fl.origin.epoch = epoch
	fl.origin.release = fl.Origins.Serve(fl.origin.key, epoch, func(by netip.AddrPort) {
		fl.Logger.Info("stream_taken_over", "request_id", fl.request.ID, "resumes", bounded(fl.request.Resumes), "epoch", epoch, "by", by, "since_arrival", roundForLog(time.Since(fl.arrived)))
		fl.origin.end(errTakenOver)
	})
}

// leaveStream ends what serveStream has begun.
func (fl *flow) leaveStream() {
	if fl.origin.release != nil {
		fl.origin.release()
	}
	fl.origin.end(nil)
}

// takeOver makes the entry end the stream that has served it before, since the end of the caller's connection may
// not have arrived there. It waits for that only briefly: the stream then goes on where it ran before, if
// it can, so that it does not run at two targets.
func (fl *flow) takeOver(ctx context.Context, previous origin.Record) string {
	if ctx.Err() != nil {
		return notTakenOver // a request that arrives after its caller has left must not end a later one
	}
	previous.Epoch = max(previous.Epoch, firstEpoch)
	fl.serveStream(previous.Epoch + 1)
	if previous.Server == 0 {
		return notTakenOver
	}
	ended := fl.Origins.TakeOver(fl.origin.key, previous)
	wait := time.NewTimer(takeoverWait)
	defer wait.Stop()
	select {
	case <-ended:
		return takenOver
	case <-ctx.Done():
	case <-wait.C:
	}
	fl.origin.previousTarget = fleet.ID(previous.Target)
	fl.origin.ended = ended
	return takeoverPending
}

// placeAtPreviousTarget chooses the target at which the stream ran before, if the entry before may still have it run
// there, the target is in good health and can accept it now. It is attempted once.
func (fl *flow) placeAtPreviousTarget(ctx context.Context) *destination {
	if fl.origin.previousTarget == 0 {
		return nil
	}
	defer func() { fl.origin.previousTarget = 0 }()
	if v, ok := fl.View(); ok {
		fl.view = v
	}
	fl.restrictions.denials = 0
	fl.updateRestrictions()
	ejected := fl.Health.Ejected(fl.Now())
	isUsable := func(t fleet.Target) bool {
		_, isEjected := ejected[t.Incarnation]
		return !fl.mustNotContinueAt(&t) && !t.Leaving && !t.Unconfirmed && !isEjected && !fl.view.Unresponsive[t.Address]
	}
	if !slices.ContainsFunc(fl.view.Targets[fl.service.Name], isUsable) {
		return nil
	}
	dst, refusal := fl.chooseForStatus(ctx)
	if refusal != nil {
		return nil
	}
	if !fl.admitAtTarget(ctx, dst) {
		fl.endProbation(dst)
		return nil
	}
	return dst
}

// mustNotContinueAt reports whether a stream must not go on at a target, because that has another version or,
// during placeAtPreviousTarget, is another target.
func (fl *flow) mustNotContinueAt(t *fleet.Target) bool {
	return fl.hasOtherVersion(t) || fl.origin.previousTarget != 0 && t.ID != fl.origin.previousTarget
}

// awaitEnd waits until the entry before has ended the stream, before it goes on at another target than the one
// where it ran. It waits once, and briefly: that entry may be dead.
func (fl *flow) awaitEnd(ctx context.Context) {
	ended := fl.origin.ended
	if ended == nil {
		return
	}
	fl.origin.ended = nil
	start, hasEnded := time.Now(), false
	wait := time.NewTimer(min(maxEndWait, time.Duration(placeWaitShare*float64(fl.timeLeft()))))
	defer wait.Stop()
	select {
	case <-ended:
		hasEnded = true
	case <-wait.C:
	case <-ctx.Done():
	}
	fl.Logger.Info("stream_end_awaited", "request_id", fl.request.ID, "resumes", bounded(fl.request.Resumes), "epoch", fl.origin.epoch, "ended", hasEnded, "took", roundForLog(time.Since(start)))
}
