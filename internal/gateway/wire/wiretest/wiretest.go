// Package wiretest provides a minimal wire.Protocol with its own header names, for tests of the
// request path.
package wiretest

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Header names of the test protocol.
const (
	ID          = "Test-Id"
	TimeLeft    = "Test-Time-Left"
	Key         = "Test-Key"
	Workspace   = "Test-Workspace"
	Instance    = "Test-Instance"
	Model       = "Test-Model"
	Prompt      = "Test-Prompt"
	Parts       = "Test-Parts"
	LastEventID = "Test-Last-Event"
	Seal        = "Test-Seal"
	NotRun      = "Test-Not-Run"
	CacheScope  = "Test-Scope"
	Weights     = "Test-Weights"
	FetchFrom   = "Test-Fetch"
	OffloadTo   = "Test-Save"
	Priority    = "Test-Urgency"
	RateLimit   = "Test-Rate-Limit"
	Resumes     = "Test-Resumes"
)

// Protocol implements wire.Protocol.
type Protocol struct{}

// ReadRequest implements wire.Protocol.
func (Protocol) ReadRequest(h http.Header) (wire.Request, error) {
	r := wire.Request{ID: h.Get(ID), Key: h.Get(Key), Model: h.Get(Model), LastEventID: h.Get(LastEventID), Resumes: h.Get(Resumes)}
	if text := h.Get(TimeLeft); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			return r, err
		}
		r.TimeLeft = d
	}
	r.PromptTokens, _ = strconv.Atoi(h.Get(Prompt))
	if text := h.Get(Parts); text != "" {
		for _, id := range strings.Split(text, " ") {
			r.Parts = append(r.Parts, wire.Part{ID: id, Tokens: 100})
		}
	}
	return r, nil
}

// WriteAttempt implements wire.Protocol.
func (Protocol) WriteAttempt(caller http.Header, a wire.Attempt) http.Header {
	h := http.Header{}
	for _, name := range []string{ID, Model, Prompt, Parts, "Content-Type"} {
		if value := caller.Get(name); value != "" {
			h.Set(name, value)
		}
	}
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(TimeLeft, a.TimeLeft.String())
	set(Instance, a.Instance)
	set(Workspace, a.Workspace)
	set(CacheScope, a.CacheScope)
	set(LastEventID, a.LastEventID)
	set(FetchFrom, a.FetchFrom)
	set(OffloadTo, a.OffloadTo)
	if a.Weights > 0 {
		set(Weights, strconv.FormatInt(a.Weights, 10))
	}
	if a.Priority >= 0 {
		set(Priority, strconv.Itoa(a.Priority))
	}
	return h
}

// ReadReply implements wire.Protocol.
func (Protocol) ReadReply(status int, h http.Header) wire.Reply {
	reply := wire.Reply{
		ID: h.Get(ID), Sealed: h.Get(Seal) != "", Instance: h.Get(Instance), Encoded: h.Get("Content-Encoding") != "",
		NotRun: h.Get(NotRun) != "",
	}
	reply.Weights, _ = strconv.ParseInt(h.Get(Weights), 10, 64)
	reply.Pushback.OmitsRateLimit = h.Get(RateLimit) == ""
	if text := h.Get(RateLimit); text != "" {
		reply.Pushback.HasRateLimit = true
		reply.Pushback.RateLimit, reply.Pushback.Invalid = strconv.ParseFloat(text, 64)
	}
	return reply
}

// WriteReply implements wire.Protocol.
func (Protocol) WriteReply(to, target http.Header) {
	for name, values := range target {
		if name != "Connection" && name != "Content-Length" && name != "Transfer-Encoding" {
			to[name] = values
		}
	}
}

// WriteRetryAfter implements wire.Protocol.
func (Protocol) WriteRetryAfter(to http.Header, after time.Duration) {
	to.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}
