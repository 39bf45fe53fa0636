// Package buffers bounds the memory in which bodies are held, summed over all requests of the process.
// Without the sum, tens of targets that send without end, or of callers with large requests, would fill it
// together.
package buffers

import "sync/atomic"

// Step is the unit in which memory is taken. The first one of each body is not taken from the budget of
// large ones, so that ordinary requests and responses do not depend on them.
const Step = 32 << 10

// Budget is a number of bytes that bodies share. A nil budget has no bound. It is safe for concurrent use.
type Budget struct {
	free    atomic.Int64
	reclaim func() bool
}

// NewBudget returns a budget of a size in bytes.
func NewBudget(size int64) *Budget {
	b := &Budget{}
	b.free.Store(size)
	return b
}

// SetReclaim sets what is called when the budget has too little left. It gives back something, or returns
// false if there is nothing. It must be set before the budget is used.
func (b *Budget) SetReclaim(reclaim func() bool) {
	if b != nil {
		b.reclaim = reclaim
	}
}

// Take takes n bytes and reports whether they were free.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	for {
		if b.free.Add(-n) >= 0 {
			return true
		}
		b.free.Add(n)
		if b.reclaim == nil || !b.reclaim() {
			return false
		}
	}
}

// Give gives back n bytes.
func (b *Budget) Give(n int64) {
	if b != nil {
		b.free.Add(n)
	}
}

// fits reports whether n bytes are free.
func (b *Budget) fits(n int64) bool { return b == nil || n <= max(b.free.Load(), 0) }

// Share is what one body has taken. It is not safe for concurrent use.
type Share struct {
	// large is the budget of the steps beyond the first one, small that of the first; nil if it is not counted.
	large, small *Budget
	steps        int
	first        int64
}

// NewShare returns an empty share whose first step is not counted.
func (b *Budget) NewShare() *Share { return &Share{large: b} }

// NewBodyShare returns an empty share whose first step is taken from another budget, as far as it is used.
func (b *Budget) NewBodyShare(small *Budget) *Share { return &Share{large: b, small: small} }

// Grow takes what a buffer of a size in bytes needs, and reports whether it was free.
func (s *Share) Grow(size int) bool {
	if more := int64(min(size, Step)) - s.first; s.small != nil && more > 0 {
		if !s.small.Take(more) {
			return false
		}
		s.first += more
	}
	for s.steps < stepsOf(size) {
		if !s.large.Take(Step) {
			return false
		}
		s.steps++
	}
	return true
}

// Fits reports whether a buffer of a size in bytes could be had now, apart from its first step.
func (s *Share) Fits(size int) bool { return s.large.fits(int64(stepsOf(size)-s.steps) * Step) }

// Shrink gives back what a buffer of a size in bytes does not need, apart from its first step.
func (s *Share) Shrink(size int) {
	if surplus := s.steps - stepsOf(size); surplus > 0 {
		s.large.Give(int64(surplus) * Step)
		s.steps -= surplus
	}
}

// stepsOf returns the number of steps that a buffer takes beyond the first one.
func stepsOf(size int) int { return max((size+Step-1)/Step-1, 0) }

// Release gives back what was taken.
func (s *Share) Release() {
	s.large.Give(int64(s.steps) * Step)
	s.small.Give(s.first)
	s.steps, s.first = 0, 0
}
