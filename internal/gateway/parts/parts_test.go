package parts

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var now = time.Unix(1000, 0)

// stateAt is a part's state at a target.
func stateAt(b *Index, k Key, target fleet.ID, at time.Time) State {
	return b.StateAt(k, 10, target, at)
}

func prompt(ids ...string) []wire.Part {
	var p []wire.Part
	for _, id := range ids {
		p = append(p, wire.Part{ID: id, Tokens: 10})
	}
	return p
}

// Two prompts share parts only under the same model, weights and isolated
// workspace. Scopes that differ in any of these are never equal, whatever the
// names are.
func TestScopesOfDifferentOriginDiffer(t *testing.T) {
	name := rapid.StringMatching(`[a-z0-9.]{0,6}`)
	rapid.Check(t, func(rt *rapid.T) {
		m1, m2 := name.Draw(rt, "model 1"), name.Draw(rt, "model 2")
		v1, v2 := rapid.Int64Range(0, 30).Draw(rt, "weights 1"), rapid.Int64Range(0, 30).Draw(rt, "weights 2")
		w1, w2 := name.Draw(rt, "workspace 1"), name.Draw(rt, "workspace 2")
		same := m1 == m2 && v1 == v2 && w1 == w2
		if (Scope(m1, v1, w1) == Scope(m2, v2, w2)) != same {
			rt.Fatalf("%q and %q", Scope(m1, v1, w1), Scope(m2, v2, w2))
		}
	})
}

// The last part belongs to the request alone and is not remembered; a part is named
// within its cache scope.
func TestKeysNameSharedParts(t *testing.T) {
	a, b := Keys("s", prompt("x", "y", "own1")), Keys("s", prompt("x", "y", "own2"))
	if len(a) != 2 || a[0] != b[0] || a[1] != b[1] || a[0] == a[1] {
		t.Errorf("%v and %v", a, b)
	}
	if a[1] != KeyOf("s", "y") {
		t.Error("a part is not named as targets name it")
	}
	if other := Keys("t", prompt("x", "y", "own1")); other[0] == a[0] {
		t.Error("a part is the same in another scope")
	}
}

// Beliefs end: engines evict what was not used, and a read that takes long has
// failed.
func TestBeliefsEnd(t *testing.T) {
	b := NewIndex()
	keys := Keys("s", prompt("x", "own"))
	b.Record(1, keys, false, now)
	if got := stateAt(b, keys[0], 1, now); got != InProgress {
		t.Errorf("state %v", got)
	}
	if got := stateAt(b, keys[0], 1, now.Add(comingFor+1)); got != Absent {
		t.Errorf("a read that hangs: state %v", got)
	}
	b.Record(1, keys, true, now)
	if got := stateAt(b, keys[0], 1, now.Add(heldFor-1)); got != Cached {
		t.Errorf("state %v", got)
	}
	if got := stateAt(b, keys[0], 1, now.Add(heldFor+1)); got != Absent {
		t.Errorf("a part not used for long: state %v", got)
	}
}

// A part that is held stays so while another request reads it.
func TestHeldPartIsNotComingAgain(t *testing.T) {
	b := NewIndex()
	keys := Keys("s", prompt("x", "own"))
	b.Record(1, keys, true, now)
	b.Record(1, keys, false, now.Add(time.Second))
	if got := stateAt(b, keys[0], 1, now.Add(time.Second)); got != Cached {
		t.Errorf("state %v", got)
	}
}

// What one process learned is told once; what it was told is not told on.
func TestFactsAreToldOnce(t *testing.T) {
	b := NewIndex()
	keys := Keys("s", prompt("x", "y", "own"))
	b.Record(1, keys, true, now)
	b.Record(1, keys, true, now.Add(time.Millisecond))
	b.Apply(Update{Part: 5, Target: 2, Done: true}, now)
	if got := b.TakeUpdates(10); len(got) != 2 {
		t.Errorf("facts %v", got)
	}
	if got := b.TakeUpdates(10); len(got) != 0 {
		t.Errorf("again %v", got)
	}
	if stateAt(b, 5, 2, now) != Cached {
		t.Error("what was told is not believed")
	}
}

// A target that was emptied holds nothing, and memory stays bounded.
func TestForgetAndBound(t *testing.T) {
	b := NewIndex()
	for i := range 3 * maxKeys {
		b.Apply(Update{Part: Key(i), Target: 1, Done: true}, now)
	}
	if n := len(b.young) + len(b.old); n > maxKeys {
		t.Errorf("%d keys", n)
	}
	if stateAt(b, Key(3*maxKeys-1), 1, now) != Cached {
		t.Error("the newest belief was dropped")
	}
	b = NewIndex()
	b.Apply(Update{Part: 7, Target: 1, Done: true}, now)
	b.Forget(1)
	if stateAt(b, 7, 1, now) != Absent {
		t.Error("an emptied target holds a part")
	}
}
