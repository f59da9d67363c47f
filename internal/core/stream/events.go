package stream

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// EventKind is the kind of an event on the connection to the engine or the caller.
type EventKind int

// The kinds of events that the driver passes to Step.
const (
	// EventBegin is the first event of each run.
	EventBegin EventKind = iota + 1
	// EventOpened: the engine answered a dispatch or a resume with a stream.
	EventOpened
	// EventFrame carries a frame.
	EventFrame
	// EventClosed: the connection was closed or the reader's buffer overflowed.
	EventClosed
	// EventStalled: no frame arrived within the stall timeout.
	EventStalled
	// EventNotSent: no byte of the call was sent.
	EventNotSent
	// EventRefused: the engine reported that it did not start the generation.
	EventRefused
	// EventRejected: the engine reported that the request is invalid.
	EventRejected
	// EventNoAnswer: a call was sent and no answer arrived.
	EventNoAnswer
	// EventNoGeneration: the engine of a resume does not know the generation.
	EventNoGeneration
	// EventStatus carries the status that answers a probe, or the status before
	// a cancel that answers the cancel.
	EventStatus
	// EventEngineRestarted: the engine answered a cancel but has restarted since the
	// dispatch. That it does not know the generation does not prove that the
	// generation never ran.
	EventEngineRestarted
	// EventCallerGone: the caller closed its connection.
	EventCallerGone
	// EventHandover: this router shuts down; the caller is told to resume the
	// run at another router.
	EventHandover
)

// Event is an input of the state machine. Frame is set for EventFrame, Status for
// EventStatus.
type Event struct {
	Kind   EventKind
	Frame  port.Frame
	Status port.GenerationStatus
}

// CommandKind is the kind of a command to the driver.
type CommandKind int

// The kinds of commands.
const (
	// CommandDispatch starts the generation at the engine.
	CommandDispatch CommandKind = iota + 1
	// CommandRead waits for the next frame of the open connection.
	CommandRead
	// CommandDeliver sends the frame to the caller and then reads the next one.
	CommandDeliver
	// CommandResume opens a new connection after Delay, starting at token From.
	CommandResume
	// CommandProbe queries the status of the generation after Delay.
	CommandProbe
	// CommandCancel cancels the generation after Delay. The engine bars an id that
	// it does not know.
	CommandCancel
	// CommandComplete sends the final frame to the caller and ends the run.
	CommandComplete
	// CommandEnd ends the run without a complete answer.
	CommandEnd
)

// Command tells the driver what to do next.
type Command struct {
	Kind  CommandKind
	Frame port.Frame
	// From is the index of the first token to request with CommandResume.
	From  int
	Delay time.Duration
	// Outcome is set for CommandEnd and CommandComplete. Reason is also set for
	// CommandResume, CommandProbe and CommandCancel.
	Outcome RunOutcome
	Reason  string
	// CancelPending: the engine has not confirmed the cancel, which must be
	// repeated.
	CancelPending bool
}

// RunOutcome is the known outcome of a run that has ended.
type RunOutcome int

// The outcomes of a run.
const (
	// OutcomeDone: the caller received every token, and the final count agrees.
	OutcomeDone RunOutcome = iota + 1
	// OutcomeNotSent: nothing was sent to the engine.
	OutcomeNotSent
	// OutcomeRefused: the engine reported that it did not start the generation.
	OutcomeRefused
	// OutcomeRejected: the engine did not start the generation, as the request is
	// invalid.
	OutcomeRejected
	// OutcomeBarred: the engine never received the generation and now refuses its id.
	OutcomeBarred
	// OutcomeRan: the engine had accepted the generation, and its answer is incomplete.
	OutcomeRan
	// OutcomeUnknown: the generation may have run; no token was delivered to the
	// caller.
	OutcomeUnknown
	// OutcomeDetached: the run was not cancelled and may continue at the engine; the
	// caller may resume it.
	OutcomeDetached
)

// String returns the name of the outcome as used in logs.
func (f RunOutcome) String() string {
	names := [...]string{"none", "done", "not_sent", "refused", "rejected", "barred", "ran", "unknown", "left"}
	if f < 0 || int(f) >= len(names) {
		return names[0]
	}
	return names[f]
}
