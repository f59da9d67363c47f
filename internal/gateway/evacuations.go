package gateway

import (
	"context"
	"slices"
	"strconv"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// placesTried bounds how often a request is placed again that was placed in an
// evacuated failure domain, by a coordinator that has not heard of it yet.
const placesTried = 3

// applyEvacuations puts the evacuations of the records in force. It returns the
// endpoints that they concern.
func (g *Gateway) applyEvacuations(records []port.Record) []port.Endpoint {
	before, next := g.evacuated.Load(), g.Evacuations(records)
	changes := before.ChangesTo(next)
	g.evacuated.Store(&next)
	if !changes.Any() {
		return nil
	}
	g.metrics.evacuated.Update(int64(len(next.Domains())))
	for _, d := range changes.Decisions(next) {
		g.decide(d)
	}
	return g.known.in(changes.Concerns)
}

// isEvacuated reports whether the endpoint is to get nothing more.
func (g *Gateway) isEvacuated(e port.Endpoint) bool {
	return g.evacuated.Load().Has(e.FailureDomain)
}

// placeOutsideEvacuations chooses an endpoint for the next attempt. The evacuation
// may have been heard of here and not by the coordinator, or while the request
// waited for its turn.
func (x *exchange) placeOutsideEvacuations(ctx context.Context) (*placement, *Refusal) {
	for range placesTried {
		p, refusal := x.place(ctx)
		if refusal != nil || !x.g.isEvacuated(p.endpoint) {
			return p, refusal
		}
		x.record(verdictWithdraw, "the endpoint's failure domain "+strconv.Quote(p.endpoint.FailureDomain)+" is evacuated", "", nil)
		x.attempts--
		x.misplaced = true
		x.giveBack(p)
	}
	return nil, x.allEvacuated()
}

// excluded names the endpoints that the request is not to be placed at. Where a
// coordinator has not heard of an evacuation, it is told by this.
func (x *exchange) excluded() []string {
	if !x.misplaced {
		return x.tried
	}
	return slices.Concat(x.tried, x.g.known.evacuatedOf(x.pool))
}

// allEvacuated refuses a request that no endpoint may be sent.
func (x *exchange) allEvacuated() *Refusal {
	return &Refusal{
		Cause: CauseEvacuated, Detail: "the endpoints of pool " + x.pool + " are in failure domains that are evacuated",
		RetryAfter: evacuation.RetryAfter,
	}
}
