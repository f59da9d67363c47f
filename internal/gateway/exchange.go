package gateway

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/core/unread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// exchange is the state of one request while it is served.
type exchange struct {
	g         *Gateway
	req       *Request
	responder Responder
	// deadline is the earlier of the caller's deadline and the route's.
	deadline time.Time
	pool     string
	engine   *route.Engine
	ledger   outcome.Ledger
	tried    []string
	// sentTo holds the addresses to which the request was sent.
	sentTo []string
	// attempts counts the endpoints tried, mayHaveRun those of them that may
	// have run the request.
	attempts   int
	mayHaveRun int
	// inFlight is the attempt that has not ended yet, nil if there is none.
	inFlight *placement
	// reachedEndpoint: an endpoint has received the request, whether or not it
	// accepted it.
	reachedEndpoint bool
	responseStarted bool
	// coordinator is the id of the daemon whose scheduler made the last
	// decision.
	coordinator string
	// heldFor is the time from the request's arrival to its last placement.
	heldFor time.Duration
	// delivered holds what the caller has received of a stream, nil for other
	// answers.
	delivered *port.Delivery
	// status is the status code sent to the caller.
	status   int
	decision string
	endpoint string
	cause    Cause
	reason   string
	// keptFailure is an endpoint's own 5xx answer, which the caller gets if no
	// later attempt succeeds.
	keptFailure *bufferedAnswer
	// refusedByBrittle: the last attempt's endpoint refused it and is brittle.
	refusedByBrittle bool
	// ranOn: the endpoint of the last attempt was running after the end of its answer.
	ranOn bool
	// reply is the response of the last attempt's endpoint, nil if there was none.
	reply *port.Reply
	// left: the last attempt was abandoned, by the caller or because its time ran out.
	left bool
	// connectionLost: the connection to the last attempt's endpoint broke.
	connectionLost bool
	// placedAtIneligible: the request was placed at an ineligible endpoint before.
	placedAtIneligible bool
	// quarantined: the request is not sent because it crashes endpoints.
	quarantined bool
	// relayedFrom is the id of the daemon that passed the request on, empty if it came
	// from a caller.
	relayedFrom string
	// isTrial: its first attempt is sent in spite of a verdict on the parts of its prompt.
	isTrial bool
	// crashingPart is the fingerprint of the part of the prompt that it is not sent for.
	crashingPart string
	// continuing is set while a new run is to continue the stream of an earlier one.
	continuing *continuation
	// bounded: little of each answer is held, because the host's memory is bounded.
	// answersTaken is the memory that this takes of Options.AnswerMemory.
	bounded      bool
	answersTaken int64
	// unread is how the present answer was read, and readFailed is set once a read of it
	// has failed. They are kept only if bounded is set.
	unread     unread.Answer
	readFailed bool
	// quarantineRequest caches the result of the method identity.
	quarantineRequest *quarantine.Request
}

// Serve answers one request. It returns nil once the caller has received the
// whole of an endpoint's answer, else the refusal.
func (g *Gateway) Serve(ctx context.Context, req *Request, out Responder) *Refusal {
	return g.newExchange(req, out).serveOpen(ctx)
}

// serveOpen counts the request as open while it is served.
func (x *exchange) serveOpen(ctx context.Context) (refusal *Refusal) {
	g := x.g
	if refusal = g.openRequest(x.req); refusal != nil {
		return x.refuse(refusal)
	}
	defer g.lifecycle.exit()
	g.metrics.open.Inc(1)
	defer g.metrics.open.Dec(1)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	stop := g.cancelAtForcedClose(cancel)
	defer stop()
	defer x.recoverServe(&refusal)
	defer x.giveBackAnswers()
	return x.serve(ctx)
}

// cancelAtForcedClose cancels a request that is still open at the end of the
// shutdown's grace period.
func (g *Gateway) cancelAtForcedClose(cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-g.lifecycle.forceClose:
			cancel()
		case <-done:
		}
	}()
	return func() { close(done) }
}

func (g *Gateway) newExchange(req *Request, responder Responder) *exchange {
	r := req.Admission.Route
	x := &exchange{g: g, req: req, responder: responder, deadline: req.Arrived.Add(r.Timeout)}
	if req.CallerTimeout > 0 && req.CallerTimeout < r.Timeout || r.Timeout <= 0 {
		x.deadline = req.Arrived.Add(req.CallerTimeout)
	}
	if g.options().AnswerMemory > 0 {
		x.bounded, x.responder = true, boundedResponder{responder, x}
	}
	x.ledger.Idempotent = r.Repeat == route.RepeatSafe
	x.ledger.Resumable = x.isResumable()
	x.pool = g.poolOf(&req.Admission, req.ID)
	if index := g.index.Load(); index != nil {
		if p, ok := index.Pool(x.pool); ok {
			x.engine = p.Engine
		}
	}
	return x
}

// serve tries endpoints until one answers or no further attempt is allowed.
func (x *exchange) serve(ctx context.Context) *Refusal {
	if x.relayedFrom == "" {
		x.g.budgets.pool(x.pool).FirstTry()
	}
	for {
		if x.needsRelay() {
			if refusal, ended := x.relay(ctx); ended {
				return refusal
			}
		}
		p, refusal := x.placeUnlessQuarantined(ctx)
		if refusal != nil {
			return x.refuseOrDeliverFailure(refusal)
		}
		fate := x.attempt(ctx, p)
		x.ledger.End(fate, x.responseStarted)
		if fate == stream.OutcomeDone {
			x.recordCompletion()
			x.finish(outcome.Done, x.reason)
			return nil
		}
		if refusal := x.retryRefusal(ctx, fate); refusal != nil {
			return x.refuseOrDeliverFailure(refusal)
		}
		x.g.metrics.retries.Inc(1)
		x.record(verdictRetry, x.reason, fate.String(), nil)
	}
}

// placeUnlessQuarantined chooses an endpoint for the next attempt. It checks
// the quarantine again after the placement, because the request may have been
// quarantined while it was held.
func (x *exchange) placeUnlessQuarantined(ctx context.Context) (*placement, *Refusal) {
	if refusal := x.quarantineRefusal(); refusal != nil {
		return nil, refusal
	}
	p, refusal := x.placeEligible(ctx)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := x.quarantineRefusal(); refusal != nil {
		x.withdraw(p)
		return nil, refusal
	}
	return p, nil
}

// recordCompletion informs the quarantine that the request ran to its end
// without crashing its endpoint.
func (x *exchange) recordCompletion() {
	if x.status >= http.StatusInternalServerError || !x.ranOn {
		return
	}
	request := *x.identity()
	if x.status/100 != 2 {
		// No answer was begun on the prompt.
		request.Parts = nil
	}
	x.g.Quarantine.Completed(x.g.Clock(), &request)
}

// refuseOrDeliverFailure ends the request after its last attempt. If an
// endpoint's own failure was kept, the caller gets that answer: it holds more
// information than a refusal by the gateway.
func (x *exchange) refuseOrDeliverFailure(refusal *Refusal) *Refusal {
	if x.keptFailure == nil || x.responseStarted {
		return x.refuse(refusal)
	}
	if err := x.deliver(x.keptFailure); err != nil {
		return x.refuse(&Refusal{Cause: CauseCallerGone, Detail: "the caller has gone", ResponseStarted: true})
	}
	x.finish(outcome.Failed, "the endpoint's own failure was passed on")
	return nil
}

// retryRefusal returns the refusal if no further attempt is allowed, else nil.
func (x *exchange) retryRefusal(ctx context.Context, fate stream.RunOutcome) *Refusal {
	refusal := &Refusal{Cause: x.cause, Detail: x.reason, RetryAfter: x.retryAfterPause()}
	if refusal.Cause == "" {
		refusal.Cause = CauseEndpointFailed
	}
	switch {
	case x.interrupted(ctx, refusal):
	case !x.ledger.MayRetry():
	case x.mayHaveRun >= max(1, x.req.Admission.Route.MaxAttempts):
	case x.attempts-x.mayHaveRun >= x.g.options().MaxRefusals:
	case x.refusedByBrittle:
		// The next endpoint of the pool is brittle too, and would refuse in its turn.
	case fate != stream.OutcomeNotSent && !x.g.budgets.pool(x.pool).Retry():
		refusal.Detail += "; the retry budget is spent"
	default:
		return nil
	}
	return refusal
}

// interrupted reports whether the request has to end regardless of its
// endpoints: the daemon stops, its deadline has passed, or its caller has
// disconnected. If so, it sets the cause and detail of the refusal.
func (x *exchange) interrupted(ctx context.Context, refusal *Refusal) bool {
	select {
	case <-x.g.lifecycle.forceClose:
		refusal.Cause, refusal.Detail = CauseStopping, "this daemon stops"
		return true
	default:
	}
	switch ctx.Err() {
	case nil:
		return false
	case context.DeadlineExceeded:
		refusal.Cause = CauseTimeout
		refusal.Detail = "no whole answer in the time that the caller or the route gives"
	default:
		refusal.Cause, refusal.Detail = CauseCallerGone, "the caller has gone"
	}
	return true
}

func (x *exchange) refuse(refusal *Refusal) *Refusal {
	if refusal.Outcome == "" {
		refusal.Outcome = x.ledger.Outcome()
	}
	refusal.setRetryAfter(x.ledger.Idempotent)
	refusal.ResponseStarted = refusal.ResponseStarted || x.responseStarted
	refusal.Version = x.req.Admission.Version
	x.g.metrics.requestRefused(refusal.Cause)
	refusal.DecisionID = x.finish(refusal.Outcome, refusal.Error())
	return refusal
}

func (x *exchange) finish(o outcome.Outcome, reason string) string {
	if o == outcome.Done {
		x.g.metrics.answered.Inc(1)
	}
	return x.record(verdictFinish, reason, string(o), nil)
}

// record records a decision about this request and returns the decision's id.
func (x *exchange) record(verdict, reason, result string, candidates []port.CandidateScore) string {
	d := &port.DecisionRecord{
		Subject: subjectRequest, SubjectID: x.req.ID, Organisation: x.req.Admission.Organisation, Model: x.model(),
		Verdict: verdict, Reason: reason, Endpoint: x.endpoint, Attempt: x.attempts, Outcome: result,
		Candidates: candidates, ConfigurationVersion: x.req.Admission.Version, Coordinator: x.coordinator,
	}
	if verdict == verdictFinish {
		d.Delivered = x.delivered
		if x.status != http.StatusOK {
			d.Status = x.status
		}
	}
	if (verdict == verdictFinish || verdict == verdictRetry) && x.reply != nil && !x.reply.IsPlainSuccess() {
		d.Reply = x.reply
	}
	if x.connectionLost || x.quarantined {
		d.Fingerprint = cmp.Or(x.crashingPart, x.identity().Fingerprint.String())
		d.Parts = x.partNames()
	}
	x.decision = x.g.recordDecision(d)
	return x.decision
}

// recordConcurrent records a decision made by code that runs concurrently with
// the exchange, such as a move of its run. Of the exchange it reads only the
// request, which does not change.
func (x *exchange) recordConcurrent(verdict, reason, endpoint string, candidates []port.CandidateScore) {
	x.g.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: x.req.ID, Organisation: x.req.Admission.Organisation, Model: x.model(),
		Verdict: verdict, Reason: reason, Endpoint: endpoint, Candidates: candidates,
		ConfigurationVersion: x.req.Admission.Version,
	})
}

// maxLoggedParts bounds the parts of a prompt in one decision.
const maxLoggedParts = 16

// partNames returns the ids of the first parts of the prompt, in the caller's notation.
func (x *exchange) partNames() []string {
	if x.req.Generation == nil {
		return nil
	}
	parts := x.req.Generation.Parts
	var names []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		names = append(names, quarantine.PartName(p.ID))
	}
	return names
}

func (x *exchange) model() string {
	if x.req.Generation == nil {
		return ""
	}
	return x.req.Generation.Model
}
