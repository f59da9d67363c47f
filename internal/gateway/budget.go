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
	share   float64
	burst   int
	daemons func() int
	mu      sync.Mutex
	m       map[string]*breaker.Budget
}

func newBudgets(share float64, burst int, daemons func() int) *budgets {
	return &budgets{share: share, burst: burst, daemons: daemons, m: make(map[string]*breaker.Budget)}
}

func (b *budgets) pool(name string) *breaker.Budget {
	limit := float64(b.burst) / float64(b.daemons())
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.m[name]
	if budget == nil {
		budget = breaker.NewBudget(b.share, limit)
		b.m[name] = budget
	}
	budget.SetLimit(limit)
	return budget
}
