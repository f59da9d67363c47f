package router

import (
	"context"
	"strings"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ResumeRequest requests the remaining tokens of a run.
type ResumeRequest struct {
	RequestID    string
	Organisation string
	Token        string
	// From is the index of the first token that the caller has not received.
	From int
}

// Resume continues the stream of a run that any router may have dispatched. It
// neither dispatches nor cancels, so it can't start a second generation.
func (r *Router) Resume(ctx context.Context, req *ResumeRequest, answer FrameWriter) *Refusal {
	if refusal := r.admit(req.RequestID); refusal != nil {
		return refusal
	}
	defer r.lifecycle.release()
	r.metrics.openRequests.Inc(1)
	defer r.metrics.openRequests.Dec(1)
	tok, err := r.o.Tokens.Decode(req.Token, req.Organisation)
	if err != nil {
		return &Refusal{Cause: CauseBadToken, Outcome: outcome.NotRun, Detail: err.Error(), LastIndex: -1}
	}
	endpoint := port.Endpoint{
		ID: tok.EndpointID, Kind: port.KindRunner, Address: tok.Address, Incarnation: tok.Incarnation,
	}
	r.recordResume(req, &tok)
	machine := stream.New(stream.Options{
		Generation: tok.Generation, Mode: stream.ModeAdopted, From: req.From, Resumable: true, Limits: r.o.Stream,
	})
	a := &attempt{
		r: r, machine: machine, answer: answer, endpoint: endpoint, resumeToken: req.Token,
		start: &port.GenerationStart{Endpoint: endpoint, Generation: tok.Generation},
	}
	result := a.run(ctx)
	if result.outcome == stream.OutcomeDone {
		r.finishResume(req, &tok, outcome.Done, result.reason)
		return nil
	}
	return r.refuseResume(req, &tok, machine, result)
}

// Cancel ends a run whose caller no longer wants it, to free the engine's memory.
// It returns the run's status from before the cancel. If the engine doesn't answer,
// the cancel is queued and retried.
func (r *Router) Cancel(ctx context.Context, organisation, token string) (port.GenerationStatus, *Refusal) {
	tok, err := r.o.Tokens.Decode(token, organisation)
	if err != nil {
		return "", &Refusal{Cause: CauseBadToken, Outcome: outcome.NotRun, Detail: err.Error(), LastIndex: -1}
	}
	endpoint := port.Endpoint{
		ID: tok.EndpointID, Kind: port.KindRunner, Address: tok.Address, Incarnation: tok.Incarnation,
	}
	id := r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: requestIDOf(tok.Generation), Organisation: organisation,
		Verdict: verdictCancel, Reason: "the caller no longer wants " + tok.Generation, Endpoint: tok.EndpointID,
	})
	status, err := r.cancelOnce(ctx, endpoint, tok.Generation)
	if err == nil {
		return status, nil
	}
	r.cancelQueue.add(endpoint, tok.Generation)
	return "", &Refusal{
		Cause: CauseEndpointFailed, Outcome: outcome.Unknown, DecisionID: id, LastIndex: -1,
		Detail: "the engine does not answer; the cancel is repeated until it does",
	}
}

// requestIDOf returns the request id that a generation id contains.
func requestIDOf(generation string) string {
	if dot := strings.LastIndexByte(generation, '.'); dot > 0 {
		return generation[:dot]
	}
	return generation
}

func (r *Router) recordResume(req *ResumeRequest, tok *stream.Token) string {
	return r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: req.RequestID, Organisation: req.Organisation,
		Verdict: verdictResume, Reason: "a caller resumes " + tok.Generation, Endpoint: tok.EndpointID,
	})
}

func (r *Router) refuseResume(req *ResumeRequest, tok *stream.Token, m *stream.Machine, result attemptResult) *Refusal {
	refusal := &Refusal{
		Cause: CauseEndpointFailed, Outcome: outcome.Failed, Detail: result.reason, LastIndex: m.Next() - 1,
	}
	if result.outcome == stream.OutcomeRan {
		refusal.Cause = CauseGenerationNotHeld
	}
	if result.outcome == stream.OutcomeDetached {
		// The engine may still hold the generation, and another router may reach the
		// engine.
		refusal.Outcome = outcome.Unknown
		refusal.ResumeToken = req.Token
		refusal.RetryAfter = defaultRetryAfter
	}
	select {
	case <-r.lifecycle.handover:
		refusal.Cause = CauseStopping
	default:
	}
	refusal.DecisionID = r.finishResume(req, tok, refusal.Outcome, refusal.Error())
	return refusal
}

func (r *Router) finishResume(req *ResumeRequest, tok *stream.Token, o outcome.Outcome, reason string) string {
	r.statuses.put(RequestStatus{
		RequestID: req.RequestID, State: RequestFinished, Outcome: o, Reason: reason,
		Organisation: req.Organisation, Endpoint: tok.EndpointID, Generation: tok.Generation, Attempts: 1,
	})
	return r.recordDecision(&port.DecisionRecord{
		Subject: subjectRequest, SubjectID: req.RequestID, Organisation: req.Organisation,
		Verdict: verdictFinish, Reason: reason, Endpoint: tok.EndpointID, Outcome: string(o),
	})
}
