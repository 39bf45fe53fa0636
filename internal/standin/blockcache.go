package standin

import "container/list"

// BlockCache is an engine's cache of prompt blocks: bounded, least recently
// used first out. It is used by one goroutine at a time.
type BlockCache struct {
	capacity int
	order    *list.List
	entries  map[uint64]*list.Element
}

// NewBlockCache returns an empty cache of a number of blocks.
func NewBlockCache(capacity int) *BlockCache {
	return &BlockCache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// Match returns how many leading blocks are cached.
func (c *BlockCache) Match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.entries[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Use marks blocks as used, storing those that are missing. It returns the
// blocks stored and those evicted for them. Leading blocks stay longest, since
// a block without those before it is of no use.
func (c *BlockCache) Use(blocks []uint64) (stored, removed []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if place, ok := c.entries[b]; ok {
			c.order.MoveToFront(place)
			continue
		}
		c.entries[b] = c.order.PushFront(b)
		stored = append(stored, b)
	}
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		b := c.order.Remove(last).(uint64)
		delete(c.entries, b)
		removed = append(removed, b)
	}
	return stored, removed
}

// Clear empties the cache.
func (c *BlockCache) Clear() {
	c.order.Init()
	clear(c.entries)
}

// Len is the number of blocks held.
func (c *BlockCache) Len() int { return c.order.Len() }
