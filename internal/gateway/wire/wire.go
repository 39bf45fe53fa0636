// Package wire holds what the request path knows of the protocol that callers
// and targets speak: the facts that headers carry, without their names. An
// adapter reads and writes the names.
package wire

import (
	"net/http"
	"time"
)

// Part is one part of a prompt. Requests share parts; a part is only of use
// together with all parts before it.
type Part struct {
	// ID names the part.
	ID string
	// Tokens is the part's length.
	Tokens int
}

// Request is what a caller says of a request besides its method, path and body.
type Request struct {
	// ID names this try of the caller; each try has its own.
	ID string
	// TimeLeft is how long the caller waits; zero when it does not say.
	TimeLeft time.Duration
	// Key is the caller's secret. It is not passed on.
	Key string
	// Model that a prompt is for; empty for other requests.
	Model string
	// PromptTokens and MaxTokens are the sizes of the prompt and, at most, of the answer;
	// Sized is set when the request states them.
	PromptTokens int
	MaxTokens    int
	HasSizes     bool
	// Parts of the prompt in their order; the last belongs to the request or its
	// session alone.
	Parts []Part
	// LastEvent is the event after which a stream is to go on; empty for a new
	// one.
	LastEventID string
}

// Send is what the system says to a target of one send.
type Attempt struct {
	// TimeLeft is after how long the target stops work.
	TimeLeft time.Duration
	// Instance is the only target that may run it.
	Instance string
	// Workspace is the caller's; empty when the route needs no key.
	Workspace string
	// Urgency ranks requests that wait at an engine; 0 is first. Below zero it
	// is left out.
	Priority int
	// CacheScope separates cached parts: a part is only found under the scope it
	// was stored under. Empty is left out.
	CacheScope string
	// Weights is the version of the model that the engine must have; zero for
	// any.
	Weights int64
	// FetchFrom is the address of an engine or store that holds parts of the
	// prompt; empty for none.
	FetchFrom string
	// SaveTo is the address of a store that the parts are sent to once they are
	// read; empty for none.
	OffloadTo string
	// LastEvent is the event after which the stream goes on; empty for a new one.
	LastEventID string
	// Transfer names a copy of a run's memory to go on from; empty for none.
	TransferHandle string
}

// Reply is what a target says of its answer besides status and body.
type Reply struct {
	// ID is that of the request that the answer belongs to; empty when the target
	// names none.
	ID string
	// Sealed answers bear the target's proof of origin.
	Sealed bool
	// NotRun is set when the target certainly did not run the request.
	NotRun bool
	// Instance that answered, where it says so.
	Instance string
	// Encoded answers have a content encoding, which no caller asked for.
	Encoded bool
	// IdleTimeout is how long the target keeps an idle connection; zero when it
	// does not say.
	IdleTimeout time.Duration
}

// Protocol reads and writes the names of a protocol.
type Protocol interface {
	// ReadRequest decodes a caller's headers.
	ReadRequest(h http.Header) (Request, error)
	// WriteSend returns the headers of one send: the caller's without those that
	// concern one connection, are secret, or are the system's to set, and with
	// the system's own.
	WriteSend(caller http.Header, s Attempt) http.Header
	// ReadReply decodes a target's headers.
	ReadReply(status int, h http.Header) Reply
	// WriteReply copies a target's headers to the caller's answer.
	WriteReply(to, target http.Header)
	// WriteRetryAfter tells a caller when to come back.
	WriteRetryAfter(to http.Header, after time.Duration)
}
