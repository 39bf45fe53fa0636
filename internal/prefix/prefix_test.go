package prefix

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/external"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Blocks must have equal hashes only if workspace, model, adapter and weights are all equal.
func TestBlockHashesDependOnScope(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		value := rapid.SampledFrom([]string{"", "a", "b", "ab", "ba"})
		a := Scope{value.Draw(rt, "workspace"), value.Draw(rt, "model"), value.Draw(rt, "adapter"), value.Draw(rt, "weights")}
		b := a
		for _, field := range []*string{&b.Workspace, &b.Model, &b.Adapter, &b.Weights} {
			if rapid.IntRange(0, 2).Draw(rt, "other") == 0 {
				*field = value.Draw(rt, "field")
			}
		}
		equal := Parse(a, []string{"some shared text"}, 1).Blocks[0] == Parse(b, []string{"some shared text"}, 1).Blocks[0]
		if equal != (a == b) {
			rt.Fatalf("%+v and %+v: equal hashes %v", a, b, equal)
		}
	})
}

// Two prompts must share the hashes of exactly the complete blocks that they share.
func TestBlockHashesFollowSharedText(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		shared := rapid.StringOfN(rapid.RuneFrom([]rune("xy")), 0, 64, -1).Draw(rt, "shared")
		a := Parse(Scope{}, []string{shared + "1" + "aaaaaaaaaaaa"}, 2)
		b := Parse(Scope{}, []string{shared + "2" + "aaaaaaaaaaaa"}, 2)
		n := 0
		for n < len(a.Blocks) && n < len(b.Blocks) && a.Blocks[n] == b.Blocks[n] {
			n++
		}
		if want := len(shared) / (2 * BytesPerToken); n != want {
			rt.Fatalf("%d blocks are shared, want %d", n, want)
		}
	})
}

func page(incarnation string, first uint64, events ...external.CacheEvent) *external.EventPage {
	return &external.EventPage{Incarnation: incarnation, First: first, Events: events}
}

// The index of a restarted engine must not keep or accept blocks of the earlier incarnation.
func TestNewIncarnationClearsIndex(t *testing.T) {
	x := NewIndex(100)
	blocks := []uint64{1, 2, 3}
	x.AddCached("incarnation 1", blocks)
	x.Apply(page("incarnation 1", 1, external.CacheEvent{Seq: 1, Kind: external.EventStored, Blocks: blocks}))
	if x.Match(blocks) != 3 {
		t.Fatal("stored blocks are not in the index")
	}
	x.Apply(page("incarnation 2", 1))
	x.AddCached("incarnation 1", blocks)
	if n := x.Match(blocks); n != 0 {
		t.Fatalf("%d blocks of the earlier incarnation are still in the index", n)
	}
}

// When events are lost, the index must stay within the engine's capacity.
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
					rt.Fatalf("a block that was just added is not in the index")
				}
			case 1:
				seq += rapid.Uint64Range(1, 3).Draw(rt, "gap")
				x.Apply(page("a", 1, external.CacheEvent{Seq: seq, Kind: external.EventStored, Blocks: blocks}))
			case 2:
				seq += rapid.Uint64Range(1, 3).Draw(rt, "gap")
				x.Apply(page("a", 1, external.CacheEvent{Seq: seq, Kind: external.EventRemoved, Blocks: blocks}))
				if x.Match(blocks[:1]) != 0 {
					rt.Fatalf("a removed block is still in the index")
				}
			}
			if x.Len() > 8 {
				rt.Fatalf("the index has %d blocks", x.Len())
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
