package router

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// LookupRequest returns the status of a request. The id names the router that
// served it, so only that router is queried. If it has no answer and a key is
// given, the status comes from the claim of the key; otherwise the status is
// unknown, as no other router can know it.
func (r *Router) LookupRequest(ctx context.Context, organisation, requestID, idempotencyKey string) RequestStatus {
	if s, known := r.lookupStatus(ctx, requestID); known {
		if s.Organisation != organisation {
			return unknownRequest(requestID, "no such request of this organisation")
		}
		return s
	}
	if idempotencyKey != "" {
		if s, known := r.lookupByClaim(ctx, organisation, requestID, idempotencyKey); known {
			return s
		}
	}
	return unknownRequest(requestID, "the router that decided is gone or no longer remembers it; it may or may not have run")
}

// LocalStatusJSON returns the status of a request that this router served as JSON, for
// a peer, and false if it has no record of the request.
func (r *Router) LocalStatusJSON(requestID string) ([]byte, bool) {
	s, known := r.statuses.get(requestID)
	if !known {
		return nil, false
	}
	raw, err := json.Marshal(s)
	return raw, err == nil
}

func unknownRequest(requestID, reason string) RequestStatus {
	return RequestStatus{
		RequestID: requestID, State: RequestUnknown, Outcome: outcome.Unknown, Reason: reason,
	}
}

// lookupStatus returns the status from this router or from the router that the id
// names.
func (r *Router) lookupStatus(ctx context.Context, requestID string) (RequestStatus, bool) {
	dot := strings.LastIndexByte(requestID, '.')
	if dot < 0 {
		return RequestStatus{}, false
	}
	owner := requestID[:dot]
	if owner == r.o.ID {
		return r.statuses.get(requestID)
	}
	for _, m := range r.View.Members() {
		if m.ID == owner && m.Role == port.RoleRouter && m.State != port.MemberDead {
			return r.lookupAtPeer(ctx, m.PeerAddress, requestID)
		}
	}
	return RequestStatus{}, false
}

func (r *Router) lookupAtPeer(ctx context.Context, address, requestID string) (RequestStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.o.PeerTimeout)
	defer cancel()
	raw, found, err := r.Peers.LookupRequest(ctx, address, requestID)
	if err != nil || !found {
		return RequestStatus{}, false
	}
	var s RequestStatus
	if err := json.Unmarshal(raw, &s); err != nil || s.RequestID != requestID {
		return RequestStatus{}, false
	}
	return s, true
}

func (r *Router) lookupByClaim(ctx context.Context, organisation, requestID, key string) (RequestStatus, bool) {
	ctx, cancel := context.WithTimeout(ctx, r.o.ClaimTimeout)
	defer cancel()
	state, found, err := r.Claimer.Lookup(ctx, newClaimKey(organisation, key).hash)
	if err != nil || !found || state.RequestID != requestID {
		return RequestStatus{}, false
	}
	s := RequestStatus{
		RequestID: requestID, State: RequestFinished, Outcome: claimedOutcome(state.Outcome),
		Organisation: organisation, Reason: "from the claim of its key", Attempts: 1,
	}
	if s.Outcome == outcome.Unknown {
		s.State = RequestUnknown
		s.Reason = "its key is claimed and its outcome was never recorded; it may or may not have run"
	}
	return s, true
}
