package gateway

import (
	"context"
	"slices"
	"strconv"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxPlacements bounds how often a request is placed again because a
// coordinator that has not yet received an evacuation placed it in the
// evacuated failure domain.
const maxPlacements = 3

// applyEvacuations applies the evacuations in the records and returns the
// endpoints whose evacuation changed.
func (g *Gateway) applyEvacuations(records []port.Record) []port.Endpoint {
	before, next := g.evacuated.Load(), g.Evacuations(records)
	changes := before.ChangesTo(next)
	g.evacuated.Store(&next)
	if !changes.Any() {
		return nil
	}
	g.metrics.evacuated.Update(int64(len(next.Domains())))
	for _, d := range changes.Decisions(next) {
		g.recordDecision(d)
	}
	return g.endpointTable.inDomains(changes.Concerns)
}

// isEvacuated reports whether the endpoint's failure domain is evacuated, so
// that it gets no further requests.
func (g *Gateway) isEvacuated(e port.Endpoint) bool {
	return g.evacuated.Load().Has(e.FailureDomain)
}

// placeOutsideEvacuations chooses an endpoint for the next attempt and rejects
// one in an evacuated failure domain. Such a placement is possible if the
// coordinator has not yet received the evacuation, or if it came into force
// while the request was held.
func (x *exchange) placeOutsideEvacuations(ctx context.Context) (*placement, *Refusal) {
	for range maxPlacements {
		p, refusal := x.place(ctx)
		if refusal != nil || !x.g.isEvacuated(p.endpoint) {
			return p, refusal
		}
		x.record(verdictWithdraw, "the endpoint's failure domain "+strconv.Quote(p.endpoint.FailureDomain)+" is evacuated", "", nil)
		x.attempts--
		x.placedInEvacuated = true
		x.withdraw(p)
	}
	return nil, x.allEvacuated()
}

// excluded returns the ids of the endpoints at which the request must not be
// placed. After a placement in an evacuated domain it includes all evacuated
// endpoints of the pool, because the coordinator has not yet received the
// evacuation.
func (x *exchange) excluded() []string {
	if !x.placedInEvacuated {
		return x.tried
	}
	return slices.Concat(x.tried, x.g.endpointTable.evacuatedIDs(x.pool))
}

// allEvacuated returns the refusal of a request whose possible endpoints are
// all evacuated.
func (x *exchange) allEvacuated() *Refusal {
	return &Refusal{
		Cause: CauseEvacuated, Detail: "the endpoints of pool " + x.pool + " are in failure domains that are evacuated",
		RetryAfter: evacuation.RetryAfter,
	}
}
