// Package continuity decides how a running generation is kept when its runner shuts
// down: whether the run is moved to another runner, and when the copy of its tokens
// is recent enough to stop the run for the last part. It does no I/O and has no clock
// of its own.
package continuity

import "time"

// Bounds of a move.
const (
	// idleLinkCopyTime is the copy time at which no other copies wait for the
	// link. At a hundred tokens per second a run has grown by some tens of
	// megabytes since the last pass, and copying these takes a few milliseconds.
	// Stopping the run while other copies wait would pause it until they are done.
	idleLinkCopyTime = 60 * time.Millisecond
	// maxPasses bounds the copies before the run is stopped: a link that is still
	// busy after that many won't be idle before the runner shuts down.
	maxPasses = 6
	// finalCopyReserve is the time kept free before the runner shuts down, for
	// the last part and the first token at the new runner.
	finalCopyReserve = 250 * time.Millisecond
	// maxDestinations bounds the runners that are tried as destinations.
	maxDestinations = 3
)

// Step is the next action for a run.
type Step int

// The steps of a move.
const (
	// StepCopy copies the new tokens while the run continues.
	StepCopy Step = iota + 1
	// StepStop stops the run and copies its last part.
	StepStop
	// StepNextDestination chooses another destination and copies everything.
	StepNextDestination
	// StepStay leaves the run at its runner.
	StepStay
)

// Result is the result of one copy.
type Result int

// The results of copies.
const (
	// Copied: the copy has everything that the run had generated.
	Copied Result = iota + 1
	// Full: the destination has no room or is unreachable.
	Full
	// Ended: the run doesn't exist at the runner any more.
	Ended
	// Failed: the runner did not answer.
	Failed
)

// Move tracks the copies of one run. It is not safe for concurrent use.
type Move struct {
	// deadline is when the runner is expected to shut down.
	deadline     time.Time
	passes       int
	destinations int
	failures     int
}

// NewMove starts a move away from a runner that shuts down at the deadline.
func NewMove(deadline time.Time) *Move { return &Move{deadline: deadline, destinations: 1} }

// Next records the result of a copy, with the times at which it started and ended,
// and returns the next step.
func (m *Move) Next(r Result, started, now time.Time) Step {
	switch r {
	case Copied:
		return m.copied(now.Sub(started), now)
	case Full:
		return m.nextDestination(now)
	case Failed:
		return m.failed(now)
	default:
		return StepStay
	}
}

func (m *Move) copied(elapsed time.Duration, now time.Time) Step {
	m.passes++
	outOfTime := now.Add(finalCopyReserve).After(m.deadline)
	if elapsed <= idleLinkCopyTime && m.passes > 1 || m.passes >= maxPasses || outOfTime {
		return StepStop
	}
	return StepCopy
}

func (m *Move) nextDestination(now time.Time) Step {
	if m.destinations >= maxDestinations || now.After(m.deadline) {
		return StepStay
	}
	m.destinations++
	m.passes = 0
	return StepNextDestination
}

// maxFailures bounds the copies without an answer.
const maxFailures = 2

func (m *Move) failed(now time.Time) Step {
	m.failures++
	if m.failures >= maxFailures || now.After(m.deadline) {
		return StepStay
	}
	return StepCopy
}
