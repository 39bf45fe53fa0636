package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Limits configures a [Registry].
type Limits struct {
	// MaxCrashes is the number of crashes at which a request is refused.
	MaxCrashes int
	// SuspectFor is how long a record is kept after its last crash. RefuseFor replaces it for
	// requests with at least MaxCrashes, and bounds how long they are refused.
	SuspectFor, RefuseFor time.Duration
	// MaxRecords bounds the number of records. The least suspect ones are evicted first.
	MaxRecords int
	// ProbationDelay returns how long this process waits before it starts a probation run of a
	// refused request, so that processes don't start one at the same time. Nil means no delay.
	ProbationDelay func(Fingerprint) time.Duration
}

// Verdict is how a request may run.
type Verdict uint8

const (
	// Free requests run on any target.
	Free Verdict = iota
	// Apart requests run on the target that ranks first for their fingerprint.
	Apart
	// Alone requests run like Apart ones, but one run at a time and not on a target that runs
	// another suspect.
	Alone
	// Held requests wait until it is known whether their targets have crashed, and decided whether
	// the requests caused it.
	Held
	// Refused requests do not run.
	Refused
)

var verdictNames = map[Verdict]string{Free: "free", Apart: "apart", Alone: "alone", Held: "held", Refused: "refused"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Status is the current restriction of a request.
type Status struct {
	Verdict Verdict
	// Step is the [Crash.Step] of the next run.
	Step int
	// Crashes is the number of crashes attributed to the request, Unconfirmed that of further
	// runs of which it is not known yet whether their targets have crashed.
	Crashes, Unconfirmed int
	// Until is when a refused request may run again.
	Until time.Time
}

// Observer is notified of the registry's decisions. Its methods run with the registry locked and
// must not call it. Remote is true if the decision follows only from what other processes
// announced.
type Observer interface {
	// CrashAttributed reports a crash that was attributed to a request.
	CrashAttributed(r *Record, c Crash, remote bool)
	// CrashSuspected reports an unconfirmed crash, CrashDismissed one whose target is alive.
	CrashSuspected(r *Record, u UnconfirmedCrash)
	CrashDismissed(r *Record, u UnconfirmedCrash)
	// FindingChanged reports a new finding for a request, and its inputs; these are zero if the
	// request has too few crashes to be evaluated.
	FindingChanged(r *Record, before, now Finding, a Assessment, remote bool)
	// Cleared reports a request that was served often enough to run on any target again,
	// Released one that was released by an operator.
	Cleared(r *Record)
	Released(r *Record, remote bool)
	// ProbationStarted reports a probation run of a refused request.
	ProbationStarted(r *Record)
	// Evicted reports a record that was dropped because the registry is full.
	Evicted(r *Record)
}

// Registry holds the records of all suspects that this process knows. It is safe for concurrent
// use.
type Registry struct {
	limits   Limits
	observer Observer

	mu       sync.Mutex
	records  map[Fingerprint]*Record
	findings map[Fingerprint]Finding
	// evaluateAt is when the records must be evaluated again because a request is held; zero if
	// none is.
	evaluateAt time.Time
	// explained holds the incarnations whose crash is attributed to a refused request.
	explained map[fleet.ID]bool
	// explanations are the crashes that don't count against some records.
	explanations explanations
	// pendingUpdates lists the records to announce at once because of this process, pendingForwards
	// those that others announced. lastAnnounced is where NextToAnnounce stopped.
	pendingUpdates, pendingForwards updateQueue
	lastAnnounced                   Fingerprint
	updates                         chan struct{}
	// runs holds the runs in flight.
	runs map[Fingerprint][]*Run
	// probationRuns holds the records with a probation run in flight.
	probationRuns map[Fingerprint]*Record
	// changed lists the records that changed since the last evaluation; localChange is set if
	// this process changed one of them.
	changed     map[Fingerprint]bool
	localChange bool
	// evaluatedAt is when the records were last evaluated.
	evaluatedAt time.Time
	sweptAt     time.Time
	// evictables are the next records to evict, the least suspect one first.
	evictables []evictable
	// soundParts are the parts that were served lately.
	soundParts *soundParts
	// lastCrashAt is when the last crash of any target was observed.
	lastCrashAt time.Time
}

// NewRegistry returns an empty registry.
func NewRegistry(limits Limits, observer Observer) *Registry {
	return &Registry{
		limits: limits, observer: observer, updates: make(chan struct{}, 1),
		records: map[Fingerprint]*Record{}, findings: map[Fingerprint]Finding{}, explained: map[fleet.ID]bool{},
		runs: map[Fingerprint][]*Run{}, probationRuns: map[Fingerprint]*Record{}, changed: map[Fingerprint]bool{}, soundParts: newSoundParts(),
	}
}

func (q *Registry) isExplained(target fleet.ID) bool { return q.explained[target] }

// Status returns the current restriction of a request.
func (q *Registry) Status(fp Fingerprint, now time.Time) Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reevaluate(now)
	r := q.records[fp]
	if r == nil || q.expired(r, now) {
		return Status{}
	}
	return q.status(r, now)
}

func (q *Registry) status(r *Record, now time.Time) Status {
	if r.isPart() {
		return q.partStatus(r, now)
	}
	return q.requestStatus(r, now)
}

func (q *Registry) requestStatus(r *Record, now time.Time) Status {
	s := Status{Step: r.nextStep(q.isExplained, now), Crashes: r.unexplainedCrashes(q.isExplained), Unconfirmed: r.pendingCrashes(now)}
	switch {
	case q.applyFinding(&s, r, now):
	case r.cleared(q.isExplained):
	case s.Unconfirmed > 0 && s.Crashes+s.Unconfirmed >= q.limits.MaxCrashes:
		s.Verdict = Held
	case s.Crashes+s.Unconfirmed > 1:
		s.Verdict = Alone
	case s.Crashes == 1:
		s.Verdict = Apart
	}
	return s
}

// applyFinding sets the restriction that follows from a record's finding, and reports whether it has one.
func (q *Registry) applyFinding(s *Status, r *Record, now time.Time) bool {
	switch finding := q.findings[r.Fingerprint]; {
	case finding == MustNotRun && q.probationDue(r, now):
		s.Verdict, s.Step, s.Crashes = Alone, len(r.Crashes), len(r.Crashes)
	case finding == MustNotRun:
		s.Verdict, s.Crashes, s.Until = Refused, len(r.Crashes), q.refusedUntil(r)
	case finding == MustWait:
		s.Verdict = Held
	default:
		return false
	}
	return true
}

// Caller identifies a request's caller to operators.
type Caller struct{ Workspace, Route string }

// AttributeCrash attributes the crash of a target to a request that ran on it.
func (q *Registry) AttributeCrash(fp Fingerprint, caller Caller, c Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(c.At)
	r := q.recordOf(fp)
	r.fillCaller(caller.Workspace, caller.Route)
	if r.addCrash(c) != majorChange {
		return
	}
	q.observer.CrashAttributed(r, c, false)
	q.noteCrash(c.At)
	q.markChanged(fp, true)
	q.queueUpdate(fp)
	q.evict()
	q.reevaluate(c.At)
}

// recordOf returns the record of a request, a new one if there is none.
func (q *Registry) recordOf(fp Fingerprint) *Record {
	r := q.records[fp]
	if r == nil {
		r = &Record{Fingerprint: fp}
		q.records[fp] = r
	}
	return r
}

// MarkServed records that a run of a request succeeded.
func (q *Registry) MarkServed(fp Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[fp]
	if r == nil || len(r.Crashes) == 0 && len(r.Unconfirmed) == 0 {
		return
	}
	if q.findings[fp] == MustNotRun && !q.pardon(r) {
		return
	}
	r.Served++
	if len(r.Crashes) > 0 && r.Served == servedPerStep*max(r.unexplainedSteps(q.isExplained), 1) {
		q.observer.Cleared(r)
	}
	if len(r.Crashes) >= q.limits.MaxCrashes {
		q.markChanged(fp, true) // with fewer crashes, findings do not depend on it
	}
	// Other processes continue the count. A single successful retry after a single crash is not
	// announced, as most suspects have one; counts beyond the exemption threshold change no
	// decision.
	if (len(r.Crashes) > 1 || r.Served > 1) && r.Served <= exemptServedPerStep*len(r.Crashes) {
		q.queueUpdate(fp)
	}
}

// Release resets a request's record. It reports whether any crash was attributed to the request.
func (q *Registry) Release(fp Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[fp]
	if r == nil || len(r.Crashes) == 0 {
		return false
	}
	r.reset(now)
	q.observer.Released(r, false)
	q.markChanged(fp, true)
	q.queueUpdate(fp)
	q.reevaluate(now)
	return true
}

// StartProbationRun starts the only run of a suspect. It returns false if another run of the
// request is in flight or the target runs another suspect.
func (q *Registry) StartProbationRun(fp Fingerprint, target fleet.ID, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[fp]
	if r == nil {
		return true
	}
	if r.probationRunActive(now) || q.runsOtherSuspect(target, fp, now) {
		return false
	}
	if q.findings[fp] == MustNotRun {
		if !q.probationDue(r, now) {
			return false
		}
		r.Probations++
		q.observer.ProbationStarted(r)
	}
	r.ProbationRun = ProbationRun{Number: r.ProbationRun.Number + 1, Target: target, StartedAt: now}
	q.probationRuns[fp] = r
	q.queueUpdate(fp)
	return true
}

// EndProbationRun ends a request's probation run on a target.
func (q *Registry) EndProbationRun(fp Fingerprint, target fleet.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[fp]; r != nil && r.ProbationRun.Target == target {
		r.ProbationRun = ProbationRun{Number: r.ProbationRun.Number + 1}
		delete(q.probationRuns, fp)
		q.queueUpdate(fp)
	}
}

// RunsOtherSuspect reports whether a probation run of another request is in flight on a target.
func (q *Registry) RunsOtherSuspect(target fleet.ID, except Fingerprint, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.runsOtherSuspect(target, except, now)
}

func (q *Registry) runsOtherSuspect(target fleet.ID, except Fingerprint, now time.Time) bool {
	for fp, r := range q.probationRuns {
		if fp != except && r.ProbationRun.Target == target && r.probationRunActive(now) {
			return true
		}
	}
	return false
}

// Get returns a request's record.
func (q *Registry) Get(fp Fingerprint) (Record, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[fp]
	if r == nil {
		return Record{}, false
	}
	return r.clone(), true
}

// RecordStatus is a record with its current status.
type RecordStatus struct {
	Record
	Status
}

// List returns all requests with attributed crashes, the most restricted ones first.
func (q *Registry) List(now time.Time) []RecordStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reevaluate(now)
	var all []RecordStatus
	for _, r := range q.records {
		if len(r.Crashes) > 0 && !q.expired(r, now) {
			all = append(all, RecordStatus{r.clone(), q.status(r, now)})
		}
	}
	slices.SortFunc(all, func(x, y RecordStatus) int {
		if byVerdict := cmp.Compare(y.Verdict, x.Verdict); byVerdict != 0 {
			return byVerdict
		}
		return y.ChangedAt().Compare(x.ChangedAt())
	})
	return all
}

// Count returns the number of refused requests, of other suspects, and of refused parts.
func (q *Registry) Count() (refused, suspects, refusedParts int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for fp, r := range q.records {
		switch {
		case r.isPart() && q.findings[fp] == MustNotRun:
			refusedParts++
		case r.isPart():
		case q.findings[fp] == MustNotRun:
			refused++
		case r.unexplainedCrashes(q.isExplained) > 0:
			suspects++
		}
	}
	return refused, suspects, refusedParts
}
