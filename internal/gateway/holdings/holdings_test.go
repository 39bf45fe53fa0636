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

func tokensOf(c *Contents, part string) int { return c.held[parts.KeyOf("s", part)] }

// A part that is dropped block by block changes many times, and is told once.
func TestChangesOfOnePartAreToldOnce(t *testing.T) {
	c := NewContents(0)
	c.Apply(Page{Epoch: "1", Next: 4, Changes: []Change{change("x", 900), change("x", 500), change("x", 100), change("y", 50)}})
	told := map[parts.Key]int{}
	for _, h := range c.TakeUpdates(10) {
		told[h.Part] = h.Tokens
	}
	if len(told) != 2 || told[parts.KeyOf("s", "x")] != 100 || told[parts.KeyOf("s", "y")] != 50 {
		t.Errorf("told %v", told)
	}
	if again := c.TakeUpdates(10); len(again) != 0 {
		t.Errorf("again %v", again)
	}
	c.Apply(Page{Epoch: "1", Next: 5, Changes: []Change{change("x", 0)}})
	if gone := c.TakeUpdates(10); len(gone) != 1 || gone[0].Tokens != 0 {
		t.Errorf("a dropped part is told as %v", gone)
	}
}

// An engine starts again under its name. The parts of its earlier life must be taken
// back, or prompts are sent there for them.
func TestNewLifeHoldsNothing(t *testing.T) {
	c := NewContents(0)
	c.Apply(Page{Epoch: "1", Next: 2, Changes: []Change{change("x", 900), change("y", 500)}})
	c.TakeUpdates(10)
	if !c.Apply(Page{Epoch: "2", Next: 1, Changes: []Change{change("y", 10)}}) {
		t.Error("the new life is not noticed")
	}
	told := c.TakeUpdates(10)
	if len(told) != 2 || c.Len() != 1 || tokensOf(c, "x") != 0 || tokensOf(c, "y") != 10 {
		t.Errorf("held %v, told %v", c.held, told)
	}
}

// Words of dropped parts are lost on their way, until more seems to be held than there
// is room for. A list sets it right: what it lacks is taken back, what it adds is told.
func TestListReplacesWhatIsDoubtful(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := NewContents(1000)
		list := Page{Epoch: "1", Next: 7}
		for _, name := range rapid.SliceOfDistinct(rapid.StringMatching("[a-h]"), rapid.ID[string]).Draw(rt, "held") {
			list.Changes = append(list.Changes, change(name, rapid.IntRange(1, 100).Draw(rt, "tokens")))
		}
		for range rapid.IntRange(0, 50).Draw(rt, "changes") {
			c.Apply(Page{Epoch: "1", Changes: []Change{change(rapid.StringMatching("[a-p]").Draw(rt, "part"), rapid.IntRange(0, 600).Draw(rt, "tokens"))}})
		}
		told := map[parts.Key]int{}
		tell := func() {
			for _, h := range c.TakeUpdates(100) {
				told[h.Part] = h.Tokens
			}
		}
		tell()
		c.Replace(list)
		tell()
		sum := 0
		for _, want := range list.Changes {
			sum += want.Tokens
			if got := tokensOf(c, want.Part); got != want.Tokens || told[parts.KeyOf("s", want.Part)] != want.Tokens {
				rt.Fatalf("%s: %d tokens, told %d, want %d", want.Part, got, told[parts.KeyOf("s", want.Part)], want.Tokens)
			}
		}
		if c.Len() != len(list.Changes) || c.sum != sum || c.OverCapacity() {
			rt.Fatalf("held %v of %d tokens, want %v", c.held, c.sum, list.Changes)
		}
		for k, tokens := range told {
			if c.held[k] != tokens {
				rt.Fatalf("told %d tokens of a part, held are %d", tokens, c.held[k])
			}
		}
	})
}

// A cache that seems to hold more than it has room for is listed, at once and then not
// more often than every ten seconds. So is one that lost changes.
func TestDoubtfulCacheIsListed(t *testing.T) {
	for name, page := range map[string]Page{
		"overfull": {Epoch: "1", Next: 2, Changes: []Change{change("x", 900), change("y", 900)}},
		"gap":      {Epoch: "1", Next: 2, Gap: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pages := []Page{{Epoch: "1", Next: 1}}
				for range 3000 {
					pages = append(pages, page)
				}
				feed := &scriptedFeed{pages: pages, all: Page{Epoch: "1", Next: 9, Changes: []Change{change("x", 900)}}}
				loop := control.NewLoop(1, func(time.Duration) {})
				go loop.Run()
				Follow("c", loop, feed, NewContents(1000), func() time.Duration { return BroadcastPollInterval }, func() {}, logr.Discard())
				time.Sleep(25 * time.Second)
				loop.Stop()
				synctest.Wait()
				if feed.lists != 3 {
					t.Errorf("%d lists in 25 s", feed.lists)
				}
			})
		})
	}
}

// What is held is said again in slices, each part once a round, so that an entry that
// missed a word hears it.
func TestRepeatSaysAllInRounds(t *testing.T) {
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
	all   Page
	lists int
}

func (f *scriptedFeed) List(context.Context) (Page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lists++
	return f.all, nil
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
		cache := NewContents(0)
		Follow("c", loop, feed, cache, func() time.Duration { return BroadcastPollInterval }, func() {}, logr.Discard())
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
