package gateway

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
)

// LimitPublisher announces the rate limits that endpoints report to all
// daemons.
type LimitPublisher interface {
	// PublishLimit announces the requests per second that an incarnation of an
	// endpoint accepts from all daemons together; zero means no limit.
	PublishLimit(endpoint string, incarnation uint64, perSecond float64)
}

// Admitter grants permission to send requests to endpoints with rate limits.
type Admitter interface {
	// Admit requests permission to send one request to one of the endpoints.
	Admit(ctx context.Context, pool string, asks []ratelimit.Candidate, maxWait time.Duration) scheduling.Admission
}

// observeLimit evaluates the rate limit reported with an endpoint's answer and
// announces a change.
func (g *Gateway) observeLimit(at port.Endpoint, reported *float64) {
	h, found := g.endpointTable.get(at.ID)
	if !found || h.Incarnation != at.Incarnation || h.State == port.EndpointGone {
		return
	}
	perSecond, changed := g.limitObserver.ObserveAnswer(g.Clock(), &h.Endpoint, reported)
	if changed {
		g.Limits.PublishLimit(at.ID, at.Incarnation, perSecond)
	}
}

// recordLimitChange records a change of an endpoint's rate limit.
func (g *Gateway) recordLimitChange(before float64, e *port.Endpoint) {
	if before == e.RateLimit {
		return
	}
	g.limitBackoffs.reset(e.ID)
	g.limitBackoffs.reset(poolKey(e.Pool))
	reason := "names no limit any more"
	if e.RateLimit > 0 {
		reason = "takes " + strconv.FormatFloat(e.RateLimit, 'g', 4, 64) + " requests a second from all daemons together"
	}
	g.recordDecision(&port.DecisionRecord{
		Subject: subjectEndpoint, SubjectID: e.ID, Verdict: verdictLimit, Reason: reason, Endpoint: e.Address, Revision: e.Revision,
	})
}

// Limits of the time for which a call waits at endpoints with rate limits.
const (
	// maxTurnWait is how long a call waits for its turn. A call that is retried
	// at the time it was given waits up to twice as long.
	maxTurnWait = ratelimit.MaxPatience / 2
	// turnWaitDivisor: a call waits no longer than the time that is left
	// divided by this number. The time left runs to the route's objective, or
	// to the deadline once the objective has passed.
	turnWaitDivisor = 3
)

// limitBackoffs stores until when requesting admission for an endpoint or pool
// is pointless.
type limitBackoffs struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (r *limitBackoffs) set(key string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[key] = until
}

func (r *limitBackoffs) reset(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.until, key)
}

func (r *limitBackoffs) active(now time.Time, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, set := r.until[key]
	if set && !now.Before(until) {
		delete(r.until, key)
	}
	return now.Before(until)
}

// poolPromises holds, for each pool, the retry times given to callers that were
// refused because all endpoints were at their limits.
type poolPromises struct {
	mu sync.Mutex
	m  map[string]*admission.RetryBookings
}

// with calls f with a pool's promises, under the lock.
func (p *poolPromises) with(pool string, f func(*admission.RetryBookings)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[string]*admission.RetryBookings)
	}
	if p.m[pool] == nil {
		p.m[pool] = &admission.RetryBookings{}
	}
	f(p.m[pool])
}

// unlimited returns the endpoints without a rate limit.
func unlimited(es []port.Endpoint) []port.Endpoint {
	if !slices.ContainsFunc(es, isLimited) {
		return es
	}
	return slices.DeleteFunc(slices.Clone(es), isLimited)
}

func isLimited(e port.Endpoint) bool { return ratelimit.LimitOf(&e).PerSecond > 0 }

// placeWithinLimits chooses an endpoint that accepts a call now. Admission to
// an endpoint with a rate limit is requested only after the balancer has chosen
// it, so that it gets its share of the calls and no more than its limit. excluded
// lists the endpoints that are no candidates, for the decision's record.
func (x *exchange) placeWithinLimits(ctx context.Context, candidates []port.Endpoint, excluded []port.CandidateScore) (*placement, *Refusal) {
	free := unlimited(candidates)
	if len(free) == 0 && len(candidates) > 0 {
		return x.awaitTurn(ctx, candidates)
	}
	return x.chooseWithinLimits(ctx, candidates, free, excluded)
}

// chooseWithinLimits chooses among endpoints of which some have no rate limit.
func (x *exchange) chooseWithinLimits(ctx context.Context, candidates, free []port.Endpoint, excluded []port.CandidateScore) (*placement, *Refusal) {
	now := x.g.Clock()
	available, atLimit := x.g.splitByLimits(now, candidates)
	excluded = append(excluded, atLimit...)
	endpoint, scores, ok := x.g.balancer.Choose(now, available)
	if ok && isLimited(endpoint) && !x.admitCall(ctx, endpoint) {
		x.g.balancer.End(endpoint.ID)
		excluded = append(excluded, excludedByLimit(endpoint))
		endpoint, scores, ok = x.g.balancer.Choose(now, free)
	}
	if !ok {
		return nil, x.noEndpoint()
	}
	return x.startCall(endpoint, x.balanceReason(now, &endpoint, scores), append(scores, excluded...)), nil
}

// balanceReason returns why the balancer chose an endpoint.
func (x *exchange) balanceReason(now time.Time, e *port.Endpoint, scores []port.CandidateScore) string {
	if scores[0].Slowness == 0 {
		return "least calls of two drawn in pool " + x.pool
	}
	x.g.metrics.balancedByTime.Inc(1)
	return "shortest expected time of two drawn in pool " + x.pool + ": " + x.g.balancer.Explain(now, e)
}

// splitByLimits splits candidates into those that are available and those known
// to be at their limit.
func (g *Gateway) splitByLimits(now time.Time, candidates []port.Endpoint) (available []port.Endpoint, excluded []port.CandidateScore) {
	if !slices.ContainsFunc(candidates, isLimited) {
		return candidates, nil
	}
	for _, e := range candidates {
		if isLimited(e) && g.limitBackoffs.active(now, e.ID) {
			excluded = append(excluded, excludedByLimit(e))
			continue
		}
		available = append(available, e)
	}
	return available, excluded
}

func excludedByLimit(e port.Endpoint) port.CandidateScore {
	return port.CandidateScore{Endpoint: e.ID, Excluded: routing.ExcludedLimit}
}

func (x *exchange) startCall(e port.Endpoint, reason string, scores []port.CandidateScore) *placement {
	p := x.startAttempt(&placement{endpoint: e})
	x.record(port.VerdictPlace.String(), reason, "", scores)
	return p
}

func (g *Gateway) asksOf(es []port.Endpoint) []ratelimit.Candidate {
	asks := make([]ratelimit.Candidate, len(es))
	for i := range es {
		asks[i] = ratelimit.Candidate{Endpoint: es[i].ID, Limit: ratelimit.LimitOf(&es[i]), Refused: g.brittle.TakeRefused(es[i].ID)}
	}
	return asks
}

// admitCall requests admission for the call at an endpoint, without a wait.
func (x *exchange) admitCall(ctx context.Context, e port.Endpoint) bool {
	a := x.g.Placer.Admit(ctx, x.pool, x.g.asksOf([]port.Endpoint{e}), 0)
	x.coordinator = a.Coordinator
	if a.Endpoint == e.ID {
		return true
	}
	x.g.metrics.limitHits.Inc(1)
	x.g.limitBackoffs.set(e.ID, x.g.Clock().Add(a.Wait))
	return false
}

// awaitTurn waits for the endpoint that accepts a call soonest, if all have
// rate limits. A call for which the wait is too long is refused at once.
func (x *exchange) awaitTurn(ctx context.Context, limited []port.Endpoint) (*placement, *Refusal) {
	now := x.g.Clock()
	maxWait, scheduledRetry := x.allowedTurnWait(now)
	if !scheduledRetry && x.g.limitBackoffs.active(now, poolKey(x.pool)) {
		return nil, x.refuseAtLimits(now, limited)
	}
	a := x.g.Placer.Admit(ctx, x.pool, x.g.asksOf(limited), maxWait)
	x.coordinator = a.Coordinator
	index := slices.IndexFunc(limited, func(e port.Endpoint) bool { return e.ID == a.Endpoint })
	if index < 0 {
		x.g.limitBackoffs.set(poolKey(x.pool), now.Add(a.Wait))
		return nil, x.refuseAtLimits(now, limited)
	}
	if refusal := x.sleepUntilTurn(ctx, a.Wait); refusal != nil {
		return nil, refusal
	}
	endpoint, scores, _ := x.g.balancer.Choose(now, limited[index:index+1])
	reason := fmt.Sprintf("takes a call soonest of all in pool %s, which name limits, after %v", x.pool, a.Wait.Round(time.Millisecond))
	return x.startCall(endpoint, reason, scores), nil
}

// poolKey returns the key of a pool in limitBackoffs, distinct from the ids of
// endpoints.
func poolKey(pool string) string { return "pool/" + pool }

func (x *exchange) sleepUntilTurn(ctx context.Context, wait time.Duration) *Refusal {
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
	}
	refusal := &Refusal{Cause: CauseOverloaded}
	x.interrupted(ctx, refusal)
	return refusal
}

// allowedTurnWait returns how long the call may wait for its turn, and whether
// it is retried at the time it was given.
func (x *exchange) allowedTurnWait(now time.Time) (maxWait time.Duration, scheduledRetry bool) {
	x.g.promises.with(x.pool, func(p *admission.RetryBookings) { scheduledRetry = p.Redeem(now) })
	maxWait = maxTurnWait
	if scheduledRetry {
		maxWait *= 2
	}
	timeLeft := x.deadline.Sub(now)
	if onTime := x.req.Arrived.Add(x.req.Admission.Route.Objective).Sub(now); onTime > 0 {
		timeLeft = min(timeLeft, onTime)
	}
	return max(0, min(maxWait, timeLeft/turnWaitDivisor)), scheduledRetry
}

// refuseAtLimits refuses a call that no endpoint accepts in time. The retry
// times given to the callers are spaced by this daemon's share of the
// endpoints' limits.
func (x *exchange) refuseAtLimits(now time.Time, limited []port.Endpoint) *Refusal {
	x.g.metrics.limitHits.Inc(1)
	perSecond := 0.0
	for i := range limited {
		perSecond += ratelimit.LimitOf(&limited[i]).PerSecond
	}
	refusal := &Refusal{
		Cause:  CauseOverloaded,
		Detail: fmt.Sprintf("at_rate_limit: the %d endpoints of pool %s take %.4g requests a second", len(limited), x.pool, perSecond),
	}
	share := perSecond / float64(x.g.daemonCount())
	x.g.promises.with(x.pool, func(p *admission.RetryBookings) { refusal.RetryAfter = p.Book(now, 0, share) })
	return refusal
}
