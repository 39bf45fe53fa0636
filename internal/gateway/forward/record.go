package forward

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/toucanwell/toucanwell/internal/errkind"
	"github.com/toucanwell/toucanwell/internal/gateway/estate"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/health"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// unknownAge is logged as the age of something that was never reported.
const unknownAge = time.Duration(-1)

// age returns the time since at, rounded for the log.
func (fl *flow) age(at time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return fl.Now().Sub(at).Round(time.Millisecond)
}

func roundForLog(d time.Duration) time.Duration { return d.Round(time.Millisecond / 10) }

// logSend logs a send before it is made, so that the line exists even if the process exits
// during the response. It logs the inputs of the decision: versions, ages of reports, and
// estimates.
func (fl *flow) logSend(dst *destination) {
	log := fl.RoutineLogger
	if fl.retryCause != "" {
		log = fl.Logger
	}
	log = fl.withArrival(fl.auditOr(log))
	report := fl.view.Engines[dst.target.Incarnation]
	phase, age := report.Phase, fl.age(report.AsOf)
	if dst.probed {
		phase, age = dst.probeResponse.Phase, dst.probeResponse.ReportAge
	}
	log.Info("request_sent", "request_id", fl.request.ID, "print", fl.fingerprint, "send", fl.sends, "cause", fl.retryCause, "last_event", fl.lastEvent, "resumes", bounded(fl.request.Resumes), "start", fl.origin.name, "start_source", fl.origin.source,
		"route", fl.routeName(), "service", fl.serviceName(), "workspace", fl.workspaceName(), "estate", fl.estateVersion(), "declared_at", fl.view.Declared.At, "declared_source", fl.view.Declared.Source,
		"target", dst.target.Incarnation, "version", dst.target.SoftwareVersion, "address", dst.target.Address, "same_address", fl.lastSend.sameAddress, "zone", dst.target.Zone,
		"list_at", fl.view.Listed.At, "list_source", fl.view.Listed.Source, "list_age", fl.age(fl.view.TargetsCurrentAt), "listed", !dst.target.Unlisted, "asked", dst.probeCount, "report_age", age, "phase", phase.String(),
		"weights", dst.weightsVersion, "wanted", fl.view.Wanted[fl.request.Model].Newest(),
		"prompt", fl.request.PromptTokens, "shared", fl.sharedTokens(), "parts", fl.sharedPartNames(), "family", familyName(dst), "answer", fl.request.MaxTokens, "held", dst.choice.CachedTokens, "fetched", dst.choice.FetchedTokens, "fetch_from", dst.fetchFrom, "save_to", dst.offloadTo,
		"limit_decision", string(dst.admission.Source), "avoided", fl.avoidedTargets(),
		"late", dst.choice.Late, "urgency", dst.choice.Priority, "wait", roundForLog(dst.choice.Wait), "read", roundForLog(dst.choice.Prefill), "fetch", roundForLog(dst.choice.Fetch),
		"verdict", dst.quarantineStatus.Verdict.String(), "suspect", fl.suspect, "suspect_part", bounded(fl.suspectPart.ID), "ends", dst.quarantineStatus.Crashes, "unconfirmed", dst.quarantineStatus.Unconfirmed, "patience", roundForLog(dst.maxWait), "kept", roundForLog(time.Since(fl.arrived)), "left", fl.timeLeft().Round(time.Millisecond))
}

// maxLoggedName bounds a name in the log that a caller chooses.
const maxLoggedName = 64

func bounded(name string) string { return name[:min(len(name), maxLoggedName)] }

// familyName returns the log's name for the prompt's shared parts at the version of the
// weights. Sends with the same name can use each other's cached parts.
func familyName(dst *destination) string {
	if len(dst.partKeys) == 0 {
		return ""
	}
	return strconv.FormatUint(uint64(dst.partKeys[len(dst.partKeys)-1]), 16)
}

// logFailedSend logs a send that brought no usable response: an error, or a status with the rest that the
// target asks for.
func (fl *flow) logFailedSend(dst *destination, status int, rest time.Duration, err error) {
	if err == nil && !isSendFailure(status) {
		return
	}
	detail := ""
	if err != nil {
		detail = err.Error()
	}
	fl.auditOr(fl.Logger).Info("send_failed", append(fl.sendFields(), "target", dst.target.Incarnation, "status", status, "after", roundForLog(time.Since(fl.sentAt)),
		"rest", rest, "print", fl.fingerprint, "error", detail)...)
}

// logAbandoned logs a response that is not read to its end. Its target may work on until it sees that the
// connection has ended.
func (fl *flow) logAbandoned(ctx context.Context, dst *destination, resp *upstream.Response) {
	if resp.Complete() || fl.lastSend.evidence.notRun() {
		return
	}
	cause := ""
	if err := context.Cause(ctx); err != nil {
		cause = err.Error()
	}
	fl.Logger.Info("run_abandoned", "request_id", fl.request.ID, "send", fl.sends, "target", dst.target.Incarnation, "status", resp.Status, "conn", fl.lastSend.conn.Local,
		"events", fl.eventCount, "last_event", bounded(fl.lastEvent), "after", roundForLog(time.Since(fl.sentAt)), "cause", cause)
}

// recordSkipped records a response that came for the request and belongs to another one.
func (fl *flow) recordSkipped(dst *destination, status int, reply *wire.Reply) {
	fl.lastSend.skipped++
	if fl.lastSend.conn.Earlier == 0 && fl.lastSend.skipped == 1 {
		fl.recordOutcome(dst, health.Foreign) // no earlier request can have left it
	}
	fl.Metrics.SkippedResponse(fl.serviceName())
	fl.auditOr(fl.Logger).Info("response_skipped", "request_id", fl.request.ID, "send", fl.sends, "target", dst.target.Incarnation, "status", status, "response_id", bounded(reply.ID),
		"not_run", reply.NotRun, "conn", fl.lastSend.conn.Local, "earlier", fl.lastSend.conn.Earlier, "after", roundForLog(time.Since(fl.sentAt)))
}

// isSendFailure reports whether a status means that the send failed or was refused.
func isSendFailure(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests
}

// countSend counts the waiting time and the cached tokens of the first send.
func (fl *flow) countSend(dst *destination) {
	for _, reason := range fl.avoidedReasons() {
		fl.Metrics.Detour(reason)
	}
	if fl.sends > 1 {
		return
	}
	fl.Metrics.PlacementWait(fl.serviceName(), fl.class(), fl.sentAt.Sub(fl.arrived))
	if len(dst.partKeys) == 0 {
		return
	}
	fl.Metrics.Tokens(fl.serviceName(), fl.class(), fl.request.PromptTokens, dst.choice.CachedTokens+dst.choice.FetchedTokens, fl.recomputedTokens(dst))
}

// recomputedTokens returns how many of a prompt's shared tokens the engine computes
// although another target has them cached.
func (fl *flow) recomputedTokens(dst *destination) int {
	tokens := 0
	for i, k := range dst.partKeys {
		elsewhere := false
		fl.Parts.VisitLocations(k, fl.request.Parts[i].Tokens, fl.Now(), func(target fleet.ID, s parts.State) {
			elsewhere = elsewhere || s == parts.Cached && target != dst.target.ID
		})
		if elsewhere {
			tokens += fl.request.Parts[i].Tokens
		}
	}
	return max(tokens-dst.choice.CachedTokens-dst.choice.FetchedTokens, 0)
}

// maxPartsLogged bounds the parts that a log line names.
const maxPartsLogged = 8

// sharedPartNames lists the shared parts of the prompt, outermost first.
func (fl *flow) sharedPartNames() string {
	var names []string
	for i := range min(max(len(fl.request.Parts)-1, 0), maxPartsLogged) {
		names = append(names, bounded(fl.request.Parts[i].ID))
	}
	return strings.Join(names, ",")
}

// sharedTokens returns the number of tokens in the prompt's shared parts.
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
	fl.recordRunTime()
	objective := fl.route.TargetLatency
	fl.recordObjective(fl.lastSend.status < http.StatusInternalServerError && (objective == 0 || fl.timeToFirstByte <= objective))
	fl.logDone(nil)
}

// recordRunTime records how long the request ran: a stream after its first event, another one after its
// last send.
func (fl *flow) recordRunTime() {
	if fl.lastSend.status >= http.StatusMultipleChoices {
		return // failures are short
	}
	since := fl.sentAt
	if fl.route.Kind == estate.Stream {
		since = fl.arrived.Add(fl.timeToFirstByte)
	}
	fl.runTimes.record(fl.route.Name, fl.request.MaxTokens, time.Since(since))
}

// recordObjective counts whether the request met its objective.
func (fl *flow) recordObjective(good bool) {
	if fl.service != nil {
		fl.Metrics.Burn(fl.serviceName(), fl.class(), fl.workspaceName(), good)
	}
}

// recordFailure counts a refusal or a truncated response. Errors of the caller, such as a
// closed connection, don't count against the objective.
func (fl *flow) recordFailure(e *errkind.Error) {
	fl.Metrics.Refusal(fl.serviceName(), fl.class(), e.Kind.String())
	if isServiceFault(e) {
		fl.recordObjective(false)
	}
	fl.logDone(e)
}

// isServiceFault reports whether a refusal is the service's fault. Errors of callers are
// logged as routine, so that a flood of them doesn't displace other lines.
func isServiceFault(e *errkind.Error) bool {
	if e.Kind == errkind.Quarantined || e.Kind == errkind.PartQuarantined {
		return false // the request crashes its targets
	}
	return e.Kind.Spec().Status >= http.StatusInternalServerError || e.Kind == errkind.Overloaded || e.Kind == errkind.StreamNotResumable
}

// logDone logs the outcome of the request.
func (fl *flow) logDone(e *errkind.Error) {
	outcome, detail, retryAfter := "answered", "", time.Duration(0)
	log := fl.RoutineLogger
	if e != nil {
		outcome, detail, retryAfter = e.Kind.String(), e.Detail, e.RetryAfter
	}
	if e != nil && isServiceFault(e) || fl.sends > 1 || fl.lastSend.status >= http.StatusInternalServerError {
		log = fl.Logger
	}
	log = fl.auditOr(log)
	fields := []any{"request_id", fl.request.ID}
	if fl.audited() || fl.sends > 0 && (e != nil || fl.sends > 1) {
		fields = fl.sendFields()
	}
	if e != nil && fl.view != nil {
		log = log.WithValues("declared_at", fl.view.Declared.At, "declared_source", fl.view.Declared.Source, "declared_age", fl.age(fl.view.EstateCurrentAt),
			"list_at", fl.view.Listed.At, "list_source", fl.view.Listed.Source, "list_age", fl.age(fl.view.TargetsCurrentAt))
	}
	fl.withShutdown(log).Info("request_done", append(fields, "resumes", bounded(fl.request.Resumes), "outcome", outcome, "told", fl.toldStatus(e), "print", fl.fingerprint, "suspect", fl.suspect, "detail", detail, "retry_after", roundForLog(retryAfter),
		"route", fl.routeName(), "service", fl.serviceName(), "workspace", fl.workspaceName(), "estate", fl.estateVersion(),
		"sends", fl.sends, "runs", fl.runs, "target", fl.lastSend.incarnation, "status", fl.lastSend.status,
		"first", roundForLog(fl.timeToFirstByte), "events", fl.eventCount, "longest_gap", roundForLog(fl.longestGap), "took", roundForLog(time.Since(fl.arrived)))...)
}

// toldStatus returns the status that the caller gets; zero if its connection is closed without one.
func (fl *flow) toldStatus(e *errkind.Error) int {
	switch {
	case e == nil || fl.responseStarted:
		return fl.lastSend.status
	case e.Kind == errkind.Cancelled:
		return 0
	default:
		return e.Kind.Spec().Status
	}
}
