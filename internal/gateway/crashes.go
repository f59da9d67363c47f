package gateway

import (
	"context"
	"fmt"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// watchCrashes returns a crash watch for this gateway's attempts.
func (g *Gateway) watchCrashes() *crashwatch.Watch {
	return crashwatch.New(crashwatch.Options{
		Quarantine: g.Quarantine, CheckPresence: g.probe, IsLeaving: g.isLeaving, OnCrash: g.recordCrash, Clock: g.Clock,
	})
}

// probe requests an endpoint's health check, also while it is paused: probes follow
// a lost connection, and the first one that reaches the endpoint is the last.
func (g *Gateway) probe(ctx context.Context, e port.Endpoint) port.Presence {
	return g.Endpoints.CheckPresence(ctx, e, g.healthPath(e.Pool))
}

// healthPath returns the path of the health checks of a pool's endpoints.
func (g *Gateway) healthPath(pool string) string {
	if index := g.index.Load(); index != nil {
		if p, ok := index.Pool(pool); ok && p.HealthPath != "" {
			return p.HealthPath
		}
	}
	return "/"
}

func (g *Gateway) isLeaving(e port.Endpoint) bool {
	h, found := g.endpointTable.get(e.ID)
	return found && h.Incarnation == e.Incarnation && h.State != port.EndpointLive
}

func (g *Gateway) recordCrash(e port.Endpoint, reason string, lost int) {
	g.metrics.crashes.Inc(1)
	g.recordChange("endpoint", e.ID, verdictCrash, fmt.Sprintf("%s; %d requests were lost with it here", reason, lost), 0)
}

// quarantineRefusal returns the refusal of a request that crashes endpoints,
// nil for any other request.
func (x *exchange) quarantineRefusal() *Refusal {
	remaining, quarantined := x.g.Quarantine.Quarantined(x.g.Clock(), x.fingerprint())
	if !quarantined {
		return nil
	}
	x.quarantined = true
	return &Refusal{
		Cause: CauseQuarantined, RetryAfter: remaining,
		Detail: "endpoints crash whenever they run this request; it is not sent to any other",
	}
}

// fingerprint returns the request's fingerprint, computed at the first call.
func (x *exchange) fingerprint() quarantine.Fingerprint {
	if x.print == nil {
		f := quarantine.FingerprintOf(x.req.Admission.Organisation, x.req.Method, x.req.Host, x.req.Target, x.req.Body)
		x.print = &f
	}
	return *x.print
}
