package quarantine

import "time"

// Hold is why a request must not be sent.
type Hold struct {
	// Remaining is for how long it will be remembered if such requests aren't sent again.
	Remaining time.Duration
	// Parts are the parts of its prompt that crash endpoints; empty if it is the request
	// as a whole.
	Parts []Part
	// LastCrash is when an endpoint last crashed under the first of Parts, and Crashes the
	// number of these crashes that are kept.
	LastCrash time.Time
	Crashes   int
	// Completed is set if requests with the first of Parts completed before the crashes, and
	// Cleared counts how often it was found harmless.
	Completed bool
	Cleared   uint32
}

// Times after the last crash from which one request with quarantined parts may be sent.
const (
	// trialAfter doubles with each crash beyond those of the verdict.
	trialAfter = time.Minute
	// completedTrialAfter applies to a part with which requests completed before, and doubles
	// with each trial, up to the interval of other parts. Such a part may be one that all
	// requests share: a wrong verdict refuses them all, so that only a trial can end it.
	completedTrialAfter = 2 * time.Second
	// maxTrialDoublings keeps the interval from overflowing.
	maxTrialDoublings = 16
)

// TrialInterval returns the time after a crash or a trial from which one request with the
// parts may be sent, to find out whether it still crashes its endpoint. trials is the
// number of trials since the part was last cleared.
func (h *Hold) TrialInterval(trials int) time.Duration {
	regular := trialAfter << max(0, h.Crashes-convictAfter)
	if !h.Completed {
		return regular
	}
	return min(regular, completedTrialAfter<<min(trials, maxTrialDoublings))
}
