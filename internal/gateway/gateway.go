package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/singleflight"

	"github.com/dragonflyrail/dragonflyrail/internal/core/balance"
	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/brittle"
	"github.com/dragonflyrail/dragonflyrail/internal/core/coldstart"
	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/pause"
	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/core/reachability"
	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Announcer announces to the other daemons the state of this one.
type Announcer interface {
	SetLeaving()
	// PublishLostPools announces the pools of which this daemon reaches no endpoint, in
	// ascending order.
	PublishLostPools(pools []string)
}

// Placer places generations. It is informed of their progress and their end.
type Placer interface {
	// Place blocks while the request is held, and calls held with the decision
	// to hold it.
	Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) port.Decision
	Progress(requestID string, tokens int)
	// Delayed reports that the caller of a run held its stream up, so that the time
	// until the next event doesn't show how fast the endpoint is.
	Delayed(requestID string)
	// Observe reports the slowness that the endpoint of a run states with the beginning
	// of its answer, as in port.LoadHint; zero for none.
	Observe(requestID string, slowness float64)
	Finished(requestID string, tokens int, kind port.FinishKind)
	// Relocate chooses the runner that a run moves to.
	Relocate(ctx context.Context, requestID string, constraints port.RelocationConstraints) port.Decision
	// Relocated ends a relocation; to is the runner that has the run now.
	Relocated(requestID string, moved bool, to string)
	Admitter
}

// View is the gateway's read access to the replicated state of the system.
type View interface {
	port.StateView
	// FollowEndpoints returns a function that yields the endpoints changed
	// since its last call and the ids of those removed since. Its first call
	// yields all endpoints.
	FollowEndpoints() func() (changed []port.Endpoint, forgotten []string)
}

// Scheduler is the part of this daemon's scheduler that the gateway drives.
type Scheduler interface {
	// ChangeEndpoints updates the given endpoints; all others stay unchanged.
	ChangeEndpoints(now time.Time, es []port.Endpoint)
	SetPolicy(p port.Policy)
	Tick(now time.Time)
}

// Ports are the external dependencies of a gateway.
type Ports struct {
	Endpoints port.Exchanger
	// Scheduler is this daemon's own scheduler. Placer forwards a request to
	// the daemon whose scheduler is responsible for its pool.
	Scheduler Scheduler
	Placer    Placer
	View      View
	Announcer Announcer
	// Quarantine identifies requests that crash the endpoints that run them.
	Quarantine crashwatch.Quarantine
	Limits     LimitPublisher
	Notices    NoticePublisher
	// Relayer passes requests on to other daemons; nil if they can't be.
	Relayer Relayer
	Sink    port.DecisionSink
	// Memory bounds the memory for requests; nil means no bound.
	Memory HostMemory
	// PlatformAge returns how long ago any daemon last got an answer from the
	// platform, as far as this daemon knows; negative if none ever did. It may
	// be nil.
	PlatformAge func() time.Duration
	// Policy derives the scheduler's policy from the records in force.
	Policy func([]port.Record) port.Policy
	// Evacuations returns the evacuations that the records put in force; nil
	// means none.
	Evacuations func([]port.Record) evacuation.Set
	// Clock returns the current time; nil means time.Now.
	Clock   func() time.Time
	Metrics gometrics.Registry
}

// Options are a gateway's settings.
type Options struct {
	ID            string
	CallerAddress string
	// Capacity is the capacity of this host as the other daemons know it. It applies
	// while the view doesn't list this daemon.
	Capacity port.HostCapacity
	Breaker  breaker.Options
	// RetryShare and RetryBurst bound, for each pool, the requests sent to a
	// second endpoint, see breaker.Budget. The bounds apply to all daemons
	// together.
	RetryShare float64
	RetryBurst int
	// MaxOpen bounds the requests open at the same time.
	MaxOpen int
	// AnswerMemory bounds the bytes of all answers that are held before they are passed
	// on, and makes the exchange hold little of each; zero means no bound.
	AnswerMemory int64
	// MaxRefusals bounds the endpoints that one request is sent to while each
	// of them answers that it did not accept it.
	MaxRefusals int
	// ReportMaxAge is the age from which on a load report is ignored.
	ReportMaxAge time.Duration
	// ReclaimNotice is the least time for which an endpoint continues to serve
	// after this daemon learns that it is leaving.
	ReclaimNotice time.Duration
	// UnevenEndpoints compares endpoints of plain services by the expected time of a
	// call.
	UnevenEndpoints bool
	// ScarceRoom ends the wait of generations whose keys are removed.
	ScarceRoom bool
	// EntryValidity is how long callers may cache an answer of Entry.
	EntryValidity time.Duration
	// Drain holds the time limits of a graceful shutdown.
	Drain DrainOptions
}

// Gateway routes the requests of callers. Create it with New, then call Run.
type Gateway struct {
	Ports
	o        atomic.Pointer[Options]
	breakers *breaker.Set
	// refusals opens for endpoints of plain services that refuse one call after the
	// other. They get calls only if no other endpoint is left: they answer fast and
	// would have the fewest open calls.
	refusals      *breaker.Set
	budgets       *budgets
	balancer      *balance.Balancer
	metrics       *instruments
	seenLeaving   membership.Departures
	formerStarts  formerStarts
	restartChecks restartChecks
	trials        trials
	runs          runs
	crashWatch    *crashwatch.Watch
	pauses        pause.Tracker
	limitObserver *ratelimit.Observer
	coldTracker   *coldstart.Tracker
	// paths holds which endpoints this daemon reaches.
	paths *reachability.Tracker
	// publishedLostPools holds the lost pools as published last.
	publishedLostPools lostPools
	// entrySelections are the daemons that callers are led to.
	entrySelections entrySelections
	otherCheckCalls singleflight.Group
	relays          relays
	// brittle holds the endpoints that crash when they refuse too much.
	brittle *brittle.Tracker
	// limitBackoffs holds the endpoints and pools that accept no requests for
	// now, because of their rate limits.
	limitBackoffs limitBackoffs
	promises      poolPromises
	answers       answerMemory
	index         atomic.Pointer[route.Index]
	// recordsComplete: a complete set of records has been applied.
	recordsComplete atomic.Bool
	endpointTable   endpointTable
	// evacuated holds the evacuated failure domains, whose endpoints get no
	// further requests.
	evacuated atomic.Pointer[evacuation.Set]
	// endpointChanges returns the endpoints that changed in the view since its
	// last call, see View.FollowEndpoints.
	endpointChanges func() (changed []port.Endpoint, forgotten []string)
	applyMu         sync.Mutex
	wasReady        atomic.Bool

	waiting   waitingRequests
	lifecycle lifecycle
}

// New returns a gateway that needs Run to be called before it serves.
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
		refusals: breaker.NewSet(o.Breaker),
		balancer: balance.New(balance.Options{
			Draw: randomIndex, ReportMaxAge: o.ReportMaxAge, UnevenEndpoints: o.UnevenEndpoints, HasConnection: hasConnection(p.Endpoints),
		}),
		metrics:       newInstruments(p.Metrics),
		limitObserver: ratelimit.NewObserver(),
		coldTracker:   coldstart.NewTracker(),
		brittle:       brittle.NewTracker(),
	}
	g.o.Store(&o)
	g.evacuated.Store(&evacuation.Set{})
	g.paths = reachability.NewTracker(g.endpointTable.usableIDs)
	g.crashWatch = g.watchCrashes()
	g.budgets = newBudgets(g.options, g.daemonCount)
	g.endpointChanges = p.View.FollowEndpoints()
	g.lifecycle.init()
	return g
}

// hasConnection returns a function that reports whether a client keeps an unused connection
// to an endpoint, nil if the client doesn't know.
func hasConnection(client port.Exchanger) func(e *port.Endpoint) bool {
	if c, ok := client.(interface {
		HasIdleConnection(e *port.Endpoint) bool
	}); ok {
		return c.HasIdleConnection
	}
	return nil
}

// SetOptions replaces the options. Changes of the breaker options, of
// ReportMaxAge and of UnevenEndpoints have no effect: these are read by New only.
func (g *Gateway) SetOptions(o Options) { g.o.Store(&o) }

func (g *Gateway) options() *Options { return g.o.Load() }

// tickInterval is the time between the scheduler's ticks. Held requests are
// released when others end; a tick only finds those that were held for too
// long.
const tickInterval = 50 * time.Millisecond

// Run keeps the routes and endpoints up to date until the context ends.
func (g *Gateway) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { g.tick(ctx) })
	g.followView(ctx)
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
			g.restoreWarmed()
			g.recordEndedPauses()
			g.Scheduler.Tick(g.Clock())
			g.crashWatch.Tick()
			g.checkPaths()
		}
	}
}

// followView applies each change of the view.
func (g *Gateway) followView(ctx context.Context) {
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

// Synced reports whether the routes and all other records have been applied. Before
// that, requests could be sent to a failure domain whose evacuation is not known yet.
func (g *Gateway) Synced() bool { return g.index.Load() != nil && g.recordsComplete.Load() }

// daemonCount returns the number of daemons, at least 1, among which limits for
// the whole system are divided.
func (g *Gateway) daemonCount() int {
	n := 0
	for _, m := range g.View.Members() {
		if m.State == port.MemberLive || m.State == port.MemberLeaving {
			n++
		}
	}
	return max(1, n)
}
