package grpcpeer

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/tcpopt"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ClaimService implements the claim methods of the keeper's service.
type ClaimService interface {
	Claim(context.Context, *peerv1.ClaimRequest) (*peerv1.ClaimReply, error)
	Settle(context.Context, *peerv1.SettleRequest) (*peerv1.SettleReply, error)
	LookupClaim(context.Context, *peerv1.LookupClaimRequest) (*peerv1.LookupClaimReply, error)
}

// Listener handles the members that subscribe to a keeper.
type Listener interface {
	// HandleHeartbeat handles a heartbeat; first is set for the first one of a stream.
	HandleHeartbeat(m membership.Member, b membership.Heartbeat, first bool)
	// HandleStreamEnd handles the end of a member's stream; b is its last heartbeat.
	HandleStreamEnd(b membership.Heartbeat)
	// SendsEndpoints reports whether endpoints are sent on the link to a member.
	SendsEndpoints(to *membership.Member) bool
	// Directory returns the members that send their heartbeats to this keeper.
	Directory() []*peerv1.Member
	// Probe tries to reach a member's peer address.
	Probe(ctx context.Context, address string) membership.ProbeResult
}

// KeeperService implements the Keeper service. Claims are delegated to a
// ClaimService.
type KeeperService struct {
	peerv1.UnimplementedKeeperServer
	Node     *node.Node
	Listener Listener
	// Claims may be nil. Claim calls then return Unimplemented.
	Claims ClaimService
	// Relay exchanges the status of the platform with subscribing keepers.
	Relay          PlatformRelay
	HeartbeatEvery time.Duration
}

// Register registers the service with a server.
func (k *KeeperService) Register(r grpc.ServiceRegistrar) { peerv1.RegisterKeeperServer(r, k) }

// ServerOptions returns the options of every daemon's peer server.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.KeepaliveParams(tcpopt.PeerServer()),
		grpc.ConnectionTimeout(5 * time.Second),
	}
}

// Subscribe runs one subscription.
func (k *KeeperService) Subscribe(stream peerv1.Keeper_SubscribeServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetMember().GetId() == "" {
		return status.Error(codes.InvalidArgument, "the first heartbeat must name its member")
	}
	link := k.Node.Open(false)
	defer link.Close()
	session := &session{listener: k.Listener, link: link}
	if first.GetMember().GetRole() == string(port.RoleKeeper) {
		session.relay = k.Relay
	}
	session.receive(first)
	received := make(chan error, 1)
	// From here on, only the receiving goroutine uses the session. It ends soon after
	// this call returns, as that ends the stream.
	go func() { received <- session.receiveAll(stream) }()
	statusSender := platformStatusSender{relay: session.relay}
	return k.sendAll(stream, link, &statusSender, received)
}

func (k *KeeperService) sendAll(stream peerv1.Keeper_SubscribeServer, link *node.Link, statusSender *platformStatusSender, received <-chan error) error {
	ticker := time.NewTicker(orDefault(k.HeartbeatEvery, DefaultHeartbeatEvery))
	defer ticker.Stop()
	for {
		var update *peerv1.Update
		select {
		case err := <-received:
			return err
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-ticker.C:
			link.Tick()
			update = k.nextUpdate(link)
			// The update is sent even if it is empty, as it shows that the keeper is
			// alive.
			status := statusSender.next(time.Now(), true)
			update.PlatformAgeMillis, update.PlatformTry = status.ageMillis, status.try
		case <-link.Wakeups():
			if err := pause(stream.Context(), coalesceDelay); err != nil {
				return err
			}
			m := link.Next()
			status := statusSender.next(time.Now(), false)
			if m.Empty() && status.empty() {
				continue
			}
			update = updateToWire(&m)
			update.PlatformAgeMillis, update.PlatformTry = status.ageMillis, status.try
		}
		if err := stream.Send(update); err != nil {
			return err
		}
	}
}

func (k *KeeperService) nextUpdate(link *node.Link) *peerv1.Update {
	m := link.Next()
	return updateToWire(&m)
}

// session is the receiving side of one subscription.
type session struct {
	listener Listener
	link     *node.Link
	member   membership.Member
	lastBeat membership.Heartbeat
	started  bool
	arrivals transit
	// relay is nil if the member is not a keeper.
	relay PlatformRelay
}

func (s *session) receiveAll(stream peerv1.Keeper_SubscribeServer) error {
	defer func() { s.listener.HandleStreamEnd(s.lastBeat) }()
	for {
		h, err := stream.Recv()
		if err != nil {
			return err
		}
		s.receive(h)
	}
}

func (s *session) receive(h *peerv1.Heartbeat) {
	if w := h.GetMember(); w.GetId() != "" {
		s.member = memberFromWire(w)
		s.link.SetPeer(s.member.ID)
	}
	if h.GetSequence() != 0 {
		// Checked with each heartbeat, as it depends on the ring of keepers, which
		// changes.
		s.link.PauseEndpoints(!s.listener.SendsEndpoints(&s.member))
	}
	m := heartbeatFromWire(s.arrivals.sentAt(time.Now(), h.GetSentMicros()), h)
	s.link.Receive(&m)
	if s.relay != nil {
		s.relay.ReceiveStatus(statusFromWire(time.Now(), h.GetPlatformAgeMillis(), h.GetPlatformTry()))
	}
	// Between heartbeats a subscriber also sends changes. Such a message has no
	// sequence and does not count as a heartbeat.
	if h.GetSequence() == 0 {
		return
	}
	if w := h.GetMember(); w != nil {
		s.lastBeat.HighestVersion, s.lastBeat.RecordsDigest = w.GetHighestVersion(), w.GetRecordsDigest()
	}
	s.member.Sequence = h.GetSequence()
	s.lastBeat.ID, s.lastBeat.Incarnation, s.lastBeat.Sequence = s.member.ID, s.member.Incarnation, s.member.Sequence
	s.listener.HandleHeartbeat(s.member, s.lastBeat, !s.started)
	s.started = true
}

// Claim delegates to the claim service.
func (k *KeeperService) Claim(ctx context.Context, r *peerv1.ClaimRequest) (*peerv1.ClaimReply, error) {
	if k.Claims == nil {
		return k.UnimplementedKeeperServer.Claim(ctx, r)
	}
	return k.Claims.Claim(ctx, r)
}

// Settle delegates to the claim service.
func (k *KeeperService) Settle(ctx context.Context, r *peerv1.SettleRequest) (*peerv1.SettleReply, error) {
	if k.Claims == nil {
		return k.UnimplementedKeeperServer.Settle(ctx, r)
	}
	return k.Claims.Settle(ctx, r)
}

// LookupClaim delegates to the claim service.
func (k *KeeperService) LookupClaim(ctx context.Context, r *peerv1.LookupClaimRequest) (*peerv1.LookupClaimReply, error) {
	if k.Claims == nil {
		return k.UnimplementedKeeperServer.LookupClaim(ctx, r)
	}
	return k.Claims.LookupClaim(ctx, r)
}

// Directory lists the members that send their heartbeats to this keeper.
func (k *KeeperService) Directory(context.Context, *peerv1.DirectoryRequest) (*peerv1.DirectoryReply, error) {
	return &peerv1.DirectoryReply{Members: k.Listener.Directory()}, nil
}

// Probe tries to reach a member on behalf of another keeper.
func (k *KeeperService) Probe(ctx context.Context, r *peerv1.ProbeRequest) (*peerv1.ProbeReply, error) {
	return &peerv1.ProbeReply{Result: string(k.Listener.Probe(ctx, r.GetAddress()))}, nil
}
