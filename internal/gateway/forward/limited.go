package forward

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// maxWaitShare is the share of its remaining time that a refused caller waits at most
// before it retries.
const maxWaitShare = 1.0 / 3

// checkRateLimit charges the request to its workspace's rate limit. A request beyond the
// limit is refused before its body is read, with the delay after which it would be
// admitted.
func (fl *flow) checkRateLimit() *errkind.Error {
	if fl.Limits == nil || fl.workspace == nil || !fl.workspace.Rate.Limited() {
		return nil
	}
	terms := fl.workspace.Rate
	fl.limitRequest = ratelimit.Request{
		Key: fl.workspace.Name, Limit: terms.Limit, Cost: terms.Cost(fl.request.HasSizes, fl.request.PromptTokens, fl.request.MaxTokens),
		IsRetry: fl.isRetry, MaxWait: time.Duration(maxWaitShare * float64(fl.timeLeft())),
	}
	d := fl.Limits.Admit(fl.r.Context(), fl.limitRequest)
	fl.Metrics.RateLimitDecision(string(d.Source), d.Admitted)
	if d.Admitted {
		fl.admission = d
		return nil
	}
	return errkind.NewRetryAfter(errkind.RateLimited, fl.jitter(d.RetryAfter), "the request costs %.0f %s; the limit is %.0f per second with bursts of %.0f; the workspace has %.0f left (decided by %s in %s)",
		fl.limitRequest.Cost, terms.Unit, terms.PerSecond, terms.Burst, d.Level, d.Source, roundForLog(d.Took))
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
