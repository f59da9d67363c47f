package gateway

import (
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
)

// budgets limit, for each pool, the requests that are sent to a second
// endpoint. The limit applies to all daemons together and each takes an equal
// share without contacting the others per request: a daemon's budget grows with
// its own first attempts, and the burst is divided by the number of daemons.
type budgets struct {
	options     func() *Options
	daemonCount func() int
	mu          sync.Mutex
	m           map[string]*breaker.Budget
}

func newBudgets(options func() *Options, daemonCount func() int) *budgets {
	return &budgets{options: options, daemonCount: daemonCount, m: make(map[string]*breaker.Budget)}
}

func (b *budgets) pool(name string) *breaker.Budget {
	o := b.options()
	limit := float64(o.RetryBurst) / float64(b.daemonCount())
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
