package standin

import (
	"sync"
	"time"
)

// slowdown is how much longer a fetch takes when the store bears too many.
const slowdown = 4

// WeightStore is a store of weights that bears a number of fetches at once.
type WeightStore struct {
	mu     sync.Mutex
	bears  int
	active int
	peak   int
	total  int
}

// NewWeightStore returns a store that bears a number of fetches at once.
func NewWeightStore(bears int) *WeightStore { return &WeightStore{bears: bears} }

// Fetch takes a time, and longer when too many fetch at once.
func (s *WeightStore) Fetch(d time.Duration) {
	s.mu.Lock()
	s.active++
	s.total++
	s.peak = max(s.peak, s.active)
	if s.active > s.bears {
		d *= slowdown
	}
	s.mu.Unlock()
	time.Sleep(d)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}

// Peak is the most fetches that ran at once, and Total how many there were.
func (s *WeightStore) FetchCounts() (peak, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak, s.total
}
