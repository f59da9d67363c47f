package gateway

import (
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// withColdness adds to an endpoint what it takes while it is cold.
func (g *Gateway) withColdness(now time.Time, e port.Endpoint) port.Endpoint {
	g.cold.Listed(now, &e)
	e.ColdRate = 0
	if !g.cold.IsCold(now, &e) {
		return e
	}
	if index := g.index.Load(); index != nil {
		if p, ok := index.Pool(e.Pool); ok {
			e.ColdRate = p.ColdRate
		}
	}
	return e
}

// heardColdness takes how long an endpoint says that it stays cold.
func (g *Gateway) heardColdness(at port.Endpoint, left *time.Duration) {
	if left == nil || !g.cold.Answered(g.Clock(), &at, left) {
		return
	}
	g.takeAgain(at.ID)
}

// warm has the endpoints take their usual share again whose coldness has ended.
func (g *Gateway) warm() {
	g.takeAgain(g.cold.Warmed(g.Clock())...)
}

// takeAgain works out again what this daemon holds of endpoints.
func (g *Gateway) takeAgain(ids ...string) {
	if len(ids) == 0 {
		return
	}
	g.applying.Lock()
	defer g.applying.Unlock()
	var held []port.Endpoint
	for _, id := range ids {
		if h, knew := g.known.get(id); knew {
			held = append(held, h.Endpoint)
		}
	}
	g.takeEndpoints(held)
}

// noteColdness records that an endpoint has become cold, or warm.
func (g *Gateway) noteColdness(before float64, e *port.Endpoint) {
	if before == e.ColdRate {
		return
	}
	g.atLimit.forget(e.ID)
	g.atLimit.forget(poolKey(e.Pool))
	verdict, reason := verdictWarm, "gets its usual share again"
	if e.ColdRate > 0 {
		verdict = verdictCold
		reason = "takes " + strconv.FormatFloat(e.ColdRate, 'g', 4, 64) + " requests a second from all daemons together while it is cold"
	}
	g.decide(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: verdict, Reason: reason, Endpoint: e.Address, Revision: e.Revision,
	})
}
