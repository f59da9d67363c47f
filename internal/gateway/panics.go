package gateway

import (
	"fmt"
	"runtime/debug"

	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxStack bounds the part of a stack trace that goes into a log line, in
// bytes.
const maxStack = 2 << 10

// recoverServe recovers from a panic in the code that serves one request and
// ends that request only: without it the daemon would crash and cut the streams
// of all its other requests. State owned by the request is discarded with it.
// State shared by requests is protected by locks, which its own code releases.
// A panic in a loop that serves all requests still ends the daemon, which then
// restarts with a clean state.
func (x *exchange) recoverServe(refusal **Refusal) {
	v := recover()
	if v == nil {
		return
	}
	x.recordPanic("serve", v)
	if x.inFlight != nil {
		x.endAttempt(x.inFlight, port.FinishUntracked)
	}
	// An attempt that was sent may have run.
	x.ledger.End(stream.OutcomeUnknown, x.responseStarted)
	*refusal = x.refuse(&Refusal{Cause: CauseInternal, Detail: "a fault of this daemon"})
}

// recoverMove recovers from a panic in the code of one move or release; the run
// continues where it is.
func (x *exchange) recoverMove() {
	if v := recover(); v != nil {
		x.recordPanic("move", v)
	}
}

// recordPanic records the panic's value and stack trace.
func (x *exchange) recordPanic(part string, v any) {
	stack := debug.Stack()
	x.g.metrics.panics.Inc(1)
	x.recordConcurrent(verdictPanic, fmt.Sprintf("%s: %v: %s", part, v, stack[:min(len(stack), maxStack)]), x.endpoint, nil)
}
