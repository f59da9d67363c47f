package claimstore

import (
	"context"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// response is the outcome of an operation: result for a claim, settled for a
// settlement.
type response struct {
	result  claim.Result
	settled bool
}

// operation is a claim (entry is set) or a settlement (state is set) that is
// to be written to a shard.
type operation struct {
	ctx      context.Context
	entry    *port.ClaimEntry
	state    *port.ClaimState
	response chan response
}

func newClaim(ctx context.Context, e port.ClaimEntry) *operation {
	return &operation{ctx: ctx, entry: &e, response: make(chan response, 1)}
}

func newSettle(ctx context.Context, st port.ClaimState) *operation {
	return &operation{ctx: ctx, state: &st, response: make(chan response, 1)}
}

func (o *operation) key() claim.KeyHash {
	if o.entry != nil {
		return o.entry.KeyHash
	}
	return o.state.KeyHash
}

// urgent reports whether the operation is written without delay: callers wait
// for claims, and a caller will reuse a key that was settled as not_run.
func (o *operation) urgent() bool {
	return o.entry != nil || o.state.Outcome == port.ClaimNotRun
}

func (o *operation) finish(a response) { o.response <- a }

func (o *operation) refuse(r claim.Reason) {
	o.finish(response{result: claim.Result{Verdict: port.ClaimUnavailable, Reason: r}})
}

// wait returns the response. If ctx ends first, the operation may still be
// written without the caller learning of it, so it is refused as unsettled.
func (o *operation) wait(ctx context.Context) response {
	select {
	case a := <-o.response:
		return a
	case <-ctx.Done():
		return response{result: claim.Result{Verdict: port.ClaimUnavailable, Reason: claim.ReasonUnsettled}}
	}
}
