package gateway

import (
	"context"
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// barReason is a reason why this daemon sends no further requests to an
// endpoint.
type barReason string

// The reasons; notBarred means that there is none.
const (
	notBarred    barReason = ""
	barEvacuated barReason = "the endpoint's failure domain is evacuated"
	barLeaving   barReason = "the endpoint is leaving"
	barPaused    barReason = "the endpoint has asked this host for a pause"
)

// barOf returns why this daemon sends nothing further to an endpoint. Whatever
// chooses endpoints with older or less information than this daemon has, such as
// another daemon, must be checked against it right before a request is sent.
func (g *Gateway) barOf(e port.Endpoint) barReason {
	switch {
	case g.isEvacuated(e):
		return barEvacuated
	case g.seenLeaving.Has(e):
		return barLeaving
	case g.IsPaused(e):
		return barPaused
	}
	return notBarred
}

// barredIDs returns the ids of the endpoints of a pool that are barred.
func (g *Gateway) barredIDs(pool string) []string {
	var out []string
	for _, e := range g.endpointTable.inPool(pool) {
		if g.barOf(e) != notBarred {
			out = append(out, e.ID)
		}
	}
	return out
}

// maxPlacements bounds how often a request is placed again because a
// coordinator that has not received what bars an endpoint placed it there.
const maxPlacements = 3

// placeUnbarred chooses an endpoint for the next attempt and rejects a barred
// one. Such a placement is possible if the coordinator does not know yet what
// bars the endpoint, or if that came up while the request was held.
func (x *exchange) placeUnbarred(ctx context.Context) (*placement, *Refusal) {
	bar := notBarred
	for range maxPlacements {
		p, refusal := x.place(ctx)
		if refusal != nil {
			return nil, refusal
		}
		if bar = x.g.barOf(p.endpoint); bar == notBarred {
			return p, nil
		}
		x.record(verdictWithdraw, string(bar), "", nil)
		x.attempts--
		x.placedAtBarred = true
		x.withdraw(p)
	}
	return nil, x.refuseBarred(bar)
}

// excluded returns the ids of the endpoints at which the request must not be
// placed. They include the paused ones, because an endpoint asks each host for a
// pause of its own and the coordinator may run on another host. After a placement
// at a barred endpoint they include all barred endpoints of the pool, because the
// coordinator does not know of them yet.
func (x *exchange) excluded() []string {
	if x.placedAtBarred {
		return slices.Concat(x.tried, x.g.barredIDs(x.pool))
	}
	return slices.Concat(x.tried, x.g.pauses.Active(x.g.Clock()))
}

// refuseBarred returns the refusal of a request that was placed at barred
// endpoints only, the last one for the given reason.
func (x *exchange) refuseBarred(bar barReason) *Refusal {
	switch bar {
	case barEvacuated:
		return x.allEvacuated()
	case barPaused:
		return x.refusePaused()
	}
	return &Refusal{Cause: CauseNoEndpoint, Detail: "no endpoint is left in pool " + x.pool + ": " + string(bar), RetryAfter: retrySoon}
}
