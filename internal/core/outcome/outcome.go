// Package outcome derives the outcome of a request, and whether it may be retried,
// from the fates of its attempts.
package outcome

import "github.com/dragonflyrail/dragonflyrail/internal/core/stream"

// Outcome is the result of a request as reported to the caller.
type Outcome string

// The outcomes.
const (
	// Done: the caller has the complete answer.
	Done Outcome = "done"
	// NotRun: no attempt reached an endpoint, or each endpoint that was reached
	// reported that it did not run the request.
	NotRun Outcome = "not_run"
	// Failed: the request ran, and the answer is incomplete.
	Failed Outcome = "failed"
	// Unknown: the request may have run.
	Unknown Outcome = "unknown"
)

// Ledger collects the fates of the attempts of a request. The zero value is a
// request without attempts.
type Ledger struct {
	// Idempotent is set if running the request twice does no harm.
	Idempotent bool

	attempts   int
	done       bool
	ran        bool
	mayHaveRun bool
	delivered  bool
	rejected   bool
}

// Add records the fate of one attempt; delivered tells whether a token or byte of
// it reached the caller.
func (l *Ledger) Add(f stream.RunOutcome, delivered bool) {
	l.attempts++
	l.delivered = l.delivered || delivered
	switch f {
	case stream.OutcomeDone:
		l.done = true
	case stream.OutcomeNotSent, stream.OutcomeRefused, stream.OutcomeBarred:
	case stream.OutcomeRejected:
		l.rejected = true
	case stream.OutcomeRan:
		l.ran = true
	default:
		l.mayHaveRun = true
	}
}

// Attempts returns the number of recorded attempts.
func (l *Ledger) Attempts() int { return l.attempts }

// MayRetry reports whether another attempt is allowed. There is no second generation
// once the caller has a token, no retry of a request that an endpoint rejected as
// invalid, and no second run of a request that is not idempotent unless each earlier
// attempt is known not to have run.
func (l *Ledger) MayRetry() bool {
	if l.done || l.delivered || l.rejected {
		return false
	}
	return l.Idempotent || !(l.ran || l.mayHaveRun)
}

// Outcome returns the outcome of the request as far as it is known.
func (l *Ledger) Outcome() Outcome {
	switch {
	case l.done:
		return Done
	case l.delivered, l.ran && !l.mayHaveRun:
		return Failed
	case l.mayHaveRun:
		return Unknown
	default:
		return NotRun
	}
}
