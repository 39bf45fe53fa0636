// Package retry limits retries to a share of the requests, so that they cannot multiply an
// overload.
package retry

import "sync"

const (
	// defaultLimit is the number of retries that may accumulate.
	defaultLimit = 10.0
	// defaultInitialBalance lets a new process make a few retries.
	defaultInitialBalance = 3.0
)

// Budget accumulates a fraction of a retry with each request. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex
	balance float64
	limit   float64
}

// NewBudget returns a budget with the default limit.
func NewBudget() *Budget { return &Budget{balance: defaultInitialBalance, limit: defaultLimit} }

// initialShare is the share of the limit that a new budget starts with. With a full budget, a
// process that restarts repeatedly would exceed its share.
const initialShare = 0.3

// NewBudgetWithLimit returns a budget in which up to n retries accumulate.
func NewBudgetWithLimit(n float64) *Budget { return &Budget{balance: initialShare * n, limit: n} }

// SetLimit changes how many retries may accumulate.
func (b *Budget) SetLimit(limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.balance = min(b.balance, limit)
}

// Earn records one request, which adds share retries to the balance.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+share, b.limit)
}

// Spend deducts one retry from the balance, and reports whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
