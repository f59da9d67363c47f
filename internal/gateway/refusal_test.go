package gateway

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// Every refusal of a request that has not run gives a retry time, unless the
// caller's time is over. A refusal of one that may have run and must not run
// twice gives none.
func TestRefusalRetryAfter(t *testing.T) {
	retryAfter := 70 * time.Millisecond
	cases := []struct {
		name       string
		refusal    Refusal
		idempotent bool
		want       time.Duration
	}{
		{"not run, no retry time given", Refusal{Cause: CauseTooManyOpen, Outcome: outcome.NotRun}, false, retrySoon},
		{"not run, retry time given", Refusal{Cause: CauseOverloaded, Outcome: outcome.NotRun, RetryAfter: retryAfter}, false, retryAfter},
		{"another daemon serves", Refusal{Cause: CauseStopping, Outcome: outcome.NotRun}, false, retryElsewhere},
		{"may have run, not idempotent", Refusal{Cause: CauseEndpointFailed, Outcome: outcome.Unknown, RetryAfter: retryAfter}, false, 0},
		{"may have run, idempotent", Refusal{Cause: CauseEndpointFailed, Outcome: outcome.Unknown}, true, retrySoon},
		{"the caller's time limit has passed", Refusal{Cause: CauseTimeout, Outcome: outcome.NotRun, RetryAfter: retryAfter}, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.refusal.setRetryAfter(c.idempotent)
			if c.refusal.RetryAfter != c.want {
				t.Fatalf("%v, want %v", c.refusal.RetryAfter, c.want)
			}
		})
	}
}
