package breaker

import "sync"

// Budget bounds retries to a share of first tries, so that a fault that makes every
// call fail adds at most that share to the load. It is safe for concurrent use.
type Budget struct {
	share float64
	limit float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a budget that earns share of a retry with each first try and
// holds at most limit. It starts full, to allow for failures right after a start.
func NewBudget(share, limit float64) *Budget {
	return &Budget{share: share, limit: limit, tokens: limit}
}

// Set changes the share and the limit, for example when the number of processes that
// divide the budget changes.
func (b *Budget) Set(share, limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share, b.limit = share, limit
	b.tokens = min(b.tokens, limit)
}

// FirstTry adds the share of a retry that one first try earns.
func (b *Budget) FirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.limit)
}

// HasRetry reports whether a retry is left.
func (b *Budget) HasRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Retry takes one retry from the budget; it returns false if the budget is spent.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
