package gateway

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
)

// A caller learns when to come back from each refusal of what has not run, and
// is never asked back with what may have run and must not run twice.
func TestRefusalsSayWhenToComeBack(t *testing.T) {
	promised := 70 * time.Millisecond
	cases := []struct {
		name       string
		refusal    Refusal
		idempotent bool
		want       time.Duration
	}{
		{"not run, without a promise", Refusal{Cause: CauseTooManyOpen, Outcome: outcome.NotRun}, false, retrySoon},
		{"not run, with one", Refusal{Cause: CauseOverloaded, Outcome: outcome.NotRun, RetryAfter: promised}, false, promised},
		{"another daemon serves", Refusal{Cause: CauseStopping, Outcome: outcome.NotRun}, false, retryElsewhere},
		{"may have run, once at most", Refusal{Cause: CauseEndpointFailed, Outcome: outcome.Unknown, RetryAfter: promised}, false, 0},
		{"may have run, may be repeated", Refusal{Cause: CauseEndpointFailed, Outcome: outcome.Unknown}, true, retrySoon},
		{"the caller's time is over", Refusal{Cause: CauseTimeout, Outcome: outcome.NotRun, RetryAfter: promised}, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.refusal.settle(c.idempotent)
			if c.refusal.RetryAfter != c.want {
				t.Fatalf("%v, want %v", c.refusal.RetryAfter, c.want)
			}
		})
	}
}
