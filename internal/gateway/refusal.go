package gateway

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// Cause is why a request has no whole answer.
type Cause string

// The causes. They are stable: logs and counters name them.
const (
	CauseNotSynced  Cause = "routes_unknown"
	CauseNoRoute    Cause = "no_route"
	CauseNoKey      Cause = "unknown_key"
	CauseNoEndpoint Cause = "no_endpoint"
	// CauseUnknownModel: no endpoint of the route's pool serves the model.
	CauseUnknownModel   Cause = "unknown_model"
	CauseOverloaded     Cause = "overloaded"
	CauseEndpointFailed Cause = "endpoint_failed"
	// CauseQuarantined: endpoints crash whenever they run the request.
	CauseQuarantined Cause = "crashes_endpoints"
	// CauseEvacuated: all endpoints that could run the request are in failure
	// domains that are evacuated.
	CauseEvacuated   Cause = "evacuated"
	CauseTimeout     Cause = "timeout"
	CauseStopping    Cause = "daemon_stopping"
	CauseTooManyOpen Cause = "too_many_open_requests"
	CauseCallerGone  Cause = "caller_gone"
	CauseInternal    Cause = "internal_error"
)

// Refusal is an honest answer in place of a whole one.
type Refusal struct {
	Cause   Cause
	Outcome outcome.Outcome
	// Detail is for people.
	Detail     string
	DecisionID string
	// RetryAfter is zero where a retry can't help.
	RetryAfter time.Duration
	// Begun: a part of the answer has reached the caller, which must see that
	// it isn't whole.
	Begun bool
	// Version is that of the routes behind the refusal.
	Version uint64
}

// Error is the detail with its cause.
func (r *Refusal) Error() string { return string(r.Cause) + ": " + r.Detail }

const (
	// retrySoon is the promise of refusals that the scheduler doesn't make: by
	// then the caller asks another daemon, or this one knows more.
	retrySoon = 500 * time.Millisecond
	// retryElsewhere is where another daemon serves at once: only as long as a
	// caller needs to be told of one.
	retryElsewhere = 50 * time.Millisecond
)

// settle sets when the caller may come back. What has not run always says so;
// what may have run, and must not run twice, never asks for a retry.
func (r *Refusal) settle(idempotent bool) {
	switch {
	case r.Cause == CauseCallerGone, r.Cause == CauseTimeout:
		// Nobody is left who waits.
		r.RetryAfter = 0
	case r.Outcome != outcome.NotRun && !idempotent:
		r.RetryAfter = 0
	case r.RetryAfter > 0:
	case r.Cause == CauseStopping:
		r.RetryAfter = retryElsewhere
	default:
		r.RetryAfter = retrySoon
	}
}
