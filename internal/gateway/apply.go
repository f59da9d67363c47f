package gateway

import (
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// apply applies the current state of the view. Concurrent calls run one after
// the other, so that the latest state of the view wins.
func (g *Gateway) apply() {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	// Read before the records, which are then the complete set.
	complete := g.View.Synced()
	records := g.View.Records()
	changed, forgotten := g.endpointChanges()
	if g.applyRoutes(records) {
		// The pools' cache sizes and cold rates may have changed with the
		// routes, so all endpoints are applied again.
		changed = g.View.Endpoints()
		g.endRevoked()
	}
	// The endpoints of evacuated domains come from the table and may be older than
	// those of the view, so they go first.
	g.applyEndpoints(slices.Concat(g.applyEvacuations(records), changed))
	g.removeEndpoints(forgotten)
	g.Scheduler.SetPolicy(g.policy(records))
	if complete {
		g.recordsComplete.Store(true)
	}
	g.recordReadiness()
}

// applyRoutes puts the newest routing table in force and reports whether the
// table changed. An older version never replaces a newer one.
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
			g.recordChange("configuration", r.Kind+"/"+r.Name, "refuse", err.Error(), r.Version)
			continue
		}
		g.index.Store(route.NewIndex(table))
		g.metrics.routesVersion.Update(int64(r.Version))
		g.recordChange("configuration", r.Kind+"/"+r.Name, "in_force", "the newest version heard of", r.Version)
		changed = true
	}
	return changed
}

// policy returns the scheduler's policy from the operators' records, with a
// version that is not below that of the routes.
func (g *Gateway) policy(records []port.Record) port.Policy {
	p := g.Policy(records)
	index := g.index.Load()
	if index == nil {
		return p
	}
	p.Version = max(p.Version, index.Version())
	return p
}

// applyEndpoints applies endpoints that may have changed. Its cost depends only
// on the number of changes, because they are frequent in a large fleet.
func (g *Gateway) applyEndpoints(changed []port.Endpoint) {
	if len(changed) == 0 {
		return
	}
	now := g.Clock()
	g.checkRestarts(changed)
	changed = g.withLocalState(now, changed)
	// The scheduler is updated first: a caller that sees a runner in the
	// endpoint table may request a placement at once, which would be refused if
	// the scheduler did not have the runner yet.
	g.Scheduler.ChangeEndpoints(now, runnersOf(changed))
	for _, e := range changed {
		before, existed := g.endpointTable.put(e, now)
		if existed && before.Incarnation != e.Incarnation {
			g.paths.Forget(e.ID)
		}
		if existed && before.Incarnation < e.Incarnation {
			g.recordRestart(before.Endpoint)
		}
		g.recordEndpointChange(before, existed, &e)
		g.recordLimitChange(before.RateLimit, &e)
		g.recordColdnessChange(before.ColdRate, &e)
		if e.State == port.EndpointGone {
			g.forgetCounters(e.ID)
		}
	}
	g.moveLeavingRuns()
}

// forgetCounters drops the counters, limits and breakers of an endpoint that is
// gone.
func (g *Gateway) forgetCounters(id string) {
	g.balancer.Forget(id)
	g.limitObserver.Forget(id)
	g.coldTracker.Forget(id)
	g.pauses.Forget(id)
	g.limitBackoffs.reset(id)
	g.breakers.Forget(id)
	g.refusals.Forget(id)
	g.brittle.Forget(id)
	g.paths.Forget(id)
}

// removeEndpoints removes endpoints that left long ago and are no longer in the
// view.
func (g *Gateway) removeEndpoints(ids []string) {
	for _, id := range ids {
		h, found := g.endpointTable.get(id)
		if !found {
			continue
		}
		gone := h.Endpoint
		gone.State = port.EndpointGone
		g.Scheduler.ChangeEndpoints(g.Clock(), runnersOf([]port.Endpoint{gone}))
		g.endpointTable.remove(id)
		g.forgetCounters(id)
		g.seenLeaving.Forget(id)
	}
}

// withLocalState adds to endpoints of the view what this daemon observed itself
// and what the operators configured: departures, cache sizes, coldness and
// evacuations.
func (g *Gateway) withLocalState(now time.Time, changed []port.Endpoint) []port.Endpoint {
	out := make([]port.Endpoint, 0, len(changed))
	for _, e := range changed {
		if g.seenLeaving.Has(e) && e.State == port.EndpointLive {
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

// recordEndpointChange records a change of an endpoint's state or incarnation.
func (g *Gateway) recordEndpointChange(before endpointEntry, existed bool, e *port.Endpoint) {
	if existed && before.State == e.State && before.Incarnation == e.Incarnation {
		return
	}
	reason := "heard of"
	if existed {
		reason = "was " + string(before.State)
	}
	g.recordDecision(&port.DecisionRecord{
		Subject: subjectEndpoint, SubjectID: e.ID, Verdict: string(e.State), Reason: reason,
		Endpoint: e.Address, Revision: e.Revision,
	})
}

// recordReadiness records that this daemon starts or stops accepting new
// callers.
func (g *Gateway) recordReadiness() {
	ready := g.Ready()
	if g.wasReady.Swap(ready) == ready {
		return
	}
	verdict, reason := "ready", "the routes and all other records are known"
	if !ready {
		verdict, reason = "not_ready", "this daemon stops"
	}
	g.recordChange("daemon", g.options().ID, verdict, reason, uint64(g.metrics.routesVersion.Value()))
}

// IsInState reports whether the endpoint is in the given state in this daemon's
// endpoint table.
func (g *Gateway) IsInState(endpoint string, state port.EndpointState) bool {
	e, found := g.endpointTable.get(endpoint)
	return found && e.State == state
}

// withCache sets a runner's cache size and the tokens of its events from its pool's
// configuration.
func (g *Gateway) withCache(e port.Endpoint) port.Endpoint {
	index := g.index.Load()
	if index == nil {
		return e
	}
	if p, ok := index.Pool(e.Pool); ok && p.Engine != nil {
		e.CacheTokens, e.EventTokens = p.Engine.CacheTokens, p.Engine.EventTokens
	}
	return e
}

// markLeaving marks an endpoint as leaving because of an answer that this daemon
// got. It reports whether that was new.
func (g *Gateway) markLeaving(e port.Endpoint, reason string) bool {
	if !g.seenLeaving.Add(e) {
		return false
	}
	g.recordNotice(e, verdictLeave, reason)
	g.refreshEndpoints(e.ID)
	return true
}
