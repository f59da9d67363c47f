package grpcpeer

import (
	"context"

	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
)

// RouterService implements the Router service with the given functions.
type RouterService struct {
	peerv1.UnimplementedRouterServer
	// Snapshot returns the records and endpoints of the router, see View.Snapshot.
	Snapshot func() *peerv1.Update
	// Lookup returns the state of a request as JSON, as returned to callers. It may
	// be nil.
	Lookup func(requestID string) (document []byte, found bool)
}

// Register registers the service with a server.
func (s *RouterService) Register(r grpc.ServiceRegistrar) { peerv1.RegisterRouterServer(r, s) }

// Records returns the router's records and endpoints to a peer that starts while no
// keeper can be reached.
func (s *RouterService) Records(context.Context, *peerv1.RecordsRequest) (*peerv1.Update, error) {
	return s.Snapshot(), nil
}

// LookupRequest returns the state of a request that this router handled.
func (s *RouterService) LookupRequest(_ context.Context, r *peerv1.LookupRequestRequest) (*peerv1.LookupRequestReply, error) {
	if s.Lookup == nil {
		return &peerv1.LookupRequestReply{}, nil
	}
	document, found := s.Lookup(r.GetRequestId())
	return &peerv1.LookupRequestReply{Found: found, Json: document}, nil
}
