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

// change returns a change of a part in scope "s".
func change(part string, tokens int) Change { return Change{Scope: "s", Part: part, Tokens: tokens} }

func tokensOf(c *Contents, part string) int { return c.cachedTokens[parts.KeyOf("s", part)] }

// Several changes of one part yield a single update with the latest number of tokens.
func TestChangesOfOnePartAreMerged(t *testing.T) {
	c := NewContents(0)
	c.Apply(Page{Epoch: "1", Next: 4, Changes: []Change{change("x", 900), change("x", 500), change("x", 100), change("y", 50)}})
	updates := map[parts.Key]int{}
	for _, h := range c.TakeUpdates(10) {
		updates[h.Part] = h.Tokens
	}
	if len(updates) != 2 || updates[parts.KeyOf("s", "x")] != 100 || updates[parts.KeyOf("s", "y")] != 50 {
		t.Errorf("updates %v, want the last change of x and y", updates)
	}
	if again := c.TakeUpdates(10); len(again) != 0 {
		t.Errorf("updates %v returned again", again)
	}
	c.Apply(Page{Epoch: "1", Next: 5, Changes: []Change{change("x", 0)}})
	if evicted := c.TakeUpdates(10); len(evicted) != 1 || evicted[0].Tokens != 0 {
		t.Errorf("updates after the eviction: %v, want one with 0 tokens", evicted)
	}
}

// A restart of the cache yields updates for the parts it has lost. Otherwise prompts would be
// sent there for them.
func TestRestartClearsContents(t *testing.T) {
	c := NewContents(0)
	c.Apply(Page{Epoch: "1", Next: 2, Changes: []Change{change("x", 900), change("y", 500)}})
	c.TakeUpdates(10)
	if !c.Apply(Page{Epoch: "2", Next: 1, Changes: []Change{change("y", 10)}}) {
		t.Error("Apply does not report the restart")
	}
	updates := c.TakeUpdates(10)
	if len(updates) != 2 || c.Len() != 1 || tokensOf(c, "x") != 0 || tokensOf(c, "y") != 10 {
		t.Errorf("contents %v, updates %v", c.cachedTokens, updates)
	}
}

// A list corrects contents that are wrong because reports of evictions were lost: updates
// cover the parts it lacks and those it adds.
func TestListCorrectsContents(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := NewContents(1000)
		list := Page{Epoch: "1", Next: 7}
		for _, name := range rapid.SliceOfDistinct(rapid.StringMatching("[a-h]"), rapid.ID[string]).Draw(rt, "cached") {
			list.Changes = append(list.Changes, change(name, rapid.IntRange(1, 100).Draw(rt, "tokens")))
		}
		for range rapid.IntRange(0, 50).Draw(rt, "changes") {
			c.Apply(Page{Epoch: "1", Changes: []Change{change(rapid.StringMatching("[a-p]").Draw(rt, "part"), rapid.IntRange(0, 600).Draw(rt, "tokens"))}})
		}
		updates := map[parts.Key]int{}
		takeUpdates := func() {
			for _, h := range c.TakeUpdates(100) {
				updates[h.Part] = h.Tokens
			}
		}
		takeUpdates()
		c.Replace(list)
		takeUpdates()
		sum := 0
		for _, want := range list.Changes {
			sum += want.Tokens
			if got := tokensOf(c, want.Part); got != want.Tokens || updates[parts.KeyOf("s", want.Part)] != want.Tokens {
				rt.Fatalf("%s: %d tokens, update of %d, want %d", want.Part, got, updates[parts.KeyOf("s", want.Part)], want.Tokens)
			}
		}
		if c.Len() != len(list.Changes) || c.totalTokens != sum || c.OverCapacity() {
			rt.Fatalf("contents %v of %d tokens, want %v", c.cachedTokens, c.totalTokens, list.Changes)
		}
		for k, tokens := range updates {
			if c.cachedTokens[k] != tokens {
				rt.Fatalf("last update has %d tokens of a part, the contents %d", tokens, c.cachedTokens[k])
			}
		}
	})
}

// A cache that exceeds its capacity or lost changes is listed at once, and then at most every
// ten seconds.
func TestCacheIsListedAfterInconsistency(t *testing.T) {
	for name, page := range map[string]Page{
		"over capacity": {Epoch: "1", Next: 2, Changes: []Change{change("x", 900), change("y", 900)}},
		"gap":           {Epoch: "1", Next: 2, Gap: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pages := []Page{{Epoch: "1", Next: 1}}
				for range 3000 {
					pages = append(pages, page)
				}
				feed := &scriptedFeed{pages: pages, listPage: Page{Epoch: "1", Next: 9, Changes: []Change{change("x", 900)}}}
				loop := control.NewLoop(1, func(time.Duration) {})
				go loop.Run()
				Follow("c", loop, feed, NewContents(1000), func() time.Duration { return BroadcastPollInterval }, func() {}, logr.Discard())
				time.Sleep(25 * time.Second)
				loop.Stop()
				synctest.Wait()
				if feed.lists != 3 {
					t.Errorf("%d lists in 25 s, want 3", feed.lists)
				}
			})
		})
	}
}

// NextRefresh returns every part once per round, so that entries recover from lost messages.
func TestNextRefreshReturnsAllInRounds(t *testing.T) {
	c := NewContents(0)
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		c.Apply(Page{Epoch: "1", Changes: []Change{change(name, 10)}})
	}
	seen := map[parts.Key]int{}
	for range 5 {
		for _, h := range c.NextRefresh(2) {
			seen[h.Part]++
		}
	}
	if len(seen) != 5 {
		t.Errorf("NextRefresh returned %v, want all five parts", seen)
	}
	for k, n := range seen {
		if n > 2 {
			t.Errorf("part %d was returned %d times in two rounds", k, n)
		}
	}
}

// scriptedFeed returns the given pages one after the other, then errors.
type scriptedFeed struct {
	mu        sync.Mutex
	pages     []Page
	positions []uint64
	listPage  Page
	lists     int
}

func (f *scriptedFeed) List(context.Context) (Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return f.listPage, nil
}

func (f *scriptedFeed) Changes(ctx context.Context, from uint64, _ time.Duration) (Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.positions = append(f.positions, from)
	if len(f.pages) == 0 {
		return Page{}, errors.New("connection refused")
	}
	page := f.pages[0]
	f.pages = f.pages[1:]
	return page, nil
}

// The positions of changes start again after a restart of the cache. Polling from the old
// position would miss everything cached since.
func TestChangesAreReadFromStartAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		feed := &scriptedFeed{pages: []Page{
			{Epoch: "1", Next: 500, Changes: []Change{change("x", 10)}},
			{Epoch: "2", Next: 3},
			{Epoch: "2", Next: 3, Changes: []Change{change("y", 10)}},
		}}
		loop := control.NewLoop(1, func(time.Duration) {})
		go loop.Run()
		contents := NewContents(0)
		Follow("c", loop, feed, contents, func() time.Duration { return BroadcastPollInterval }, func() {}, logr.Discard())
		time.Sleep(time.Second)
		loop.Stop()
		synctest.Wait()
		if len(feed.positions) < 4 || feed.positions[1] != 500 || feed.positions[2] != 0 || feed.positions[3] != 3 {
			t.Errorf("polled from positions %v", feed.positions)
		}
		if tokensOf(contents, "x") != 0 || tokensOf(contents, "y") != 10 {
			t.Errorf("contents %v, want y only", contents.cachedTokens)
		}
	})
}
