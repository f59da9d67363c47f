package gateway

import (
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// apply takes over what the view holds. Two changes at a time are taken in
// turn, so that the later view stays.
func (g *Gateway) apply() {
	g.applying.Lock()
	defer g.applying.Unlock()
	records := g.View.Records()
	changed, forgotten := g.endpointChanges()
	if g.applyRoutes(records) {
		// The routes say how large the caches of a pool's endpoints are.
		changed = g.View.Endpoints()
	}
	changed = append(changed, g.applyEvacuations(records)...)
	g.takeEndpoints(changed)
	g.forgetEndpoints(forgotten)
	g.Scheduler.SetPolicy(g.policy(records))
	g.noteReady()
}

// applyRoutes puts the newest table in force. The view never goes back, so
// neither does this. It reports whether the table changed.
func (g *Gateway) applyRoutes(records []port.Record) bool {
	changed := false
	for i := range records {
		r := &records[i]
		if r.Kind != route.RecordKind {
			continue
		}
		current := g.index.Load()
		if current != nil && current.Version() >= r.Version {
			continue
		}
		table, err := route.Decode(r.Body)
		if err != nil {
			g.decideOn("configuration", r.Kind+"/"+r.Name, "refuse", err.Error(), r.Version)
			continue
		}
		g.index.Store(route.NewIndex(table))
		g.metrics.version.Update(int64(r.Version))
		g.decideOn("configuration", r.Kind+"/"+r.Name, "in_force", "the newest version heard of", r.Version)
		changed = true
	}
	return changed
}

// policy joins what the operators' records say with the organisations of the
// routes.
func (g *Gateway) policy(records []port.Record) port.Policy {
	p := g.Policy(records)
	index := g.index.Load()
	if index == nil {
		return p
	}
	p.Version = max(p.Version, index.Version())
	return p
}

// takeEndpoints takes in endpoints that may have changed. Its cost is that of
// the changes, as they come all the time in a large fleet.
func (g *Gateway) takeEndpoints(changed []port.Endpoint) {
	if len(changed) == 0 {
		return
	}
	now := g.Clock()
	changed = g.asHeld(now, changed)
	// First the scheduler: who sees here that a runner is known may place at
	// once, and would be refused for want of it.
	g.Scheduler.ChangeEndpoints(now, runnersOf(changed))
	for _, e := range changed {
		before, knew := g.known.put(e, now)
		g.noteEndpoint(before, knew, &e)
		g.noteLimit(before.RateLimit, &e)
		g.noteColdness(before.ColdRate, &e)
		if e.State == port.EndpointGone {
			g.forgetWorkOf(e.ID)
		}
	}
	g.moveAway()
}

// forgetWorkOf forgets what is counted of an endpoint that is gone.
func (g *Gateway) forgetWorkOf(id string) {
	g.balancer.Forget(id)
	g.limits.Forget(id)
	g.cold.Forget(id)
	g.atLimit.forget(id)
	g.breakers.Forget(id)
}

// forgetEndpoints forgets endpoints that have left long ago, of which nobody
// tells any more.
func (g *Gateway) forgetEndpoints(ids []string) {
	for _, id := range ids {
		h, knew := g.known.get(id)
		if !knew {
			continue
		}
		gone := h.Endpoint
		gone.State = port.EndpointGone
		g.Scheduler.ChangeEndpoints(g.Clock(), runnersOf([]port.Endpoint{gone}))
		g.known.forget(id)
		g.forgetWorkOf(id)
		g.departed.Forget(id)
	}
}

// asHeld adds to what the view says of endpoints what this daemon saw itself
// and what the operators say.
func (g *Gateway) asHeld(now time.Time, changed []port.Endpoint) []port.Endpoint {
	out := make([]port.Endpoint, 0, len(changed))
	for _, e := range changed {
		if g.departed.Has(e) && e.State == port.EndpointLive {
			e.State = port.EndpointLeaving
		}
		if e.Kind == port.KindRunner {
			e = g.withCache(e)
		}
		out = append(out, g.evacuated.Load().Mark(g.withColdness(now, e)))
	}
	return out
}

func runnersOf(es []port.Endpoint) []port.Endpoint {
	return slices.DeleteFunc(slices.Clone(es), func(e port.Endpoint) bool { return e.Kind != port.KindRunner })
}

// noteEndpoint records a change of what this daemon holds of an endpoint.
func (g *Gateway) noteEndpoint(before held, knew bool, e *port.Endpoint) {
	if knew && before.State == e.State && before.Incarnation == e.Incarnation {
		return
	}
	reason := "heard of"
	if knew {
		reason = "was " + string(before.State)
	}
	g.decide(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: string(e.State), Reason: reason,
		Endpoint: e.Address, Revision: e.Revision,
	})
}

// noteReady records that this daemon begins or ceases to want callers.
func (g *Gateway) noteReady() {
	ready := g.Ready()
	if g.wasReady.Swap(ready) == ready {
		return
	}
	verdict, reason := "ready", "the routes are known"
	if !ready {
		verdict, reason = "not_ready", "this daemon stops"
	}
	g.decideOn("daemon", g.options().ID, verdict, reason, uint64(g.metrics.version.Value()))
}

// Knows reports whether this daemon acts on the endpoint as being in a state.
func (g *Gateway) Knows(endpoint string, state port.EndpointState) bool {
	e, knew := g.known.get(endpoint)
	return knew && e.State == state
}

// withCache adds what the operators say of a runner's cache.
func (g *Gateway) withCache(e port.Endpoint) port.Endpoint {
	index := g.index.Load()
	if index == nil {
		return e
	}
	if p, ok := index.Pool(e.Pool); ok && p.Engine != nil {
		e.CacheTokens = p.Engine.CacheTokens
	}
	return e
}

// sawLeaving takes an endpoint's own word that it leaves.
func (g *Gateway) sawLeaving(e port.Endpoint, reason string) {
	if !g.departed.Add(e) {
		return
	}
	g.decideOn("endpoint", e.ID, "leave", reason, 0)
	g.applying.Lock()
	defer g.applying.Unlock()
	if h, knew := g.known.get(e.ID); knew {
		g.takeEndpoints([]port.Endpoint{h.Endpoint})
	}
}
