package forward

import (
	"encoding/json"
	"net/http"

	"github.com/toucanwell/toucanwell/internal/errkind"
)

// problem is the body of an own refusal.
type problem struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       int    `json:"status"`
	Detail       string `json:"detail,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// refuse answers with a refusal. Nothing of another answer has been written.
func (fl *flow) refuse(e *errkind.Error) {
	row := e.Kind.Row()
	fl.failed(e)
	if e.Kind == errkind.Cancelled {
		panic(http.ErrAbortHandler)
	}
	header := fl.w.Header()
	header.Set("Content-Type", "application/problem+json")
	if e.RetryAfter > 0 {
		fl.Protocol.WriteRetryAfter(header, e.RetryAfter)
	}
	fl.sendElsewhere(header)
	body, err := json.Marshal(problem{
		Type: "urn:toucanwell:error:" + row.Name, Title: row.Title, Status: row.Status, Detail: e.Detail,
		RequestID: fl.request.ID, RetryAfterMs: e.RetryAfter.Milliseconds(),
	})
	if err != nil {
		fl.Logger.Error(err, "encode_problem", "request_id", fl.request.ID)
	}
	fl.w.WriteHeader(row.Status)
	_, _ = fl.w.Write(body) // a caller that has gone needs no refusal
}

// breakOff ends an answer that cannot be completed, so that it does not look
// complete: the connection is closed without the mark of the answer's end.
func (fl *flow) breakOff(e *errkind.Error) {
	fl.failed(e)
	panic(http.ErrAbortHandler)
}

// sendElsewhere asks the caller to use another connection next time, while this
// entry stops or is cut off: a kept connection stays with its entry. The view is
// read anew, because the process may have begun to stop since.
func (fl *flow) sendElsewhere(header http.Header) {
	if v, ok := fl.View(); ok && v.Stopping || fl.Reach.Partitioned(fl.Now()) {
		header.Set("Connection", "close")
	}
}
