package parts

import (
	"math"
	"sync"
	"time"
)

const (
	// rateWindow is the time constant of the average token rate.
	rateWindow = 3 * time.Second
	// retentionFactor scales the time in which new tokens replace the content of a cache.
	// It is greater than one because some of the counted tokens are already cached, and
	// because a missing location is more expensive than a wrong one: it repeats a prefill,
	// where a wrong one costs a fetch that returns nothing.
	retentionFactor = 1.5
	// minRetention and maxRetention bound the estimate.
	minRetention = time.Second
	maxRetention = cachedTTL
)

// RetentionEstimator estimates how long engines keep an unused part cached. Caches evict
// the least recently used parts, so this is the time in which new tokens fill a cache. It
// is safe for concurrent use.
type RetentionEstimator struct {
	mu sync.Mutex
	// rate is the number of tokens per second that this process sends to engines.
	rate      float64
	updatedAt time.Time
}

// AddTokens counts the tokens that a request adds to an engine's cache.
func (r *RetentionEstimator) AddTokens(tokens int, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = r.decayed(now) + float64(tokens)/rateWindow.Seconds()
	r.updatedAt = now
}

// decayed returns the rate at the given time. The caller holds mu.
func (r *RetentionEstimator) decayed(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-float64(now.Sub(r.updatedAt))/float64(rateWindow))
}

// Retention returns how long an unused part stays cached, if the given number of entries
// send at the rate of this one to the given number of engines. free is the cache space of
// an engine, in tokens, that running requests don't use.
func (r *RetentionEstimator) Retention(entries, engines, free int, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.decayed(now) * float64(max(entries, 1)) / float64(max(engines, 1))
	if rate < 1 {
		return maxRetention
	}
	seconds := retentionFactor * float64(free) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minRetention), maxRetention)
}
