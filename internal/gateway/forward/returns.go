package forward

import (
	"sync"
	"time"
)

// returnSchedule spreads the retries of refused callers, so that they do not come back at the same
// time only to be refused again. It is safe for concurrent use.
type returnSchedule struct {
	mu sync.Mutex
	// next is the earliest time for the next caller to come back, by service.
	next map[string]time.Time
}

// pending reports whether callers are due to come back.
func (s *returnSchedule) pending(service string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.next[service])
}

// reserve returns the delay after which a caller is to come back: not before earliest, and at least
// an interval after the caller before it. A caller that would not wait for so long takes no turn.
func (s *returnSchedule) reserve(service string, earliest time.Time, interval, maxDelay time.Duration, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := earliest
	if next := s.next[service]; next.After(at) {
		at = next
	}
	delay := at.Sub(now)
	if delay <= maxDelay {
		if s.next == nil {
			s.next = map[string]time.Time{}
		}
		s.next[service] = at.Add(interval)
	}
	return delay
}
