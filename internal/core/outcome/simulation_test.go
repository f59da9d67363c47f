package outcome_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

const (
	maxAttempts = 3
	// maxSteps bounds the steps of a run that doesn't end.
	maxSteps = 5000
	// minSteps is the least number of steps in one run of the test.
	minSteps         = 10_000
	requestsPerCheck = 40
)

// simulation executes the commands of a stream machine like an unreliable network
// and engine.
type simulation struct {
	t *rapid.T
	h *history
	r *run
	m *stream.Machine
	// nextFrame is the index of the next frame on the open connection.
	nextFrame int
	// fewFaults makes faults rare, so that long streams complete as well.
	fewFaults bool
	// adopted is set when the caller has resumed at another router.
	adopted bool
	// unreachable is set while no call reaches the engine.
	unreachable bool
	steps       int
}

// fault draws whether the named fault occurs.
func (w *simulation) fault(name string) bool {
	limit := 3
	if w.fewFaults {
		limit = 30
	}
	return rapid.IntRange(0, limit).Draw(w.t, name) == 0
}

// advanceEngine simulates the progress of the engine during one router step.
func (w *simulation) advanceEngine() {
	r := w.r
	if r.inTransit && rapid.Bool().Draw(w.t, "arrives") {
		r.arrive()
	}
	if r.running() {
		r.produced = min(r.total, r.produced+rapid.IntRange(0, 3).Draw(w.t, "produced"))
	}
	if r.sent && rapid.IntRange(0, 199).Draw(w.t, "restart") == 0 {
		r.restarted = true
		r.forgotten = r.forgotten || r.arrived
		r.stopped = r.stopped || r.arrived
		r.barred = false
		// A connection to the old process can't deliver to the new one, and the
		// dispatch is not sent again.
		r.inTransit = false
	}
}

func (w *simulation) knownToEngine() bool { return w.r.arrived && !w.r.forgotten }

func (w *simulation) dispatch() stream.Event {
	if len(w.h.delivered) > 0 {
		w.h.dispatchesAfterToken++
	}
	switch rapid.IntRange(0, 9).Draw(w.t, "dispatch") {
	case 0:
		return stream.Event{Kind: stream.EventNotSent}
	case 1:
		return stream.Event{Kind: stream.EventRefused}
	case 2:
		w.r.sent, w.r.inTransit = true, true
		return stream.Event{Kind: stream.EventNoAnswer}
	case 3:
		w.r.sent, w.r.arrived = true, true
		return stream.Event{Kind: stream.EventNoAnswer}
	case 4:
		return stream.Event{Kind: stream.EventNoAnswer}
	case 5:
		return stream.Event{Kind: stream.EventRejected}
	}
	w.r.sent, w.r.arrived = true, true
	w.nextFrame = 0
	return stream.Event{Kind: stream.EventOpened}
}

func (w *simulation) frame(i int) stream.Event {
	f := port.Frame{Generation: w.r.generation, Index: i}
	if i == w.r.total {
		f.FinishReason, f.TokenCount = "stop", w.r.total
	}
	return stream.Event{Kind: stream.EventFrame, Frame: f}
}

func (w *simulation) read() stream.Event {
	if w.fault("read fault") {
		return w.readFault()
	}
	ready := w.nextFrame < w.r.produced || (w.nextFrame == w.r.total && w.r.produced == w.r.total)
	if !ready || !w.knownToEngine() {
		return stream.Event{Kind: stream.EventStalled}
	}
	e := w.frame(w.nextFrame)
	w.nextFrame++
	return e
}

func (w *simulation) readFault() stream.Event {
	switch rapid.IntRange(0, 7).Draw(w.t, "kind of fault") {
	case 0: // a frame is lost in transit
		w.nextFrame = min(w.nextFrame+1, w.r.total)
		if w.nextFrame >= w.r.produced || !w.knownToEngine() {
			return stream.Event{Kind: stream.EventStalled}
		}
		w.nextFrame++
		return w.frame(w.nextFrame - 1)
	case 1: // an old frame is repeated
		return w.frame(rapid.IntRange(0, max(w.nextFrame-1, 0)).Draw(w.t, "old frame"))
	case 2: // a token or the last frame of another generation
		f := port.Frame{Generation: "other", Index: w.nextFrame}
		if rapid.Bool().Draw(w.t, "end") {
			f.FinishReason, f.TokenCount = "stop", w.nextFrame
		}
		return stream.Event{Kind: stream.EventFrame, Frame: f}
	case 3, 4:
		return stream.Event{Kind: stream.EventClosed}
	case 5: // the last frame arrives before the tokens
		return w.frame(w.r.total)
	case 6:
		if rapid.IntRange(0, 3).Draw(w.t, "caller leaves") > 0 {
			return stream.Event{Kind: stream.EventStalled}
		}
		return stream.Event{Kind: stream.EventCallerGone}
	default:
		if rapid.IntRange(0, 3).Draw(w.t, "handover") > 0 {
			return stream.Event{Kind: stream.EventStalled}
		}
		return stream.Event{Kind: stream.EventHandover}
	}
}

func (w *simulation) status() port.GenerationStatus {
	switch {
	case !w.knownToEngine():
		return port.GenerationUnknown
	case w.r.stopped:
		return port.GenerationCancelled
	case w.r.produced == w.r.total:
		return port.GenerationFinished
	case w.r.produced == 0:
		return port.GenerationQueued
	default:
		return port.GenerationRunning
	}
}

func (w *simulation) probe() stream.Event {
	if w.unreachable || w.fault("probe lost") {
		return stream.Event{Kind: stream.EventNoAnswer}
	}
	return stream.Event{Kind: stream.EventStatus, Status: w.status()}
}

func (w *simulation) resume(from int) stream.Event {
	if w.unreachable || w.fault("resume lost") {
		return stream.Event{Kind: stream.EventNoAnswer}
	}
	if !w.knownToEngine() {
		return stream.Event{Kind: stream.EventNoGeneration}
	}
	w.nextFrame = from
	return stream.Event{Kind: stream.EventOpened}
}

// cancel takes effect unless the call is lost; its answer may be lost, too.
func (w *simulation) cancel() stream.Event {
	r := w.r
	if w.adopted {
		w.t.Fatalf("a router cancels a run that it did not dispatch")
	}
	if w.fault("cancel lost") {
		r.answerLost = true
		return stream.Event{Kind: stream.EventNoAnswer}
	}
	before := w.status()
	r.stopped = r.stopped || r.arrived
	r.barred = true
	if w.fault("cancel answer lost") {
		r.answerLost = true
		return stream.Event{Kind: stream.EventNoAnswer}
	}
	if before == port.GenerationUnknown && r.restarted {
		r.answerLost = true
		return stream.Event{Kind: stream.EventEngineRestarted}
	}
	return stream.Event{Kind: stream.EventStatus, Status: before}
}

// attempt executes one run to its end.
func (w *simulation) attempt(o stream.Options) stream.Command {
	w.m = stream.New(o)
	event := stream.Event{Kind: stream.EventBegin}
	for range maxSteps {
		c := w.m.Step(event)
		w.steps++
		w.advanceEngine()
		switch c.Kind {
		case stream.CommandDispatch:
			event = w.dispatch()
		case stream.CommandRead:
			event = w.read()
		case stream.CommandDeliver:
			w.h.delivered = append(w.h.delivered, delivery{generation: c.Frame.Generation, index: c.Frame.Index})
			event = w.read()
		case stream.CommandResume:
			event = w.resume(c.From)
		case stream.CommandProbe:
			event = w.probe()
		case stream.CommandCancel:
			event = w.cancel()
		default:
			return c
		}
	}
	w.t.Fatalf("the run did not end after %d steps", maxSteps)
	return stream.Command{}
}

// resumeElsewhere simulates a caller that resumes at routers without any state of
// its run, until it has the end.
func (w *simulation) resumeElsewhere(t *rapid.T) {
	w.adopted = true
	for range maxAttempts {
		w.unreachable = rapid.IntRange(0, 3).Draw(t, "unreachable") == 0
		c := w.attempt(stream.Options{
			Generation: w.r.generation, Mode: stream.ModeAdopted, From: len(w.h.delivered),
			Resumable: true, Limits: stream.DefaultLimits(),
		})
		if c.Outcome == stream.OutcomeDone && len(w.h.delivered) != w.r.total {
			t.Fatalf("done after resuming at another router with %d of %d tokens", len(w.h.delivered), w.r.total)
		}
		if c.Outcome != stream.OutcomeDetached {
			return
		}
	}
}

// serveRequest processes one request as a router does and checks its history.
func serveRequest(t *rapid.T) int {
	h := &history{idempotent: rapid.Bool().Draw(t, "idempotent")}
	h.ledger.Idempotent = h.idempotent
	resumable := rapid.Bool().Draw(t, "resumable")
	w := &simulation{t: t, h: h, fewFaults: rapid.Bool().Draw(t, "few faults")}
	for n := 1; n <= maxAttempts; n++ {
		w.r = &run{
			generation: fmt.Sprintf("r.%d", n),
			total:      rapid.IntRange(0, 40).Draw(t, "total"),
		}
		h.runs = append(h.runs, w.r)
		c := w.attempt(stream.Options{
			Generation: w.r.generation, Mode: stream.ModeOwned, Resumable: resumable, Limits: stream.DefaultLimits(),
		})
		w.r.fate = c.Outcome
		h.ledger.Add(c.Outcome, w.m.Delivered())
		if c.CancelPending {
			// The router repeats the cancel until it is acknowledged.
			w.r.stopped = w.r.stopped || w.r.arrived
			w.r.barred = true
		}
		if c.Outcome == stream.OutcomeDetached {
			w.resumeElsewhere(t)
			break
		}
		if !h.ledger.MayRetry() {
			break
		}
	}
	h.check(t)
	return w.steps
}

// For any behaviour of frames, connections, calls and engines: a caller gets each
// token once, in order, from one generation. A request is done only if its answer is
// complete, not_run only if it never ran and never will, and runs at most once if it
// is not idempotent.
func TestStreamsAndOutcomesAgainstOracle(t *testing.T) {
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range requestsPerCheck {
			steps += serveRequest(rt)
		}
	})
	if !t.Failed() && steps < minSteps {
		t.Fatalf("%d steps, want at least %d", steps, minSteps)
	}
	t.Logf("%d steps", steps)
}
