// Package health implements outlier ejection: it ejects targets for a while based on the
// outcomes of their requests.
//
// A target may fail while its own health check passes, so its failure rate is compared with
// that of the other targets of its service. If all fail alike, none is ejected.
package health

import (
	"math"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

// Outcome is the result of one request at a target.
type Outcome uint8

// The outcomes.
const (
	// Good is a complete response.
	Good Outcome = iota
	// Failed is a complete response that reports a failure of the target.
	Failed
	// Broken is a response that was missing, incomplete or too late.
	Broken
	// Unreachable is a failure to connect.
	Unreachable
	// Foreign is a response to no request on a connection that has carried no other: something else than a
	// target listens at the address.
	Foreign
)

var outcomeNames = map[Outcome]string{Good: "good", Failed: "failed", Broken: "broken", Unreachable: "unreachable", Foreign: "foreign"}

// String implements fmt.Stringer.
func (o Outcome) String() string { return outcomeNames[o] }

const (
	// halfLife is the number of outcomes after which the weight of an older one has halved.
	halfLife = 8
	// excessFailureRate is how far a target's failure rate must exceed the mean of the
	// service's other targets for an ejection, given at least minOutcomes outcomes.
	excessFailureRate = 0.25
	minOutcomes       = 4
	// maxBrokenInRow consecutive broken requests eject a target whatever its failure rate.
	maxBrokenInRow = 3
	// baseEjection and maxEjection bound an ejection, which doubles while the target keeps
	// failing. An unreachable target may be back within a second; one that is replaced leaves
	// the list.
	baseEjection = 400 * time.Millisecond
	maxEjection  = 4 * time.Second
	// foreignEjection and maxForeignEjection replace them for foreign responses, each of which may cost a
	// request.
	foreignEjection    = maxEjection
	maxForeignEjection = time.Minute
	// recordTTL is how long a target's record is kept after its last outcome.
	recordTTL = 2 * time.Minute
)

// record holds the outcomes of one target.
type record struct {
	service string
	// failureRate is the exponentially decayed share of outcomes other than Good, weight
	// the decayed number of outcomes.
	failureRate, weight float64
	brokenInRow         int
	ejection            time.Duration
	ejectedUntil        time.Time
	lastSeen            time.Time
}

// Monitor tracks the health of targets. It is safe for concurrent use.
type Monitor struct {
	mu      sync.Mutex
	records map[fleet.Incarnation]*record
	// onEject is called for each ejection, with the failure rates of the target and of the
	// service's other targets. It may be nil.
	onEject func(incarnation fleet.Incarnation, until time.Time, failureRate, othersRate float64, outcome Outcome)
}

// NewMonitor returns a monitor that calls onEject, unless nil, for each ejection.
func NewMonitor(onEject func(incarnation fleet.Incarnation, until time.Time, failureRate, othersRate float64, outcome Outcome)) *Monitor {
	return &Monitor{records: map[fleet.Incarnation]*record{}, onEject: onEject}
}

// Record adds the outcome of a request at a target of a service.
func (m *Monitor) Record(service string, incarnation fleet.Incarnation, o Outcome, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.records[incarnation]
	if r == nil {
		r = &record{service: service}
		m.records[incarnation] = r
	}
	r.lastSeen = now
	r.add(o)
	if o == Good {
		r.ejection = 0
		return
	}
	othersRate := m.othersFailureRate(service, incarnation)
	if !r.shouldEject(o, othersRate) || now.Before(r.ejectedUntil) {
		return
	}
	shortest, longest := baseEjection, maxEjection
	if o == Foreign {
		shortest, longest = foreignEjection, maxForeignEjection
	}
	r.ejection = min(max(2*r.ejection, shortest), longest)
	r.ejectedUntil = now.Add(r.ejection)
	if m.onEject != nil {
		m.onEject(incarnation, r.ejectedUntil, r.failureRate, othersRate, o)
	}
}

func (r *record) add(o Outcome) {
	decay := math.Exp2(-1.0 / halfLife)
	failure := 0.0
	if o != Good {
		failure = 1
	}
	r.failureRate = (r.failureRate*r.weight*decay + failure) / (r.weight*decay + 1)
	r.weight = r.weight*decay + 1
	if o == Broken || o == Unreachable || o == Foreign {
		r.brokenInRow++
	} else {
		r.brokenInRow = 0
	}
}

func (r *record) shouldEject(o Outcome, othersRate float64) bool {
	if o == Unreachable || o == Foreign || r.brokenInRow >= maxBrokenInRow {
		return true
	}
	return r.weight >= minOutcomes && r.failureRate > othersRate+excessFailureRate
}

// othersFailureRate returns the mean failure rate of the service's other targets.
func (m *Monitor) othersFailureRate(service string, incarnation fleet.Incarnation) float64 {
	sum, n := 0.0, 0
	for other, r := range m.records {
		if r.service == service && other != incarnation && r.weight >= minOutcomes {
			sum += r.failureRate
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// Ejected returns the targets that are ejected now, with the end of each ejection.
func (m *Monitor) Ejected(now time.Time) map[fleet.Incarnation]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ejected map[fleet.Incarnation]time.Time
	for incarnation, r := range m.records {
		if now.Sub(r.lastSeen) > recordTTL {
			delete(m.records, incarnation)
			continue
		}
		if now.Before(r.ejectedUntil) {
			if ejected == nil {
				ejected = map[fleet.Incarnation]time.Time{}
			}
			ejected[incarnation] = r.ejectedUntil
		}
	}
	return ejected
}
