package quarantine

import (
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// longestRan bounds how long a request is said to have been under way.
const longestRan = time.Hour

// longestName bounds the names of workspace and route in a message: records of several
// requests fit into one datagram.
const longestName = 48

// Message is a record as other processes are told it. Clocks of two processes differ, so
// that it holds ages.
func ToMessage(r *Record, now time.Time) *peerv1.Suspect {
	m := &peerv1.Suspect{
		Print: uint64(r.Fingerprint), Generation: r.Generation, Served: uint32(r.Served), Trial: r.ProbationRun.Number,
		Probations: uint32(r.Probations), Pardoned: uint32(r.PardonedProbations), Forgiven: uint32(r.ForgivenCrashes),
	}
	if !r.ReleasedAt.IsZero() {
		m.RenewedAgeMs = age(r.ReleasedAt, now)
	}
	if r.ProbationRun.Target != 0 {
		m.TrialTarget, m.TrialAgeMs = uint32(r.ProbationRun.Target), age(r.ProbationRun.StartedAt, now)
	}
	for _, e := range r.Crashes {
		m.Ends = append(m.Ends, &peerv1.TargetEnd{Target: uint32(e.Target), Step: uint32(e.Step), AgeMs: age(e.At, now), RanMs: uint32(min(e.Elapsed, longestRan).Milliseconds())})
	}
	if len(r.Crashes) > 1 {
		m.Workspace, m.Route = r.Workspace[:min(len(r.Workspace), longestName)], r.Route[:min(len(r.Route), longestName)]
	}
	return m
}

// FromMessage is the record of a message that came now.
func FromMessage(m *peerv1.Suspect, now time.Time) Record {
	r := Record{
		Fingerprint: Fingerprint(m.Print), Generation: m.Generation, Served: int(m.Served), Workspace: m.Workspace, Route: m.Route,
		ProbationRun: ProbationRun{Number: m.Trial, Target: fleet.ID(m.TrialTarget)},
		Probations:   int(m.Probations), PardonedProbations: int(m.Pardoned), ForgivenCrashes: int(m.Forgiven),
	}
	if r.Generation > 0 {
		r.ReleasedAt = ago(m.RenewedAgeMs, now)
	}
	if r.ProbationRun.Target != 0 {
		r.ProbationRun.StartedAt = ago(m.TrialAgeMs, now)
	}
	for _, e := range m.Ends[:min(len(m.Ends), maxEnds)] {
		r.Crashes = append(r.Crashes, Crash{Target: fleet.ID(e.Target), Step: int(e.Step), At: ago(e.AgeMs, now), Elapsed: min(time.Duration(e.RanMs)*time.Millisecond, longestRan)})
	}
	return r
}

func age(at, now time.Time) uint64 { return uint64(max(now.Sub(at), 0).Milliseconds()) }

// longestAge keeps ages within what a duration holds.
const longestAge = 100 * 365 * 24 * time.Hour

func ago(ms uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(ms, uint64(longestAge.Milliseconds()))) * time.Millisecond)
}
