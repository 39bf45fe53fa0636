package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

func (q *Registry) markChanged(fp Fingerprint, local bool) {
	q.changed[fp] = true
	q.localChange = q.localChange || local
}

// Reevaluate updates all findings if records have changed or a held request is due.
func (q *Registry) Reevaluate(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reevaluate(now)
}

const (
	// fewRecords is the number of records up to which each change is evaluated at once. A crash of many
	// targets changes thousands of records within a second, and each evaluation goes through all of them.
	fewRecords = 200
	// evaluationInterval is the least time between two evaluations for each further record.
	evaluationInterval = 50 * time.Microsecond
)

// nextEvaluation returns the earliest time of the next evaluation.
func (q *Registry) nextEvaluation() time.Time {
	return q.evaluatedAt.Add(evaluationInterval * time.Duration(max(len(q.records)-fewRecords, 0)))
}

// reevaluate updates the findings and cancels runs of suspects.
func (q *Registry) reevaluate(now time.Time) {
	due := !q.evaluateAt.IsZero() && !now.Before(q.evaluateAt)
	if len(q.changed) == 0 && !due || now.Before(q.nextEvaluation()) {
		return
	}
	q.evaluatedAt = now
	q.evaluate(!q.localChange, now)
	for _, fp := range slices.Sorted(maps.Keys(q.changed)) {
		if r := q.records[fp]; r != nil && q.status(r, now).Verdict != Free {
			q.cancelRuns(r, now)
		}
	}
	clear(q.changed)
	q.localChange = false
}

func (q *Registry) evaluate(remote bool, now time.Time) {
	all := make([]*Record, 0, len(q.records))
	for _, r := range q.records {
		all = append(all, r)
	}
	before := q.findings
	e := evaluate(all, q.limits.MaxCrashes, now)
	q.findings, q.explanations = e.findings, e.explanations
	q.explained, q.evaluateAt = map[fleet.ID]bool{}, time.Time{}
	for fp, f := range q.findings {
		r := q.records[fp]
		if f == MustWait {
			q.evaluateBy(r.ChangedAt().Add(decisionDelay))
			continue
		}
		for _, c := range r.Crashes {
			q.explained[c.Target] = true
		}
	}
	q.notifyFindings(before, e, remote)
}

// evaluateBy schedules an evaluation at the given time at the latest.
func (q *Registry) evaluateBy(at time.Time) {
	if q.evaluateAt.IsZero() || at.Before(q.evaluateAt) {
		q.evaluateAt = at
	}
}

// notifyFindings reports changed findings to the observer.
func (q *Registry) notifyFindings(before map[Fingerprint]Finding, e *evaluation, remote bool) {
	changed := map[Fingerprint]bool{}
	for fp := range before {
		changed[fp] = q.findings[fp] != before[fp]
	}
	for fp := range q.findings {
		changed[fp] = q.findings[fp] != before[fp]
	}
	for _, fp := range slices.Sorted(maps.Keys(changed)) {
		if r := q.records[fp]; r != nil && changed[fp] {
			q.observer.FindingChanged(r, before[fp], q.findings[fp], e.assessmentOf(r), remote)
			q.signal()
		}
	}
}
