package gateway

import (
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
)

// budgets bound what is sent to a second endpoint, for each pool. The bound
// holds for all daemons together and each takes an even part, so nothing is
// asked of others per request: a daemon earns with its own first tries, and
// the burst is divided by the number of daemons.
type budgets struct {
	options func() *Options
	daemons func() int
	mu      sync.Mutex
	m       map[string]*breaker.Budget
}

func newBudgets(options func() *Options, daemons func() int) *budgets {
	return &budgets{options: options, daemons: daemons, m: make(map[string]*breaker.Budget)}
}

func (b *budgets) pool(name string) *breaker.Budget {
	o := b.options()
	limit := float64(o.RetryBurst) / float64(b.daemons())
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.m[name]
	if budget == nil {
		budget = breaker.NewBudget(o.RetryShare, limit)
		b.m[name] = budget
	}
	budget.Set(o.RetryShare, limit)
	return budget
}
