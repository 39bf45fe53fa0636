package forward

import (
	"encoding/json"
	"net/http"

	"github.com/toucanwell/toucanwell/internal/errkind"
)

// problem is the body of a refusal that the entry itself makes (RFC 9457).
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// refuse responds to the request with an error. No byte of a response may have been written.
func (fl *flow) refuse(e *errkind.Error) {
	row := e.Kind.Spec()
	fl.recordFailure(e)
	if e.Kind == errkind.Cancelled {
		panic(http.ErrAbortHandler)
	}
	header := fl.w.Header()
	header.Set("Content-Type", "application/problem+json")
	if e.RetryAfter > 0 {
		fl.Protocol.WriteRetryAfter(header, e.RetryAfter)
	}
	fl.setConnectionClose(header)
	body, err := json.Marshal(problem{
		Type: "urn:toucanwell:error:" + row.Name, Title: row.Title, Status: row.Status, Detail: e.Detail,
		RequestID: fl.request.ID, RetryAfterMs: e.RetryAfter.Milliseconds(),
	})
	if err != nil {
		fl.Logger.Error(err, "encode_problem", "request_id", fl.request.ID)
	}
	fl.w.WriteHeader(row.Status)
	_, _ = fl.w.Write(body) // the caller may have gone
}

// abort closes the connection without terminating the response body, so that the caller
// can't take a truncated response for a complete one.
func (fl *flow) abort(e *errkind.Error) {
	fl.recordFailure(e)
	panic(http.ErrAbortHandler)
}

// setConnectionClose asks the caller to reconnect, while this entry is stopping, partitioned or outdated,
// so that a load balancer can choose another entry.
func (fl *flow) setConnectionClose(header http.Header) {
	if fl.Stopping() || fl.Outdated() || fl.Reach.Partitioned(fl.Now()) {
		header.Set("Connection", "close")
	}
}
