package admission

import "github.com/dragonflyrail/dragonflyrail/internal/core/breaker"

// Bounds of the retry budget.
const (
	// retryShare is the number of retries that each first try earns.
	retryShare = 0.1
	// retryReserve is the initial and maximum number of saved retries. It lets
	// a router with little traffic retry, and bounds the retries that a
	// long time without failures can save up.
	retryReserve = 5
)

// RetryBudget bounds retries of generations to a share of first tries. Without it
// the retries of each failure would keep an overloaded pool overloaded. The zero
// value is a full budget. It is not safe for concurrent use.
type RetryBudget struct {
	budget *breaker.Budget
}

// FirstTry adds the share of a retry that one first try earns.
func (b *RetryBudget) FirstTry() { b.lazyInit().FirstTry() }

// Retry takes one retry from the budget; it returns false if the budget is spent.
func (b *RetryBudget) Retry() bool { return b.lazyInit().Retry() }

func (b *RetryBudget) lazyInit() *breaker.Budget {
	if b.budget == nil {
		b.budget = breaker.NewBudget(retryShare, retryReserve)
	}
	return b.budget
}
