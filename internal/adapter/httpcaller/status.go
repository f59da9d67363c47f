package httpcaller

import (
	"net/http"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// statusOf returns the HTTP status of a refusal. Causes without a status of
// their own get the one of the outcome.
func statusOf(r *router.Refusal) int {
	switch r.Cause {
	case router.CauseBadToken:
		return http.StatusForbidden
	case router.CauseGenerationNotHeld:
		return http.StatusGone
	case router.CauseDuplicateKey, router.CauseKeyExpired:
		return http.StatusConflict
	case router.CauseKeyReused, router.CauseRejected:
		return http.StatusUnprocessableEntity
	case router.CauseStopping:
		return http.StatusServiceUnavailable
	case router.CauseServiceTimeout:
		return http.StatusGatewayTimeout
	}
	if r.Outcome == outcome.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
