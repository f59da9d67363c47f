package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Errors of a Relayer.
var (
	// ErrRelayNotAccepted means that the peer did not get the order to run the request.
	ErrRelayNotAccepted = merry.Sentinel("relay: the peer has not accepted the request")
	// ErrRelayLost means that the connection to the peer broke after the order to run the
	// request was sent.
	ErrRelayLost = merry.Sentinel("relay: connection to the peer lost")
	// ErrRelayCallerGone means that the answer could not be written to the caller.
	ErrRelayCallerGone = merry.Sentinel("relay: the caller has gone")
)

// Relayer passes requests on to other daemons.
type Relayer interface {
	// Relay passes a request on to a peer and its answer on to out, until the answer
	// ends.
	Relay(ctx context.Context, peer *port.Member, r *RelayedRequest, out Responder) (*RelayResult, error)
	// CheckEndpoint asks a peer whether it reaches an endpoint. known is false if the
	// peer gave no usable answer.
	CheckEndpoint(ctx context.Context, peer *port.Member, e port.Endpoint) (reached, known bool)
}

// RelayedRequest is a request that one daemon passes on to another, with what the first
// one has tried. The attempts of both count as those of one request.
type RelayedRequest struct {
	Request
	// From is the id of the daemon that received the request from its caller, and
	// SenderVersion the version of the routes there.
	From          string
	SenderVersion uint64
	// Attempts counts the endpoints tried, MayHaveRun those of them that may have run
	// the request, and Tried holds their ids.
	Attempts   int
	MayHaveRun int
	Tried      []string
	// Repeatable is set if the request may run twice by the sender's routes, whole or from
	// the caller's last event on.
	Repeatable bool
	// BodyBytes is the announced size of the body.
	BodyBytes uint64

	// memory is reserved from AcceptRelayed to ReleaseMemory.
	memory MemoryReservation
}

// ReleaseMemory gives back the memory of a request that AcceptRelayed has admitted. It must
// be called once the request has ended, whether or not its body came.
func (r *RelayedRequest) ReleaseMemory() {
	if r.memory != nil {
		r.memory.Release()
	}
}

// RelayResult is the end of a request that was passed on.
type RelayResult struct {
	// Refusal is nil if the caller has received the whole answer.
	Refusal *Refusal
	// Endpoint is the id of the last endpoint that the peer tried.
	Endpoint string
}

const (
	// maxRelayPeers bounds the peers that are asked to serve one request.
	maxRelayPeers = 3
	// relayGrace is the time after the deadline in which the peer's own refusal, which
	// says whether the request has run, is awaited.
	relayGrace = 100 * time.Millisecond
	// maxRelayedBody is the largest body that is accepted from another daemon if the
	// configuration sets no limit.
	maxRelayedBody = 4 << 20
	// noPathRetry is the least time after which a caller may retry if no daemon has a
	// path; up to noPathRetrySpread is added, so that the callers don't return at once.
	noPathRetry       = 500 * time.Millisecond
	noPathRetrySpread = 500 * time.Millisecond
	// recentAnswer is the age up to which an answer on an open connection shows that
	// calls can still be served here although new connections fail.
	recentAnswer = time.Second
)

// needsRelay reports whether this daemon can't make the next attempt itself.
func (x *exchange) needsRelay() bool { return x.g.Relayer != nil && x.g.paths.Lost(x.pool) }

// relay has another daemon make the remaining attempts. It reports false if an attempt
// should be made here.
func (x *exchange) relay(ctx context.Context) (refusal *Refusal, ended bool) {
	if refusal := x.quarantineRefusal(); refusal != nil {
		return x.refuseOrDeliverFailure(refusal), true
	}
	if x.relayedFrom != "" {
		// A request is passed on once only, so that it can't circulate.
		return x.refuseOrDeliverFailure(x.noPath()), true
	}
	now := x.g.Clock()
	for _, peer := range x.g.relays.choose(now, x.g.peersWithPath(x.pool), maxRelayPeers) {
		result, err := x.relayTo(ctx, &peer)
		switch {
		case err == nil && isRelayDeclined(result):
			x.declined(now, &peer, result.Refusal.Error())
		case err == nil:
			return x.endRelayed(&peer, result), true
		case errors.Is(err, ErrRelayNotAccepted) && ctx.Err() == nil:
			x.declined(now, &peer, err.Error())
		default:
			return x.relayFailed(ctx, err)
		}
	}
	// A generation needs a new connection.
	if x.req.Generation == nil && x.g.paths.AnsweredSince(x.pool, x.g.Clock().Add(-recentAnswer)) {
		return nil, false
	}
	return x.refuseOrDeliverFailure(x.noPath()), true
}

// isRelayDeclined reports whether a peer refused a request only for its own sake, so
// that another one may serve it.
func isRelayDeclined(r *RelayResult) bool {
	if r.Refusal == nil || r.Refusal.Outcome != outcome.NotRun || r.Refusal.ResponseStarted {
		return false
	}
	switch r.Refusal.Cause {
	case CauseNotSynced, CauseNoPath, CauseStopping, CauseTooManyOpen, CauseHostMemory:
		return true
	}
	return false
}

func (x *exchange) declined(now time.Time, peer *port.Member, reason string) {
	x.g.relays.avoid(now, peer.ID)
	x.g.metrics.relaysDeclined.Inc(1)
	x.record(verdictRelay, "declined by "+peer.ID+": "+reason, "", nil)
}

// relayTo passes the request on to one peer, and records the fate of that attempt.
func (x *exchange) relayTo(ctx context.Context, peer *port.Member) (result *RelayResult, err error) {
	if err := x.ledger.Begin(outcome.FromPrompt); err != nil {
		return nil, merry.Wrap(ErrRelayNotAccepted, merry.WithCause(err))
	}
	defer func() { x.ledger.End(fateOfRelay(result, err), x.responseStarted) }()
	x.g.relays.begin(peer.ID)
	defer x.g.relays.end(peer.ID)
	x.reply = nil
	x.g.metrics.relaysSent.Inc(1)
	x.record(verdictRelay, "no path to pool "+x.pool+"; passed on to "+peer.ID, "", nil)
	relayCtx, cancel := withGrace(ctx, relayGrace)
	defer cancel()
	result, err = x.g.Relayer.Relay(relayCtx, peer, &RelayedRequest{
		Request: *x.req, From: x.g.options().ID, Attempts: x.attempts, MayHaveRun: x.mayHaveRun, Tried: x.tried,
		Repeatable: x.ledger.Idempotent || x.ledger.Resumable,
	}, relayResponder{x})
	if errors.Is(err, errUnstatedAtPeer) {
		return nil, merry.Wrap(ErrRelayLost, merry.WithCause(errUnstatedAtPeer))
	}
	return result, err
}

// errUnstatedAtPeer means that a peer passed on an endpoint's answer with a status that callers
// take for a statement that the request did not run.
var errUnstatedAtPeer = merry.Sentinel("relay: the endpoint's status implies that it didn't run the request, without stating it")

// fateOfRelay returns the fate of an attempt that was left to a peer.
func fateOfRelay(result *RelayResult, err error) stream.RunOutcome {
	switch {
	case errors.Is(err, ErrRelayNotAccepted):
		return stream.OutcomeNotSent
	case err != nil || result == nil:
		return stream.OutcomeUnknown
	case result.Refusal == nil:
		return stream.OutcomeDone
	}
	switch result.Refusal.Outcome {
	case outcome.NotRun:
		return stream.OutcomeRefused
	case outcome.Failed:
		return stream.OutcomeRan
	}
	return stream.OutcomeUnknown
}

// withGrace returns a context that ends some time after the deadline of another one,
// but at once if that is cancelled.
func withGrace(ctx context.Context, grace time.Duration) (context.Context, context.CancelFunc) {
	out, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			time.AfterFunc(grace, cancel)
			return
		}
		cancel()
	})
	return out, func() { stop(); cancel() }
}

// relayResponder notes that the answer has begun.
type relayResponder struct{ x *exchange }

func (r relayResponder) Begin(status int, header http.Header, length int64) error {
	if port.StatusImpliesNotRun(status) && !r.x.ledger.Idempotent {
		// A peer ends a request that was refused without an answer.
		return errUnstatedAtPeer
	}
	r.x.responseStarted, r.x.status = true, status
	return r.x.responder.Begin(status, header, length)
}

func (r relayResponder) Write(p []byte) error { return r.x.responder.Write(p) }
func (r relayResponder) Flush() error         { return r.x.responder.Flush() }

// endRelayed ends a request that a peer has answered or refused.
func (x *exchange) endRelayed(peer *port.Member, result *RelayResult) *Refusal {
	x.endpoint = result.Endpoint
	if result.Refusal == nil {
		x.finish(outcome.Done, "served through "+peer.ID)
		return nil
	}
	result.Refusal.Detail += " (at " + peer.ID + ")"
	if result.Refusal.Outcome == outcome.NotRun && x.mayHaveRun > 0 {
		// The peer answers for its own attempts only.
		result.Refusal.Outcome = x.ledger.Outcome()
	}
	return x.refuseOrDeliverFailure(result.Refusal)
}

// relayFailed ends or repeats a request whose peer was lost while it may have run it.
func (x *exchange) relayFailed(ctx context.Context, err error) (refusal *Refusal, ended bool) {
	x.reason = err.Error()
	if errors.Is(err, ErrRelayCallerGone) {
		return x.refuse(&Refusal{Cause: CauseCallerGone, Detail: x.reason, ResponseStarted: true}), true
	}
	fate := stream.OutcomeNotSent
	if !errors.Is(err, ErrRelayNotAccepted) {
		fate = stream.OutcomeUnknown
		x.attempts++
		x.mayHaveRun++
	}
	x.g.metrics.attemptFailed("relay_lost")
	if refusal := x.retryRefusal(ctx, fate); refusal != nil {
		return x.refuseOrDeliverFailure(refusal), true
	}
	x.record(verdictRetry, x.reason, fate.String(), nil)
	return x.relay(ctx)
}

// noPath returns the refusal of a request for which no daemon has a path to an endpoint.
func (x *exchange) noPath() *Refusal {
	return &Refusal{
		Cause: CauseNoPath, Detail: "no daemon that could serve the request has a path to an endpoint of pool " + x.pool,
		RetryAfter: noPathRetry + rand.N(noPathRetrySpread),
	}
}

// AcceptRelayed admits a request that another daemon passes on, or returns why this
// daemon does not serve it.
func (g *Gateway) AcceptRelayed(r *RelayedRequest) *Refusal {
	admission, refusal := g.Admit(r.Host, r.Path, r.KeySHA256)
	switch {
	case refusal != nil && refusal.Version >= r.SenderVersion:
	case admission.Version < r.SenderVersion:
		refusal = &Refusal{Cause: CauseNotSynced, Detail: fmt.Sprintf("the routes here have version %d, the sender's %d", admission.Version, r.SenderVersion)}
	case g.Leaving():
		refusal = &Refusal{Cause: CauseStopping, Detail: "this daemon stops"}
	case r.BodyBytes > relayedBodyLimit(admission):
		refusal = &Refusal{Cause: CauseTooManyOpen, Detail: "the body is longer than the limit here"}
	case g.paths.Lost(g.poolOf(&admission, r.ID)):
		refusal = &Refusal{Cause: CauseNoPath, Detail: "no path from here either"}
	}
	if refusal == nil {
		// Reserved before the body comes, as many may be sent between two readings.
		r.memory, refusal = g.ReserveMemory(int64(r.BodyBytes))
	}
	if refusal != nil {
		refusal.Outcome = outcome.NotRun
		refusal.setRetryAfter(true)
		return refusal
	}
	r.Admission = admission
	return nil
}

func relayedBodyLimit(a Admission) uint64 {
	if a.Limits.MaxBodyBytes > 0 {
		return uint64(a.Limits.MaxBodyBytes)
	}
	return maxRelayedBody
}

// poolOf returns the pool that a request is sent to.
func (g *Gateway) poolOf(a *Admission, requestID string) string {
	return a.Route.Target(hashFraction(requestID))
}

// ServeRelayed serves a request that AcceptRelayed has admitted. endpoint is the id of
// the last endpoint that was tried.
func (g *Gateway) ServeRelayed(ctx context.Context, r *RelayedRequest, out Responder) (endpoint string, refusal *Refusal) {
	g.metrics.relaysServed.Inc(1)
	x := g.newExchange(&r.Request, out)
	x.relayedFrom = r.From
	// The routes here may be newer.
	x.ledger.Idempotent = x.ledger.Idempotent && r.Repeatable
	x.ledger.Resumable = x.ledger.Resumable && r.Repeatable
	x.attempts, x.mayHaveRun, x.tried = r.Attempts, r.MayHaveRun, slices.Clone(r.Tried)
	x.reachedEndpoint = r.MayHaveRun > 0
	x.record(verdictRelay, "passed on by "+r.From, "", nil)
	r.memory.Settle(int64(len(r.Body)))
	refusal = x.serveOpen(ctx)
	return x.endpoint, refusal
}
