package forward

import (
	"sync"
	"time"
)

// runTimes learns how long requests of a route run after their first byte, in proportion to the limit
// on their output. It is safe for concurrent use.
//
// Callers state limits, not lengths; the mean of past requests of a route is the better estimate.
type runTimes struct {
	mu sync.Mutex
	// perToken holds a mean by route, in seconds per token of the limit.
	perToken map[string]float64
}

// runTimeWeight is the weight of one more request. The mean covers some fifty requests, since single
// lengths vary by more than the mean changes.
const runTimeWeight = 0.02

func (r *runTimes) record(route string, maxTokens int, took time.Duration) {
	measured := took.Seconds() / float64(max(maxTokens, 1))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.perToken == nil {
		r.perToken = map[string]float64{}
	}
	mean, known := r.perToken[route]
	if !known {
		mean = measured
	}
	r.perToken[route] = mean + runTimeWeight*(measured-mean)
}

// expected returns the expected time from the first byte to the end; zero while nothing is known.
func (r *runTimes) expected(route string, maxTokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.perToken[route] * float64(max(maxTokens, 1)) * float64(time.Second))
}
