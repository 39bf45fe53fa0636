package quarantine

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Run is one send of a request that is under way.
type Run struct {
	fingerprint Fingerprint
	target      fleet.ID
	// knownCrashes is how many ends of the request were knownCrashes when it was sent.
	knownCrashes int
	// cancel ends the send; nil for one that may not be made twice.
	cancel func()
	// probation is set for the run of a refused request.
	probation bool
	// responding is set once its answer has responding: the target runs it, and to leave now saves
	// nothing.
	responding bool
}

// StartRun notes a send that begins. giveUp ends it when another target has ended under the
// same request; nil keeps it.
func (b *Registry) StartRun(p Fingerprint, target fleet.ID, giveUp func()) *Run {
	run := &Run{fingerprint: p, target: target, cancel: giveUp}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[p]; r != nil {
		run.knownCrashes = len(r.Crashes)
		run.probation = b.findings[p] == MustNotRun
	}
	b.runs[p] = append(b.runs[p], run)
	return run
}

// MarkResponding notes that a send's answer has begun.
func (b *Registry) MarkResponding(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.responding = true
}

// EndRun notes that a send has ended.
func (b *Registry) EndRun(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := slices.DeleteFunc(b.runs[run.fingerprint], func(o *Run) bool { return o == run })
	if len(left) == 0 {
		delete(b.runs, run.fingerprint)
		return
	}
	b.runs[run.fingerprint] = left
}

// cancelRuns ends the sends of a suspect that wait at other targets.
//
// The failure guarded against: repeats that were sent before an end became known wait in
// the queues of other targets, and end each of them when their turn comes. A trial goes
// on: it was begun with all that was known, and is the one that tells.
func (b *Registry) cancelRuns(r *Record, now time.Time) {
	for _, run := range b.runs[r.Fingerprint] {
		trial := r.probationRunActive(now) && run.target == r.ProbationRun.Target && (b.findings[r.Fingerprint] == 0 || run.probation)
		if run.cancel == nil || run.responding || trial || run.knownCrashes >= len(r.Crashes) || r.hasCrash(run.target) {
			continue
		}
		run.cancel()
		run.cancel = nil
	}
}
