package batchmodel

import (
	"reflect"
	"testing"
	"time"
)

func mustRun(t *testing.T, shape, policy string, modify func(*Spec)) *Result {
	t.Helper()
	spec := Shapes[shape]
	spec.Duration = 12 * time.Second
	if modify != nil {
		modify(&spec)
	}
	r, err := Run(spec, policy)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Runs with the same seed must have the same result.
func TestRunIsDeterministic(t *testing.T) {
	if a, b := mustRun(t, "desk", "toucanwell", nil), mustRun(t, "desk", "toucanwell", nil); !reflect.DeepEqual(a, b) {
		t.Errorf("results differ: %+v and %+v", a, b)
	}
}

// A single request takes the admission delay, its prefill in chunks, and a step per token.
func TestSingleRequestLatency(t *testing.T) {
	spec := EngineSpec{Slots: 4, MemoryTokens: 10_000, Step: 4 * time.Millisecond, PrefillTokensPerMs: 100, PrefillChunk: 2000, AdmissionDelay: 10 * time.Millisecond}
	e := newEngine(spec, 0, 0)
	q := &request{class: &Class{MaxWait: time.Minute}, ownTokens: 4000, outputTokens: 3}
	ended := time.Duration(0)
	q.onFinish = func(r *run) { ended = r.lastToken }
	var first time.Duration
	e.waiting = []*run{{request: q, engine: e, readyAt: spec.AdmissionDelay, onFirstToken: func(at time.Duration) { first = at }}}
	e.advance(time.Second)
	if first != 58*time.Millisecond || ended != 66*time.Millisecond {
		t.Errorf("first token at %s, last token at %s; want 58ms and 66ms", first, ended)
	}
}

// Parts stay cached until they are evicted or weights are loaded.
func TestPartsAreCached(t *testing.T) {
	e := newEngine(EngineSpec{Slots: 4, MemoryTokens: 5000, Step: time.Millisecond, PrefillTokensPerMs: 100, PrefillChunk: 1000, LoadTime: 10 * time.Millisecond}, 0, 0)
	cachedAtRequest := func(id uint64) int {
		q := &request{class: &Class{MaxWait: time.Minute}, sharedParts: []sharedPart{{id, 2000}}, ownTokens: 100, outputTokens: 1, onFinish: func(*run) {}}
		cached := e.cachedPrefix(q)
		e.waiting = []*run{{request: q, engine: e, onFirstToken: func(time.Duration) {}}}
		e.advance(e.clock + time.Second)
		return cached
	}
	for i, step := range []struct {
		id     uint64
		cached int
	}{{1, 0}, {1, 2000}, {2, 0}, {3, 0}, {1, 0}} {
		if got := cachedAtRequest(step.id); got != step.cached {
			t.Errorf("step %d: %d cached tokens", i, got)
		}
	}
	e.pendingLoads = []weightLoad{{at: e.clock, version: 1}}
	if cachedAtRequest(1) != 2000 {
		t.Error("the part was evicted before the load")
	}
	if e.cachedTokens > e.spec.MemoryTokens || e.version != 1 {
		t.Errorf("%d tokens cached, weight version %d", e.cachedTokens, e.version)
	}
}

// Package placement must beat the simple policies and come close to the oracle, at normal load and
// under overload.
func TestPlacementBeatsSimplePolicies(t *testing.T) {
	for _, load := range []float64{1, 1.6} {
		worth := map[string]float64{}
		for _, policy := range Policies {
			worth[policy] = mustRun(t, "desk", policy, func(s *Spec) { s.LoadFactor = load }).Worth
		}
		for _, simple := range Policies[:3] {
			if worth["toucanwell"] <= worth[simple] {
				t.Errorf("load factor %.1f: worth of %s is %.3f, of toucanwell %.3f", load, simple, worth[simple], worth["toucanwell"])
			}
		}
		if worth["toucanwell"] < 0.85*worth["oracle"] {
			t.Errorf("load factor %.1f: worth of toucanwell is %.3f, of the oracle %.3f", load, worth["toucanwell"], worth["oracle"])
		}
	}
}

func TestUnknownPolicyIsRefused(t *testing.T) {
	if _, err := Run(Shapes["desk"], "none"); err == nil {
		t.Error("an unknown policy was accepted")
	}
}
