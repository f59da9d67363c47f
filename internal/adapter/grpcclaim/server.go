package grpcclaim

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// MaxEntries is the maximum number of claims or outcomes in one call.
const MaxEntries = 4096

// Store stores a keeper's claims. claimstore.Store implements it.
type Store interface {
	Claim(ctx context.Context, entries []port.ClaimEntry) []claim.Result
	Settle(ctx context.Context, states []port.ClaimState) int
	Lookup(ctx context.Context, key claim.KeyHash) (port.ClaimState, bool, error)
	Retention() time.Duration
}

// Server implements the claim methods of the Keeper service.
type Server struct {
	store Store
}

// NewServer returns a Server that uses the store.
func NewServer(store Store) *Server { return &Server{store: store} }

// Claim decides on all entries and returns the results in the same order.
func (s *Server) Claim(ctx context.Context, in *peerv1.ClaimRequest) (*peerv1.ClaimReply, error) {
	if len(in.GetEntries()) > MaxEntries {
		return nil, status.Errorf(codes.InvalidArgument, "more than %d claims", MaxEntries)
	}
	entries := make([]port.ClaimEntry, len(in.GetEntries()))
	for i, m := range in.GetEntries() {
		e, ok := entryFromWire(m)
		if !ok {
			return nil, status.Errorf(codes.InvalidArgument, "claim %d: wrong key hash or ids", i)
		}
		entries[i] = e
	}
	out := &peerv1.ClaimReply{Results: make([]*peerv1.ClaimResult, len(entries))}
	for i, r := range s.store.Claim(ctx, entries) {
		out.Results[i] = resultToWire(&r)
	}
	out.RetentionMillis = s.store.Retention().Milliseconds()
	return out, nil
}

// Settle records outcomes and returns how many of them are stored at the platform.
func (s *Server) Settle(ctx context.Context, in *peerv1.SettleRequest) (*peerv1.SettleReply, error) {
	if len(in.GetStates()) > MaxEntries {
		return nil, status.Errorf(codes.InvalidArgument, "more than %d outcomes", MaxEntries)
	}
	states := make([]port.ClaimState, len(in.GetStates()))
	for i, m := range in.GetStates() {
		st, ok := stateFromWire(m)
		if !ok {
			return nil, status.Errorf(codes.InvalidArgument, "outcome %d: wrong key hash, ids or outcome", i)
		}
		states[i] = st
	}
	return &peerv1.SettleReply{Settled: int32(s.store.Settle(ctx, states))}, nil
}

// LookupClaim returns the state of a key as stored at the platform.
func (s *Server) LookupClaim(ctx context.Context, in *peerv1.LookupClaimRequest) (*peerv1.LookupClaimReply, error) {
	var key claim.KeyHash
	if !copyKey(&key, in.GetKeyHash()) {
		return nil, status.Error(codes.InvalidArgument, "wrong key hash")
	}
	st, found, err := s.store.Lookup(ctx, key)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	out := &peerv1.LookupClaimReply{Found: found}
	if found {
		out.State = stateToWire(&st)
	}
	return out, nil
}
