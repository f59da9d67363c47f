package grpcpeer

import (
	"context"
	"io"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
)

// answerTimeout bounds the time to the first answer of another daemon's scheduler. It
// is much longer than a round trip and a scheduling delay on a busy processor, and
// much shorter than the time to the first token that callers accept.
const answerTimeout = 300 * time.Millisecond

// holdMargin is added to the time for which a request may be held, so that the
// decision at its end can still arrive.
const holdMargin = 500 * time.Millisecond

// SchedulingService serves this daemon's scheduler to other daemons.
type SchedulingService struct {
	peerv1.UnimplementedSchedulingServer
	Scheduler *scheduling.PoolScheduler
	Admitter  Admitter
}

// Admitter decides, with this daemon's own limiter, whether requests may be sent to
// endpoints that have rate limits.
type Admitter interface {
	AdmitLocally(pool string, asks []ratelimit.Candidate, patience time.Duration) ratelimit.Grant
}

// Register registers the service with a server.
func (s *SchedulingService) Register(r grpc.ServiceRegistrar) {
	peerv1.RegisterSchedulingServer(r, s)
}

// Place places one generation. If the request is held, it sends a hold decision first.
func (s *SchedulingService) Place(r *peerv1.PlaceRequest, stream peerv1.Scheduling_PlaceServer) error {
	now := time.Now()
	request := generationFromWire(r.GetGeneration())
	request.Arrived = now.Add(-millis(r.GetArrivedAgeMillis()))
	request.Deadline = now.Add(millis(r.GetHoldMillis()))
	// The error is ignored: if sending fails, the stream's context ends as well.
	sendHold := func(d *port.Decision) { _ = stream.Send(decisionToWire(d)) }
	d := s.Scheduler.Place(stream.Context(), &request, sendHold)
	return stream.Send(decisionToWire(&d))
}

// Relocate chooses the runner that takes over a run.
func (s *SchedulingService) Relocate(_ context.Context, r *peerv1.RelocateRequest) (*peerv1.PlaceReply, error) {
	run := runFromWire(r.GetRun())
	d := s.Scheduler.Relocate(&run, port.RelocationConstraints{
		Excluded: r.GetExcluded(), FailureDomain: r.GetFailureDomain(),
	})
	return decisionToWire(&d), nil
}

// Update applies changes of another daemon's runs.
func (s *SchedulingService) Update(_ context.Context, r *peerv1.RunsUpdate) (*peerv1.RunsUpdateReply, error) {
	s.Scheduler.Update(mapSlice(r.GetAdopted(), runFromWire), mapSlice(r.GetEvents(), eventFromWire))
	return &peerv1.RunsUpdateReply{}, nil
}

// Admit decides where and when one request may be sent.
func (s *SchedulingService) Admit(_ context.Context, r *peerv1.AdmitRequest) (*peerv1.AdmitReply, error) {
	asks := mapSlice(r.GetEndpoints(), func(e *peerv1.LimitedEndpoint) ratelimit.Candidate {
		return ratelimit.Candidate{Endpoint: e.GetId(), Limit: ratelimit.Limit{
			PerSecond: rateLimitFromWire(e.GetRateLimit()), IsCold: e.GetCold(),
			Burst: time.Duration(e.GetBurstMicros()) * time.Microsecond, MaxRefusals: int(e.GetMaxRefusals()),
		}, Refused: int(e.GetRefused())}
	})
	g := s.Admitter.AdmitLocally(r.GetPool(), asks, millis(r.GetPatienceMillis()))
	return &peerv1.AdmitReply{Endpoint: g.Endpoint, WaitMicros: g.Wait.Microseconds()}, nil
}

// SchedulingPeer is a client of another daemon's scheduler.
type SchedulingPeer struct {
	conn *grpc.ClientConn
	err  error
}

var _ scheduling.Peer = (*SchedulingPeer)(nil)

// DialScheduling returns a client of the scheduler at a peer address. An error is
// returned by the client's calls.
func DialScheduling(address string, options ...grpc.DialOption) *SchedulingPeer {
	conn, err := Dial(address, options...)
	return &SchedulingPeer{conn: conn, err: err}
}

// Close closes the connection.
func (p *SchedulingPeer) Close() {
	if p.conn != nil {
		// The error is ignored: the peer detects the closed connection.
		_ = p.conn.Close()
	}
}

// Place requests a placement. It fails if the peer sends neither a decision nor that
// it holds the request within answerTimeout. onHold is called for each hold decision.
func (p *SchedulingPeer) Place(ctx context.Context, r *port.GenerationRequest, onHold func(*port.Decision)) (port.Decision, error) {
	if p.err != nil {
		return port.Decision{}, p.err
	}
	now := time.Now()
	hold := r.Deadline.Sub(now)
	ctx, cancel := context.WithTimeout(ctx, hold+holdMargin)
	defer cancel()
	answerTimer := time.AfterFunc(answerTimeout, cancel)
	defer answerTimer.Stop()
	stream, err := peerv1.NewSchedulingClient(p.conn).Place(ctx, &peerv1.PlaceRequest{
		Generation:       generationToWire(r),
		ArrivedAgeMillis: now.Sub(r.Arrived).Milliseconds(), HoldMillis: hold.Milliseconds(),
	})
	if err != nil {
		return port.Decision{}, merry.Prepend(ErrPeerLost, err.Error())
	}
	for {
		reply, err := stream.Recv()
		if err == io.EOF {
			return port.Decision{}, merry.Prepend(ErrPeerLost, "the stream ended without a decision")
		}
		if err != nil {
			return port.Decision{}, merry.Prepend(ErrPeerLost, err.Error())
		}
		answerTimer.Stop()
		d := decisionFromWire(reply)
		if d.Verdict != port.VerdictHold {
			return d, nil
		}
		onHold(&d)
	}
}

// Relocate requests a runner that takes over a run.
func (p *SchedulingPeer) Relocate(ctx context.Context, run *port.RunningRequest, constraints port.RelocationConstraints) (port.Decision, error) {
	if p.err != nil {
		return port.Decision{}, p.err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	reply, err := peerv1.NewSchedulingClient(p.conn).Relocate(ctx, &peerv1.RelocateRequest{
		Run: runToWire(*run), Excluded: constraints.Excluded, FailureDomain: constraints.FailureDomain,
	})
	if err != nil {
		return port.Decision{}, merry.Prepend(ErrPeerLost, err.Error())
	}
	return decisionFromWire(reply), nil
}

// Update reports changes of this daemon's runs.
func (p *SchedulingPeer) Update(ctx context.Context, adopted []port.RunningRequest, events []scheduling.RunEvent) error {
	if p.err != nil {
		return p.err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, err := peerv1.NewSchedulingClient(p.conn).Update(ctx, &peerv1.RunsUpdate{
		Adopted: mapSlice(adopted, runToWire), Events: mapSlice(events, eventToWire),
	})
	if err != nil {
		return merry.Prepend(ErrPeerLost, err.Error())
	}
	return nil
}

// Admit requests permission to send one request. It returns
// scheduling.ErrAdmissionUnsupported if the peer's build does not support the call.
func (p *SchedulingPeer) Admit(ctx context.Context, pool string, asks []ratelimit.Candidate, patience time.Duration) (ratelimit.Grant, error) {
	if p.err != nil {
		return ratelimit.Grant{}, p.err
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	reply, err := peerv1.NewSchedulingClient(p.conn).Admit(ctx, &peerv1.AdmitRequest{
		Pool: pool,
		Endpoints: mapSlice(asks, func(a ratelimit.Candidate) *peerv1.LimitedEndpoint {
			return &peerv1.LimitedEndpoint{
				Id: a.Endpoint, RateLimit: a.PerSecond, Cold: a.IsCold,
				BurstMicros: a.Burst.Microseconds(), MaxRefusals: uint32(a.MaxRefusals), Refused: uint32(a.Refused),
			}
		}),
		PatienceMillis: patience.Milliseconds(),
	})
	switch {
	case status.Code(err) == codes.Unimplemented:
		return ratelimit.Grant{}, scheduling.ErrAdmissionUnsupported
	case err != nil:
		return ratelimit.Grant{}, merry.Prepend(ErrPeerLost, err.Error())
	}
	return ratelimit.Grant{Endpoint: reply.GetEndpoint(), Wait: time.Duration(reply.GetWaitMicros()) * time.Microsecond}, nil
}

func millis(v int64) time.Duration { return time.Duration(v) * time.Millisecond }

func generationToWire(r *port.GenerationRequest) *peerv1.Generation {
	return &peerv1.Generation{
		RequestId: r.RequestID, Organisation: r.Organisation, Pool: r.Pool, Model: r.Model,
		PromptTokens: uint32(r.PromptTokens), MaxTokens: uint32(r.MaxTokens), PrefixHashes: r.PrefixHashes,
		Excluded: r.Excluded, Attempt: uint32(r.Attempt), Route: r.Route, LengthHint: uint32(r.LengthHint),
		ObjectiveMillis: r.Objective.Milliseconds(), Rank: int32(r.Rank), TokenGapMicros: r.TokenGap.Microseconds(),
		NotSent: r.NotSent,
	}
}

func generationFromWire(g *peerv1.Generation) port.GenerationRequest {
	return port.GenerationRequest{
		RequestID: g.GetRequestId(), Organisation: g.GetOrganisation(), Pool: g.GetPool(), Model: g.GetModel(),
		PromptTokens: int(g.GetPromptTokens()), MaxTokens: int(g.GetMaxTokens()), PrefixHashes: g.GetPrefixHashes(),
		Excluded: g.GetExcluded(), Attempt: int(g.GetAttempt()), Route: g.GetRoute(), LengthHint: int(g.GetLengthHint()),
		Objective: millis(g.GetObjectiveMillis()), Rank: int(g.GetRank()),
		TokenGap: time.Duration(g.GetTokenGapMicros()) * time.Microsecond, NotSent: g.GetNotSent(),
	}
}

func runToWire(r port.RunningRequest) *peerv1.Run {
	return &peerv1.Run{Generation: generationToWire(&r.Request), Endpoint: r.EndpointID, Tokens: uint32(r.Tokens)}
}

func runFromWire(r *peerv1.Run) port.RunningRequest {
	return port.RunningRequest{
		Request: generationFromWire(r.GetGeneration()), EndpointID: r.GetEndpoint(), Tokens: int(r.GetTokens()),
	}
}

var verdicts = map[string]port.Verdict{
	port.VerdictPlace.String():  port.VerdictPlace,
	port.VerdictHold.String():   port.VerdictHold,
	port.VerdictRefuse.String(): port.VerdictRefuse,
}

func decisionToWire(d *port.Decision) *peerv1.PlaceReply {
	return &peerv1.PlaceReply{
		Verdict: d.Verdict.String(), Reason: d.Reason,
		Endpoint:         endpointToWire(membership.Endpoint{Endpoint: d.Endpoint}),
		Candidates:       mapSlice(d.Candidates, candidateToWire),
		RetryAfterMillis: d.RetryAfter.Milliseconds(), ConfigurationVersion: d.ConfigurationVersion,
		Priority: int32(d.Priority),
	}
}

func decisionFromWire(r *peerv1.PlaceReply) port.Decision {
	verdict, known := verdicts[r.GetVerdict()]
	if !known {
		// An unknown verdict, such as one of a newer daemon, must not place a run.
		verdict = port.VerdictRefuse
	}
	return port.Decision{
		Verdict: verdict, Reason: r.GetReason(),
		Endpoint:   endpointFromWire(r.GetEndpoint()).Endpoint,
		Candidates: mapSlice(r.GetCandidates(), candidateFromWire),
		RetryAfter: millis(r.GetRetryAfterMillis()), ConfigurationVersion: r.GetConfigurationVersion(),
		Priority: int(r.GetPriority()),
	}
}

func candidateToWire(c port.CandidateScore) *peerv1.Candidate {
	return &peerv1.Candidate{
		Endpoint: c.Endpoint, Score: float32(c.Score), Overflow: float32(c.Overflow), Gap: float32(c.Gap),
		Prefill: float32(c.Prefill), Prefix: float32(c.Prefix), Excluded: c.Excluded, Slowness: float32(c.Slowness),
	}
}

func candidateFromWire(c *peerv1.Candidate) port.CandidateScore {
	return port.CandidateScore{
		Endpoint: c.GetEndpoint(), Score: float64(c.GetScore()), Overflow: float64(c.GetOverflow()), Gap: float64(c.GetGap()),
		Prefill: float64(c.GetPrefill()), Prefix: float64(c.GetPrefix()), Excluded: c.GetExcluded(),
		Slowness: float64(c.GetSlowness()),
	}
}

// finishKinds maps the wire names of finishes to their kinds. A running run has the
// empty name.
var finishKinds = map[string]port.FinishKind{
	"":            0,
	"done":        port.FinishDone,
	"not_started": port.FinishNotStarted,
	"failed":      port.FinishFailed,
	"cancelled":   port.FinishCancelled,
	"elsewhere":   port.FinishUntracked,
}

// Wire names of the results of relocations.
const (
	relocationMoved  = "moved"
	relocationStayed = "stayed"
)

func eventToWire(e scheduling.RunEvent) *peerv1.RunEvent {
	out := &peerv1.RunEvent{RequestId: e.RequestID, Tokens: uint32(e.Tokens)}
	for name, kind := range finishKinds {
		if kind == e.Finish {
			out.Finish = name
		}
	}
	switch {
	case e.Relocated && e.Moved:
		out.Relocation = relocationMoved
	case e.Relocated:
		out.Relocation = relocationStayed
	}
	return out
}

func eventFromWire(e *peerv1.RunEvent) scheduling.RunEvent {
	finish, known := finishKinds[e.GetFinish()]
	if !known {
		finish = port.FinishUntracked
	}
	return scheduling.RunEvent{
		RequestID: e.GetRequestId(), Tokens: int(e.GetTokens()), Finish: finish,
		Relocated: e.GetRelocation() != "", Moved: e.GetRelocation() == relocationMoved,
	}
}
