package standin

import "container/list"

// BlockCache is an LRU cache of prompt blocks. It is not safe for concurrent use.
type BlockCache struct {
	capacity int
	order    *list.List
	entries  map[uint64]*list.Element
}

// NewBlockCache returns an empty cache with a capacity in blocks.
func NewBlockCache(capacity int) *BlockCache {
	return &BlockCache{capacity: capacity, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// Match returns the number of leading blocks that are cached.
func (c *BlockCache) Match(blocks []uint64) int {
	for i, b := range blocks {
		if _, ok := c.entries[b]; !ok {
			return i
		}
	}
	return len(blocks)
}

// Use marks blocks as used and stores the missing ones. It returns the stored and the evicted
// blocks. Leading blocks are evicted last, because a block is useless without its predecessors.
func (c *BlockCache) Use(blocks []uint64) (stored, removed []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := blocks[i]
		if element, ok := c.entries[b]; ok {
			c.order.MoveToFront(element)
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

// Len returns the number of cached blocks.
func (c *BlockCache) Len() int { return c.order.Len() }
