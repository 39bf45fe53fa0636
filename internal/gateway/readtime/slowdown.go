package readtime

import (
	"math"
	"sync"
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

const (
	// smoothing is the weight of the newest sample.
	smoothing = 0.1
	// slowdownHalfLife is the time after which a slowdown has decayed halfway to 1, so that
	// an engine avoided as slow is tried again.
	slowdownHalfLife = 3 * time.Second
	// minSample and maxSample bound one sample. A lower one is a prediction that was too high; an
	// engine that hangs is left to package health.
	minSample = 0.7
	maxSample = 10.0
	// minPredicted is the shortest predicted latency that yields a sample.
	minPredicted = 20 * time.Millisecond
	// minSlowdown is the smallest slowdown reported. Smaller ones are within the error of
	// predictions and would make prompts alternate between equal engines.
	minSlowdown = 1.3
	// slowdownTTL is how long an engine is kept after its last sample.
	slowdownTTL = time.Minute
)

// slowdown is a smoothed slowdown factor as of a time.
type slowdown struct {
	factor    float64
	updatedAt time.Time
}

// decayed returns the factor after decay towards 1.
func (s slowdown) decayed(now time.Time) float64 {
	weight := math.Exp2(-float64(now.Sub(s.updatedAt)) / float64(slowdownHalfLife))
	return 1 + (s.factor-1)*weight
}

// Slowdowns tracks the ratio of measured to predicted latency of each engine. Engines of one
// service differ in speed, and a faulty one may be slow without failing requests. It is safe
// for concurrent use.
type Slowdowns struct {
	mu       sync.Mutex
	byEngine map[fleet.Incarnation]slowdown
}

// NewSlowdowns returns an empty tracker.
func NewSlowdowns() *Slowdowns { return &Slowdowns{byEngine: map[fleet.Incarnation]slowdown{}} }

// Record adds the measured and the predicted time to the first event of a request at an
// engine.
func (s *Slowdowns) Record(incarnation fleet.Incarnation, measured, predicted time.Duration, now time.Time) {
	if predicted < minPredicted {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.byEngine[incarnation]
	factor := 1.0
	if known {
		factor = last.decayed(now)
	} else {
		s.sweep(now)
	}
	sample := min(max(float64(measured)/float64(predicted), minSample), maxSample)
	s.byEngine[incarnation] = slowdown{factor: factor + smoothing*(sample-factor), updatedAt: now}
}

// sweep drops engines without recent samples. The caller holds mu.
func (s *Slowdowns) sweep(now time.Time) {
	for incarnation, last := range s.byEngine {
		if now.Sub(last.updatedAt) > slowdownTTL {
			delete(s.byEngine, incarnation)
		}
	}
}

// Factor returns an engine's slowdown factor; 1 when unknown or negligible.
func (s *Slowdowns) Factor(incarnation fleet.Incarnation, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, known := s.byEngine[incarnation]
	if !known {
		return 1
	}
	if factor := last.decayed(now); factor >= minSlowdown {
		return factor
	}
	return 1
}
