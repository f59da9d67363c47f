package gateway

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// takers are the endpoints that may take new work.
type takers struct {
	// byPool lists the endpoints of plain services.
	byPool map[string][]port.Endpoint
	// byID finds any endpoint that is known, those leaving included.
	byID map[string]port.Endpoint
	// leavingSince is when this daemon first held each for leaving.
	leavingSince map[string]time.Time
}

// apply takes over what the view holds. Two changes at a time are taken in
// turn, so that the later view stays.
func (g *Gateway) apply() {
	g.applying.Lock()
	defer g.applying.Unlock()
	records := g.View.Records()
	g.applyRoutes(records)
	g.applyEndpoints()
	g.Scheduler.SetPolicy(g.policy(records))
	g.noteReady()
}

// applyRoutes puts the newest table in force. The view never goes back, so
// neither does this.
func (g *Gateway) applyRoutes(records []port.Record) {
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
	}
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

func (g *Gateway) applyEndpoints() {
	before := g.takers.Load()
	t := &takers{
		byPool: make(map[string][]port.Endpoint), byID: make(map[string]port.Endpoint),
		leavingSince: make(map[string]time.Time),
	}
	now := g.Clock()
	known := make(map[string]bool)
	var runners []port.Endpoint
	for _, e := range g.View.Endpoints() {
		known[e.ID] = true
		if g.departed.Has(e) && e.State == port.EndpointLive {
			e.State = port.EndpointLeaving
		}
		t.byID[e.ID] = e
		g.noteEndpoint(before, &e)
		if e.State != port.EndpointLive {
			t.leavingSince[e.ID] = before.since(e.ID, now)
		}
		if e.Kind == port.KindRunner {
			runners = append(runners, g.withCache(e))
			continue
		}
		if e.State == port.EndpointLive {
			t.byPool[e.Pool] = append(t.byPool[e.Pool], e)
		}
	}
	g.takers.Store(t)
	g.Scheduler.SetEndpoints(now, runners)
	g.balancer.Keep(known)
	g.departed.Keep(known)
	g.moveAway()
}

// noteEndpoint records a change of what this daemon holds of an endpoint.
func (g *Gateway) noteEndpoint(before *takers, e *port.Endpoint) {
	known, held := before.byID[e.ID]
	if held && known.State == e.State && known.Incarnation == e.Incarnation {
		return
	}
	reason := "heard of"
	if held {
		reason = "was " + string(known.State)
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
	e, known := g.takers.Load().byID[endpoint]
	return known && e.State == state
}

// since is when the endpoint was first held for leaving.
func (t *takers) since(id string, now time.Time) time.Time {
	if at, known := t.leavingSince[id]; known {
		return at
	}
	return now
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
	g.applyEndpoints()
}
