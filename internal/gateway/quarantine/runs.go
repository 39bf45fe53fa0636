package quarantine

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Run is a run of a request on a target.
type Run struct {
	fingerprint Fingerprint
	target      fleet.ID
	// known are the targets whose crashes, confirmed or not, were known when the run started.
	known []fleet.ID
	// step is the run's [Crash.Step].
	step int
	// cancel cancels the run; nil if it must not be repeated.
	cancel func()
	// probation is set if the request was refused when the run started.
	probation bool
	// responding is set once the response has started; cancelling then no longer protects the
	// target.
	responding bool
	// parts are the prompt's parts, partSteps the [Crash.Step] for each of them.
	parts     []Fingerprint
	partSteps []int
	startedAt time.Time
}

// StartRun records a run that starts now. The registry calls cancel if another target crashes
// under the same request; nil exempts the run.
func (q *Registry) StartRun(fp Fingerprint, target fleet.ID, step int, cancel func()) *Run {
	run := &Run{fingerprint: fp, target: target, step: step, cancel: cancel}
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[fp]; r != nil {
		run.known = r.crashTargets()
		run.probation = q.findings[fp] == MustNotRun
	}
	q.runs[fp] = append(q.runs[fp], run)
	return run
}

// knows reports whether all of a request's crashes were known when the run started.
func (run *Run) knows(crashes []Crash) bool {
	return !slices.ContainsFunc(crashes, func(c Crash) bool { return !slices.Contains(run.known, c.Target) })
}

// MarkResponding records that the response of a run has started.
func (q *Registry) MarkResponding(run *Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	run.responding = true
}

// EndRun records that a run has ended.
func (q *Registry) EndRun(run *Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeRun(run.fingerprint, run)
	for _, part := range run.parts {
		q.removeRun(part, run)
	}
}

func (q *Registry) removeRun(fp Fingerprint, run *Run) {
	remaining := slices.DeleteFunc(q.runs[fp], func(other *Run) bool { return other == run })
	if len(remaining) == 0 {
		delete(q.runs, fp)
		return
	}
	q.runs[fp] = remaining
}

// cancelRuns cancels a suspect's runs that were sent before one of its crashes was known or suspected.
// They may still be queued at other targets and would crash these, too. Those that have begun crash them
// all the same, so each counts as an unconfirmed crash at once: the next run is decided before the
// cancelled ones return. A probation run continues.
func (q *Registry) cancelRuns(r *Record, now time.Time) {
	if r.isPart() {
		q.cancelPartRuns(r, now)
		return
	}
	for _, run := range q.runs[r.Fingerprint] {
		isProbationRun := r.probationRunActive(now) && run.target == r.ProbationRun.Target && (q.findings[r.Fingerprint] == 0 || run.probation)
		if run.cancel == nil || run.responding || isProbationRun || run.knows(r.Crashes) || r.hasCrash(run.target) {
			continue
		}
		run.cancel()
		run.cancel = nil
		u := UnconfirmedCrash{Target: run.target, Step: run.step, At: now}
		if r.addUnconfirmed(u) != unchanged {
			q.observer.CrashSuspected(r, u)
			q.announceUnconfirmed(r, now)
		}
	}
}
