package outcome_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// Guards against an attempt that is sent while an earlier one may have run, or whose unknown outcome is forgotten before its end is recorded.
func TestNoAttemptBeginsWhileAnotherMayRun(t *testing.T) {
	fates := []stream.RunOutcome{stream.OutcomeNotSent, stream.OutcomeRefused, stream.OutcomeRan, stream.OutcomeUnknown, stream.OutcomeDone}
	rapid.Check(t, func(t *rapid.T) {
		l := outcome.Ledger{Resumable: rapid.Bool().Draw(t, "resumable")}
		// begun: a run may have begun. running: one may be in progress. open: an attempt is.
		// unknown: so may one of an attempt whose outcome is unknown.
		begun, running, open, runningBefore, unknown := false, false, false, false, false
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				start := rapid.SampledFrom([]outcome.Start{outcome.FromPrompt, outcome.FromCopy, outcome.FromEvent}).Draw(t, "start")
				err := l.Begin(start)
				if err == nil && (open || running || start == outcome.FromEvent && !l.Resumable || start == outcome.FromPrompt && begun) {
					t.Fatalf("an attempt of kind %d begins; begun: %v, running: %v, open: %v", start, begun, running, open)
				}
				if err != nil && !errors.Is(err, outcome.ErrMayRunTwice) {
					t.Fatal(err)
				}
				if err == nil {
					open, runningBefore, running = true, running, true
				}
			case 1:
				fate := rapid.SampledFrom(fates).Draw(t, "fate")
				l.End(fate, false)
				if !open {
					continue
				}
				open = false
				if fate == stream.OutcomeNotSent || fate == stream.OutcomeRefused {
					running = runningBefore
				} else {
					begun = true
					unknown = unknown || fate == stream.OutcomeUnknown
				}
			case 2:
				l.Stopped()
				begun, open, running = begun || open, false, unknown
			}
			if may := l.Outcome() != outcome.NotRun; may != (begun || open) {
				t.Fatalf("outcome %s; begun: %v, open: %v", l.Outcome(), begun, open)
			}
		}
	})
}
