// Package wire defines the protocol metadata that the request path exchanges with callers and
// targets, independent of header names. A Protocol implementation maps it to headers.
package wire

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Requests may share parts. The cache of a part is usable only
// together with that of all parts before it.
type Part struct {
	// ID identifies the part.
	ID string
	// Tokens is the part's length.
	Tokens int
}

// Request is the metadata of a caller's request.
type Request struct {
	// ID identifies the request. A caller's retry has another ID.
	ID string
	// TimeLeft is the time until the caller's deadline; zero if it has none.
	TimeLeft time.Duration
	// Key is the caller's API key. It is not forwarded.
	Key string
	// Model is the model of a prompt; empty for other requests.
	Model string
	// PromptTokens is the length of the prompt and MaxTokens the maximum length of the
	// response. HasSizes is set if the request states them.
	PromptTokens int
	MaxTokens    int
	HasSizes     bool
	// Parts of the prompt, in order. The last is specific to the request or its session.
	Parts []Part
	// LastEventID is the ID of the event after which a stream resumes; empty for a new one.
	LastEventID string
	// Resumes is the ID of the caller's request that brought the first event of the stream that
	// this one resumes; empty if not stated.
	Resumes string
}

// Attempt is the metadata that is sent to a target with one attempt of a request.
type Attempt struct {
	// TimeLeft is the time after which the target stops working on the request.
	TimeLeft time.Duration
	// Instance is the only target that may run the request.
	Instance string
	// Workspace is the caller's workspace; empty if the route needs no key.
	Workspace string
	// Priority ranks requests in an engine's queue, with 0 first. It is omitted if negative.
	Priority int
	// CacheScope restricts cache lookups to parts that were stored under the same scope. It
	// is omitted if empty.
	CacheScope string
	// Weights is the version of the model that the engine must have; zero for any.
	Weights int64
	// FetchFrom is the address of an engine or KV store that has parts of the prompt cached;
	// empty for none.
	FetchFrom string
	// OffloadTo is the address of a KV store to which the parts are offloaded after prefill;
	// empty for none.
	OffloadTo string
	// LastEventID is the ID of the event after which the stream resumes; empty for a new one.
	LastEventID string
	// TransferHandle identifies a copy of a run's KV cache from which to resume; empty for
	// none.
	TransferHandle string
}

// Reply is the metadata of a target's response.
type Reply struct {
	// ID is the ID of the request that the response belongs to; empty if not stated.
	ID string
	// Sealed is set if the response includes the target's proof of origin.
	Sealed bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Instance is the target that responded; empty if not stated.
	Instance string
	// Weights is the version of the weights that the target has; zero if not stated.
	Weights int64
	// Encoded is set if the response has a content encoding, which no caller requests.
	Encoded bool
	// IdleTimeout is how long the target keeps an idle connection open; zero if not stated.
	IdleTimeout time.Duration
	// Pushback is what the target states about the load that it takes.
	Pushback Pushback
}

// Pushback is what a target states in a response about the load that it takes.
type Pushback struct {
	// RateLimit is the number of requests per second that the target takes from all hosts
	// together. HasRateLimit is set if the response states it, OmitsRateLimit if it states none;
	// with an invalid one neither is.
	RateLimit                    float64
	HasRateLimit, OmitsRateLimit bool
	// Leaving is set if the target stops soon and wants no new requests.
	Leaving bool
	// RetryAfter is for how long a target that turned a request away wants no requests from this
	// host; zero if it does not say so.
	RetryAfter time.Duration
	// Invalid describes a statement that can't be used; nil if there is none.
	Invalid error
}

// Protocol maps metadata to the headers of a protocol.
type Protocol interface {
	// ReadRequest decodes a caller's headers.
	ReadRequest(h http.Header) (Request, error)
	// WriteAttempt returns the headers of an attempt: those of the caller, without hop-by-hop
	// headers, secrets and headers that only the router may set, plus those of the attempt.
	WriteAttempt(caller http.Header, a Attempt) http.Header
	// ReadReply decodes a target's headers.
	ReadReply(status int, h http.Header) Reply
	// WriteReply copies a target's headers to the response to the caller.
	WriteReply(to, target http.Header)
	// WriteRetryAfter sets the time after which a caller may retry.
	WriteRetryAfter(to http.Header, after time.Duration)
}
