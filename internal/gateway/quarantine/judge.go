package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

const (
	// momentWindow is the time around a request's ends within which the end of a target that
	// did not run it speaks for another cause: a loss of power, or a fault of the targets,
	// ends several within a moment.
	momentWindow = time.Second
	// usualWindow is the time before a request's first end over which it is counted how
	// often targets end without it.
	usualWindow = 10 * time.Second
	// moreEnds is how many ends more it takes while as many targets end without a request as
	// with it. Where every third run ends because targets crash by themselves, a request that
	// is tried four times meets three ends now and then.
	moreEnds = 2
	// settleFor is how long after its last end a request is held, and not refused yet: more
	// targets may end without it, and speak for another cause. The first three crashes of a
	// storm meet one request now and then that is always under way, and look the same as if
	// it were the cause until the next ones come.
	settleFor = time.Second
)

// Finding is what Judge makes of a request; zero for one that may run.
type Finding uint8

// The findings.
const (
	// MustWait requests are not run for the moment: it is not settled yet what ended targets.
	MustWait Finding = iota + 1
	// MustNotRun requests ended them.
	MustNotRun
)

// Judge names the requests that may not run now, among records of which none is older than
// it may be. It goes by nothing else, so that all processes with the same records refuse
// the same requests.
//
// A request is refused when so many ends in a row came under it, each send being made
// after the end before was known. When as many came at once, it is refused only if no
// target ended near them in time without it. It takes moreEnds while targets end as often
// without it. One that is served far more often than it ends its target is not refused.
//
// Requests that stood beside the cause have some of its ends, the cause has all of them:
// the one with most is judged first, and what it explains no longer counts against the
// others. Two that cannot be told apart are both left: each runs alone next time, and only
// one of them ends its target then.
func Evaluate(records []*Record, ends int, now time.Time) map[Fingerprint]Finding {
	j := judgement{records: records, ends: ends, found: map[Fingerprint]Finding{}, explained: map[fleet.ID]bool{}}
	for _, r := range records {
		if len(r.Crashes) >= ends && len(r.Crashes) > r.ForgivenCrashes {
			j.left = append(j.left, r)
		}
	}
	slices.SortFunc(j.left, func(a, b *Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	for r := j.takeWorst(); r != nil; r = j.takeWorst() {
		if tied := j.tied(r); tied != nil {
			j.drop(tied)
			continue
		}
		if now.Before(r.ChangedAt().Add(settleFor)) {
			j.found[r.Fingerprint] = MustWait
			continue
		}
		j.found[r.Fingerprint] = MustNotRun
		for _, e := range r.Crashes {
			j.explained[e.Target] = true
		}
	}
	return j.found
}

// judgement is one call of Judge.
type judgement struct {
	records []*Record
	ends    int
	found   map[Fingerprint]Finding
	// explained are the lives that refused requests have ended.
	explained map[fleet.ID]bool
	// left are the requests with enough ends that were not looked at yet.
	left []*Record
	// timeline holds all ends in the order of time, once it is asked for.
	timeline []Crash
}

func (j *judgement) isExplained(target fleet.ID) bool { return j.explained[target] }

// takeWorst takes the request with the most ends out of those that are left and guilty;
// nil when there is none.
func (j *judgement) takeWorst() *Record {
	var worst *Record
	most := 0
	for _, r := range j.left {
		if n := r.open(j.isExplained); n > most && n >= j.ends && j.guilty(r) {
			worst, most = r, n
		}
	}
	if worst != nil {
		j.drop(worst)
	}
	return worst
}

func (j *judgement) drop(r *Record) {
	j.left = slices.DeleteFunc(j.left, func(o *Record) bool { return o == r })
}

// tied returns another request that may be refused for as many ends, and without whose ends
// this one would not have enough.
func (j *judgement) tied(r *Record) *Record {
	n := r.open(j.isExplained)
	for _, o := range j.left {
		if o.open(j.isExplained) != n || !j.guilty(o) {
			continue
		}
		if shared := j.shared(r, o); shared > 0 && n-shared < j.ends {
			return o
		}
	}
	return nil
}

// shared counts the ends that two requests have in common.
func (j *judgement) shared(a, b *Record) int {
	n := 0
	for _, e := range a.Crashes {
		if !j.explained[e.Target] && b.end(e.Target) {
			n++
		}
	}
	return n
}

// guilty reports whether a request's own ends, of which there are enough, suffice to
// refuse it.
func (j *judgement) guilty(r *Record) bool {
	ends, need, perStep := r.open(j.isExplained), j.ends, innocentPerStep
	others := j.beside(r, usualWindow)
	if others > 0 {
		perStep = besidePerStep
	}
	if others >= ends && !j.beyondChance(r, others) || r.Served > 0 && j.byChance(r, others) {
		need += moreEnds
	}
	// Runs are counted from the first end on: there is one step less than ends in them.
	if r.Served >= perStep*max(r.steps(j.isExplained)-1, 1) {
		return false
	}
	return r.steps(j.isExplained) >= need || ends >= need && j.beside(r, momentWindow) == 0
}

// The chance that a request which did nothing met all its ends, given how often targets ended
// at that time: below unlikely it did not, above likely it may well have.
const (
	unlikely = 0.0001
	likely   = 0.02
)

// beyondChance reports whether it is known that a request which did nothing would not have
// met all its ends, byChance whether it is known that it may have.
//
// The load patterns that they answer: some targets crash by themselves, seconds apart, and a
// request ends three more, each within some milliseconds of its send; in a storm of crashes,
// one in each run of an answer, a request that is always under way meets three in a row, and
// is served now and then. One that is never served is given no such doubt.
func (j *judgement) beyondChance(r *Record, others int) bool {
	chance, known := j.chance(r, others)
	return known && chance < unlikely
}

func (j *judgement) byChance(r *Record, others int) bool {
	chance, known := j.chance(r, others)
	return known && chance > likely
}

// chance is the chance that ends as frequent as those around the request's would have met
// each of its runs that ended, whichever their targets; false where it is not known for how
// long it ran.
func (j *judgement) chance(r *Record, others int) (float64, bool) {
	first, last := j.around(r, usualWindow)
	span := max(last.Sub(first), shortestSpan)
	perSecond := float64(others+r.open(j.isExplained)) / span.Seconds()
	chance := 1.0
	for _, e := range r.Crashes {
		if j.explained[e.Target] {
			continue
		}
		if e.Elapsed == 0 {
			return 0, false
		}
		chance *= 1 - math.Exp(-perSecond*e.Elapsed.Seconds())
	}
	return chance, true
}

// shortestSpan is the least time over which ends are counted as a rate.
const shortestSpan = 100 * time.Millisecond

// around returns the first and the last end of any target from a time before the request's
// first one until a moment after its last.
func (j *judgement) around(r *Record, before time.Duration) (first, last time.Time) {
	from, to := r.span()
	for _, e := range j.ordered() {
		if e.At.Before(from.Add(-before)) || e.At.After(to.Add(momentWindow)) || j.explained[e.Target] {
			continue
		}
		if first.IsZero() {
			first = e.At
		}
		last = e.At
	}
	return first, last
}

// beside counts the targets that ended without the request, from a time before its first
// end until a moment after its last.
func (j *judgement) beside(r *Record, before time.Duration) int {
	first, last := r.span()
	all := j.ordered()
	from, _ := slices.BinarySearchFunc(all, first.Add(-before), func(e Crash, t time.Time) int { return e.At.Compare(t) })
	n := 0
	for _, e := range all[from:] {
		if e.At.After(last.Add(momentWindow)) {
			break
		}
		if !j.explained[e.Target] && !r.end(e.Target) {
			n++
		}
	}
	return n
}

// ordered returns the end of each life once, in the order of time.
func (j *judgement) ordered() []Crash {
	if j.timeline != nil {
		return j.timeline
	}
	seen := map[fleet.ID]time.Time{}
	for _, r := range j.records {
		for _, e := range r.Crashes {
			if at, ok := seen[e.Target]; !ok || e.At.Before(at) {
				seen[e.Target] = e.At
			}
		}
	}
	for target, at := range seen {
		j.timeline = append(j.timeline, Crash{Target: target, At: at})
	}
	slices.SortFunc(j.timeline, func(a, b Crash) int { return a.At.Compare(b.At) })
	return j.timeline
}
