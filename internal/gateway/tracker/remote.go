package tracker

import (
	"net/netip"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/parts"
	"github.com/toucanwell/toucanwell/internal/gateway/probe"
)

const (
	// remoteCachedTTL is how long a part counts as cached at another engine after its prefill
	// there. Engines under load replace their cache in two to three seconds.
	remoteCachedTTL = 2500 * time.Millisecond
	// offloadedTTL is how long an offloaded part counts as present in its store.
	offloadedTTL = 8 * time.Second
	// remotePrefillTTL is how long a prefill at another engine counts as in progress.
	remotePrefillTTL = 2 * time.Second
	// maxRemotePrefills bounds the memory to about 150 bytes per family.
	maxRemotePrefills = 4096
)

// remotePrefill is the latest prefill of a family at another engine.
type remotePrefill struct {
	id        probe.SendID
	engine    netip.AddrPort
	offloaded bool
	// updatedAt is when the prompt was sent or, if done, when its prefill finished.
	updatedAt time.Time
	done      bool
}

// remotePrefills tracks which other engines have computed or are computing the parts of
// families that have this engine as their first choice.
//
// Prompts go to other engines when a family's first engines are overloaded. Without this
// record an entry that probes the first engines would not learn that another engine or the
// store has the parts, and they would be computed again.
type remotePrefills struct {
	byFamily map[parts.Key]*remotePrefill
	byID     map[probe.SendID]parts.Key
}

func newRemotePrefills() *remotePrefills {
	return &remotePrefills{byFamily: map[parts.Key]*remotePrefill{}, byID: map[probe.SendID]parts.Key{}}
}

// record notes that a prompt was sent to another engine. It changes nothing while the parts
// count as cached at the engine that is already known.
func (r *remotePrefills) record(id probe.SendID, keys []parts.Key, s probe.Send, now time.Time) {
	if len(keys) == 0 {
		return
	}
	r.evict(now)
	family := keys[len(keys)-1]
	previous := r.byFamily[family]
	if previous != nil && previous.done && now.Sub(previous.updatedAt) < remoteCachedTTL {
		return
	}
	if previous != nil {
		delete(r.byID, previous.id)
	}
	offloaded := s.Offloaded || previous != nil && previous.offloaded && previous.done && now.Sub(previous.updatedAt) < offloadedTTL
	r.byFamily[family] = &remotePrefill{id: id, engine: s.Holder, offloaded: offloaded, updatedAt: now}
	r.byID[id] = family
}

// update records the progress of a prompt; it removes a prompt that failed
// before its prefill finished.
func (r *remotePrefills) update(id probe.SendID, p probe.Progress, now time.Time) {
	family, ok := r.byID[id]
	if !ok {
		return
	}
	prefill := r.byFamily[family]
	switch {
	case p.PrefillDone:
		prefill.done, prefill.updatedAt = true, now
	case p.Ended && !prefill.done:
		r.remove(family)
	}
}

// fillResponse sets the fields of a probe response that concern other engines and the store.
func (r *remotePrefills) fillResponse(family parts.Key, a *probe.Response, now time.Time) {
	prefill := r.byFamily[family]
	if prefill == nil {
		return
	}
	age := now.Sub(prefill.updatedAt)
	if !prefill.done {
		a.PrefillInProgress = a.PrefillInProgress || age < remotePrefillTTL
		return
	}
	if age < remoteCachedTTL {
		a.Holder = prefill.engine
	}
	a.Offloaded = a.Offloaded || prefill.offloaded && age < offloadedTTL
}

func (r *remotePrefills) remove(family parts.Key) {
	delete(r.byID, r.byFamily[family].id)
	delete(r.byFamily, family)
}

// evict bounds the memory: when it is full, it deletes expired families, or all if too few
// have expired.
func (r *remotePrefills) evict(now time.Time) {
	if len(r.byFamily) < maxRemotePrefills {
		return
	}
	for family, prefill := range r.byFamily {
		if now.Sub(prefill.updatedAt) > offloadedTTL {
			r.remove(family)
		}
	}
	if len(r.byFamily) >= maxRemotePrefills {
		clear(r.byFamily)
		clear(r.byID)
	}
}
