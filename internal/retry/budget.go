// Package retry bounds retries to a share of the traffic, so that they cannot
// multiply an overload.
package retry

import "sync"

const (
	// maxSaved is how many retries a quiet time saves up.
	maxSaved = 10.0
	// startSaved lets a process that just started retry a little.
	startSaved = 3.0
)

// Budget allows retries as a share of requests. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	saved float64
	most  float64
}

// NewBudget returns a budget that allows a few retries at once.
func NewBudget() *Budget { return &Budget{saved: startSaved, most: maxSaved} }

// freshShare is the part of what may be saved that a new budget starts with. A
// process that is killed and started again would spend what several may if it
// were all.
const freshShare = 0.3

// NewBudgetOf returns a budget that saves up to most retries.
func NewBudgetWithLimit(most float64) *Budget { return &Budget{saved: freshShare * most, most: most} }

// SetMost changes how many retries are saved up.
func (b *Budget) SetLimit(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.saved = min(b.saved, most)
}

// Earn counts one request; share is the part of a retry that it pays for.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+share, b.most)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
