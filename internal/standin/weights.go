package standin

import (
	"sync"
	"time"
)

// overloadSlowdown is how much longer a fetch takes when the store bears too many.
const overloadSlowdown = 4

// WeightStore is a store of weights that bears a number of fetches at once.
type WeightStore struct {
	mu            sync.Mutex
	maxConcurrent int
	active        int
	peak          int
	total         int
}

// NewWeightStore returns a store that bears a number of fetches at once.
func NewWeightStore(maxConcurrent int) *WeightStore {
	return &WeightStore{maxConcurrent: maxConcurrent}
}

// Fetch takes a time, and longer when too many fetch at once.
func (s *WeightStore) Fetch(d time.Duration) {
	s.mu.Lock()
	s.active++
	s.total++
	s.peak = max(s.peak, s.active)
	if s.active > s.maxConcurrent {
		d *= overloadSlowdown
	}
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// FetchCounts is the most fetches that ran at once, and Total how many there were.
func (s *WeightStore) FetchCounts() (peak, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak, s.total
}
