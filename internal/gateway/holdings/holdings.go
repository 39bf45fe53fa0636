// Package holdings follows the change feeds of engines' caches and of KV stores, and mirrors
// which prompt parts each cache contains.
//
// A sidecar polls its own engine, which costs nothing there, and broadcasts the changes to the
// entries. Entries thus learn the contents of all caches soon after a start, and learn of
// evictions, which nothing else reports.
package holdings

import (
	"context"
	"maps"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/parts"
)

// Change reports how many tokens of a part a cache has now.
type Change struct {
	// Scope is the cache scope of the part, and Part its name.
	Scope, Part string
	// Tokens is zero if the part was evicted.
	Tokens int
}

// Page is a contiguous range of the changes of a cache.
type Page struct {
	// Epoch identifies the incarnation of the cache, which is empty after a restart.
	Epoch string
	// Next is the position of the next page.
	Next uint64
	// Gap is set if changes before this page were lost.
	Gap     bool
	Changes []Change
}

// Feed is the change feed of one cache.
type Feed interface {
	// Changes returns the changes since a position. If there are none, it waits for some.
	Changes(ctx context.Context, from uint64, wait time.Duration) (Page, error)
	// List returns all cached parts, and the position of the changes that follow. Listing
	// interrupts the engine.
	List(ctx context.Context) (Page, error)
}

// CachedPart is a part and the number of its tokens in a cache.
type CachedPart struct {
	Part   parts.Key
	Tokens int
}

// Contents is what is known of the contents of one cache. It is not safe for concurrent use.
type Contents struct {
	// capacity is the size of the cache in tokens, or zero if it is unknown.
	capacity    int
	epoch       string
	totalTokens int
	// cachedTokens is the number of cached tokens by part.
	cachedTokens map[parts.Key]int
	// changed are the parts that TakeUpdates has to return.
	changed map[parts.Key]struct{}
	// refreshQueue are the parts that the current round of NextRefresh has to return.
	refreshQueue []parts.Key
}

// NewContents returns empty contents of a cache with the given capacity in tokens, or zero if
// that is unknown.
func NewContents(capacity int) *Contents {
	return &Contents{capacity: capacity, cachedTokens: map[parts.Key]int{}, changed: map[parts.Key]struct{}{}}
}

// Len returns the number of cached parts.
func (c *Contents) Len() int { return len(c.cachedTokens) }

// Apply applies a page of changes. It reports whether the cache has restarted.
func (c *Contents) Apply(p Page) bool {
	restarted := c.epoch != "" && p.Epoch != c.epoch
	if restarted {
		c.clear()
	}
	c.epoch = p.Epoch
	for _, change := range p.Changes {
		c.set(parts.KeyOf(change.Scope, change.Part), change.Tokens)
	}
	return restarted
}

func (c *Contents) clear() {
	for k := range c.cachedTokens {
		c.set(k, 0)
	}
}

func (c *Contents) set(k parts.Key, tokens int) {
	c.totalTokens += tokens - c.cachedTokens[k]
	c.changed[k] = struct{}{}
	if tokens > 0 {
		c.cachedTokens[k] = tokens
	} else {
		delete(c.cachedTokens, k)
	}
}

// overCapacityFactor is the ratio of known tokens to capacity above which the known contents
// count as wrong.
const overCapacityFactor = 1.25

// OverCapacity reports whether the known contents exceed the capacity of the cache.
//
// This happens when reports of evictions are lost: the parts would count as cached until the
// cache restarts, and attract prompts and fetches. Deleting the least recently reported parts
// instead would delete the most used ones, whose reports are never repeated.
func (c *Contents) OverCapacity() bool {
	return c.capacity > 0 && float64(c.totalTokens) > overCapacityFactor*float64(c.capacity)
}

// Replace replaces the contents with a list of all cached parts.
func (c *Contents) Replace(p Page) {
	unlisted := maps.Clone(c.cachedTokens)
	for _, change := range p.Changes {
		k := parts.KeyOf(change.Scope, change.Part)
		if c.cachedTokens[k] != change.Tokens {
			c.set(k, change.Tokens)
		}
		delete(unlisted, k)
	}
	for k := range unlisted {
		c.set(k, 0)
	}
	c.epoch = p.Epoch
}

// TakeUpdates removes and returns up to n pending updates.
func (c *Contents) TakeUpdates(n int) []CachedPart {
	n = min(n, len(c.changed))
	all := make([]CachedPart, 0, n)
	for k := range c.changed {
		if len(all) == n {
			break
		}
		all = append(all, CachedPart{Part: k, Tokens: c.cachedTokens[k]})
		delete(c.changed, k)
	}
	return all
}

// NextRefresh returns up to n of the cached parts. Consecutive calls iterate over all parts
// and then start again.
func (c *Contents) NextRefresh(n int) []CachedPart {
	if len(c.refreshQueue) == 0 {
		for k := range c.cachedTokens {
			c.refreshQueue = append(c.refreshQueue, k)
		}
	}
	var all []CachedPart
	for len(all) < n && len(c.refreshQueue) > 0 {
		k := c.refreshQueue[len(c.refreshQueue)-1]
		c.refreshQueue = c.refreshQueue[:len(c.refreshQueue)-1]
		if tokens, ok := c.cachedTokens[k]; ok {
			all = append(all, CachedPart{Part: k, Tokens: tokens})
		}
	}
	return all
}

// List returns up to n of the cached parts.
func (c *Contents) List(n int) []CachedPart {
	all := make([]CachedPart, 0, min(n, len(c.cachedTokens)))
	for k, tokens := range c.cachedTokens {
		if len(all) == n {
			break
		}
		all = append(all, CachedPart{Part: k, Tokens: tokens})
	}
	return all
}
