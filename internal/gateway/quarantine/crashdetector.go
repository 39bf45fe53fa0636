package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

const (
	// probeTimeout is how long a target that broke a connection off is waited for to say whether
	// it still listens. A process that has ended refuses within a round trip.
	probeTimeout = 50 * time.Millisecond
	// suspicionTimeout is how long the end of a target may take to show in the list, or in its
	// sidecar's word, when it could not be told at once: the list drops a target after
	// three of its heartbeats.
	suspicionTimeout = 5 * time.Second
	// sidecarReportDelay is within which time a sidecar tells of the end of its target: it asks ten
	// times a second, and tells at once.
	sidecarReportDelay = 300 * time.Millisecond
	// reprobeAfter is how long a target that was found to listen is believed to.
	reprobeAfter = 200 * time.Millisecond
	// cancelledTimeout is the same for a target at which a send was given up: it may have begun to
	// run the request, and ends within some hundred milliseconds then.
	cancelledTimeout = time.Second
	// probeRetention is how long it is remembered that a target has ended. All that it worked
	// on breaks off within some milliseconds.
	probeRetention = 10 * time.Second
)

// Evidence is what says that a target has ended.
type Evidence string

// The kinds of evidence; empty for none.
const (
	// NoEvidence means that the target lives, or that nobody knows.
	NoEvidence Evidence = ""
	// RefusesConnections means that its host answers and no process listens.
	RefusesConnections Evidence = "refuses connections"
	// UnresponsiveToSidecar means that it does not answer its own sidecar.
	UnresponsiveToSidecar Evidence = "silent to its sidecar"
	// OtherIncarnation means that another life is at its address.
	OtherIncarnation Evidence = "another life at its address"
	// Unlisted means that it has left the list without a word of leaving.
	Unlisted Evidence = "left the list"
)

// CrashDetector tells targets that have ended from those that only broke a connection off.
//
// The failure guarded against: connections break for many reasons. A target that resets
// some of them, a link that is cut, a target that leaves as planned say nothing of the
// requests that it worked on.
type CrashDetector struct {
	// refuses asks whether an address refuses connections.
	refuses func(ctx context.Context, t *fleet.Target) bool

	mu sync.Mutex
	// probes are the lives that were probes, doubted the requests whose target may have
	// ended.
	probes    map[fleet.ID]*refusalProbe
	suspected []SuspectedCrash
}

type refusalProbe struct {
	startedAt time.Time
	done      chan struct{}
	refuses   bool
}

// SuspectedCrash is a request whose target may have ended under it.
type SuspectedCrash struct {
	Fingerprint Fingerprint
	Caller      Caller
	Target      fleet.Target
	// Unlisted is set when the list had not shown the target yet when the request was sent:
	// its sidecar had told of it.
	Unlisted bool
	Step     int
	At       time.Time
	// Elapsed is how long the request had been under way there.
	Elapsed time.Duration
	// RequestID is that of the try, for the log.
	RequestID string
	// expiresAt is when the doubt is dropped.
	expiresAt time.Time
}

// NewCrashDetector returns one that asks by refuses.
func NewCrashDetector(refuses func(ctx context.Context, t *fleet.Target) bool) *CrashDetector {
	return &CrashDetector{refuses: refuses, probes: map[fleet.ID]*refusalProbe{}}
}

// Detect reports what says that a target which broke a request off has ended. Without
// evidence the doubt is kept, and looked at again by Settle.
func (e *CrashDetector) Detect(ctx context.Context, v *view.View, d SuspectedCrash) Evidence {
	listed, known := findListed(v, &d.Target)
	switch {
	case known && listed.Leaving:
		return NoEvidence
	case v.Silent[d.Target.Address]:
		return UnresponsiveToSidecar
	case !known && !d.Unlisted && !replaced(v, &d.Target):
		return NoEvidence // it was taken off the list before it ended: as planned
	case !known && !d.Unlisted:
		return OtherIncarnation
	case e.probe(ctx, &d.Target, d.At):
		return RefusesConnections
	}
	e.add(d, suspicionTimeout)
	return NoEvidence
}

// AddCancelled keeps the doubt of a send that was given up before its target answered.
//
// The failure guarded against: the target had begun to run the request and ends under it,
// while nobody waits for the answer. Its end would count as one without the request, and
// speak for another cause than it.
func (e *CrashDetector) AddCancelled(d SuspectedCrash) { e.add(d, cancelledTimeout) }

func (e *CrashDetector) add(d SuspectedCrash, within time.Duration) {
	d.expiresAt = d.At.Add(within)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.suspected = append(e.suspected, d)
}

// probe asks a target once for all requests that broke off with it.
func (e *CrashDetector) probe(ctx context.Context, t *fleet.Target, now time.Time) bool {
	e.mu.Lock()
	a := e.probes[t.ID]
	first := a == nil || a.outdated(now)
	if first {
		a = &refusalProbe{startedAt: now, done: make(chan struct{})}
		e.probes[t.ID] = a
		e.evictProbes(now)
	}
	e.mu.Unlock()
	// The answer is for all requests of the target, not only for the first one's caller.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	if first {
		a.refuses = e.refuses(ctx, t)
		close(a.done)
	}
	select {
	case <-a.done:
		return a.refuses
	case <-ctx.Done():
		return false
	}
}

// outdated reports whether a target that was found to listen may have ended since.
func (a *refusalProbe) outdated(now time.Time) bool {
	select {
	case <-a.done:
		return !a.refuses && now.Sub(a.startedAt) > reprobeAfter
	default:
		return false
	}
}

// foundRefusing reports whether the target was found to refuse connections.
func (a *refusalProbe) foundRefusing() bool {
	select {
	case <-a.done:
		return a.refuses
	default:
		return false
	}
}

func (e *CrashDetector) evictProbes(now time.Time) {
	for id, a := range e.probes {
		if now.Sub(a.startedAt) > probeRetention {
			delete(e.probes, id)
		}
	}
}

// Resolve returns the doubts that the view settles, with the evidence. Those that it shows
// to have left as planned, or that are too old, are dropped.
func (e *CrashDetector) Resolve(v *view.View, now time.Time) ([]SuspectedCrash, []Evidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var settled []SuspectedCrash
	var why []Evidence
	left := e.suspected[:0]
	for _, d := range e.suspected {
		listed, known := findListed(v, &d.Target)
		d.Unlisted = d.Unlisted && !known
		evidence := viewEvidence(v, &d, known)
		if a := e.probes[d.Target.ID]; a != nil && a.foundRefusing() {
			evidence = RefusesConnections
		}
		switch {
		case known && listed.Leaving || now.After(d.expiresAt):
		case evidence != NoEvidence:
			settled, why = append(settled, d), append(why, evidence)
		default:
			left = append(left, d)
		}
	}
	e.suspected = left
	return settled, why
}

// viewEvidence is what the view says of the end of a doubt's target.
func viewEvidence(v *view.View, d *SuspectedCrash, known bool) Evidence {
	switch {
	case v.Silent[d.Target.Address]:
		return UnresponsiveToSidecar
	case known || d.Unlisted:
		return NoEvidence
	case replaced(v, &d.Target):
		return OtherIncarnation
	case v.Engines[d.Target.Life].HeardAt.Sub(d.At) > sidecarReportDelay:
		return NoEvidence // its sidecar still reports it: it has left and serves on
	case v.ListedAt.After(d.At):
		return Unlisted
	default:
		return NoEvidence
	}
}

// replaced reports whether another life is at a target's address.
func replaced(v *view.View, t *fleet.Target) bool {
	for _, list := range v.Targets {
		for i := range list {
			if list[i].Address == t.Address && !list[i].Life.Same(t.Life) {
				return true
			}
		}
	}
	return false
}

// IsListed reports whether a view shows a life.
func IsListed(v *view.View, t *fleet.Target) bool {
	_, known := findListed(v, t)
	return known
}

// findListed returns a life as the view lists it.
func findListed(v *view.View, t *fleet.Target) (*fleet.Target, bool) {
	list := v.Targets[t.Service]
	for i := range list {
		if list[i].Life.Same(t.Life) {
			return &list[i], true
		}
	}
	return nil, false
}
