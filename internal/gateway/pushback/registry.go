// Package pushback keeps what targets state about the load that they take, mostly in their responses.
//
// A statement belongs to one incarnation of a target: a successor at the same address or with the
// same name starts without it. Entries announce statements to each other, since each of them gets
// only some of a target's responses.
package pushback

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// Origin is where a process has learned a statement from.
type Origin struct {
	// RequestID is the request whose response stated it; empty if another entry announced it.
	RequestID string
	// Peer is the entry that announced it; empty if this process received the response.
	Peer string
}

// Observer is notified of statements. It is called with the registry's lock held and must not call
// the registry.
type Observer interface {
	// RateLimitChanged is called when a target states a limit, another limit or none any more.
	RateLimitChanged(RateLimitChange)
	// LeavingStated is called when a target first states that it leaves. The incarnation is zero
	// if this process has received no response of the target.
	LeavingStated(target fleet.ID, incarnation fleet.Incarnation, origin Origin)
	// RestStated is called when a target asks for no requests for a time, and when it asks for more.
	RestStated(target fleet.Incarnation, rest time.Duration, requestID string)
	// RestEnded is called when a target has taken a request after its rest.
	RestEnded(target fleet.Incarnation, requestID string)
	// InvalidStatement is called for a statement that can't be used.
	InvalidStatement(target fleet.Incarnation, requestID string, err error)
}

// RateLimitChange is a change of a target's rate limit.
type RateLimitChange struct {
	Target fleet.ID
	// Incarnation is zero if this process has received no response of the target.
	Incarnation fleet.Incarnation
	// Before and Now are the limits in requests per second, None for no limit.
	Before, Now float64
	Origin      Origin
}

// None is the rate limit of a target that states none.
const None = -1

// Registry keeps the statements of targets. It is safe for concurrent use.
type Registry struct {
	// size is the number of records, for a quick look without the lock.
	size     atomic.Int64
	mu       sync.Mutex
	targets  map[fleet.ID]*target
	observer Observer
	// random returns a number in [0, 1).
	random func() float64
}

// target holds the statements of one incarnation.
type target struct {
	incarnation fleet.Incarnation
	limit       rateLimit
	leaving     leaving
	rest        rest
	// invalidLoggedAt is when an invalid statement was last reported.
	invalidLoggedAt time.Time
	announcements   announcements
}

// NewRegistry returns a registry without statements.
func NewRegistry(observer Observer) *Registry {
	return &Registry{targets: map[fleet.ID]*target{}, observer: observer, random: rand.Float64}
}

// Record records what a response states.
func (r *Registry) Record(resp Response, now time.Time) {
	p := &resp.Pushback
	statesNothing := !p.HasRateLimit && !p.Leaving && p.RetryAfter == 0 && p.Invalid == nil
	if r.size.Load() == 0 && statesNothing {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targets[resp.Target] == nil && statesNothing {
		return
	}
	t := r.recordOf(resp.Target, now)
	if t == nil {
		return
	}
	t.incarnation = resp.Incarnation
	if p.Invalid != nil {
		r.reportInvalid(t, &resp, now)
	}
	switch {
	case p.HasRateLimit:
		t.limit.state(p.RateLimit, now)
	case p.OmitsRateLimit:
		t.limit.endIfOlder(resp.SentAt)
	}
	origin := Origin{RequestID: resp.RequestID}
	r.reportRateLimit(resp.Target, t, origin, now)
	if p.Leaving {
		r.stateLeaving(resp.Target, t, origin, now)
	}
	if p.RetryAfter > 0 {
		r.stateRest(t, &resp, now)
	} else {
		r.endRest(t, &resp, now)
	}
}

// recordOf returns a target's record, a new one if there is none; nil if there are too many.
func (r *Registry) recordOf(id fleet.ID, now time.Time) *target {
	if t := r.targets[id]; t != nil {
		return t
	}
	if len(r.targets) >= maxTargets {
		r.expire(now)
	}
	if len(r.targets) >= maxTargets {
		return nil
	}
	t := &target{limit: rateLimit{perSecond: None, reported: None}}
	r.targets[id] = t
	r.size.Store(int64(len(r.targets)))
	return t
}

// expire removes the records without a recent statement.
func (r *Registry) expire(now time.Time) {
	for id, t := range r.targets {
		if now.Sub(t.limit.at) > statementTTL && t.leaving.expired(now) && now.Sub(t.rest.until) > statementTTL && now.Sub(t.invalidLoggedAt) > logInterval {
			delete(r.targets, id)
		}
	}
	r.size.Store(int64(len(r.targets)))
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
func (r *Registry) reportRateLimit(id fleet.ID, t *target, origin Origin, now time.Time) {
	l := &t.limit
	beginsOrEnds := (l.perSecond == None) != (l.reported == None)
	if l.perSecond == l.reported || !beginsOrEnds && now.Sub(l.reportedAt) < logInterval {
		return
	}
	change := RateLimitChange{Target: id, Incarnation: t.incarnation, Before: l.reported, Now: l.perSecond, Origin: origin}
	l.reported, l.reportedAt = l.perSecond, now
	t.announcements.restart()
	r.observer.RateLimitChanged(change)
}

// RateLimit returns the rate limit that a target states, in requests per second, and when it was
// last stated; ok is false if it states none.
func (r *Registry) RateLimit(id fleet.ID, now time.Time) (perSecond float64, statedAt time.Time, ok bool) {
	if r.size.Load() == 0 {
		return 0, time.Time{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil {
		return 0, time.Time{}, false
	}
	perSecond, ok = t.limit.inForce(now)
	return perSecond, t.limit.at, ok
}

// RateLimits returns the rate limits in force, in requests per second; nil if there are none.
func (r *Registry) RateLimits(now time.Time) map[fleet.ID]float64 {
	return collect(r, func(t *target) (float64, bool) { return t.limit.inForce(now) })
}

// collect returns a value of each target that has it; nil if none has.
func collect[V any](r *Registry, valueOf func(*target) (V, bool)) map[fleet.ID]V {
	if r.size.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var values map[fleet.ID]V
	for id, t := range r.targets {
		v, ok := valueOf(t)
		if !ok {
			continue
		}
		if values == nil {
			values = map[fleet.ID]V{}
		}
		values[id] = v
	}
	return values
}
