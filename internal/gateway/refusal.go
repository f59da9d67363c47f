package gateway

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// Cause is the reason why a request has no complete answer.
type Cause string

// The causes. Their values are stable because logs and metrics contain them.
const (
	CauseNotSynced  Cause = "routes_unknown"
	CauseNoRoute    Cause = "no_route"
	CauseNoKey      Cause = "unknown_key"
	CauseNoEndpoint Cause = "no_endpoint"
	// CauseUnknownModel: no endpoint of the route's pool serves the model.
	CauseUnknownModel   Cause = "unknown_model"
	CauseOverloaded     Cause = "overloaded"
	CauseEndpointFailed Cause = "endpoint_failed"
	// CauseQuarantined: the request crashes the endpoints that run it.
	CauseQuarantined Cause = "crashes_endpoints"
	// CauseEvacuated: all endpoints that could run the request are in evacuated
	// failure domains.
	CauseEvacuated Cause = "evacuated"
	// CausePaused: all endpoints that could run the request have asked this host
	// for a pause.
	CausePaused Cause = "endpoints_paused"
	// CauseNoPath: neither this daemon nor another one that could serve the request has
	// a network path to an endpoint.
	CauseNoPath      Cause = "no_path"
	CauseTimeout     Cause = "timeout"
	CauseStopping    Cause = "daemon_stopping"
	CauseTooManyOpen Cause = "too_many_open_requests"
	// CauseHostMemory: this host has too little memory left for new requests.
	CauseHostMemory Cause = "host_memory"
	// CauseUnread: the endpoint broke the answer off after its caller hadn't read it.
	CauseUnread     Cause = "answer_unread"
	CauseCallerGone Cause = "caller_gone"
	CauseInternal   Cause = "internal_error"
)

// Refusal describes why a request has no complete answer, and whether it may
// have run.
type Refusal struct {
	Cause   Cause
	Outcome outcome.Outcome
	// Detail is a message for people.
	Detail     string
	DecisionID string
	// RetryAfter is zero if a retry can't help.
	RetryAfter time.Duration
	// ResponseStarted: part of the answer has reached the caller, which must be able to
	// detect that it is incomplete.
	ResponseStarted bool
	// Version is the version of the routes on which the refusal is based.
	Version uint64
}

// Error returns the cause and the detail.
func (r *Refusal) Error() string { return string(r.Cause) + ": " + r.Detail }

const (
	// retrySoon is the retry time of refusals for which the scheduler gives
	// none: by then the caller asks another daemon, or this one has newer
	// state.
	retrySoon = 500 * time.Millisecond
	// retryElsewhere is the retry time if another daemon serves at once: just
	// enough for the caller to obtain its address.
	retryElsewhere = 50 * time.Millisecond
)

// setRetryAfter sets when the caller may retry. A request that has not run
// always gets a retry time, unless its caller is gone, its time is over or its key
// isn't admitted. One that may have run and must not run twice never gets one.
func (r *Refusal) setRetryAfter(idempotent bool) {
	switch {
	case r.Cause == CauseCallerGone, r.Cause == CauseTimeout:
		// The caller no longer waits.
		r.RetryAfter = 0
	case r.Cause == CauseNoKey:
		// A retry with the same key is refused as well.
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
