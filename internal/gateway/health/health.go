// Package health judges targets by what becomes of the requests that they get.
//
// A target's own health check may pass while it fails or hangs. What counts is
// how it does beside the others of its service: a service all of whose targets
// fail a part of their requests has no better one to offer.
package health

import (
	"math"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Outcome is what a request says of its target.
type Outcome uint8

// The outcomes.
const (
	// Good answers came whole.
	Good Outcome = iota
	// Failed answers came, but say that the target failed.
	Failed
	// Broken exchanges brought no answer, half of one, or none in time.
	Broken
	// Unreachable targets took no connection.
	Unreachable
)

var outcomeNames = map[Outcome]string{Good: "good", Failed: "failed", Broken: "broken", Unreachable: "unreachable"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

const (
	// halfLife is the number of outcomes after which an older one counts half.
	halfLife = 8
	// excess is by how much a target's failures must exceed the service's for
	// the target to be rested, and minOutcomes how many outcomes must say so.
	excess      = 0.25
	minOutcomes = 4
	// brokenInRow broken exchanges in a row rest a target whatever its share.
	brokenInRow = 3
	// firstRest and maxRest bound the time for which a target is rested. It
	// doubles while the target stays bad. A target that is unreachable may be back
	// in a second; one that is replaced leaves the list.
	firstRest = 400 * time.Millisecond
	maxRest   = 4 * time.Second
	// forgetAfter is the silence after which a target's record is dropped.
	forgetAfter = 2 * time.Minute
)

// record is what is known of one target.
type record struct {
	service string
	// failures is the decayed share of bad outcomes, weight the decayed number
	// of outcomes behind it.
	failures, weight float64
	brokenRow        int
	rest             time.Duration
	restUntil        time.Time
	seen             time.Time
}

// Book holds the records of all targets. It is safe for concurrent use.
type Monitor struct {
	mu      sync.Mutex
	records map[fleet.Incarnation]*record
	// changed is told when a target begins to rest.
	changed func(life fleet.Incarnation, until time.Time, failures, others float64, outcome Outcome)
}

// NewBook returns an empty book. changed is told of each rest that begins.
func NewMonitor(changed func(life fleet.Incarnation, until time.Time, failures, others float64, outcome Outcome)) *Monitor {
	return &Monitor{records: map[fleet.Incarnation]*record{}, changed: changed}
}

// Note takes in an outcome at a target of a service.
func (b *Monitor) Record(service string, life fleet.Incarnation, o Outcome, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.records[life]
	if r == nil {
		r = &record{service: service}
		b.records[life] = r
	}
	r.seen = now
	r.add(o)
	if o == Good {
		r.rest = 0
		return
	}
	others := b.othersFailures(service, life)
	if !r.bad(o, others) || now.Before(r.restUntil) {
		return
	}
	r.rest = min(max(2*r.rest, firstRest), maxRest)
	r.restUntil = now.Add(r.rest)
	if b.changed != nil {
		b.changed(life, r.restUntil, r.failures, others, o)
	}
}

func (r *record) add(o Outcome) {
	decay := math.Exp2(-1.0 / halfLife)
	bad := 0.0
	if o != Good {
		bad = 1
	}
	r.failures = (r.failures*r.weight*decay + bad) / (r.weight*decay + 1)
	r.weight = r.weight*decay + 1
	if o == Broken || o == Unreachable {
		r.brokenRow++
	} else {
		r.brokenRow = 0
	}
}

func (r *record) bad(o Outcome, others float64) bool {
	if o == Unreachable || r.brokenRow >= brokenInRow {
		return true
	}
	return r.weight >= minOutcomes && r.failures > others+excess
}

// othersFailures is the mean share of bad outcomes at the other targets.
func (b *Monitor) othersFailures(service string, life fleet.Incarnation) float64 {
	sum, n := 0.0, 0
	for other, r := range b.records {
		if r.service == service && other != life && r.weight >= minOutcomes {
			sum += r.failures
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Rested returns the targets that rest now, with when each may be tried again.
func (b *Monitor) Ejected(now time.Time) map[fleet.Incarnation]time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rested map[fleet.Incarnation]time.Time
	for life, r := range b.records {
		if now.Sub(r.seen) > forgetAfter {
			delete(b.records, life)
			continue
		}
		if now.Before(r.restUntil) {
			if rested == nil {
				rested = map[fleet.Incarnation]time.Time{}
			}
			rested[life] = r.restUntil
		}
	}
	return rested
}
