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
	Ends int
	// SuspectFor is how long after its last end a request counts as a suspect, HoldFor how
	// long a refused one is refused.
	SuspectFor, HoldFor time.Duration
	// Records is the most that are kept. The least suspected go first.
	Records int
	// Turn is how much later than the first of all processes this one may put a request on
	// probation; nil for at once.
	Turn func(Print) time.Duration
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
type Standing struct {
	Verdict Verdict
	// Step is that of its next send.
	Step int
	// Ends is how many targets ended under it.
	Ends int
	// Until is when a refused request may run again.
	Until time.Time
}

// Observer is told of what the book decides. It is called while the book is locked, and
// must not call it.
type Observer interface {
	// Blamed tells of an end that is held against a request, by this process or as another
	// one told it.
	Blamed(r *Record, e End, told bool)
	// Judged tells that another finding than before holds for a request; told is set when no
	// end that this process saw led to it.
	Judged(r *Record, before, now Finding, told bool)
	// Cleared tells that a request was served so often that nothing is held against it for
	// now, Released that it was let go, here or as another process told it.
	Cleared(r *Record)
	Released(r *Record, told bool)
	// Probation tells that a run of a refused request is begun.
	Probation(r *Record)
	// Evicted tells that a record was dropped for want of room.
	Evicted(r *Record)
}

// Book keeps the records of one process. It is safe for concurrent use.
type Book struct {
	limits   Limits
	observer Observer

	mu      sync.Mutex
	records map[Print]*Record
	found   map[Print]Finding
	// judgeAt is when a request that is held is judged anew; zero while none is.
	judgeAt time.Time
	// explained are the lives that refused requests have ended.
	explained map[fleet.ID]bool
	// fresh are the records that the other processes are to be told of, and turn is where
	// the next of all records is told again.
	fresh []Print
	turn  Print
	news  chan struct{}
	// runs are the sends that are under way.
	runs map[Print][]*Run
	// tried are the records of which a trial was begun.
	tried map[Print]*Record
	// touched are the records that changed since all were judged last, and ownChange is set
	// when this process changed one of them.
	touched   map[Print]bool
	ownChange bool
	sweptAt   time.Time
	// endedAt is when the last end of any target became known.
	endedAt time.Time
}

// NewBook returns an empty book.
func NewBook(limits Limits, observer Observer) *Book {
	return &Book{
		limits: limits, observer: observer, news: make(chan struct{}, 1),
		records: map[Print]*Record{}, found: map[Print]Finding{}, explained: map[fleet.ID]bool{},
		runs: map[Print][]*Run{}, tried: map[Print]*Record{}, touched: map[Print]bool{},
	}
}

func (b *Book) isExplained(target fleet.ID) bool { return b.explained[target] }

// Standing returns what is held against a request.
func (b *Book) Standing(p Print, now time.Time) Standing {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	r := b.records[p]
	if r == nil || b.expired(r, now) {
		return Standing{}
	}
	return b.standing(r, now)
}

func (b *Book) standing(r *Record, now time.Time) Standing {
	s := Standing{Step: r.steps(b.isExplained), Ends: r.open(b.isExplained)}
	switch {
	case b.found[r.Print] == MustNotRun && b.onProbation(r, now):
		s.Verdict, s.Step, s.Ends = Alone, len(r.Ends), len(r.Ends)
	case b.found[r.Print] == MustNotRun:
		s.Verdict, s.Ends, s.Until = Refused, len(r.Ends), b.heldUntil(r)
	case b.found[r.Print] == MustWait:
		s.Verdict = Held
	case r.cleared(b.isExplained):
	case s.Ends > 1:
		s.Verdict = Alone
	case s.Ends == 1:
		s.Verdict = Apart
	}
	return s
}

// Who names a request's caller, for operators.
type Who struct{ Workspace, Route string }

// Blame holds the end of a target against a request that it worked on.
func (b *Book) Blame(p Print, who Who, e End) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(e.At)
	r := b.records[p]
	if r == nil {
		r = &Record{Print: p}
		b.records[p] = r
	}
	r.describe(who.Workspace, who.Route)
	if r.addEnd(e) != news {
		return
	}
	b.observer.Blamed(r, e, false)
	b.noteEnd(e.At)
	b.touch(p, true)
	b.tell(p)
	b.makeRoom()
	b.settle(e.At)
}

// Served takes in that a run of a request went well.
func (b *Book) Served(p Print) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[p]
	if r == nil || len(r.Ends) == 0 {
		return
	}
	if b.found[p] == MustNotRun && !b.pardon(r) {
		return
	}
	r.Served++
	if r.Served == servedPerStep*max(r.steps(b.isExplained), 1) {
		b.observer.Cleared(r)
	}
	if len(r.Ends) >= b.limits.Ends {
		b.touch(p, true) // before, no judgement goes by it
	}
	// The others count on from here. Requests that come once are not told of, and more than
	// it takes to be innocent change nothing.
	if (len(r.Ends) > 1 || r.Served > 1) && r.Served <= innocentPerStep*len(r.Ends) {
		b.tell(p)
	}
}

// Release lets a request go, and reports whether anything was held against it.
func (b *Book) Release(p Print, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[p]
	if r == nil || len(r.Ends) == 0 {
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
func (b *Book) Begin(p Print, target fleet.ID, now time.Time) bool {
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
		b.observer.Probation(r)
	}
	r.Trial = Trial{Number: r.Trial.Number + 1, Target: target, Since: now}
	b.tried[p] = r
	b.tell(p)
	return true
}

// End ends the trial at a target.
func (b *Book) End(p Print, target fleet.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.records[p]; r != nil && r.Trial.Target == target {
		r.Trial = Trial{Number: r.Trial.Number + 1}
		delete(b.tried, p)
		b.tell(p)
	}
}

// Occupied reports whether another suspect is being tried at a target.
func (b *Book) Occupied(target fleet.ID, except Print, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.occupied(target, except, now)
}

func (b *Book) occupied(target fleet.ID, except Print, now time.Time) bool {
	for p, r := range b.tried {
		if p != except && r.Trial.Target == target && r.tried(now) {
			return true
		}
	}
	return false
}

// Get returns a request's record.
func (b *Book) Get(p Print) (Record, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[p]
	if r == nil {
		return Record{}, false
	}
	return r.clone(), true
}

// Listed is a record with what is held against it.
type Listed struct {
	Record
	Standing
}

// List returns what is held against requests, the refused ones first.
func (b *Book) List(now time.Time) []Listed {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
	var all []Listed
	for _, r := range b.records {
		if len(r.Ends) > 0 && !b.expired(r, now) {
			all = append(all, Listed{r.clone(), b.standing(r, now)})
		}
	}
	slices.SortFunc(all, func(x, y Listed) int {
		if c := cmp.Compare(y.Verdict, x.Verdict); c != 0 {
			return c
		}
		return y.ChangedAt().Compare(x.ChangedAt())
	})
	return all
}

// Count returns how many requests are refused, and how many are suspects.
func (b *Book) Count() (refused, suspects int) {
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
