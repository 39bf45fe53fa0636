package pushback

import "time"

// rest is the time for which a target wants no requests from this host. It is not announced to other
// entries, which the target has not asked.
type rest struct {
	// until is when the rest ends.
	until time.Time
	// reportedUntil is the end that was last reported.
	reportedUntil time.Time
}

func (s *rest) expired(now time.Time) bool { return !now.Before(s.until) }

// stateRest records that a target asks for no requests for a time. An earlier rest is not cut short.
func (r *Registry) stateRest(t *target, resp *Response, now time.Time) {
	if until := now.Add(resp.Pushback.RetryAfter); until.After(t.rest.until) {
		t.rest.until = until
	}
	if t.rest.until.Sub(t.rest.reportedUntil) < logInterval {
		return
	}
	t.rest.reportedUntil = t.rest.until
	r.observer.RestStated(resp.Incarnation, resp.Pushback.RetryAfter, resp.RequestID)
}

// Resting returns the number of targets that want no requests.
func (r *Registry) Resting(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, t := range r.targets {
		if !t.rest.expired(now) {
			n++
		}
	}
	return n
}
