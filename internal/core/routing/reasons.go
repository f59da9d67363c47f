package routing

// Reasons of decisions. The values are stable, because operators and
// dashboards match them.
const (
	ReasonPlaced   = "best_score"
	ReasonReleased = "released_from_hold"
	ReasonRepeated = "already_placed"
	// ReasonRelocated is the reason of the runner chosen for a run that must
	// leave its own.
	ReasonRelocated = "relocated"

	ReasonHeldOverflow = "would_overflow"
	// ReasonHeldReserved means that runners would take the request if they kept no cache
	// free for brief requests with shorter objectives.
	ReasonHeldReserved = "room_kept_for_brief_requests"
	ReasonHeldBatch    = "batch_full"
	ReasonHeldPrefill  = "prompts_ahead"
	ReasonHeldLimit    = "endpoints_at_rate_limit"
	ReasonHeldShare    = "organisation_over_share"
	ReasonHeldBehind   = "behind_held_requests"
	ReasonRefusedModel = "no_endpoint_for_model"
	// ReasonRefusedEvacuated means that all runners that serve the model are
	// evacuated.
	ReasonRefusedEvacuated   = "every_endpoint_evacuated"
	ReasonRefusedTried       = "every_endpoint_tried"
	ReasonRefusedQueue       = "queue_full"
	ReasonRefusedWait        = "wait_over_hold_limit"
	ReasonRefusedHeldTooLong = "held_too_long"
	ReasonRefusedDeadline    = "deadline_passed"
	ReasonRefusedRate        = "organisation_token_rate"
	ReasonRefusedConcurrency = "organisation_concurrency"
	ReasonRefusedRetry       = "retry_budget_spent"
	ReasonRefusedTooLarge    = "larger_than_any_cache"
	ReasonRefusedNotRunning  = "no_longer_running"
	ReasonRefusedNoCapacity  = "no_runner_has_room"
)

// Reasons why a candidate was excluded.
const (
	ExcludedTried    = "already_tried"
	ExcludedBreaker  = "breaker_open"
	ExcludedBatch    = "batch_full"
	ExcludedOverflow = "would_overflow"
	ExcludedReserved = "room_kept_for_brief_requests"
	ExcludedSize     = "larger_than_cache"
	ExcludedPrefill  = "prompts_ahead"
	ExcludedLimit    = "at_rate_limit"
	// ExcludedGap means that the runner exceeded the limit for the gap recently, and
	// that another one can still serve the request on time.
	ExcludedGap      = "gap_over_limit"
	ExcludedPaused   = "asked_for_pause"
	ExcludedRefusing = "refuses_all_calls"
	// ExcludedUnanswered: nobody has answered the health checks since a connection
	// broke.
	ExcludedUnanswered = "health_checks_unanswered"
)
