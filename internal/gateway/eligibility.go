package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ineligibility is the reason why this daemon sends no further requests to an
// endpoint.
type ineligibility string

// The reasons; eligible means that there is none.
const (
	eligible            ineligibility = ""
	ineligibleEvacuated ineligibility = "its failure domain is evacuated"
	ineligibleLeaving   ineligibility = "it is leaving"
	ineligiblePaused    ineligibility = "it has asked this host for a pause"
	ineligibleRestarted ineligibility = "it has restarted after a notice and has not been asked yet"
	ineligibleUnreached ineligibility = "this daemon has no path to it"
	ineligibleDown      ineligibility = "a connection to it broke and nobody has answered its health checks since"
)

// whyIneligible returns why this daemon sends nothing further to an endpoint. Each
// choice of an endpoint that is based on older or less information, such as that of
// another daemon, is checked against it right before a request is sent.
func (g *Gateway) whyIneligible(e port.Endpoint) ineligibility {
	switch {
	case g.isEvacuated(e):
		return ineligibleEvacuated
	case g.seenLeaving.Has(e), g.endpointTable.hasLeft(e):
		return ineligibleLeaving
	case g.IsPaused(e):
		return ineligiblePaused
	case g.isUncheckedRestart(e):
		return ineligibleRestarted
	}
	return eligible
}

// whyIneligibleForRun returns why this daemon starts no further runs at a runner. Calls
// may be sent to an endpoint that is down if no other is left.
func (g *Gateway) whyIneligibleForRun(e port.Endpoint) ineligibility {
	why := g.whyIneligible(e)
	switch {
	case why != eligible:
	case g.crashWatch.IsDown(e):
		why = ineligibleDown
	case g.paths.IsLost(e.ID):
		why = ineligibleUnreached
	}
	return why
}

// whyIneligible returns why an endpoint that was chosen for an attempt must not get it.
func (p *placement) whyIneligible(g *Gateway) ineligibility {
	if p.generation {
		return g.whyIneligibleForRun(p.endpoint)
	}
	return g.whyIneligible(p.endpoint)
}

// maxCoordinatorDelay is the time after which every coordinator has received that an
// endpoint left.
const maxCoordinatorDelay = 30 * time.Second

// ineligibleIDs returns the ids of the endpoints of a pool that are not eligible and
// that a coordinator may still choose.
func (g *Gateway) ineligibleIDs(pool string) []string {
	var out []string
	for _, e := range g.endpointTable.recentlyLiveIn(pool, g.Clock().Add(-maxCoordinatorDelay)) {
		if g.whyIneligibleForRun(e) != eligible {
			out = append(out, e.ID)
		}
	}
	return out
}

// maxPlacements bounds how often a request is placed again because a
// coordinator that has not received why an endpoint is ineligible placed it there.
const maxPlacements = 3

// placeEligible chooses an endpoint for the next attempt and rejects an
// ineligible one. Such a placement is possible if the coordinator does not know yet
// why the endpoint is ineligible, or if that came up while the request was held.
func (x *exchange) placeEligible(ctx context.Context) (*placement, *Refusal) {
	why := eligible
	for range maxPlacements {
		p, refusal := x.place(ctx)
		if refusal != nil {
			return nil, refusal
		}
		if why = p.whyIneligible(x.g); why == eligible {
			return p, nil
		}
		x.record(verdictWithdraw, "the endpoint in failure domain "+strconv.Quote(p.endpoint.FailureDomain)+" is not eligible: "+string(why), "", nil)
		x.attempts--
		x.placedAtIneligible = true
		x.withdraw(p)
	}
	return nil, x.refuseIneligible(why)
}

// excluded returns the ids of the endpoints at which the request must not be
// placed. They include the paused ones, because an endpoint asks each host for a
// pause of its own and the coordinator may run on another host, and those to which
// only this daemon may have lost its path. After a placement
// at an ineligible endpoint they include all ineligible ones of the pool, because the
// coordinator does not know of them yet.
func (x *exchange) excluded() []string {
	if x.placedAtIneligible {
		return slices.Concat(x.tried, x.g.ineligibleIDs(x.pool))
	}
	return slices.Concat(x.tried, x.g.pauses.Active(x.g.Clock()), x.g.paths.LostIn(x.pool))
}

// refuseIneligible returns the refusal of a request that was placed at
// ineligible endpoints only, the last one for the given reason.
func (x *exchange) refuseIneligible(why ineligibility) *Refusal {
	switch why {
	case ineligibleEvacuated:
		return x.allEvacuated()
	case ineligiblePaused:
		return x.refusePaused()
	}
	return &Refusal{Cause: CauseNoEndpoint, Detail: "no endpoint of pool " + x.pool + " is eligible; of the last one: " + string(why), RetryAfter: retrySoon}
}
