package pushback

import "time"

// rateLimit is the rate limit that a target states.
type rateLimit struct {
	// perSecond is the limit in requests per second, None for no limit.
	perSecond float64
	// at is when the limit was last stated or, without a limit, a time from which on none is
	// stated.
	at time.Time
	// reported is the value last reported to the observer, at reportedAt.
	reported   float64
	reportedAt time.Time
}

// state records that a response has stated the limit.
func (l *rateLimit) state(perSecond float64, now time.Time) { l.perSecond, l.at = perSecond, now }

// endIfOlder records that a response has stated no limit. The response is newer than the limit only
// if its request was sent after the limit had been stated.
func (l *rateLimit) endIfOlder(sentAt time.Time) {
	if l.perSecond != None && sentAt.After(l.at) {
		l.perSecond, l.at = None, sentAt
	}
}

// merge applies what another entry knows, if that is newer.
func (l *rateLimit) merge(perSecond float64, at time.Time) {
	if at.After(l.at) {
		l.perSecond, l.at = perSecond, at
	}
}

// inForce returns the limit, or false if there is none.
func (l *rateLimit) inForce(now time.Time) (perSecond float64, ok bool) {
	return l.perSecond, l.perSecond != None && now.Sub(l.at) <= statementTTL
}
