package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/balance"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// placement is the endpoint chosen for one attempt.
type placement struct {
	endpoint port.Endpoint
	// generation: the endpoint was chosen by the scheduler, which has to be
	// informed when the attempt ends.
	generation bool
	// tokens counts the tokens of the answer relayed so far.
	tokens int
	// refused: the endpoint refused the request, for another reason than its rate
	// limit.
	refused bool
	// failed: the endpoint of a call answered that it failed. sample is what a call that
	// succeeded shows of it, nil if it shows nothing.
	failed bool
	sample *balance.Sample
	// began is the time at which the attempt began.
	began time.Time
	// watched is the crash watch's entry of the attempt while it is in
	// progress.
	watched *crashwatch.Attempt
}

// blockTokens is the number of prompt tokens covered by one prefix hash. The
// hashes identify prompts with a common prefix.
const blockTokens = 16

// placementDivisor: a generation must be placed within the caller's time limit
// divided by this number. One that is placed later can hardly finish in time.
const placementDivisor = 2

// hashFraction maps an id to a number in [0, 1), the same at each attempt.
func hashFraction(id string) float64 {
	return float64(xxhash.Sum64String(id)>>11) / (1 << 53)
}

// place chooses an endpoint for the next attempt, or returns the reason why
// there is none.
func (x *exchange) place(ctx context.Context) (*placement, *Refusal) {
	if x.req.Generation != nil && x.engine != nil {
		return x.schedule(ctx)
	}
	return x.chooseBalanced(ctx)
}

// schedule requests a placement at one of the pool's runners.
func (x *exchange) schedule(ctx context.Context) (*placement, *Refusal) {
	request := x.generationRequest()
	placingCtx, stop := x.g.placingContext(ctx)
	defer stop()
	revocable, stopWaiting := x.revocableContext(placingCtx)
	defer stopWaiting()
	if isRevoked(revocable, placingCtx) {
		// The coordinator would place it if a runner is free.
		x.record(port.VerdictRefuse.String(), reasonKeyRemoved, "", nil)
		return nil, keyRemoved()
	}
	d := x.g.Placer.Place(revocable, request, func(d *port.Decision) {
		x.coordinator = d.Coordinator
		x.record(d.Verdict.String(), d.Reason, "", d.Candidates)
	})
	x.endpoint, x.coordinator = d.Endpoint.ID, d.Coordinator
	removed := d.Verdict != port.VerdictPlace && isRevoked(revocable, placingCtx)
	if removed {
		d.Reason = reasonKeyRemoved
	}
	x.record(d.Verdict.String(), d.Reason, "", d.Candidates)
	if d.Verdict == port.VerdictPlace {
		if x.continuing == nil {
			x.heldFor = x.g.Clock().Sub(x.req.Arrived)
			observe(x.g.metrics.placementDelay, x.heldFor)
		}
		return x.startAttempt(&placement{endpoint: d.Endpoint, generation: true}), nil
	}
	if removed {
		return nil, keyRemoved()
	}
	refusal := &Refusal{Cause: CauseOverloaded, Detail: d.Reason, RetryAfter: d.RetryAfter}
	switch d.Reason {
	case routing.ReasonRefusedModel:
		refusal.Cause = CauseUnknownModel
		refusal.Detail = "no known endpoint of pool " + x.pool + " serves the model " + strconv.Quote(request.Model)
	case routing.ReasonRefusedEvacuated:
		refusal = x.allEvacuated()
	case routing.ReasonRefusedTried:
		if x.g.untilPauseEnds(x.pool) > 0 {
			refusal = x.refusePaused()
		}
	}
	if !x.interrupted(ctx, refusal) && placingCtx.Err() != nil {
		refusal = &Refusal{Cause: CauseStopping, Detail: "this daemon stops while the request is held; another one serves"}
	}
	return nil, refusal
}

// startAttempt updates the exchange for the attempt at a chosen endpoint.
func (x *exchange) startAttempt(p *placement) *placement {
	x.attempts++
	x.connectionLost, x.left = false, false
	x.endpoint = p.endpoint.ID
	x.tried = append(x.tried, p.endpoint.ID)
	return p
}

// generationRequest returns the request in the scheduler's format.
func (x *exchange) generationRequest() *port.GenerationRequest {
	params := x.req.Generation
	timeLeft := x.deadline.Sub(x.req.Arrived)
	r := &port.GenerationRequest{
		RequestID: x.req.ID, Organisation: x.req.Admission.Organisation, Pool: x.pool, Model: params.Model,
		Route: x.req.Admission.Route.Name, Objective: x.req.Admission.Route.Objective, Rank: x.req.Admission.Rank,
		TokenGap:     x.req.Admission.Route.GapObjective / time.Duration(max(1, x.engine.EventTokens)),
		PromptTokens: params.PromptTokens, MaxTokens: params.MaxTokens, LengthHint: params.LengthHint, PrefixHashes: prefixHashes(params.Parts, x.prefixTokens()),
		Excluded: x.excluded(), Attempt: x.attempts + 1, NotSent: x.attempts > 0 && !x.reachedEndpoint,
		Arrived: x.req.Arrived, Deadline: x.req.Arrived.Add(timeLeft / placementDivisor),
	}
	if c := x.continuing; c != nil {
		c.apply(r, x.deadline)
	}
	return r
}

// maxPrefixTokens bounds the part of a prompt for which prefix hashes are made, so that the
// memory for a request doesn't depend on the numbers that its caller states.
const maxPrefixTokens = 1 << 18

// prefixTokens returns the number of the prompt's first tokens for which prefix hashes are
// made: no more than the prompt has, and than the cache of an engine holds.
func (x *exchange) prefixTokens() int {
	tokens := maxPrefixTokens
	if stated := x.req.Generation.PromptTokens; stated > 0 {
		tokens = min(tokens, stated)
	}
	if cache := x.engine.CacheTokens; cache > 0 {
		tokens = min(tokens, cache)
	}
	return tokens
}

// prefixHashes returns one hash for each block of the prompt's parts, up to a number of tokens;
// each hash covers the prompt up to the end of its block.
func prefixHashes(parts []PromptPart, tokens int) []uint64 {
	var out []uint64
	chain := uint64(0)
	for _, p := range parts {
		counted := min(p.Tokens, tokens)
		tokens -= counted
		for block := range counted / blockTokens {
			chain = chain*31 + p.ID + uint64(block) + 1
			out = append(out, chain)
		}
	}
	return out
}

// chooseBalanced chooses an endpoint of a plain service.
func (x *exchange) chooseBalanced(ctx context.Context) (*placement, *Refusal) {
	g := x.g
	now := g.Clock()
	var candidates, refusing, suspect []port.Endpoint
	var excluded []port.CandidateScore
	for _, e := range g.endpointTable.liveIn(x.pool) {
		switch {
		case slices.Contains(x.tried, e.ID):
		case g.IsPaused(e):
			excluded = append(excluded, excludedByPause(e))
		case g.crashWatch.IsUnanswered(e):
			excluded = append(excluded, port.CandidateScore{Endpoint: e.ID, Excluded: routing.ExcludedUnanswered})
		case g.isSuspect(e):
			suspect = append(suspect, g.brittle.Mark(now, e))
		case g.refusals.Open(now, e.ID):
			refusing = append(refusing, g.brittle.Mark(now, e))
		default:
			candidates = append(candidates, g.brittle.Mark(now, e))
		}
	}
	if len(candidates) == 0 {
		candidates, refusing = refusing, nil
	}
	for _, e := range refusing {
		excluded = append(excluded, port.CandidateScore{Endpoint: e.ID, Excluded: routing.ExcludedRefusing})
	}
	if len(candidates) == 0 && x.attempts == 0 && x.ledger.Idempotent {
		// All endpoints are unreachable or have an open breaker. A breaker may
		// close late after its endpoint has recovered, so trying one is better
		// than refusing. A request that must not run twice is refused: it would
		// be lost if the attempt failed, whereas after a refusal the caller can
		// retry.
		candidates = suspect
	}
	return x.placeWithinLimits(ctx, candidates, excluded)
}

func (x *exchange) noEndpoint() *Refusal {
	if x.attempts == 0 && x.g.endpointTable.allEvacuated(x.pool) {
		return x.allEvacuated()
	}
	if x.attempts > 0 {
		return &Refusal{Cause: CauseEndpointFailed, Detail: x.reason + "; no other endpoint is left", RetryAfter: x.retryAfterPause()}
	}
	if x.g.untilPauseEnds(x.pool) > 0 {
		return x.refusePaused()
	}
	return &Refusal{Cause: CauseNoEndpoint, Detail: "no endpoint that answers in pool " + x.pool, RetryAfter: retrySoon}
}

// beginAttempt informs the crash watch and the breakers that an attempt begins. withdraw
// cancels it.
func (x *exchange) beginAttempt(p *placement, withdraw func()) {
	x.inFlight = p
	p.began = x.g.Clock()
	p.watched = x.g.crashWatch.Begin(p.endpoint, x.identity(), withdraw)
	if !p.generation {
		x.g.breakers.Begin(x.g.Clock(), p.endpoint.ID)
		x.g.refusals.Begin(x.g.Clock(), p.endpoint.ID)
	}
}

// withdraw gives up a placement whose attempt has not begun.
func (x *exchange) withdraw(p *placement) {
	if p.generation {
		x.g.Placer.Finished(x.req.ID, 0, port.FinishCancelled)
		return
	}
	x.g.balancer.End(p.endpoint.ID)
}

// endWatch ends the crash watch of an attempt.
func (x *exchange) endWatch(p *placement) {
	if !x.left {
		x.g.crashWatch.End(p.watched, x.connectionLost)
		return
	}
	x.g.crashWatch.Leave(p.watched)
	if x.g.paths.IsLost(p.endpoint.ID) {
		x.g.crashWatch.Unreached(p.endpoint)
	}
}

// endAttempt informs the crash watch, and the scheduler or the balancer and the
// breakers, how an attempt ended.
func (x *exchange) endAttempt(p *placement, kind port.FinishKind) {
	g := x.g
	x.inFlight = nil
	x.endWatch(p)
	if p.generation {
		g.Placer.Finished(x.req.ID, p.tokens, g.credibleFinish(p, kind))
		return
	}
	g.endCall(p, kind)
	switch {
	case p.refused:
		g.refusals.Failure(g.Clock(), p.endpoint.ID)
	case kind == port.FinishDone:
		g.breakers.Success(p.endpoint.ID)
		g.refusals.Success(p.endpoint.ID)
	case kind == port.FinishFailed, kind == port.FinishNotStarted:
		g.breakers.Failure(g.Clock(), p.endpoint.ID)
	}
}

// endCall informs the balancer how a call ended. A call that was cancelled, or that the
// endpoint rejected as invalid, shows nothing of the endpoint.
func (g *Gateway) endCall(p *placement, kind port.FinishKind) {
	now := g.Clock()
	switch {
	case kind == port.FinishDone && p.sample != nil:
		g.balancer.EndSuccess(now, &p.endpoint, *p.sample)
	case p.refused, p.failed, kind == port.FinishFailed, kind == port.FinishNotStarted:
		g.balancer.EndFailure(now, &p.endpoint, now.Sub(p.began))
	default:
		g.balancer.End(p.endpoint.ID)
	}
}

// credibleFinish returns how an attempt ended as far as the endpoint is concerned. The
// scheduler places nothing more at an endpoint that failed, for all daemons, so a failure
// that may be due to this daemon's path doesn't count.
func (g *Gateway) credibleFinish(p *placement, kind port.FinishKind) port.FinishKind {
	unreached := kind == port.FinishNotStarted && !p.refused || kind == port.FinishFailed
	if unreached && !g.reachesOthers(p.endpoint) {
		return port.FinishCancelled
	}
	return kind
}
