// Package retry bounds retries to a share of the traffic, so that they cannot
// multiply an overload.
package retry

import "sync"

const (
	// maxSaved is how many retries a quiet time saves up.
	defaultLimit = 10.0
	// startSaved lets a process that just started retry a little.
	defaultInitialBalance = 3.0
)

// Budget allows retries as a share of requests. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	balance float64
	limit   float64
}

// NewBudget returns a budget that allows a few retries at once.
func NewBudget() *Budget { return &Budget{balance: defaultInitialBalance, limit: defaultLimit} }

// freshShare is the part of what may be saved that a new budget starts with. A
// process that is killed and started again would spend what several may if it
// were all.
const initialShare = 0.3

// NewBudgetOf returns a budget that saves up to most retries.
func NewBudgetWithLimit(most float64) *Budget {
	return &Budget{balance: initialShare * most, limit: most}
}

// SetMost changes how many retries are saved up.
func (b *Budget) SetLimit(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = most
	b.balance = min(b.balance, most)
}

// Earn counts one request; share is the part of a retry that it pays for.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+share, b.limit)
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
