package batchmodel

import (
	"reflect"
	"testing"
	"time"
)

func play(t *testing.T, shape, policy string, change func(*Spec)) *Result {
	t.Helper()
	spec := Shapes[shape]
	spec.Duration = 12 * time.Second
	if change != nil {
		change(&spec)
	}
	r, err := Run(spec, policy)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// A model that does not repeat is of no use for comparing.
func TestRunsRepeat(t *testing.T) {
	if a, b := play(t, "desk", "toucanwell", nil), play(t, "desk", "toucanwell", nil); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v, then %+v", a, b)
	}
}

// A lone prompt takes the fixed time, its reading in chunks, and a step a token.
func TestLonePromptTakesItsTime(t *testing.T) {
	spec := EngineSpec{Slots: 4, MemoryTokens: 10_000, Step: 4 * time.Millisecond, PrefillTokensPerMs: 100, PrefillChunk: 2000, AdmissionDelay: 10 * time.Millisecond}
	e := newEngine(spec, 0, 0)
	q := &request{class: &Class{MaxWait: time.Minute}, own: 4000, answer: 3}
	ended := time.Duration(0)
	q.finish = func(r *run) { ended = r.lastToken }
	var first time.Duration
	e.waiting = []*run{{request: q, engine: e, readyAt: spec.AdmissionDelay, onFirst: func(at time.Duration) { first = at }}}
	e.advance(time.Second)
	if first != 58*time.Millisecond || ended != 66*time.Millisecond {
		t.Errorf("first token at %s, end at %s", first, ended)
	}
}

// A cached part is not read again, until memory is short or weights are loaded.
func TestPartsAreCached(t *testing.T) {
	e := newEngine(EngineSpec{Slots: 4, MemoryTokens: 5000, Step: time.Millisecond, PrefillTokensPerMs: 100, PrefillChunk: 1000, LoadTime: 10 * time.Millisecond}, 0, 0)
	ask := func(name uint64) int {
		q := &request{class: &Class{MaxWait: time.Minute}, shared: []shared{{name, 2000}}, own: 100, answer: 1, finish: func(*run) {}}
		held := e.held(q)
		e.waiting = []*run{{request: q, engine: e, onFirst: func(time.Duration) {}}}
		e.advance(e.now + time.Second)
		return held
	}
	for i, step := range []struct {
		name uint64
		held int
	}{{1, 0}, {1, 2000}, {2, 0}, {3, 0}, {1, 0}} {
		if got := ask(step.name); got != step.held {
			t.Errorf("step %d: %d tokens held", i, got)
		}
	}
	e.loads = []load{{at: e.now, version: 1}}
	if ask(1) != 2000 {
		t.Error("the part is gone before the load")
	}
	if e.cached > e.spec.MemoryTokens || e.version != 1 {
		t.Errorf("%d tokens cached, version %d", e.cached, e.version)
	}
}

// The product's placement does better than policies that know less, and not much
// worse than one that knows everything, at an ordinary load and in an overload.
func TestPlacementBeatsSimplePolicies(t *testing.T) {
	for _, load := range []float64{1, 1.6} {
		worth := map[string]float64{}
		for _, policy := range Policies {
			worth[policy] = play(t, "desk", policy, func(s *Spec) { s.LoadFactor = load }).Worth
		}
		for _, simple := range Policies[:3] {
			if worth["toucanwell"] <= worth[simple] {
				t.Errorf("load %.1f: %s has %.3f, toucanwell %.3f", load, simple, worth[simple], worth["toucanwell"])
			}
		}
		if worth["toucanwell"] < 0.85*worth["oracle"] {
			t.Errorf("load %.1f: toucanwell has %.3f, the oracle %.3f", load, worth["toucanwell"], worth["oracle"])
		}
	}
}

func TestUnknownPolicyIsRefused(t *testing.T) {
	if _, err := Run(Shapes["desk"], "none"); err == nil {
		t.Error("taken")
	}
}
