package quarantine

import (
	"cmp"
	"maps"
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
}

// NewBook returns an empty book.
func NewBook(limits Limits, observer Observer) *Book {
	return &Book{
		limits: limits, observer: observer, news: make(chan struct{}, 1),
		records: map[Print]*Record{}, found: map[Print]Finding{}, explained: map[fleet.ID]bool{},
		runs: map[Print][]*Run{}, tried: map[Print]*Record{}, touched: map[Print]bool{},
	}
}

// News yields when there is something to tell the other processes, or a finding changed.
func (b *Book) News() <-chan struct{} { return b.news }

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
	return b.standing(r)
}

func (b *Book) standing(r *Record) Standing {
	s := Standing{Step: r.steps(b.isExplained), Ends: r.open(b.isExplained)}
	switch {
	case b.found[r.Print] == MustNotRun:
		s.Verdict, s.Ends, s.Until = Refused, len(r.Ends), r.ChangedAt().Add(b.limits.HoldFor)
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
	if r == nil || len(r.Ends) == 0 || b.found[p] == MustNotRun {
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

// Merge takes in what another process knows of a request, and reports whether it is news.
// With passOn the others are told in turn. What follows from it is found out with the next
// question, or by Settle: a datagram holds several records.
func (b *Book) Merge(o Record, passOn bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.expired(&o, now) {
		return false
	}
	r := b.records[o.Print]
	if r == nil {
		if len(o.Ends) == 0 && o.Generation == 0 {
			return false
		}
		r = &Record{Print: o.Print}
		b.records[o.Print] = r
	}
	known, generation := len(r.Ends), r.Generation
	switch r.merge(&o) {
	case nothing:
		return false
	case detail:
		b.touch(o.Print, false)
		return false
	}
	if r.Generation != generation {
		known = 0 // all its ends are news
		if len(r.Ends) == 0 {
			b.observer.Released(r, true)
		}
	}
	for _, e := range r.Ends[known:] {
		b.observer.Blamed(r, e, true)
	}
	if r.Trial.Target != 0 {
		b.tried[o.Print] = r
	} else {
		delete(b.tried, o.Print)
	}
	b.touch(o.Print, false)
	if passOn {
		b.tell(o.Print)
	}
	b.makeRoom()
	return true
}

func (b *Book) touch(p Print, own bool) {
	b.touched[p] = true
	b.ownChange = b.ownChange || own
}

// Settle finds out what follows from the changes since the last time.
func (b *Book) Settle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.settle(now)
}

// settle judges anew, and gives up runs that suspects should not have made.
func (b *Book) settle(now time.Time) {
	due := !b.judgeAt.IsZero() && !now.Before(b.judgeAt)
	if len(b.touched) == 0 && !due {
		return
	}
	b.judge(!b.ownChange, now)
	for _, p := range slices.Sorted(maps.Keys(b.touched)) {
		if r := b.records[p]; r != nil && b.standing(r).Verdict != Free {
			b.giveUp(r, now)
		}
	}
	clear(b.touched)
	b.ownChange = false
}

func (b *Book) judge(told bool, now time.Time) {
	all := make([]*Record, 0, len(b.records))
	for _, r := range b.records {
		all = append(all, r)
	}
	before := b.found
	b.found = Judge(all, b.limits.Ends, now)
	b.explained, b.judgeAt = map[fleet.ID]bool{}, time.Time{}
	for p, f := range b.found {
		r := b.records[p]
		if f == MustWait {
			b.judgeBy(r.ChangedAt().Add(settleFor))
			continue
		}
		for _, e := range r.Ends {
			b.explained[e.Target] = true
		}
	}
	b.report(before, told)
}

// judgeBy judges anew at a time, or before.
func (b *Book) judgeBy(at time.Time) {
	if b.judgeAt.IsZero() || at.Before(b.judgeAt) {
		b.judgeAt = at
	}
}

// report tells the observer what has changed.
func (b *Book) report(before map[Print]Finding, told bool) {
	changed := map[Print]bool{}
	for p := range before {
		changed[p] = b.found[p] != before[p]
	}
	for p := range b.found {
		changed[p] = b.found[p] != before[p]
	}
	for _, p := range slices.Sorted(maps.Keys(changed)) {
		if r := b.records[p]; r != nil && changed[p] {
			b.observer.Judged(r, before[p], b.found[p], told)
			b.signal()
		}
	}
}

func (b *Book) expired(r *Record, now time.Time) bool {
	keep := b.limits.SuspectFor
	if len(r.Ends) >= b.limits.Ends {
		keep = b.limits.HoldFor
	}
	return now.Sub(r.ChangedAt()) > keep
}

// sweepPeriod is how often old records are looked for.
const sweepPeriod = 10 * time.Second

// sweep drops what is too old.
func (b *Book) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < sweepPeriod {
		return
	}
	b.sweptAt = now
	for p, r := range b.records {
		if b.expired(r, now) {
			b.drop(p)
		}
	}
}

func (b *Book) drop(p Print) {
	delete(b.records, p)
	delete(b.tried, p)
	b.touch(p, false)
}

// makeRoom drops the least suspected records beyond the limit: a flood of requests that
// each end one target pushes out others like them, and not those that are refused.
func (b *Book) makeRoom() {
	for len(b.records) > b.limits.Records {
		var least *Record
		for _, r := range b.records {
			if least == nil || b.lessSuspect(r, least) {
				least = r
			}
		}
		b.drop(least.Print)
		b.observer.Evicted(least)
	}
}

func (b *Book) lessSuspect(x, y *Record) bool {
	weight := func(r *Record) int {
		if b.found[r.Print] == MustNotRun {
			return maxEnds + 1
		}
		return len(r.Ends)
	}
	if c := cmp.Compare(weight(x), weight(y)); c != 0 {
		return c < 0
	}
	return x.ChangedAt().Before(y.ChangedAt())
}

func (b *Book) tell(p Print) {
	if !slices.Contains(b.fresh, p) {
		b.fresh = append(b.fresh, p)
	}
	b.signal()
}

// signal says that there is news.
func (b *Book) signal() {
	select {
	case b.news <- struct{}{}:
	default: // it is known already
	}
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

// TakeFresh returns up to n records of which the others are to be told at once.
func (b *Book) TakeFresh(n int) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken []Record
	for len(taken) < n && len(b.fresh) > 0 {
		p := b.fresh[0]
		b.fresh = b.fresh[1:]
		if r := b.records[p]; r != nil {
			taken = append(taken, r.clone())
		}
	}
	return taken
}

// retellFor is how long a request with one end is told again and again, for processes
// that the first word did not reach. Its caller has come again by then; the others matter
// for as long as they are kept.
const retellFor = 10 * time.Second

// Next returns up to n of the records that the others should know, in turn.
func (b *Book) Next(n int, now time.Time) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	var prints []Print
	for p, r := range b.records {
		if (len(r.Ends) > 1 || r.Generation > 0 || now.Sub(r.ChangedAt()) < retellFor) && !b.expired(r, now) {
			prints = append(prints, p)
		}
	}
	if len(prints) == 0 {
		return nil
	}
	slices.Sort(prints)
	from, _ := slices.BinarySearch(prints, b.turn+1)
	var next []Record
	for i := range min(n, len(prints)) {
		p := prints[(from+i)%len(prints)]
		next = append(next, b.records[p].clone())
		b.turn = p
	}
	return next
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
			all = append(all, Listed{r.clone(), b.standing(r)})
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
