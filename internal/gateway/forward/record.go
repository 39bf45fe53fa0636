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
func (fl *flow) since(at time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return fl.Now().Sub(at).Round(time.Millisecond)
}

// tenth rounds for the log.
func tenth(d time.Duration) time.Duration { return d.Round(time.Millisecond / 10) }

// logSend writes the line of a send before it is made, so that it is there also
// when the process ends in the middle of the answer. It names what decided: the
// versions and ages of the beliefs, and the estimate.
func (fl *flow) logSend(to *destination) {
	log := fl.RoutineLogger
	if fl.cause != "" {
		log = fl.Logger
	}
	heard := fl.view.Engines[to.target.Incarnation]
	phase, age := heard.Phase, fl.since(heard.ReceivedAt)
	if to.probed {
		phase, age = to.word.Phase, to.word.ReportAge
	}
	log.Info("request_sent", "request_id", fl.request.ID, "print", fl.print, "send", fl.sends, "cause", fl.cause, "last_event", fl.lastEvent,
		"route", fl.routeName(), "service", fl.serviceName(), "workspace", fl.workspaceName(), "estate", fl.estateVersion(),
		"target", to.target.Incarnation, "address", to.target.Address, "zone", to.target.Zone,
		"list_age", fl.since(fl.view.TargetsCurrentAt), "listed", !to.target.Unlisted, "asked", to.asked, "word_age", age, "phase", phase.String(),
		"weights", to.weights, "wanted", fl.view.Wanted[fl.request.Model].Newest(),
		"prompt", fl.request.PromptTokens, "shared", fl.sharedTokens(), "family", family(to), "answer", fl.request.MaxTokens, "held", to.choice.CachedTokens, "fetched", to.choice.FetchedTokens, "fetch_from", to.fetchFrom, "save_to", to.saveTo,
		"late", to.choice.Late, "urgency", to.choice.Priority, "wait", tenth(to.choice.Wait), "read", tenth(to.choice.Prefill), "fetch", tenth(to.choice.Fetch),
		"patience", tenth(to.patience), "kept", tenth(time.Since(fl.arrived)), "left", fl.timeLeft().Round(time.Millisecond))
}

// family names the prompt's shared parts, with the weights for which they are read: sends
// of one family may use what one of them had read.
func family(to *destination) string {
	if len(to.keys) == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(to.keys[len(to.keys)-1]), 16)
}

// logAnswer writes a line for a send that brought no usable answer.
func (fl *flow) logAnswer(to *destination, resp *upstream.Response, err error) {
	if err == nil && !refusedOrFailed(resp.Status) {
		return
	}
	status, detail := 0, ""
	if resp != nil {
		status = resp.Status
	}
	if err != nil {
		detail = err.Error()
	}
	fl.Logger.Info("send_failed", "request_id", fl.request.ID, "print", fl.print, "send", fl.sends, "target", to.target.Incarnation,
		"status", status, "error", detail, "after", tenth(time.Since(fl.sentAt)))
}

// refusedOrFailed reports whether an answer of that status is no answer to the
// request itself.
func refusedOrFailed(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests
}

// count counts what a send means for waiting and for cached prompts.
func (fl *flow) count(to *destination) {
	if fl.sends > 1 {
		return
	}
	fl.Metrics.Waited(fl.serviceName(), fl.class(), fl.sentAt.Sub(fl.arrived))
	if len(to.keys) == 0 {
		return
	}
	fl.Metrics.Tokens(fl.serviceName(), fl.class(), fl.request.PromptTokens, to.choice.CachedTokens+to.choice.FetchedTokens, fl.wasted(to))
}

// wasted is how many of a prompt's shared tokens the engine reads although another
// was believed to hold them.
func (fl *flow) wasted(to *destination) int {
	tokens := 0
	for i, k := range to.keys {
		elsewhere := false
		fl.Parts.VisitLocations(k, fl.request.Parts[i].Tokens, fl.Now(), func(target fleet.ID, s parts.State) {
			elsewhere = elsewhere || s == parts.Cached && target != to.target.ID
		})
		if elsewhere {
			tokens += fl.request.Parts[i].Tokens
		}
	}
	return max(tokens-to.choice.CachedTokens-to.choice.FetchedTokens, 0)
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

func (fl *flow) done() {
	fl.Metrics.FirstToken(fl.serviceName(), fl.class(), fl.firstAt)
	aim := fl.route.TargetLatency
	fl.burn(fl.last.status < http.StatusInternalServerError && (aim == 0 || fl.firstAt <= aim))
	fl.logDone(nil)
}

// burn counts the request against its objective.
func (fl *flow) burn(good bool) {
	if fl.service != nil {
		fl.Metrics.Burn(fl.serviceName(), fl.class(), fl.workspaceName(), good)
	}
}

// failed counts a refusal or an answer that broke off. A caller's own mistake, or
// leave, is not held against the service.
func (fl *flow) failed(e *errkind.Error) {
	fl.Metrics.Refusal(fl.serviceName(), fl.class(), e.Kind.String())
	if ofTheService(e) {
		fl.burn(false)
	}
	fl.logDone(e)
}

// ofTheService reports whether a refusal is the service's doing. What callers do
// wrong is ordinary: a flood of it must not take the log from the others.
func ofTheService(e *errkind.Error) bool {
	if e.Kind == errkind.Quarantined {
		return false // the request ends what runs it
	}
	return e.Kind.Row().Status >= http.StatusInternalServerError || e.Kind == errkind.Overloaded
}

// logDone writes the line that ends a request's story.
func (fl *flow) logDone(e *errkind.Error) {
	outcome, detail, back := "answered", "", time.Duration(0)
	log := fl.RoutineLogger
	if e != nil {
		outcome, detail, back = e.Kind.String(), e.Detail, e.RetryAfter
	}
	if e != nil && ofTheService(e) || fl.sends > 1 || fl.last.status >= http.StatusInternalServerError {
		log = fl.Logger
	}
	log.Info("request_done", "request_id", fl.request.ID, "print", fl.print, "outcome", outcome, "detail", detail, "retry_after", tenth(back),
		"route", fl.routeName(), "service", fl.serviceName(), "workspace", fl.workspaceName(), "estate", fl.estateVersion(),
		"sends", fl.sends, "runs", fl.runs, "target", fl.last.life, "status", fl.last.status,
		"first", tenth(fl.firstAt), "events", fl.events, "longest_gap", tenth(fl.longestGap), "took", tenth(time.Since(fl.arrived)))
}
