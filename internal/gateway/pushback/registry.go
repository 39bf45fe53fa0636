// Package pushback keeps what targets state in their responses about the load that they take.
//
// A statement belongs to one incarnation of a target: a successor at the same address or with the
// same name starts without it.
package pushback

import (
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

const (
	// statementTTL is how long a statement holds that no response confirms. Requests that reach
	// the target confirm it or end it, so that it expires only where nobody asks for the target.
	statementTTL = time.Minute
	// maxTargets bounds the targets with a statement.
	maxTargets = 4096
	// logInterval is the least time between two log lines about the value of one target's
	// statement.
	logInterval = time.Second
)

// Response is a target's response as far as statements are concerned.
type Response struct {
	Target      fleet.ID
	Incarnation fleet.Incarnation
	Pushback    wire.Pushback
	RequestID   string
	// SentAt is when the request was sent to the target. A response states what held at that
	// time or later.
	SentAt time.Time
}

// Observer is notified of statements. It is called with the registry's lock held and must not call
// the registry.
type Observer interface {
	// RateLimitChanged is called when a target states a limit, another limit or none any more.
	RateLimitChanged(RateLimitChange)
	// InvalidStatement is called for a statement that can't be used.
	InvalidStatement(target fleet.Incarnation, requestID string, err error)
}

// RateLimitChange is a change of a target's rate limit.
type RateLimitChange struct {
	Target fleet.Incarnation
	// Before and Now are the limits in requests per second, None for no limit.
	Before, Now float64
	// RequestID is the request whose response stated it.
	RequestID string
}

// None is the rate limit of a target that states none.
const None = -1

// Registry keeps the statements of targets. It is safe for concurrent use.
type Registry struct {
	mu       sync.Mutex
	targets  map[fleet.ID]*target
	observer Observer
}

// target holds the statements of one incarnation.
type target struct {
	incarnation fleet.Incarnation
	limit       rateLimit
	// invalidLoggedAt is when an invalid statement was last reported.
	invalidLoggedAt time.Time
}

// NewRegistry returns a registry without statements.
func NewRegistry(observer Observer) *Registry {
	return &Registry{targets: map[fleet.ID]*target{}, observer: observer}
}

// Record records what a response states.
func (r *Registry) Record(resp Response, now time.Time) {
	p := &resp.Pushback
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[resp.Target]
	if t == nil {
		if !p.HasRateLimit && p.Invalid == nil {
			return
		}
		if t = r.add(&resp, now); t == nil {
			return
		}
	}
	if p.Invalid != nil {
		r.reportInvalid(t, &resp, now)
		return
	}
	if p.HasRateLimit {
		t.limit.state(p.RateLimit, now)
	} else {
		t.limit.endIfOlder(resp.SentAt, now)
	}
	r.reportRateLimit(t, resp.RequestID, now)
}

// add returns a new record; nil if there are too many.
func (r *Registry) add(resp *Response, now time.Time) *target {
	if len(r.targets) >= maxTargets {
		r.expire(now)
	}
	if len(r.targets) >= maxTargets {
		return nil
	}
	t := &target{incarnation: resp.Incarnation, limit: rateLimit{perSecond: None, reported: None}}
	r.targets[resp.Target] = t
	return t
}

// expire removes the records of targets that no response has mentioned for statementTTL.
func (r *Registry) expire(now time.Time) {
	for id, t := range r.targets {
		if now.Sub(t.limit.at) > statementTTL && now.Sub(t.invalidLoggedAt) > logInterval {
			delete(r.targets, id)
		}
	}
}

func (r *Registry) reportInvalid(t *target, resp *Response, now time.Time) {
	if now.Sub(t.invalidLoggedAt) < logInterval {
		return
	}
	t.invalidLoggedAt = now
	r.observer.InvalidStatement(resp.Incarnation, resp.RequestID, resp.Pushback.Invalid)
}

// reportRateLimit reports that a limit begins or ends, and other changes of its value at most once
// per logInterval.
func (r *Registry) reportRateLimit(t *target, requestID string, now time.Time) {
	l := &t.limit
	beginsOrEnds := (l.perSecond == None) != (l.reported == None)
	if l.perSecond == l.reported || !beginsOrEnds && now.Sub(l.reportedAt) < logInterval {
		return
	}
	change := RateLimitChange{Target: t.incarnation, Before: l.reported, Now: l.perSecond, RequestID: requestID}
	l.reported, l.reportedAt = l.perSecond, now
	r.observer.RateLimitChanged(change)
}

// Limited returns the number of targets that state a limit.
func (r *Registry) Limited(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.targets {
		if _, ok := t.limit.inForce(now); ok {
			n++
		}
	}
	return n
}
