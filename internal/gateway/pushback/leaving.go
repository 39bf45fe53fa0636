package pushback

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// leavingTTL is how long a departure is remembered after the target was last in use or in the list.
// Targets end within seconds or minutes.
const leavingTTL = 10 * time.Minute

// leaving is a target's statement that it leaves. It is final: a target that stays on is another
// incarnation.
type leaving struct {
	stated bool
	// seenAt is when it was last stated, or when the target was last listed after that.
	seenAt time.Time
}

func (l *leaving) expired(now time.Time) bool { return !l.stated || now.Sub(l.seenAt) > leavingTTL }

// stateLeaving records that a target leaves.
func (r *Registry) stateLeaving(id fleet.ID, t *target, origin Origin, now time.Time) {
	first := !t.leaving.stated
	t.leaving = leaving{stated: true, seenAt: now}
	if first {
		t.announcements.restart()
		r.observer.LeavingStated(id, t.incarnation, origin)
	}
}

// StateLeaving records that a target leaves, as stated other than in a response to a request. The
// incarnation is zero if it is not known.
func (r *Registry) StateLeaving(id fleet.ID, incarnation fleet.Incarnation, origin Origin, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.recordOf(id, now)
	if t == nil {
		return
	}
	if incarnation.Instance != "" {
		t.incarnation = incarnation
	}
	if origin.Peer != "" && t.leaving.stated {
		return // what peers repeat does not prolong it
	}
	r.stateLeaving(id, t, origin, now)
}

// KeepListed prolongs the memory of departures of targets that are still listed.
func (r *Registry) KeepListed(listed func(id fleet.ID) bool, now time.Time) {
	if r.size.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, t := range r.targets {
		if t.leaving.stated && listed(id) {
			t.leaving.seenAt = now
		}
	}
}

// Leaving returns the targets that have stated that they leave; nil if there are none.
func (r *Registry) Leaving(now time.Time) map[fleet.ID]bool {
	return collect(r, func(t *target) (bool, bool) { return true, !t.leaving.expired(now) })
}
