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
	// IdempotencyKey is empty where the caller gave none.
	IdempotencyKey string
	// NonIdempotent: it must run at most once.
	NonIdempotent bool
}

// retrySoon is the promise of refusals that the scheduler doesn't make.
const retrySoon = time.Second

// progressEvery is the number of tokens between reports to the scheduler.
const progressEvery = 16

// generation is one request on its way.
type generation struct {
	r        *Router
	req      *GenerationRequest
	answer   Answer
	ask      port.GenerationRequest
	ledger   outcome.Ledger
	status   RequestStatus
	print    quarantine.Fingerprint
	last     attemptResult
	machine  *stream.Machine
	token    string
	decision string
	// version is that of the routing configuration behind the last decision.
	version uint64
}

// Generate serves one request. It returns nil once the caller has its whole
// answer, else the refusal; when a token was already delivered, the refusal
// says so in LastIndex.
func (r *Router) Generate(ctx context.Context, req *GenerationRequest, answer Answer) *Refusal {
	if refusal := r.begin(req.RequestID); refusal != nil {
		return refusal
	}
	defer r.life.leave()
	r.metrics.open.Inc(1)
	defer r.metrics.open.Dec(1)
	g := r.newGeneration(req, answer)
	claim, refusal := r.claim(ctx, req.claimKey(), req.RequestID)
	if refusal != nil {
		return g.refused(refusal)
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

func (r *Router) newGeneration(req *GenerationRequest, answer Answer) *generation {
	now := r.Clock()
	g := &generation{r: r, req: req, answer: answer, print: req.crashPrint()}
	g.ledger.Idempotent = !req.NonIdempotent
	g.status = RequestStatus{RequestID: req.RequestID, State: RequestHeld, Organisation: req.Organisation}
	g.ask = port.GenerationRequest{
		RequestID: req.RequestID, Organisation: req.Organisation, Model: req.Model,
		PromptTokens: PromptTokens(req.Prompt), MaxTokens: req.MaxTokens,
		PrefixHashes: PrefixHashes(req.Prompt),
		Attempt:      1, Arrived: now, Deadline: now.Add(r.o.HoldLimit),
	}
	r.requests.put(g.status)
	return g
}

// serve tries endpoints until the answer is whole or nothing more may be
// tried.
func (g *generation) serve(ctx context.Context) *Refusal {
	for {
		decision, refusal := g.placeUnlessQuarantined(ctx)
		if refusal != nil {
			return g.refused(refusal)
		}
		g.attempt(ctx, &decision)
		if g.last.fate == stream.FateDone {
			g.r.Quarantine.Completed(g.r.Clock(), g.print)
			g.finish(outcome.Done, g.last.reason)
			return nil
		}
		if refusal := g.stop(ctx); refusal != nil {
			return g.refused(refusal)
		}
		g.move(&decision)
	}
}

// placeUnlessQuarantined asks for a place. The request may have waited for it while
// it was found out.
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

// place asks the scheduler until it places or refuses.
func (g *generation) place(ctx context.Context) (port.Decision, *Refusal) {
	r := g.r
	for {
		now := r.Clock()
		d := r.Scheduler.Submit(now, &g.ask)
		g.record(&d)
		switch d.Verdict {
		case port.VerdictPlace:
			observe(r.metrics.hold, now.Sub(g.ask.Arrived))
			return d, nil
		case port.VerdictHold:
			if refusal := g.hold(ctx, now, &d); refusal != nil {
				return d, refusal
			}
		default:
			return d, g.unplaced(&d)
		}
	}
}

// unplaced is the refusal of what the scheduler refused. A caller that names a
// model which nobody serves must not look for a load that it could wait out.
func (g *generation) unplaced(d *port.Decision) *Refusal {
	refusal := &Refusal{
		Cause: CauseOverloaded, Detail: d.Reason, DecisionID: g.decision,
		RetryAfter: d.RetryAfter, LastIndex: -1,
	}
	switch d.Reason {
	case routing.ReasonRefusedModel:
		refusal.Cause = CauseUnknownModel
		refusal.Detail = "no known endpoint serves the model " + strconv.Quote(g.ask.Model)
	case routing.ReasonRefusedEvacuated:
		refusal.Cause, refusal.RetryAfter = CauseEvacuated, evacuation.RetryAfter
		refusal.Detail = "the endpoints that serve the model " + strconv.Quote(g.ask.Model) + " are in failure domains that are evacuated"
	}
	return refusal
}

// hold waits until the request should be submitted again. It never outlasts
// the deadline: a caller that is given up hears it at once.
func (g *generation) hold(ctx context.Context, now time.Time, d *port.Decision) *Refusal {
	timer := time.NewTimer(g.ask.Deadline.Sub(now))
	defer timer.Stop()
	refusal := &Refusal{DecisionID: g.decision, LastIndex: -1, RetryAfter: max(d.RetryAfter, retrySoon)}
	select {
	case <-g.r.Scheduler.Ready(g.ask.RequestID):
		return nil
	case <-timer.C:
		refusal.Cause, refusal.Detail = CauseHeldTooLong, "no place within the hold limit: "+d.Reason
	case <-ctx.Done():
		refusal.Cause, refusal.Detail = CauseCallerGone, "the caller has gone"
	case <-g.r.life.handover:
		refusal.Cause, refusal.Detail = CauseStopping, "this router stops; ask /v1/entry for another"
	}
	g.r.Scheduler.Withdraw(g.r.Clock(), g.ask.RequestID)
	return refusal
}

func (g *generation) record(d *port.Decision) {
	g.version = d.ConfigurationVersion
	g.decision = g.r.decide(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: g.req.RequestID, Organisation: g.req.Organisation,
		Model: g.req.Model, Verdict: d.Verdict.String(), Reason: d.Reason, Endpoint: d.Endpoint.ID,
		Attempt: g.ask.Attempt, Candidates: d.Candidates, ConfigurationVersion: d.ConfigurationVersion,
	})
}

// attempt runs the request once at the endpoint of the decision.
func (g *generation) attempt(ctx context.Context, d *port.Decision) {
	r := g.r
	id := g.req.RequestID + "." + strconv.Itoa(g.ask.Attempt)
	g.token = r.o.Tokens.Encode(stream.Token{
		EndpointID: d.Endpoint.ID, Address: d.Endpoint.Address, Incarnation: d.Endpoint.Incarnation,
		Generation: id, Organisation: g.req.Organisation,
	})
	g.machine = stream.New(stream.Options{
		Generation: id, Mode: stream.ModeOwned, Resumable: g.answer.Resumable(), Limits: r.o.Stream,
	})
	g.status.State, g.status.Endpoint, g.status.Generation = RequestRunning, d.Endpoint.ID, id
	g.status.Attempts = g.ask.Attempt
	r.requests.put(g.status)
	a := &attempt{
		r: r, machine: g.machine, answer: g.answer, endpoint: d.Endpoint, token: g.token,
		progress: g.progress,
		start: &port.GenerationStart{
			Endpoint: d.Endpoint, Generation: id, Model: g.req.Model, Prompt: g.req.Prompt,
			MaxTokens: g.req.MaxTokens, Priority: d.Priority, User: g.req.User,
		},
	}
	watched := r.crashes.Begin(d.Endpoint, g.print)
	g.last = a.run(ctx)
	r.crashes.End(watched, ctx.Err() == nil && mayHaveCrashed(g.last.fate))
	g.ledger.Add(g.last.fate, g.machine.Delivered())
	if g.last.cancelPending {
		r.cancels.add(d.Endpoint, id)
	}
	r.Scheduler.Finished(r.Clock(), g.req.RequestID, g.machine.Next(), finishKind(g.last.fate))
}

func finishKind(f stream.Fate) port.FinishKind {
	switch f {
	case stream.FateDone:
		return port.FinishDone
	case stream.FateNotSent, stream.FateRefused, stream.FateBarred:
		return port.FinishNotStarted
	case stream.FateLeft, stream.FateRejected:
		// Not the engine's failure: a caller that sends wrong requests must
		// not open the breakers of a pool.
		return port.FinishCancelled
	default:
		return port.FinishFailed
	}
}

func (g *generation) progress(tokens int) {
	now := g.r.Clock()
	if tokens == 1 {
		observe(g.r.metrics.firstToken, now.Sub(g.ask.Arrived))
	}
	if tokens != 1 && tokens%progressEvery != 0 {
		return
	}
	g.r.Scheduler.Progress(now, g.req.RequestID, tokens)
	g.status.Tokens = tokens
	g.r.requests.put(g.status)
}

// stop returns the refusal where no other attempt may follow, else nil.
func (g *generation) stop(ctx context.Context) *Refusal {
	refusal := &Refusal{
		Cause: CauseEndpointFailed, Detail: g.last.reason, DecisionID: g.decision,
		RetryAfter: retrySoon, LastIndex: g.machine.Next() - 1,
	}
	if g.last.fate == stream.FateLeft {
		refusal.ResumeToken = g.token
	}
	select {
	case <-g.r.life.handover:
		refusal.Cause = CauseStopping
		return refusal
	default:
	}
	switch {
	case ctx.Err() != nil || g.last.fate == stream.FateLeft:
		refusal.Cause = CauseCallerGone
	case g.last.fate == stream.FateRejected:
		refusal.Cause, refusal.RetryAfter = CauseRejected, 0
	case !g.ledger.MayRetry() || g.ask.Attempt >= g.r.o.MaxAttempts:
	default:
		return nil
	}
	return refusal
}

// move prepares the next attempt, at another endpoint.
func (g *generation) move(d *port.Decision) {
	g.r.metrics.moves.Inc(1)
	g.r.decide(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: g.req.RequestID, Organisation: g.req.Organisation,
		Model: g.req.Model, Verdict: verdictMove, Reason: g.last.reason, Endpoint: d.Endpoint.ID,
		Attempt: g.ask.Attempt, Outcome: g.last.fate.String(), ConfigurationVersion: g.version,
	})
	g.ask.Excluded = append(g.ask.Excluded, d.Endpoint.ID)
	g.ask.Attempt++
	g.ask.Deadline = g.r.Clock().Add(g.r.o.HoldLimit)
}

// refused records a refusal with the truth about the attempts so far.
func (g *generation) refused(refusal *Refusal) *Refusal {
	if refusal.Outcome == "" {
		refusal.Outcome = g.ledger.Outcome()
	}
	if refusal.ResumeToken != "" {
		// The engine goes on: the end of this run is not known here.
		refusal.Outcome = outcome.Unknown
	}
	if g.machine != nil {
		refusal.LastIndex = g.machine.Next() - 1
	}
	own := refusal.own()
	g.r.metrics.refused(own)
	id := g.finish(own, refusal.Error())
	if refusal.DecisionID == "" {
		refusal.DecisionID = id
	}
	return refusal
}

func (g *generation) finish(o outcome.Outcome, reason string) string {
	g.status.State, g.status.Outcome, g.status.Reason = RequestOver, o, reason
	if g.machine != nil {
		g.status.Tokens = g.machine.Next()
	}
	g.r.requests.put(g.status)
	return g.r.decide(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: g.req.RequestID, Organisation: g.req.Organisation,
		Model: g.req.Model, Verdict: verdictFinish, Reason: reason, Endpoint: g.status.Endpoint,
		Attempt: g.status.Attempts, Outcome: string(o), ConfigurationVersion: g.version,
		Fingerprint: nameUnlessDone(o, g.print),
	})
}
