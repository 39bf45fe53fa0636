// Package holdings follows what an engine, or a store of cached parts, says of its
// cache, and keeps which parts it holds.
//
// A sidecar follows its own engine, where the question is free, and tells the entries
// what changed. They then know what is held where although they have just started, and
// although caches drop parts without a word to anyone else.
package holdings

import (
	"context"
	"maps"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/parts"
)

// Change is that a cache holds so many tokens of a part now.
type Change struct {
	// Scope is the part's cache scope, Part its name.
	Scope, Part string
	// Tokens are zero when the part is not held any more.
	Tokens int
}

// Page is a stretch of a cache's changes.
type Page struct {
	// Epoch names the cache's life; a cache that starts again is empty.
	Epoch string
	// Next is where the next page begins.
	Next uint64
	// Gap is set when changes before this page were lost.
	Gap     bool
	Changes []Change
}

// Feed tells of one cache.
type Feed interface {
	// Changes returns the changes from a position on, and waits for some when there
	// are none.
	Changes(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	// All returns what the cache holds, and the position from which changes follow. The
	// question holds up the cache's work.
	List(ctx context.Context) (Page, error)
}

// Held is one part that a cache holds.
type CachedPart struct {
	Part   parts.Key
	Tokens int
}

// Cache is what one cache is known to hold. It is used by one thread.
type Contents struct {
	// room is the cache's size in tokens; zero when it is not known.
	room    int
	epoch   string
	sum     int
	held    map[parts.Key]int
	changed map[parts.Key]struct{}
	// round are the parts that are still to be said in this round.
	round []parts.Key
}

// NewCache returns a cache of which nothing is known, with room for so many tokens;
// zero when that is not known.
func NewContents(room int) *Contents {
	return &Contents{room: room, held: map[parts.Key]int{}, changed: map[parts.Key]struct{}{}}
}

// Len is the number of parts that are held.
func (c *Contents) Len() int { return len(c.held) }

// Apply takes in a page. It reports whether the cache has begun a new life.
func (c *Contents) Apply(p Page) bool {
	anew := c.epoch != "" && p.Epoch != c.epoch
	if anew {
		c.clear()
	}
	c.epoch = p.Epoch
	for _, change := range p.Changes {
		c.set(parts.KeyOf(change.Scope, change.Part), change.Tokens)
	}
	return anew
}

func (c *Contents) clear() {
	for k := range c.held {
		c.set(k, 0)
	}
}

func (c *Contents) set(k parts.Key, tokens int) {
	c.sum += tokens - c.held[k]
	c.changed[k] = struct{}{}
	if tokens > 0 {
		c.held[k] = tokens
	} else {
		delete(c.held, k)
	}
}

// overfull is by how much more than its room a cache may seem to hold before what is
// known of it counts as wrong.
const overfull = 1.25

// Doubtful reports whether the cache seems to hold more than it has room for.
//
// The failure guarded against: the word that a part was dropped is lost on its way, and
// the part counts as held for as long as the cache lives. Prompts are sent there for
// it, and fetched from there in vain. To drop what was said longest ago instead takes
// the parts that are used most, which are never said again.
func (c *Contents) OverCapacity() bool {
	return c.room > 0 && float64(c.sum) > overfull*float64(c.room)
}

// Replace takes in all that the cache holds.
func (c *Contents) Replace(p Page) {
	left := maps.Clone(c.held)
	for _, change := range p.Changes {
		k := parts.KeyOf(change.Scope, change.Part)
		if c.held[k] != change.Tokens {
			c.set(k, change.Tokens)
		}
		delete(left, k)
	}
	for k := range left {
		c.set(k, 0)
	}
	c.epoch = p.Epoch
}

// TakeChanged returns up to n parts that have changed since they were returned last.
func (c *Contents) TakeUpdates(n int) []CachedPart {
	n = min(n, len(c.changed))
	all := make([]CachedPart, 0, n)
	for k := range c.changed {
		if len(all) == n {
			break
		}
		all = append(all, CachedPart{Part: k, Tokens: c.held[k]})
		delete(c.changed, k)
	}
	return all
}

// Repeat returns up to n of the parts that are held. Calls return one part after the
// other, and begin again when all were returned.
func (c *Contents) NextRefresh(n int) []CachedPart {
	if len(c.round) == 0 {
		for k := range c.held {
			c.round = append(c.round, k)
		}
	}
	var all []CachedPart
	for len(all) < n && len(c.round) > 0 {
		k := c.round[len(c.round)-1]
		c.round = c.round[:len(c.round)-1]
		if tokens, ok := c.held[k]; ok {
			all = append(all, CachedPart{Part: k, Tokens: tokens})
		}
	}
	return all
}

// All returns the parts that are held, up to n.
func (c *Contents) List(n int) []CachedPart {
	all := make([]CachedPart, 0, min(n, len(c.held)))
	for k, tokens := range c.held {
		if len(all) == n {
			break
		}
		all = append(all, CachedPart{Part: k, Tokens: tokens})
	}
	return all
}
