// Package outcome derives the outcome of a request, and whether it may be retried,
// from the fates of its attempts.
package outcome

import (
	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
)

// ErrMayRunTwice means that an attempt must not be sent, because the request would run, or
// may run, more often than it is allowed to.
var ErrMayRunTwice = merry.Sentinel("outcome: the request is not sent, because a run of it may be in progress or over")

// Start is where an attempt begins to run the request.
type Start int

// The values of Start.
const (
	// FromPrompt: a run from the beginning.
	FromPrompt Start = iota + 1
	// FromCopy: the earlier run goes on, from a copy of its memory.
	FromCopy
	// FromEvent: a second run continues the stream after the caller's last event.
	FromEvent
)

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
// request without attempts. An attempt that has begun counts as one that may have run
// until its end is recorded.
type Ledger struct {
	// Idempotent is set if running the request twice does no harm.
	Idempotent bool
	// Resumable is set if a second run may continue the request's stream.
	Resumable bool

	attempts   int
	done       bool
	ran        bool
	mayHaveRun bool
	delivered  bool
	rejected   bool
	// open: an attempt has begun and not ended.
	open bool
	// inProgress: a run of the request may be in progress. inProgressBefore is its value
	// before the last attempt began.
	inProgress, inProgressBefore bool
}

// Begin records that an attempt is about to be sent. It returns ErrMayRunTwice if the
// attempt must not be sent.
func (l *Ledger) Begin(s Start) error {
	if l.open || !l.mayBegin(s) {
		return ErrMayRunTwice
	}
	l.open = true
	l.inProgressBefore, l.inProgress = l.inProgress, true
	return nil
}

func (l *Ledger) mayBegin(s Start) bool {
	switch s {
	case FromPrompt:
		return l.MayRetry()
	case FromCopy:
		return !l.done && !l.rejected && !l.inProgress
	case FromEvent:
		return !l.done && !l.rejected && !l.inProgress && l.Resumable
	}
	return false
}

// End records the fate of the attempt that has begun. delivered states whether a token or
// byte of any attempt reached the caller.
func (l *Ledger) End(f stream.RunOutcome, delivered bool) {
	if l.open {
		l.Add(f, delivered)
	}
	l.delivered = l.delivered || delivered
}

// Stopped records that the run of the last attempt is known to be over before its end, so
// that it may go on from a copy.
func (l *Ledger) Stopped() {
	l.End(stream.OutcomeRan, false)
	// Where a run of unknown outcome may be in progress isn't known.
	l.inProgress = l.mayHaveRun && !l.Idempotent
}

// InProgress reports whether a run of the request may be in progress.
func (l *Ledger) InProgress() bool { return l.inProgress }

// Add records the fate of one attempt; delivered tells whether a token or byte of
// it reached the caller.
func (l *Ledger) Add(f stream.RunOutcome, delivered bool) {
	l.attempts++
	l.open = false
	l.delivered = l.delivered || delivered
	switch f {
	case stream.OutcomeDone:
		l.done = true
	case stream.OutcomeNotSent, stream.OutcomeRefused, stream.OutcomeBarred:
		l.inProgress = l.inProgressBefore
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
	return l.Idempotent || !(l.ran || l.mayHaveRun || l.open)
}

// Outcome returns the outcome of the request as far as it is known.
func (l *Ledger) Outcome() Outcome {
	switch {
	case l.done:
		return Done
	case l.delivered, l.ran && !l.mayHaveRun && !l.open:
		return Failed
	case l.mayHaveRun, l.open:
		return Unknown
	default:
		return NotRun
	}
}
