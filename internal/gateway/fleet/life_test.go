package fleet

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// born is a listing of a target's life.
func born(instance string, port uint16, at int64) Listing {
	l := listing(instance, port)
	l.StartedMs = at
	return l
}

func only(t *testing.T, d *Directory, now time.Time) Target {
	t.Helper()
	list := d.Targets(declared, now, SyncState{})["s"]
	if len(list) != 1 {
		t.Fatalf("targets %v", list)
	}
	return list[0]
}

// An engine crashes and starts again under its name. Prompts that wait at the earlier
// life, and the parts that it held, must not count for the new one: it would be passed
// over as busy, and sent prompts for what it does not hold.
func TestNewLifeUnderTheSameNameHasAnotherID(t *testing.T) {
	d := NewDirectory()
	d.Add(born("x", 1, 100), 1, start)
	before := only(t, d, start)
	d.Add(born("x", 1, 200), 2, start.Add(time.Second))
	after := only(t, d, start.Add(time.Second))
	if before.ID == after.ID || before.Incarnation == after.Incarnation {
		t.Errorf("%v and %v are taken for one", before.Incarnation, after.Incarnation)
	}
	if before.Hash != after.Hash {
		t.Error("a target that starts again has lost its place in the ranking")
	}
}

// The earlier life says that it leaves, and crashes. Its word reaches the list after
// that of its next life, which would get no work for as long as it lives.
func TestLateWordOfAnEarlierLife(t *testing.T) {
	d := NewDirectory()
	d.Add(born("x", 1, 200), 1, start)
	late := born("x", 1, 100)
	late.Leaving = true
	if d.Add(late, 2, start.Add(time.Second)) {
		t.Error("the late word is taken")
	}
	if got := only(t, d, start.Add(time.Second)); got.StartedMs != 200 || got.Leaving {
		t.Errorf("%+v", got)
	}
}

// A host's clock goes back, and its engine starts again: the new life seems to be born
// before the earlier one. It is used once that has been silent for three heartbeats.
func TestLifeBornBeforeItsPredecessor(t *testing.T) {
	d := NewDirectory()
	d.Add(born("x", 1, 200), 1, start)
	d.Add(born("x", 1, 150), 2, start.Add(time.Second))
	if got := only(t, d, start.Add(time.Second)); got.StartedMs != 200 {
		t.Errorf("at once: %v", got.Incarnation)
	}
	d.Add(born("x", 1, 150), 3, start.Add(lateWord+time.Second))
	if got := only(t, d, start.Add(lateWord+time.Second)); got.StartedMs != 150 {
		t.Errorf("later: %v", got.Incarnation)
	}
}

// The list drops a crashed life; its next one is known by its own host before the
// list shows it, and is used.
func TestNextLifeOfATargetThatIsGone(t *testing.T) {
	d := NewDirectory()
	d.Add(born("x", 1, 100), 1, start)
	d.Remove("x", start.Add(time.Second))
	if !d.Gone(Incarnation{"x", 100}) || d.Gone(Incarnation{"x", 200}) {
		t.Error("the wrong life is gone")
	}
}

// A sidecar was suspended while its engine started again. What it says on waking is
// older than the list, and must not bring the earlier life back.
func TestWordThatIsOlderThanTheList(t *testing.T) {
	d := NewDirectory()
	d.Add(born("x", 1, 200), 1, start)
	if !d.Superseded(Incarnation{"x", 100}, start.Add(-time.Second)) {
		t.Error("a word from before the listing counts")
	}
	if d.Superseded(Incarnation{"x", 100}, start.Add(time.Second)) {
		t.Error("the word of a host whose clock went back does not count")
	}
}

// Another writer lists a service that nobody declares at the address of an engine. The
// engine keeps its work.
func TestEntryOfAnUndeclaredServiceDisplacesNone(t *testing.T) {
	d := NewDirectory()
	d.Add(born("x", 1, 100), 1, start)
	foreign := born("y", 1, 300)
	foreign.Service = "nobody's"
	d.Add(foreign, 2, start)
	if got := only(t, d, start); got.Instance != "x" {
		t.Errorf("%v", got.Incarnation)
	}
	if at, ok := d.ByAddress(declared, foreign.Address); !ok || at.Instance != "x" {
		t.Errorf("at the address: %v, %v", at.Incarnation, ok)
	}
	if _, ok := d.Targets(declared, start, SyncState{})["nobody's"]; ok {
		t.Error("the undeclared service has targets")
	}
}

// Two targets swap names and lives at one address. The later born is used, whichever
// was written last.
func TestLaterBornAtAnAddressIsUsed(t *testing.T) {
	d := NewDirectory()
	d.Add(born("new", 1, 200), 1, start)
	d.Add(born("old", 1, 100), 2, start)
	if got := only(t, d, start); got.Instance != "new" {
		t.Errorf("%v", got.Incarnation)
	}
}

// oracle is what a directory should hold of one target: its newest life, unless that
// has been silent for so long that an earlier-looking one must be its successor.
type oracle struct {
	life    Incarnation
	heardAt time.Time
	gone    bool
}

func (o *oracle) hear(l Incarnation, now time.Time) {
	if l.StartedMs < o.life.StartedMs && now.Sub(o.heardAt) < lateWord {
		return
	}
	*o = oracle{life: l, heardAt: now}
}

// Targets start again, crash and are dropped, and their words come in any order.
// After each one, the directory uses exactly the lives that the oracle knows.
func TestDirectoryFollowsLivesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := NewDirectory()
		oracles := map[string]*oracle{}
		now := start
		for step := range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "pause")) * time.Millisecond)
			n := rapid.IntRange(0, 3).Draw(rt, "target")
			name := fmt.Sprintf("t%d", n)
			if rapid.IntRange(0, 5).Draw(rt, "drops") == 0 {
				d.Remove(name, now)
				if o := oracles[name]; o != nil {
					o.gone = true
				}
			} else {
				l := born(name, uint16(n+1), rapid.Int64Range(1, 4).Draw(rt, "born"))
				d.Add(l, uint64(step), now)
				if oracles[name] == nil {
					oracles[name] = &oracle{}
				}
				oracles[name].hear(l.Incarnation, now)
			}
			checkLives(rt, d, oracles, now)
		}
	})
}

func checkLives(rt *rapid.T, d *Directory, oracles map[string]*oracle, now time.Time) {
	used := map[Incarnation]netip.AddrPort{}
	for _, t := range d.Targets(declared, now, SyncState{})["s"] {
		used[t.Incarnation] = t.Address
	}
	want := 0
	for name, o := range oracles {
		if o.gone {
			continue
		}
		want++
		if _, ok := used[o.life]; !ok {
			rt.Fatalf("%s: %v is not used; used are %v", name, o.life, used)
		}
	}
	if len(used) != want {
		rt.Fatalf("used are %v, want %d", used, want)
	}
}
