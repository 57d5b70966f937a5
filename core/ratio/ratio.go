// Package ratio bounds the retries sent to one target by a share of its recent
// calls, beside the bound that each request carries.
package ratio

import "sync"

const (
	// earnPerCall is the share of a retry that each first attempt earns.
	earnPerCall = 0.1
	// burst is the largest number of retries saved up.
	burst = 10
)

// Budget is a token bucket filled by first attempts. It is safe for concurrent
// use.
type Budget struct {
	mu    sync.Mutex
	saved float64
}

// New returns a full budget.
func New() *Budget {
	return &Budget{saved: burst}
}

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+earnPerCall, burst)
}

// Spend uses up one retry and reports whether the budget allowed it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
