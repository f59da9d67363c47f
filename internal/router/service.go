package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/crashwatch"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxBufferedReply is the number of bytes of a reply that are read before the
// caller gets any, so that a reply cut short within them can still be retried. The
// rest of a longer reply is streamed.
const maxBufferedReply = 1 << 20

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	RequestID    string
	Organisation string
	Service      string
	Method       string
	// Path begins with a slash and includes the query.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string
	// NonIdempotent is set if the caller declares that the call must run at most
	// once.
	NonIdempotent bool
}

// Idempotent reports whether running the call twice does no harm: according to its
// method, unless the caller declares otherwise.
func (q *ServiceRequest) Idempotent() bool {
	if q.NonIdempotent {
		return false
	}
	switch q.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func (q *ServiceRequest) claimKey() claimKey {
	if q.Idempotent() || q.IdempotencyKey == "" {
		return claimKey{}
	}
	return newClaimKey(q.Organisation, q.IdempotencyKey)
}

// requestHash identifies the content of a call, to detect a key that is used for
// two different calls.
func (q *ServiceRequest) requestHash() uint64 {
	d := xxhash.New()
	for _, part := range []string{q.Service, q.Method, q.Path} {
		// A digest's writes don't fail.
		_, _ = d.WriteString(part + "\x00")
	}
	_, _ = d.Write(q.Body)
	return d.Sum64()
}

// ServiceReply is an endpoint's reply. Body holds the whole body, or its beginning
// if Rest is not nil.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the length of the whole body, -1 if unknown.
	Length int64
	// Framed is set if the end of the body is marked otherwise than by Length or by the end of
	// the connection.
	Framed bool
	// Rest reads the part of the body that is not in Body. The receiver of the reply
	// closes it.
	Rest io.ReadCloser
	// Replayed is set if the reply was stored by an earlier call with the same key.
	Replayed bool
}

// call is the state of one service request while it is served.
type call struct {
	r      *Router
	req    *ServiceRequest
	ledger outcome.Ledger
	status RequestStatus
	tried  map[string]bool
	// print is the fingerprint that identifies the call in the crash watch and the
	// quarantine.
	print   quarantine.Fingerprint
	attempt int
	reason  string
	cause   Cause
	// decisionID is the id of the last placement decision.
	decisionID string
}

// CallService serves one call of a plain service.
func (r *Router) CallService(ctx context.Context, req *ServiceRequest) (*ServiceReply, *Refusal) {
	if refusal := r.admit(req.RequestID); refusal != nil {
		return nil, refusal
	}
	defer r.lifecycle.release()
	r.metrics.openRequests.Inc(1)
	defer r.metrics.openRequests.Dec(1)
	c := &call{r: r, req: req, tried: make(map[string]bool), print: req.crashFingerprint()}
	c.ledger.Idempotent = req.Idempotent()
	c.status = RequestStatus{RequestID: req.RequestID, State: RequestHeld, Organisation: req.Organisation}
	r.statuses.put(c.status)
	key := req.claimKey()
	if reply, refusal, stored := r.replayStored(req, key); stored {
		if refusal != nil {
			return nil, c.recordRefusal(refusal)
		}
		c.finish(outcome.Done, "the key's stored reply was given again")
		return reply, nil
	}
	claim, refusal := r.claim(ctx, key, req.RequestID)
	if refusal != nil {
		return nil, c.recordRefusal(refusal)
	}
	r.budget.FirstTry()
	reply, refusal := c.serve(ctx)
	status := 0
	if reply != nil {
		status = reply.Status
		r.storeReply(req, key, reply)
	}
	claim.settle(c.ledger.Outcome(), status)
	return reply, refusal
}

// replayStored answers a call whose key has a stored reply at this router, or
// refuses it if the key was used for a different call. It returns false if there is
// no stored reply.
func (r *Router) replayStored(req *ServiceRequest, key claimKey) (*ServiceReply, *Refusal, bool) {
	if !key.set {
		return nil, nil, false
	}
	stored, ok := r.replyCache.get(key.hash)
	if !ok {
		return nil, nil, false
	}
	if stored.requestHash != req.requestHash() {
		return nil, &Refusal{
			Cause: CauseKeyReused, Outcome: outcome.NotRun, LastIndex: -1,
			Detail: "the key was used for another call, request " + stored.requestID,
		}, true
	}
	return &ServiceReply{
		Status: stored.status, Header: stored.header.Clone(), Body: stored.body,
		Length: int64(len(stored.body)), Replayed: true,
	}, nil, true
}

func (r *Router) storeReply(req *ServiceRequest, key claimKey, reply *ServiceReply) {
	if !key.set || reply.Rest != nil {
		return
	}
	r.replyCache.put(key.hash, &storedReply{
		requestID: req.RequestID, requestHash: req.requestHash(),
		status: reply.Status, header: reply.Header.Clone(), body: reply.Body,
	})
}

// serve tries endpoints until one replies or no further attempt is allowed.
func (c *call) serve(ctx context.Context) (*ServiceReply, *Refusal) {
	for {
		if refusal := c.r.quarantineRefusal(c.print); refusal != nil {
			return nil, c.recordRefusal(refusal)
		}
		endpoint, ok := c.choose()
		if !ok {
			return nil, c.recordRefusal(c.noEndpointRefusal())
		}
		reply, fate := c.callEndpoint(ctx, endpoint)
		c.ledger.Add(fate, false)
		if fate == stream.OutcomeDone {
			c.recordCompletion(reply)
			c.finish(outcome.Done, http.StatusText(reply.Status))
			return reply, nil
		}
		if refusal := c.finalRefusal(ctx); refusal != nil {
			return c.finalReply(reply, refusal)
		}
		if reply != nil {
			closeReply(reply)
		}
		c.r.metrics.retries.Inc(1)
	}
}

// recordCompletion reports to the quarantine that the call ran without crashing its
// endpoint. A reply with a server error doesn't count.
func (c *call) recordCompletion(reply *ServiceReply) {
	if reply.Status < http.StatusInternalServerError {
		c.r.Quarantine.Completed(c.r.Clock(), &quarantine.Request{Fingerprint: c.print})
	}
}

// finalReply returns the endpoint's own error reply if there is one, otherwise the
// refusal.
func (c *call) finalReply(reply *ServiceReply, refusal *Refusal) (*ServiceReply, *Refusal) {
	if reply == nil {
		return nil, c.recordRefusal(refusal)
	}
	c.finish(outcome.Failed, http.StatusText(reply.Status))
	return reply, nil
}

func closeReply(reply *ServiceReply) {
	if reply.Rest != nil {
		_ = reply.Rest.Close()
	}
}

// choose picks an endpoint that this call hasn't tried.
func (c *call) choose() (port.Endpoint, bool) {
	r := c.r
	now := r.Clock()
	var candidates, fallbacks []port.Endpoint
	for _, e := range r.eligible.Load().byService[c.req.Service] {
		switch {
		case c.tried[e.ID]:
		case e.Unreachable || r.breakers.Open(now, e.ID):
			fallbacks = append(fallbacks, e)
		default:
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 && c.attempt == 0 {
		// No endpoint appears healthy, but the keepers' probes and the breakers may
		// be out of date: a try is better than a refusal.
		candidates = fallbacks
	}
	endpoint, scores, ok := r.balancer.Choose(now, candidates)
	if !ok {
		return endpoint, false
	}
	c.attempt++
	c.tried[endpoint.ID] = true
	c.decisionID = r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: c.req.RequestID, Organisation: c.req.Organisation,
		Verdict: port.VerdictPlace.String(), Reason: "least calls of two drawn in service " + c.req.Service,
		Endpoint: endpoint.ID, Attempt: c.attempt, Candidates: scores,
	})
	c.status.State, c.status.Endpoint, c.status.Attempts = RequestRunning, endpoint.ID, c.attempt
	r.statuses.put(c.status)
	return endpoint, true
}

func (c *call) noEndpointRefusal() *Refusal {
	refusal := &Refusal{Cause: CauseNoEndpoint, RetryAfter: defaultRetryAfter, LastIndex: -1}
	refusal.Detail = "no live endpoint of service " + c.req.Service
	switch {
	case c.attempt > 0:
		refusal.Cause, refusal.Detail = CauseEndpointFailed, c.reason
	case c.r.eligible.Load().evacuatedServices[c.req.Service]:
		refusal.Cause, refusal.RetryAfter = CauseEvacuated, evacuation.RetryAfter
		refusal.Detail = "the endpoints of service " + c.req.Service + " are in failure domains that are evacuated"
	}
	return refusal
}

// callEndpoint calls one endpoint. It returns a reply with OutcomeDone, or with
// OutcomeRan if the call should be retried at another endpoint.
func (c *call) callEndpoint(ctx context.Context, e port.Endpoint) (*ServiceReply, stream.RunOutcome) {
	r := c.r
	start := r.Clock()
	r.breakers.Begin(start, e.ID)
	defer r.balancer.End(e.ID)
	callCtx, cancel := context.WithTimeout(ctx, r.o.ServiceTimeout)
	watched := r.crashWatch.Begin(e, &quarantine.Request{Fingerprint: c.print}, nil)
	reply, err := r.Services.Call(callCtx, e, c.req)
	isUnframed := err == nil && reply.Length < 0 && !reply.Framed
	if err == nil {
		err = reply.readBody(cancel)
	} else {
		cancel()
	}
	observe(r.metrics.serviceCall, r.Clock().Sub(start))
	if isUnframed && err == nil {
		err = c.endUnframed(ctx, reply, watched)
	} else {
		r.crashWatch.End(watched, err != nil && ctx.Err() == nil && !errors.Is(err, port.ErrNotSent))
	}
	if err != nil {
		return nil, c.classifyFailure(ctx, callCtx, e, err)
	}
	r.breakers.Success(e.ID)
	if c.ledger.Idempotent && retryElsewhere(reply.Status) {
		c.reason = "the endpoint answers " + http.StatusText(reply.Status)
		return reply, stream.OutcomeRan
	}
	return reply, stream.OutcomeDone
}

// endUnframed ends an attempt whose reply ends with its connection, or has the receiver of the
// reply do so if it isn't read to its end yet.
func (c *call) endUnframed(ctx context.Context, reply *ServiceReply, watched *crashwatch.Attempt) error {
	end := &endOfReply{watch: c.r.crashWatch, watched: watched, wait: c.r.o.ServiceTimeout}
	if reply.Rest != nil {
		reply.Rest = &unframedRest{ReadCloser: reply.Rest, ctx: ctx, end: end}
		return nil
	}
	if c.mayRepeat() {
		end.wait = min(end.wait, maxEvidenceWait)
	}
	return end.confirm(ctx)
}

// mayRepeat reports whether another endpoint can get the call if its reply isn't whole.
func (c *call) mayRepeat() bool {
	if !c.ledger.Idempotent || c.attempt >= c.r.o.MaxAttempts {
		return false
	}
	return slices.ContainsFunc(c.r.eligible.Load().byService[c.req.Service], func(e port.Endpoint) bool { return !c.tried[e.ID] })
}

// classifyFailure returns the fate of a call without a complete reply and stores
// the reason. callerCtx shows whether the caller has disconnected. callCtx has
// ended in any case by now, so it shows only whether the call timed out.
func (c *call) classifyFailure(callerCtx, callCtx context.Context, e port.Endpoint, err error) stream.RunOutcome {
	timedOut := errors.Is(callCtx.Err(), context.DeadlineExceeded)
	if callerCtx.Err() == nil && !timedOut {
		c.r.breakers.Failure(c.r.Clock(), e.ID)
	}
	if errors.Is(err, port.ErrNotSent) {
		c.reason = "the endpoint could not be reached"
		return stream.OutcomeNotSent
	}
	c.reason = "the endpoint gave no whole reply"
	if timedOut {
		c.cause = CauseServiceTimeout
		c.reason = "the endpoint gave no whole reply in time"
	}
	return stream.OutcomeUnknown
}

func retryElsewhere(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// readBody reads the body up to maxBufferedReply. If more remains, the call's
// context is kept until Rest is closed.
func (reply *ServiceReply) readBody(cancel context.CancelFunc) error {
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, reply.Rest, maxBufferedReply)
	reply.Body = buffer.Bytes()
	if err == nil {
		reply.Rest = &remainingBody{ReadCloser: reply.Rest, cancel: cancel}
		return nil
	}
	_ = reply.Rest.Close()
	cancel()
	reply.Rest = nil
	if !errors.Is(err, io.EOF) {
		return err
	}
	reply.Length = int64(len(reply.Body))
	return nil
}

type remainingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (r *remainingBody) Close() error {
	defer r.cancel()
	return r.ReadCloser.Close()
}

// finalRefusal returns the refusal if no further attempt is allowed, otherwise nil.
func (c *call) finalRefusal(ctx context.Context) *Refusal {
	refusal := &Refusal{
		Cause: CauseEndpointFailed, Detail: c.reason, DecisionID: c.decisionID,
		RetryAfter: defaultRetryAfter, LastIndex: -1,
	}
	if c.cause != "" {
		refusal.Cause = c.cause
	}
	select {
	case <-c.r.lifecycle.handover:
		if c.cause == "" {
			refusal.Cause = CauseStopping
		}
		return refusal
	default:
	}
	switch {
	case ctx.Err() != nil:
		refusal.Cause = CauseCallerGone
	case !c.ledger.MayRetry() || c.attempt >= c.r.o.MaxAttempts:
	case !c.r.budget.Retry():
		refusal.Cause = CauseRetryBudgetSpent
	default:
		return nil
	}
	return refusal
}

func (c *call) recordRefusal(refusal *Refusal) *Refusal {
	if refusal.Outcome == "" {
		refusal.Outcome = c.ledger.Outcome()
	}
	refusal.limitRetryAfter(c.ledger.Idempotent)
	requestOutcome := refusal.requestOutcome()
	c.r.metrics.countRefusal(requestOutcome)
	id := c.finish(requestOutcome, refusal.Error())
	if refusal.DecisionID == "" {
		refusal.DecisionID = id
	}
	return refusal
}

func (c *call) finish(o outcome.Outcome, reason string) string {
	c.status.State, c.status.Outcome, c.status.Reason = RequestFinished, o, reason
	c.r.statuses.put(c.status)
	return c.r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: c.req.RequestID, Organisation: c.req.Organisation,
		Verdict: verdictFinish, Reason: reason, Endpoint: c.status.Endpoint,
		Attempt: c.status.Attempts, Outcome: string(o), Fingerprint: fingerprintUnlessDone(o, c.print),
	})
}
