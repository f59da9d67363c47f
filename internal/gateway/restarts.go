package gateway

import (
	"context"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// An answer doesn't name the start of the endpoint that gave it. Until this daemon
// receives the new incarnation of a restarted endpoint, a notice of that one is
// attributed to the former incarnation and would be lost with it. So a new
// incarnation is asked itself before it is used if the former one gave a notice.

// restartCheckTimeout bounds the time for which a restarted endpoint is not used
// because of its check.
const restartCheckTimeout = time.Second

// hasNotice reports whether a notice of the endpoint's incarnation is in force here.
func (g *Gateway) hasNotice(e port.Endpoint) bool { return g.seenLeaving.Has(e) || g.IsPaused(e) }

// isUncheckedRestart reports whether a description of an endpoint names a later
// incarnation than this daemon has received, and the one received gave a notice.
func (g *Gateway) isUncheckedRestart(described port.Endpoint) bool {
	known, found := g.endpointTable.get(described.ID)
	return found && known.Incarnation < described.Incarnation && g.hasNotice(known.Endpoint)
}

// checkRestarts checks the endpoints that have been received with a new incarnation,
// before they are put into the table.
func (g *Gateway) checkRestarts(received []port.Endpoint) {
	for _, e := range received {
		if e.State == port.EndpointLive && g.isUncheckedRestart(e) {
			g.checkIncarnation(e)
		}
	}
}

// checkIncarnation asks an endpoint itself for its notices, in the background. Until
// it has answered it counts as paused.
func (g *Gateway) checkIncarnation(e port.Endpoint) {
	now := g.Clock()
	until := now.Add(restartCheckTimeout)
	if !g.pauses.Start(now, &e, restartCheckTimeout) {
		return
	}
	g.recordNotice(e, verdictCheck, "it has restarted, and the last notice may be from before or after; it is not used until it answers")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), restartCheckTimeout)
		defer cancel()
		// Its notices, if any, are observed before the call returns.
		presence := g.probe(ctx, e)
		g.pauses.Cancel(&e, until)
		g.recordNotice(e, verdictCheck, "it is "+presence.String())
	}()
}
