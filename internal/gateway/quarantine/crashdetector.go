package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/upstream"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

const (
	// probeTimeout bounds the probe of a target that closed a connection. A host without a
	// listening process refuses within a round trip.
	probeTimeout = 50 * time.Millisecond
	// suspicionTimeout is how long a crash may take to show in the target list or in the
	// sidecar's reports. The list drops a target after three missed heartbeats.
	suspicionTimeout = 5 * time.Second
	// sidecarReportDelay bounds the time until a sidecar reports that its target is
	// unresponsive: it polls ten times a second.
	sidecarReportDelay = 300 * time.Millisecond
	// reprobeAfter is how long a target that accepted a probe counts as alive.
	reprobeAfter = 200 * time.Millisecond
	// firstRecheck is how long after a broken run its target is probed again if there was no
	// evidence of a crash: a process that crashes closes its connections and its listener within
	// a few milliseconds. On a busy host it takes longer, so more probes follow every
	// recheckInterval.
	firstRecheck    = 25 * time.Millisecond
	recheckInterval = 100 * time.Millisecond
	// acceptsToDismiss is the number of rechecks that must find a target listening to take it
	// for alive.
	acceptsToDismiss = 2
	// abandonedProbeDelay is how long after a run was abandoned its target is probed. A request
	// that crashes its target does so within a few hundred milliseconds.
	abandonedProbeDelay = 500 * time.Millisecond
	// cancelledTimeout replaces suspicionTimeout after a run was cancelled or abandoned. The target may have
	// started it and then crashes within a few hundred milliseconds.
	cancelledTimeout = unconfirmedTimeout
	// probeRetention is how long probe results are kept. All requests of a crashed target fail
	// within milliseconds.
	probeRetention = 10 * time.Second
)

// Evidence is why a target is taken to have crashed.
type Evidence string

const (
	// NoEvidence means that the target is alive or its state is unknown.
	NoEvidence Evidence = ""
	// RefusesConnections means that its host is up but no process listens.
	RefusesConnections Evidence = "refuses connections"
	// UnresponsiveToSidecar means that the target's sidecar gets no response from it.
	UnresponsiveToSidecar Evidence = "silent to its sidecar"
	// OtherIncarnation means that another incarnation is listed at its address.
	OtherIncarnation Evidence = "another life at its address"
	// Unlisted means that it has left the target list without draining.
	Unlisted Evidence = "left the list"
)

// CrashDetector tells crashed targets from broken connections. Targets that reset connections,
// network failures and planned shutdowns must not count against the requests in flight.
type CrashDetector struct {
	// probeListener returns whether a process listens at a target's address, and why this is
	// unknown.
	probeListener func(ctx context.Context, t *fleet.Target) (upstream.ListenerState, error)

	mu sync.Mutex
	// probes holds the recent probe of each incarnation, suspected the crashes that are not
	// confirmed yet.
	probes    map[fleet.ID]*refusalProbe
	suspected []SuspectedCrash
	// rechecking holds the targets that will be probed again.
	rechecking map[fleet.ID]bool
	// abandonedProbes holds the targets that will be probed because of an abandoned run.
	abandonedProbes map[fleet.ID]bool
	// dismissed are the suspected crashes for TakeDismissed, expired those for TakeExpired.
	dismissed, expired []SuspectedCrash
	// now is the clock of the times that callers pass. onRecheck is called after rechecks.
	now       func() time.Time
	onRecheck func()
}

type refusalProbe struct {
	startedAt time.Time
	done      chan struct{}
	// result is set when done is closed.
	result probeResult
}

// probeResult is the result of a probe of a target.
type probeResult struct {
	listener upstream.ListenerState
	// err is why the state of the listener is unknown.
	err  error
	took time.Duration
}

// SuspectedCrash is a request whose target may have crashed while running it.
type SuspectedCrash struct {
	Fingerprint Fingerprint
	Caller      Caller
	Target      fleet.Target
	// Parts are the parts of the request's prompt.
	Parts PartsRun
	// Unlisted is set if the target was not in the target list yet when the request was sent,
	// only in its sidecar's reports.
	Unlisted bool
	Step     int
	At       time.Time
	// Elapsed is how long the request had been in flight on the target.
	Elapsed time.Duration
	// ServiceTargets is the number of targets of the target's service.
	ServiceTargets int
	// RequestID identifies the attempt in logs.
	RequestID string
	// expiresAt is when an unconfirmed crash is dropped.
	expiresAt time.Time
	// recheck is set if the target is probed again until it is known to be alive. accepts counts
	// the rechecks that found it listening.
	recheck bool
	accepts int
	// cancelled is set if the run was cancelled after another target's crash, abandoned if it was
	// given up for another reason, before its target broke it off.
	cancelled, abandoned bool
}

// Crash returns the crash to attribute to the request.
func (s *SuspectedCrash) Crash() Crash {
	return Crash{Target: s.Target.ID, Step: s.Step, At: s.At, Elapsed: s.Elapsed, Targets: s.ServiceTargets}
}

// Unconfirmed returns the crash as long as there is no evidence of it.
func (s *SuspectedCrash) Unconfirmed() UnconfirmedCrash {
	return UnconfirmedCrash{Target: s.Target.ID, Step: s.Step, At: s.At}
}

// NewCrashDetector returns a detector that probes targets with probeListener.
func NewCrashDetector(probeListener func(ctx context.Context, t *fleet.Target) (upstream.ListenerState, error)) *CrashDetector {
	return &CrashDetector{probeListener: probeListener, probes: map[fleet.ID]*refusalProbe{}, rechecking: map[fleet.ID]bool{}, abandonedProbes: map[fleet.ID]bool{}, now: time.Now, onRecheck: func() {}}
}

// Detection is the result of Detect.
type Detection struct {
	Evidence Evidence
	// Probed is set if the target was probed, which took ProbeTook. ProbeError is why the state of
	// its listener is unknown.
	Probed     bool
	Listener   upstream.ListenerState
	ProbeError error
	ProbeTook  time.Duration
	// Suspected is set if the crash is kept for Resolve.
	Suspected bool
}

// Detect returns the evidence that a target which broke off a request has crashed. Without
// evidence it keeps the suspected crash for Resolve.
func (d *CrashDetector) Detect(ctx context.Context, v *view.View, s SuspectedCrash) Detection {
	listed, found := findListed(v, &s.Target)
	switch {
	case found && listed.Leaving:
		return Detection{}
	case v.Unresponsive[s.Target.Address]:
		return Detection{Evidence: UnresponsiveToSidecar}
	case !found && !s.Unlisted && !replaced(v, &s.Target):
		return Detection{} // unlisted before the crash: planned shutdown
	case !found && !s.Unlisted:
		return Detection{Evidence: OtherIncarnation}
	}
	p := d.probe(ctx, &s.Target, s.At, reprobeAfter)
	result := Detection{Probed: true, Listener: p.listener, ProbeError: p.err, ProbeTook: p.took}
	if result.Listener == upstream.ListenerRefuses {
		result.Evidence = RefusesConnections
		return result
	}
	s.recheck, result.Suspected = true, true
	d.add(s, suspicionTimeout)
	d.scheduleRecheck(s.Target)
	return result
}

// AddCancelled keeps a suspected crash for a run that was cancelled before its target responded, and
// probes the target until cancelledTimeout has passed. If the target had already started the run and
// crashes, the crash would otherwise count as one without the request, or as none.
func (d *CrashDetector) AddCancelled(s SuspectedCrash) {
	s.cancelled, s.recheck = true, true
	d.add(s, cancelledTimeout)
	d.scheduleRecheck(s.Target)
}

// AddAbandoned keeps a suspected crash for a run whose caller has left or whose time is up. If the
// target crashes a moment later, a caller who comes back would otherwise crash one target after the
// other. Most such targets are alive, so nothing is suspected before there is evidence.
func (d *CrashDetector) AddAbandoned(s SuspectedCrash) {
	s.abandoned = true
	d.add(s, cancelledTimeout)
	d.scheduleAbandonedProbe(s.Target)
}

func (d *CrashDetector) add(s SuspectedCrash, timeout time.Duration) {
	s.expiresAt = s.At.Add(timeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspected = append(d.suspected, s)
}

// probe probes whether a process listens at a target's address. Concurrent calls for the same
// target share one probe; a completed one that was not refused is used again up to maxAge.
func (d *CrashDetector) probe(ctx context.Context, t *fleet.Target, now time.Time, maxAge time.Duration) probeResult {
	d.mu.Lock()
	p := d.probes[t.ID]
	first := p == nil || p.outdated(now, maxAge)
	if first {
		p = &refusalProbe{startedAt: now, done: make(chan struct{})}
		d.probes[t.ID] = p
		d.evictProbes(now)
	}
	d.mu.Unlock()
	// The result serves all requests of the target, so the probe outlives the first caller's
	// context.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	if first {
		start := time.Now()
		p.result.listener, p.result.err = d.probeListener(ctx, t)
		p.result.took = time.Since(start)
		close(p.done)
	}
	select {
	case <-p.done:
		return p.result
	case <-ctx.Done():
		return probeResult{err: context.Cause(ctx), took: probeTimeout}
	}
}

// outdated reports whether the probe completed without being refused and is older than maxAge.
func (p *refusalProbe) outdated(now time.Time, maxAge time.Duration) bool {
	select {
	case <-p.done:
		return p.result.listener != upstream.ListenerRefuses && now.Sub(p.startedAt) > maxAge
	default:
		return false
	}
}

// foundRefusing reports whether the probe has completed and was refused.
func (p *refusalProbe) foundRefusing() bool {
	select {
	case <-p.done:
		return p.result.listener == upstream.ListenerRefuses
	default:
		return false
	}
}

func (d *CrashDetector) evictProbes(now time.Time) {
	for id, p := range d.probes {
		if now.Sub(p.startedAt) > probeRetention {
			delete(d.probes, id)
		}
	}
}

// Resolve returns the suspected crashes that the view confirms, with the evidence. It drops
// those whose target is draining and those that have expired.
func (d *CrashDetector) Resolve(v *view.View, now time.Time) ([]SuspectedCrash, []Evidence) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var resolved []SuspectedCrash
	var reasons []Evidence
	remaining := d.suspected[:0]
	for _, s := range d.suspected {
		listed, found := findListed(v, &s.Target)
		s.Unlisted = s.Unlisted && !found
		evidence := viewEvidence(v, &s, found)
		if s.abandoned && evidence == UnresponsiveToSidecar {
			evidence = NoEvidence // a target that hangs makes many callers leave
		}
		if p := d.probes[s.Target.ID]; p != nil && p.foundRefusing() {
			evidence = RefusesConnections
		}
		switch {
		case found && listed.Leaving:
		case now.After(s.expiresAt):
			if s.recheck {
				d.expired = append(d.expired, s)
			}
		case evidence != NoEvidence:
			resolved, reasons = append(resolved, s), append(reasons, evidence)
		default:
			remaining = append(remaining, s)
		}
	}
	d.suspected = remaining
	return resolved, reasons
}

// viewEvidence returns the view's evidence for a suspected crash. Found tells whether the view
// lists the target.
func viewEvidence(v *view.View, s *SuspectedCrash, found bool) Evidence {
	switch {
	case v.Unresponsive[s.Target.Address]:
		return UnresponsiveToSidecar
	case found || s.Unlisted:
		return NoEvidence
	case replaced(v, &s.Target):
		return OtherIncarnation
	case v.Engines[s.Target.Incarnation].AsOf.Sub(s.At) > sidecarReportDelay:
		return NoEvidence // its sidecar still reports it: unlisted but running
	case v.TargetsCurrentAt.After(s.At):
		return Unlisted
	default:
		return NoEvidence
	}
}

// replaced reports whether another incarnation is listed at the target's address.
func replaced(v *view.View, t *fleet.Target) bool {
	for _, list := range v.Targets {
		for i := range list {
			if list[i].Address == t.Address && !list[i].Incarnation.Matches(t.Incarnation) {
				return true
			}
		}
	}
	return false
}

// IsListed reports whether the view lists the target's incarnation.
func IsListed(v *view.View, t *fleet.Target) bool {
	_, found := findListed(v, t)
	return found
}

// findListed returns the target as the view lists it.
func findListed(v *view.View, t *fleet.Target) (*fleet.Target, bool) {
	list := v.Targets[t.Service]
	for i := range list {
		if list[i].Incarnation.Matches(t.Incarnation) {
			return &list[i], true
		}
	}
	return nil, false
}
