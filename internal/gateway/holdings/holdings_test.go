package holdings

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logr/logr"
	"pgregory.net/rapid"

	"github.com/toucanwell/toucanwell/internal/control"
	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

func change(part string, tokens int) Change { return Change{Scope: "s", Part: part, Tokens: tokens} }

func tokensOf(c *Cache, part string) int { return c.held[parts.KeyOf("s", part)].tokens }

// A part that is dropped block by block changes many times, and is told once.
func TestChangesOfOnePartAreToldOnce(t *testing.T) {
	c := NewCache(0)
	c.Apply(Page{Epoch: "1", Next: 4, Changes: []Change{change("x", 900), change("x", 500), change("x", 100), change("y", 50)}})
	told := map[parts.Key]int{}
	for _, h := range c.TakeChanged(10) {
		told[h.Part] = h.Tokens
	}
	if len(told) != 2 || told[parts.KeyOf("s", "x")] != 100 || told[parts.KeyOf("s", "y")] != 50 {
		t.Errorf("told %v", told)
	}
	if again := c.TakeChanged(10); len(again) != 0 {
		t.Errorf("again %v", again)
	}
	c.Apply(Page{Epoch: "1", Next: 5, Changes: []Change{change("x", 0)}})
	if gone := c.TakeChanged(10); len(gone) != 1 || gone[0].Tokens != 0 {
		t.Errorf("a dropped part is told as %v", gone)
	}
}

// An engine starts again under its name. The parts of its earlier life must be taken
// back, or prompts are sent there for them.
func TestNewLifeHoldsNothing(t *testing.T) {
	c := NewCache(0)
	c.Apply(Page{Epoch: "1", Next: 2, Changes: []Change{change("x", 900), change("y", 500)}})
	c.TakeChanged(10)
	if !c.Apply(Page{Epoch: "2", Next: 1, Changes: []Change{change("y", 10)}}) {
		t.Error("the new life is not noticed")
	}
	told := c.TakeChanged(10)
	if len(told) != 2 || c.Len() != 1 || tokensOf(c, "x") != 0 || tokensOf(c, "y") != 10 {
		t.Errorf("held %v, told %v", c.held, told)
	}
}

// Words of dropped parts are lost on their way. What is held stays within the cache's
// size, and the oldest word goes first.
func TestLostWordsDoNotFillTheCache(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := NewCache(1000)
		for range rapid.IntRange(1, 50).Draw(rt, "changes") {
			name := rapid.StringMatching("[a-h]").Draw(rt, "part")
			c.Apply(Page{Epoch: "1", Changes: []Change{change(name, rapid.IntRange(0, 600).Draw(rt, "tokens"))}})
			sum := 0
			for _, h := range c.held {
				sum += h.tokens
			}
			if sum != c.sum || sum > 1000 {
				rt.Fatalf("%d tokens held, counted as %d", sum, c.sum)
			}
		}
	})
	c := NewCache(1000)
	c.Apply(Page{Epoch: "1", Changes: []Change{change("old", 600), change("new", 600)}})
	if tokensOf(c, "old") != 0 || tokensOf(c, "new") != 600 {
		t.Errorf("held %v", c.held)
	}
}

// What is held is said again in slices, each part once a round, so that an entry that
// missed a word hears it.
func TestRepeatSaysAllInRounds(t *testing.T) {
	c := NewCache(0)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		c.Apply(Page{Epoch: "1", Changes: []Change{change(name, 10)}})
	}
	seen := map[parts.Key]int{}
	for range 5 {
		for _, h := range c.Repeat(2) {
			seen[h.Part]++
		}
	}
	if len(seen) != 5 {
		t.Errorf("said %v", seen)
	}
	for k, n := range seen {
		if n > 2 {
			t.Errorf("part %d was said %d times in two rounds", k, n)
		}
	}
}

// scriptedFeed answers with pages in turn, then waits.
type scriptedFeed struct {
	mu    sync.Mutex
	pages []Page
	asked []uint64
}

func (f *scriptedFeed) Changes(ctx context.Context, from uint64, _ time.Duration) (Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = append(f.asked, from)
	if len(f.pages) == 0 {
		return Page{}, errors.New("connection refused")
	}
	page := f.pages[0]
	f.pages = f.pages[1:]
	return page, nil
}

// The cache's next life counts its changes anew. Asked from where the earlier one
// ended, it would leave out all that it holds by now.
func TestNewLifeIsReadFromItsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{pages: []Page{
			{Epoch: "1", Next: 500, Changes: []Change{change("x", 10)}},
			{Epoch: "2", Next: 3},
			{Epoch: "2", Next: 3, Changes: []Change{change("y", 10)}},
		}}
		loop := control.NewLoop(1, func(time.Duration) {})
		go loop.Run()
		cache := NewCache(0)
		Follow("c", loop, feed, cache, func() {}, logr.Discard())
		time.Sleep(time.Second)
		loop.Stop()
		synctest.Wait()
		if len(feed.asked) < 4 || feed.asked[1] != 500 || feed.asked[2] != 0 || feed.asked[3] != 3 {
			t.Errorf("asked from %v", feed.asked)
		}
		if tokensOf(cache, "x") != 0 || tokensOf(cache, "y") != 10 {
			t.Errorf("held %v", cache.held)
		}
	})
}
