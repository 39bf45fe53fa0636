package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

const (
	// concurrentWindow is how close in time to a request's crashes the crash of a target that
	// did not run it points to another cause, such as a power failure.
	concurrentWindow = time.Second
	// backgroundWindow is how long before a request's first crash the crashes of other targets
	// count toward the background crash rate.
	backgroundWindow = 10 * time.Second
	// extraCrashes is the number of additional crashes needed to refuse a request while at least
	// as many targets crash without it. Where crashes break off every third run, a request that
	// is tried four times meets three of them now and then.
	extraCrashes = 2
	// decisionDelay is how long a request is held after its last crash before it is refused.
	// More targets may crash without it meanwhile: at the start of a series of unrelated
	// crashes, a popular request looks like the cause.
	decisionDelay = time.Second
)

// Finding is the result of evaluating a request; zero if it may run.
type Finding uint8

const (
	// MustWait requests may have caused their targets' crashes and wait for the decision.
	MustWait Finding = iota + 1
	// MustNotRun requests have caused their targets' crashes.
	MustNotRun
)

// Evaluate returns the findings for a set of unexpired records. It depends on its arguments
// only, so that all processes with the same records refuse the same requests.
//
// A request is refused if maxCrashes targets crashed under it in as many steps. If they crashed
// in fewer steps, it is refused only if no other target crashed at about the same time. It takes
// extraCrashes more while targets crash as often without the request. A request that is served
// far more often than its targets crash is not refused, and neither is one that was served and may
// well have met its crashes by chance among those of other targets.
//
// A part of prompts is judged in the same way, by the crashes of all requests that have it, but only by
// steps: one power failure ends targets under every part that is in use. A single run of it that went
// well clears it.
//
// Requests that run beside the cause share some of its crashes, but the cause has all of them.
// The request with the most crashes is therefore evaluated first, and crashes that it explains
// no longer count against others. Two requests that can't be told apart are both left to run
// alone, where only one of them crashes its target.
func Evaluate(records []*Record, maxCrashes int, now time.Time) map[Fingerprint]Finding {
	return evaluate(records, maxCrashes, now).findings
}

func evaluate(records []*Record, maxCrashes int, now time.Time) *evaluation {
	e := &evaluation{records: records, maxCrashes: maxCrashes, findings: map[Fingerprint]Finding{}, assessments: map[Fingerprint]Assessment{}, explanations: explanations{explained: map[fleet.ID]bool{}, forSoundParts: suspectedCrashes(records)}}
	for _, r := range records {
		if len(r.Crashes) >= maxCrashes && len(r.Crashes) > r.ForgivenCrashes {
			e.candidates = append(e.candidates, r)
		}
	}
	slices.SortFunc(e.candidates, func(a, b *Record) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	for r := e.takeMostSuspect(); r != nil; r = e.takeMostSuspect() {
		e.assessments[r.Fingerprint] = e.assess(r)
		if tied := e.tied(r); tied != nil {
			e.drop(tied)
			continue
		}
		if now.Before(r.ChangedAt().Add(decisionDelay)) {
			e.findings[r.Fingerprint] = MustWait
			e.explain(r, e.forSoundParts)
			continue
		}
		e.findings[r.Fingerprint] = MustNotRun
		e.explain(r, e.explained)
	}
	return e
}

// assessmentOf returns the inputs of a record's finding; zero if it has too few crashes to be evaluated.
func (e *evaluation) assessmentOf(r *Record) Assessment {
	if a, ok := e.assessments[r.Fingerprint]; ok || !slices.Contains(e.candidates, r) {
		return a
	}
	return e.assess(r)
}

// evaluation is the state of one call of Evaluate.
type evaluation struct {
	records    []*Record
	maxCrashes int
	findings   map[Fingerprint]Finding
	// assessments holds the inputs of each finding.
	assessments map[Fingerprint]Assessment
	explanations
	// candidates are the requests with enough crashes that are not evaluated yet.
	candidates []*Record
	// timeline caches crashesByTime, earliest has the times in it by target.
	timeline []Crash
	earliest map[fleet.ID]time.Time
	// unexplained caches unexplainedByTime, as of when so many crashes were explained.
	unexplained   []Crash
	unexplainedOf int
}

// explanations are the crashes that don't count against some records, because others explain them.
type explanations struct {
	// explained holds the incarnations whose crash is attributed to a refused request or part.
	explained map[fleet.ID]bool
	// forSoundParts also holds those of unproved parts and of what waits: requests that share a sound
	// part with them need not wait, too.
	forSoundParts map[fleet.ID]bool
}

// of returns which crashes don't count against a record.
func (x *explanations) of(r *Record) func(fleet.ID) bool {
	isSoundPart := r.isPart() && r.WasSound
	return func(target fleet.ID) bool { return x.explained[target] || isSoundPart && x.forSoundParts[target] }
}

// explain adds a record's crashes to a set of explained ones.
func (e *evaluation) explain(r *Record, explained map[fleet.ID]bool) {
	for _, c := range r.Crashes {
		explained[c.Target] = true
	}
}

// takeMostSuspect removes and returns the candidate with the most unexplained crashes among
// those to refuse; nil if there is none. A request precedes its parts, which others may share.
func (e *evaluation) takeMostSuspect() *Record {
	var worst *Record
	most := 0
	for _, r := range e.candidates {
		n := r.unexplainedCrashes(e.of(r))
		isWorse := n > most || n == most && worst != nil && r.precedes(worst)
		if isWorse && n >= e.maxCrashes && e.shouldRefuse(r) {
			worst, most = r, n
		}
	}
	if worst != nil {
		e.drop(worst)
	}
	return worst
}

// precedes reports whether a record is the more likely cause of the same crashes: a request before its
// parts, and a part that was not served shortly before them.
func (r *Record) precedes(other *Record) bool {
	if r.isPart() != other.isPart() {
		return !r.isPart()
	}
	return !r.WasSound && other.WasSound
}

func (e *evaluation) drop(r *Record) {
	e.candidates = slices.DeleteFunc(e.candidates, func(other *Record) bool { return other == r })
}

// tied returns another candidate with as many crashes that shares so many of them that r has too
// few of its own; nil if there is none.
func (e *evaluation) tied(r *Record) *Record {
	n := r.unexplainedCrashes(e.of(r))
	if r.isPart() && r.unexplainedSteps(e.of(r)) > e.maxCrashes {
		return nil // run apart, they have crashed their targets together again
	}
	for _, other := range e.candidates {
		if other.isPart() != r.isPart() || other.WasSound != r.WasSound {
			continue
		}
		if other.unexplainedCrashes(e.of(r)) != n || !e.shouldRefuse(other) {
			continue
		}
		if shared := e.sharedCrashes(r, other); shared > 0 && n-shared < e.maxCrashes {
			return other
		}
	}
	return nil
}

// sharedCrashes counts the unexplained crashes that two requests have in common.
func (e *evaluation) sharedCrashes(a, b *Record) int {
	n := 0
	for _, c := range a.Crashes {
		if !e.explained[c.Target] && b.hasCrash(c.Target) {
			n++
		}
	}
	return n
}

// Assessment holds the inputs of a request's finding, for logs.
type Assessment struct {
	// Crashes and Steps are the request's crashes that no refused request explains, and their
	// steps; Served is the number of its successful runs since the first.
	Crashes, Steps, Served int
	// OtherCrashes is the number of targets that crashed without the request within
	// backgroundWindow, ConcurrentCrashes within concurrentWindow.
	OtherCrashes, ConcurrentCrashes int
	// NeededCrashes is the number of crashes that refuse the request, ExemptServed the number of
	// successful runs that exempts it.
	NeededCrashes, ExemptServed int
	// Coincidence is the probability that the request met its crashes by chance; negative if the
	// duration of a run is unknown.
	Coincidence float64
	// Chance is the probability that a request which is always in flight meets as many of the
	// crashes by chance.
	Chance float64
}

// assess returns the inputs of a candidate's finding.
func (e *evaluation) assess(r *Record) Assessment {
	a := Assessment{
		Crashes: r.unexplainedCrashes(e.of(r)), Steps: r.unexplainedSteps(e.of(r)), Served: r.Served,
		OtherCrashes: e.crashesWithout(r, backgroundWindow), ConcurrentCrashes: e.crashesWithout(r, concurrentWindow),
		NeededCrashes: e.maxCrashes, Coincidence: -1,
	}
	a.Chance = chanceOfCrashes(a.Crashes, a.OtherCrashes, r.fewestTargets())
	if probability, known := e.coincidenceProbability(r, a.OtherCrashes); known {
		a.Coincidence = probability
	}
	perStep := exemptServedPerStep
	if a.OtherCrashes > 0 {
		perStep = exemptServedPerStepAmongCrashes
	}
	// Served counts from the first crash on, which spans one step less.
	a.ExemptServed = perStep * max(a.Steps-1, 1)
	switch {
	case r.isPart() && a.Chance <= plausibleChance:
	case a.OtherCrashes >= a.Crashes && !a.coincidenceUnlikely(), a.Served > 0 && a.coincidenceLikely():
		a.NeededCrashes += extraCrashes
	}
	return a
}

// minPartRequests is the number of different requests that a part's crashes must have. The crashes of a
// single one are held against the request.
const minPartRequests = 2

// shouldRefuse reports whether a candidate's unexplained crashes suffice to refuse it.
func (e *evaluation) shouldRefuse(r *Record) bool {
	a := e.assess(r)
	if r.isPart() {
		return a.Steps >= a.NeededCrashes && r.unexplainedRequests(e.of(r)) >= minPartRequests
	}
	if a.Served >= a.ExemptServed || a.mayBeBystander() {
		return false
	}
	return a.Steps >= a.NeededCrashes || a.Crashes >= a.NeededCrashes && a.ConcurrentCrashes == 0
}

// plausibleChance is the chance above which a request that was served may have met its crashes as a
// bystander. It is low because each of a service's requests is evaluated after each of its crashes,
// so that a series of crashes has many occasions to single one out.
const plausibleChance = 0.002

// mayBeBystander reports whether a request that was served while other targets crashed may have met
// its own crashes by chance, as one that is always in flight does in a series of crashes.
func (a *Assessment) mayBeBystander() bool {
	return a.Served > 0 && a.OtherCrashes > 0 && a.Chance > plausibleChance
}

// chanceOfCrashes returns the probability that a request which is always in flight on one of the
// targets meets at least this many of the crashes, if others is the number of those it did not
// meet. The first one is left out, because a request's record begins with it.
func chanceOfCrashes(crashes, others, targets int) float64 {
	return binomialTail(crashes-1+others, crashes-1, 1/float64(max(targets, 1)))
}

// binomialTail returns the probability of at least least successes in n trials.
func binomialTail(n, least int, p float64) float64 {
	if least <= 0 || p >= 1 {
		return 1
	}
	tail, term := 0.0, math.Pow(1-p, float64(n))
	for k := range n + 1 {
		if k >= least {
			tail += term
		}
		term *= float64(n-k) / float64(k+1) * p / (1 - p)
	}
	return min(tail, 1)
}

// Bounds on the probability that all of a request's crashes are coincidences, given the crash
// rate at the time: below the first they are not, above the second they may well be.
const (
	unlikelyProbability = 0.0001
	likelyProbability   = 0.02
)

// coincidenceUnlikely and coincidenceLikely report whether the request's crashes are known to be
// no coincidence, or known to be a plausible one. The first matters if targets also crash on
// their own while a request crashes its targets right after each send, the second in a series of
// crashes that a popular request meets by chance.
func (a *Assessment) coincidenceUnlikely() bool {
	return a.Coincidence >= 0 && a.Coincidence < unlikelyProbability
}

func (a *Assessment) coincidenceLikely() bool { return a.Coincidence > likelyProbability }

// coincidenceProbability returns the probability that a crash hits each of the request's crashed
// runs by chance, at the crash rate around them. It returns false if the duration of a run is
// unknown.
func (e *evaluation) coincidenceProbability(r *Record, otherCrashes int) (float64, bool) {
	first, last := e.crashInterval(r, backgroundWindow)
	span := max(last.Sub(first), minCrashInterval)
	crashRate := float64(otherCrashes+r.unexplainedCrashes(e.of(r))) / span.Seconds()
	probability := 1.0
	for _, c := range r.Crashes {
		if e.explained[c.Target] {
			continue
		}
		if c.Elapsed == 0 {
			return 0, false
		}
		probability *= 1 - math.Exp(-crashRate*c.Elapsed.Seconds())
	}
	return probability, true
}

// minCrashInterval is the shortest interval used to compute a crash rate.
const minCrashInterval = 100 * time.Millisecond

// crashInterval returns the times of the first and last crash of any target between margin
// before the request's first crash and concurrentWindow after its last.
func (e *evaluation) crashInterval(r *Record, margin time.Duration) (first, last time.Time) {
	window := e.unexplainedWithin(r, margin)
	if len(window) == 0 {
		return time.Time{}, time.Time{}
	}
	return window[0].At, window[len(window)-1].At
}

// crashesWithout counts the crashes of other targets between margin before the request's first
// crash and concurrentWindow after its last.
func (e *evaluation) crashesWithout(r *Record, margin time.Duration) int {
	window := e.unexplainedWithin(r, margin)
	n := len(window)
	if n == 0 {
		return 0
	}
	first, last := window[0].At, window[n-1].At
	for _, c := range r.Crashes {
		if at := e.earliest[c.Target]; !e.explained[c.Target] && !at.Before(first) && !at.After(last) {
			n--
		}
	}
	return n
}

// unexplainedWithin returns the unexplained crashes of any target between margin before the request's first
// crash and concurrentWindow after its last, ordered by time.
func (e *evaluation) unexplainedWithin(r *Record, margin time.Duration) []Crash {
	all := e.unexplainedByTime()
	first, last := r.crashSpan()
	byTime := func(c Crash, t time.Time) int { return c.At.Compare(t) }
	from, _ := slices.BinarySearchFunc(all, first.Add(-margin), byTime)
	to, _ := slices.BinarySearchFunc(all, last.Add(concurrentWindow+1), byTime)
	return all[from:max(from, to)]
}

// unexplainedByTime returns those of crashesByTime that are not explained.
func (e *evaluation) unexplainedByTime() []Crash {
	if e.unexplained != nil && e.unexplainedOf == len(e.explained) {
		return e.unexplained
	}
	e.unexplained, e.unexplainedOf = make([]Crash, 0, len(e.crashesByTime())), len(e.explained)
	for _, c := range e.crashesByTime() {
		if !e.explained[c.Target] {
			e.unexplained = append(e.unexplained, c)
		}
	}
	return e.unexplained
}

// crashesByTime returns the crash of each incarnation once, ordered by time.
func (e *evaluation) crashesByTime() []Crash {
	if e.timeline != nil {
		return e.timeline
	}
	e.earliest = map[fleet.ID]time.Time{}
	for _, r := range e.records {
		for _, c := range r.Crashes {
			if at, ok := e.earliest[c.Target]; !ok || c.At.Before(at) {
				e.earliest[c.Target] = c.At
			}
		}
	}
	for target, at := range e.earliest {
		e.timeline = append(e.timeline, Crash{Target: target, At: at})
	}
	slices.SortFunc(e.timeline, func(a, b Crash) int { return a.At.Compare(b.At) })
	return e.timeline
}
