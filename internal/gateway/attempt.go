package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/eventstream"
	"github.com/dragonflyrail/dragonflyrail/internal/core/balance"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxBuffered is the size up to which an answer is read whole before any of it
// is sent to the caller, so that a truncated answer can still be retried.
// Longer answers are streamed. With Options.AnswerMemory less is read.
const maxBuffered = 1 << 20

// bufferedAnswer is an endpoint's answer; if rest is not nil, body holds its
// beginning and rest the remainder.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
	length int64
	rest   io.Reader
}

// attempt sends the request to one endpoint and relays its answer.
func (x *exchange) attempt(requestCtx context.Context, p *placement) stream.RunOutcome {
	ctx, withdraw := context.WithCancelCause(requestCtx)
	defer withdraw(nil)
	x.beginAttempt(p, func() { withdraw(errWithdrawn) })
	began := x.g.Clock()
	stopCheck := x.checkPathIfSilent(p)
	answer, err := x.send(ctx, outcome.FromPrompt, x.outbound(p))
	stopCheck()
	if err != nil {
		return x.handleSendError(ctx, p, answer, err)
	}
	defer answer.Body.Close()
	x.reachedEndpoint = true
	x.mayHaveRun++
	x.reportLoad(p, answer)
	observe(x.g.metrics.answerDelay, x.g.Clock().Sub(began))
	if answer.Status == http.StatusOK && eventstream.IsEventStream(answer.Header.Get("Content-Type")) {
		return x.relayEvents(requestCtx, attemptContext{ctx, func() { withdraw(nil) }}, p, answer)
	}
	x.g.crashWatch.Answering(p.watched)
	return x.relayBody(ctx, p, answer, began)
}

// errEndedWithEndpoint means that an answer which ends with its connection ended because
// its endpoint did.
var errEndedWithEndpoint = merry.Sentinel("gateway: the answer ended with the endpoint's end")

// endedOrderly reports whether an answer that was read to its end is whole. One with
// neither a length nor chunks looks whole also if its endpoint has crashed.
func (x *exchange) endedOrderly(ctx context.Context, p *placement, a *port.Answer) bool {
	if a.Delimited {
		x.ranOn = true
		return true
	}
	if x.mayRepeat() {
		left := x.deadline.Sub(x.g.Clock())
		limited, cancel := context.WithTimeout(ctx, min(left/repeatShare, maxEvidenceWait))
		defer cancel()
		ctx = limited
	}
	isWhole, ranOn := x.g.crashWatch.EndWithConnection(ctx, p.watched)
	x.ranOn = ranOn
	return isWhole
}

const (
	// repeatShare is the inverse of the share of the remaining time in which evidence is
	// awaited that the answer to a call is whole. The rest is left for a repetition.
	repeatShare = 2
	// maxEvidenceWait bounds that time.
	maxEvidenceWait = 1200 * time.Millisecond
)

// mayRepeat reports whether the call can be sent to another endpoint if its answer isn't
// whole.
func (x *exchange) mayRepeat() bool {
	if !x.ledger.Idempotent || x.responseStarted || x.mayHaveRun >= x.req.Admission.Route.MaxAttempts || !x.g.budgets.pool(x.pool).HasRetry() {
		return false
	}
	return slices.ContainsFunc(x.g.endpointTable.liveIn(x.pool), func(e port.Endpoint) bool {
		return !slices.Contains(x.tried, e.ID) && !x.g.IsPaused(e) && !x.g.crashWatch.IsUnanswered(e) && !x.g.isSuspect(e)
	})
}

// isSuspect reports whether calls avoid an endpoint because it, or the path to it, has failed.
func (g *Gateway) isSuspect(e port.Endpoint) bool {
	return e.Unreachable || g.breakers.Open(g.Clock(), e.ID) || g.crashWatch.IsDown(e) || g.paths.IsLost(e.ID)
}

// errWithdrawn is the cause of the cancellation of an attempt whose request was
// quarantined before the endpoint began to answer.
var errWithdrawn = merry.Sentinel("gateway: the request was quarantined while it waited at the endpoint")

// recordIfWithdrawn sets the cause of the request's end if its attempt was withdrawn.
func (x *exchange) recordIfWithdrawn(ctx context.Context) {
	if errors.Is(context.Cause(ctx), errWithdrawn) {
		x.cause, x.reason = CauseQuarantined, errWithdrawn.Error()
		x.quarantined = true
	}
}

// send sends a request once and evaluates the rate limit and the coldness that
// the endpoint reports with its answer. All requests to endpoints are sent by it. If the
// ledger forbids the attempt, it returns outcome.ErrMayRunTwice; it records the fate of an
// attempt that fails, and the caller that of one that is answered.
func (x *exchange) send(ctx context.Context, start outcome.Start, out *port.Exchange) (*port.Answer, error) {
	if err := x.ledger.Begin(start); err != nil {
		return nil, err
	}
	x.sentTo = append(x.sentTo, out.Endpoint.Address)
	answer, err := x.g.Endpoints.Send(ctx, out)
	x.reply = nil
	if answer != nil {
		x.reply = &answer.Reply
	}
	if answer != nil && (err == nil || errors.Is(err, port.ErrRefused)) {
		x.g.observeLimit(out.Endpoint, answer.RateLimit)
		x.g.observeColdness(out.Endpoint, answer.ColdFor)
		x.observeReads(answer)
	}
	if err != nil {
		x.ledger.End(fateOf(err), x.responseStarted)
	}
	return answer, err
}

// fateOf returns the fate of an attempt that failed with an error.
func fateOf(err error) stream.RunOutcome {
	switch {
	case errors.Is(err, port.ErrMisdirected), errors.Is(err, port.ErrRefused):
		return stream.OutcomeRefused
	case errors.Is(err, port.ErrNotSent), errors.Is(err, outcome.ErrMayRunTwice):
		return stream.OutcomeNotSent
	}
	return stream.OutcomeUnknown
}

// engineRank is the rank sent to engines with every generation. The pool's
// queue, which has all waiting requests, decides their order. An engine that
// gets different ranks preempts a running generation to make room for a more
// urgent prompt: the stream of the preempted caller stalls, and its prompt of
// thousands of tokens is processed twice. With equal ranks a prompt waits for
// room: over 34 s at 45 full engines, 179,000 prompt tokens were processed in
// vain instead of 316,000.
const engineRank = 0

// outbound returns the request as it is sent to the endpoint.
func (x *exchange) outbound(p *placement) *port.Exchange {
	out := &port.Exchange{
		RequestID: x.req.ID, Endpoint: p.endpoint, Method: x.req.Method, Target: x.req.Target, Host: x.req.Host,
		Header: x.req.Header, Body: x.req.Body, Organisation: x.req.Admission.Organisation,
		Remaining: x.deadline.Sub(x.g.Clock()), SentBefore: slices.Contains(x.sentTo, p.endpoint.Address),
	}
	if p.generation {
		out.Generation = &port.GenerationTerms{Rank: engineRank}
	} else {
		out.Repeatable = x.ledger.Idempotent && x.g.balancer.StatesSlowness(p.endpoint.ID) && x.g.mayKeepConnections(x.pool)
	}
	return out
}

// keptShare is the inverse of the share of the connections that an endpoint accepts that
// may be kept unused. Each daemon keeps one.
const keptShare = 2

// mayKeepConnections reports whether the endpoints of a pool have room for a connection
// from each daemon that is kept unused.
func (g *Gateway) mayKeepConnections(pool string) bool {
	index := g.index.Load()
	if index == nil {
		return false
	}
	p, found := index.Pool(pool)
	return found && (p.MaxConnections == 0 || keptShare*g.daemonCount() <= p.MaxConnections)
}

// reportLoad passes the load and the slowness that a plain service reports with its
// answer to the balancer, and the slowness that a runner states to the placer.
func (x *exchange) reportLoad(p *placement, a *port.Answer) {
	if p.generation {
		x.reportSlowness(a)
		return
	}
	if a.Load == nil {
		return
	}
	x.g.balancer.Observe(x.g.Clock(), &p.endpoint, a.Load, isFailure(a.Status))
}

// reportSlowness passes the slowness that the endpoint states with the answer of a
// generation to the placer.
func (x *exchange) reportSlowness(a *port.Answer) {
	slowness := 0.0
	if a.Load != nil {
		slowness = a.Load.Slowness
	}
	x.g.Placer.Observe(x.req.ID, slowness)
}

// isFailure reports whether a status means that the endpoint failed.
func isFailure(status int) bool { return status >= http.StatusInternalServerError }

// handleSendError classifies and ends an attempt that got no answer, or a refusal.
func (x *exchange) handleSendError(ctx context.Context, p *placement, refusal *port.Answer, err error) stream.RunOutcome {
	fate, kind, name := fateOf(err), port.FinishFailed, "lost"
	switch {
	case errors.Is(err, port.ErrMisdirected):
		kind, name = port.FinishNotStarted, "misdirected"
		x.reachedEndpoint = true
		x.g.markLeaving(p.endpoint, "another endpoint answers at its address")
	case errors.Is(err, port.ErrRefused):
		kind, name = port.FinishNotStarted, "refused"
		x.reachedEndpoint = true
		x.g.crashWatch.Responded(p.watched)
		p.refused = !refusedByLimit(refusal)
		x.refusedByBrittle = p.refused && !p.generation && x.g.brittle.Refused(x.g.Clock(), &p.endpoint)
		if !p.refused {
			kind = port.FinishCancelled
		}
	case errors.Is(err, port.ErrNotSent):
		kind, name = port.FinishNotStarted, "not_sent"
	case errors.Is(err, outcome.ErrMayRunTwice):
		kind, name = port.FinishCancelled, "withheld"
	case errors.Is(err, port.ErrForeignAnswer):
		name = "foreign_answer"
	}
	if fate == stream.OutcomeUnknown {
		x.reachedEndpoint = true
		x.mayHaveRun++
	}
	if ctx.Err() != nil {
		kind = port.FinishCancelled
	}
	x.connectionLost = kind == port.FinishFailed
	x.left = fate == stream.OutcomeUnknown && ctx.Err() != nil
	if fate == stream.OutcomeNotSent && kind == port.FinishNotStarted {
		x.g.crashWatch.Unreached(p.endpoint)
	}
	if x.connectionLost {
		// A lost path breaks connections just as a crash of the endpoint does.
		x.g.paths.RequestCheck(x.g.Clock(), p.endpoint.ID, p.endpoint.Pool, true)
	}
	x.reason = withCause(err)
	x.recordIfWithdrawn(ctx)
	x.g.metrics.attemptFailed(name)
	x.endAttempt(p, kind)
	return fate
}

// refusedByLimit reports whether an endpoint refused a request because of its rate
// limit, which the admission of requests accounts for.
func refusedByLimit(refusal *port.Answer) bool {
	return refusal != nil && refusal.Status == http.StatusTooManyRequests
}

// withCause returns the text of an error together with its cause, which the
// text alone lacks: for example whether an address refuses connections or does
// not respond.
func withCause(err error) string {
	if cause := merry.Cause(err); cause != nil {
		return err.Error() + ": " + cause.Error()
	}
	return err.Error()
}

// relayBody relays an answer that is not a stream of events.
func (x *exchange) relayBody(ctx context.Context, p *placement, a *port.Answer, began time.Time) stream.RunOutcome {
	b, err := readAnswer(a, x.holdAnswer(a.Length))
	if err == nil && b.rest == nil && !x.endedOrderly(ctx, p, a) {
		err = errEndedWithEndpoint
	}
	if err == nil && !p.generation {
		took := x.g.Clock().Sub(began)
		x.g.brittle.ObserveCall(&p.endpoint, took, a.Load)
		p.failed = isFailure(b.status)
		if b.status < http.StatusBadRequest && b.rest == nil {
			p.sample = &balance.Sample{Took: took, Load: a.Load}
		}
	}
	if err != nil {
		x.reason = "the answer broke off: " + err.Error()
		x.connectionLost, x.left = ctx.Err() == nil, ctx.Err() != nil
		x.g.metrics.attemptFailed("cut")
		x.endAttempt(p, finishKind(ctx, port.FinishFailed))
		return stream.OutcomeUnknown
	}
	if a.ImpliesNotRun && !x.ledger.Idempotent {
		return x.endUnstated(p, b.status)
	}
	if isFailure(b.status) && x.ledger.Idempotent {
		if b.rest == nil {
			// The rest of a longer answer can't be read after the attempt.
			x.keptFailure = b
		}
		x.reason = "the endpoint answers " + http.StatusText(b.status)
		x.endAttempt(p, port.FinishFailed)
		return stream.OutcomeRan
	}
	err = x.deliver(b)
	if err == nil && b.rest != nil && !x.endedOrderly(ctx, p, a) {
		err = errEndedWithEndpoint
		x.connectionLost = true
		x.endAttempt(p, finishKind(ctx, port.FinishFailed))
		x.reason = "the answer broke off: " + err.Error()
		return stream.OutcomeRan
	}
	if err != nil && x.readFailed {
		x.endBrokenBody(ctx, p, err)
		return stream.OutcomeRan
	}
	x.endAttempt(p, port.FinishDone)
	if err != nil {
		x.reason = "the answer could not be passed on whole: " + err.Error()
		return stream.OutcomeRan
	}
	x.reason = http.StatusText(b.status)
	return stream.OutcomeDone
}

// endUnstated ends an attempt whose answer has a status that callers take for a statement
// that the request did not run. It may be sent again after that, so one that must not run
// twice gets a status without that meaning.
func (x *exchange) endUnstated(p *placement, status int) stream.RunOutcome {
	x.reason = "the endpoint answers " + http.StatusText(status) + " without stating that it didn't run the request"
	x.g.metrics.attemptFailed("not_run_unstated")
	kind := port.FinishCancelled
	if isFailure(status) {
		p.failed, kind = true, port.FinishFailed
	}
	x.endAttempt(p, kind)
	return stream.OutcomeUnknown
}

// endBrokenBody ends an attempt whose endpoint broke the answer off while it was passed on.
func (x *exchange) endBrokenBody(ctx context.Context, p *placement, err error) {
	if x.abandonUnread(p, err) {
		return
	}
	x.reason = "the answer broke off: " + err.Error()
	x.connectionLost, x.left = ctx.Err() == nil, ctx.Err() != nil
	x.g.metrics.attemptFailed("cut")
	x.endAttempt(p, finishKind(ctx, port.FinishFailed))
}

func finishKind(ctx context.Context, kind port.FinishKind) port.FinishKind {
	if ctx.Err() != nil {
		return port.FinishCancelled
	}
	return kind
}

// readAnswer reads up to limit bytes of an answer.
func readAnswer(a *port.Answer, limit int) (*bufferedAnswer, error) {
	var buffer bytes.Buffer
	b := &bufferedAnswer{status: a.Status, header: a.Header, length: a.Length}
	_, err := io.CopyN(&buffer, a.Body, int64(limit))
	b.body = buffer.Bytes()
	switch {
	case err == nil:
		b.rest = a.Body
	case errors.Is(err, io.EOF):
		b.length = int64(len(b.body))
	default:
		return nil, err
	}
	return b, nil
}

// deliver sends an answer to the caller. If it fails after the first byte, the
// caller has a partial answer, which must not look complete.
func (x *exchange) deliver(b *bufferedAnswer) error {
	x.responseStarted, x.status = true, b.status
	if err := x.responder.Begin(b.status, b.header, b.length); err != nil {
		return err
	}
	if err := x.responder.Write(b.body); err != nil {
		return err
	}
	if b.rest == nil {
		return nil
	}
	if !x.bounded {
		_, err := io.Copy(responderWriter{x.responder}, b.rest)
		return err
	}
	b.body = nil
	x.giveBackAnswers()
	_, err := io.CopyBuffer(responderWriter{x.responder}, b.rest, make([]byte, pieceBytes))
	return err
}

// responderWriter adapts a Responder to io.Writer.
type responderWriter struct{ out Responder }

func (w responderWriter) Write(p []byte) (int, error) {
	if err := w.out.Write(p); err != nil {
		return 0, err
	}
	return len(p), nil
}
