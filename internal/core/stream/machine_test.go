package stream

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const testGeneration = "router-1.a.1"

func tokenEvent(i int) Event {
	return Event{Kind: EventFrame, Frame: port.Frame{Generation: testGeneration, Index: i}}
}

func finalEvent(count int) Event {
	return Event{Kind: EventFrame, Frame: port.Frame{
		Generation: testGeneration, Index: count, FinishReason: "stop", TokenCount: count,
	}}
}

func statusEvent(s port.GenerationStatus) Event { return Event{Kind: EventStatus, Status: s} }

func eventOf(k EventKind) Event { return Event{Kind: k} }

// openMachine returns a machine that is reading and has delivered n tokens.
func openMachine(t *testing.T, o Options, n int) *Machine {
	t.Helper()
	o.Generation = testGeneration
	if o.Mode == 0 {
		o.Mode = ModeOwned
	}
	if o.Limits == (Limits{}) {
		o.Limits = DefaultLimits()
	}
	m := New(o)
	m.Step(eventOf(EventBegin))
	m.Step(eventOf(EventOpened))
	for i := range n {
		if c := m.Step(tokenEvent(o.From + i)); c.Kind != CommandDeliver {
			t.Fatalf("token %d: got command %d", i, c.Kind)
		}
	}
	return m
}

// The engine sends frames of another generation, its final frame included, on the
// connection. They are dropped, as the caller would receive a mix of two answers;
// the frames of the right generation are still delivered.
func TestFramesOfOtherGenerationsAreDropped(t *testing.T) {
	m := openMachine(t, Options{}, 2)
	foreign := tokenEvent(2)
	foreign.Frame.Generation = "router-1.b.1"
	if c := m.Step(foreign); c.Kind != CommandRead {
		t.Fatalf("token of another generation: got %+v", c)
	}
	end := finalEvent(2)
	end.Frame.Generation = "router-1.b.1"
	if c := m.Step(end); c.Kind != CommandRead {
		t.Fatalf("final frame of another generation: got %+v", c)
	}
	if c := m.Step(tokenEvent(2)); c.Kind != CommandDeliver || m.Dropped() != 2 {
		t.Fatalf("next token: got %+v, dropped %d frames, want 2", c, m.Dropped())
	}
}

// A token that arrives twice is delivered once. This happens if a resume starts
// before the first missing token, or if the link repeats a frame.
func TestDuplicatesAreDropped(t *testing.T) {
	m := openMachine(t, Options{}, 3)
	for i := range 3 {
		if c := m.Step(tokenEvent(i)); c.Kind != CommandRead {
			t.Fatalf("duplicate %d: got %+v", i, c)
		}
	}
	if c := m.Step(tokenEvent(3)); c.Kind != CommandDeliver {
		t.Fatalf("next token: got %+v", c)
	}
}

// If a frame is lost, the stream resumes from the missing token at the same
// endpoint; otherwise the caller would miss a token in the middle.
func TestGapResumesFromTheMissingToken(t *testing.T) {
	m := openMachine(t, Options{}, 3)
	c := m.Step(tokenEvent(5))
	if c.Kind != CommandResume || c.From != 3 {
		t.Fatalf("got %+v, want a resume from 3", c)
	}
}

// A connection that closes early, or a final frame that arrives before all the
// tokens that it counts, does not complete the run; otherwise the caller would
// take a partial answer for a complete one.
func TestEarlyCloseDoesNotComplete(t *testing.T) {
	m := openMachine(t, Options{}, 3)
	if c := m.Step(eventOf(EventClosed)); c.Kind != CommandResume || c.From != 3 {
		t.Fatalf("closed: got %+v", c)
	}
	m.Step(eventOf(EventOpened))
	if c := m.Step(finalEvent(5)); c.Kind != CommandResume || c.From != 3 {
		t.Fatalf("final frame too early: got %+v", c)
	}
	m.Step(eventOf(EventOpened))
	m.Step(tokenEvent(3))
	m.Step(tokenEvent(4))
	if c := m.Step(finalEvent(5)); c.Kind != CommandComplete || c.Outcome != OutcomeDone {
		t.Fatalf("final frame: got %+v", c)
	}
}

// A final count below the number of tokens sent fails the run, as the answer may be
// incomplete.
func TestFinalCountBelowTheTokensSentFails(t *testing.T) {
	m := openMachine(t, Options{}, 3)
	if c := m.Step(finalEvent(2)); c.Kind != CommandEnd || c.Outcome != OutcomeRan {
		t.Fatalf("got %+v", c)
	}
}

// A caller that has already received the last event and resumes gets the final
// frame again and no token.
func TestResumeAfterTheEndCompletes(t *testing.T) {
	m := openMachine(t, Options{Mode: ModeAdopted, From: 6}, 0)
	if c := m.Step(finalEvent(5)); c.Kind != CommandComplete {
		t.Fatalf("got %+v", c)
	}
}

// After a stall of the link or the engine a probe shows that the run is alive, and
// the stream resumes. A generation that an overloaded engine has preempted is not
// abandoned early; one without a first token is abandoned after fewer probes.
func TestStallProbesThenResumesThenGivesUp(t *testing.T) {
	limits := DefaultLimits()
	cases := []struct {
		name      string
		delivered int
		status    port.GenerationStatus
		rounds    int
		fate      RunOutcome
	}{
		{"preempted after a token", 1, port.GenerationRunning, limits.StartedRounds, OutcomeRan},
		{"queued again after a token", 1, port.GenerationQueued, limits.StartedRounds, OutcomeRan},
		{"running without a token", 0, port.GenerationRunning, limits.RunningRounds, OutcomeRan},
		{"queued", 0, port.GenerationQueued, limits.QueuedRounds, OutcomeRan},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := openMachine(t, Options{Resumable: true}, c.delivered)
			for round := 1; ; round++ {
				if got := m.Step(eventOf(EventStalled)); got.Kind != CommandProbe {
					t.Fatalf("silent: got %+v", got)
				}
				got := m.Step(statusEvent(c.status))
				if got.Kind == CommandCancel && round == c.rounds {
					break
				}
				if got.Kind != CommandResume || got.From != c.delivered {
					t.Fatalf("round %d of %d: got %+v", round, c.rounds, got)
				}
				m.Step(eventOf(EventOpened))
			}
			got := m.Step(statusEvent(c.status))
			if got.Kind != CommandEnd || got.Outcome != c.fate || got.CancelPending {
				t.Fatalf("cancelled: got %+v", got)
			}
		})
	}
}

// The outcome of a dispatch without an answer depends on the engine's answer to the
// cancel.
func TestOutcomeOfUnansweredDispatch(t *testing.T) {
	cases := []struct {
		name   string
		answer Event
		want   RunOutcome
	}{
		{"barred before the dispatch arrived", statusEvent(port.GenerationUnknown), OutcomeBarred},
		{"queued", statusEvent(port.GenerationQueued), OutcomeRan},
		{"running", statusEvent(port.GenerationRunning), OutcomeRan},
		{"finished", statusEvent(port.GenerationFinished), OutcomeRan},
		{"the engine has restarted", eventOf(EventEngineRestarted), OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m := New(Options{Generation: testGeneration, Mode: ModeOwned, Limits: DefaultLimits()})
			m.Step(eventOf(EventBegin))
			if got := m.Step(eventOf(EventNoAnswer)); got.Kind != CommandProbe {
				t.Fatalf("lost: got %+v", got)
			}
			// A probe that returns unknown does not prove that the generation
			// never runs: the dispatch may still be in transit.
			if got := m.Step(statusEvent(port.GenerationUnknown)); got.Kind != CommandCancel {
				t.Fatalf("probe: got %+v", got)
			}
			if got := m.Step(c.answer); got.Kind != CommandEnd || got.Outcome != c.want {
				t.Fatalf("got %+v, want %s", got, c.want)
			}
		})
	}
}

// If the engine stops answering, the outcome is unknown, and the cancel is left
// pending to be repeated until the engine confirms it.
func TestUnansweredCancelStaysPending(t *testing.T) {
	m := New(Options{Generation: testGeneration, Mode: ModeOwned, Limits: DefaultLimits()})
	c := m.Step(eventOf(EventBegin))
	for range 100 {
		if c.Kind == CommandEnd {
			break
		}
		c = m.Step(eventOf(EventNoAnswer))
	}
	if c.Kind != CommandEnd || c.Outcome != OutcomeUnknown || !c.CancelPending {
		t.Fatalf("got %+v", c)
	}
}

// The link to the engine fails. Before the first token the run is abandoned after
// few failures, as the request can move to another engine. After it the run can't be
// replaced, so that more failures are tolerated.
func TestMoreLinkFailuresToleratedAfterFirstToken(t *testing.T) {
	limits := DefaultLimits()
	for delivered, want := range map[int]int{0: limits.Failures, 1: limits.StartedFailures} {
		m := openMachine(t, Options{Resumable: true}, delivered)
		c := m.Step(eventOf(EventClosed))
		failures := 1
		for c.Kind == CommandResume && failures < 100 {
			c = m.Step(eventOf(EventNoAnswer))
			failures++
		}
		if c.Kind != CommandCancel || failures != want {
			t.Errorf("with %d tokens delivered: got %+v after %d failures, want a cancel after %d", delivered, c, failures, want)
		}
	}
}

// A router shuts down while the caller reads: the run is not cancelled, so that the
// caller can resume it at another router.
func TestHandoverDoesNotCancel(t *testing.T) {
	m := openMachine(t, Options{Resumable: true}, 2)
	if c := m.Step(eventOf(EventHandover)); c.Kind != CommandEnd || c.Outcome != OutcomeDetached || c.CancelPending {
		t.Fatalf("got %+v", c)
	}
}

// A caller that disconnects before its first token can't resume, so that the run is
// cancelled and its memory is freed. After the first token the run continues, to be
// resumed, if the caller has a resume token.
func TestCallerGone(t *testing.T) {
	m := openMachine(t, Options{Resumable: true}, 0)
	if c := m.Step(eventOf(EventCallerGone)); c.Kind != CommandCancel {
		t.Fatalf("before the first token: got %+v", c)
	}
	m = openMachine(t, Options{Resumable: true}, 1)
	if c := m.Step(eventOf(EventCallerGone)); c.Kind != CommandEnd || c.Outcome != OutcomeDetached {
		t.Fatalf("after the first token: got %+v", c)
	}
	m = openMachine(t, Options{}, 1)
	if c := m.Step(eventOf(EventCallerGone)); c.Kind != CommandCancel {
		t.Fatalf("caller without a resume token: got %+v", c)
	}
}
