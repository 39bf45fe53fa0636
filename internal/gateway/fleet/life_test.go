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
	l.Born = at
	return l
}

func only(t *testing.T, d *Directory, now time.Time) Target {
	t.Helper()
	list := d.Targets(declared, now, Following{})["s"]
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
	d.List(born("x", 1, 100), 1, start)
	before := only(t, d, start)
	d.List(born("x", 1, 200), 2, start.Add(time.Second))
	after := only(t, d, start.Add(time.Second))
	if before.ID == after.ID || before.Life == after.Life {
		t.Errorf("%v and %v are taken for one", before.Life, after.Life)
	}
	if before.Hash != after.Hash {
		t.Error("a target that starts again has lost its place in the ranking")
	}
}

// The earlier life says that it leaves, and crashes. Its word reaches the list after
// that of its next life, which would get no work for as long as it lives.
func TestLateWordOfAnEarlierLife(t *testing.T) {
	d := NewDirectory()
	d.List(born("x", 1, 200), 1, start)
	late := born("x", 1, 100)
	late.Leaving = true
	if d.List(late, 2, start.Add(time.Second)) {
		t.Error("the late word is taken")
	}
	if got := only(t, d, start.Add(time.Second)); got.Born != 200 || got.Leaving {
		t.Errorf("%+v", got)
	}
}

// A host's clock goes back, and its engine starts again: the new life seems to be born
// before the earlier one. It is used once that has been silent for three heartbeats.
func TestLifeBornBeforeItsPredecessor(t *testing.T) {
	d := NewDirectory()
	d.List(born("x", 1, 200), 1, start)
	d.List(born("x", 1, 150), 2, start.Add(time.Second))
	if got := only(t, d, start.Add(time.Second)); got.Born != 200 {
		t.Errorf("at once: %v", got.Life)
	}
	d.List(born("x", 1, 150), 3, start.Add(lateWord+time.Second))
	if got := only(t, d, start.Add(lateWord+time.Second)); got.Born != 150 {
		t.Errorf("later: %v", got.Life)
	}
}

// The list drops a crashed life; its next one is known by its own host before the
// list shows it, and is used.
func TestNextLifeOfATargetThatIsGone(t *testing.T) {
	d := NewDirectory()
	d.List(born("x", 1, 100), 1, start)
	d.Drop("x", start.Add(time.Second))
	if !d.Gone(Life{"x", 100}) || d.Gone(Life{"x", 200}) {
		t.Error("the wrong life is gone")
	}
}

// A sidecar was suspended while its engine started again. What it says on waking is
// older than the list, and must not bring the earlier life back.
func TestWordThatIsOlderThanTheList(t *testing.T) {
	d := NewDirectory()
	d.List(born("x", 1, 200), 1, start)
	if !d.Succeeded(Life{"x", 100}, start.Add(-time.Second)) {
		t.Error("a word from before the listing counts")
	}
	if d.Succeeded(Life{"x", 100}, start.Add(time.Second)) {
		t.Error("the word of a host whose clock went back does not count")
	}
}

// Another writer lists a service that nobody declares at the address of an engine. The
// engine keeps its work.
func TestEntryOfAnUndeclaredServiceDisplacesNone(t *testing.T) {
	d := NewDirectory()
	d.List(born("x", 1, 100), 1, start)
	foreign := born("y", 1, 300)
	foreign.Service = "nobody's"
	d.List(foreign, 2, start)
	if got := only(t, d, start); got.Instance != "x" {
		t.Errorf("%v", got.Life)
	}
	if at, ok := d.At(declared, foreign.Address); !ok || at.Instance != "x" {
		t.Errorf("at the address: %v, %v", at.Life, ok)
	}
	if _, ok := d.Targets(declared, start, Following{})["nobody's"]; ok {
		t.Error("the undeclared service has targets")
	}
}

// Two targets swap names and lives at one address. The later born is used, whichever
// was written last.
func TestLaterBornAtAnAddressIsUsed(t *testing.T) {
	d := NewDirectory()
	d.List(born("new", 1, 200), 1, start)
	d.List(born("old", 1, 100), 2, start)
	if got := only(t, d, start); got.Instance != "new" {
		t.Errorf("%v", got.Life)
	}
}

// oracle is what a directory should hold of one target: its newest life, unless that
// has been silent for so long that an earlier-looking one must be its successor.
type oracle struct {
	life    Life
	heardAt time.Time
	gone    bool
}

func (o *oracle) hear(l Life, now time.Time) {
	if l.Born < o.life.Born && now.Sub(o.heardAt) < lateWord {
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
				d.Drop(name, now)
				if o := oracles[name]; o != nil {
					o.gone = true
				}
			} else {
				l := born(name, uint16(n+1), rapid.Int64Range(1, 4).Draw(rt, "born"))
				d.List(l, uint64(step), now)
				if oracles[name] == nil {
					oracles[name] = &oracle{}
				}
				oracles[name].hear(l.Life, now)
			}
			checkLives(rt, d, oracles, now)
		}
	})
}

func checkLives(rt *rapid.T, d *Directory, oracles map[string]*oracle, now time.Time) {
	used := map[Life]netip.AddrPort{}
	for _, t := range d.Targets(declared, now, Following{})["s"] {
		used[t.Life] = t.Address
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
