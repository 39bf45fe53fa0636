package prefix

import (
	"container/list"

	"github.com/toucanwell/toucanwell/internal/external"
)

// Index is the set of blocks that are believed to be in the KV cache of one incarnation of an
// engine.
//
// All requests to an engine pass its sidecar, so the index can mirror the cache: it adds a
// prompt's blocks when its first token arrives and evicts the least recently used blocks beyond
// the engine's capacity. Cache events, which may be late or lost, correct it.
//
// An engine that restarts has an empty cache and a new incarnation: events of another
// incarnation clear the index, and AddCached ignores other incarnations. Wrong entries due to
// lost events only cost time, since the engine consults its own cache.
//
// An Index is not safe for concurrent use.
type Index struct {
	maxBlocks   int
	incarnation string
	nextSeq     uint64
	lru         *list.List
	elements    map[uint32]*list.Element
	inProgress  map[uint32]int
	gaps        uint64
}

// NewIndex returns an empty index for an engine with a capacity of maxBlocks blocks.
func NewIndex(maxBlocks int) *Index {
	return &Index{
		maxBlocks:  maxBlocks,
		lru:        list.New(),
		elements:   make(map[uint32]*list.Element),
		inProgress: make(map[uint32]int),
	}
}

// NextSeq returns the sequence number of the next expected event.
func (x *Index) NextSeq() uint64 { return x.nextSeq }

// Len returns the number of cached blocks.
func (x *Index) Len() int { return x.lru.Len() }

// Gaps returns the number of gaps seen in the event stream.
func (x *Index) Gaps() uint64 { return x.gaps }

// Apply applies a page of events. Pages may be late, repeated or have gaps.
func (x *Index) Apply(page *external.EventPage) {
	if page.Incarnation != x.incarnation {
		x.incarnation = page.Incarnation
		x.nextSeq = page.First
		x.clear()
	}
	x.nextSeq = max(x.nextSeq, page.First)
	for _, event := range page.Events {
		x.applyEvent(event)
	}
}

func (x *Index) clear() {
	x.lru.Init()
	clear(x.elements)
	clear(x.inProgress)
}

func (x *Index) applyEvent(event external.CacheEvent) {
	if event.Seq < x.nextSeq {
		return
	}
	if event.Seq > x.nextSeq {
		x.gaps++
	}
	x.nextSeq = event.Seq + 1
	switch event.Kind {
	case external.EventStored:
		x.addMissing(event.Blocks)
	case external.EventRemoved:
		x.remove(event.Blocks)
	case external.EventCleared:
		x.clear()
	}
}

// addMissing adds the blocks of a stored event. Blocks that are already present keep their
// position, because events are late.
func (x *Index) addMissing(blocks []uint64) {
	for _, block := range blocks {
		b := ShortHash(block)
		if _, found := x.elements[b]; !found {
			x.elements[b] = x.lru.PushFront(b)
		}
	}
	x.evict()
}

func (x *Index) remove(blocks []uint64) {
	for _, block := range blocks {
		if element, found := x.elements[ShortHash(block)]; found {
			x.lru.Remove(element)
			delete(x.elements, ShortHash(block))
		}
	}
}

func (x *Index) evict() {
	for x.lru.Len() > x.maxBlocks {
		last := x.lru.Back()
		delete(x.elements, x.lru.Remove(last).(uint32))
	}
}

// AddCached records that an incarnation of the engine has computed a prompt and now caches all
// its blocks. Leading blocks become the most recently used, as in the engine. It ignores other
// incarnations than the current one.
func (x *Index) AddCached(incarnation string, blocks []uint64) {
	if x.incarnation == "" {
		x.incarnation = incarnation
	}
	if incarnation != x.incarnation {
		return
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := ShortHash(blocks[i])
		if element, found := x.elements[b]; found {
			x.lru.MoveToFront(element)
			continue
		}
		x.elements[b] = x.lru.PushFront(b)
	}
	x.evict()
}

// AddInProgress counts the blocks of admitted requests as cached, so that further requests with
// the prefix are not sent elsewhere while it is computed.
func (x *Index) AddInProgress(blocks []uint64) {
	for _, block := range blocks {
		x.inProgress[ShortHash(block)]++
	}
}

// RemoveInProgress reverts AddInProgress when the request has ended.
func (x *Index) RemoveInProgress(blocks []uint64) {
	for _, block := range blocks {
		b := ShortHash(block)
		if x.inProgress[b] <= 1 {
			delete(x.inProgress, b)
			continue
		}
		x.inProgress[b]--
	}
}

// Match returns how many leading blocks are cached or in progress.
func (x *Index) Match(blocks []uint64) int {
	for i, b := range blocks {
		if !x.has(ShortHash(b)) {
			return i
		}
	}
	return len(blocks)
}

// MatchPoints returns how many tokens of a prefix are cached or in progress. Blocks are evicted
// after those that follow them, so the last matching point implies all earlier ones.
func (x *Index) MatchPoints(points []Point) int {
	for i := len(points) - 1; i >= 0; i-- {
		if x.has(points[i].Block) {
			return points[i].Tokens
		}
	}
	return 0
}

func (x *Index) has(block uint32) bool {
	_, found := x.elements[block]
	return found || x.inProgress[block] > 0
}
