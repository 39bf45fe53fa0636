package prefix

import "github.com/toucanwell/toucanwell/internal/platform"

// Index holds the names of the blocks that one incarnation of an engine has,
// as told by its events and foretold by admitted work.
//
// It guards against three failures. An engine that crashed comes back empty
// under a new incarnation: the index is emptied with it, and events of the
// earlier life are refused by their incarnation. An event stream that lost
// entries shows a gap in its numbers: the index is emptied, because a lost
// removal would leave a block believed in. A stale belief that slips through
// costs time only, since the engine looks up its own cache.
//
// An Index is used by one goroutine at a time.
type Index struct {
	maxBlocks   int
	incarnation string
	nextSeq     uint64
	stored      map[uint64]struct{}
	expected    map[uint64]int
	gaps        uint64
}

// NewIndex returns an empty index that holds at most maxBlocks.
func NewIndex(maxBlocks int) *Index {
	return &Index{
		maxBlocks: maxBlocks,
		stored:    make(map[uint64]struct{}),
		expected:  make(map[uint64]int),
	}
}

// NextSeq is the number of the first event not seen yet.
func (x *Index) NextSeq() uint64 { return x.nextSeq }

// Incarnation of the engine that the index speaks of.
func (x *Index) Incarnation() string { return x.incarnation }

// Len is the number of blocks held.
func (x *Index) Len() int { return len(x.stored) }

// Gaps counts losses in the event stream since the start.
func (x *Index) Gaps() uint64 { return x.gaps }

// Reset empties the index for an incarnation.
func (x *Index) Reset(incarnation string, nextSeq uint64) {
	x.incarnation = incarnation
	x.nextSeq = nextSeq
	clear(x.stored)
	clear(x.expected)
}

// Apply takes a page of events. Pages may come late, twice or with gaps.
func (x *Index) Apply(page *platform.EventPage) {
	if page.Incarnation != x.incarnation {
		x.Reset(page.Incarnation, page.First)
	}
	for _, event := range page.Events {
		x.applyEvent(event)
	}
}

func (x *Index) applyEvent(event platform.CacheEvent) {
	if event.Seq < x.nextSeq {
		return
	}
	if event.Seq > x.nextSeq {
		x.gaps++
		clear(x.stored)
	}
	x.nextSeq = event.Seq + 1
	switch event.Kind {
	case platform.EventStored:
		x.store(event.Blocks)
	case platform.EventRemoved:
		for _, b := range event.Blocks {
			delete(x.stored, b)
		}
	case platform.EventCleared:
		clear(x.stored)
	}
}

// store takes blocks up to the bound. A block over the bound is left out: the
// index then believes too little, which costs time only.
func (x *Index) store(blocks []uint64) {
	for _, b := range blocks {
		if len(x.stored) >= x.maxBlocks {
			return
		}
		x.stored[b] = struct{}{}
	}
}

// Expect counts the blocks of admitted work as held, so that a second request
// for a prefix that is being computed is not sent elsewhere.
func (x *Index) Expect(blocks []uint64) {
	for _, b := range blocks {
		x.expected[b]++
	}
}

// Forget takes back what Expect counted, when the work has ended.
func (x *Index) Forget(blocks []uint64) {
	for _, b := range blocks {
		if x.expected[b] <= 1 {
			delete(x.expected, b)
			continue
		}
		x.expected[b]--
	}
}

// Match returns how many leading blocks the engine holds or will hold.
func (x *Index) Match(blocks []uint64) int {
	for i, b := range blocks {
		_, held := x.stored[b]
		if !held && x.expected[b] == 0 {
			return i
		}
	}
	return len(blocks)
}
