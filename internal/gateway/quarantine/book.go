package quarantine

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Limits bound what a book holds and how it judges.
type Limits struct {
	// Ends is how many targets a request may end before it is refused.
	MaxCrashes int
	// SuspectFor is how long after its last end a request counts as a suspect, HoldFor how
	// long a refused one is refused.
	SuspectFor, RefuseFor time.Duration
	// Records is the most that are kept. The least suspected go first.
	MaxRecords int
	// Turn is how much later than the first of all processes this one may put a request on
	// probation; nil for at once.
	ProbationDelay func(Fingerprint) time.Duration
}

// Verdict is what a request may do.
type Verdict uint8

// The verdicts.
const (
	// Free requests go where they are served best.
	Free Verdict = iota
	// Apart requests go to the target that their print ranks first.
	Apart
	// Alone requests do the same, one of them at a time, where no other of them runs.
	Alone
	// Held requests wait for a moment, until it is settled what ended their targets.
	Held
	// Refused requests are not sent.
	Refused
)

var verdictNames = map[Verdict]string{Free: "free", Apart: "apart", Alone: "alone", Held: "held", Refused: "refused"}

// String returns the verdict's name.
func (v Verdict) String() string { return verdictNames[v] }

// Standing is what is held against a request now.
type Status struct {
	Verdict Verdict
	// Step is that of its next send.
	Step int
	// Ends is how many targets ended under it.
	Crashes int
	// Until is when a refused request may run again.
	Until time.Time
}

// Observer is told of what the book decides. It is called while the book is locked, and
// must not call it.
type Observer interface {
	// Blamed tells of an end that is held against a request, by this process or as another
	// one told it.
	CrashAttributed(r *Record, e Crash, told bool)
	// Judged tells that another finding than before holds for a request; told is set when no
	// end that this process saw led to it.
	FindingChanged(r *Record, before, now Finding, told bool)
	// Cleared tells that a request was served so often that nothing is held against it for
	// now, Released that it was let go, here or as another process told it.
	Cleared(r *Record)
	Released(r *Record, told bool)
	// Probation tells that a run of a refused request is begun.
	ProbationStarted(r *Record)
	// Evicted tells that a record was dropped for want of room.
	Evicted(r *Record)
}

// Book keeps the records of one process. It is safe for concurrent use.
type Registry struct {
	limits   Limits
	observer Observer

	mu      sync.Mutex
	records map[Fingerprint]*Record
	found   map[Fingerprint]Finding
	// judgeAt is when a request that is held is judged anew; zero while none is.
	judgeAt time.Time
	// explained are the lives that refused requests have ended.
	explained map[fleet.ID]bool
	// fresh are the records that the other processes are to be told of, and turn is where
	// the next of all records is told again.
	fresh []Fingerprint
	turn  Fingerprint
	news  chan struct{}
	// runs are the sends that are under way.
	runs map[Fingerprint][]*Run
	// tried are the records of which a trial was begun.
	tried map[Fingerprint]*Record
	// touched are the records that changed since all were judged last, and ownChange is set
	// when this process changed one of them.
	touched   map[Fingerprint]bool
	ownChange bool
	sweptAt   time.Time
	// endedAt is when the last end of any target became known.
	endedAt time.Time
}

// NewBook returns an empty book.
func NewRegistry(limits Limits, observer Observer) *Registry {
	return &Registry{
		limits: limits, observer: observer, news: make(chan struct{}, 1),
		records: map[Fingerprint]*Record{}, found: map[Fingerprint]Finding{}, explained: map[fleet.ID]bool{},
		runs: map[Fingerprint][]*Run{}, tried: map[Fingerprint]*Record{}, touched: map[Fingerprint]bool{},
	}
}

func (b *Registry) isExplained(target fleet.ID) bool { return b.explained[target] }

// Standing returns what is held against a request.
func (b *Registry) Status(p Fingerprint, now time.Time) Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	r := b.records[p]
	if r == nil || b.expired(r, now) {
		return Status{}
	}
	return b.standing(r, now)
}

func (b *Registry) standing(r *Record, now time.Time) Status {
	s := Status{Step: r.steps(b.isExplained), Crashes: r.open(b.isExplained)}
	switch {
	case b.found[r.Fingerprint] == MustNotRun && b.onProbation(r, now):
		s.Verdict, s.Step, s.Crashes = Alone, len(r.Crashes), len(r.Crashes)
	case b.found[r.Fingerprint] == MustNotRun:
		s.Verdict, s.Crashes, s.Until = Refused, len(r.Crashes), b.heldUntil(r)
	case b.found[r.Fingerprint] == MustWait:
		s.Verdict = Held
	case r.cleared(b.isExplained):
	case s.Crashes > 1:
		s.Verdict = Alone
	case s.Crashes == 1:
		s.Verdict = Apart
	}
	return s
}

// Who names a request's caller, for operators.
type Caller struct{ Workspace, Route string }

// Blame holds the end of a target against a request that it worked on.
func (b *Registry) AttributeCrash(p Fingerprint, who Caller, e Crash) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(e.At)
	r := b.records[p]
	if r == nil {
		r = &Record{Fingerprint: p}
		b.records[p] = r
	}
	r.describe(who.Workspace, who.Route)
	if r.addEnd(e) != news {
		return
	}
	b.observer.CrashAttributed(r, e, false)
	b.noteEnd(e.At)
	b.touch(p, true)
	b.tell(p)
	b.makeRoom()
	b.settle(e.At)
}

// Served takes in that a run of a request went well.
func (b *Registry) MarkServed(p Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[p]
	if r == nil || len(r.Crashes) == 0 {
		return
	}
	if b.found[p] == MustNotRun && !b.pardon(r) {
		return
	}
	r.Served++
	if r.Served == servedPerStep*max(r.steps(b.isExplained), 1) {
		b.observer.Cleared(r)
	}
	if len(r.Crashes) >= b.limits.MaxCrashes {
		b.touch(p, true) // before, no judgement goes by it
	}
	// The others count on from here. Requests that come once are not told of, and more than
	// it takes to be innocent change nothing.
	if (len(r.Crashes) > 1 || r.Served > 1) && r.Served <= innocentPerStep*len(r.Crashes) {
		b.tell(p)
	}
}

// Release lets a request go, and reports whether anything was held against it.
func (b *Registry) Release(p Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[p]
	if r == nil || len(r.Crashes) == 0 {
		return false
	}
	r.renew(now)
	b.observer.Released(r, false)
	b.touch(p, true)
	b.tell(p)
	b.settle(now)
	return true
}

// Begin begins the trial of a request that may run alone only. It reports false while
// another one is under way, or another suspect runs at the target.
func (b *Registry) StartProbationRun(p Fingerprint, target fleet.ID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[p]
	if r == nil {
		return true
	}
	if r.tried(now) || b.occupied(target, p, now) {
		return false
	}
	if b.found[p] == MustNotRun {
		if !b.onProbation(r, now) {
			return false
		}
		r.Probations++
		b.observer.ProbationStarted(r)
	}
	r.ProbationRun = ProbationRun{Number: r.ProbationRun.Number + 1, Target: target, StartedAt: now}
	b.tried[p] = r
	b.tell(p)
	return true
}

// End ends the trial at a target.
func (b *Registry) EndProbationRun(p Fingerprint, target fleet.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[p]; r != nil && r.ProbationRun.Target == target {
		r.ProbationRun = ProbationRun{Number: r.ProbationRun.Number + 1}
		delete(b.tried, p)
		b.tell(p)
	}
}

// Occupied reports whether another suspect is being tried at a target.
func (b *Registry) RunsOtherSuspect(target fleet.ID, except Fingerprint, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.occupied(target, except, now)
}

func (b *Registry) occupied(target fleet.ID, except Fingerprint, now time.Time) bool {
	for p, r := range b.tried {
		if p != except && r.ProbationRun.Target == target && r.tried(now) {
			return true
		}
	}
	return false
}

// Get returns a request's record.
func (b *Registry) Get(p Fingerprint) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[p]
	if r == nil {
		return Record{}, false
	}
	return r.clone(), true
}

// Listed is a record with what is held against it.
type RecordStatus struct {
	Record
	Status
}

// List returns what is held against requests, the refused ones first.
func (b *Registry) List(now time.Time) []RecordStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	var all []RecordStatus
	for _, r := range b.records {
		if len(r.Crashes) > 0 && !b.expired(r, now) {
			all = append(all, RecordStatus{r.clone(), b.standing(r, now)})
		}
	}
	slices.SortFunc(all, func(x, y RecordStatus) int {
		if c := cmp.Compare(y.Verdict, x.Verdict); c != 0 {
			return c
		}
		return y.ChangedAt().Compare(x.ChangedAt())
	})
	return all
}

// Count returns how many requests are refused, and how many are suspects.
func (b *Registry) Count() (refused, suspects int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for p, r := range b.records {
		switch {
		case b.found[p] == MustNotRun:
			refused++
		case r.open(b.isExplained) > 0:
			suspects++
		}
	}
	return refused, suspects
}
