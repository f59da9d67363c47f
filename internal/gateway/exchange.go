package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// exchange is one request on its way.
type exchange struct {
	g   *Gateway
	req *Request
	out Responder
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	pool     string
	engine   *route.Engine
	ledger   outcome.Ledger
	tried    []string
	// attempts counts the endpoints tried, ran those that may have run it.
	attempts int
	ran      int
	// sending is the attempt that has not ended, nil for none.
	sending *placement
	// arrived: an endpoint has had the request, taken or not.
	arrived bool
	begun   bool
	// coordinator names the daemon whose scheduler decided last.
	coordinator string
	// held is the wait for the last place.
	held time.Duration
	// delivered is what the caller had of a stream, nil for other answers.
	delivered *port.Delivery
	// status is that of the answer which the caller gets.
	status   int
	decision string
	endpoint string
	cause    Cause
	reason   string
	// kept is an endpoint's own failure, given where nothing better comes.
	kept *buffered
	// lost: the connection to the endpoint of the last attempt broke off.
	lost bool
	// misplaced: it was placed in an evacuated failure domain before.
	misplaced bool
	// quarantined: the request is not sent, as endpoints crash under it.
	quarantined bool
	// print is read through fingerprint.
	print *quarantine.Fingerprint
}

// Serve answers one request. It returns nil once the caller has an endpoint's
// whole answer, else the refusal.
func (g *Gateway) Serve(ctx context.Context, req *Request, out Responder) (refusal *Refusal) {
	x := g.newExchange(req, out)
	if refusal = g.begin(req); refusal != nil {
		return x.refused(refusal)
	}
	defer g.life.leave()
	g.metrics.open.Inc(1)
	defer g.metrics.open.Dec(1)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	stop := g.cancelAtCut(cancel)
	defer stop()
	defer x.containServe(&refusal)
	return x.serve(ctx)
}

// cancelAtCut ends a request that is still open at the end of the grace.
func (g *Gateway) cancelAtCut(cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-g.life.cut:
			cancel()
		case <-done:
		}
	}()
	return func() { close(done) }
}

func (g *Gateway) newExchange(req *Request, out Responder) *exchange {
	r := req.Pass.Route
	x := &exchange{g: g, req: req, out: out, deadline: req.Arrived.Add(r.Timeout)}
	if req.Patience > 0 && req.Patience < r.Timeout || r.Timeout <= 0 {
		x.deadline = req.Arrived.Add(req.Patience)
	}
	x.ledger.Idempotent = r.Repeat == route.RepeatSafe
	x.pool = r.Target(drawPart(req.ID))
	if index := g.index.Load(); index != nil {
		if p, ok := index.Pool(x.pool); ok {
			x.engine = p.Engine
		}
	}
	return x
}

// serve tries endpoints until one answers or nothing more may be tried.
func (x *exchange) serve(ctx context.Context) *Refusal {
	x.g.budgets.pool(x.pool).FirstTry()
	for {
		p, refusal := x.placeUnlessQuarantined(ctx)
		if refusal != nil {
			return x.lastWord(refusal)
		}
		fate := x.attempt(ctx, p)
		x.ledger.Add(fate, x.begun)
		if fate == stream.FateDone {
			x.completed()
			x.finish(outcome.Done, x.reason)
			return nil
		}
		if refusal := x.stop(ctx, fate); refusal != nil {
			return x.lastWord(refusal)
		}
		x.g.metrics.retries.Inc(1)
		x.record(verdictRetry, x.reason, fate.String(), nil)
	}
}

// placeUnlessQuarantined chooses an endpoint for the next attempt. The request may
// have waited for its place while it was found out.
func (x *exchange) placeUnlessQuarantined(ctx context.Context) (*placement, *Refusal) {
	if refusal := x.quarantineRefusal(); refusal != nil {
		return nil, refusal
	}
	p, refusal := x.placeOutsideEvacuations(ctx)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := x.quarantineRefusal(); refusal != nil {
		x.giveBack(p)
		return nil, refusal
	}
	return p, nil
}

// completed notes that the request outlived its run, and the endpoint with it.
func (x *exchange) completed() {
	if x.status < http.StatusInternalServerError {
		x.g.Quarantine.Completed(x.g.Clock(), x.fingerprint())
	}
}

// lastWord passes on an endpoint's own failure where nothing better came: it
// tells the caller more than a failure of ours.
func (x *exchange) lastWord(refusal *Refusal) *Refusal {
	if x.kept == nil || x.begun {
		return x.refused(refusal)
	}
	if err := x.deliver(x.kept); err != nil {
		return x.refused(&Refusal{Cause: CauseCallerGone, Detail: "the caller has gone", Begun: true})
	}
	x.finish(outcome.Failed, "the endpoint's own failure was passed on")
	return nil
}

// stop returns the refusal where no other attempt may follow, else nil.
func (x *exchange) stop(ctx context.Context, fate stream.Fate) *Refusal {
	refusal := &Refusal{Cause: x.cause, Detail: x.reason, RetryAfter: retrySoon}
	if refusal.Cause == "" {
		refusal.Cause = CauseEndpointFailed
	}
	switch {
	case x.interrupted(ctx, refusal):
	case !x.ledger.MayRetry():
	case x.ran >= max(1, x.req.Pass.Route.MaxAttempts):
	case x.attempts-x.ran >= x.g.options().RefusalsTried:
	case fate != stream.FateNotSent && !x.g.budgets.pool(x.pool).Retry():
		refusal.Detail += "; the retry budget is spent"
	default:
		return nil
	}
	return refusal
}

// interrupted reports that the request is over whatever the endpoints do.
func (x *exchange) interrupted(ctx context.Context, refusal *Refusal) bool {
	select {
	case <-x.g.life.cut:
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

func (x *exchange) refused(refusal *Refusal) *Refusal {
	if refusal.Outcome == "" {
		refusal.Outcome = x.ledger.Outcome()
	}
	refusal.settle(x.ledger.Idempotent)
	refusal.Begun = refusal.Begun || x.begun
	refusal.Version = x.req.Pass.Version
	x.g.metrics.refused(refusal.Cause)
	refusal.DecisionID = x.finish(refusal.Outcome, refusal.Error())
	return refusal
}

func (x *exchange) finish(o outcome.Outcome, reason string) string {
	if o == outcome.Done {
		x.g.metrics.answered.Inc(1)
	}
	return x.record(verdictFinish, reason, string(o), nil)
}

// record writes the line of one decision on this request.
func (x *exchange) record(verdict, reason, result string, candidates []port.CandidateScore) string {
	d := &port.DecisionRecord{
		Subject: subjectRequest, SubjectID: x.req.ID, Organisation: x.req.Pass.Organisation, Model: x.model(),
		Verdict: verdict, Reason: reason, Endpoint: x.endpoint, Attempt: x.attempts, Outcome: result,
		Candidates: candidates, ConfigurationVersion: x.req.Pass.Version, Coordinator: x.coordinator,
	}
	if verdict == verdictFinish {
		d.Delivered = x.delivered
	}
	if x.lost || x.quarantined {
		d.Fingerprint = x.fingerprint().String()
	}
	x.decision = x.g.decide(d)
	return x.decision
}

// note is record for those who move the run beside its relay.
func (x *exchange) note(verdict, reason, endpoint string, candidates []port.CandidateScore) {
	x.g.decide(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: x.req.ID, Organisation: x.req.Pass.Organisation, Model: x.model(),
		Verdict: verdict, Reason: reason, Endpoint: endpoint, Candidates: candidates,
		ConfigurationVersion: x.req.Pass.Version,
	})
}

func (x *exchange) model() string {
	if x.req.Generation == nil {
		return ""
	}
	return x.req.Generation.Model
}
