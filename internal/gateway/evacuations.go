package gateway

import (
	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

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

// allEvacuated returns the refusal of a request whose possible endpoints are
// all evacuated.
func (x *exchange) allEvacuated() *Refusal {
	return &Refusal{
		Cause: CauseEvacuated, Detail: "the endpoints of pool " + x.pool + " are in failure domains that are evacuated",
		RetryAfter: evacuation.RetryAfter,
	}
}
