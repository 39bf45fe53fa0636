package quarantine

import "time"

const (
	// probationAfter is how long no target must have crashed before a refused request gets a
	// probation run. Each further run of the request multiplies it by probationBackoff.
	probationAfter   = 10 * time.Second
	probationBackoff = 6
	// maxProbations bounds the failed probation runs of a refused request over all processes,
	// because each may crash a target.
	maxProbations = 2
)

// probationDue reports whether a refused request may start a probation run.
//
// A popular request is in flight whenever a target crashes for another reason, and its record
// looks like that of the cause. A refused request therefore gets a single run once no target has
// crashed for a while. If the run succeeds, the request may run alone again; the next crash
// refuses it at once.
func (q *Registry) probationDue(r *Record, now time.Time) bool {
	at, ok := q.probationAt(r)
	if !ok {
		return false
	}
	if q.limits.ProbationDelay != nil {
		at = at.Add(q.limits.ProbationDelay(r.Fingerprint))
	}
	return !now.Before(at)
}

// probationAt returns when a refused request may start a probation run, and false if it may not.
func (q *Registry) probationAt(r *Record) (time.Time, bool) {
	if r.Probations-r.PardonedProbations >= maxProbations || len(r.Crashes) >= maxRecordedCrashes {
		return time.Time{}, false
	}
	wait := probationAfter
	for range r.Probations {
		wait *= probationBackoff
	}
	quietSince := r.ChangedAt()
	if q.lastCrashAt.After(quietSince) {
		quietSince = q.lastCrashAt
	}
	return quietSince.Add(min(wait, q.limits.RefuseFor)), true
}

// refusedUntil returns when a refused request may run again.
func (q *Registry) refusedUntil(r *Record) time.Time {
	until := r.ChangedAt().Add(q.limits.RefuseFor)
	if at, ok := q.probationAt(r); ok && at.Before(until) {
		return at
	}
	return until
}

// pardon forgives a refused request's crashes after a successful probation run. It returns false
// if no probation run is in flight: the run that succeeded then started before the request was
// refused.
func (q *Registry) pardon(r *Record) bool {
	if r.Probations <= r.PardonedProbations || r.ProbationRun.Target == 0 {
		return false
	}
	r.PardonedProbations, r.ForgivenCrashes = r.Probations, len(r.Crashes)
	q.markChanged(r.Fingerprint, true)
	return true
}

// noteCrash records when a target crashed.
func (q *Registry) noteCrash(at time.Time) {
	if at.After(q.lastCrashAt) {
		q.lastCrashAt = at
	}
}
