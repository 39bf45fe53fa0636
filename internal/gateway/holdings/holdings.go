// Package holdings follows what an engine, or a store of cached parts, says of its
// cache, and keeps which parts it holds.
//
// A sidecar follows its own engine, where the question is free, and tells the entries
// what changed. They then know what is held where although they have just started, and
// although caches drop parts without a word to anyone else.
package holdings

import (
	"context"
	"math"
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
}

// Held is one part that a cache holds.
type Held struct {
	Part   parts.Key
	Tokens int
}

type holding struct {
	tokens int
	// order of the change that said so.
	order uint64
}

// Cache is what one cache is known to hold. It is used by one thread.
type Cache struct {
	// room is the cache's size in tokens; zero when it is not known.
	room    int
	epoch   string
	next    uint64
	order   uint64
	sum     int
	held    map[parts.Key]holding
	changed map[parts.Key]struct{}
	// round are the parts that are still to be said in this round.
	round []parts.Key
}

// NewCache returns a cache of which nothing is known, with room for so many tokens;
// zero when that is not known.
func NewCache(room int) *Cache {
	return &Cache{room: room, held: map[parts.Key]holding{}, changed: map[parts.Key]struct{}{}}
}

// Next is the position from which the cache's changes are not known.
func (c *Cache) Next() uint64 { return c.next }

// Len is the number of parts that are held.
func (c *Cache) Len() int { return len(c.held) }

// Apply takes in a page. It reports whether the cache has begun a new life.
func (c *Cache) Apply(p Page) bool {
	anew := c.epoch != "" && p.Epoch != c.epoch
	if anew {
		c.clear()
	}
	c.epoch, c.next = p.Epoch, p.Next
	for _, change := range p.Changes {
		c.set(parts.KeyOf(change.Scope, change.Part), change.Tokens)
	}
	c.trim()
	return anew
}

func (c *Cache) clear() {
	for k := range c.held {
		c.set(k, 0)
	}
}

func (c *Cache) set(k parts.Key, tokens int) {
	c.order++
	c.sum += tokens - c.held[k].tokens
	c.changed[k] = struct{}{}
	if tokens > 0 {
		c.held[k] = holding{tokens: tokens, order: c.order}
	} else {
		delete(c.held, k)
	}
}

// trim drops what was said longest ago while more is held than there is room for.
//
// The failure guarded against: the word that a part was dropped is lost on its way, and
// the part counts as held for as long as the cache lives. Prompts are sent there for
// it, and fetched from there in vain.
func (c *Cache) trim() {
	for c.room > 0 && c.sum > c.room {
		var oldest parts.Key
		order := uint64(math.MaxUint64)
		for k, h := range c.held {
			if h.order < order {
				oldest, order = k, h.order
			}
		}
		c.set(oldest, 0)
	}
}

// TakeChanged returns up to n parts that have changed since they were returned last.
func (c *Cache) TakeChanged(n int) []Held {
	n = min(n, len(c.changed))
	all := make([]Held, 0, n)
	for k := range c.changed {
		if len(all) == n {
			break
		}
		all = append(all, Held{Part: k, Tokens: c.held[k].tokens})
		delete(c.changed, k)
	}
	return all
}

// Repeat returns up to n of the parts that are held. Calls return one part after the
// other, and begin again when all were returned.
func (c *Cache) Repeat(n int) []Held {
	if len(c.round) == 0 {
		for k := range c.held {
			c.round = append(c.round, k)
		}
	}
	var all []Held
	for len(all) < n && len(c.round) > 0 {
		k := c.round[len(c.round)-1]
		c.round = c.round[:len(c.round)-1]
		if h, ok := c.held[k]; ok {
			all = append(all, Held{Part: k, Tokens: h.tokens})
		}
	}
	return all
}

// All returns the parts that are held, up to n.
func (c *Cache) All(n int) []Held {
	all := make([]Held, 0, min(n, len(c.held)))
	for k, h := range c.held {
		if len(all) == n {
			break
		}
		all = append(all, Held{Part: k, Tokens: h.tokens})
	}
	return all
}
