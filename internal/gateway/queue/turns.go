package queue

import (
	"math"
	"time"
)

const (
	// maxAttempts is the most failed attempts per event. Requests of different sizes wait together;
	// where the first does not fit, a few attempts find one that does.
	maxAttempts = 4
	// probeInterval is the least time between a failed attempt and the next one where each attempt
	// probes sidecars. Probes take CPU time of small hosts at both ends.
	probeInterval = 25 * time.Millisecond
	// minWalkInterval is the least time between two walks that changes at other processes cause.
	// Entries batch their announcements for longer than that.
	minWalkInterval = 20 * time.Millisecond
	// minFailedInterval is the least time between a walk with a failed attempt and the next one. An
	// attempt rates all engines of the service; at each of some hundred events a second, failed ones
	// would take half of the CPU time of the smallest hosts.
	minFailedInterval = 10 * time.Millisecond
	// maxWalkInterval is the longest time between two walks while requests wait. It covers changes
	// that no event announces, such as the end of an ejection, and events that are lost.
	maxWalkInterval = 100 * time.Millisecond
	// attemptTimeout is how long an attempt keeps others from theirs. Probes of sidecars that don't
	// respond take less.
	attemptTimeout = 250 * time.Millisecond
)

// turns gives the requests of a service their turns, one after the other. An event starts a walk
// through the order, which ends after maxAttempts failures or when no request is worth an attempt.
//
// Each walk begins with the first in order. After a failure it goes on where the last one ended, so that
// a few requests that no target takes don't keep all others from their turns. Walks of one round attempt
// each request once.
type turns struct {
	walk, round uint64
	failed      int
	// limit is the cost below which a request is worth an attempt in this walk.
	limit float64
	// holder has the turn since grantedAt. again is set if an event happened meanwhile; the walk then
	// starts again, except where attempts probe sidecars.
	holder    *entry
	grantedAt time.Time
	again     bool
	walkedAt  time.Time
	// failedAt is when the last attempt failed, probed whether attempts probe sidecars.
	failedAt time.Time
	probed   bool
	// due is when the next walk is due; zero if none waits.
	due time.Time
}

// wake starts a walk after an event, unless an attempt is in progress.
func (l *line) wake(now time.Time) []uint64 {
	t := &l.turns
	if l.waiting == 0 {
		t.due = time.Time{}
		return nil
	}
	if t.holder != nil && within(now, t.grantedAt, attemptTimeout) {
		t.again = true
		t.due = t.grantedAt.Add(attemptTimeout)
		return nil
	}
	t.holder = nil
	if after := t.walkedAt.Add(minFailedInterval); !t.probed && t.failed > 0 && within(now, t.walkedAt, minFailedInterval) {
		t.due = minTime(t.due, after)
		return nil
	}
	if t.probed {
		if ids := l.grant(now); ids != nil || l.mustRest(now) {
			return ids
		}
	}
	return l.begin(now)
}

// begin starts a walk with the first in order.
func (l *line) begin(now time.Time) []uint64 {
	t := &l.turns
	t.walk++
	t.failed, t.limit, t.again, t.walkedAt = 0, math.Inf(1), false, now
	t.due = now.Add(maxWalkInterval)
	return l.grant(now)
}

// grant gives the next request of the walk its turn.
func (l *line) grant(now time.Time) []uint64 {
	t := &l.turns
	if t.holder != nil || t.failed >= maxAttempts || l.waiting == 0 || l.mustRest(now) {
		return nil
	}
	e := l.nextBelow(now, func(e *entry) bool {
		return e.state == waiting && e.walk != t.walk && (t.failed == 0 || e.round != t.round && e.Cost < t.limit)
	})
	if e == nil {
		t.round++
		return nil
	}
	e.state, e.walk, e.round = attempting, t.walk, t.round
	t.holder, t.grantedAt = e, now
	if !t.due.After(now) {
		t.due = now.Add(maxWalkInterval)
	}
	return []uint64{e.ID}
}

// mustRest reports whether an attempt has just failed where attempts probe sidecars.
func (l *line) mustRest(now time.Time) bool {
	t := &l.turns
	if !t.probed || !within(now, t.failedAt, probeInterval) {
		return false
	}
	t.due = t.failedAt.Add(probeInterval)
	return true
}

// finish ends the turn of an entry, if it has it, and gives the next one its turn.
func (l *line) finish(e *entry, now time.Time) []uint64 {
	t := &l.turns
	if t.holder != e {
		return nil
	}
	t.holder = nil
	if t.again && !t.probed {
		t.again = false
		return l.wake(now)
	}
	return l.grant(now)
}

// fail ends the turn of an entry that no target took.
func (l *line) fail(e *entry, now time.Time) []uint64 {
	t := &l.turns
	t.failedAt = now
	if t.holder == e {
		t.failed++
		if !e.Restricted {
			t.limit = min(t.limit, e.Cost)
		}
	}
	return l.finish(e, now)
}

// schedule lets a walk start soon, because a request has begun to wait or another process has
// reported a change.
func (l *line) schedule(now, earliest time.Time) {
	t := &l.turns
	at := earliest
	if after := t.walkedAt.Add(minWalkInterval); after.After(at) && within(now, t.walkedAt, minWalkInterval) {
		at = after
	}
	if t.due.IsZero() || at.Before(t.due) || !within(t.due, now, maxWalkInterval) {
		t.due = at
	}
}

// within reports whether less than d has passed since a time that is not in the future. A time in the
// future means that the clock has jumped back.
func within(now, since time.Time, d time.Duration) bool {
	age := now.Sub(since)
	return age >= 0 && age < d
}
