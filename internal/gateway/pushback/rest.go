package pushback

import (
	"time"

	"github.com/toucanwell/toucanwell/internal/gateway/fleet"
)

const (
	// maxTrial is how long a trial excludes other requests. A target that does not respond within
	// that time is not known to be in need any more.
	maxTrial = 2 * time.Second
	// restSpread and maxRestSpread bound by how much a rest is extended at random, as a share of it, so
	// that entries that were turned away together do not come back together.
	restSpread    = 0.1
	maxRestSpread = time.Second
	// trialRetry is how soon to come back for a request that found a trial in progress.
	trialRetry = 100 * time.Millisecond
)

// rest is the time for which a target wants no requests from this host. It is not announced to other
// entries, which the target has not asked.
//
// When it is over, one request is sent as a trial before all others: they would be turned away
// together if the target is still in need.
type rest struct {
	// until is when the rest ends; zero if the target wants none.
	until time.Time
	// trialSince is when the trial began; zero if there is none.
	trialSince time.Time
	// reportedUntil is the end that was last reported.
	reportedUntil time.Time
}

// blockedUntil returns until when the target takes no request, other than a first trial; ok is false if
// it takes one.
func (s *rest) blockedUntil(now time.Time) (until time.Time, ok bool) {
	switch {
	case now.Before(s.until):
		return s.until, true
	case !s.trialSince.IsZero() && now.Sub(s.trialSince) < maxTrial:
		return now.Add(trialRetry), true
	default:
		return time.Time{}, false
	}
}

// pending reports whether the target wants rest or has taken no request since.
func (s *rest) pending() bool { return !s.until.IsZero() }

// stateRest records that a target asks for no requests for a time. An earlier rest is not cut short.
func (r *Registry) stateRest(t *target, resp *Response, now time.Time) {
	spread := min(time.Duration(restSpread*float64(resp.Pushback.RetryAfter)), maxRestSpread)
	until := now.Add(resp.Pushback.RetryAfter + time.Duration(r.random()*float64(spread)))
	if until.After(t.rest.until) {
		t.rest.until = until
	}
	t.rest.trialSince = time.Time{}
	if t.rest.until.Sub(t.rest.reportedUntil) < logInterval {
		return
	}
	t.rest.reportedUntil = t.rest.until
	r.observer.RestStated(resp.Incarnation, resp.Pushback.RetryAfter, resp.RequestID)
}

// endRest ends a rest that is over, because the target has taken a request.
func (r *Registry) endRest(t *target, resp *Response, now time.Time) {
	if t.rest.pending() && !now.Before(t.rest.until) {
		t.rest.until, t.rest.trialSince = time.Time{}, time.Time{}
		r.observer.RestEnded(resp.Incarnation, resp.RequestID)
	}
}

// Resting returns the targets that take no requests from this host now, with the time until which they
// do not; nil if there are none.
func (r *Registry) Resting(now time.Time) map[fleet.ID]time.Time {
	return collect(r, func(t *target) (time.Time, bool) { return t.rest.blockedUntil(now) })
}

// BeginTrial asks to send a request to a target. It returns false for ok if the target wants rest or is
// being tried; trial is set if the request is the trial after a rest, which EndTrial must end.
func (r *Registry) BeginTrial(id fleet.ID, now time.Time) (trial, ok bool) {
	if r.size.Load() == 0 {
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[id]
	if t == nil || !t.rest.pending() {
		return false, true
	}
	if _, blocked := t.rest.blockedUntil(now); blocked {
		return false, false
	}
	t.rest.trialSince = now
	return true, true
}

// EndTrial ends a trial whose request has ended. Without a response that has ended the rest, the next
// request is a trial again.
func (r *Registry) EndTrial(id fleet.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.targets[id]; t != nil {
		t.rest.trialSince = time.Time{}
	}
}
