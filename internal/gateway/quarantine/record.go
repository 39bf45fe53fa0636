package quarantine

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Crash is the crash of a target that was running a request.
type Crash struct {
	// Target is the incarnation that crashed.
	Target fleet.ID
	// Step is the number of earlier steps that the sender knew when it sent the request. Runs
	// that were in flight at the same time share a step, because a single cause can crash all of
	// their targets.
	Step int
	// At is when the crash was observed.
	At time.Time
	// Elapsed is how long the request had been in flight on the target; zero if unknown.
	Elapsed time.Duration
	// Targets is the number of targets of the same service at the time; zero if unknown.
	Targets int
	// Request and Workspace identify a request with the part that the target ran, in records of
	// parts.
	Request, Workspace uint32
}

// ProbationRun is the only run of a suspect in flight.
type ProbationRun struct {
	// Number increases whenever a probation run starts or ends.
	Number uint32
	// Target is where it runs; zero if none is in flight.
	Target    fleet.ID
	StartedAt time.Time
}

// Record holds the crashes attributed to a request. Processes announce their records to each
// other and merge them. Announcements may be lost, repeated or reordered.
type Record struct {
	Fingerprint Fingerprint
	// Part is the ID of a part of prompts; empty in records of requests.
	Part string
	// SoundAt is when the last run of a part that went well had started; zero if none has. Earlier
	// crashes are not the part's. Records of requests count Served instead.
	SoundAt time.Time
	// WasSound is set if the part was served shortly before the first of its crashes at some process.
	WasSound bool
	// Workspace and Route identify the caller to operators.
	Workspace, Route string
	// Generation increases when an operator releases the request. Merging keeps the record of
	// the higher generation.
	Generation uint32
	// Crashes are in the order in which they were observed.
	Crashes []Crash
	// Unconfirmed are in the order in which they were observed.
	Unconfirmed []UnconfirmedCrash
	// Served is the number of successful runs since the first crash, which may have been
	// unconfirmed at the time. Merging takes the maximum, so that concurrent runs at two processes
	// may count once.
	Served       int
	ProbationRun ProbationRun
	// ReleasedAt is when the request was last released; zero if never.
	ReleasedAt time.Time
	// Probations is the number of probation runs started while the request was refused.
	// PardonedProbations and ForgivenCrashes are the numbers of probations and of crashes when a
	// probation run last succeeded.
	Probations, PardonedProbations, ForgivenCrashes int
}

// ChangedAt returns when the last crash was observed, or when the request was released after it.
//
// A received age does not include the time in transit, so a record looks younger with each hop.
// Merging therefore keeps the earliest time of each crash; otherwise records that are announced
// again and again would never expire.
func (r *Record) ChangedAt() time.Time {
	at := r.ReleasedAt
	for _, c := range r.Crashes {
		if c.At.After(at) {
			at = c.At
		}
	}
	return at
}

const (
	// maxRecordedCrashes bounds the crashes of a record. It is well above the number that
	// refuses a request, so that a refused request explains the crashes of requests that ran
	// beside it.
	maxRecordedCrashes = 16
	// servedPerStep is the number of successful runs per step after which a suspect may run on
	// any target again.
	servedPerStep = 3
	// exemptServedPerStep is the number of successful runs between two steps that exempts a
	// request from refusal. A popular request is served hundreds of times between crashes that
	// it does not cause; one that crashes a third of the targets is served a dozen times.
	exemptServedPerStep = 30
	// exemptServedPerStepAmongCrashes replaces exemptServedPerStep if targets also crashed
	// without the request. One that crashes its target on every second run is served about once
	// per crash.
	exemptServedPerStepAmongCrashes = 2
	// probationRunTimeout is how long a probation run counts as in flight if its end is not
	// announced, because the entry that started it has stopped or is unreachable.
	probationRunTimeout = 20 * time.Second
)

// crashSpan returns the times of the request's first and last crash; it must have one.
func (r *Record) crashSpan() (first, last time.Time) {
	first, last = r.Crashes[0].At, r.Crashes[0].At
	for _, c := range r.Crashes {
		if c.At.Before(first) {
			first = c.At
		}
		if c.At.After(last) {
			last = c.At
		}
	}
	return first, last
}

// fewestTargets returns the lowest known number of targets at the request's crashes; zero if none
// is known.
func (r *Record) fewestTargets() int {
	fewest := 0
	for _, c := range r.Crashes {
		if c.Targets > 0 && (fewest == 0 || c.Targets < fewest) {
			fewest = c.Targets
		}
	}
	return fewest
}

// crashTargets returns the targets of all crashes, also of those that are not confirmed.
func (r *Record) crashTargets() []fleet.ID {
	targets := make([]fleet.ID, 0, len(r.Crashes)+len(r.Unconfirmed))
	for _, c := range r.Crashes {
		targets = append(targets, c.Target)
	}
	for _, u := range r.Unconfirmed {
		targets = append(targets, u.Target)
	}
	return targets
}

// hasCrash reports whether the crash of an incarnation is attributed to the request.
func (r *Record) hasCrash(target fleet.ID) bool {
	return slices.ContainsFunc(r.Crashes, func(c Crash) bool { return c.Target == target })
}

// change is the effect of a merge.
type change uint8

const (
	// A minorChange need not be announced, a majorChange must be.
	unchanged change = iota
	minorChange
	majorChange
)

// addCrash adds a crash. For a known incarnation it keeps the earlier time and the lower step,
// so that the order of calls does not matter.
func (r *Record) addCrash(c Crash) change {
	if c.At.Before(r.SoundAt) {
		return unchanged
	}
	r.resetServed(c.Target, c.At)
	r.removeUnconfirmed(c.Target)
	i := slices.IndexFunc(r.Crashes, func(other Crash) bool { return other.Target == c.Target })
	if i < 0 {
		if len(r.Crashes) >= maxRecordedCrashes {
			return unchanged
		}
		r.Crashes = append(r.Crashes, c)
		return majorChange
	}
	known := &r.Crashes[i]
	changed := unchanged
	if c.At.Before(known.At) {
		known.At, changed = c.At, minorChange
	}
	if c.Elapsed > 0 && (known.Elapsed == 0 || c.Elapsed < known.Elapsed) {
		known.Elapsed, changed = c.Elapsed, minorChange
	}
	if c.Targets > 0 && (known.Targets == 0 || c.Targets < known.Targets) {
		known.Targets, changed = c.Targets, minorChange
	}
	if c.Request < known.Request || c.Request == known.Request && c.Workspace < known.Workspace {
		known.Request, known.Workspace, changed = c.Request, c.Workspace, minorChange
	}
	if c.Step < known.Step {
		known.Step, changed = c.Step, majorChange
	}
	return changed
}

// merge merges the record of another process.
func (r *Record) merge(other *Record) change {
	if other.Generation < r.Generation {
		return unchanged
	}
	if other.Generation > r.Generation {
		workspace, route := r.Workspace, r.Route
		*r = other.clone()
		r.fillCaller(workspace, route)
		return majorChange
	}
	changed := r.setSound(other.SoundAt)
	if r.Part == "" {
		r.Part = other.Part
	}
	if other.WasSound && !r.WasSound {
		r.WasSound, changed = true, majorChange
	}
	if other.ReleasedAt.Before(r.ReleasedAt) {
		r.ReleasedAt = other.ReleasedAt
	}
	for _, c := range other.Crashes {
		changed = max(changed, r.addCrash(c))
	}
	for _, u := range other.Unconfirmed {
		changed = max(changed, r.addUnconfirmed(u))
	}
	if other.Served > r.Served {
		r.Served, changed = other.Served, majorChange
	}
	if other.Probations > r.Probations || other.PardonedProbations > r.PardonedProbations || other.ForgivenCrashes > r.ForgivenCrashes {
		r.Probations, r.PardonedProbations, r.ForgivenCrashes = max(r.Probations, other.Probations), max(r.PardonedProbations, other.PardonedProbations), max(r.ForgivenCrashes, other.ForgivenCrashes)
		changed = majorChange
	}
	if other.ProbationRun.Number > r.ProbationRun.Number {
		r.ProbationRun, changed = other.ProbationRun, majorChange
	}
	r.fillCaller(other.Workspace, other.Route)
	return changed
}

// fillCaller sets the caller where it is unknown.
func (r *Record) fillCaller(workspace, route string) {
	if r.Workspace == "" {
		r.Workspace = workspace
	}
	if r.Route == "" {
		r.Route = route
	}
}

func (r *Record) clone() Record {
	c := *r
	c.Crashes, c.Unconfirmed = slices.Clone(r.Crashes), slices.Clone(r.Unconfirmed)
	return c
}

// reset starts a new generation without crashes.
func (r *Record) reset(now time.Time) {
	r.Generation++
	r.Crashes, r.Unconfirmed, r.Served, r.ProbationRun, r.ReleasedAt = nil, nil, 0, ProbationRun{}, now
	r.SoundAt, r.WasSound = time.Time{}, false
	r.Probations, r.PardonedProbations, r.ForgivenCrashes = 0, 0, 0
}

// probationRunActive reports whether a probation run is in flight.
func (r *Record) probationRunActive(now time.Time) bool {
	return r.ProbationRun.Target != 0 && now.Sub(r.ProbationRun.StartedAt) < probationRunTimeout
}

// unexplainedStepNumbers returns the steps with crashes that are not attributed to a refused
// request.
func (r *Record) unexplainedStepNumbers(isExplained func(fleet.ID) bool) []int {
	var seen []int
	for _, c := range r.Crashes {
		if !isExplained(c.Target) && !slices.Contains(seen, c.Step) {
			seen = append(seen, c.Step)
		}
	}
	return seen
}

// unexplainedSteps counts the steps with crashes that are not attributed to a refused request.
func (r *Record) unexplainedSteps(isExplained func(fleet.ID) bool) int {
	return len(r.unexplainedStepNumbers(isExplained))
}

// cleared reports whether enough runs succeeded for the request to run on any target.
func (r *Record) cleared(isExplained func(fleet.ID) bool) bool {
	return r.Served >= servedPerStep*max(r.unexplainedSteps(isExplained), 1)
}

// unexplainedCrashes counts the crashes that are not attributed to a refused request.
func (r *Record) unexplainedCrashes(isExplained func(fleet.ID) bool) int {
	n := 0
	for _, c := range r.Crashes {
		if !isExplained(c.Target) {
			n++
		}
	}
	return n
}
