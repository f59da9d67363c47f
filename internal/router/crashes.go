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

// newCrashWatch returns the crash watch for this router's attempts.
func (r *Router) newCrashWatch() *crashwatch.Watch {
	return crashwatch.New(crashwatch.Options{
		Quarantine: r.Quarantine, CheckPresence: r.checkPresence, IsLeaving: r.endpointLeaving, OnCrash: r.recordCrash, Clock: r.Clock,
	})
}

func (r *Router) checkPresence(ctx context.Context, e port.Endpoint) port.Presence {
	if e.Kind == port.KindService {
		return r.Services.CheckPresence(ctx, e)
	}
	return r.Engine.CheckPresence(ctx, e)
}

func (r *Router) endpointLeaving(e port.Endpoint) bool {
	if r.departures.Has(e) {
		return true
	}
	for _, known := range r.View.Endpoints() {
		if known.ID == e.ID {
			return known.Incarnation == e.Incarnation && known.State != port.EndpointLive
		}
	}
	return false
}

func (r *Router) recordCrash(e port.Endpoint, crash quarantine.CrashID, reason string, lost int) {
	r.metrics.crashes.Inc(1)
	r.recordDecision(&port.DecisionRecord{
		Subject: "endpoint", SubjectID: e.ID, Verdict: "crash", Endpoint: e.ID,
		Reason: fmt.Sprintf("%s; %d requests were lost with it here; crash %s", reason, lost, crash),
	})
}

// quarantineRefusal returns the refusal of a request that crashes endpoints, or nil
// for any other request.
func (r *Router) quarantineRefusal(f quarantine.Fingerprint) *Refusal {
	hold, quarantined := r.Quarantine.Quarantined(r.Clock(), &quarantine.Request{Fingerprint: f})
	if !quarantined {
		return nil
	}
	return &Refusal{
		Cause: CauseQuarantined, RetryAfter: hold.Remaining, LastIndex: -1,
		Detail: "endpoints crash whenever they run this request; it is not sent to any other",
	}
}

// fingerprintUnlessDone returns the fingerprint to log at the end of a request,
// empty if the request completed. Two lines with the same fingerprint belong to the
// same repeated request.
func fingerprintUnlessDone(o outcome.Outcome, f quarantine.Fingerprint) string {
	if o == outcome.Done {
		return ""
	}
	return f.String()
}

// mayHaveCrashed reports whether the endpoint may have crashed during an attempt
// that ended with this fate.
func mayHaveCrashed(f stream.RunOutcome) bool {
	return f == stream.OutcomeUnknown || f == stream.OutcomeRan
}

// crashFingerprint identifies the request when it is sent again.
func (req *GenerationRequest) crashFingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(req.Organisation, req.Model, strconv.Itoa(req.MaxTokens), "/v1/completions", []byte(req.Prompt))
}

// crashFingerprint identifies the call when it is sent again.
func (q *ServiceRequest) crashFingerprint() quarantine.Fingerprint {
	return quarantine.FingerprintOf(q.Organisation, q.Method, q.Service, q.Path, q.Body)
}
