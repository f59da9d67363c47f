package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/eventstream"
	"github.com/dragonflyrail/dragonflyrail/internal/core/continuity"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// lastEventIDHeader holds the id of the last event that the caller has of a stream.
const lastEventIDHeader = "Last-Event-Id"

// errNotNextEvent means that an endpoint sent an event that doesn't follow the last one of
// the caller.
var errNotNextEvent = errors.New("its event doesn't follow the caller's last one")

// errMayBeInProgress means that a run isn't known to be over at its endpoint.
var errMayBeInProgress = errors.New("its endpoint may still be working on it")

// continuation is the remainder of a stream that a new run is to continue.
type continuation struct {
	began time.Time
	// tokens is the number of tokens that the caller has. The new run prefills them with
	// the prompt.
	tokens int
}

// apply changes the request for a placement to that for the remainder.
func (c *continuation) apply(r *port.GenerationRequest, deadline time.Time) {
	r.Arrived, r.Deadline = c.began, c.began.Add(deadline.Sub(c.began)/placementDivisor)
	r.PromptTokens += c.tokens
	if r.MaxTokens > 0 {
		r.MaxTokens = max(1, r.MaxTokens-c.tokens)
	}
	if r.LengthHint > 0 {
		r.LengthHint = max(1, r.LengthHint-c.tokens)
	}
}

// isResumable reports whether a new run may continue the stream of the request.
func (x *exchange) isResumable() bool {
	r := x.req.Admission.Route
	return continuity.AllowsResumption(r.Resumable, r.MaxAttempts)
}

// expectCallersPlace makes the ids of the stream begin after the event that the caller names
// as its last one, if its route is resumable.
func (r *relay) expectCallersPlace() {
	if id := r.x.req.Header.Get(lastEventIDHeader); id != "" && r.x.isResumable() {
		r.place = continuity.After(id)
		callersPlace := r.place
		r.callersPlace = &callersPlace
	}
}

// continueElsewhere has another endpoint continue the stream after the caller's last event,
// if the stream broke off, there is no copy of its run, and its route is resumable. It
// returns the stream that continues, whose context is then that of the present attempt, or
// nil. ctx is the context of the request.
func (r *relay) continueElsewhere(ctx context.Context, a *port.Answer, streamErr error) *port.Answer {
	x := r.x
	if errors.Is(streamErr, io.EOF) || !x.responseStarted || !x.ledger.Resumable {
		return nil
	}
	lastID, _ := r.place.LastID()
	cause := streamErr.Error()
	if !r.ended {
		r.endBroken(streamErr)
	}
	// The abandoned run may still be in progress at its endpoint; stopBefore asks.
	r.attempt.end()
	_ = a.Body.Close()
	x.ledger.End(stream.OutcomeRan, x.responseStarted)
	r.ranAt = r.run.currentEndpoint()
	x.continuing = &continuation{began: x.g.Clock(), tokens: x.delivered.Events * x.eventTokens()}
	defer func() { x.continuing = nil }()
	for {
		if why := r.whyNotContinued(ctx); why != continuity.ContinueElsewhere {
			r.notContinued(lastID, why)
			return nil
		}
		p, refusal := x.placeUnlessQuarantined(ctx)
		if refusal != nil {
			r.notContinued(lastID, refusal.Error())
			return nil
		}
		c, over := r.stopBefore(ctx, p.endpoint, streamErr)
		if !over {
			x.withdraw(p)
			r.notContinued(lastID, errMayBeInProgress.Error())
			return nil
		}
		next := r.sendContinuation(ctx, p, lastID, c)
		if next == nil {
			x.release(c)
			continue
		}
		how := "without a copy"
		if c != nil {
			how = "from a copy made as its run was stopped"
		}
		x.record(verdictResume, "continued "+how+" after event "+lastID+", because the stream broke off: "+cause, "", nil)
		x.g.metrics.streamsContinued.Inc(1)
		return next
	}
}

// whyNotContinued returns why the stream is not sent to another endpoint.
func (r *relay) whyNotContinued(ctx context.Context) string {
	x := r.x
	_, hasPlace := r.place.LastID()
	i := continuity.Interruption{
		Resumable: x.req.Admission.Route.Resumable, HasPlace: hasPlace,
		Attempts: x.mayHaveRun, MaxAttempts: x.req.Admission.Route.MaxAttempts,
		Refusals: x.attempts - x.mayHaveRun, MaxRefusals: x.g.options().MaxRefusals,
		Withdraw: x.g.budgets.pool(x.pool).Retry,
	}
	ending := &Refusal{}
	if x.interrupted(ctx, ending) {
		i.Ending = ending.Detail
	} else if refusal := x.quarantineRefusal(); refusal != nil {
		i.Ending = refusal.Error()
	}
	return i.Decide()
}

func (r *relay) notContinued(lastID, why string) {
	r.x.record(verdictResume, "not continued after event "+lastID+": "+why, "", nil)
	r.x.g.metrics.streamsNotContinued.Inc(1)
	r.x.reason += "; not continued: " + why
}

// sendContinuation sends the request for the remainder of the stream to one endpoint. It
// returns nil if the endpoint doesn't answer with a stream; the attempt has then ended. c is a
// copy of the run at the endpoint, nil for none.
func (r *relay) sendContinuation(ctx context.Context, p *placement, lastID string, c *runCopy) *port.Answer {
	x := r.x
	ctx, withdraw := context.WithCancelCause(ctx)
	stop := func() { withdraw(nil) }
	x.beginAttempt(p, func() { withdraw(errWithdrawn) })
	out := x.outbound(p)
	out.LastEventID = lastID
	start := outcome.FromEvent
	if c != nil {
		out.Generation.Continue = &port.Continuation{Address: c.from.Address, Handle: c.handle, LastEventID: lastID}
		start = outcome.FromCopy
	}
	stopCheck := x.checkPathIfSilent(p)
	answer, err := x.send(ctx, start, out)
	stopCheck()
	if err == nil {
		x.mayHaveRun++
		x.reportLoad(p, answer)
	}
	switch {
	case err != nil:
		x.handleSendError(ctx, p, answer, err)
	case answer.Status != http.StatusOK || !eventstream.IsEventStream(answer.Header.Get("Content-Type")):
		_ = answer.Body.Close()
		x.ledger.End(stream.OutcomeRan, x.responseStarted)
		x.reason = errNoContinuation.Error()
		r.ranAt, r.unconfirmed = p.endpoint, false
		x.endAttempt(p, port.FinishCancelled)
	default:
		r.p, r.checked, r.joined, r.begun, r.ended = p, true, false, false, false
		r.attempt = attemptContext{ctx, stop}
		x.delivered.Runners++
		r.unconfirmed = false
		x.release(r.run.setSource(p.endpoint, answer.Body))
		return answer
	}
	stop()
	return nil
}

// eventTokens returns the number of tokens in one event of the request's pool.
func (x *exchange) eventTokens() int {
	if x.engine == nil {
		return 0
	}
	return max(1, x.engine.EventTokens)
}
