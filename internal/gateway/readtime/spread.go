package readtime

import (
	"sync"
	"time"
)

const (
	// unevenFactor is the factor between the slowest and the fastest engine of a service from
	// which speeds count as uneven. Smaller differences cost little, since engines that take
	// longer also report more outstanding work.
	unevenFactor = 1.3
	// unevenFor is how long speeds count as uneven after engines were last found so. It keeps
	// the rule from alternating while estimates vary around the limit, and where each placement
	// sees a few engines only.
	unevenFor = speedHalfLife
)

// Spread tells in which services the speeds of engines are uneven. It is safe for concurrent use.
//
// Only engines of one placement are compared. What makes all estimates too high or too low for a
// while, such as a prediction that is off, is then not taken for a difference between engines.
type Spread struct {
	mu sync.Mutex
	// unevenUntil is when the speeds of a service were last found uneven, plus unevenFor.
	unevenUntil map[string]time.Time
}

// NewSpread returns a Spread without services.
func NewSpread() *Spread { return &Spread{unevenUntil: map[string]time.Time{}} }

// Note compares engines of a service, which come up in one placement, and reports whether speeds are
// uneven in the service.
func (s *Spread) Note(service string, speeds []Speed, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if differ(speeds) {
		s.unevenUntil[service] = now.Add(unevenFor)
		return true
	}
	return now.Before(s.unevenUntil[service])
}

// differ reports whether the slowest and the fastest of the known speeds differ by more than
// unevenFactor, whatever their errors.
func differ(speeds []Speed) bool {
	slowest, fastest := 0.0, 0.0
	for _, s := range speeds {
		if !s.Known() {
			continue
		}
		slowest = max(slowest, s.Low)
		if fastest == 0 || s.High < fastest {
			fastest = s.High
		}
	}
	return slowest > unevenFactor*fastest
}
