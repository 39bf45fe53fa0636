// Package breaker rests a target that fails often.
//
// The breaker stands at the target's sidecar. Every call to the target passes
// there, so that its scope is the whole fleet without any shared store. Three
// points follow "Circuit-Breaker Invocation Admission": each state change
// advances a generation and a permit counts only in its own, so that a result
// that comes late cannot close a breaker that opened since; a result is a
// success, a failure of health, or neutral; and the time to come back is a
// lower bound, for a half-open breaker the expiry of its probes.
package breaker

import (
	"time"
)

// Result is what a permitted call says about the target's health.
type Result int

// The results.
const (
	// Success: the target answered.
	Success Result = iota
	// Failure: the target timed out, was unreachable or failed inside.
	Failure
	// Neutral: the call says nothing, such as one the caller cancelled.
	Neutral
)

// Policy holds the thresholds.
type Policy struct {
	// Failures in a row that open the breaker.
	ConsecutiveFailures int
	// OpenFor is the rest after opening.
	OpenFor time.Duration
	// Probes may run at once while half open.
	MaxProbes int
	// ProbeTimeout frees a probe's place when its result never comes.
	ProbeTimeout time.Duration
}

// DefaultPolicy is in force unless another is set.
var DefaultPolicy = Policy{ConsecutiveFailures: 5, OpenFor: 2 * time.Second, MaxProbes: 1, ProbeTimeout: 10 * time.Second}

// State of a breaker.
type State int

// The states.
const (
	Closed State = iota
	Open
	HalfOpen
)

// Permit allows one call. Its holder completes it once.
type Permit struct {
	generation uint64
	number     uint64
}

// Breaker is used by one goroutine at a time. Times are since a start that the
// caller chose.
type Breaker struct {
	policy     Policy
	state      State
	generation uint64
	failures   int
	openUntil  time.Duration
	probes     map[uint64]time.Duration
	permits    uint64
}

// New returns a closed breaker.
func New(policy Policy) *Breaker {
	return &Breaker{policy: policy, probes: map[uint64]time.Duration{}}
}

// State returns the state at a time.
func (b *Breaker) State(now time.Duration) State {
	if b.state == Open && now >= b.openUntil {
		b.enter(HalfOpen)
	}
	return b.state
}

// Acquire returns a permit, or the earliest time at which asking again can
// help.
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
	b.permits++
	p := Permit{generation: b.generation, number: b.permits}
	if b.state == HalfOpen {
		b.probes[p.number] = now + b.policy.ProbeTimeout
	}
	return p, true, 0
}

// Blocked reports whether Acquire would refuse, without taking a permit.
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

// Complete reports a permit's result. One of an earlier generation changes
// nothing.
func (b *Breaker) Complete(now time.Duration, p Permit, result Result) {
	if p.generation != b.generation {
		return
	}
	delete(b.probes, p.number)
	switch result {
	case Success:
		b.failures = 0
		if b.state == HalfOpen {
			b.enter(Closed)
		}
	case Failure:
		b.failures++
		if b.state == HalfOpen || b.failures >= b.policy.ConsecutiveFailures {
			b.openUntil = now + b.policy.OpenFor
			b.enter(Open)
		}
	}
}

func (b *Breaker) enter(state State) {
	b.state = state
	b.generation++
	b.failures = 0
	clear(b.probes)
}

func (b *Breaker) dropExpiredProbes(now time.Duration) {
	for number, expiry := range b.probes {
		if expiry <= now {
			delete(b.probes, number)
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
