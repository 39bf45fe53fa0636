package standin

import (
	"sync"
	"time"
)

// overloadSlowdown is the factor by which a fetch is slowed down in an overloaded store.
const overloadSlowdown = 4

// WeightStore simulates a store of weights that slows down above a number of concurrent fetches.
type WeightStore struct {
	mu     sync.Mutex
	limit  int
	active int
	peak   int
	total  int
}

// NewWeightStore returns a store that serves up to limit concurrent fetches at full speed.
func NewWeightStore(limit int) *WeightStore { return &WeightStore{limit: limit} }

// Fetch takes the duration d, or longer if the store is overloaded.
func (s *WeightStore) Fetch(d time.Duration) {
	s.mu.Lock()
	s.active++
	s.total++
	s.peak = max(s.peak, s.active)
	if s.active > s.limit {
		d *= overloadSlowdown
	}
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// FetchCounts returns the highest number of concurrent fetches and the total number.
func (s *WeightStore) FetchCounts() (peak, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak, s.total
}
