// Package errkind defines the closed set of error kinds and how each is reported to callers.
//
// Every refusal is an [Error] with one of these kinds. A new kind of failure needs an entry in
// the table, which determines its HTTP response and whether it may be retried.
package errkind

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is a kind of error. Its number is sent on the wire and must not be reused.
type Kind uint32

// The kinds.
const (
	None Kind = iota
	BadRequest
	BodyTooLarge
	Unauthenticated
	UnknownWorkspace
	UnknownModel
	UnknownService
	DeadlinePast
	KeyMissing
	KeyInvalid
	KeyExpired
	KeyConflict
	NotRun
	OutcomeUnknown
	InProgress
	Overloaded
	DeadlineUnmeetable
	NoTarget
	Leaving
	BreakerOpen
	WrongWeights
	TargetFailed
	StreamBroken
	ConfigurationMissing
	Cancelled
	UnknownRun
	Internal
	UnknownKey
	UnknownRoute
	TimedOut
	HeaderTooLarge
	CutOff
	Stopping
	Quarantined
	RateLimited
	Throttled
	StreamNotResumable
	PartQuarantined
	Interrupted
	MemoryFull
	Outdated
)

// Spec describes how a kind is reported and retried.
type Spec struct {
	// Name is the last component of the problem type URN.
	Name string
	// Title is the summary that the caller receives.
	Title string
	// Status is the HTTP status code.
	Status int
	// Failover is set when the entry may try another target.
	Failover bool
}

// table maps each kind to its specification. For at-most-once calls the entry reports NotRun
// only if the claim ledger says so; see package once.
var table = map[Kind]Spec{
	BadRequest:           {"bad_request", "The request is malformed.", http.StatusBadRequest, false},
	BodyTooLarge:         {"body_too_large", "The request body is too large.", http.StatusRequestEntityTooLarge, false},
	Unauthenticated:      {"unauthenticated", "The request carries no workspace token.", http.StatusUnauthorized, false},
	UnknownWorkspace:     {"unknown_workspace", "No workspace has this token.", http.StatusForbidden, false},
	UnknownModel:         {"unknown_model", "No service has this model or adapter.", http.StatusNotFound, false},
	UnknownService:       {"unknown_service", "The configuration lists no such service.", http.StatusNotFound, false},
	DeadlinePast:         {"deadline_past", "The deadline has passed already.", http.StatusBadRequest, false},
	KeyMissing:           {"key_missing", "This call runs at most once and needs an Idempotency-Key.", http.StatusBadRequest, false},
	KeyInvalid:           {"key_invalid", "The idempotency key carries no usable issue time.", http.StatusBadRequest, false},
	KeyExpired:           {"key_expired", "The idempotency key is older than the record of calls; whether it ran is unknown.", http.StatusConflict, false},
	KeyConflict:          {"key_conflict", "The idempotency key was used for another request.", http.StatusUnprocessableEntity, false},
	NotRun:               {"not_run", "The call was not run and never will be under this key.", http.StatusServiceUnavailable, false},
	OutcomeUnknown:       {"outcome_unknown", "Whether the call ran is unknown; ask again with the same key.", http.StatusGatewayTimeout, false},
	InProgress:           {"in_progress", "A call with this key is running; ask again with the same key.", http.StatusConflict, false},
	Overloaded:           {"overloaded", "Too much work is waiting.", http.StatusTooManyRequests, true},
	DeadlineUnmeetable:   {"deadline_unmeetable", "The deadline cannot be met.", http.StatusServiceUnavailable, true},
	NoTarget:             {"no_target", "No target of the service can take the request.", http.StatusServiceUnavailable, false},
	Leaving:              {"leaving", "The target is leaving.", http.StatusServiceUnavailable, true},
	BreakerOpen:          {"breaker_open", "The target has failed often and is being rested.", http.StatusServiceUnavailable, true},
	WrongWeights:         {"wrong_weights", "The target does not have the weights in force.", http.StatusServiceUnavailable, true},
	TargetFailed:         {"target_failed", "The target failed.", http.StatusBadGateway, true},
	StreamBroken:         {"stream_broken", "The answer broke off and could not be continued.", http.StatusBadGateway, false},
	ConfigurationMissing: {"configuration_missing", "No configuration is in force yet.", http.StatusServiceUnavailable, false},
	Cancelled:            {"cancelled", "The caller has gone.", 499, false},
	UnknownRun:           {"unknown_run", "The sidecar knows no such run.", http.StatusNotFound, true},
	Internal:             {"internal", "The router failed.", http.StatusInternalServerError, false},
	UnknownKey:           {"unknown_key", "No workspace has this key.", http.StatusUnauthorized, false},
	UnknownRoute:         {"unknown_route", "No route has this host and path.", http.StatusNotFound, false},
	TimedOut:             {"timed_out", "No answer came within the route's time; the request may have run.", http.StatusGatewayTimeout, false},
	HeaderTooLarge:       {"header_too_large", "The request's headers are too large.", http.StatusRequestHeaderFieldsTooLarge, false},
	CutOff:               {"cut_off", "This entry reaches no engine; another one does.", http.StatusServiceUnavailable, false},
	Stopping:             {"stopping", "This entry stops before the request could be answered; another one serves.", http.StatusServiceUnavailable, false},
	Quarantined:          {"quarantined", "The request has ended the targets that ran it, and is not run for now.", http.StatusServiceUnavailable, false},
	PartQuarantined:      {"part_quarantined", "A part of the prompt has ended the targets that ran it, and is not run for now.", http.StatusServiceUnavailable, false},
	Throttled:            {"throttled", "All targets of the service have asked for fewer requests.", http.StatusServiceUnavailable, true},
	StreamNotResumable:   {"stream_not_resumable", "The stream cannot go on where it broke off; start it anew.", http.StatusMisdirectedRequest, false},
	Interrupted:          {"interrupted", "This entry stopped before the answer came; the request may have run.", http.StatusBadGateway, false},
	MemoryFull:           {"memory_full", "This entry has no memory left for the body; another one may have.", http.StatusServiceUnavailable, false},
	Outdated:             {"configuration_outdated", "This entry does not have the newest configuration yet; another one may have.", http.StatusServiceUnavailable, false},
	RateLimited:          {"rate_limited", "The workspace has used up its rate limit for now.", http.StatusTooManyRequests, false},
}

// Spec returns the specification of k. An unknown kind is treated as Internal.
func (k Kind) Spec() Spec {
	spec, ok := table[k]
	if !ok {
		return table[Internal]
	}
	return spec
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k == None {
		return "none"
	}
	return k.Spec().Name
}

// All returns all kinds except None, in numerical order.
func All() []Kind {
	kinds := make([]Kind, 0, len(table))
	for k := BadRequest; k <= Outdated; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// Error is an error that is reported to the caller.
type Error struct {
	Kind Kind
	// RetryAfter is the minimum delay after which a retry may succeed; zero if unknown or if a
	// retry doesn't help.
	RetryAfter time.Duration
	// Detail describes the specific cause, such as the value found and the values allowed.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return e.Kind.String()
	}
	return e.Kind.String() + ": " + e.Detail
}

// New returns an Error with a detail formatted as by fmt.Sprintf.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// NewRetryAfter returns an Error that asks the caller to retry after a delay.
func NewRetryAfter(kind Kind, retryAfter time.Duration, format string, args ...any) *Error {
	e := New(kind, format, args...)
	e.RetryAfter = retryAfter
	return e
}

// From returns the Error in err's chain, or an Internal one if there is none.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}
