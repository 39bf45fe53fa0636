package quarantine

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Run is one send of a request that is under way.
type Run struct {
	print  Fingerprint
	target fleet.ID
	// known is how many ends of the request were known when it was sent.
	known int
	// giveUp ends the send; nil for one that may not be made twice.
	giveUp func()
	// probation is set for the run of a refused request.
	probation bool
	// begun is set once its answer has begun: the target runs it, and to leave now saves
	// nothing.
	begun bool
}

// Start notes a send that begins. giveUp ends it when another target has ended under the
// same request; nil keeps it.
func (b *Registry) StartRun(p Fingerprint, target fleet.ID, giveUp func()) *Run {
	run := &Run{print: p, target: target, giveUp: giveUp}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[p]; r != nil {
		run.known = len(r.Crashes)
		run.probation = b.found[p] == MustNotRun
	}
	b.runs[p] = append(b.runs[p], run)
	return run
}

// Begun notes that a send's answer has begun.
func (b *Registry) MarkResponding(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.begun = true
}

// Done notes that a send has ended.
func (b *Registry) EndRun(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := slices.DeleteFunc(b.runs[run.print], func(o *Run) bool { return o == run })
	if len(left) == 0 {
		delete(b.runs, run.print)
		return
	}
	b.runs[run.print] = left
}

// giveUp ends the sends of a suspect that wait at other targets.
//
// The failure guarded against: repeats that were sent before an end became known wait in
// the queues of other targets, and end each of them when their turn comes. A trial goes
// on: it was begun with all that was known, and is the one that tells.
func (b *Registry) giveUp(r *Record, now time.Time) {
	for _, run := range b.runs[r.Fingerprint] {
		trial := r.tried(now) && run.target == r.ProbationRun.Target && (b.found[r.Fingerprint] == 0 || run.probation)
		if run.giveUp == nil || run.begun || trial || run.known >= len(r.Crashes) || r.end(run.target) {
			continue
		}
		run.giveUp()
		run.giveUp = nil
	}
}
