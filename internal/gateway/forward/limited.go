package forward

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/ratelimit"
)

// patienceShare is the part of its time left after which a refused caller comes back at the
// latest.
const patienceShare = 1.0 / 3

// withinLimit takes the request out of its workspace's rate limit. One beyond it is refused
// before its body is read, with the time after which it would be admitted.
func (fl *flow) withinLimit() *errkind.Error {
	if fl.Limits == nil || fl.workspace == nil || !fl.workspace.Rate.Limited() {
		return nil
	}
	terms := fl.workspace.Rate
	fl.use = ratelimit.Request{
		Workspace: fl.workspace.Name, Limit: terms.Limit, Cost: terms.Cost(fl.request.HasSizes, fl.request.PromptTokens, fl.request.MaxTokens),
		IsRetry: fl.returns, MaxWait: time.Duration(patienceShare * float64(fl.timeLeft())),
	}
	d := fl.Limits.Admit(fl.r.Context(), fl.use)
	fl.Metrics.RateLimit(string(d.Source), d.Admitted)
	if d.Admitted {
		fl.admission = d
		return nil
	}
	return errkind.After(errkind.RateLimited, fl.comeBack(d.RetryAfter), "the request counts %.0f %s; allowed are %.0f a second and %.0f at once; the workspace has %.0f left (%s, asked for %s)",
		fl.use.Cost, terms.Unit, terms.PerSecond, terms.Burst, d.Level, d.Source, tenth(d.Took))
}

// giveBack returns what a request took that no target has run.
func (fl *flow) giveBack() {
	if fl.admission.Admitted && fl.runs == 0 {
		fl.Limits.GiveBack(fl.use, fl.admission)
	}
}

// chargeAgain takes out once more what a request costs that may have run already: each run
// counts. It is not refused for that, since its caller has waited for the first one.
func (fl *flow) chargeAgain() {
	if fl.admission.Admitted && fl.runs > 0 {
		fl.Limits.Charge(fl.use)
	}
}
