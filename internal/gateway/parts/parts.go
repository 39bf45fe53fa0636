// Package parts remembers which targets hold which shared parts of prompts.
//
// What it says is a belief, from two kinds of word. Processes note what they send:
// that is known at once, and nobody tells when a target drops the part again. Targets
// tell of their caches, through their sidecars: that comes a tenth of a second later,
// and is sure until it is told otherwise. A wrong belief costs the time to read a part
// again, never a wrong answer, because parts are named together with all that decides
// whether they may be used.
package parts

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Key names a part within its cache scope, as targets do. A part is of use only where
// all parts before it are held too; who asks looks at them in their order. It is short,
// since processes tell each other of parts all the time; two parts that share one are
// taken for each other, which costs a fetch that brings nothing.
type Key uint32

// KeyOf returns the key of a part in a cache scope.
func KeyOf(scope, part string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(scope)
	_, _ = d.WriteString("\x00" + part)
	return Key(d.Sum64())
}

// Scope returns the cache scope of a prompt: parts are shared within it only.
// It names the model, its weights, and the workspace where that is isolated.
// The failure guarded against is an answer made from parts of other weights or
// of another workspace; the length before each name keeps two scopes apart that
// read alike when joined.
func Scope(model string, weights int64, isolated string) string {
	return strconv.Itoa(len(model)) + "." + model + "." + strconv.FormatInt(weights, 10) + "." + isolated
}

// Keys returns the keys of the prompt's shared parts: all but the last.
func Keys(scope string, prompt []wire.Part) []Key {
	if len(prompt) < 2 {
		return nil
	}
	keys := make([]Key, 0, len(prompt)-1)
	for _, p := range prompt[:len(prompt)-1] {
		keys = append(keys, KeyOf(scope, p.ID))
	}
	return keys
}

// State is what is believed of a part at a target.
type State uint8

// The states.
const (
	Absent State = iota
	// Coming parts are being read.
	InProgress
	// Held parts were read to their end.
	Cached
)

const (
	// comingFor is how long a part counts as being read; a request that takes
	// longer has failed or waits behind others.
	comingFor = 2 * time.Second
	// heldFor is how long after its last use a part is believed to be held.
	// Engines of the deployments known evict parts that were not used for some
	// seconds.
	heldFor = 8 * time.Second
	// sureFor is how long the word of a target on its own cache counts. Sidecars say
	// all of it anew in half of that time, so that what was lost on the way is made up
	// for.
	sureFor = 10 * time.Second
	// settleTime is how old the word of a target may be when it arrives: some 80 ms until
	// it tells of a change, and as long again until the processes have heard of it.
	settleTime = 300 * time.Millisecond
	// maxKeys bounds the memory, some 100 bytes each; what was not noted for the
	// longest time is dropped first.
	maxKeys = 40_000
)

// Fact is one belief, as processes tell it to each other.
type Update struct {
	Part   Key
	Target fleet.ID
	Done   bool
}

// Whole is the number of tokens of a part that is held to its end, for one whose length
// is not known.
const AllTokens = math.MaxInt32

type belief struct {
	target fleet.ID
	// state and at are what was noted of sends last, and when.
	state State
	at    time.Time
	// tokens of the part are held, by the target's own word of toldAt; none before
	// there is any.
	tokens int
	toldAt time.Time
}

// Book holds the beliefs. It is safe for concurrent use.
//
// Keys live in two generations. A key that is noted moves to the young one; when
// that is full it becomes the old one, and what was left in the old one is
// dropped, without a walk over all keys.
type Index struct {
	mu         sync.Mutex
	young, old map[Key][]belief
	fresh      []Update
	// told is when each target's own word came last.
	told map[fleet.ID]time.Time
}

// NewBook returns an empty book.
func NewIndex() *Index {
	return &Index{young: map[Key][]belief{}, old: map[Key][]belief{}, told: map[fleet.ID]time.Time{}}
}

// get returns what is believed of a key. The caller holds mu.
func (b *Index) get(k Key) []belief {
	if list, ok := b.young[k]; ok {
		return list
	}
	return b.old[k]
}

// put keeps what is believed of a key. The caller holds mu.
func (b *Index) put(k Key, list []belief) {
	if len(b.young) >= maxKeys/2 {
		b.old, b.young = b.young, map[Key][]belief{}
	}
	b.young[k] = list
}

// Note takes in what this process learned: a target reads parts, or has read
// them. It is told to other processes.
//
// It reports whether others should hear of it.
func (b *Index) Record(target fleet.ID, keys []Key, done bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.fresh)
	for _, k := range keys {
		if b.note(Update{Part: k, Target: target, Done: done}, now) {
			b.fresh = append(b.fresh, Update{Part: k, Target: target, Done: done})
		}
	}
	return len(b.fresh) > before
}

// Told takes in what another process learned.
func (b *Index) Apply(f Update, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(f, now)
}

// note reports whether it changed what others should know.
func (b *Index) note(f Update, now time.Time) bool {
	state := InProgress
	if f.Done {
		state = Cached
	}
	list := b.get(f.Part)
	for i := range list {
		if list[i].target != f.Target {
			continue
		}
		was := list[i]
		if was.state == Cached && now.Sub(was.at) <= heldFor {
			state = Cached
		}
		list[i].state, list[i].at = state, now
		b.put(f.Part, list)
		return was.current(now) != state || now.Sub(was.at) > heldFor/4
	}
	b.put(f.Part, append(believed(list, now), belief{target: f.Target, state: state, at: now}))
	return true
}

// Learn takes in a target's own word: so many tokens of a part are in its cache now.
// What was noted of sends before is overruled, but for a part that is being read.
func (b *Index) RecordReport(target fleet.ID, k Key, tokens int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteWord(target, now)
	list := b.get(k)
	i := slices.IndexFunc(list, func(one belief) bool { return one.target == target })
	switch {
	case i < 0 && tokens > 0:
		b.put(k, append(believed(list, now), belief{target: target, tokens: tokens, toldAt: now}))
	case i >= 0:
		list[i].learn(tokens, now)
		b.put(k, believed(list, now))
	}
}

// noteWord notes that a target's own word came, and forgets those that are silent.
func (b *Index) noteWord(target fleet.ID, now time.Time) {
	if _, known := b.told[target]; !known {
		maps.DeleteFunc(b.told, func(_ fleet.ID, at time.Time) bool { return now.Sub(at) > sureFor })
	}
	b.told[target] = now
}

// Known reports whether a target has told of its cache lately: what it has not named
// it does not hold.
func (b *Index) ReportedRecently(target fleet.ID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.told[target]
	return ok && now.Sub(at) <= sureFor
}

// learn overrules what was noted of sends, unless that is newer than the word can be.
//
// The failure guarded against: an engine says block by block that it reads a part, a
// tenth of a second late. The part's first user has had its answer by then. Were the
// old word taken, the next prompts would find the part held in part, and read the rest
// again elsewhere.
func (b *belief) learn(tokens int, now time.Time) {
	settled := b.state == Cached && now.Sub(b.at) > settleTime
	if settled {
		b.state = Absent
	}
	b.tokens, b.toldAt = tokens, now
}

// believed drops what is believed no more.
func believed(list []belief, now time.Time) []belief {
	return slices.DeleteFunc(list, func(one belief) bool { return one.current(now) == Absent })
}

// sure reports whether the target's own word counts.
func (b *belief) sure(now time.Time) bool { return b.tokens > 0 && now.Sub(b.toldAt) <= sureFor }

func (b *belief) coming(now time.Time) bool {
	return b.state == InProgress && now.Sub(b.at) <= comingFor
}

// current is the state of the part, whether it is held in full or in part.
func (b *belief) current(now time.Time) State {
	switch {
	case b.coming(now):
		return InProgress
	case b.sure(now), b.state == Cached && now.Sub(b.at) <= heldFor:
		return Cached
	default:
		return Absent
	}
}

// whole is the state of a part of so many tokens. One of which a cache has dropped some
// blocks is not held: prompts would neither wait for who reads it, nor save it again.
func (b *belief) whole(tokens int, now time.Time) State {
	switch {
	case b.held(heldFor, now) > max(tokens-blockTokens, 0):
		return Cached
	case b.coming(now):
		return InProgress
	default:
		return Absent
	}
}

// held is how many tokens of the part are believed to be held. What was noted of a
// send counts for the time kept, in which a cache drops what is not used.
func (b *belief) held(kept time.Duration, now time.Time) int {
	switch {
	case b.state == Cached && now.Sub(b.at) <= min(kept, heldFor):
		return AllTokens
	case b.sure(now):
		return b.tokens
	default:
		return 0
	}
}

// TakeFresh returns up to n facts that others were not told yet.
func (b *Index) TakeUpdates(n int) []Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, len(b.fresh))
	facts := b.fresh[:n:n]
	b.fresh = b.fresh[n:]
	if len(b.fresh) == 0 {
		b.fresh = nil
	}
	return facts
}

// DropFresh forgets which facts others were not told: in a large fleet they are not.
func (b *Index) DropUpdates() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fresh = nil
}

// Forget drops what is believed of a target, which was emptied.
func (b *Index) Forget(target fleet.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, generation := range []map[Key][]belief{b.young, b.old} {
		for k, list := range generation {
			generation[k] = slices.DeleteFunc(list, func(one belief) bool { return one.target == target })
		}
	}
}

// At returns the state of a part of so many tokens at a target.
func (b *Index) StateAt(k Key, tokens int, target fleet.ID, now time.Time) State {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.get(k)
	for i := range list {
		if list[i].target == target {
			return list[i].whole(tokens, now)
		}
	}
	return Absent
}

// Holders calls visit with each target that holds or reads a part of so many tokens.
func (b *Index) VisitLocations(k Key, tokens int, now time.Time, visit func(target fleet.ID, s State)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.get(k)
	for i := range list {
		if s := list[i].whole(tokens, now); s != Absent {
			visit(list[i].target, s)
		}
	}
}
