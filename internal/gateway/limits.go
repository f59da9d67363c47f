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

// LimitTeller tells all daemons of a limit that an endpoint names.
type LimitTeller interface {
	// TellLimit takes the requests a second that an incarnation takes from all
	// daemons together, zero for no limit.
	TellLimit(endpoint string, incarnation uint64, perSecond float64)
}

// Admitter gives leave to send requests to endpoints that name limits.
type Admitter interface {
	// Admit asks for leave to send one request to one of the endpoints.
	Admit(ctx context.Context, pool string, asks []ratelimit.Ask, patience time.Duration) scheduling.Admission
}

// heardLimit takes what an endpoint says of the requests that it takes.
func (g *Gateway) heardLimit(at port.Endpoint, named *float64) {
	h, knew := g.known.get(at.ID)
	if !knew || h.Incarnation != at.Incarnation || h.State == port.EndpointGone {
		return
	}
	perSecond, changed := g.limits.Answered(g.Clock(), &h.Endpoint, named)
	if changed {
		g.Limits.TellLimit(at.ID, at.Incarnation, perSecond)
	}
}

// noteLimit records a change of the limit that an endpoint is known by.
func (g *Gateway) noteLimit(before float64, e *port.Endpoint) {
	if before == e.RateLimit {
		return
	}
	g.atLimit.forget(e.ID)
	g.atLimit.forget(poolKey(e.Pool))
	reason := "names no limit any more"
	if e.RateLimit > 0 {
		reason = "takes " + strconv.FormatFloat(e.RateLimit, 'g', 4, 64) + " requests a second from all daemons together"
	}
	g.decide(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: verdictLimit, Reason: reason, Endpoint: e.Address, Revision: e.Revision,
	})
}

// Waits for endpoints that name limits.
const (
	// limitPatience is how long a call waits for its turn, one that comes back
	// at the time that it was promised twice as long.
	limitPatience = ratelimit.MaxPatience / 2
	// limitPart is the part of the time in which an answer is on time, or in
	// which it comes at all, that a call may wait.
	limitPart = 3
)

// refusals remembers until when asking for leave to send makes no sense.
type refusals struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (r *refusals) set(key string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = make(map[string]time.Time)
	}
	r.until[key] = until
}

func (r *refusals) forget(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.until, key)
}

func (r *refusals) hold(now time.Time, key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, set := r.until[key]
	if set && !now.Before(until) {
		delete(r.until, key)
	}
	return now.Before(until)
}

// promises to callers of a pool whose endpoints take no more.
type promises struct {
	mu sync.Mutex
	m  map[string]*admission.Promises
}

// of calls f with a pool's promises.
func (p *promises) of(pool string, f func(*admission.Promises)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.m == nil {
		p.m = make(map[string]*admission.Promises)
	}
	if p.m[pool] == nil {
		p.m[pool] = &admission.Promises{}
	}
	f(p.m[pool])
}

// unlimited returns the endpoints that name no limit.
func unlimited(es []port.Endpoint) []port.Endpoint {
	if !slices.ContainsFunc(es, isLimited) {
		return es
	}
	return slices.DeleteFunc(slices.Clone(es), isLimited)
}

func isLimited(e port.Endpoint) bool { return ratelimit.Of(&e).PerSecond > 0 }

// withinLimits draws an endpoint that takes a call now. One that names a limit is
// asked for where it is drawn, so that it gets its share of the calls and no more
// than it takes.
func (x *exchange) withinLimits(ctx context.Context, candidates []port.Endpoint) (*placement, *Refusal) {
	free := unlimited(candidates)
	if len(free) == 0 && len(candidates) > 0 {
		return x.awaitTurn(ctx, candidates)
	}
	return x.drawWithinLimits(ctx, candidates, free)
}

// drawWithinLimits draws among endpoints of which some name no limit.
func (x *exchange) drawWithinLimits(ctx context.Context, candidates, free []port.Endpoint) (*placement, *Refusal) {
	now := x.g.Clock()
	drawn, excluded := x.g.outsideLimits(now, candidates)
	endpoint, scores, ok := x.g.balancer.Choose(now, drawn)
	if ok && isLimited(endpoint) && !x.admitted(ctx, endpoint) {
		x.g.balancer.End(endpoint.ID)
		excluded = append(excluded, excludedByLimit(endpoint))
		endpoint, scores, ok = x.g.balancer.Choose(now, free)
	}
	if !ok {
		return nil, x.noEndpoint()
	}
	return x.placedCall(endpoint, "least calls of two drawn in pool "+x.pool, append(scores, excluded...)), nil
}

// outsideLimits divides candidates into those that can be drawn, and those that
// are known to take nothing now.
func (g *Gateway) outsideLimits(now time.Time, candidates []port.Endpoint) (drawn []port.Endpoint, excluded []port.CandidateScore) {
	if !slices.ContainsFunc(candidates, isLimited) {
		return candidates, nil
	}
	for _, e := range candidates {
		if isLimited(e) && g.atLimit.hold(now, e.ID) {
			excluded = append(excluded, excludedByLimit(e))
			continue
		}
		drawn = append(drawn, e)
	}
	return drawn, excluded
}

func excludedByLimit(e port.Endpoint) port.CandidateScore {
	return port.CandidateScore{Endpoint: e.ID, Excluded: routing.ExcludedLimit}
}

func (x *exchange) placedCall(e port.Endpoint, reason string, scores []port.CandidateScore) *placement {
	p := x.chosen(&placement{endpoint: e})
	x.record(port.VerdictPlace.String(), reason, "", scores)
	return p
}

func asksOf(es []port.Endpoint) []ratelimit.Ask {
	asks := make([]ratelimit.Ask, len(es))
	for i := range es {
		asks[i] = ratelimit.Ask{Endpoint: es[i].ID, Limit: ratelimit.Of(&es[i])}
	}
	return asks
}

// admitted asks for leave to send the call at once.
func (x *exchange) admitted(ctx context.Context, e port.Endpoint) bool {
	a := x.g.Placer.Admit(ctx, x.pool, asksOf([]port.Endpoint{e}), 0)
	x.coordinator = a.Coordinator
	if a.Endpoint == e.ID {
		return true
	}
	x.g.metrics.atLimit.Inc(1)
	x.g.atLimit.set(e.ID, x.g.Clock().Add(a.Wait))
	return false
}

// awaitTurn waits for the endpoint that takes a call soonest, where all name
// limits. A call for which that is too long is refused at once.
func (x *exchange) awaitTurn(ctx context.Context, limited []port.Endpoint) (*placement, *Refusal) {
	now := x.g.Clock()
	patience, promised := x.limitPatience(now)
	if !promised && x.g.atLimit.hold(now, poolKey(x.pool)) {
		return nil, x.overLimits(now, limited)
	}
	a := x.g.Placer.Admit(ctx, x.pool, asksOf(limited), patience)
	x.coordinator = a.Coordinator
	at := slices.IndexFunc(limited, func(e port.Endpoint) bool { return e.ID == a.Endpoint })
	if at < 0 {
		x.g.atLimit.set(poolKey(x.pool), now.Add(a.Wait))
		return nil, x.overLimits(now, limited)
	}
	if refusal := x.waitTurn(ctx, a.Wait); refusal != nil {
		return nil, refusal
	}
	endpoint, scores, _ := x.g.balancer.Choose(now, limited[at:at+1])
	reason := fmt.Sprintf("takes a call soonest of all in pool %s, which name limits, after %v", x.pool, a.Wait.Round(time.Millisecond))
	return x.placedCall(endpoint, reason, scores), nil
}

// poolKey tells pools from endpoints among what is refused.
func poolKey(pool string) string { return "pool/" + pool }

func (x *exchange) waitTurn(ctx context.Context, wait time.Duration) *Refusal {
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

// limitPatience is how long the call may wait for its turn, and whether it comes
// back as it was promised.
func (x *exchange) limitPatience(now time.Time) (patience time.Duration, promised bool) {
	x.g.promises.of(x.pool, func(p *admission.Promises) { promised = p.Redeem(now) })
	patience = limitPatience
	if promised {
		patience *= 2
	}
	left := x.deadline.Sub(now)
	if onTime := x.req.Arrived.Add(x.req.Pass.Route.Objective).Sub(now); onTime > 0 {
		left = min(left, onTime)
	}
	return max(0, min(patience, left/limitPart)), promised
}

// overLimits refuses a call that no endpoint takes in time. Those refused here
// come back one after the other, at this daemon's share of what the endpoints
// take.
func (x *exchange) overLimits(now time.Time, limited []port.Endpoint) *Refusal {
	x.g.metrics.atLimit.Inc(1)
	perSecond := 0.0
	for i := range limited {
		perSecond += ratelimit.Of(&limited[i]).PerSecond
	}
	refusal := &Refusal{
		Cause:  CauseOverloaded,
		Detail: fmt.Sprintf("at_rate_limit: the %d endpoints of pool %s take %.4g requests a second", len(limited), x.pool, perSecond),
	}
	share := perSecond / float64(x.g.daemons())
	x.g.promises.of(x.pool, func(p *admission.Promises) { refusal.RetryAfter = p.Book(now, 0, share) })
	return refusal
}
