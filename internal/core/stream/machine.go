package stream

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Mode is how this router came to handle the run.
type Mode int

// The modes.
const (
	// ModeOwned: this router dispatches the run and may cancel it.
	ModeOwned Mode = iota + 1
	// ModeAdopted: a caller resumes a run that any router may have dispatched.
	// This router never cancels it, as another router may still reach the engine.
	ModeAdopted
)

// Limits bound the retries of a run.
type Limits struct {
	// Failures is the number of consecutive failed steps, without a token in
	// between, after which the run is abandoned before its first token;
	// StartedFailures is the same after the first token. A run that has started
	// can't be moved to another engine, so that it must survive a link failure of
	// some seconds. A request that has not started can move, and does so as soon
	// as a dispatch and a probe are both unanswered: each of them costs the caller
	// a whole timeout while other engines may be idle.
	Failures        int
	StartedFailures int
	// QueuedRounds is the maximum number of probes before the first token that
	// find the generation queued, and RunningRounds of those that find it running.
	QueuedRounds  int
	RunningRounds int
	// StartedRounds is the maximum number of probes between two tokens. It is
	// high because an overloaded engine may preempt a generation for long, and the
	// tokens of an abandoned generation can't be reproduced.
	StartedRounds int
	// CancelTries is the maximum number of unanswered cancels before the run ends
	// without a confirmed cancel.
	CancelTries int
	// Backoff is the initial retry delay; it doubles up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// DefaultLimits returns limits for engines at a network latency of about a
// millisecond.
func DefaultLimits() Limits {
	return Limits{
		Failures: 2, StartedFailures: 12, QueuedRounds: 30, RunningRounds: 15, StartedRounds: 300, CancelTries: 2,
		Backoff: 25 * time.Millisecond, MaxBackoff: time.Second,
	}
}

type phase int

const (
	phaseIdle phase = iota
	phaseDispatching
	phaseReading
	phaseProbing
	phaseResuming
	phaseCancelling
	phaseEnded
)

// Machine is the state machine of one run. It is not safe for concurrent use.
type Machine struct {
	generation string
	mode       Mode
	limits     Limits
	// resumable: the caller has a resume token once it has received the first
	// frame.
	resumable bool

	phase      phase
	start      int
	next       int
	failures   int
	idleProbes int
	cancels    int
	dropped    int
	resumes    int
	reason     string
}

// Options configures the state machine of a run.
type Options struct {
	Generation string
	Mode       Mode
	// From is the index of the first token that the caller has not received.
	From int
	// Resumable: the caller can resume the run for the remaining tokens.
	Resumable bool
	Limits    Limits
}

// New returns a machine that expects EventBegin.
func New(o Options) *Machine {
	return &Machine{
		generation: o.Generation, mode: o.Mode, limits: o.Limits,
		resumable: o.Resumable, start: o.From, next: o.From,
	}
}

// Next returns the index of the first token that the caller has not received.
func (m *Machine) Next() int { return m.next }

// Delivered reports whether the caller has received a token of the generation.
func (m *Machine) Delivered() bool { return m.next > 0 }

// Dropped returns the number of frames that were not delivered because they were
// duplicates or belonged to another generation.
func (m *Machine) Dropped() int { return m.dropped }

// Resumes returns the number of resume commands issued.
func (m *Machine) Resumes() int { return m.resumes }

// Step processes an event and returns the next command.
func (m *Machine) Step(e Event) Command {
	if m.phase == phaseEnded {
		return Command{Kind: CommandEnd, Outcome: OutcomeRan, Reason: "the run was over"}
	}
	switch e.Kind {
	case EventCallerGone:
		return m.callerGone()
	case EventHandover:
		return m.handover()
	}
	switch m.phase {
	case phaseIdle:
		return m.begin()
	case phaseDispatching:
		return m.stepDispatching(e)
	case phaseReading:
		return m.stepReading(e)
	case phaseProbing:
		return m.stepProbing(e)
	case phaseResuming:
		return m.stepResuming(e)
	default:
		return m.stepCancelling(e)
	}
}

func (m *Machine) begin() Command {
	if m.mode == ModeAdopted {
		return m.resume("a caller resumes")
	}
	m.phase = phaseDispatching
	return Command{Kind: CommandDispatch}
}

func (m *Machine) stepDispatching(e Event) Command {
	switch e.Kind {
	case EventOpened:
		return m.read()
	case EventNotSent:
		return m.end(OutcomeNotSent, "the engine could not be reached")
	case EventRefused:
		return m.end(OutcomeRefused, "the engine refused the dispatch")
	case EventRejected:
		return m.end(OutcomeRejected, "the engine says that it can't take such a request")
	default:
		// The engine may have received the dispatch although its answer was
		// lost, and a second dispatch could run the generation twice. The status
		// is therefore probed first.
		return m.retryOrGiveUp("the dispatch got no answer", m.probe)
	}
}

func (m *Machine) stepReading(e Event) Command {
	switch e.Kind {
	case EventFrame:
		return m.handleFrame(e.Frame)
	case EventStalled:
		// The engine may be alive behind a stalled link: its status is probed
		// before the run is abandoned.
		m.reason = "no frame within the stall timeout"
		return m.probe()
	default:
		// Only a final frame with a matching token count ends the run, not the
		// end of the connection.
		return m.retryOrGiveUp("the connection closed before the final frame", m.resumeAfterFailure)
	}
}

// handleFrame ensures that each token is delivered once, in order, and from a single
// generation.
func (m *Machine) handleFrame(f port.Frame) Command {
	if f.Generation != m.generation {
		// Misrouted or late frames of another run would mix two answers.
		m.dropped++
		return m.read()
	}
	if f.Final() {
		return m.handleFinal(f)
	}
	if f.Index < m.next {
		m.dropped++
		return m.read()
	}
	if f.Index > m.next {
		return m.retryOrGiveUp("a frame is missing", m.resumeAfterFailure)
	}
	m.next++
	m.failures, m.idleProbes = 0, 0
	return Command{Kind: CommandDeliver, Frame: f}
}

func (m *Machine) handleFinal(f port.Frame) Command {
	switch {
	case f.TokenCount > m.next:
		return m.retryOrGiveUp("tokens are missing before the final frame", m.resumeAfterFailure)
	case f.TokenCount < m.next && m.next != m.start:
		return m.end(OutcomeRan, "the engine's final count is below the tokens it sent")
	}
	m.phase = phaseEnded
	return Command{Kind: CommandComplete, Frame: f, Outcome: OutcomeDone, Reason: f.FinishReason}
}

func (m *Machine) stepProbing(e Event) Command {
	if e.Kind != EventStatus {
		return m.retryOrGiveUp("the engine does not answer a probe", m.probe)
	}
	switch e.Status {
	case port.GenerationQueued:
		return m.resumeWithinLimit(m.limits.QueuedRounds, "the engine keeps it queued")
	case port.GenerationRunning:
		return m.resumeWithinLimit(m.limits.RunningRounds, "the engine runs it without a token")
	case port.GenerationFinished:
		return m.retryOrGiveUp("the end did not arrive", m.resumeAfterFailure)
	case port.GenerationCancelled:
		return m.end(OutcomeRan, "the engine cancelled it")
	default:
		return m.generationNotFound()
	}
}

// resumeWithinLimit counts the answered probes since the last token. It resumes the
// run, or gives it up once the count has reached the limit.
func (m *Machine) resumeWithinLimit(limit int, reason string) Command {
	m.idleProbes++
	if m.Delivered() {
		limit = m.limits.StartedRounds
	}
	if m.idleProbes >= limit {
		return m.giveUp(reason)
	}
	return m.resume(reason)
}

func (m *Machine) stepResuming(e Event) Command {
	switch e.Kind {
	case EventOpened:
		return m.read()
	case EventNoGeneration:
		return m.generationNotFound()
	default:
		return m.retryOrGiveUp("the engine does not answer a resume", m.resumeAfterFailure)
	}
}

// generationNotFound handles an engine that does not know the generation. Before the
// first token the dispatch may still be in transit, so that it is barred by a cancel
// first.
func (m *Machine) generationNotFound() Command {
	if m.mode == ModeOwned && !m.Delivered() {
		return m.cancel("the engine does not know the generation")
	}
	return m.end(OutcomeRan, "the engine no longer holds the generation")
}

func (m *Machine) stepCancelling(e Event) Command {
	if e.Kind == EventEngineRestarted {
		// The engine lost its state in the restart: there is nothing to cancel,
		// and whether the generation ran can't be determined.
		return m.end(m.fateWithoutAnswer(), m.reason+"; the engine has restarted")
	}
	if e.Kind != EventStatus {
		m.cancels++
		if m.cancels < m.limits.CancelTries {
			return Command{Kind: CommandCancel, Delay: m.limits.Backoff, Reason: m.reason}
		}
		c := m.end(m.fateWithoutAnswer(), m.reason)
		c.CancelPending = true
		return c
	}
	// Only the answer to a cancel proves that the generation never ran: the
	// engine bars an unknown id and refuses a dispatch that arrives later.
	if e.Status == port.GenerationUnknown && !m.Delivered() {
		return m.end(OutcomeBarred, m.reason)
	}
	return m.end(OutcomeRan, m.reason)
}

func (m *Machine) fateWithoutAnswer() RunOutcome {
	if m.Delivered() {
		return OutcomeRan
	}
	return OutcomeUnknown
}

func (m *Machine) callerGone() Command {
	if m.phase == phaseIdle {
		return m.end(OutcomeNotSent, "the caller has gone")
	}
	if m.mode == ModeAdopted || (m.resumable && m.Delivered()) {
		return m.end(OutcomeDetached, "the caller has gone and may resume")
	}
	if m.phase == phaseCancelling {
		c := m.end(m.fateWithoutAnswer(), "the caller has gone")
		c.CancelPending = true
		return c
	}
	return m.cancel("the caller has gone")
}

// handover ends a run without a cancel if the engine is known to have it, with or
// without a delivered token, as the caller is told how to resume it. A run that may
// not exist at the engine is handled as if the caller had gone.
func (m *Machine) handover() Command {
	switch m.phase {
	case phaseReading, phaseResuming:
		return m.end(OutcomeDetached, "the router stops and the caller may resume")
	}
	return m.callerGone()
}

// retryOrGiveUp counts a failed step. It retries with next, or gives up once the
// count has reached the limit.
func (m *Machine) retryOrGiveUp(reason string, next func() Command) Command {
	m.failures++
	m.reason = reason
	limit := m.limits.Failures
	if m.Delivered() {
		limit = m.limits.StartedFailures
	}
	if m.failures >= limit {
		return m.giveUp(reason)
	}
	c := next()
	if m.failures > 1 {
		c.Delay = m.backoff()
	}
	return c
}

func (m *Machine) backoff() time.Duration {
	d := m.limits.Backoff << min(m.failures-2, 10)
	return min(d, m.limits.MaxBackoff)
}

func (m *Machine) giveUp(reason string) Command {
	if m.mode == ModeAdopted {
		return m.end(OutcomeDetached, reason)
	}
	return m.cancel(reason)
}

func (m *Machine) read() Command {
	m.phase = phaseReading
	return Command{Kind: CommandRead}
}

func (m *Machine) resumeAfterFailure() Command { return m.resume(m.reason) }

func (m *Machine) resume(reason string) Command {
	m.phase = phaseResuming
	m.resumes++
	return Command{Kind: CommandResume, From: m.next, Reason: reason}
}

func (m *Machine) probe() Command {
	m.phase = phaseProbing
	return Command{Kind: CommandProbe, Reason: m.reason}
}

func (m *Machine) cancel(reason string) Command {
	m.phase = phaseCancelling
	m.reason = reason
	return Command{Kind: CommandCancel, Reason: reason}
}

func (m *Machine) end(f RunOutcome, reason string) Command {
	m.phase = phaseEnded
	return Command{Kind: CommandEnd, Outcome: f, Reason: reason}
}
