package httpcaller

import (
	"net/http"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// statusOf returns the HTTP status of a refusal. Causes without a status of their own
// get the one of the outcome. A status that promises that the request did not run
// requires that outcome, or a resume token, with which the caller repeats nothing.
func statusOf(r *router.Refusal) int {
	switch r.Cause {
	case router.CauseBadToken:
		return http.StatusForbidden
	case router.CauseGenerationNotHeld:
		return http.StatusGone
	case router.CauseDuplicateKey, router.CauseKeyExpired:
		return http.StatusConflict
	case router.CauseKeyReused:
		return http.StatusUnprocessableEntity
	case router.CauseServiceTimeout:
		return http.StatusGatewayTimeout
	}
	switch {
	case r.Cause == router.CauseRejected && r.Outcome == outcome.NotRun:
		return http.StatusUnprocessableEntity
	case r.Outcome == outcome.NotRun, r.Cause == router.CauseStopping && r.ResumeToken != "":
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
