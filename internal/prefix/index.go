package prefix

import (
	"container/list"

	"github.com/toucanwell/toucanwell/internal/external"
)

// Index holds the short names of the blocks that one incarnation of an engine is
// believed to have.
//
// All work of an engine passes its sidecar, so that the index mirrors the
// engine's cache: a prompt whose first token is there is stored, least recently
// used blocks leave beyond the engine's size, and the number of cached tokens
// that the engine reports with each answer corrects what was believed wrongly.
// Cache events, which come late and with gaps, correct the rest.
//
// It guards against two failures. An engine that crashed comes back empty under
// a new incarnation: the index is emptied with it, and events of the earlier
// life are refused by their incarnation. An event stream that lost entries may
// leave a block believed in that is gone, or the reverse; this costs time only,
// since the engine looks up its own cache, and the next answer about the block
// mends it.
//
// An Index is used by one goroutine at a time.
type Index struct {
	maxBlocks   int
	incarnation string
	nextSeq     uint64
	order       *list.List
	places      map[uint32]*list.Element
	expected    map[uint32]int
	gaps        uint64
}

// NewIndex returns an empty index of an engine with so many blocks.
func NewIndex(maxBlocks int) *Index {
	return &Index{
		maxBlocks: maxBlocks,
		order:     list.New(),
		places:    make(map[uint32]*list.Element),
		expected:  make(map[uint32]int),
	}
}

// NextSeq is the number of the first event not seen yet.
func (x *Index) NextSeq() uint64 { return x.nextSeq }

// Len is the number of blocks held.
func (x *Index) Len() int { return x.order.Len() }

// Gaps counts losses in the event stream since the start.
func (x *Index) Gaps() uint64 { return x.gaps }

// Apply takes a page of events. Pages may come late, twice or with gaps.
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
	x.order.Init()
	clear(x.places)
	clear(x.expected)
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
		x.storeMissing(event.Blocks)
	case external.EventRemoved:
		x.drop(event.Blocks)
	case external.EventCleared:
		x.clear()
	}
}

// storeMissing takes blocks that an event tells of. Those that are held keep
// their place: the event is older than what put them there.
func (x *Index) storeMissing(blocks []uint64) {
	for _, block := range blocks {
		b := ShortHash(block)
		if _, held := x.places[b]; !held {
			x.places[b] = x.order.PushFront(b)
		}
	}
	x.trim()
}

func (x *Index) drop(blocks []uint64) {
	for _, block := range blocks {
		if place, held := x.places[ShortHash(block)]; held {
			x.order.Remove(place)
			delete(x.places, ShortHash(block))
		}
	}
}

func (x *Index) trim() {
	for x.order.Len() > x.maxBlocks {
		last := x.order.Back()
		delete(x.places, x.order.Remove(last).(uint32))
	}
}

// Confirm takes that an incarnation of the engine has computed a prompt and so
// holds all its blocks now. Leading blocks stay longest, as in the engine. The
// word of another incarnation than the one known is passed over: it comes late
// from an earlier life, or the events will tell of a new one.
func (x *Index) AddCached(incarnation string, blocks []uint64) {
	if x.incarnation == "" {
		x.incarnation = incarnation
	}
	if incarnation != x.incarnation {
		return
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		b := ShortHash(blocks[i])
		if place, held := x.places[b]; held {
			x.order.MoveToFront(place)
			continue
		}
		x.places[b] = x.order.PushFront(b)
	}
	x.trim()
}

// Expect counts the blocks of admitted work as held, so that a second request
// for a prefix that is being computed is not sent elsewhere.
func (x *Index) AddInProgress(blocks []uint64) {
	for _, block := range blocks {
		x.expected[ShortHash(block)]++
	}
}

// Forget takes back what Expect counted, when the work has ended.
func (x *Index) RemoveInProgress(blocks []uint64) {
	for _, block := range blocks {
		b := ShortHash(block)
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
		if !x.holds(ShortHash(b)) {
			return i
		}
	}
	return len(blocks)
}

// MatchPoints returns how many tokens of a prefix the engine holds or will
// hold, as told by points of it. A block leaves after those behind it, so that
// the furthest point held stands for all before it.
func (x *Index) MatchPoints(points []Point) int {
	for i := len(points) - 1; i >= 0; i-- {
		if x.holds(points[i].Block) {
			return points[i].Tokens
		}
	}
	return 0
}

func (x *Index) holds(block uint32) bool {
	_, held := x.places[block]
	return held || x.expected[block] > 0
}
