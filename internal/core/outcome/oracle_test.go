package outcome_test

import (
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"pgregory.net/rapid"
)

// run is the actual state of one dispatch, which only the oracle sees.
type run struct {
	generation string
	total      int
	produced   int
	// sent is set when the dispatch has left; inTransit while it has not arrived.
	sent      bool
	inTransit bool
	arrived   bool
	barred    bool
	// stopped is set when the run was cancelled, or lost with the engine's memory.
	stopped   bool
	forgotten bool
	// restarted is set when the engine is another incarnation than at the dispatch.
	restarted bool
	fate      stream.RunOutcome
	// answerLost is set when an answer with the state of the run was lost.
	answerLost bool
}

// arrive delivers a dispatch in transit to the engine, which refuses a barred one.
func (r *run) arrive() {
	if r.inTransit && !r.barred {
		r.arrived = true
	}
	r.inTransit = false
}

func (r *run) running() bool {
	return r.arrived && !r.stopped && r.produced < r.total
}

// delivery is one token that the caller received.
type delivery struct {
	generation string
	index      int
}

// history records everything that happened to one request.
type history struct {
	idempotent bool
	runs       []*run
	delivered  []delivery
	ledger     outcome.Ledger
	// dispatchesAfterToken counts dispatches after the caller received a token.
	dispatchesAfterToken int
}

// check compares the history with all guarantees to the caller.
func (h *history) check(t *rapid.T) {
	ran := 0
	for i, r := range h.runs {
		if r.fate == stream.OutcomeRejected && i < len(h.runs)-1 {
			t.Fatalf("a request that an engine rejected was sent to another engine")
		}
		// A dispatch still in transit counts, as nothing can stop it any more.
		r.arrive()
		if r.arrived {
			ran++
		}
	}
	if !h.idempotent && ran > 1 {
		t.Fatalf("a request that is not idempotent ran %d times", ran)
	}
	if h.dispatchesAfterToken > 0 {
		t.Fatalf("%d dispatches after the caller received a token", h.dispatchesAfterToken)
	}
	h.checkDelivered(t)
	h.checkOutcome(t, ran)
	h.checkFreed(t)
}

func (h *history) checkDelivered(t *rapid.T) {
	for i, d := range h.delivered {
		if d.generation != h.delivered[0].generation {
			t.Fatalf("token %d is of generation %s, the first of %s", i, d.generation, h.delivered[0].generation)
		}
		if d.index != i {
			t.Fatalf("token %d was delivered at position %d", d.index, i)
		}
	}
}

func (h *history) checkOutcome(t *rapid.T, ran int) {
	last := h.runs[len(h.runs)-1]
	ambiguous := false
	for _, r := range h.runs {
		ambiguous = ambiguous || r.answerLost || r.fate == stream.OutcomeDetached
	}
	switch got := h.ledger.Outcome(); {
	case got == outcome.Done && len(h.delivered) != last.total:
		t.Fatalf("outcome done with %d of %d tokens", len(h.delivered), last.total)
	case got == outcome.NotRun && ran > 0:
		t.Fatalf("outcome not_run, but the request ran %d times", ran)
	case got == outcome.Failed && ran == 0:
		t.Fatalf("outcome failed, but the request never ran")
	case got == outcome.Unknown && !ambiguous:
		t.Fatalf("outcome unknown, but no answer was lost")
	}
}

// checkFreed checks that a run whose answer nobody will read no longer runs, and so
// holds no engine memory.
func (h *history) checkFreed(t *rapid.T) {
	for _, r := range h.runs {
		if r.fate != stream.OutcomeDetached && r.running() {
			t.Fatalf("generation %s still runs after its fate %s", r.generation, r.fate)
		}
	}
}
