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
	// stepLimit bounds the steps of a run that makes no end.
	stepLimit = 5000
	// wantSteps is the least work of one pass of the fuzzer.
	wantSteps        = 10_000
	requestsPerCheck = 40
)

// world carries out a machine's commands as a faulty network and engine would.
type world struct {
	t *rapid.T
	h *history
	r *run
	m *stream.Machine
	// at is the next frame of the open connection.
	at int
	// calm makes faults rare, so that long streams end as well.
	calm bool
	// adopted: the caller has come back at another router.
	adopted bool
	// cut: no call reaches the engine.
	cut   bool
	steps int
}

// fault draws whether something goes wrong now.
func (w *world) fault(name string) bool {
	limit := 3
	if w.calm {
		limit = 30
	}
	return rapid.IntRange(0, limit).Draw(w.t, name) == 0
}

// passing is what happens at the engine while the router does something else.
func (w *world) passing() {
	r := w.r
	if r.pending && rapid.Bool().Draw(w.t, "arrives") {
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
		// A connection to the old process can't deliver to the new one, and
		// nothing sends the dispatch again.
		r.pending = false
	}
}

func (w *world) known() bool { return w.r.arrived && !w.r.forgotten }

func (w *world) dispatch() stream.Event {
	if len(w.h.delivered) > 0 {
		w.h.afterToken++
	}
	switch rapid.IntRange(0, 9).Draw(w.t, "dispatch") {
	case 0:
		return stream.Event{Kind: stream.EventNotSent}
	case 1:
		return stream.Event{Kind: stream.EventRefused}
	case 2:
		w.r.sent, w.r.pending = true, true
		return stream.Event{Kind: stream.EventLost}
	case 3:
		w.r.sent, w.r.arrived = true, true
		return stream.Event{Kind: stream.EventLost}
	case 4:
		return stream.Event{Kind: stream.EventLost}
	case 5:
		return stream.Event{Kind: stream.EventRejected}
	}
	w.r.sent, w.r.arrived = true, true
	w.at = 0
	return stream.Event{Kind: stream.EventOpened}
}

func (w *world) frame(i int) stream.Event {
	f := port.Frame{Generation: w.r.generation, Index: i}
	if i == w.r.total {
		f.FinishReason, f.TokenCount = "stop", w.r.total
	}
	return stream.Event{Kind: stream.EventFrame, Frame: f}
}

func (w *world) read() stream.Event {
	if w.fault("read fault") {
		return w.readFault()
	}
	ready := w.at < w.r.produced || (w.at == w.r.total && w.r.produced == w.r.total)
	if !ready || !w.known() {
		return stream.Event{Kind: stream.EventSilent}
	}
	e := w.frame(w.at)
	w.at++
	return e
}

func (w *world) readFault() stream.Event {
	switch rapid.IntRange(0, 7).Draw(w.t, "kind of fault") {
	case 0: // a frame is lost on the way
		w.at = min(w.at+1, w.r.total)
		if w.at >= w.r.produced || !w.known() {
			return stream.Event{Kind: stream.EventSilent}
		}
		w.at++
		return w.frame(w.at - 1)
	case 1: // an old frame comes once more
		return w.frame(rapid.IntRange(0, max(w.at-1, 0)).Draw(w.t, "old"))
	case 2: // a token or the end of another generation
		f := port.Frame{Generation: "other", Index: w.at}
		if rapid.Bool().Draw(w.t, "end") {
			f.FinishReason, f.TokenCount = "stop", w.at
		}
		return stream.Event{Kind: stream.EventFrame, Frame: f}
	case 3, 4:
		return stream.Event{Kind: stream.EventClosed}
	case 5: // the end overtakes the tokens
		return w.frame(w.r.total)
	case 6:
		if rapid.IntRange(0, 3).Draw(w.t, "leaves") > 0 {
			return stream.Event{Kind: stream.EventSilent}
		}
		return stream.Event{Kind: stream.EventCallerGone}
	default:
		if rapid.IntRange(0, 3).Draw(w.t, "hands over") > 0 {
			return stream.Event{Kind: stream.EventSilent}
		}
		return stream.Event{Kind: stream.EventHandover}
	}
}

func (w *world) status() port.GenerationStatus {
	switch {
	case !w.known():
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

func (w *world) probe() stream.Event {
	if w.cut || w.fault("probe lost") {
		return stream.Event{Kind: stream.EventLost}
	}
	return stream.Event{Kind: stream.EventStatus, Status: w.status()}
}

func (w *world) resume(from int) stream.Event {
	if w.cut || w.fault("resume lost") {
		return stream.Event{Kind: stream.EventLost}
	}
	if !w.known() {
		return stream.Event{Kind: stream.EventNoGeneration}
	}
	w.at = from
	return stream.Event{Kind: stream.EventOpened}
}

// cancel takes effect unless the call is lost on its way there; the answer
// may be lost on its way back.
func (w *world) cancel() stream.Event {
	r := w.r
	if w.adopted {
		w.t.Fatalf("a router cancels a run that it didn't dispatch")
	}
	if w.fault("cancel lost") {
		r.doubt = true
		return stream.Event{Kind: stream.EventLost}
	}
	was := w.status()
	r.stopped = r.stopped || r.arrived
	r.barred = true
	if w.fault("cancel's answer lost") {
		r.doubt = true
		return stream.Event{Kind: stream.EventLost}
	}
	if was == port.GenerationUnknown && r.restarted {
		r.doubt = true
		return stream.Event{Kind: stream.EventForgotten}
	}
	return stream.Event{Kind: stream.EventStatus, Status: was}
}

// attempt drives one run to its end.
func (w *world) attempt(o stream.Options) stream.Command {
	w.m = stream.New(o)
	event := stream.Event{Kind: stream.EventBegin}
	for range stepLimit {
		c := w.m.Step(event)
		w.steps++
		w.passing()
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
	w.t.Fatalf("no end after %d steps", stepLimit)
	return stream.Command{}
}

// resumeElsewhere is the caller that comes back at routers which have never
// seen its run, until it has the end.
func (w *world) resumeElsewhere(t *rapid.T) {
	w.adopted = true
	for range maxAttempts {
		w.cut = rapid.IntRange(0, 3).Draw(t, "cut off") == 0
		c := w.attempt(stream.Options{
			Generation: w.r.generation, Mode: stream.ModeAdopted, From: len(w.h.delivered),
			Resumable: true, Limits: stream.DefaultLimits(),
		})
		if c.Fate == stream.FateDone && len(w.h.delivered) != w.r.total {
			t.Fatalf("done elsewhere with %d of %d tokens", len(w.h.delivered), w.r.total)
		}
		if c.Fate != stream.FateLeft {
			return
		}
	}
}

// request serves one request as the router does and checks its history.
func request(t *rapid.T) int {
	h := &history{idempotent: rapid.Bool().Draw(t, "idempotent")}
	h.ledger.Idempotent = h.idempotent
	resumable := rapid.Bool().Draw(t, "resumable")
	w := &world{t: t, h: h, calm: rapid.Bool().Draw(t, "calm")}
	for n := 1; n <= maxAttempts; n++ {
		w.r = &run{
			generation: fmt.Sprintf("r.%d", n),
			total:      rapid.IntRange(0, 40).Draw(t, "total"),
		}
		h.runs = append(h.runs, w.r)
		c := w.attempt(stream.Options{
			Generation: w.r.generation, Mode: stream.ModeOwned, Resumable: resumable, Limits: stream.DefaultLimits(),
		})
		w.r.fate = c.Fate
		h.ledger.Add(c.Fate, w.m.Delivered())
		if c.CancelPending {
			// The router repeats it until it is seen.
			w.r.stopped = w.r.stopped || w.r.arrived
			w.r.barred = true
		}
		if c.Fate == stream.FateLeft {
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

// What callers are promised, whatever frames, connections, calls and engines
// do: tokens once, in order, from one generation; done only when whole; not
// run only when it never ran and never will; at most one run where it must.
func TestStreamsAndOutcomesAgainstTheOracle(t *testing.T) {
	steps := 0
	rapid.Check(t, func(rt *rapid.T) {
		for range requestsPerCheck {
			steps += request(rt)
		}
	})
	if !t.Failed() && steps < wantSteps {
		t.Fatalf("%d steps, want at least %d", steps, wantSteps)
	}
	t.Logf("%d steps", steps)
}
