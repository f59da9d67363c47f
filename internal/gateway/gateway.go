package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/balance"
	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/coldstart"
	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Announcer tells the rest of the system that this daemon is leaving.
type Announcer interface {
	SetLeaving()
}

// Placer places generations and is told what becomes of them.
type Placer interface {
	// Place blocks while the request is held, of which held is told.
	Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) port.Decision
	Progress(requestID string, tokens int)
	Finished(requestID string, tokens int, kind port.FinishKind)
	// Relocate chooses the runner that takes over a run.
	Relocate(ctx context.Context, requestID string, terms port.Relocation) port.Decision
	// Relocated ends a relocation; to is where the run is now.
	Relocated(requestID string, moved bool, to string)
	Admitter
}

// View is what a gateway sees of the system.
type View interface {
	port.StateView
	// FollowEndpoints returns a function that yields the endpoints that
	// changed since it was last called, at first all, and the ids of those that
	// were forgotten.
	FollowEndpoints() func() (changed []port.Endpoint, forgotten []string)
}

// Scheduler is what the gateway tells the scheduler of this daemon.
type Scheduler interface {
	// ChangeEndpoints takes what is new of some endpoints; the others stay.
	ChangeEndpoints(now time.Time, es []port.Endpoint)
	SetPolicy(p port.Policy)
	Tick(now time.Time)
}

// Ports are what a gateway reaches the world through.
type Ports struct {
	Endpoints port.Exchanger
	// Scheduler is this daemon's own, Placer finds the one that a pool falls to.
	Scheduler Scheduler
	Placer    Placer
	View      View
	Announcer Announcer
	// Quarantine keeps requests from endpoints that they would crash.
	Quarantine crashwatch.Quarantine
	Limits     LimitTeller
	Sink       port.DecisionSink
	// Freshness is how long ago the platform last answered any daemon, as far
	// as this one knows; negative for never. It may be nil.
	Freshness func() time.Duration
	// Policy turns the records in force into the scheduler's policy.
	Policy func([]port.Record) port.Policy
	// Evacuations returns those in force by the records.
	Evacuations func([]port.Record) evacuation.Set
	// Clock gives the time; nil is time.Now.
	Clock   func() time.Time
	Metrics gometrics.Registry
}

// Options are a gateway's settings.
type Options struct {
	ID            string
	CallerAddress string
	Breaker       breaker.Options
	// RetryShare and RetryBurst bound, for each pool, what is sent to a
	// second endpoint, see breaker.Budget. They hold for all daemons together.
	RetryShare float64
	RetryBurst int
	// MaxOpen bounds the requests open at once.
	MaxOpen int
	// RefusalsTried bounds the endpoints that one request is offered to while
	// each says that it didn't take it.
	RefusalsTried int
	// ReportMaxAge is the age past which a load report says nothing.
	ReportMaxAge time.Duration
	// ReclaimNotice is the time that an endpoint serves on at least after it
	// was heard to leave.
	ReclaimNotice time.Duration
	// EntryValidity is how long callers may keep an answer of Entry.
	EntryValidity time.Duration
	// Drain bounds a graceful shutdown.
	Drain DrainOptions
}

// Gateway is the application. Create it with New, then call Run.
type Gateway struct {
	Ports
	o        atomic.Pointer[Options]
	breakers *breaker.Set
	budgets  *budgets
	balancer *balance.Balancer
	metrics  *instruments
	departed membership.Departures
	runs     runs
	crashes  *crashwatch.Watch
	limits   *ratelimit.Observer
	cold     *coldstart.Tracker
	// atLimit are endpoints and pools that take nothing now.
	atLimit  refusals
	promises promises
	index    atomic.Pointer[route.Index]
	known    known
	// evacuated are the failure domains whose endpoints get nothing more.
	evacuated atomic.Pointer[evacuation.Set]
	// endpointChanges yields the endpoints that the view changed.
	endpointChanges func() (changed []port.Endpoint, forgotten []string)
	applying        sync.Mutex
	wasReady        atomic.Bool

	life lifecycle
}

// New returns a gateway that serves once Run is called.
func New(o Options, p Ports) *Gateway {
	if p.Clock == nil {
		p.Clock = time.Now
	}
	if p.Evacuations == nil {
		p.Evacuations = func([]port.Record) evacuation.Set { return evacuation.Set{} }
	}
	if p.Metrics == nil {
		p.Metrics = gometrics.NewRegistry()
	}
	g := &Gateway{
		Ports:    p,
		breakers: breaker.NewSet(o.Breaker),
		balancer: balance.New(balance.Options{Draw: draw, ReportMaxAge: o.ReportMaxAge}),
		metrics:  newInstruments(p.Metrics),
		limits:   ratelimit.NewObserver(),
		cold:     coldstart.NewTracker(),
	}
	g.o.Store(&o)
	g.evacuated.Store(&evacuation.Set{})
	g.crashes = g.watchCrashes()
	g.budgets = newBudgets(g.options, g.daemons)
	g.endpointChanges = p.View.FollowEndpoints()
	g.life.init()
	return g
}

// SetOptions takes over changed options. Those of the breakers and of reports
// hold from the start on.
func (g *Gateway) SetOptions(o Options) { g.o.Store(&o) }

func (g *Gateway) options() *Options { return g.o.Load() }

// tickInterval is the time between the scheduler's ticks: held requests are
// released by ends of others, so a tick only finds those that grew too old.
const tickInterval = 50 * time.Millisecond

// Run keeps the routes and endpoints current until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.tick(ctx) })
	g.follow(ctx)
	wg.Wait()
}

func (g *Gateway) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.warm()
			g.Scheduler.Tick(g.Clock())
			g.crashes.Tick()
		}
	}
}

// follow applies each change of the view.
func (g *Gateway) follow(ctx context.Context) {
	for {
		changed := g.View.Changed()
		g.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Synced reports whether the routes are known.
func (g *Gateway) Synced() bool { return g.index.Load() != nil }

// daemons counts the daemons that share what holds for all together.
func (g *Gateway) daemons() int {
	n := 0
	for _, m := range g.View.Members() {
		if m.State == port.MemberLive || m.State == port.MemberLeaving {
			n++
		}
	}
	return max(1, n)
}
