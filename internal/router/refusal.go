package router

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// Cause is the reason why a request has no complete answer.
type Cause string

// The causes, as they are reported to callers.
const (
	CauseOverloaded  Cause = "overloaded"
	CauseHeldTooLong Cause = "held_too_long"
	CauseNoEndpoint  Cause = "no_endpoint"
	// CauseUnknownModel: no known endpoint serves the model.
	CauseUnknownModel   Cause = "unknown_model"
	CauseEndpointFailed Cause = "endpoint_failed"
	// CauseQuarantined: endpoints crash whenever they run the request.
	CauseQuarantined Cause = "crashes_endpoints"
	// CauseEvacuated: all endpoints that could run the request are in evacuated
	// failure domains.
	CauseEvacuated         Cause = "evacuated"
	CauseRejected          Cause = "rejected_by_engine"
	CauseRetryBudgetSpent  Cause = "retry_budget_spent"
	CauseStopping          Cause = "router_stopping"
	CauseTooManyOpen       Cause = "too_many_open_requests"
	CauseCallerGone        Cause = "caller_gone"
	CauseDuplicateKey      Cause = "duplicate_key"
	CauseKeyReused         Cause = "key_used_for_another_request"
	CauseKeyExpired        Cause = "key_expired"
	CauseClaimsUnavailable Cause = "claims_unavailable"
	CauseBadToken          Cause = "invalid_resume_token"
	CauseGenerationNotHeld Cause = "generation_not_held"
	CauseServiceTimeout    Cause = "service_timeout"
)

// Refusal is returned in place of a complete answer and states the outcome of the
// request as far as it is known.
type Refusal struct {
	Cause   Cause
	Outcome outcome.Outcome
	// Detail is an explanation for people.
	Detail     string
	DecisionID string
	// RetryAfter is zero if a retry can't help.
	RetryAfter time.Duration
	// ResumeToken and LastIndex show where a stream can be resumed. LastIndex is the
	// index of the last delivered token, -1 before the first one.
	ResumeToken string
	LastIndex   int
}

// Error returns the cause and the detail.
func (r *Refusal) Error() string { return string(r.Cause) + ": " + r.Detail }

// limitRetryAfter removes the retry delay of a request that may have run and must not
// run twice. A resume token keeps it, because resuming a stream repeats no run.
func (r *Refusal) limitRetryAfter(idempotent bool) {
	if r.Outcome != outcome.NotRun && !idempotent && r.ResumeToken == "" {
		r.RetryAfter = 0
	}
}

// requestOutcome is the outcome of the refused request itself. For a duplicate,
// Outcome is that of the request that holds the key, while the duplicate itself was
// not run.
func (r *Refusal) requestOutcome() outcome.Outcome {
	if r.Cause == CauseDuplicateKey {
		return outcome.NotRun
	}
	return r.Outcome
}
