package forward

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// evidence is why a request counts as run or not run at a target.
type evidence string

const (
	// notConnected requests were not sent.
	notConnected evidence = "not_connected"
	// statedNotRun requests did not run by the target's own statement.
	statedNotRun evidence = "stated_not_run"
	// misdirected requests were refused by a target that is another one than they name, or has other weights.
	misdirected evidence = "misdirected"
	// noResponse requests may have run.
	noResponse evidence = "no_response"
	// hasResponse requests have run.
	hasResponse evidence = "response"
)

// notRun reports whether the request certainly did not run.
func (e evidence) notRun() bool {
	return e == notConnected || e == statedNotRun || e == misdirected
}

func evidenceOfError(err error) evidence {
	if errors.Is(err, upstream.ErrNotSent) {
		return notConnected
	}
	return noResponse
}

// evidenceOfReply returns what a response to a send shows. A status 421 alone shows nothing: a target may
// also answer a request with it that it has run.
func evidenceOfReply(dst *destination, status int, reply *wire.Reply) evidence {
	switch {
	case reply.NotRun:
		return statedNotRun
	case status == http.StatusMisdirectedRequest && !reply.Sealed && dst.isContradictedBy(reply):
		return misdirected
	default:
		return hasResponse
	}
}

// isContradictedBy reports whether a response comes from another instance than the send names, or from one
// with another version of the weights. Such a target does not run the request.
func (dst *destination) isContradictedBy(reply *wire.Reply) bool {
	return isAnother(dst.target.Instance, reply.Instance) || isAnother(dst.weightsVersion, reply.Weights)
}

// isAnother reports whether both values are stated and differ.
func isAnother[T comparable](named, stated T) bool {
	var none T
	return named != none && stated != none && named != stated
}

// impliesNotRun reports whether a status tells callers that the request did not run and never will. A
// target's own response with such a status is not relayed unless the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
