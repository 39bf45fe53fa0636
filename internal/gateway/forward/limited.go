package forward

import (
	"context"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// maxWaitShare is the share of its remaining time that a refused caller waits at most
// before it retries.
const maxWaitShare = 1.0 / 3

// maxLimitJitter is the share by which the retry delay of a rate limit is increased at random. The limiter
// gives each caller the time at which its tokens are expected. Only callers that it refuses while it has
// no response get the same time.
const maxLimitJitter = 0.05

// checkRateLimit charges the request to its workspace's rate limit. A request beyond the
// limit is refused before its body is read, with the delay after which it would be
// admitted.
func (fl *flow) checkRateLimit(ctx context.Context) *errkind.Error {
	if fl.Limits == nil || fl.workspace == nil || !fl.workspace.Rate.Limited() {
		return nil
	}
	terms := fl.workspace.Rate
	fl.limitRequest = ratelimit.Request{
		Key: fl.workspace.Name, Limit: terms.Limit, Cost: terms.Cost(fl.request.HasSizes, fl.request.PromptTokens, fl.request.MaxTokens),
		IsRetry: fl.isRetry, MaxWait: time.Duration(maxWaitShare * float64(fl.timeLeft())),
		Urgency: fl.priority(false), Class: fl.route.Name,
	}
	d := fl.Limits.Admit(ctx, fl.limitRequest)
	fl.Metrics.RateLimitDecision(string(d.Source), d.Admitted)
	if d.Waited {
		fl.Metrics.RateLimitWait(d.Took)
	}
	if d.Admitted {
		fl.admission = d
		return nil
	}
	return errkind.NewRetryAfter(errkind.RateLimited, fl.limitRetryDelay(d.RetryAfter), "the request costs %.0f %s; the limit is %.0f per second with bursts of %.0f; the workspace has %.0f left (decided by %s in %s)",
		fl.limitRequest.Cost, terms.Unit, terms.PerSecond, terms.Burst, d.Level, d.Source, roundForLog(d.Took))
}

// limitRetryDelay returns the delay to state to a caller that the rate limit refuses.
func (fl *flow) limitRetryDelay(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + maxLimitJitter*fl.uniform()))
}

// refund returns the cost of a request that no target ran.
func (fl *flow) refund() {
	if fl.admission.Admitted && fl.runs == 0 {
		fl.Limits.Refund(fl.limitRequest, fl.admission)
	}
}

// chargeRerun charges a request again that may have run already, since each run counts. It
// can't be refused: its caller has already waited for the first run.
func (fl *flow) chargeRerun() {
	if fl.admission.Admitted && fl.runs > 0 {
		fl.Limits.Charge(fl.limitRequest)
	}
}
