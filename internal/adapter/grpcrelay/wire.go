// Package grpcrelay passes callers' requests on to other daemons over gRPC, and serves
// those of other daemons. The gateway decides which requests are passed on and to whom.
package grpcrelay

import (
	"net/http"
	"time"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/gateway"
)

// chunkBytes is the largest part of a body in one message. A large body thus takes
// little memory beside its buffer, and leaves room on the connection for others.
const chunkBytes = 32 << 10

func headerToWire(now time.Time, r *gateway.RelayedRequest) *peerv1.RelayHeader {
	out := &peerv1.RelayHeader{
		RequestId: r.ID, Method: r.Method, Target: r.Target, Path: r.Path, Host: r.Host,
		Fields: fieldsToWire(r.Header), KeySha256: r.KeySHA256,
		ArrivedAgeMillis: now.Sub(r.Arrived).Milliseconds(), TimeoutMillis: r.CallerTimeout.Milliseconds(),
		Attempts: uint32(r.Attempts), MayHaveRun: uint32(r.MayHaveRun), Tried: r.Tried,
		ConfigurationVersion: r.Admission.Version, From: r.From, BodyBytes: uint64(len(r.Body)),
		Repeatable: r.Repeatable,
	}
	if g := r.Generation; g != nil {
		out.Generation = &peerv1.RelayGeneration{
			Model: g.Model, PromptTokens: uint32(g.PromptTokens), MaxTokens: uint32(g.MaxTokens), LengthHint: uint32(g.LengthHint),
		}
		for _, p := range g.Parts {
			out.Generation.Parts = append(out.Generation.Parts, &peerv1.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
		}
	}
	return out
}

func headerFromWire(now time.Time, h *peerv1.RelayHeader) *gateway.RelayedRequest {
	out := &gateway.RelayedRequest{
		Request: gateway.Request{
			ID: h.GetRequestId(), Method: h.GetMethod(), Target: h.GetTarget(), Path: h.GetPath(), Host: h.GetHost(),
			Header: fieldsFromWire(h.GetFields()), KeySHA256: h.GetKeySha256(),
			Arrived: now.Add(-millis(h.GetArrivedAgeMillis())), CallerTimeout: millis(h.GetTimeoutMillis()),
		},
		Attempts: int(h.GetAttempts()), MayHaveRun: int(h.GetMayHaveRun()), Tried: h.GetTried(),
		From: h.GetFrom(), SenderVersion: h.GetConfigurationVersion(), BodyBytes: h.GetBodyBytes(),
		Repeatable: h.GetRepeatable(),
	}
	if g := h.GetGeneration(); g != nil {
		out.Generation = &gateway.GenerationParams{
			Model: g.GetModel(), PromptTokens: int(g.GetPromptTokens()), MaxTokens: int(g.GetMaxTokens()), LengthHint: int(g.GetLengthHint()),
		}
		for _, p := range g.GetParts() {
			out.Generation.Parts = append(out.Generation.Parts, gateway.PromptPart{ID: p.GetId(), Tokens: int(p.GetTokens())})
		}
	}
	return out
}

func millis(v int64) time.Duration { return time.Duration(max(0, v)) * time.Millisecond }

func fieldsToWire(h http.Header) []*peerv1.HeaderField {
	out := make([]*peerv1.HeaderField, 0, len(h))
	for name, values := range h {
		out = append(out, &peerv1.HeaderField{Name: name, Values: values})
	}
	return out
}

func fieldsFromWire(fields []*peerv1.HeaderField) http.Header {
	out := make(http.Header, len(fields))
	for _, f := range fields {
		out[f.GetName()] = f.GetValues()
	}
	return out
}

func endToWire(refusal *gateway.Refusal, endpoint string) *peerv1.RelayReply {
	end := &peerv1.RelayEnd{Endpoint: endpoint}
	if refusal != nil {
		end = &peerv1.RelayEnd{
			Cause: string(refusal.Cause), Outcome: string(refusal.Outcome), Detail: refusal.Detail, DecisionId: refusal.DecisionID,
			RetryAfterMicros: refusal.RetryAfter.Microseconds(), ResponseStarted: refusal.ResponseStarted,
			ConfigurationVersion: refusal.Version, Endpoint: endpoint,
		}
	}
	return &peerv1.RelayReply{Part: &peerv1.RelayReply_End{End: end}}
}

func endFromWire(end *peerv1.RelayEnd) *gateway.RelayResult {
	result := &gateway.RelayResult{Endpoint: end.GetEndpoint()}
	if end.GetCause() != "" {
		result.Refusal = &gateway.Refusal{
			Cause: gateway.Cause(end.GetCause()), Outcome: outcomeFromWire(end.GetOutcome()), Detail: end.GetDetail(), DecisionID: end.GetDecisionId(),
			RetryAfter: time.Duration(end.GetRetryAfterMicros()) * time.Microsecond, ResponseStarted: end.GetResponseStarted(),
			Version: end.GetConfigurationVersion(),
		}
	}
	return result
}

// outcomeFromWire returns the outcome that a peer states. One that isn't known here proves
// nothing.
func outcomeFromWire(text string) outcome.Outcome {
	switch o := outcome.Outcome(text); o {
	case outcome.Done, outcome.NotRun, outcome.Failed:
		return o
	}
	return outcome.Unknown
}
