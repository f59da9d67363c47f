package gateway

import (
	"fmt"
	"runtime/debug"

	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxStack bounds the part of a stack that goes into a log line, in bytes.
const maxStack = 2 << 10

// containServe ends one request whose code panics, in place of the daemon: all
// other streams of the daemon would be cut for a fault that one of them met.
// What the request alone owns ends with it. State that requests share is behind
// locks that are released by their own code, and a panic in a loop that serves
// all still ends the daemon, which is then started with nothing to doubt.
func (x *exchange) containServe(refusal **Refusal) {
	v := recover()
	if v == nil {
		return
	}
	x.panicked("serve", v)
	if x.sending != nil {
		x.endAttempt(x.sending, port.FinishElsewhere)
	}
	if x.attempts > x.ledger.Attempts() {
		// The attempt in which it happened may have run.
		x.ledger.Add(stream.FateUnknown, x.begun)
	}
	*refusal = x.refused(&Refusal{Cause: CauseInternal, Detail: "a fault of this daemon"})
}

// containMove ends one move whose code panics; the run goes on where it is.
func (x *exchange) containMove() {
	if v := recover(); v != nil {
		x.panicked("move", v)
	}
}

// panicked writes what is needed to find the fault.
func (x *exchange) panicked(part string, v any) {
	stack := debug.Stack()
	x.g.metrics.panics.Inc(1)
	x.note(verdictPanic, fmt.Sprintf("%s: %v: %s", part, v, stack[:min(len(stack), maxStack)]), x.endpoint, nil)
}
