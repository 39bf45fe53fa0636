package tracker

import (
	"net/netip"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
)

const (
	// heldElsewhere is for how long a part that another engine read is believed to be
	// there without that cache's word: engines under load fill their caches anew in two
	// to three seconds.
	heldElsewhere = 2500 * time.Millisecond
	// savedFor is for how long a part that was saved is believed to be in its store.
	savedFor = 8 * time.Second
	// comingElsewhere is how long another engine's reading is waited for at most.
	comingElsewhere = 2 * time.Second
	// mostElsewhere bounds the memory, some 150 bytes each.
	mostElsewhere = 4096
)

// reading is one family's newest reading at another engine.
type reading struct {
	id     probe.SendID
	holder netip.AddrPort
	saved  bool
	// at is when it was sent, or when it had been read.
	at      time.Time
	wasRead bool
}

// elsewhere knows at which other engines the parts of some families were read.
//
// The load pattern that it answers: a family's first engines are busy, and a prompt goes
// to one that is drawn at random. Nobody who asks the first engines would find its parts,
// and they would be read again, although another engine or the store has them.
type elsewhere struct {
	families map[parts.Key]*reading
	byID     map[probe.SendID]parts.Key
}

func newElsewhere() *elsewhere {
	return &elsewhere{families: map[parts.Key]*reading{}, byID: map[probe.SendID]parts.Key{}}
}

func (e *elsewhere) sent(id probe.SendID, keys []parts.Key, s probe.Send, now time.Time) {
	if len(keys) == 0 {
		return
	}
	e.bound(now)
	family := keys[len(keys)-1]
	old := e.families[family]
	if old != nil && old.wasRead && now.Sub(old.at) < heldElsewhere {
		return // it was there already
	}
	if old != nil {
		delete(e.byID, old.id)
	}
	saved := s.Offloaded || old != nil && old.saved && old.wasRead && now.Sub(old.at) < savedFor
	e.families[family] = &reading{id: id, holder: s.Holder, saved: saved, at: now}
	e.byID[id] = family
}

func (e *elsewhere) progressed(id probe.SendID, p probe.Progress, now time.Time) {
	family, ok := e.byID[id]
	if !ok {
		return
	}
	one := e.families[family]
	switch {
	case p.PrefillDone:
		one.wasRead, one.at = true, now
	case p.Ended && !one.wasRead:
		e.drop(family) // it failed before it was read
	}
}

// lookUp adds what is known of a family to an answer.
func (e *elsewhere) lookUp(family parts.Key, a *probe.Response, now time.Time) {
	one := e.families[family]
	if one == nil {
		return
	}
	age := now.Sub(one.at)
	if !one.wasRead {
		a.PrefillInProgress = a.PrefillInProgress || age < comingElsewhere
		return
	}
	if age < heldElsewhere {
		a.Holder = one.holder
	}
	a.Offloaded = a.Offloaded || one.saved && age < savedFor
}

func (e *elsewhere) drop(family parts.Key) {
	delete(e.byID, e.families[family].id)
	delete(e.families, family)
}

// bound keeps the memory bounded: what is old goes, and all when that is not enough.
func (e *elsewhere) bound(now time.Time) {
	if len(e.families) < mostElsewhere {
		return
	}
	for family, one := range e.families {
		if now.Sub(one.at) > savedFor {
			e.drop(family)
		}
	}
	if len(e.families) >= mostElsewhere {
		clear(e.families)
		clear(e.byID)
	}
}
