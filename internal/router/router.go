package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/balance"
	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Names of the headers that the system defines.
const (
	HeaderRequestID      = "Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderNonIdempotent  = "Request-Non-Idempotent"
	HeaderOrganisation   = "Organisation"
)

// Services calls the endpoints of plain services. Its errors are port.ErrNotSent
// and port.ErrEndpointLost.
type Services interface {
	Call(ctx context.Context, e port.Endpoint, r *ServiceRequest) (*ServiceReply, error)
	Load(ctx context.Context, e port.Endpoint) (port.LoadReport, error)
	// CheckPresence probes whether an endpoint is serving.
	CheckPresence(ctx context.Context, e port.Endpoint) port.Presence
}

// Peers queries other routers.
type Peers interface {
	// LookupRequest returns the JSON of the peer's RequestStatus, or false if the
	// peer has no record of the request.
	LookupRequest(ctx context.Context, peerAddress, requestID string) (json []byte, found bool, err error)
}

// Announcer announces to the rest of the system that this router is leaving.
type Announcer interface {
	SetLeaving()
}

// Observer receives the load reports of endpoints, to share them with the other
// routers.
type Observer interface {
	ObserveReport(r *port.LoadReport)
}

// Ports holds the external dependencies of a Router.
type Ports struct {
	Engine    port.Engine
	Services  Services
	Scheduler port.Scheduler
	View      port.StateView
	Claimer   port.Claimer
	Peers     Peers
	Announcer Announcer
	// Quarantine identifies the requests that crash endpoints, so that they aren't
	// dispatched.
	Quarantine crashwatch.Quarantine
	// Observer may be nil.
	Observer Observer
	Sink     port.DecisionSink
	// Policy derives the scheduler's policy from the records in force.
	Policy func([]port.Record) port.Policy
	// Evacuations returns the evacuations in force according to the records; nil
	// means none.
	Evacuations func([]port.Record) evacuation.Set
	// KeyRetention returns how long claims of idempotency keys are kept. It returns
	// zero until a keeper has reported the value; nil is treated like zero.
	KeyRetention func() time.Duration
	// Clock returns the current time; nil means time.Now.
	Clock   func() time.Time
	Metrics gometrics.Registry
}

// Options are a router's settings.
type Options struct {
	ID            string
	CallerAddress string
	Tokens        *stream.Tokens
	Stream        stream.Limits
	Breaker       breaker.Options
	// RetryShare and RetryBurst bound retries, see breaker.Budget.
	RetryShare float64
	RetryBurst int
	// MaxAttempts bounds the endpoints that one request tries.
	MaxAttempts int
	// MaxOpen bounds the requests open at once.
	MaxOpen int
	// HoldLimit bounds how long a request waits to be placed.
	HoldLimit time.Duration
	// StallTimeout is how long an engine may send nothing before it is probed.
	StallTimeout time.Duration
	// CancelTimeout bounds one cancel call.
	CancelTimeout time.Duration
	// CancelLimit bounds how long an unanswered cancel is retried.
	CancelLimit time.Duration
	// ServiceTimeout bounds one call of a plain service.
	ServiceTimeout time.Duration
	// ClaimTimeout bounds the wait for a claim.
	ClaimTimeout time.Duration
	// PeerTimeout bounds a lookup at another router.
	PeerTimeout time.Duration
	// BufferFrames bounds the frames buffered for a caller.
	BufferFrames int
	// SlowReaderTimeout is how long a full frame buffer may go unread before the
	// connection to the engine is closed.
	SlowReaderTimeout time.Duration
	// LoadInterval is the time between rounds of load polling. A round polls
	// endpoints whose last report is older than LoadMaxAge.
	LoadInterval time.Duration
	LoadMaxAge   time.Duration
	// LoadSubset bounds the number of runners, and likewise of service endpoints,
	// that this router polls.
	LoadSubset int
	// LoadPollsPerSecond bounds the rate of load polls.
	LoadPollsPerSecond float64
	// EntryValidity is how long callers may cache the addresses that EntryAddresses returns.
	EntryValidity time.Duration
	// DrainTimeout bounds a graceful shutdown; see Router.Drain for the grace period
	// after it.
	DrainTimeout time.Duration
	// MaxRequestStatuses bounds the number of request statuses kept.
	MaxRequestStatuses int
	// ReplyCacheBytes bounds the stored replies of keyed calls, in bytes.
	ReplyCacheBytes int
}

// Router admits requests, places them on endpoints and tracks them to their end.
// Create it with New, then call Run.
type Router struct {
	Ports
	o           Options
	statuses    *statusStore
	replyCache  *replyCache
	breakers    *breaker.Set
	budget      *breaker.Budget
	balancer    *balance.Balancer
	cancelQueue *cancelQueue
	loadPoller  *loadPoller
	metrics     *instruments
	departures  membership.Departures
	// activeEvacuations are the evacuations in force, guarded by applyMu.
	activeEvacuations evacuation.Set
	eligible          atomic.Pointer[eligibleEndpoints]
	crashWatch        *crashwatch.Watch
	applyMu           sync.Mutex

	lifecycle lifecycle
}

// New returns a router that serves once Run is called.
func New(o Options, p Ports) *Router {
	if p.Clock == nil {
		p.Clock = time.Now
	}
	if p.Evacuations == nil {
		p.Evacuations = func([]port.Record) evacuation.Set { return evacuation.Set{} }
	}
	if p.Metrics == nil {
		p.Metrics = gometrics.NewRegistry()
	}
	r := &Router{
		Ports:      p,
		o:          o,
		statuses:   newStatusStore(o.MaxRequestStatuses),
		replyCache: newReplyCache(o.ReplyCacheBytes),
		breakers:   breaker.NewSet(o.Breaker),
		budget:     breaker.NewBudget(o.RetryShare, float64(o.RetryBurst)),
		balancer:   balance.New(balance.Options{Draw: randIntN, ReportMaxAge: 10 * o.LoadMaxAge}),
		metrics:    newInstruments(p.Metrics),
	}
	r.crashWatch = r.newCrashWatch()
	r.cancelQueue = newCancelQueue(r)
	r.loadPoller = newLoadPoller(r)
	r.eligible.Store(&eligibleEndpoints{})
	r.lifecycle.init()
	return r
}

// tickInterval is the time between the scheduler's ticks.
const tickInterval = 100 * time.Millisecond

// Run does the router's background work until the context ends: it applies changes
// of the view, retries cancels, polls endpoints for their load and ticks the
// scheduler.
func (r *Router) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.cancelQueue.run(ctx) })
	wg.Go(func() { r.loadPoller.run(ctx) })
	wg.Go(func() { r.tick(ctx) })
	r.watchView(ctx)
	wg.Wait()
}

func (r *Router) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.Scheduler.Tick(r.Clock())
			r.crashWatch.Tick()
		}
	}
}

// watchView applies the view at once and after each change until the context ends.
func (r *Router) watchView(ctx context.Context) {
	for {
		changed := r.View.Changed()
		r.applyView()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (r *Router) applyView() {
	r.Scheduler.SetPolicy(r.Policy(r.View.Records()))
	r.setEndpoints()
}

// eligibleEndpoints are the endpoints that may receive new work.
type eligibleEndpoints struct {
	runners  []port.Endpoint
	services []port.Endpoint
	// byService maps the pool of a service to its endpoints.
	byService map[string][]port.Endpoint
	// evacuatedServices are the services that have endpoints in evacuated failure
	// domains.
	evacuatedServices map[string]bool
}

// setEndpoints recomputes the eligible endpoints from the view, once per change
// instead of once per request. The lock serialises concurrent changes, so that an
// older view can't overwrite a newer one.
func (r *Router) setEndpoints() {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	t := &eligibleEndpoints{byService: make(map[string][]port.Endpoint), evacuatedServices: make(map[string]bool)}
	known := make(map[string]bool)
	evacuations := r.applyEvacuations()
	for _, e := range r.View.Endpoints() {
		known[e.ID] = true
		if e.State != port.EndpointLive || r.departures.Has(e) {
			continue
		}
		e = evacuations.Mark(e)
		if e.Kind == port.KindService && e.Evacuated {
			t.evacuatedServices[e.Pool] = true
			continue
		}
		if e.Kind == port.KindService {
			t.services = append(t.services, e)
			t.byService[e.Pool] = append(t.byService[e.Pool], e)
			continue
		}
		t.runners = append(t.runners, e)
	}
	t.runners = reachable(t.runners)
	r.eligible.Store(t)
	r.Scheduler.SetEndpoints(r.Clock(), t.runners)
	r.balancer.Retain(known)
	r.departures.Retain(known)
}

// applyEvacuations updates the active evacuations from the records and records a
// decision for each change. The caller must hold applyMu.
func (r *Router) applyEvacuations() evacuation.Set {
	next := r.Evacuations(r.View.Records())
	changes := r.activeEvacuations.ChangesTo(next)
	r.activeEvacuations = next
	for _, d := range changes.Decisions(next) {
		r.recordDecision(d)
	}
	return next
}

// reachable removes the runners that the keepers' probes can't reach. If that would
// remove every runner of a pool, they are kept, because the keepers may be the ones
// that are cut off.
func reachable(runners []port.Endpoint) []port.Endpoint {
	hasReachable := make(map[string]bool)
	for _, e := range runners {
		hasReachable[e.Pool] = hasReachable[e.Pool] || !e.Unreachable
	}
	out := make([]port.Endpoint, 0, len(runners))
	for _, e := range runners {
		if !e.Unreachable || !hasReachable[e.Pool] {
			out = append(out, e)
		}
	}
	return out
}

// markLeaving stops new work for an endpoint that has reported that it is leaving.
func (r *Router) markLeaving(e port.Endpoint) {
	if !r.departures.Add(e) {
		return
	}
	r.recordDecision(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: "leave", Endpoint: e.ID,
		Reason: "the endpoint itself says that it leaves",
	})
	r.setEndpoints()
}
