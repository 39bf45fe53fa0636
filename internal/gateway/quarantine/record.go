package quarantine

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// End is a target that ended while it worked on a request.
type Crash struct {
	// Target is the life that ended.
	Target fleet.ID
	// Step is how many steps the sender knew of when it sent the request. Sends that were
	// under way at the same time are of one step: whatever ended their targets at once, one
	// cause is enough for all.
	Step int
	// At is when the end became known.
	At time.Time
	// Ran is how long the request had been under way at the target; zero when that is not
	// known.
	Elapsed time.Duration
}

// Trial is a run of a suspect, of which there is one at a time.
type ProbationRun struct {
	// Number grows with each beginning and each end of a trial.
	Number uint32
	// Target is where it runs; zero while none does.
	Target fleet.ID
	// Since is when it began.
	StartedAt time.Time
}

// Record is what is known of one request.
type Record struct {
	Fingerprint Fingerprint
	// Workspace and Route are the caller's, for operators.
	Workspace, Route string
	// Generation grows each time an operator lets the request go, and the record begins
	// anew. A higher one replaces all of a lower one.
	Generation uint32
	// Ends are in the order in which they became known.
	Crashes []Crash
	// Served is how many of its runs went well since the first end. Each process counts on
	// from what it has heard; two that count at once count one.
	Served       int
	ProbationRun ProbationRun
	// RenewedAt is when the request was let go last; zero when it never was.
	ReleasedAt time.Time
	// Probations is how many runs of it were begun while it was refused. Pardoned is how many
	// had been when one of them went well last, and Forgiven how many ends were known then:
	// those are no longer held against it.
	Probations, PardonedProbations, ForgivenCrashes int
}

// ChangedAt is when the last end became known, or when the request was let go after it.
//
// The failure guarded against: a word is as old at its receiver as its sender said, without
// the time that it was under way. Were the latest of two words believed, each telling would
// make a record younger, and among many processes none would ever be old enough to be
// forgotten. Of each fact the earliest word counts.
func (r *Record) ChangedAt() time.Time {
	at := r.ReleasedAt
	for _, e := range r.Crashes {
		if e.At.After(at) {
			at = e.At
		}
	}
	return at
}

const (
	// maxEnds bounds the ends that a record holds: far more than it takes to refuse a
	// request, so that it explains the ends of those that stood beside it.
	maxEnds = 16
	// servedPerStep is how many runs must go well for each step so that a request may run
	// anywhere again.
	servedPerStep = 3
	// innocentPerStep is how many must between two steps for a request not to be refused although no target
	// ended without it. What is asked for all the time is under way whenever a target
	// crashes, and is served hundreds of times between; one that ends a third of the targets
	// is served a dozen times while those it ended start again.
	innocentPerStep = 30
	// besidePerStep is the same when others ended without it: one that ends its target on
	// every second run is served once, or hardly more often, for each end.
	besidePerStep = 2
	// trialFor is how long a trial counts when its end is not told: its entry has ended or
	// was cut off. Few answers take longer.
	trialFor = 20 * time.Second
)

// span is from the request's first end to its last; there is one at least.
func (r *Record) span() (first, last time.Time) {
	first, last = r.Crashes[0].At, r.Crashes[0].At
	for _, e := range r.Crashes {
		if e.At.Before(first) {
			first = e.At
		}
		if e.At.After(last) {
			last = e.At
		}
	}
	return first, last
}

// end reports whether the record holds a life's end.
func (r *Record) end(target fleet.ID) bool {
	return slices.ContainsFunc(r.Crashes, func(e Crash) bool { return e.Target == target })
}

// change is what taking in a word has changed.
type change uint8

const (
	// nothing was changed, a detail, or something that the others should hear of.
	nothing change = iota
	detail
	news
)

// addEnd adds an end. Of two words of the same life the earlier counts, and the lower step:
// it makes no difference who is heard first.
func (r *Record) addEnd(e Crash) change {
	i := slices.IndexFunc(r.Crashes, func(o Crash) bool { return o.Target == e.Target })
	if i < 0 {
		if len(r.Crashes) >= maxEnds {
			return nothing
		}
		r.Crashes = append(r.Crashes, e)
		return news
	}
	known := &r.Crashes[i]
	changed := nothing
	if e.At.Before(known.At) {
		known.At, changed = e.At, detail
	}
	if e.Elapsed > 0 && (known.Elapsed == 0 || e.Elapsed < known.Elapsed) {
		known.Elapsed, changed = e.Elapsed, detail
	}
	if e.Step < known.Step {
		known.Step, changed = e.Step, news
	}
	return changed
}

// merge takes in what another process knows.
func (r *Record) merge(o *Record) change {
	if o.Generation < r.Generation {
		return nothing
	}
	if o.Generation > r.Generation {
		workspace, route := r.Workspace, r.Route
		*r = o.clone()
		r.describe(workspace, route)
		return news
	}
	changed := nothing
	if o.ReleasedAt.Before(r.ReleasedAt) {
		r.ReleasedAt = o.ReleasedAt
	}
	for _, e := range o.Crashes {
		changed = max(changed, r.addEnd(e))
	}
	if o.Served > r.Served {
		r.Served, changed = o.Served, news
	}
	if o.Probations > r.Probations || o.PardonedProbations > r.PardonedProbations || o.ForgivenCrashes > r.ForgivenCrashes {
		r.Probations, r.PardonedProbations, r.ForgivenCrashes = max(r.Probations, o.Probations), max(r.PardonedProbations, o.PardonedProbations), max(r.ForgivenCrashes, o.ForgivenCrashes)
		changed = news
	}
	if o.ProbationRun.Number > r.ProbationRun.Number {
		r.ProbationRun, changed = o.ProbationRun, news
	}
	r.describe(o.Workspace, o.Route)
	return changed
}

// describe fills in whose request it is where that is not known.
func (r *Record) describe(workspace, route string) {
	if r.Workspace == "" {
		r.Workspace = workspace
	}
	if r.Route == "" {
		r.Route = route
	}
}

func (r *Record) clone() Record {
	c := *r
	c.Crashes = slices.Clone(r.Crashes)
	return c
}

// renew begins the record anew: nothing is held against the request any more.
func (r *Record) renew(now time.Time) {
	r.Generation++
	r.Crashes, r.Served, r.ProbationRun, r.ReleasedAt = nil, 0, ProbationRun{}, now
	r.Probations, r.PardonedProbations, r.ForgivenCrashes = 0, 0, 0
}

// tried reports whether a trial is under way.
func (r *Record) tried(now time.Time) bool {
	return r.ProbationRun.Target != 0 && now.Sub(r.ProbationRun.StartedAt) < trialFor
}

// steps counts the ends that came one after the other, of those that nothing else
// explains.
func (r *Record) steps(explained func(fleet.ID) bool) int {
	var seen []int
	for _, e := range r.Crashes {
		if !explained(e.Target) && !slices.Contains(seen, e.Step) {
			seen = append(seen, e.Step)
		}
	}
	return len(seen)
}

// cleared reports whether so many runs went well that the request may run anywhere.
func (r *Record) cleared(explained func(fleet.ID) bool) bool {
	return r.Served >= servedPerStep*max(r.steps(explained), 1)
}

// open counts the ends that nothing else explains.
func (r *Record) open(explained func(fleet.ID) bool) int {
	n := 0
	for _, e := range r.Crashes {
		if !explained(e.Target) {
			n++
		}
	}
	return n
}
