package forward

import (
	"sync"
	"time"
)

// retryTimeoutShare is the share of a route's usual timeout below which a caller has
// probably spent time on an earlier attempt. Callers of one route mostly use the same
// timeout.
const retryTimeoutShare = 0.97

// timeoutTracker detects retries by their shorter timeouts. It is safe for concurrent use.
//
// During an overload that outlasts the retry delays, retries get priority over new
// requests, so that callers who have already waited are not refused again.
type timeoutTracker struct {
	mu             sync.Mutex
	longestByRoute map[string]time.Duration
}

// isRetry records the timeout that a caller states, and reports whether the request is
// probably a retry. Requests without a timeout count as new.
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

// spent returns the time that the caller has probably spent on earlier attempts; zero if unknown.
func (u *timeoutTracker) spent(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return max(u.longestByRoute[route]-timeout, 0)
}
