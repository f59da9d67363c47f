package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// placement is an endpoint that was chosen for one attempt.
type placement struct {
	endpoint port.Endpoint
	// generation: the scheduler placed it, and is told of its end.
	generation bool
	// tokens are those seen of the answer.
	tokens int
	// watched is the attempt while it is under way.
	watched *crashwatch.Attempt
}

// blockTokens is the part of a prompt that one hash stands for, where shared
// prompts are recognised.
const blockTokens = 16

// holdPart is the part of a caller's time within which a generation must be
// placed: one that is placed later can hardly end in time.
const holdPart = 2

// drawPart turns an id into a number from 0 up to 1, the same at each try.
func drawPart(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// place chooses an endpoint for the next attempt, or says why there is none.
func (x *exchange) place(ctx context.Context) (*placement, *Refusal) {
	if x.req.Generation != nil && x.engine != nil {
		return x.schedule(ctx)
	}
	return x.balance(ctx)
}

// schedule asks for a place among the pool's runners.
func (x *exchange) schedule(ctx context.Context) (*placement, *Refusal) {
	ask := x.ask()
	placing, stop := x.g.whilePlacing(ctx)
	defer stop()
	d := x.g.Placer.Place(placing, ask, func(d *port.Decision) {
		x.coordinator = d.Coordinator
		x.record(d.Verdict.String(), d.Reason, "", d.Candidates)
	})
	x.endpoint, x.coordinator = d.Endpoint.ID, d.Coordinator
	x.record(d.Verdict.String(), d.Reason, "", d.Candidates)
	if d.Verdict == port.VerdictPlace {
		x.held = x.g.Clock().Sub(x.req.Arrived)
		observe(x.g.metrics.hold, x.held)
		return x.chosen(&placement{endpoint: d.Endpoint, generation: true}), nil
	}
	refusal := &Refusal{Cause: CauseOverloaded, Detail: d.Reason, RetryAfter: d.RetryAfter}
	switch d.Reason {
	case routing.ReasonRefusedModel:
		refusal.Cause = CauseUnknownModel
		refusal.Detail = "no known endpoint of pool " + x.pool + " serves the model " + strconv.Quote(ask.Model)
	case routing.ReasonRefusedEvacuated:
		refusal = x.allEvacuated()
	}
	if !x.interrupted(ctx, refusal) && placing.Err() != nil {
		refusal = &Refusal{Cause: CauseStopping, Detail: "this daemon stops while the request is held; another one serves"}
	}
	return nil, refusal
}

// chosen counts the attempt that follows.
func (x *exchange) chosen(p *placement) *placement {
	x.attempts++
	x.lost = false
	x.endpoint = p.endpoint.ID
	x.tried = append(x.tried, p.endpoint.ID)
	return p
}

// ask is the request as the scheduler sees it.
func (x *exchange) ask() *port.GenerationRequest {
	a := x.req.Generation
	left := x.deadline.Sub(x.req.Arrived)
	return &port.GenerationRequest{
		RequestID: x.req.ID, Organisation: x.req.Pass.Organisation, Pool: x.pool, Model: a.Model,
		Route: x.req.Pass.Route.Name, Objective: x.req.Pass.Route.Objective, Rank: x.req.Pass.Rank,
		TokenGap:     x.req.Pass.Route.GapObjective / time.Duration(max(1, x.engine.EventTokens)),
		PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens, LengthHint: a.LengthHint, PrefixHashes: prefixHashes(a.Parts),
		Excluded: x.excluded(), Attempt: x.attempts + 1,
		Arrived: x.req.Arrived, Deadline: x.req.Arrived.Add(left / holdPart),
	}
}

// prefixHashes gives each block of the prompt's parts a hash of all before it.
func prefixHashes(parts []PromptPart) []uint64 {
	var out []uint64
	chain := uint64(0)
	for _, p := range parts {
		for block := range p.Tokens / blockTokens {
			chain = chain*31 + p.ID + uint64(block) + 1
			out = append(out, chain)
		}
	}
	return out
}

// balance draws an endpoint of a plain service.
func (x *exchange) balance(ctx context.Context) (*placement, *Refusal) {
	g := x.g
	now := g.Clock()
	var candidates, spared []port.Endpoint
	for _, e := range g.known.pool(x.pool) {
		switch {
		case slices.Contains(x.tried, e.ID):
		case e.Unreachable || g.breakers.Open(now, e.ID):
			spared = append(spared, e)
		default:
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 && x.attempts == 0 && x.ledger.Idempotent {
		// None looks well, but breakers may be late: a try is better than a
		// refusal. What may run once at most would be lost to its caller in such
		// a try; refused, it can come back.
		candidates = spared
	}
	return x.withinLimits(ctx, candidates)
}

func (x *exchange) noEndpoint() *Refusal {
	if x.attempts == 0 && x.g.known.allEvacuated(x.pool) {
		return x.allEvacuated()
	}
	if x.attempts > 0 {
		return &Refusal{Cause: CauseEndpointFailed, Detail: x.reason + "; no other endpoint is left", RetryAfter: retrySoon}
	}
	return &Refusal{Cause: CauseNoEndpoint, Detail: "no endpoint that answers in pool " + x.pool, RetryAfter: retrySoon}
}

// begin tells the breakers and the balancer that an attempt begins.
func (x *exchange) beginAttempt(p *placement) {
	x.sending = p
	p.watched = x.g.crashes.Begin(p.endpoint, x.fingerprint())
	if !p.generation {
		x.g.breakers.Begin(x.g.Clock(), p.endpoint.ID)
	}
}

// giveBack ends an attempt that was placed and not begun.
func (x *exchange) giveBack(p *placement) {
	if p.generation {
		x.g.Placer.Finished(x.req.ID, 0, port.FinishCancelled)
		return
	}
	x.g.balancer.End(p.endpoint.ID)
}

// endAttempt tells those who placed the attempt how it ended.
func (x *exchange) endAttempt(p *placement, kind port.FinishKind) {
	g := x.g
	x.sending = nil
	g.crashes.End(p.watched, x.lost)
	if p.generation {
		g.Placer.Finished(x.req.ID, p.tokens, kind)
		return
	}
	g.balancer.End(p.endpoint.ID)
	switch kind {
	case port.FinishDone:
		g.breakers.Success(p.endpoint.ID)
	case port.FinishFailed, port.FinishNotStarted:
		g.breakers.Failure(g.Clock(), p.endpoint.ID)
	}
}
