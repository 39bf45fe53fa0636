package forward

import (
	"net/http"
	"strconv"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
)

// unknownAge is logged as the age of what was never heard.
const unknownAge = time.Duration(-1)

// since is how old a belief is, for the log.
func (fl *flow) age(at time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return fl.Now().Sub(at).Round(time.Millisecond)
}

// tenth rounds for the log.
func roundForLog(d time.Duration) time.Duration { return d.Round(time.Millisecond / 10) }

// logSend writes the line of a send before it is made, so that it is there also
// when the process ends in the middle of the answer. It names what decided: the
// versions and ages of the beliefs, and the estimate.
func (fl *flow) logSend(dst *destination) {
	log := fl.RoutineLogger
	if fl.retryCause != "" {
		log = fl.Logger
	}
	report := fl.view.Engines[dst.target.Life]
	phase, age := report.Phase, fl.age(report.HeardAt)
	if dst.probed {
		phase, age = dst.probeAnswer.Phase, dst.probeAnswer.ReportAge
	}
	log.Info("request_sent", "request_id", fl.request.ID, "print", fl.fingerprint, "send", fl.sends, "cause", fl.retryCause, "last_event", fl.lastEvent,
		"route", fl.routeName(), "service", fl.serviceName(), "workspace", fl.workspaceName(), "estate", fl.estateVersion(),
		"target", dst.target.Life, "address", dst.target.Address, "zone", dst.target.Zone,
		"list_age", fl.age(fl.view.ListedAt), "listed", !dst.target.Unlisted, "asked", dst.probeCount, "word_age", age, "phase", phase.String(),
		"weights", dst.weightsVersion, "wanted", fl.view.Wanted[fl.request.Model].Newest(),
		"prompt", fl.request.PromptTokens, "shared", fl.sharedTokens(), "family", familyName(dst), "answer", fl.request.MaxTokens, "held", dst.choice.Held, "fetched", dst.choice.Fetched, "fetch_from", dst.fetchFrom, "save_to", dst.offloadTo,
		"late", dst.choice.Late, "urgency", dst.choice.Urgency, "wait", roundForLog(dst.choice.Wait), "read", roundForLog(dst.choice.Read), "fetch", roundForLog(dst.choice.Fetch),
		"patience", roundForLog(dst.maxWait), "kept", roundForLog(time.Since(fl.arrived)), "left", fl.timeLeft().Round(time.Millisecond))
}

// family names the prompt's shared parts, with the weights for which they are read: sends
// of one family may use what one of them had read.
func familyName(dst *destination) string {
	if len(dst.partKeys) == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(dst.partKeys[len(dst.partKeys)-1]), 16)
}

// logAnswer writes a line for a send that brought no usable answer.
func (fl *flow) logFailedSend(dst *destination, resp *upstream.Response, err error) {
	if err == nil && !isSendFailure(resp.Status) {
		return
	}
	status, detail := 0, ""
	if resp != nil {
		status = resp.Status
	}
	if err != nil {
		detail = err.Error()
	}
	fl.Logger.Info("send_failed", "request_id", fl.request.ID, "print", fl.fingerprint, "send", fl.sends, "target", dst.target.Life,
		"status", status, "error", detail, "after", roundForLog(time.Since(fl.sentAt)))
}

// refusedOrFailed reports whether an answer of that status is no answer to the
// request itself.
func isSendFailure(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests
}

// count counts what a send means for waiting and for cached prompts.
func (fl *flow) countSend(dst *destination) {
	if fl.sends > 1 {
		return
	}
	fl.Metrics.Waited(fl.serviceName(), fl.class(), fl.sentAt.Sub(fl.arrived))
	if len(dst.partKeys) == 0 {
		return
	}
	fl.Metrics.Tokens(fl.serviceName(), fl.class(), fl.request.PromptTokens, dst.choice.Held+dst.choice.Fetched, fl.recomputedTokens(dst))
}

// wasted is how many of a prompt's shared tokens the engine reads although another
// was believed to hold them.
func (fl *flow) recomputedTokens(dst *destination) int {
	tokens := 0
	for i, k := range dst.partKeys {
		elsewhere := false
		fl.Parts.Holders(k, fl.request.Parts[i].Tokens, fl.Now(), func(target fleet.ID, s parts.State) {
			elsewhere = elsewhere || s == parts.Held && target != dst.target.ID
		})
		if elsewhere {
			tokens += fl.request.Parts[i].Tokens
		}
	}
	return max(tokens-dst.choice.Held-dst.choice.Fetched, 0)
}

// sharedTokens is the length of the prompt's parts that others use too.
func (fl *flow) sharedTokens() int {
	n := 0
	for i := range max(len(fl.request.Parts)-1, 0) {
		n += fl.request.Parts[i].Tokens
	}
	return n
}

func (fl *flow) routeName() string {
	if fl.route == nil {
		return ""
	}
	return fl.route.Name
}

func (fl *flow) workspaceName() string {
	if fl.workspace == nil {
		return ""
	}
	return fl.workspace.Name
}

func (fl *flow) estateVersion() int64 {
	if fl.view == nil || fl.view.Estate == nil {
		return 0
	}
	return fl.view.Estate.Version
}

func (fl *flow) recordSuccess() {
	fl.Metrics.FirstToken(fl.serviceName(), fl.class(), fl.timeToFirstByte)
	objective := fl.route.TargetLatency
	fl.recordObjective(fl.lastSend.status < http.StatusInternalServerError && (objective == 0 || fl.timeToFirstByte <= objective))
	fl.logDone(nil)
}

// burn counts the request against its objective.
func (fl *flow) recordObjective(good bool) {
	if fl.service != nil {
		fl.Metrics.Burn(fl.serviceName(), fl.class(), fl.workspaceName(), good)
	}
}

// failed counts a refusal or an answer that broke off. A caller's own mistake, or
// leave, is not held against the service.
func (fl *flow) recordFailure(e *errkind.Error) {
	fl.Metrics.Refusal(fl.serviceName(), fl.class(), e.Kind.String())
	if isServiceFault(e) {
		fl.recordObjective(false)
	}
	fl.logDone(e)
}

// ofTheService reports whether a refusal is the service's doing. What callers do
// wrong is ordinary: a flood of it must not take the log from the others.
func isServiceFault(e *errkind.Error) bool {
	if e.Kind == errkind.Quarantined {
		return false // the request ends what runs it
	}
	return e.Kind.Row().Status >= http.StatusInternalServerError || e.Kind == errkind.Overloaded
}

// logDone writes the line that ends a request's story.
func (fl *flow) logDone(e *errkind.Error) {
	outcome, detail, retryAfter := "answered", "", time.Duration(0)
	log := fl.RoutineLogger
	if e != nil {
		outcome, detail, retryAfter = e.Kind.String(), e.Detail, e.RetryAfter
	}
	if e != nil && isServiceFault(e) || fl.sends > 1 || fl.lastSend.status >= http.StatusInternalServerError {
		log = fl.Logger
	}
	log.Info("request_done", "request_id", fl.request.ID, "print", fl.fingerprint, "outcome", outcome, "detail", detail, "retry_after", roundForLog(retryAfter),
		"route", fl.routeName(), "service", fl.serviceName(), "workspace", fl.workspaceName(), "estate", fl.estateVersion(),
		"sends", fl.sends, "runs", fl.runs, "target", fl.lastSend.incarnation, "status", fl.lastSend.status,
		"first", roundForLog(fl.timeToFirstByte), "events", fl.eventCount, "longest_gap", roundForLog(fl.longestGap), "took", roundForLog(time.Since(fl.arrived)))
}
