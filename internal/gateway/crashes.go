package gateway

import (
	"context"
	"fmt"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// watchCrashes returns the watch over this gateway's attempts.
func (g *Gateway) watchCrashes() *crashwatch.Watch {
	return crashwatch.New(crashwatch.Options{
		Quarantine: g.Quarantine, Look: g.look, Leaving: g.wasLeaving, Crashed: g.noteCrash, Clock: g.Clock,
	})
}

// look asks for an endpoint's health.
func (g *Gateway) look(ctx context.Context, e port.Endpoint) port.Presence {
	path := "/"
	if index := g.index.Load(); index != nil {
		if p, ok := index.Pool(e.Pool); ok && p.HealthPath != "" {
			path = p.HealthPath
		}
	}
	return g.Endpoints.Look(ctx, e, path)
}

func (g *Gateway) wasLeaving(e port.Endpoint) bool {
	h, knew := g.known.get(e.ID)
	return knew && h.Incarnation == e.Incarnation && h.State != port.EndpointLive
}

func (g *Gateway) noteCrash(e port.Endpoint, reason string, lost int) {
	g.metrics.crashes.Inc(1)
	g.decideOn("endpoint", e.ID, verdictCrash, fmt.Sprintf("%s; %d requests were lost with it here", reason, lost), 0)
}

// quarantineRefusal is the refusal of a request that crashes endpoints, nil for any
// other.
func (x *exchange) quarantineRefusal() *Refusal {
	left, quarantined := x.g.Quarantine.Quarantined(x.g.Clock(), x.fingerprint())
	if !quarantined {
		return nil
	}
	x.quarantined = true
	return &Refusal{
		Cause: CauseQuarantined, RetryAfter: left,
		Detail: "endpoints crash whenever they run this request; it is not sent to any other",
	}
}

// fingerprint is worked out when first asked for.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.print == nil {
		f := quarantine.FingerprintOf(x.req.Pass.Organisation, x.req.Method, x.req.Host, x.req.Target, x.req.Body)
		x.print = &f
	}
	return *x.print
}
