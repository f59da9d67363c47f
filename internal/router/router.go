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

// Services calls plain services. Its errors are port.ErrNotSent and
// port.ErrEndpointLost.
type Services interface {
	Call(ctx context.Context, e port.Endpoint, r *ServiceRequest) (*ServiceReply, error)
	Load(ctx context.Context, e port.Endpoint) (port.LoadReport, error)
	// Look finds out whether an endpoint serves.
	Look(ctx context.Context, e port.Endpoint) port.Presence
}

// Peers asks other routers.
type Peers interface {
	// LookupRequest returns the JSON of the peer's RequestStatus, and false
	// where the peer doesn't know the request.
	LookupRequest(ctx context.Context, peerAddress, requestID string) (json []byte, found bool, err error)
}

// Announcer tells the rest of the system that this router is leaving.
type Announcer interface {
	SetLeaving()
}

// Observer takes an endpoint's own word on itself, for the other routers.
type Observer interface {
	ObserveReport(r *port.LoadReport)
}

// Ports are what a router reaches the world through.
type Ports struct {
	Engine    port.Engine
	Services  Services
	Scheduler port.Scheduler
	View      port.StateView
	Claimer   port.Claimer
	Peers     Peers
	Announcer Announcer
	// Quarantine keeps requests from endpoints that they would crash.
	Quarantine crashwatch.Quarantine
	// Observer may be nil.
	Observer Observer
	Sink     port.DecisionSink
	// Policy turns the records in force into the scheduler's policy.
	Policy func([]port.Record) port.Policy
	// Evacuations returns those in force by the records.
	Evacuations func([]port.Record) evacuation.Set
	// KeyRetention is how long claims of idempotency keys are remembered;
	// zero or nil where no keeper has told it yet.
	KeyRetention func() time.Duration
	// Clock gives the time; nil is time.Now.
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
	// HoldLimit bounds how long a request waits for a place.
	HoldLimit time.Duration
	// StallTimeout is the silence after which an engine is probed.
	StallTimeout time.Duration
	// CancelTimeout bounds one cancel.
	CancelTimeout time.Duration
	// CancelLimit bounds how long a cancel is repeated.
	CancelLimit time.Duration
	// ServiceTimeout bounds one call of a plain service.
	ServiceTimeout time.Duration
	// ClaimTimeout bounds the wait for a claim.
	ClaimTimeout time.Duration
	// PeerTimeout bounds a question to another router.
	PeerTimeout time.Duration
	// BufferFrames bounds the frames read ahead of a caller.
	BufferFrames int
	// ReaderPatience is how long a full buffer may stay untouched.
	ReaderPatience time.Duration
	// LoadInterval is the time between rounds of load polling; reports
	// older than LoadStale are asked for.
	LoadInterval time.Duration
	LoadStale    time.Duration
	// LoadSubset bounds the endpoints polled by this router.
	LoadSubset int
	// LoadPollsPerSecond bounds the polls for load.
	LoadPollsPerSecond float64
	// EntryValidity is how long callers may keep an entry answer.
	EntryValidity time.Duration
	// DrainTimeout bounds a graceful shutdown.
	DrainTimeout time.Duration
	// RememberRequests bounds the request states kept.
	RememberRequests int
	// RememberReplies bounds the stored replies of keyed calls, in bytes.
	RememberReplies int
}

// Router is the application. Create it with New, then call Run.
type Router struct {
	Ports
	o        Options
	requests *requests
	replies  *replies
	breakers *breaker.Set
	budget   *breaker.Budget
	balancer *balance.Balancer
	cancels  *cancels
	loads    *loads
	metrics  *instruments
	departed membership.Departures
	// evacuated are the evacuations in force, guarded by applying.
	evacuated evacuation.Set
	takers    atomic.Pointer[takers]
	crashes   *crashwatch.Watch
	applying  sync.Mutex

	life lifecycle
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
		Ports:    p,
		o:        o,
		requests: newRequests(o.RememberRequests),
		replies:  newReplies(o.RememberReplies),
		breakers: breaker.NewSet(o.Breaker),
		budget:   breaker.NewBudget(o.RetryShare, float64(o.RetryBurst)),
		balancer: balance.New(balance.Options{Draw: draw, ReportMaxAge: 10 * o.LoadStale}),
		metrics:  newInstruments(p.Metrics),
	}
	r.crashes = r.watchCrashes()
	r.cancels = newCancels(r)
	r.loads = newLoads(r)
	r.takers.Store(&takers{})
	r.life.init()
	return r
}

// tickInterval is the time between the scheduler's ticks.
const tickInterval = 100 * time.Millisecond

// Run keeps the scheduler's view current until the context ends.
func (r *Router) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { r.cancels.run(ctx) })
	wg.Go(func() { r.loads.run(ctx) })
	wg.Go(func() { r.tick(ctx) })
	r.follow(ctx)
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
			r.crashes.Tick()
		}
	}
}

// follow applies each change of the view.
func (r *Router) follow(ctx context.Context) {
	for {
		changed := r.View.Changed()
		r.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (r *Router) apply() {
	r.Scheduler.SetPolicy(r.Policy(r.View.Records()))
	r.setEndpoints()
}

// takers are the endpoints that may take new work.
type takers struct {
	runners  []port.Endpoint
	services []port.Endpoint
	// byService lists the services' endpoints by pool.
	byService map[string][]port.Endpoint
	// evacuated are the services that have endpoints in evacuated failure domains.
	evacuated map[string]bool
}

// setEndpoints sorts the view's endpoints once per change, and not once per
// request. Two changes at a time are taken in turn, so that the later view
// stays.
func (r *Router) setEndpoints() {
	r.applying.Lock()
	defer r.applying.Unlock()
	t := &takers{byService: make(map[string][]port.Endpoint), evacuated: make(map[string]bool)}
	known := make(map[string]bool)
	evacuations := r.applyEvacuations()
	for _, e := range r.View.Endpoints() {
		known[e.ID] = true
		if e.State != port.EndpointLive || r.departed.Has(e) {
			continue
		}
		e = evacuations.Mark(e)
		if e.Kind == port.KindService && e.Evacuated {
			t.evacuated[e.Pool] = true
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
	r.takers.Store(t)
	r.Scheduler.SetEndpoints(r.Clock(), t.runners)
	r.balancer.Keep(known)
	r.departed.Keep(known)
}

// applyEvacuations puts the evacuations of the records in force; r.applying is
// held.
func (r *Router) applyEvacuations() evacuation.Set {
	next := r.Evacuations(r.View.Records())
	changes := r.evacuated.ChangesTo(next)
	r.evacuated = next
	for _, d := range changes.Decisions(next) {
		r.decide(d)
	}
	return next
}

// reachable leaves out the runners that the keepers' probes don't reach. Where
// that would leave none of a pool, its runners stay: it may be the keepers
// that are cut off.
func reachable(runners []port.Endpoint) []port.Endpoint {
	well := make(map[string]bool)
	for _, e := range runners {
		well[e.Pool] = well[e.Pool] || !e.Unreachable
	}
	out := make([]port.Endpoint, 0, len(runners))
	for _, e := range runners {
		if !e.Unreachable || !well[e.Pool] {
			out = append(out, e)
		}
	}
	return out
}

// sawLeaving takes an endpoint's own word that it leaves.
func (r *Router) sawLeaving(e port.Endpoint) {
	if !r.departed.Add(e) {
		return
	}
	r.decide(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: "leave", Endpoint: e.ID,
		Reason: "the endpoint itself says that it leaves",
	})
	r.setEndpoints()
}
