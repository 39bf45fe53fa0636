package breaker

import (
	"testing"
	"time"
)

// A late success of a call from before the breaker opened must not close it.
func TestResultOfEarlierGenerationIsIgnored(t *testing.T) {
	b := New(DefaultPolicy)
	late, _, _ := b.Acquire(0)
	for range DefaultPolicy.ConsecutiveFailures {
		p, ok, _ := b.Acquire(0)
		if !ok {
			t.Fatal("the closed breaker refused a call")
		}
		b.Complete(0, p, Failure)
	}
	b.Complete(time.Millisecond, late, Success)
	if b.State(time.Millisecond) != Open {
		t.Fatal("a late success closed the breaker")
	}
	if _, ok, notBefore := b.Acquire(time.Second); ok || notBefore != DefaultPolicy.OpenFor {
		t.Fatalf("allowed %v, retry at %v", ok, notBefore)
	}
	openUntil := DefaultPolicy.OpenFor
	if b.State(openUntil) != HalfOpen {
		t.Fatal("the breaker is not half open after OpenFor")
	}
	b.Complete(openUntil, late, Success)
	if b.State(openUntil) != HalfOpen {
		t.Fatal("a late success closed the half-open breaker")
	}
}

// A half-open breaker must allow one probe at a time. A neutral result and an expired probe
// must each free the slot without closing the breaker.
func TestHalfOpenAllowsOneProbe(t *testing.T) {
	b := New(Policy{ConsecutiveFailures: 1, OpenFor: time.Second, MaxProbes: 1, ProbeTimeout: 5 * time.Second})
	p, _, _ := b.Acquire(0)
	b.Complete(0, p, Failure)
	probe, ok, _ := b.Acquire(time.Second)
	if !ok {
		t.Fatal("no probe is allowed after OpenFor")
	}
	if _, ok, notBefore := b.Acquire(time.Second); ok || notBefore != 6*time.Second {
		t.Fatalf("second probe allowed %v, retry at %v", ok, notBefore)
	}
	b.Complete(2*time.Second, probe, Neutral)
	if b.State(2*time.Second) != HalfOpen {
		t.Fatal("a neutral result changed the state")
	}
	if _, ok, _ = b.Acquire(2 * time.Second); !ok {
		t.Fatal("the neutral probe did not free its slot")
	}
	again, ok, _ := b.Acquire(8 * time.Second)
	if !ok {
		t.Fatal("the expired probe did not free its slot")
	}
	b.Complete(8*time.Second, again, Success)
	if b.State(8*time.Second) != Closed {
		t.Fatal("a successful probe did not close the breaker")
	}
}
