package router

import (
	"context"
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// GenerationRequest is one caller's request for a generation.
type GenerationRequest struct {
	RequestID    string
	Organisation string
	Model        string
	Prompt       string
	MaxTokens    int
	User         string
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// NonIdempotent is set if the request must run at most once.
	NonIdempotent bool
}

// defaultRetryAfter is the retry delay of refusals for which the scheduler gives
// none.
const defaultRetryAfter = time.Second

// progressEvery is the number of tokens between progress reports to the scheduler.
const progressEvery = 16

// generation is the state of one generation request while it is served.
type generation struct {
	r                *Router
	req              *GenerationRequest
	answer           FrameWriter
	schedulerRequest port.GenerationRequest
	ledger           outcome.Ledger
	status           RequestStatus
	// print is the fingerprint that identifies the request in the crash watch and the
	// quarantine.
	print       quarantine.Fingerprint
	lastResult  attemptResult
	machine     *stream.Machine
	resumeToken string
	decisionID  string
	// configurationVersion is the version of the routing configuration that the last
	// placement decision used.
	configurationVersion uint64
}

// Generate serves one request. It returns nil once the caller has the complete
// answer, otherwise a refusal. If tokens were already delivered, the refusal's
// LastIndex is the index of the last one.
func (r *Router) Generate(ctx context.Context, req *GenerationRequest, answer FrameWriter) *Refusal {
	if refusal := r.admit(req.RequestID); refusal != nil {
		return refusal
	}
	defer r.lifecycle.release()
	r.metrics.openRequests.Inc(1)
	defer r.metrics.openRequests.Dec(1)
	g := r.newGeneration(req, answer)
	claim, refusal := r.claim(ctx, req.claimKey(), req.RequestID)
	if refusal != nil {
		return g.recordRefusal(refusal)
	}
	refusal = g.serve(ctx)
	claim.settle(g.ledger.Outcome(), 0)
	return refusal
}

func (req *GenerationRequest) claimKey() claimKey {
	if !req.NonIdempotent || req.IdempotencyKey == "" {
		return claimKey{}
	}
	return newClaimKey(req.Organisation, req.IdempotencyKey)
}

func (r *Router) newGeneration(req *GenerationRequest, answer FrameWriter) *generation {
	now := r.Clock()
	g := &generation{r: r, req: req, answer: answer, print: req.crashFingerprint()}
	g.ledger.Idempotent = !req.NonIdempotent
	g.status = RequestStatus{RequestID: req.RequestID, State: RequestHeld, Organisation: req.Organisation}
	g.schedulerRequest = port.GenerationRequest{
		RequestID: req.RequestID, Organisation: req.Organisation, Model: req.Model,
		PromptTokens: PromptTokens(req.Prompt), MaxTokens: req.MaxTokens,
		PrefixHashes: PrefixHashes(req.Prompt),
		Attempt:      1, Arrived: now, Deadline: now.Add(r.o.HoldLimit),
	}
	r.statuses.put(g.status)
	return g
}

// serve tries endpoints until the answer is complete or no further attempt is
// allowed.
func (g *generation) serve(ctx context.Context) *Refusal {
	for {
		decision, refusal := g.placeUnlessQuarantined(ctx)
		if refusal != nil {
			return g.recordRefusal(refusal)
		}
		g.runAttempt(ctx, &decision)
		if g.lastResult.outcome == stream.OutcomeDone {
			g.r.Quarantine.Completed(g.r.Clock(), &quarantine.Request{Fingerprint: g.print})
			g.finish(outcome.Done, g.lastResult.reason)
			return nil
		}
		if refusal := g.finalRefusal(ctx); refusal != nil {
			return g.recordRefusal(refusal)
		}
		g.move(&decision)
	}
}

// placeUnlessQuarantined places the request unless it is quarantined. It checks
// again after the placement, because the request may have been quarantined while it
// waited.
func (g *generation) placeUnlessQuarantined(ctx context.Context) (port.Decision, *Refusal) {
	if refusal := g.r.quarantineRefusal(g.print); refusal != nil {
		return port.Decision{}, refusal
	}
	d, refusal := g.place(ctx)
	if refusal != nil {
		return d, refusal
	}
	if refusal := g.r.quarantineRefusal(g.print); refusal != nil {
		g.r.Scheduler.Finished(g.r.Clock(), g.req.RequestID, 0, port.FinishCancelled)
		return d, refusal
	}
	return d, nil
}

// place submits the request until the scheduler places or refuses it.
func (g *generation) place(ctx context.Context) (port.Decision, *Refusal) {
	r := g.r
	for {
		now := r.Clock()
		d := r.Scheduler.Submit(now, &g.schedulerRequest)
		g.recordPlacement(&d)
		switch d.Verdict {
		case port.VerdictPlace:
			observe(r.metrics.holdTime, now.Sub(g.schedulerRequest.Arrived))
			return d, nil
		case port.VerdictHold:
			if refusal := g.hold(ctx, now, &d); refusal != nil {
				return d, refusal
			}
		default:
			return d, g.placementRefusal(&d)
		}
	}
}

// placementRefusal converts a refusal by the scheduler. A model that no endpoint
// serves has its own cause, because waiting for lower load wouldn't help its
// caller.
func (g *generation) placementRefusal(d *port.Decision) *Refusal {
	refusal := &Refusal{
		Cause: CauseOverloaded, Detail: d.Reason, DecisionID: g.decisionID,
		RetryAfter: d.RetryAfter, LastIndex: -1,
	}
	switch d.Reason {
	case routing.ReasonRefusedModel:
		refusal.Cause = CauseUnknownModel
		refusal.Detail = "no known endpoint serves the model " + strconv.Quote(g.schedulerRequest.Model)
	case routing.ReasonRefusedEvacuated:
		refusal.Cause, refusal.RetryAfter = CauseEvacuated, evacuation.RetryAfter
		refusal.Detail = "the endpoints that serve the model " + strconv.Quote(g.schedulerRequest.Model) + " are in failure domains that are evacuated"
	}
	return refusal
}

// hold waits until the request should be submitted again. It never waits beyond the
// deadline, so that the caller learns at once that its request was given up.
func (g *generation) hold(ctx context.Context, now time.Time, d *port.Decision) *Refusal {
	timer := time.NewTimer(g.schedulerRequest.Deadline.Sub(now))
	defer timer.Stop()
	refusal := &Refusal{DecisionID: g.decisionID, LastIndex: -1, RetryAfter: max(d.RetryAfter, defaultRetryAfter)}
	select {
	case <-g.r.Scheduler.Ready(g.schedulerRequest.RequestID):
		return nil
	case <-timer.C:
		refusal.Cause, refusal.Detail = CauseHeldTooLong, "no place within the hold limit: "+d.Reason
	case <-ctx.Done():
		refusal.Cause, refusal.Detail = CauseCallerGone, "the caller has gone"
	case <-g.r.lifecycle.handover:
		refusal.Cause, refusal.Detail = CauseStopping, "this router stops; ask /v1/entry for another"
	}
	g.r.Scheduler.Withdraw(g.r.Clock(), g.schedulerRequest.RequestID)
	return refusal
}

func (g *generation) recordPlacement(d *port.Decision) {
	g.configurationVersion = d.ConfigurationVersion
	g.decisionID = g.r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: g.req.RequestID, Organisation: g.req.Organisation,
		Model: g.req.Model, Verdict: d.Verdict.String(), Reason: d.Reason, Endpoint: d.Endpoint.ID,
		Attempt: g.schedulerRequest.Attempt, Candidates: d.Candidates, ConfigurationVersion: d.ConfigurationVersion,
	})
}

// runAttempt runs the request once on the endpoint of the decision.
func (g *generation) runAttempt(ctx context.Context, d *port.Decision) {
	r := g.r
	id := g.req.RequestID + "." + strconv.Itoa(g.schedulerRequest.Attempt)
	g.resumeToken = r.o.Tokens.Encode(stream.Token{
		EndpointID: d.Endpoint.ID, Address: d.Endpoint.Address, Incarnation: d.Endpoint.Incarnation,
		Generation: id, Organisation: g.req.Organisation,
	})
	g.machine = stream.New(stream.Options{
		Generation: id, Mode: stream.ModeOwned, Resumable: g.answer.Resumable(), Limits: r.o.Stream,
	})
	g.status.State, g.status.Endpoint, g.status.Generation = RequestRunning, d.Endpoint.ID, id
	g.status.Attempts = g.schedulerRequest.Attempt
	r.statuses.put(g.status)
	a := &attempt{
		r: r, machine: g.machine, answer: g.answer, endpoint: d.Endpoint, resumeToken: g.resumeToken,
		onToken: g.reportProgress,
		start: &port.GenerationStart{
			Endpoint: d.Endpoint, Generation: id, Model: g.req.Model, Prompt: g.req.Prompt,
			MaxTokens: g.req.MaxTokens, Priority: d.Priority, User: g.req.User,
		},
	}
	watched := r.crashWatch.Begin(d.Endpoint, &quarantine.Request{Fingerprint: g.print}, nil)
	g.lastResult = a.run(ctx)
	r.crashWatch.End(watched, ctx.Err() == nil && mayHaveCrashed(g.lastResult.outcome))
	g.ledger.Add(g.lastResult.outcome, g.machine.Delivered())
	if g.lastResult.cancelPending {
		r.cancelQueue.add(d.Endpoint, id)
	}
	r.Scheduler.Finished(r.Clock(), g.req.RequestID, g.machine.Next(), finishKind(g.lastResult.outcome))
}

func finishKind(f stream.RunOutcome) port.FinishKind {
	switch f {
	case stream.OutcomeDone:
		return port.FinishDone
	case stream.OutcomeNotSent, stream.OutcomeRefused, stream.OutcomeBarred:
		return port.FinishNotStarted
	case stream.OutcomeDetached, stream.OutcomeRejected:
		// The engine hasn't failed: a caller that sends invalid requests must not
		// open the circuit breakers of a pool.
		return port.FinishCancelled
	default:
		return port.FinishFailed
	}
}

func (g *generation) reportProgress(tokens int) {
	now := g.r.Clock()
	if tokens == 1 {
		observe(g.r.metrics.firstToken, now.Sub(g.schedulerRequest.Arrived))
	}
	if tokens != 1 && tokens%progressEvery != 0 {
		return
	}
	g.r.Scheduler.Progress(now, g.req.RequestID, tokens)
	g.status.Tokens = tokens
	g.r.statuses.put(g.status)
}

// finalRefusal returns the refusal if no further attempt is allowed, otherwise nil.
func (g *generation) finalRefusal(ctx context.Context) *Refusal {
	refusal := &Refusal{
		Cause: CauseEndpointFailed, Detail: g.lastResult.reason, DecisionID: g.decisionID,
		RetryAfter: defaultRetryAfter, LastIndex: g.machine.Next() - 1,
	}
	if g.lastResult.outcome == stream.OutcomeDetached {
		refusal.ResumeToken = g.resumeToken
	}
	select {
	case <-g.r.lifecycle.handover:
		refusal.Cause = CauseStopping
		return refusal
	default:
	}
	switch {
	case ctx.Err() != nil || g.lastResult.outcome == stream.OutcomeDetached:
		refusal.Cause = CauseCallerGone
	case g.lastResult.outcome == stream.OutcomeRejected:
		refusal.Cause, refusal.RetryAfter = CauseRejected, 0
	case !g.ledger.MayRetry() || g.schedulerRequest.Attempt >= g.r.o.MaxAttempts:
	default:
		return nil
	}
	return refusal
}

// move records the failed attempt and prepares the next one on another endpoint.
func (g *generation) move(d *port.Decision) {
	g.r.metrics.moves.Inc(1)
	g.r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: g.req.RequestID, Organisation: g.req.Organisation,
		Model: g.req.Model, Verdict: verdictMove, Reason: g.lastResult.reason, Endpoint: d.Endpoint.ID,
		Attempt: g.schedulerRequest.Attempt, Outcome: g.lastResult.outcome.String(), ConfigurationVersion: g.configurationVersion,
	})
	g.schedulerRequest.Excluded = append(g.schedulerRequest.Excluded, d.Endpoint.ID)
	g.schedulerRequest.Attempt++
	g.schedulerRequest.Deadline = g.r.Clock().Add(g.r.o.HoldLimit)
}

// recordRefusal adds the outcome of the attempts so far to a refusal and records
// it.
func (g *generation) recordRefusal(refusal *Refusal) *Refusal {
	if refusal.Outcome == "" {
		refusal.Outcome = g.ledger.Outcome()
	}
	if refusal.ResumeToken != "" {
		// The engine continues the generation, so its outcome is not known here.
		refusal.Outcome = outcome.Unknown
	}
	refusal.limitRetryAfter(g.ledger.Idempotent)
	if g.machine != nil {
		refusal.LastIndex = g.machine.Next() - 1
	}
	requestOutcome := refusal.requestOutcome()
	g.r.metrics.countRefusal(requestOutcome)
	id := g.finish(requestOutcome, refusal.Error())
	if refusal.DecisionID == "" {
		refusal.DecisionID = id
	}
	return refusal
}

func (g *generation) finish(o outcome.Outcome, reason string) string {
	g.status.State, g.status.Outcome, g.status.Reason = RequestFinished, o, reason
	if g.machine != nil {
		g.status.Tokens = g.machine.Next()
	}
	g.r.statuses.put(g.status)
	return g.r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: g.req.RequestID, Organisation: g.req.Organisation,
		Model: g.req.Model, Verdict: verdictFinish, Reason: reason, Endpoint: g.status.Endpoint,
		Attempt: g.status.Attempts, Outcome: string(o), ConfigurationVersion: g.configurationVersion,
		Fingerprint: fingerprintUnlessDone(o, g.print),
	})
}
