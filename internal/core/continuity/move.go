// Package continuity decides how a running generation survives the runner
// that leaves under it: whether it is moved, and when a copy of its tokens is
// fresh enough to stop it for the last part. It knows no sockets and no clock.
package continuity

import "time"

// Bounds of a move.
const (
	// quietPass is the time of a copy at which nothing else waits for the
	// link: a run whose tokens grow by a hundred a second has grown by some
	// tens of megabytes since the last pass, which take a few milliseconds.
	// Stopping the run while others' copies wait would pause it for them all.
	quietPass = 60 * time.Millisecond
	// maxPasses bounds the copies before the run is stopped: a link that is
	// still busy after as many won't be quiet before the runner is gone.
	maxPasses = 6
	// lastMoment is kept free before the runner's end, for the last part and
	// the first token at the new runner.
	lastMoment = 250 * time.Millisecond
	// maxDestinations bounds the runners that are asked to take a copy.
	maxDestinations = 3
)

// Step is what to do next with a run.
type Step int

// The steps of a move.
const (
	// StepCopy copies what is new, while the run goes on.
	StepCopy Step = iota + 1
	// StepStop stops the run and copies its last part.
	StepStop
	// StepElsewhere chooses another runner, and copies all.
	StepElsewhere
	// StepLeave leaves the run where it is.
	StepLeave
)

// Result is what came of a copy.
type Result int

// The results of copies.
const (
	// Copied: the copy is complete up to what the run had made.
	Copied Result = iota + 1
	// Full: the destination has no room or can't be reached.
	Full
	// Ended: there is no such run at the runner.
	Ended
	// Failed: the runner gave no answer.
	Failed
)

// Move follows the copies of one run. It is not safe for concurrent use.
type Move struct {
	// ends is when the runner is expected to be gone.
	ends         time.Time
	passes       int
	destinations int
	failures     int
}

// NewMove begins a move away from a runner that is gone at ends.
func NewMove(ends time.Time) *Move { return &Move{ends: ends, destinations: 1} }

// Next takes the result of a copy that began and ended at the times.
func (m *Move) Next(r Result, began, now time.Time) Step {
	switch r {
	case Copied:
		return m.copied(now.Sub(began), now)
	case Full:
		return m.elsewhere(now)
	case Failed:
		return m.failed(now)
	default:
		return StepLeave
	}
}

func (m *Move) copied(took time.Duration, now time.Time) Step {
	m.passes++
	late := now.Add(lastMoment).After(m.ends)
	if took <= quietPass && m.passes > 1 || m.passes >= maxPasses || late {
		return StepStop
	}
	return StepCopy
}

func (m *Move) elsewhere(now time.Time) Step {
	if m.destinations >= maxDestinations || now.After(m.ends) {
		return StepLeave
	}
	m.destinations++
	m.passes = 0
	return StepElsewhere
}

// maxFailures bounds the copies without an answer.
const maxFailures = 2

func (m *Move) failed(now time.Time) Step {
	m.failures++
	if m.failures >= maxFailures || now.After(m.ends) {
		return StepLeave
	}
	return StepCopy
}
