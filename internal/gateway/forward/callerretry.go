package forward

import (
	"sync"
	"time"
)

// returnShare is the share of a route's usual time below which a caller has probably
// spent some on an earlier try. Callers of one route mostly wait for the same time.
const retryTimeoutShare = 0.97

// usualTimes knows for how long callers of each route wait at their first try. It is
// safe for concurrent use.
//
// The load pattern that it answers: an overload lasts longer than callers' pauses, and
// those who were refused come back into it. Treated like all others they are refused
// again, and have waited for nothing; who has waited goes before who has not.
type timeoutTracker struct {
	mu             sync.Mutex
	longestByRoute map[string]time.Duration
}

// returns takes in the time that a caller is left with, and reports whether it has
// probably tried before. Callers that state no time are new.
func (u *timeoutTracker) isRetry(route string, timeout time.Duration) bool {
	if timeout <= 0 {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.longestByRoute == nil {
		u.longestByRoute = map[string]time.Duration{}
	}
	if timeout > u.longestByRoute[route] {
		u.longestByRoute[route] = timeout
	}
	return float64(timeout) < retryTimeoutShare*float64(u.longestByRoute[route])
}
