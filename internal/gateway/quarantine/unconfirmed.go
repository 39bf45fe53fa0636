package quarantine

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

const (
	// unconfirmedTimeout is how long an unconfirmed crash restricts its request. Repeated probes
	// and the target's sidecar tell a crash from a broken connection in less. It is short because
	// networks that reset connections must not keep other requests waiting.
	unconfirmedTimeout = time.Second
	// maxUnconfirmed bounds the unconfirmed crashes of a record.
	maxUnconfirmed = 8
)

// UnconfirmedCrash is a run that its target broke off, without evidence so far that the target
// has crashed. Until that is known, the request may run only as if it had: otherwise it could
// crash further targets before the evidence arrives.
type UnconfirmedCrash struct {
	// Target, Step and At are as in [Crash].
	Target fleet.ID
	Step   int
	At     time.Time
	// Dismissed is set once the target was found alive.
	Dismissed bool
}

// pending reports whether it is still unknown whether the target has crashed.
func (u *UnconfirmedCrash) pending(now time.Time) bool {
	return !u.Dismissed && now.Sub(u.At) <= unconfirmedTimeout
}

// addUnconfirmed adds an unconfirmed crash, unless the crash is attributed already. For a known
// incarnation it keeps the earlier time; a dismissal is final.
func (r *Record) addUnconfirmed(u UnconfirmedCrash) change {
	if r.hasCrash(u.Target) {
		return unchanged
	}
	i := slices.IndexFunc(r.Unconfirmed, func(other UnconfirmedCrash) bool { return other.Target == u.Target })
	if i < 0 {
		r.resetServed(u.Target, u.At)
		if len(r.Unconfirmed) >= maxUnconfirmed {
			r.Unconfirmed = slices.Delete(r.Unconfirmed, 0, 1)
		}
		r.Unconfirmed = append(r.Unconfirmed, u)
		return majorChange
	}
	known := &r.Unconfirmed[i]
	if u.At.Before(known.At) {
		known.At = u.At
	}
	if u.Dismissed && !known.Dismissed {
		known.Dismissed = true
		return majorChange
	}
	return unchanged
}

// resetServed starts to count successful runs if a crash, confirmed or not, is the record's first: the
// targets of all earlier ones were found alive.
func (r *Record) resetServed(target fleet.ID, at time.Time) {
	known := slices.ContainsFunc(r.Unconfirmed, func(u UnconfirmedCrash) bool { return u.Target == target })
	if len(r.Crashes) == 0 && !known && r.pendingCrashes(at) == 0 {
		r.Served = 0
	}
}

// removeUnconfirmed removes the unconfirmed crash of an incarnation.
func (r *Record) removeUnconfirmed(target fleet.ID) {
	r.Unconfirmed = slices.DeleteFunc(r.Unconfirmed, func(u UnconfirmedCrash) bool { return u.Target == target })
}

// pendingCrashes counts the unconfirmed crashes that are neither dismissed nor too old.
func (r *Record) pendingCrashes(now time.Time) int {
	n := 0
	for i := range r.Unconfirmed {
		if r.Unconfirmed[i].pending(now) {
			n++
		}
	}
	return n
}

// nextStep returns the step of the request's next run.
func (r *Record) nextStep(isExplained func(fleet.ID) bool, now time.Time) int {
	steps := r.unexplainedStepNumbers(isExplained)
	for i := range r.Unconfirmed {
		if u := &r.Unconfirmed[i]; u.pending(now) && !slices.Contains(steps, u.Step) {
			steps = append(steps, u.Step)
		}
	}
	return len(steps)
}

// SuspectCrash records that a target broke off a request and may have crashed.
func (q *Registry) SuspectCrash(fp Fingerprint, caller Caller, u UnconfirmedCrash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(u.At)
	r := q.recordOf(fp)
	r.fillCaller(caller.Workspace, caller.Route)
	if r.addUnconfirmed(u) == unchanged {
		return
	}
	q.observer.CrashSuspected(r, u)
	q.announceUnconfirmed(r, u.At)
	q.evict()
}

// DismissCrash records that a target which broke off a request is alive.
func (q *Registry) DismissCrash(fp Fingerprint, target fleet.ID, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[fp]
	if r == nil {
		return
	}
	i := slices.IndexFunc(r.Unconfirmed, func(u UnconfirmedCrash) bool { return u.Target == target && !u.Dismissed })
	if i < 0 {
		return
	}
	q.announceUnconfirmed(r, now)
	r.Unconfirmed[i].Dismissed = true
	q.observer.CrashDismissed(r, r.Unconfirmed[i])
}

// announceUnconfirmed announces a record whose unconfirmed crashes restrict the request. A single
// connection that broke does not, and is not announced: a network failure breaks many.
func (q *Registry) announceUnconfirmed(r *Record, now time.Time) {
	if len(r.Crashes)+r.pendingCrashes(now) > 1 {
		q.queueUpdate(r.Fingerprint)
	}
}
