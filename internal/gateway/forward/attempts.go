package forward

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/callers"
	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// run sends the request until it is served or no further send is possible. It returns nil
// if the caller got a response.
func (fl *flow) run(ctx context.Context) *errkind.Error {
	fl.excluded, fl.sentTo = map[fleet.Incarnation]bool{}, map[netip.AddrPort]int{}
	fl.lastEvent = fl.request.LastEventID
	defer fl.leaveQueue()
	if refusal := fl.resolveOrigin(ctx); refusal != nil {
		return refusal
	}
	var lastRefusal *errkind.Error
	for {
		if refusal := fl.checkNextSend(ctx, lastRefusal); refusal != nil {
			return refusal
		}
		dst, refusal := fl.place(ctx)
		if refusal != nil {
			return fl.finalRefusal(lastRefusal, refusal)
		}
		if !fl.isIncarnationConfirmed(ctx, dst) {
			fl.release(dst)
			fl.excluded[dst.target.Incarnation] = true
			continue
		}
		if refusal := fl.checkExit(); refusal != nil {
			fl.release(dst)
			return fl.finalRefusal(lastRefusal, refusal)
		}
		if callers.HasLeft(fl.r.Context()) {
			fl.release(dst)
			return callerLeft()
		}
		if fl.delivered > 0 && !fl.retries.Spend() {
			fl.release(dst)
			return fl.finalRefusal(lastRefusal, errkind.NewRetryAfter(errkind.Overloaded, fl.jitter(busyRetryAfter), "the retry budget is exhausted"))
		}
		fl.chargeRerun()
		result := fl.send(ctx, dst)
		if result.final {
			return result.refusal
		}
		if !result.notRun || fl.runs == 0 {
			lastRefusal = result.refusal // a refusal after a run would say that it did not happen
		}
		if !fl.mayRetry(result) {
			return lastRefusal
		}
		fl.Metrics.Retry(lastRefusal.Kind.String())
		fl.retryCause = lastRefusal.Kind.String()
	}
}

// release gives back what was taken for a send that is not made.
func (fl *flow) release(dst *destination) {
	fl.leaveQueue()
	fl.endProbation(dst)
	fl.refundAdmission(dst)
	fl.endRestTrial(dst)
}

const (
	// maxSends limits the sends of one request, including those that targets refuse.
	maxSends = 4
	// minTimeLeft is the least remaining time that makes a retry worthwhile.
	minTimeLeft = 15 * time.Millisecond
)

// checkNextSend returns the error that ends the request, or nil if another send may be
// made.
func (fl *flow) checkNextSend(ctx context.Context, lastRefusal *errkind.Error) *errkind.Error {
	if ctx.Err() != nil {
		return fl.contextRefusal(ctx)
	}
	if callers.HasLeft(fl.r.Context()) {
		return callerLeft()
	}
	if fl.sends >= maxSends {
		return lastRefusal
	}
	if fl.sends > 0 && fl.timeLeft() < minTimeLeft {
		return lastRefusal
	}
	return nil
}

// callerLeft returns the refusal of a request whose caller has closed the connection.
func callerLeft() *errkind.Error {
	return errkind.New(errkind.Cancelled, "the caller closed the connection")
}

// contextRefusal returns the refusal for a context that has ended.
func (fl *flow) contextRefusal(ctx context.Context) *errkind.Error {
	if fl.r.Context().Err() != nil {
		return callerLeft()
	}
	if errors.Is(context.Cause(ctx), errTakenOver) {
		return errkind.New(errkind.Cancelled, "%v", errTakenOver)
	}
	if errors.Is(context.Cause(ctx), errExit) {
		return fl.exitRefusal()
	}
	if fl.runs == 0 {
		return errkind.NewRetryAfter(errkind.DeadlineUnmeetable, busyRetryAfter, "%v", context.Cause(ctx))
	}
	return errkind.New(errkind.TimedOut, "%v", context.Cause(ctx))
}

// finalRefusal returns the error for the caller when no further send is possible. A request
// that may have run must not be reported as not run by a later refusal.
func (fl *flow) finalRefusal(lastRefusal, refusal *errkind.Error) *errkind.Error {
	if lastRefusal != nil && fl.runs > 0 {
		return lastRefusal
	}
	return refusal
}

// mayRetry reports whether a request that failed at one target may be sent to another.
func (fl *flow) mayRetry(result sendResult) bool {
	if fl.responseStarted && !(fl.route.Resumable && fl.lastEvent != "") {
		return false // a new run would restart the stream
	}
	return result.notRun || fl.route.Retryable() && fl.runs < fl.route.MaxAttempts
}
