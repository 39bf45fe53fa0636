package quarantine

import (
	"slices"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID          string
	Fingerprint Fingerprint
}

// maxParts bounds the parts of a prompt that are tracked; the outermost ones come first.
const maxParts = 8

// PartsOf returns the parts of a prompt by their IDs, each once.
func PartsOf(ids []string) []Part {
	var parts []Part
	for _, id := range ids {
		if len(parts) < maxParts && !slices.ContainsFunc(parts, func(p Part) bool { return p.ID == id }) {
			parts = append(parts, Part{ID: id, Fingerprint: PartFingerprintOf(id)})
		}
	}
	return parts
}

func (r *Record) isPart() bool { return r.Part != "" }

// isLonePart reports whether a record is one of a part with a single crash. Each crash leaves such a
// record for every part in use, so these are not passed on from entry to entry: two entries with
// crashes of one part tell a common third one.
func (r *Record) isLonePart() bool { return r.isPart() && len(r.Crashes) == 1 && r.Generation == 0 }

// soundRetention is how long a record without crashes keeps its SoundAt. Other processes stop
// announcing the crashes before.
const soundRetention = time.Minute

// setSound records that a run of a part which had started then went well. A part that crashes its
// targets does so each time, so that earlier crashes had another cause.
func (r *Record) setSound(startedAt time.Time) change {
	if !startedAt.After(r.SoundAt) {
		return unchanged
	}
	r.SoundAt = startedAt
	known := len(r.Crashes)
	r.Crashes = slices.DeleteFunc(r.Crashes, func(c Crash) bool { return c.At.Before(startedAt) })
	if len(r.Crashes) < known {
		return majorChange
	}
	return minorChange
}

// unexplainedRequests counts the different requests with crashes that are not attributed elsewhere.
func (r *Record) unexplainedRequests(isExplained func(fleet.ID) bool) int {
	seen := map[uint32]bool{}
	for _, c := range r.Crashes {
		if !isExplained(c.Target) {
			seen[c.Request] = true
		}
	}
	return len(seen)
}

// nextPartStep returns the step of the next run. It exceeds those of all known crashes: which of them are
// explained changes while several suspects are told apart.
func (r *Record) nextPartStep() int {
	next := 0
	for _, c := range r.Crashes {
		next = max(next, c.Step+1)
	}
	return next
}

// concerns reports whether a part's crashes restrict the requests of a workspace. Callers name the
// parts of their prompts themselves: a workspace alone can accuse a part for its own requests only.
func (r *Record) concerns(workspace uint32) bool {
	for _, c := range r.Crashes {
		if c.Workspace == workspace || c.Workspace != r.Crashes[0].Workspace {
			return true
		}
	}
	return false
}

func crashedTargets(r *Record) map[fleet.ID]bool {
	targets := make(map[fleet.ID]bool, len(r.Crashes))
	for _, c := range r.Crashes {
		targets[c.Target] = true
	}
	return targets
}

// workspaceHash identifies a workspace in records of parts.
func workspaceHash(workspace string) uint32 {
	return uint32(PartFingerprintOf("workspace\x00" + workspace))
}

// partStatus returns the restriction of requests with a part. As for requests, the first crash sends
// all of them to one target, so that the next crash is one of few. Crashes of one step may have one
// cause, such as a power failure, and count as one.
func (q *Registry) partStatus(r *Record, now time.Time) Status {
	isExplained := q.explanations.of(r)
	steps := r.unexplainedSteps(isExplained)
	s := Status{Step: r.nextPartStep(), Crashes: r.unexplainedCrashes(isExplained)}
	switch {
	case q.applyFinding(&s, r, now):
	case steps > 1:
		s.Verdict = Alone
	case steps == 1 && !r.WasSound:
		s.Verdict = Apart
	}
	return s
}

// PartsStatus returns the most restrictive status of a prompt's parts for requests of a workspace, and
// the part that has it.
func (q *Registry) PartsStatus(parts []Part, workspace string, now time.Time) (Status, Part) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reevaluate(now)
	var worst Status
	var cause Part
	for _, part := range parts {
		r := q.records[part.Fingerprint]
		if r == nil || len(r.Crashes) == 0 || q.expired(r, now) || !r.concerns(workspaceHash(workspace)) {
			continue
		}
		// Of equal ones the one that is more likely to be the cause runs on probation, and with it the
		// request. The others are cleared by requests that lack it.
		s := q.status(r, now)
		if s.Verdict > worst.Verdict || s.Verdict == worst.Verdict && s.Verdict != Free && s.Crashes >= worst.Crashes {
			worst, cause = s, part
		}
	}
	return worst, cause
}

// suspectedCrashes returns the targets whose crash an unproved part has, one that was not served shortly
// before and has met two crashes. They don't count against parts that were: an outermost part that all
// requests share has every crash of the part that causes them.
func suspectedCrashes(records []*Record) map[fleet.ID]bool {
	targets := map[fleet.ID]bool{}
	for _, r := range records {
		if !r.isPart() || r.WasSound || len(r.Crashes) < 2 {
			continue
		}
		for _, c := range r.Crashes {
			targets[c.Target] = true
		}
	}
	return targets
}

// TrackParts adds the parts of its prompt to a run.
func (q *Registry) TrackParts(run *Run, parts []Part, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	run.startedAt = now
	for _, part := range parts {
		step := 0
		if r := q.records[part.Fingerprint]; r != nil {
			step = r.nextPartStep()
		}
		run.parts, run.partSteps = append(run.parts, part.Fingerprint), append(run.partSteps, step)
		q.runs[part.Fingerprint] = append(q.runs[part.Fingerprint], run)
	}
}

// cancelPartRuns cancels the runs with a part that were sent before its last crash was known. They may
// still be queued at other targets and would crash these, too.
func (q *Registry) cancelPartRuns(r *Record, now time.Time) {
	if r.unexplainedSteps(q.explanations.of(r)) < 2 && q.findings[r.Fingerprint] == 0 {
		return // the part may only have been in use
	}
	for _, run := range q.runs[r.Fingerprint] {
		isProbationRun := r.probationRunActive(now) && run.target == r.ProbationRun.Target
		if run.cancel == nil || run.responding || isProbationRun || run.startedAt.After(r.ChangedAt()) || r.hasCrash(run.target) {
			continue
		}
		run.cancel()
		run.cancel = nil
	}
}

// PartsRun is a run of a prompt, as far as its parts are concerned.
type PartsRun struct {
	Parts []Part
	// Steps has the [Crash.Step] for each part.
	Steps []int
	// StartedAt is when the run was sent.
	StartedAt time.Time
	// Request and Workspace are the request's.
	Request   Fingerprint
	Workspace string
}

// PartsOfRun returns what the registry knows of a run's parts.
func (run *Run) PartsOfRun(parts []Part, workspace string) PartsRun {
	return PartsRun{Parts: parts, Steps: run.partSteps, StartedAt: run.startedAt, Request: run.fingerprint, Workspace: workspace}
}

// AttributePartsCrash attributes the crash of a target to the parts of a prompt that ran on it. A part
// that was served lately is suspected only once a run of it that began after a crash has crashed, too.
func (q *Registry) AttributePartsCrash(run PartsRun, route string, c Crash) {
	if len(run.Parts) == 0 || len(run.Steps) < len(run.Parts) {
		return
	}
	c.Request, c.Workspace = uint32(run.Request), workspaceHash(run.Workspace)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(c.At)
	for i, part := range run.Parts {
		c.Step = run.Steps[i]
		crashes, wasSound := q.soundParts.admit(part.Fingerprint, c, run.StartedAt)
		for _, crash := range crashes {
			q.attributePartCrash(part, run.Workspace, route, crash, wasSound)
		}
	}
	q.evict()
	q.reevaluate(c.At)
}

func (q *Registry) attributePartCrash(part Part, workspace, route string, c Crash, wasSound bool) {
	r := q.recordOf(part.Fingerprint)
	r.Part, r.WasSound = part.ID, r.WasSound || wasSound
	r.fillCaller(workspace, route)
	if r.addCrash(c) != majorChange {
		return
	}
	q.observer.CrashAttributed(r, c, false)
	q.noteCrash(c.At)
	q.markChanged(part.Fingerprint, true)
	q.queueUpdate(part.Fingerprint)
}

// MarkPartsSound records that a run of a prompt which had started then went well.
func (q *Registry) MarkPartsSound(parts []Part, startedAt, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, part := range parts {
		q.soundParts.add(part.Fingerprint, startedAt, now)
		r := q.records[part.Fingerprint]
		if r == nil || len(r.Crashes) == 0 {
			continue
		}
		if r.setSound(startedAt) == majorChange {
			q.observer.Cleared(r)
			q.markChanged(part.Fingerprint, true)
			q.queueUpdate(part.Fingerprint)
		}
	}
}
