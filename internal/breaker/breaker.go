// Package breaker implements a circuit breaker for a target that fails repeatedly.
//
// The breaker runs in the target's sidecar, which all calls to the target pass, so it applies
// to the whole fleet without shared state. Each state change starts a new generation, and
// results of permits of earlier generations are ignored: a late success cannot close a breaker
// that has opened since.
package breaker

import (
	"time"
)

// Result is the result of a permitted call regarding the target's health.
type Result int

// The results.
const (
	// Success means that the target responded.
	Success Result = iota
	// Failure means that the target timed out, was unreachable or failed internally.
	Failure
	// Neutral means that the call says nothing about the target, for example because the caller
	// canceled it.
	Neutral
)

// Policy holds the thresholds of a breaker.
type Policy struct {
	// ConsecutiveFailures is the number of consecutive failures that open the breaker.
	ConsecutiveFailures int
	// OpenFor is how long the breaker stays open.
	OpenFor time.Duration
	// MaxProbes is the number of concurrent probes of a half-open breaker.
	MaxProbes int
	// ProbeTimeout is when a probe without a result expires.
	ProbeTimeout time.Duration
}

// DefaultPolicy is the default policy.
var DefaultPolicy = Policy{ConsecutiveFailures: 5, OpenFor: 2 * time.Second, MaxProbes: 1, ProbeTimeout: 10 * time.Second}

// State is the state of a breaker.
type State int

// The states.
const (
	Closed State = iota
	Open
	HalfOpen
)

// Permit allows one call. Its holder must pass it to Complete once.
type Permit struct {
	generation uint64
	id         uint64
}

// Breaker is a circuit breaker. It is not safe for concurrent use. Times are relative to an
// origin that the caller chooses.
type Breaker struct {
	policy     Policy
	state      State
	generation uint64
	failures   int
	openUntil  time.Duration
	probes     map[uint64]time.Duration
	lastID     uint64
}

// New returns a closed breaker.
func New(policy Policy) *Breaker {
	return &Breaker{policy: policy, probes: map[uint64]time.Duration{}}
}

// State returns the state at the given time.
func (b *Breaker) State(now time.Duration) State {
	if b.state == Open && now >= b.openUntil {
		b.transition(HalfOpen)
	}
	return b.state
}

// Acquire returns a permit, or the earliest time at which a retry can succeed.
func (b *Breaker) Acquire(now time.Duration) (permit Permit, ok bool, notBefore time.Duration) {
	switch b.State(now) {
	case Open:
		return Permit{}, false, b.openUntil
	case HalfOpen:
		b.dropExpiredProbes(now)
		if len(b.probes) >= b.policy.MaxProbes {
			return Permit{}, false, b.earliestExpiry()
		}
	}
	b.lastID++
	p := Permit{generation: b.generation, id: b.lastID}
	if b.state == HalfOpen {
		b.probes[p.id] = now + b.policy.ProbeTimeout
	}
	return p, true, 0
}

// Blocked reports whether Acquire would refuse a permit, and until when.
func (b *Breaker) Blocked(now time.Duration) (notBefore time.Duration, blocked bool) {
	switch b.State(now) {
	case Open:
		return b.openUntil, true
	case HalfOpen:
		b.dropExpiredProbes(now)
		if len(b.probes) >= b.policy.MaxProbes {
			return b.earliestExpiry(), true
		}
	}
	return 0, false
}

// Complete records the result of a permit. Results of earlier generations are ignored.
func (b *Breaker) Complete(now time.Duration, p Permit, result Result) {
	if p.generation != b.generation {
		return
	}
	delete(b.probes, p.id)
	switch result {
	case Success:
		b.failures = 0
		if b.state == HalfOpen {
			b.transition(Closed)
		}
	case Failure:
		b.failures++
		if b.state == HalfOpen || b.failures >= b.policy.ConsecutiveFailures {
			b.openUntil = now + b.policy.OpenFor
			b.transition(Open)
		}
	}
}

func (b *Breaker) transition(state State) {
	b.state = state
	b.generation++
	b.failures = 0
	clear(b.probes)
}

func (b *Breaker) dropExpiredProbes(now time.Duration) {
	for id, expiry := range b.probes {
		if expiry <= now {
			delete(b.probes, id)
		}
	}
}

func (b *Breaker) earliestExpiry() time.Duration {
	var earliest time.Duration
	for _, expiry := range b.probes {
		if earliest == 0 || expiry < earliest {
			earliest = expiry
		}
	}
	return earliest
}
