package gateway

import (
	"strconv"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// LimitTeller tells all daemons of a limit that an endpoint names.
type LimitTeller interface {
	// TellLimit takes the requests a second that an incarnation takes from all
	// daemons together, zero for no limit.
	TellLimit(endpoint string, incarnation uint64, perSecond float64)
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
	reason := "names no limit any more"
	if e.RateLimit > 0 {
		reason = "takes " + strconv.FormatFloat(e.RateLimit, 'g', 4, 64) + " requests a second from all daemons together"
	}
	g.decide(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: verdictLimit, Reason: reason, Endpoint: e.Address, Revision: e.Revision,
	})
}
