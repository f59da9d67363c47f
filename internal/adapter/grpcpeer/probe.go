package grpcpeer

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
)

// remoteProbeTimeout bounds a call that makes another keeper probe an address. It
// exceeds the time that the keeper itself allows for the probe.
const remoteProbeTimeout = 2 * time.Second

// Probe tries to reach the process at a peer address. It first tests whether a TCP
// connection can be opened, to distinguish a frozen process from a dead one: the
// kernel also accepts connections for a frozen process.
func Probe(ctx context.Context, address string, options ...grpc.DialOption) membership.ProbeResult {
	raw, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return membership.ProbeRefused
		}
		return membership.ProbeUnreachable
	}
	raw.Close()
	conn, err := Dial(address, options...)
	if err != nil {
		return membership.ProbeUnreachable
	}
	defer conn.Close()
	// Any reply shows that the process runs. A daemon that doesn't implement the
	// call replies Unimplemented.
	_, err = peerv1.NewRouterClient(conn).LookupRequest(ctx, &peerv1.LookupRequestRequest{})
	switch status.Code(err) {
	case codes.OK, codes.Unimplemented, codes.NotFound, codes.InvalidArgument, codes.Internal, codes.Unknown:
		return membership.ProbeAnswered
	default:
		return membership.ProbeAccepted
	}
}

// ProbeVia makes a keeper probe an address and returns its result. It returns
// ProbeUnreachable if the keeper can't be reached, which adds no evidence.
func ProbeVia(ctx context.Context, keeper, address string, options ...grpc.DialOption) membership.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, remoteProbeTimeout)
	defer cancel()
	conn, err := Dial(keeper, options...)
	if err != nil {
		return membership.ProbeUnreachable
	}
	defer conn.Close()
	reply, err := peerv1.NewKeeperClient(conn).Probe(ctx, &peerv1.ProbeRequest{Address: address})
	if err != nil {
		return membership.ProbeUnreachable
	}
	return membership.ProbeResult(reply.GetResult())
}

// FetchDirectory returns the members that send their heartbeats to a keeper.
func FetchDirectory(ctx context.Context, keeper string, options ...grpc.DialOption) ([]*peerv1.Member, error) {
	conn, err := Dial(keeper, options...)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	reply, err := peerv1.NewKeeperClient(conn).Directory(ctx, &peerv1.DirectoryRequest{})
	if err != nil {
		return nil, err
	}
	return reply.GetMembers(), nil
}
