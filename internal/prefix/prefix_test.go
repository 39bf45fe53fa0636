package prefix

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Two workspaces send one text; new weights come into force. Their blocks must
// not share a name, nor may fields run into each other.
func TestNamesAreApartByScope(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		word := rapid.SampledFrom([]string{"", "a", "b", "ab", "ba"})
		a := Scope{word.Draw(rt, "workspace"), word.Draw(rt, "model"), word.Draw(rt, "adapter"), word.Draw(rt, "weights")}
		b := a
		for _, field := range []*string{&b.Workspace, &b.Model, &b.Adapter, &b.Weights} {
			if rapid.IntRange(0, 2).Draw(rt, "other") == 0 {
				*field = word.Draw(rt, "field")
			}
		}
		same := Parse(a, []string{"some shared text"}, 1).Blocks[0] == Parse(b, []string{"some shared text"}, 1).Blocks[0]
		if same != (a == b) {
			rt.Fatalf("%+v and %+v: same name %v", a, b, same)
		}
	})
}

// Two prompts share the names of exactly the whole blocks that they share.
func TestNamesFollowTheSharedText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shared := rapid.StringOfN(rapid.RuneFrom([]rune("xy")), 0, 64, -1).Draw(rt, "shared")
		a := Parse(Scope{}, []string{shared + "1" + "aaaaaaaaaaaa"}, 2)
		b := Parse(Scope{}, []string{shared + "2" + "aaaaaaaaaaaa"}, 2)
		n := 0
		for n < len(a.Blocks) && n < len(b.Blocks) && a.Blocks[n] == b.Blocks[n] {
			n++
		}
		if want := len(shared) / (2 * BytesPerToken); n != want {
			rt.Fatalf("%d blocks shared, want %d", n, want)
		}
	})
}

func page(incarnation string, first uint64, events ...external.CacheEvent) *external.EventPage {
	return &external.EventPage{Incarnation: incarnation, First: first, Events: events}
}

// The engine crashes and comes back empty. Events and answers of its earlier
// life arrive late: none of its blocks may be believed in.
func TestIndexForgetsAnEarlierLife(t *testing.T) {
	x := NewIndex(100)
	blocks := []uint64{1, 2, 3}
	x.AddCached("life 1", blocks)
	x.Apply(page("life 1", 1, external.CacheEvent{Seq: 1, Kind: external.EventStored, Blocks: blocks}))
	if x.Match(blocks) != 3 {
		t.Fatal("stored blocks are not held")
	}
	x.Apply(page("life 2", 1))
	x.AddCached("life 1", blocks)
	if n := x.Match(blocks); n != 0 {
		t.Fatalf("%d blocks of the earlier life are believed in", n)
	}
}

// Events are lost. What is believed wrongly is bounded by the engine's size and
// leaves by the order of use.
func TestIndexIsBoundedWhenEventsAreLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		x := NewIndex(8)
		seq := uint64(1)
		for range rapid.IntRange(1, 50).Draw(rt, "steps") {
			blocks := rapid.SliceOfN(rapid.Uint64Range(1, 30), 1, 6).Draw(rt, "blocks")
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				x.AddCached("a", blocks)
				if x.Match(blocks[:1]) != 1 {
					rt.Fatalf("a block just confirmed is not held")
				}
			case 1:
				seq += rapid.Uint64Range(1, 3).Draw(rt, "gap")
				x.Apply(page("a", 1, external.CacheEvent{Seq: seq, Kind: external.EventStored, Blocks: blocks}))
			case 2:
				seq += rapid.Uint64Range(1, 3).Draw(rt, "gap")
				x.Apply(page("a", 1, external.CacheEvent{Seq: seq, Kind: external.EventRemoved, Blocks: blocks}))
				if x.Match(blocks[:1]) != 0 {
					rt.Fatalf("a removed block is held")
				}
			}
			if x.Len() > 8 {
				rt.Fatalf("%d blocks are held", x.Len())
			}
		}
	})
}

func BenchmarkIndexEvent(b *testing.B) {
	for _, n := range []int{10_000, 57_000, 200_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			x := NewIndex(n)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				x.Apply(page("a", 1, external.CacheEvent{Seq: uint64(i + 1), Kind: external.EventStored, Blocks: []uint64{uint64(i)}}))
			}
		})
	}
}
