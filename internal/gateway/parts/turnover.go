package parts

import (
	"math"
	"sync"
	"time"
)

const (
	// turnoverWindow is the time over which the intake of tokens is averaged.
	turnoverWindow = 3 * time.Second
	// keptShare is for how many times the time in which a cache is filled anew an
	// unused part is believed to be in it. What is taken for intake holds parts that
	// the engine has already; and a belief that is wrong costs a fetch that brings
	// nothing, one that is missing costs reading again.
	keptShare = 1.5
	// leastKept and mostKept bound it. Less is no time to use a part in, more has
	// not been seen to be held.
	leastKept = time.Second
	mostKept  = heldFor
)

// Turnover estimates for how long engines keep a part that is not used. Caches
// drop what was not used for the longest time, so that it is the time in which
// new tokens fill a cache. It is safe for concurrent use.
type RetentionEstimator struct {
	mu sync.Mutex
	// rate is the intake of tokens a second that this process sees.
	rate float64
	at   time.Time
}

// Intake notes tokens that a request brings into some engine's cache.
func (t *RetentionEstimator) AddTokens(tokens int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rate = t.decayed(now) + float64(tokens)/turnoverWindow.Seconds()
	t.at = now
}

func (t *RetentionEstimator) decayed(now time.Time) float64 {
	if t.at.IsZero() {
		return 0
	}
	return t.rate * math.Exp(-float64(now.Sub(t.at))/float64(turnoverWindow))
}

// Kept is for how long an unused part is believed to be held: entries like this
// one send to so many engines, each of which has room for so many tokens besides
// those of its runs.
func (t *RetentionEstimator) Retention(entries, engines, room int, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := t.decayed(now) * float64(max(entries, 1)) / float64(max(engines, 1))
	if rate < 1 {
		return mostKept
	}
	seconds := keptShare * float64(room) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), leastKept), mostKept)
}
