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

// stateAt returns the state of a part of 10 tokens at a target.
func stateAt(x *Index, k Key, target fleet.ID, at time.Time) State {
	return x.StateAt(k, 10, target, at)
}

// prompt returns a prompt of 10-token parts.
func prompt(ids ...string) []wire.Part {
	var p []wire.Part
	for _, id := range ids {
		p = append(p, wire.Part{ID: id, Tokens: 10})
	}
	return p
}

// Scopes are equal only for the same model, weights and isolated workspace, whatever the
// names are. Otherwise prompts would use state of other weights or workspaces.
func TestScopesOfDifferentOriginDiffer(t *testing.T) {
	name := rapid.StringMatching(`[a-z0-9.]{0,6}`)
	rapid.Check(t, func(rt *rapid.T) {
		m1, m2 := name.Draw(rt, "model 1"), name.Draw(rt, "model 2")
		v1, v2 := rapid.Int64Range(0, 30).Draw(rt, "weights 1"), rapid.Int64Range(0, 30).Draw(rt, "weights 2")
		w1, w2 := name.Draw(rt, "workspace 1"), name.Draw(rt, "workspace 2")
		same := m1 == m2 && v1 == v2 && w1 == w2
		if (Scope(m1, v1, w1) == Scope(m2, v2, w2)) != same {
			rt.Fatalf("scopes %q and %q must be equal exactly if their inputs are", Scope(m1, v1, w1), Scope(m2, v2, w2))
		}
	})
}

// Only shared parts have keys, and a key depends on the cache scope.
func TestKeysOfSharedParts(t *testing.T) {
	a, b := Keys("s", prompt("x", "y", "own1")), Keys("s", prompt("x", "y", "own2"))
	if len(a) != 2 || a[0] != b[0] || a[1] != b[1] || a[0] == a[1] {
		t.Errorf("keys %v and %v, want two equal pairs of distinct keys", a, b)
	}
	if a[1] != KeyOf("s", "y") {
		t.Error("Keys and KeyOf differ for the same part")
	}
	if other := Keys("t", prompt("x", "y", "own1")); other[0] == a[0] {
		t.Error("a part has the same key in another scope")
	}
}

// Locations expire: engines evict unused parts, and a prefill that takes too long has failed.
func TestLocationsExpire(t *testing.T) {
	x := NewIndex()
	keys := Keys("s", prompt("x", "own"))
	x.Record(1, keys, false, now)
	if got := stateAt(x, keys[0], 1, now); got != InProgress {
		t.Errorf("state %v, want in progress", got)
	}
	if got := stateAt(x, keys[0], 1, now.Add(inProgressTTL+1)); got != Absent {
		t.Errorf("state %v after a prefill timed out, want absent", got)
	}
	x.Record(1, keys, true, now)
	if got := stateAt(x, keys[0], 1, now.Add(cachedTTL-1)); got != Cached {
		t.Errorf("state %v, want cached", got)
	}
	if got := stateAt(x, keys[0], 1, now.Add(cachedTTL+1)); got != Absent {
		t.Errorf("state %v of a part that was not used, want absent", got)
	}
}

// A cached part stays cached while another request uses it.
func TestCachedPartStaysCachedWhileUsed(t *testing.T) {
	x := NewIndex()
	keys := Keys("s", prompt("x", "own"))
	x.Record(1, keys, true, now)
	x.Record(1, keys, false, now.Add(time.Second))
	if got := stateAt(x, keys[0], 1, now.Add(time.Second)); got != Cached {
		t.Errorf("state %v, want cached", got)
	}
}

// Recorded updates are announced once, and applied ones are not announced again.
func TestUpdatesAreAnnouncedOnce(t *testing.T) {
	x := NewIndex()
	keys := Keys("s", prompt("x", "y", "own"))
	x.Record(1, keys, true, now)
	x.Record(1, keys, true, now.Add(time.Millisecond))
	x.Apply(Update{Part: 5, Target: 2, Done: true}, now)
	if got := x.TakeUpdates(10); len(got) != 2 {
		t.Errorf("updates %v, want 2", got)
	}
	if got := x.TakeUpdates(10); len(got) != 0 {
		t.Errorf("updates %v announced again", got)
	}
	if stateAt(x, 5, 2, now) != Cached {
		t.Error("an applied update has no effect")
	}
}

// Forgotten targets have nothing cached, and the memory stays bounded.
func TestForgetAndMemoryBound(t *testing.T) {
	x := NewIndex()
	for i := range 3 * maxKeys {
		x.Apply(Update{Part: Key(i), Target: 1, Done: true}, now)
	}
	if n := len(x.recent) + len(x.older); n > maxKeys {
		t.Errorf("%d keys, more than maxKeys", n)
	}
	if stateAt(x, Key(3*maxKeys-1), 1, now) != Cached {
		t.Error("the newest location was dropped")
	}
	x = NewIndex()
	x.Apply(Update{Part: 7, Target: 1, Done: true}, now)
	x.Forget(1)
	if stateAt(x, 7, 1, now) != Absent {
		t.Error("a forgotten target has a part cached")
	}
}
