package forward

import (
	"net/http"

	"github.com/go-logr/logr"

	"github.com/toucanwell/toucanwell/internal/callers"
)

// audited reports whether the request has been sent and may run once, so that its lines must tell how often
// it ran.
func (fl *flow) audited() bool { return fl.sends > 0 && !fl.route.Retryable() }

// auditOr returns the logger for a line of the request: AuditLogger, or another one if the request is not
// audited.
func (fl *flow) auditOr(other logr.Logger) logr.Logger {
	if fl.audited() {
		return fl.AuditLogger
	}
	return other
}

// withArrival adds to the line of a send how the request arrived: from where, on a connection with how many
// earlier requests, and its body. Copies of a request that a caller or a link makes differ in these.
func (fl *flow) withArrival(log logr.Logger) logr.Logger {
	if !fl.audited() {
		return log
	}
	earlier := int64(-1)
	if conn := callers.ConnOf(fl.r); conn != nil {
		earlier = conn.Requests() - 1
	}
	return log.WithValues("caller", fl.r.RemoteAddr, "caller_earlier", earlier, "body", bodyFraming(fl.r), "body_bytes", len(fl.body), "body_took", roundForLog(fl.bodyTime))
}

// bodyFraming names how a request states the length of its body.
func bodyFraming(r *http.Request) string {
	switch {
	case r.ContentLength < 0:
		return "chunked"
	case r.ContentLength > 0:
		return "length"
	default:
		return "none"
	}
}

// sendFields are what the lines on the end of the last send begin with: by what it counts as run or not run, the
// connection that carried it, and whether it was written whole.
func (fl *flow) sendFields() []any {
	s := &fl.lastSend
	fields := []any{
		"request_id", fl.request.ID, "send", fl.sends, "evidence", s.evidence, "earlier", s.conn.Earlier, "passed_over", s.conn.PassedOver, "same_address", s.sameAddress, "skipped", s.skipped,
		"conn_age", roundForLog(s.conn.Age), "conn_idle", roundForLog(s.conn.Idle), "conn", s.conn.Local, "written", s.conn.Written,
	}
	if fl.audited() && (s.evidence == statedNotRun || s.evidence == misdirected) {
		fields = append(fields, "head", string(s.conn.Head))
	}
	return fields
}
