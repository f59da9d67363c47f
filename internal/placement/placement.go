// Package placement runs the placement of models for a keeper: it holds leases on
// shards of endpoints, reads the actual state of the runners, and sends the orders
// that bring the model deployments into force. It stores no state of its own; a
// keeper that takes over a shard reads the actual state and continues from there.
package placement

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/lease"
	"github.com/dragonflyrail/dragonflyrail/internal/core/placement"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Defaults of Options.
const (
	DefaultShards        = 8
	DefaultDuration      = 15 * time.Second
	DefaultMargin        = time.Second
	DefaultOrderTimeout  = 4 * time.Second
	DefaultInterval      = 2 * time.Second
	DefaultIdleInterval  = 30 * time.Second
	DefaultLeaseInterval = 2 * time.Second
	DefaultTakeoverGrace = 5 * time.Second
	DefaultGiveBackAfter = time.Minute
	DefaultCallTimeout   = time.Second
	DefaultStateTimeout  = time.Second
	DefaultMaxLoads      = 2
	DefaultParallel      = 16
)

// View provides the keeper's view of the system.
type View interface {
	Records() []port.Record
	Endpoints() []port.Endpoint
	Members() []port.Member
	// Ready reports whether Records returns the complete set.
	Ready() bool
}

// Options configures a Loop. Platform, Orderer, Decisions, View, KeeperID and
// Session are required.
type Options struct {
	Platform  port.Platform
	Orderer   port.Orderer
	Decisions port.DecisionSink
	View      View
	// KeeperID identifies the lease holder; Session is different after each start.
	KeeperID string
	Session  string
	// Shards is used only if the platform stores no layout yet.
	Shards int
	Terms  lease.Terms
	// Interval is the time between two passes over the runners while there is work
	// to do, IdleInterval while nothing changes and every runner is in its desired
	// state. LeaseInterval is the time between two passes over the leases.
	Interval      time.Duration
	IdleInterval  time.Duration
	LeaseInterval time.Duration
	// TakeoverGrace is how long a keeper that is not the preferred one leaves an
	// expired lease to the preferred one.
	TakeoverGrace time.Duration
	// GiveBackAfter is how long a shard's preferred keeper must have been live
	// before another holder releases the shard to it.
	GiveBackAfter time.Duration
	// CallTimeout bounds a call to the platform, StateTimeout a read of a runner's
	// state.
	CallTimeout  time.Duration
	StateTimeout time.Duration
	// MaxLoads is the budget of the weight store: the number of concurrent loads
	// over all keepers.
	MaxLoads int
	// Parallel bounds the number of concurrent calls to runners.
	Parallel int
	// Now must be monotonic, as time.Now is within a process.
	Now     func() time.Time
	Logger  *log.Logger
	Metrics gometrics.Registry
}

func (o *Options) setDefaults() {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Metrics == nil {
		o.Metrics = gometrics.NewRegistry()
	}
	if o.Logger == nil {
		o.Logger = &log.Logger{Writer: &log.IOWriter{Writer: discard{}}}
	}
	setDefault(&o.Shards, DefaultShards)
	setDefault(&o.Terms.Duration, DefaultDuration)
	setDefault(&o.Terms.Margin, DefaultMargin)
	setDefault(&o.Terms.OrderTimeout, DefaultOrderTimeout)
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.IdleInterval, DefaultIdleInterval)
	setDefault(&o.GiveBackAfter, DefaultGiveBackAfter)
	setDefault(&o.LeaseInterval, DefaultLeaseInterval)
	setDefault(&o.TakeoverGrace, DefaultTakeoverGrace)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.StateTimeout, DefaultStateTimeout)
	setDefault(&o.MaxLoads, DefaultMaxLoads)
	setDefault(&o.Parallel, DefaultParallel)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Loop places models. Leases and runners are processed by separate goroutines, so
// that a slow runner never causes the loss of a lease.
type Loop struct {
	opts     Options
	leases   *leases
	ledger   *ledgerStore
	recorder *decisionRecorder
	// orders counts the orders sent, by outcome.
	orders map[string]gometrics.Counter

	// lastPass is the state of the last pass. Only the goroutine that runs the
	// passes uses it.
	lastPass passState

	mu sync.Mutex
	// blockedUntil holds the time before which a runner gets no order, because the
	// reply to its last order was lost and that order may still arrive.
	blockedUntil map[string]time.Time
}

// New returns a Loop. It fails if the lease terms leave no time for an order.
func New(o Options) (*Loop, error) {
	o.setDefaults()
	if err := o.Terms.Validate(); err != nil {
		return nil, err
	}
	l := &Loop{
		recorder:     newDecisionRecorder(o.Decisions, o.Now),
		blockedUntil: map[string]time.Time{},
		orders:       map[string]gometrics.Counter{},
	}
	l.opts = o
	l.leases = newLeases(&l.opts)
	l.ledger = &ledgerStore{opts: &l.opts}
	for _, outcome := range []string{outcomeTaken, outcomeRefused, outcomeStale, outcomeNotSent, outcomeUnknown} {
		l.orders[outcome] = gometrics.GetOrRegisterCounter("placement_orders_"+outcome+"_count", o.Metrics)
	}
	return l, nil
}

// Run works until the context ends, then releases the leases. It waits for orders
// under way, until they are answered or time out.
func (l *Loop) Run(ctx context.Context) {
	var group sync.WaitGroup
	leaseCtx, stopLeases := context.WithCancel(context.Background())
	group.Go(func() { runPeriodically(leaseCtx, l.opts.LeaseInterval, l.leases.pass) })
	runPeriodically(ctx, l.opts.Interval, l.tick)
	stopLeases()
	group.Wait()
	releaseCtx, cancel := context.WithTimeout(context.Background(), l.opts.CallTimeout)
	defer cancel()
	l.leases.release(releaseCtx)
}

// runPeriodically calls f at once and then at each interval until the context ends.
func runPeriodically(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (l *Loop) blockOrders(endpoint string, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.blockedUntil[endpoint] = until
}

func (l *Loop) isBlocked(endpoint string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, found := l.blockedUntil[endpoint]
	if found && !l.opts.Now().Before(until) {
		delete(l.blockedUntil, endpoint)
		return false
	}
	return found
}

func (l *Loop) budget() placement.Budget { return placement.Budget{MaxLoads: l.opts.MaxLoads} }
