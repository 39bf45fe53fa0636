package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
	"github.com/toucanwell/toucanwell/internal/gateway/view"
)

const (
	// askFor is how long a target that broke a connection off is waited for to say whether
	// it still listens. A process that has ended refuses within a round trip.
	askFor = 50 * time.Millisecond
	// doubtFor is how long the end of a target may take to show in the list, or in its
	// sidecar's word, when it could not be told at once: the list drops a target after
	// three of its heartbeats.
	doubtFor = 5 * time.Second
	// silenceShows is within which time a sidecar tells of the end of its target: it asks ten
	// times a second, and tells at once.
	silenceShows = 300 * time.Millisecond
	// askAgain is how long a target that was found to listen is believed to.
	askAgain = 200 * time.Millisecond
	// givenUpFor is the same for a target at which a send was given up: it may have begun to
	// run the request, and ends within some hundred milliseconds then.
	givenUpFor = time.Second
	// rememberFor is how long it is remembered that a target has ended. All that it worked
	// on breaks off within some milliseconds.
	rememberFor = 10 * time.Second
)

// Evidence is what says that a target has ended.
type Evidence string

// The kinds of evidence; empty for none.
const (
	// NoEvidence means that the target lives, or that nobody knows.
	NoEvidence Evidence = ""
	// RefusesConnections means that its host answers and no process listens.
	RefusesConnections Evidence = "refuses connections"
	// SilentToSidecar means that it does not answer its own sidecar.
	UnresponsiveToSidecar Evidence = "silent to its sidecar"
	// OtherLife means that another life is at its address.
	OtherIncarnation Evidence = "another life at its address"
	// Unlisted means that it has left the list without a word of leaving.
	Unlisted Evidence = "left the list"
)

// Endings tells targets that have ended from those that only broke a connection off.
//
// The failure guarded against: connections break for many reasons. A target that resets
// some of them, a link that is cut, a target that leaves as planned say nothing of the
// requests that it worked on.
type CrashDetector struct {
	// refuses asks whether an address refuses connections.
	refuses func(ctx context.Context, t *fleet.Target) bool

	mu sync.Mutex
	// asked are the lives that were asked, doubted the requests whose target may have
	// ended.
	asked   map[fleet.ID]*ending
	doubted []SuspectedCrash
}

type ending struct {
	at      time.Time
	known   chan struct{}
	refuses bool
}

// Doubt is a request whose target may have ended under it.
type SuspectedCrash struct {
	Fingerprint Fingerprint
	Caller      Caller
	Target      fleet.Target
	// Unlisted is set when the list had not shown the target yet when the request was sent:
	// its sidecar had told of it.
	Unlisted bool
	Step     int
	At       time.Time
	// Ran is how long the request had been under way there.
	Elapsed time.Duration
	// RequestID is that of the try, for the log.
	RequestID string
	// until is when the doubt is dropped.
	until time.Time
}

// NewEndings returns one that asks by refuses.
func NewCrashDetector(refuses func(ctx context.Context, t *fleet.Target) bool) *CrashDetector {
	return &CrashDetector{refuses: refuses, asked: map[fleet.ID]*ending{}}
}

// Ended reports what says that a target which broke a request off has ended. Without
// evidence the doubt is kept, and looked at again by Settle.
func (e *CrashDetector) Detect(ctx context.Context, v *view.View, d SuspectedCrash) Evidence {
	listed, known := find(v, &d.Target)
	switch {
	case known && listed.Leaving:
		return NoEvidence
	case v.Unresponsive[d.Target.Address]:
		return UnresponsiveToSidecar
	case !known && !d.Unlisted && !replaced(v, &d.Target):
		return NoEvidence // it was taken off the list before it ended: as planned
	case !known && !d.Unlisted:
		return OtherIncarnation
	case e.ask(ctx, &d.Target, d.At):
		return RefusesConnections
	}
	e.keep(d, doubtFor)
	return NoEvidence
}

// GivenUp keeps the doubt of a send that was given up before its target answered.
//
// The failure guarded against: the target had begun to run the request and ends under it,
// while nobody waits for the answer. Its end would count as one without the request, and
// speak for another cause than it.
func (e *CrashDetector) AddCancelled(d SuspectedCrash) { e.keep(d, givenUpFor) }

func (e *CrashDetector) keep(d SuspectedCrash, within time.Duration) {
	d.until = d.At.Add(within)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.doubted = append(e.doubted, d)
}

// ask asks a target once for all requests that broke off with it.
func (e *CrashDetector) ask(ctx context.Context, t *fleet.Target, now time.Time) bool {
	e.mu.Lock()
	a := e.asked[t.ID]
	first := a == nil || a.outdated(now)
	if first {
		a = &ending{at: now, known: make(chan struct{})}
		e.asked[t.ID] = a
		e.forget(now)
	}
	e.mu.Unlock()
	// The answer is for all requests of the target, not only for the first one's caller.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askFor)
	defer cancel()
	if first {
		a.refuses = e.refuses(ctx, t)
		close(a.known)
	}
	select {
	case <-a.known:
		return a.refuses
	case <-ctx.Done():
		return false
	}
}

// outdated reports whether a target that was found to listen may have ended since.
func (a *ending) outdated(now time.Time) bool {
	select {
	case <-a.known:
		return !a.refuses && now.Sub(a.at) > askAgain
	default:
		return false
	}
}

// refused reports whether the target was found to refuse connections.
func (a *ending) refused() bool {
	select {
	case <-a.known:
		return a.refuses
	default:
		return false
	}
}

func (e *CrashDetector) forget(now time.Time) {
	for id, a := range e.asked {
		if now.Sub(a.at) > rememberFor {
			delete(e.asked, id)
		}
	}
}

// Settle returns the doubts that the view settles, with the evidence. Those that it shows
// to have left as planned, or that are too old, are dropped.
func (e *CrashDetector) Resolve(v *view.View, now time.Time) ([]SuspectedCrash, []Evidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var settled []SuspectedCrash
	var why []Evidence
	left := e.doubted[:0]
	for _, d := range e.doubted {
		listed, known := find(v, &d.Target)
		d.Unlisted = d.Unlisted && !known
		evidence := told(v, &d, known)
		if a := e.asked[d.Target.ID]; a != nil && a.refused() {
			evidence = RefusesConnections
		}
		switch {
		case known && listed.Leaving || now.After(d.until):
		case evidence != NoEvidence:
			settled, why = append(settled, d), append(why, evidence)
		default:
			left = append(left, d)
		}
	}
	e.doubted = left
	return settled, why
}

// told is what the view says of the end of a doubt's target.
func told(v *view.View, d *SuspectedCrash, known bool) Evidence {
	switch {
	case v.Unresponsive[d.Target.Address]:
		return UnresponsiveToSidecar
	case known || d.Unlisted:
		return NoEvidence
	case replaced(v, &d.Target):
		return OtherIncarnation
	case v.Engines[d.Target.Incarnation].ReceivedAt.Sub(d.At) > silenceShows:
		return NoEvidence // its sidecar still reports it: it has left and serves on
	case v.TargetsCurrentAt.After(d.At):
		return Unlisted
	default:
		return NoEvidence
	}
}

// replaced reports whether another life is at a target's address.
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

// Lists reports whether a view shows a life.
func IsListed(v *view.View, t *fleet.Target) bool {
	_, known := find(v, t)
	return known
}

// find returns a life as the view lists it.
func find(v *view.View, t *fleet.Target) (*fleet.Target, bool) {
	list := v.Targets[t.Service]
	for i := range list {
		if list[i].Incarnation.Matches(t.Incarnation) {
			return &list[i], true
		}
	}
	return nil, false
}
