package quarantine

import "time"

const (
	// probationAfter is how long no target must have ended before a refused request may run
	// once, and probationGrowth by how much longer each time: one that ends its target again
	// is tried ever more seldom.
	probationAfter  = 10 * time.Second
	probationGrowth = 6
	// mostProbations is how often a request may run while it is refused, over all processes,
	// until one of these runs goes well: each may cost a target.
	mostProbations = 2
)

// Probation.
//
// The failure guarded against: a request that is asked for all the time is under way whenever
// a target crashes by itself, and its record is that of the cause. Refused for a day it is
// never served again, long after the targets have been mended. Once nothing has ended for a
// while, one run of it shows which it was: a run that goes well lets it back, alone at first,
// and the next end refuses it again at once.

// onProbation reports whether a refused request may run once now, as its only run.
func (b *Registry) onProbation(r *Record, now time.Time) bool {
	at, ok := b.probationAt(r)
	if !ok {
		return false
	}
	if b.limits.ProbationDelay != nil {
		at = at.Add(b.limits.ProbationDelay(r.Fingerprint))
	}
	return !now.Before(at)
}

// probationAt is from when on a refused request may run once; false for never.
func (b *Registry) probationAt(r *Record) (time.Time, bool) {
	if r.Probations-r.PardonedProbations >= mostProbations || len(r.Crashes) >= maxEnds {
		return time.Time{}, false
	}
	wait := probationAfter
	for range r.Probations {
		wait *= probationGrowth
	}
	calm := r.ChangedAt()
	if b.endedAt.After(calm) {
		calm = b.endedAt
	}
	return calm.Add(min(wait, b.limits.RefuseFor)), true
}

// heldUntil is when a refused request may run again.
func (b *Registry) heldUntil(r *Record) time.Time {
	until := r.ChangedAt().Add(b.limits.RefuseFor)
	if at, ok := b.probationAt(r); ok && at.Before(until) {
		return at
	}
	return until
}

// pardon takes in that a run of a refused request went well, and reports whether it was on
// probation: other runs had begun before it was refused.
func (b *Registry) pardon(r *Record) bool {
	if r.Probations <= r.PardonedProbations || r.ProbationRun.Target == 0 {
		return false
	}
	r.PardonedProbations, r.ForgivenCrashes = r.Probations, len(r.Crashes)
	b.touch(r.Fingerprint, true)
	return true
}

// noteEnd takes in when a target ended.
func (b *Registry) noteEnd(at time.Time) {
	if at.After(b.endedAt) {
		b.endedAt = at
	}
}
