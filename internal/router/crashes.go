package router

import (
	"context"
	"fmt"
	"strconv"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// watchCrashes returns the watch over this router's attempts.
func (r *Router) watchCrashes() *crashwatch.Watch {
	return crashwatch.New(crashwatch.Options{
		Quarantine: r.Quarantine, Look: r.look, Leaving: r.wasLeaving, Crashed: r.noteCrash, Clock: r.Clock,
	})
}

func (r *Router) look(ctx context.Context, e port.Endpoint) port.Presence {
	if e.Kind == port.KindService {
		return r.Services.Look(ctx, e)
	}
	return r.Engine.Look(ctx, e)
}

func (r *Router) wasLeaving(e port.Endpoint) bool {
	if r.departed.Has(e) {
		return true
	}
	for _, known := range r.View.Endpoints() {
		if known.ID == e.ID {
			return known.Incarnation == e.Incarnation && known.State != port.EndpointLive
		}
	}
	return false
}

func (r *Router) noteCrash(e port.Endpoint, reason string, lost int) {
	r.metrics.crashes.Inc(1)
	r.decide(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: "crash", Endpoint: e.ID,
		Reason: fmt.Sprintf("%s; %d requests were lost with it here", reason, lost),
	})
}

// quarantineRefusal is the refusal of a request that crashes endpoints, nil for any
// other.
func (r *Router) quarantineRefusal(f quarantine.Fingerprint) *Refusal {
	left, quarantined := r.Quarantine.Quarantined(r.Clock(), f)
	if !quarantined {
		return nil
	}
	return &Refusal{
		Cause: CauseQuarantined, RetryAfter: left, LastIndex: -1,
		Detail: "endpoints crash whenever they run this request; it is not sent to any other",
	}
}

// nameUnlessDone is the fingerprint as the line of a request's end names it: the
// same one on two lines tells that they were of one request.
func nameUnlessDone(o outcome.Outcome, f quarantine.Fingerprint) string {
	if o == outcome.Done {
		return ""
	}
	return f.String()
}

// mayHaveCrashed reports whether an attempt that ended so may have lost its
// endpoint.
func mayHaveCrashed(f stream.Fate) bool { return f == stream.FateUnknown || f == stream.FateRan }

// crashPrint tells the request when it is sent again.
func (req *GenerationRequest) crashPrint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(req.Organisation, req.Model, strconv.Itoa(req.MaxTokens), "/v1/completions", []byte(req.Prompt))
}

// crashPrint tells the call when it is sent again.
func (q *ServiceRequest) crashPrint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(q.Organisation, q.Method, q.Service, q.Path, q.Body)
}
