package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxBufferedReply is read whole before the caller gets a byte, so that a
// reply cut short can still be tried again; what is over it streams through.
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
	// IdempotencyKey is empty where the caller gave none.
	IdempotencyKey string
	// NonIdempotent: the caller says that it must run at most once.
	NonIdempotent bool
}

// idempotent reports whether a second run does no harm: by the method's
// meaning, unless the caller says otherwise.
func (q *ServiceRequest) idempotent() bool {
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
	if q.idempotent() || q.IdempotencyKey == "" {
		return claimKey{}
	}
	return newClaimKey(q.Organisation, q.IdempotencyKey)
}

// fingerprint tells two calls under one key apart.
func (q *ServiceRequest) fingerprint() uint64 {
	d := xxhash.New()
	for _, part := range []string{q.Service, q.Method, q.Path} {
		// A digest's writes don't fail.
		_, _ = d.WriteString(part + "\x00")
	}
	_, _ = d.Write(q.Body)
	return d.Sum64()
}

// ServiceReply is an endpoint's reply. Body holds it whole, or its beginning
// where Rest is not nil.
type ServiceReply struct {
	Status int
	Header http.Header
	Body   []byte
	// Length is the length of the whole body, -1 where it isn't known.
	Length int64
	// Rest is closed by whoever gets the reply.
	Rest io.ReadCloser
	// Replayed: it was stored when the same key was first used.
	Replayed bool
}

// call is one service request on its way.
type call struct {
	r       *Router
	req     *ServiceRequest
	ledger  outcome.Ledger
	status  RequestStatus
	tried   map[string]bool
	print   quarantine.Fingerprint
	attempt int
	reason  string
	cause   Cause
	// decision is the id of the last choice.
	decision string
}

// CallService serves one call of a plain service.
func (r *Router) CallService(ctx context.Context, req *ServiceRequest) (*ServiceReply, *Refusal) {
	if refusal := r.begin(req.RequestID); refusal != nil {
		return nil, refusal
	}
	defer r.life.leave()
	r.metrics.open.Inc(1)
	defer r.metrics.open.Dec(1)
	c := &call{r: r, req: req, tried: make(map[string]bool), print: req.crashPrint()}
	c.ledger.Idempotent = req.idempotent()
	c.status = RequestStatus{RequestID: req.RequestID, State: RequestHeld, Organisation: req.Organisation}
	r.requests.put(c.status)
	key := req.claimKey()
	if reply, refusal, stored := r.repeated(req, key); stored {
		if refusal != nil {
			return nil, c.refused(refusal)
		}
		c.finish(outcome.Done, "the key's stored reply was given again")
		return reply, nil
	}
	claim, refusal := r.claim(ctx, key, req.RequestID)
	if refusal != nil {
		return nil, c.refused(refusal)
	}
	r.budget.FirstTry()
	reply, refusal := c.serve(ctx)
	status := 0
	if reply != nil {
		status = reply.Status
		r.remember(req, key, reply)
	}
	claim.settle(c.ledger.Outcome(), status)
	return reply, refusal
}

// repeated answers a key that finished at this router.
func (r *Router) repeated(req *ServiceRequest, key claimKey) (*ServiceReply, *Refusal, bool) {
	if !key.set {
		return nil, nil, false
	}
	stored, ok := r.replies.get(key.hash)
	if !ok {
		return nil, nil, false
	}
	if stored.fingerprint != req.fingerprint() {
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

func (r *Router) remember(req *ServiceRequest, key claimKey, reply *ServiceReply) {
	if !key.set || reply.Rest != nil {
		return
	}
	r.replies.put(key.hash, &storedReply{
		requestID: req.RequestID, fingerprint: req.fingerprint(),
		status: reply.Status, header: reply.Header.Clone(), body: reply.Body,
	})
}

// serve tries endpoints until one replies or nothing more may be tried.
func (c *call) serve(ctx context.Context) (*ServiceReply, *Refusal) {
	for {
		if refusal := c.r.quarantineRefusal(c.print); refusal != nil {
			return nil, c.refused(refusal)
		}
		endpoint, ok := c.choose()
		if !ok {
			return nil, c.refused(c.noEndpoint())
		}
		reply, fate := c.once(ctx, endpoint)
		c.ledger.Add(fate, false)
		if fate == stream.FateDone {
			c.completed(reply)
			c.finish(outcome.Done, http.StatusText(reply.Status))
			return reply, nil
		}
		if refusal := c.stop(ctx); refusal != nil {
			return c.lastWord(reply, refusal)
		}
		if reply != nil {
			closeReply(reply)
		}
		c.r.metrics.retries.Inc(1)
	}
}

// completed notes that the call outlived its run, and the endpoint with it.
func (c *call) completed(reply *ServiceReply) {
	if reply.Status < http.StatusInternalServerError {
		c.r.Quarantine.Completed(c.r.Clock(), c.print)
	}
}

// lastWord passes on an endpoint's own error where nothing better came.
func (c *call) lastWord(reply *ServiceReply, refusal *Refusal) (*ServiceReply, *Refusal) {
	if reply == nil {
		return nil, c.refused(refusal)
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
	var candidates, spared []port.Endpoint
	for _, e := range r.takers.Load().byService[c.req.Service] {
		switch {
		case c.tried[e.ID]:
		case e.Unreachable || r.breakers.Open(now, e.ID):
			spared = append(spared, e)
		default:
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 && c.attempt == 0 {
		// None looks well, but the probes are the keepers' and the breakers
		// may be late: a try is better than a refusal.
		candidates = spared
	}
	endpoint, scores, ok := r.balancer.Choose(now, candidates)
	if !ok {
		return endpoint, false
	}
	c.attempt++
	c.tried[endpoint.ID] = true
	c.decision = r.decide(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: c.req.RequestID, Organisation: c.req.Organisation,
		Verdict: port.VerdictPlace.String(), Reason: "least calls of two drawn in service " + c.req.Service,
		Endpoint: endpoint.ID, Attempt: c.attempt, Candidates: scores,
	})
	c.status.State, c.status.Endpoint, c.status.Attempts = RequestRunning, endpoint.ID, c.attempt
	r.requests.put(c.status)
	return endpoint, true
}

func (c *call) noEndpoint() *Refusal {
	refusal := &Refusal{Cause: CauseNoEndpoint, RetryAfter: retrySoon, LastIndex: -1}
	refusal.Detail = "no live endpoint of service " + c.req.Service
	switch {
	case c.attempt > 0:
		refusal.Cause, refusal.Detail = CauseEndpointFailed, c.reason
	case c.r.takers.Load().evacuated[c.req.Service]:
		refusal.Cause, refusal.RetryAfter = CauseEvacuated, evacuation.RetryAfter
		refusal.Detail = "the endpoints of service " + c.req.Service + " are in failure domains that are evacuated"
	}
	return refusal
}

// once calls one endpoint. A reply comes back with FateDone, or with FateRan
// where it asks for a try elsewhere.
func (c *call) once(ctx context.Context, e port.Endpoint) (*ServiceReply, stream.Fate) {
	r := c.r
	began := r.Clock()
	r.breakers.Begin(began, e.ID)
	defer r.balancer.End(e.ID)
	bounded, cancel := context.WithTimeout(ctx, r.o.ServiceTimeout)
	watched := r.crashes.Begin(e, c.print)
	reply, err := r.Services.Call(bounded, e, c.req)
	if err == nil {
		err = reply.fill(cancel)
	} else {
		cancel()
	}
	observe(r.metrics.services, r.Clock().Sub(began))
	r.crashes.End(watched, err != nil && ctx.Err() == nil && !errors.Is(err, port.ErrNotSent))
	if err != nil {
		return nil, c.lost(ctx, bounded, e, err)
	}
	r.breakers.Success(e.ID)
	if c.ledger.Idempotent && retryElsewhere(reply.Status) {
		c.reason = "the endpoint answers " + http.StatusText(reply.Status)
		return reply, stream.FateRan
	}
	return reply, stream.FateDone
}

// lost judges a call without a whole reply. The caller's context tells whether he
// has gone; the call's own has ended by now, and tells only whether its time was
// over.
func (c *call) lost(caller, bounded context.Context, e port.Endpoint, err error) stream.Fate {
	overdue := errors.Is(bounded.Err(), context.DeadlineExceeded)
	if caller.Err() == nil && !overdue {
		c.r.breakers.Failure(c.r.Clock(), e.ID)
	}
	if errors.Is(err, port.ErrNotSent) {
		c.reason = "the endpoint could not be reached"
		return stream.FateNotSent
	}
	c.reason = "the endpoint gave no whole reply"
	if overdue {
		c.cause = CauseServiceTimeout
		c.reason = "the endpoint gave no whole reply in time"
	}
	return stream.FateUnknown
}

func retryElsewhere(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// fill reads the body up to maxBufferedReply. The rest, where there is one,
// keeps the call's context until it is closed.
func (reply *ServiceReply) fill(cancel context.CancelFunc) error {
	var buffer bytes.Buffer
	_, err := io.CopyN(&buffer, reply.Rest, maxBufferedReply)
	reply.Body = buffer.Bytes()
	if err == nil {
		reply.Rest = &restOfReply{ReadCloser: reply.Rest, cancel: cancel}
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

type restOfReply struct {
	io.ReadCloser
	cancel context.CancelFunc
}

func (r *restOfReply) Close() error {
	defer r.cancel()
	return r.ReadCloser.Close()
}

// stop returns the refusal where no other attempt may follow, else nil.
func (c *call) stop(ctx context.Context) *Refusal {
	refusal := &Refusal{
		Cause: CauseEndpointFailed, Detail: c.reason, DecisionID: c.decision,
		RetryAfter: retrySoon, LastIndex: -1,
	}
	if c.cause != "" {
		refusal.Cause = c.cause
	}
	select {
	case <-c.r.life.handover:
		refusal.Cause = CauseStopping
		return refusal
	default:
	}
	switch {
	case ctx.Err() != nil:
		refusal.Cause = CauseCallerGone
	case !c.ledger.MayRetry() || c.attempt >= c.r.o.MaxAttempts:
	case !c.r.budget.Retry():
		refusal.Cause = CauseRetriesSpent
	default:
		return nil
	}
	return refusal
}

func (c *call) refused(refusal *Refusal) *Refusal {
	if refusal.Outcome == "" {
		refusal.Outcome = c.ledger.Outcome()
	}
	own := refusal.own()
	c.r.metrics.refused(own)
	id := c.finish(own, refusal.Error())
	if refusal.DecisionID == "" {
		refusal.DecisionID = id
	}
	return refusal
}

func (c *call) finish(o outcome.Outcome, reason string) string {
	c.status.State, c.status.Outcome, c.status.Reason = RequestOver, o, reason
	c.r.requests.put(c.status)
	return c.r.decide(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: c.req.RequestID, Organisation: c.req.Organisation,
		Verdict: verdictFinish, Reason: reason, Endpoint: c.status.Endpoint,
		Attempt: c.status.Attempts, Outcome: string(o), Fingerprint: nameUnlessDone(o, c.print),
	})
}
