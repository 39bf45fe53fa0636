// Package parts remembers which targets hold which shared parts of prompts.
//
// What it says is a belief: targets evict parts without a word that reaches
// this process in time. A wrong one costs the time to read a part again, never a
// wrong answer, because parts are named together with all that decides whether
// they may be used.
package parts

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/wire"
)

// Key names a part together with all parts before it and its cache scope. It is
// short, since processes tell each other of parts all the time; two parts that
// share one are taken for each other, which costs a fetch that brings nothing.
type Key uint32

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
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(scope)
	for _, p := range prompt[:len(prompt)-1] {
		_, _ = d.WriteString("\x00" + p.ID)
		keys = append(keys, Key(d.Sum64()))
	}
	return keys
}

// State is what is believed of a part at a target.
type State uint8

// The states.
const (
	Absent State = iota
	// Coming parts are being read.
	Coming
	// Held parts were read to their end.
	Held
)

const (
	// comingFor is how long a part counts as being read; a request that takes
	// longer has failed or waits behind others.
	comingFor = 2 * time.Second
	// heldFor is how long after its last use a part is believed to be held.
	// Engines of the deployments known evict parts that were not used for some
	// seconds.
	heldFor = 8 * time.Second
	// maxKeys bounds the memory, some 100 bytes each; what was not noted for the
	// longest time is dropped first.
	maxKeys = 40_000
)

// Fact is one belief, as processes tell it to each other.
type Fact struct {
	Part   Key
	Target fleet.ID
	Done   bool
}

type belief struct {
	target fleet.ID
	state  State
	at     time.Time
}

// Book holds the beliefs. It is safe for concurrent use.
//
// Keys live in two generations. A key that is noted moves to the young one; when
// that is full it becomes the old one, and what was left in the old one is
// dropped, without a walk over all keys.
type Book struct {
	mu         sync.Mutex
	young, old map[Key][]belief
	fresh      []Fact
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{young: map[Key][]belief{}, old: map[Key][]belief{}} }

// get returns what is believed of a key. The caller holds mu.
func (b *Book) get(k Key) []belief {
	if list, ok := b.young[k]; ok {
		return list
	}
	return b.old[k]
}

// put keeps what is believed of a key. The caller holds mu.
func (b *Book) put(k Key, list []belief) {
	if len(b.young) >= maxKeys/2 {
		b.old, b.young = b.young, map[Key][]belief{}
	}
	b.young[k] = list
}

// Note takes in what this process learned: a target reads parts, or has read
// them. It is told to other processes.
//
// It reports whether others should hear of it.
func (b *Book) Note(target fleet.ID, keys []Key, done bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := len(b.fresh)
	for _, k := range keys {
		if b.note(Fact{Part: k, Target: target, Done: done}, now) {
			b.fresh = append(b.fresh, Fact{Part: k, Target: target, Done: done})
		}
	}
	return len(b.fresh) > before
}

// Told takes in what another process learned.
func (b *Book) Told(f Fact, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(f, now)
}

// note reports whether it changed what others should know.
func (b *Book) note(f Fact, now time.Time) bool {
	state := Coming
	if f.Done {
		state = Held
	}
	list := b.get(f.Part)
	for i := range list {
		if list[i].target != f.Target {
			continue
		}
		was := list[i]
		if was.current(now) == Held && state == Coming {
			state = Held
		}
		list[i].state, list[i].at = state, now
		b.put(f.Part, list)
		return was.current(now) != state || now.Sub(was.at) > heldFor/4
	}
	b.put(f.Part, append(believed(list, now), belief{target: f.Target, state: state, at: now}))
	return true
}

// believed drops what is believed no more.
func believed(list []belief, now time.Time) []belief {
	return slices.DeleteFunc(list, func(one belief) bool { return one.current(now) == Absent })
}

func (b belief) current(now time.Time) State {
	age := now.Sub(b.at)
	if b.state == Coming && age > comingFor || age > heldFor {
		return Absent
	}
	return b.state
}

// TakeFresh returns up to n facts that others were not told yet.
func (b *Book) TakeFresh(n int) []Fact {
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

// Forget drops what is believed of a target, which was emptied.
func (b *Book) Forget(target fleet.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, generation := range []map[Key][]belief{b.young, b.old} {
		for k, list := range generation {
			generation[k] = slices.DeleteFunc(list, func(one belief) bool { return one.target == target })
		}
	}
}

// At returns the state of a part at a target, and when it was used there last.
func (b *Book) At(k Key, target fleet.ID, now time.Time) (State, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range b.get(k) {
		if one.target == target {
			return one.current(now), one.at
		}
	}
	return Absent, time.Time{}
}

// Holders calls visit with each target that holds or reads a part.
func (b *Book) Holders(k Key, now time.Time, visit func(target fleet.ID, s State, at time.Time)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, one := range b.get(k) {
		if s := one.current(now); s != Absent {
			visit(one.target, s, one.at)
		}
	}
}
