package forward

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/pushback"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// TargetLimits shares the rate limits that targets state among all entries.
type TargetLimits interface {
	// RefusedUntil returns until when a target is known to have no room for a request; ok is false
	// if it may have.
	RefusedUntil(r TargetRequest) (until time.Time, ok bool)
	// Admit takes one request from a target's limit.
	Admit(ctx context.Context, r TargetRequest) ratelimit.Decision
	// Refund returns an admitted request that did not reach the target.
	Refund(target fleet.ID, d ratelimit.Decision)
}

// TargetRequest asks for one request to a target that states a rate limit.
type TargetRequest struct {
	Target fleet.ID
	// PerSecond is the stated limit.
	PerSecond float64
	// Reserve is the number of requests for which room must be left: for those that precede this
	// one.
	Reserve int
	// IsRetry is set if the caller was probably refused before.
	IsRetry bool
}

const (
	// maxDenials is how many targets may refuse a request for lack of room within their limits
	// before all others with a limit are passed over. Each refusal takes a round trip.
	maxDenials = 3
	// minThrottledRetry is the shortest retry delay for callers that are refused because all targets
	// have asked for fewer requests.
	minThrottledRetry = 50 * time.Millisecond
	// maxAvoidedLogged bounds the targets that a log line names.
	maxAvoidedLogged = 4
)

// restrictions are what targets have stated, as they apply to one placement.
type restrictions struct {
	rateLimits map[fleet.ID]float64
	leaving    map[fleet.ID]bool
	// resting are the targets that have asked this entry for no requests, until when.
	resting map[fleet.ID]time.Time
	// denials counts the targets that had no room within their limits.
	denials int
	// avoided are the targets that were passed over, until each of them may have room.
	avoided map[fleet.ID]avoidance
}

// avoidance is why and until when a target is passed over.
type avoidance struct {
	target fleet.Incarnation
	reason string
	until  time.Time
}

// Reasons for which targets are passed over, as they appear in logs and metrics.
const (
	reasonRateLimit = "rate_limit"
	reasonLeaving   = "leaving"
	reasonRest      = "rest"
)

// recordPushback records what a response to a request sent at sentAt states about the load that
// its target takes.
func (fl *flow) recordPushback(dst *destination, reply *wire.Reply, sentAt time.Time) {
	fl.Pushback.Record(pushback.Response{
		Target: dst.target.ID, Incarnation: dst.target.Incarnation, Pushback: reply.Pushback, RequestID: fl.request.ID, SentAt: sentAt,
	}, fl.Now())
	dst.restTrial = false // the response has decided it
}

// updateRestrictions takes what targets state now as the basis of the next choice.
func (fl *flow) updateRestrictions() {
	now := fl.Now()
	r := &fl.restrictions
	r.rateLimits, r.leaving, r.resting, r.avoided = fl.Pushback.RateLimits(now), fl.Pushback.Leaving(now), fl.Pushback.Resting(now), nil
}

// isRestrained reports whether a target has stated that it takes no request now.
func (fl *flow) isRestrained(t *fleet.Target) bool {
	if fl.restrictions.leaving[t.ID] {
		fl.avoid(t, reasonLeaving, time.Time{})
		return true
	}
	if until, resting := fl.restrictions.resting[t.ID]; resting {
		fl.avoid(t, reasonRest, until)
		return true
	}
	perSecond, limited := fl.restrictions.rateLimits[t.ID]
	if !limited {
		return false
	}
	until, refused := fl.limitedUntil(fl.targetRequest(t.ID, perSecond))
	if refused {
		fl.avoid(t, reasonRateLimit, until)
	}
	return refused
}

// limitedUntil returns until when a target with a rate limit has no room.
func (fl *flow) limitedUntil(r TargetRequest) (time.Time, bool) {
	if until, refused := fl.TargetLimits.RefusedUntil(r); refused {
		return until, true
	}
	if fl.restrictions.denials < maxDenials {
		return time.Time{}, false
	}
	return fl.Now().Add(time.Duration(float64(time.Second) / ratelimit.TargetLimit(r.PerSecond).PerSecond)), true
}

func (fl *flow) avoid(t *fleet.Target, reason string, until time.Time) {
	if fl.restrictions.avoided == nil {
		fl.restrictions.avoided = map[fleet.ID]avoidance{}
	}
	fl.restrictions.avoided[t.ID] = avoidance{target: t.Incarnation, reason: reason, until: until}
}

// targetRequest returns the question whether a target has room for the request. Room is left for
// requests of each higher priority, and for callers that were refused and are due to come back.
func (fl *flow) targetRequest(target fleet.ID, perSecond float64) TargetRequest {
	r := TargetRequest{Target: target, PerSecond: perSecond, Reserve: fl.priority(false), IsRetry: fl.isRetry}
	if !fl.isRetry && fl.returns.pending(fl.service.Name, fl.Now()) {
		r.Reserve++
	}
	return r
}

// admitAtTarget reports whether the destination takes the request: its rest is over, and there is room
// within its rate limit. It takes the request from the limit.
func (fl *flow) admitAtTarget(ctx context.Context, dst *destination) bool {
	var ok bool
	if dst.restTrial, ok = fl.Pushback.BeginTrial(dst.target.ID, fl.Now()); !ok {
		fl.restrictions.denials++
		return false
	}
	if !fl.admitWithinLimit(ctx, dst) {
		fl.endRestTrial(dst)
		return false
	}
	return true
}

// endRestTrial ends the trial of the destination after its rest, if the request is one.
func (fl *flow) endRestTrial(dst *destination) {
	if dst.restTrial {
		fl.Pushback.EndTrial(dst.target.ID)
		dst.restTrial = false
	}
}

// admitWithinLimit takes the request from the rate limit of its destination, if that has one, and
// reports whether there was room.
func (fl *flow) admitWithinLimit(ctx context.Context, dst *destination) bool {
	perSecond, limited := fl.restrictions.rateLimits[dst.target.ID]
	if !limited {
		return true
	}
	dst.admission = fl.TargetLimits.Admit(ctx, fl.targetRequest(dst.target.ID, perSecond))
	fl.Metrics.TargetLimitDecision(string(dst.admission.Source), dst.admission.Admitted)
	if !dst.admission.Admitted {
		fl.restrictions.denials++
	}
	return dst.admission.Admitted
}

// refundAdmission returns a request that did not reach its target to the target's rate limit.
func (fl *flow) refundAdmission(dst *destination) {
	if dst.admission.Admitted {
		fl.TargetLimits.Refund(dst.target.ID, dst.admission)
		dst.admission = ratelimit.Decision{}
	}
}

// throttledRefusal returns the refusal of a request for which all targets of its service have asked
// for fewer requests, or nil if that is not why there is no target.
func (fl *flow) throttledRefusal() *errkind.Error {
	var earliest time.Time
	rate := 0.0
	targets := fl.view.Targets[fl.service.Name]
	for i := range targets {
		t := &targets[i]
		if t.Leaving || fl.restrictions.leaving[t.ID] || fl.excluded[t.Incarnation] {
			continue
		}
		a, avoided := fl.restrictions.avoided[t.ID]
		if !avoided {
			return nil
		}
		if earliest.IsZero() || a.until.Before(earliest) {
			earliest = a.until
		}
		if perSecond, limited := fl.restrictions.rateLimits[t.ID]; limited && a.reason == reasonRateLimit {
			rate += ratelimit.TargetLimit(perSecond).PerSecond
		}
	}
	if earliest.IsZero() {
		return nil
	}
	interval := time.Duration(float64(time.Second) * float64(max(fl.view.EntryCount, 1)) / max(rate, 1))
	retryAfter := fl.returns.reserve(fl.service.Name, earliest, interval, fl.maxRetryDelay(), fl.Now())
	return errkind.NewRetryAfter(errkind.Throttled, max(retryAfter, minThrottledRetry), "all targets of %s have asked for fewer requests: %s", fl.service.Name, fl.avoidedTargets())
}

// maxRetryDelay is the longest delay after which the caller retries.
func (fl *flow) maxRetryDelay() time.Duration {
	return time.Duration(maxWaitShare * float64(fl.timeLeft()))
}

// avoidedTargets lists some targets that were passed over, with the reasons.
func (fl *flow) avoidedTargets() string {
	var list []string
	for _, a := range fl.restrictions.avoided {
		if len(list) == maxAvoidedLogged {
			list = append(list, "...")
			break
		}
		list = append(list, a.target.String()+":"+a.reason)
	}
	return strings.Join(list, ",")
}

// avoidedReasons returns the distinct reasons for which targets were passed over.
func (fl *flow) avoidedReasons() []string {
	var reasons []string
	for _, a := range fl.restrictions.avoided {
		if !slices.Contains(reasons, a.reason) {
			reasons = append(reasons, a.reason)
		}
	}
	return reasons
}
