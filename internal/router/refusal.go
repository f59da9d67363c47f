package router

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// Cause is why a request has no whole answer.
type Cause string

// The causes. They are the reasons that callers read.
const (
	CauseOverloaded  Cause = "overloaded"
	CauseHeldTooLong Cause = "held_too_long"
	CauseNoEndpoint  Cause = "no_endpoint"
	// CauseUnknownModel: no endpoint that is known serves the model.
	CauseUnknownModel   Cause = "unknown_model"
	CauseEndpointFailed Cause = "endpoint_failed"
	// CauseQuarantined: endpoints crash whenever they run the request.
	CauseQuarantined Cause = "crashes_endpoints"
	// CauseEvacuated: all endpoints that could run the request are in failure
	// domains that are evacuated.
	CauseEvacuated      Cause = "evacuated"
	CauseRejected       Cause = "rejected_by_engine"
	CauseRetriesSpent   Cause = "retry_budget_spent"
	CauseStopping       Cause = "router_stopping"
	CauseTooManyOpen    Cause = "too_many_open_requests"
	CauseCallerGone     Cause = "caller_gone"
	CauseDuplicateKey   Cause = "duplicate_key"
	CauseKeyReused      Cause = "key_used_for_another_request"
	CauseKeyExpired     Cause = "key_expired"
	CauseClaims         Cause = "claims_unavailable"
	CauseBadToken       Cause = "invalid_resume_token"
	CauseGenerationGone Cause = "generation_not_held"
	CauseServiceTimeout Cause = "service_timeout"
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
	// ResumeToken and LastIndex tell where the rest of a stream can be had;
	// LastIndex is -1 before the first token.
	ResumeToken string
	LastIndex   int
}

// Error is the detail with its cause.
func (r *Refusal) Error() string { return string(r.Cause) + ": " + r.Detail }

// own is the outcome of the refused request itself. A duplicate is told what
// became of the request that holds its key, while it was itself not run.
func (r *Refusal) own() outcome.Outcome {
	if r.Cause == CauseDuplicateKey {
		return outcome.NotRun
	}
	return r.Outcome
}
