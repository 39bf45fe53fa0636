package breaker

import (
	"testing"
	"time"
)

// A target fails and the breaker opens. A call that was let through before
// comes back late with a success: it must not close the breaker that opened
// since.
func TestLateResultOfAnEarlierGenerationChangesNothing(t *testing.T) {
	b := New(DefaultPolicy)
	late, _, _ := b.Acquire(0)
	for range DefaultPolicy.ConsecutiveFailures {
		p, ok, _ := b.Acquire(0)
		if !ok {
			t.Fatal("closed breaker refused")
		}
		b.Complete(0, p, Failure)
	}
	b.Complete(time.Millisecond, late, Success)
	if b.State(time.Millisecond) != Open {
		t.Fatal("a late success closed the breaker")
	}
	if _, ok, notBefore := b.Acquire(time.Second); ok || notBefore != DefaultPolicy.OpenFor {
		t.Fatalf("allowed %v, not before %v", ok, notBefore)
	}
	rested := DefaultPolicy.OpenFor
	if b.State(rested) != HalfOpen {
		t.Fatal("not half open after the rest")
	}
	b.Complete(rested, late, Success)
	if b.State(rested) != HalfOpen {
		t.Fatal("a late success closed the half-open breaker")
	}
}

// After its rest the breaker lets one probe through. A neutral result frees the
// place without closing; a lost one frees it by its timeout.
func TestHalfOpenLetsOneProbeThrough(t *testing.T) {
	b := New(Policy{ConsecutiveFailures: 1, OpenFor: time.Second, MaxProbes: 1, ProbeTimeout: 5 * time.Second})
	p, _, _ := b.Acquire(0)
	b.Complete(0, p, Failure)
	probe, ok, _ := b.Acquire(time.Second)
	if !ok {
		t.Fatal("no probe after the rest")
	}
	if _, ok, notBefore := b.Acquire(time.Second); ok || notBefore != 6*time.Second {
		t.Fatalf("second probe: %v, not before %v", ok, notBefore)
	}
	b.Complete(2*time.Second, probe, Neutral)
	if b.State(2*time.Second) != HalfOpen {
		t.Fatal("a neutral result changed the state")
	}
	if _, ok, _ = b.Acquire(2 * time.Second); !ok {
		t.Fatal("the neutral probe did not free its place")
	}
	again, ok, _ := b.Acquire(8 * time.Second)
	if !ok {
		t.Fatal("the lost probe did not free its place")
	}
	b.Complete(8*time.Second, again, Success)
	if b.State(8*time.Second) != Closed {
		t.Fatal("a good probe did not close the breaker")
	}
}
