package breaker

import "sync"

// Budget bounds retries to a share of first tries, so that a fault that makes
// every call fail at most adds that share to the load. It is safe for
// concurrent use.
type Budget struct {
	share float64
	limit float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that gains share of a retry with each first try
// and holds at most limit. It starts full, for the first faults after a start.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, limit: limit, tokens: limit}
}

// Set changes the share and what the budget may hold, as when the number of
// those who share it changes.
func (b *Budget) Set(share, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.limit = share, limit
	b.tokens = min(b.tokens, limit)
}

// FirstTry adds the share of one first try.
func (b *Budget) FirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.limit)
}

// Retry takes one retry, or reports that the budget is spent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
