package continuity

// StopState is what the calls to stop a run, before it goes on elsewhere, have shown.
type StopState int

// The values of StopState.
const (
	// StopUnconfirmed: the run may be in progress at its runner.
	StopUnconfirmed StopState = iota
	// StopConfirmed: the runner has stopped the run and keeps its memory.
	StopConfirmed
	// StopNoRun: the runner has no such run, or another one has its address.
	StopNoRun
	// StopRefused: connections to the runner are refused, as they are once it has ended. A
	// stream that is still open shows that it hasn't.
	StopRefused
	// StopUnreachable: no connection to the runner can be established.
	StopUnreachable
)

// IsOver reports whether the run is known to be over at its runner.
func (s StopState) IsOver() bool { return s == StopConfirmed || s == StopNoRun }
