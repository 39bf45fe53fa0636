package quarantine

import (
	"time"

	peerv1 "github.com/toucanwell/toucanwell/api/peer/v1"
	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// maxElapsed bounds the elapsed time of a run in a message.
const maxElapsed = time.Hour

// maxTargets bounds the number of targets in a message.
const maxTargets = 1 << 20

// maxNameLength bounds the names of workspace and route in a message, so that several records
// fit into a datagram.
const maxNameLength = 48

// ToMessage encodes a record for other processes. Times are encoded as ages, because the
// processes' clocks differ.
func ToMessage(r *Record, now time.Time) *peerv1.Suspect {
	m := &peerv1.Suspect{
		Print: uint64(r.Fingerprint), Generation: r.Generation, Served: uint32(r.Served), Trial: r.ProbationRun.Number,
		Probations: uint32(r.Probations), Pardoned: uint32(r.PardonedProbations), Forgiven: uint32(r.ForgivenCrashes),
	}
	if !r.ReleasedAt.IsZero() {
		m.RenewedAgeMs = age(r.ReleasedAt, now)
	}
	if m.Part, m.WasSound = r.Part, r.WasSound; !r.SoundAt.IsZero() {
		m.HasSound, m.SoundAgeMs = true, age(r.SoundAt, now)
	}
	if r.ProbationRun.Target != 0 {
		m.TrialTarget, m.TrialAgeMs = uint32(r.ProbationRun.Target), age(r.ProbationRun.StartedAt, now)
	}
	for _, c := range r.Crashes {
		m.Ends = append(m.Ends, &peerv1.TargetEnd{Target: uint32(c.Target), Step: uint32(c.Step), AgeMs: age(c.At, now), RanMs: uint32(min(c.Elapsed, maxElapsed).Milliseconds()), Targets: uint32(c.Targets), Request: c.Request, Workspace: c.Workspace})
	}
	for i := range r.Unconfirmed {
		if u := &r.Unconfirmed[i]; now.Sub(u.At) <= unconfirmedTimeout {
			m.Unconfirmed = append(m.Unconfirmed, &peerv1.UnconfirmedEnd{Target: uint32(u.Target), Step: uint32(u.Step), AgeMs: age(u.At, now), Dismissed: u.Dismissed})
		}
	}
	if len(r.Crashes) > 1 {
		m.Workspace, m.Route = r.Workspace[:min(len(r.Workspace), maxNameLength)], r.Route[:min(len(r.Route), maxNameLength)]
	}
	return m
}

// FromMessage decodes a record that was received now.
func FromMessage(m *peerv1.Suspect, now time.Time) Record {
	r := Record{
		Fingerprint: Fingerprint(m.Print), Generation: m.Generation, Served: int(m.Served), Workspace: m.Workspace, Route: m.Route,
		ProbationRun: ProbationRun{Number: m.Trial, Target: fleet.ID(m.TrialTarget)},
		Probations:   int(m.Probations), PardonedProbations: int(m.Pardoned), ForgivenCrashes: int(m.Forgiven),
	}
	r.Part = m.Part[:min(len(m.Part), maxNameLength)]
	r.WasSound = m.WasSound
	if m.HasSound {
		r.SoundAt = ago(m.SoundAgeMs, now)
	}
	if r.Generation > 0 {
		r.ReleasedAt = ago(m.RenewedAgeMs, now)
	}
	if r.ProbationRun.Target != 0 {
		r.ProbationRun.StartedAt = ago(m.TrialAgeMs, now)
	}
	for _, c := range m.Ends[:min(len(m.Ends), maxRecordedCrashes)] {
		r.Crashes = append(r.Crashes, Crash{Target: fleet.ID(c.Target), Step: int(c.Step), At: ago(c.AgeMs, now), Elapsed: min(time.Duration(c.RanMs)*time.Millisecond, maxElapsed), Targets: int(min(c.Targets, maxTargets)), Request: c.Request, Workspace: c.Workspace})
	}
	for _, u := range m.Unconfirmed[:min(len(m.Unconfirmed), maxUnconfirmed)] {
		r.Unconfirmed = append(r.Unconfirmed, UnconfirmedCrash{Target: fleet.ID(u.Target), Step: int(u.Step), At: ago(u.AgeMs, now), Dismissed: u.Dismissed})
	}
	return r
}

func age(at, now time.Time) uint64 { return uint64(max(now.Sub(at), 0).Milliseconds()) }

// maxAge prevents overflow of time.Duration.
const maxAge = 100 * 365 * 24 * time.Hour

func ago(ms uint64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(ms, uint64(maxAge.Milliseconds()))) * time.Millisecond)
}
