package grpcpeer

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
)

// Limits of a subscription. If a keeper freezes right before a change, the change is
// still received within seconds: after the silence timeout, a new connection and
// the first update of another keeper.
const (
	DefaultHeartbeatEvery = time.Second
	DefaultSilenceAfter   = 3 * time.Second
	// coalesceDelay is how long changes are delayed, so that a burst of them is sent
	// as one message.
	coalesceDelay = 20 * time.Millisecond
	// connectTimeout bounds one attempt to connect. The kernel resends a lost first
	// packet only after a second, so a peer whose host was down when the packet was
	// sent is reached earlier by a new attempt.
	connectTimeout = 300 * time.Millisecond
	// MaxMessageBytes is the maximum size of a message. The complete state of the
	// largest supported system is about 1 MB.
	MaxMessageBytes = 32 << 20
	// windowBytes is the flow control window of streams and connections.
	windowBytes = 1 << 20
)

// Errors of this adapter.
var (
	// ErrPeerSilent means that the stream is open, but no message arrived within
	// the silence timeout.
	ErrPeerSilent = merry.Sentinel("peer: no message within the silence timeout")
	// ErrPeerLost means that a connection, a stream or a call failed.
	ErrPeerLost = merry.Sentinel("peer: connection lost")
)

// Subscriber runs a subscription to a keeper.
type Subscriber struct {
	Node     *node.Node
	Identity *Identity
	// Peer is the keeper's name in logs.
	Peer string
	// HeartbeatEvery is the time between two heartbeats. SilenceAfter is the silence
	// timeout: the subscription ends if no message arrives for this long. They
	// default to DefaultHeartbeatEvery and DefaultSilenceAfter.
	HeartbeatEvery time.Duration
	SilenceAfter   time.Duration
	// Relay exchanges the status of the platform with the keeper. Only keepers set
	// it.
	Relay PlatformRelay
}

// Dial returns a connection to a peer address. It connects at the first call.
func Dial(address string, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	all := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)),
		// Fixed windows disable dynamic window sizing, with which each end sends a
		// ping for every message to measure the link. This would double the packets
		// on an idle link.
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		// Peers are addressed by IP and never reached through a proxy.
		grpc.WithNoProxy(),
		grpc.WithContextDialer(dialPeer),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: connectTimeout,
		}),
	}
	conn, err := grpc.NewClient("passthrough:///"+address, append(all, options...)...)
	if err != nil {
		return nil, merry.Prepend(ErrPeerLost, err.Error())
	}
	return conn, nil
}

// Run subscribes over the connection until the stream or the context ends. It
// returns ErrPeerSilent or ErrPeerLost.
func (s *Subscriber) Run(ctx context.Context, conn *grpc.ClientConn) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := peerv1.NewKeeperClient(conn).Subscribe(ctx)
	if err != nil {
		return merry.Prepend(ErrPeerLost, err.Error())
	}
	link := s.Node.Open(true)
	link.SetPeer(s.Peer)
	defer link.Close()
	// The kernel of a frozen keeper's host keeps the connection open, so only the
	// missing messages reveal it. Without this timeout, a router would keep using
	// outdated records.
	silenceAfter := orDefault(s.SilenceAfter, DefaultSilenceAfter)
	watchdog := time.AfterFunc(silenceAfter, func() { cancel(ErrPeerSilent) })
	defer watchdog.Stop()
	received := make(chan error, 1)
	go func() { received <- s.receive(stream, link, func() { watchdog.Reset(silenceAfter) }) }()
	sendErr := s.send(ctx, stream, link)
	cancel(sendErr)
	recvErr := <-received
	return endOfStream(ctx, sendErr, recvErr)
}

func endOfStream(ctx context.Context, errs ...error) error {
	if cause := context.Cause(ctx); errors.Is(cause, ErrPeerSilent) {
		return cause
	}
	for _, err := range errs {
		if err != nil {
			return merry.Prepend(ErrPeerLost, err.Error())
		}
	}
	return ErrPeerLost
}

func (s *Subscriber) receive(stream peerv1.Keeper_SubscribeClient, link *node.Link, onMessage func()) error {
	var arrivals transit
	for {
		update, err := stream.Recv()
		if err != nil {
			return err
		}
		onMessage()
		m := updateFromWire(arrivals.sentAt(time.Now(), update.GetSentMicros()), update)
		link.Receive(&m)
		if s.Relay != nil {
			s.Relay.ReceiveStatus(statusFromWire(time.Now(), update.GetPlatformAgeMillis(), update.GetPlatformTry()))
		}
		s.raiseIncarnation()
	}
}

// raiseIncarnation raises the incarnation of this daemon if the members contain a
// larger one.
func (s *Subscriber) raiseIncarnation() {
	if known, ok := s.Node.Members.Get(s.Identity.ID()); ok {
		s.Identity.ExceedIncarnation(known.Incarnation)
	}
}

func (s *Subscriber) send(ctx context.Context, stream peerv1.Keeper_SubscribeClient, link *node.Link) error {
	ticker := time.NewTicker(orDefault(s.HeartbeatEvery, DefaultHeartbeatEvery))
	defer ticker.Stop()
	var last selfReport
	statusSender := platformStatusSender{relay: s.Relay}
	if err := s.sendHeartbeat(stream, link, &last, &statusSender); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			link.Tick()
			if err := s.sendHeartbeat(stream, link, &last, &statusSender); err != nil {
				return err
			}
		case <-link.Wakeups():
			if err := s.sendChanges(ctx, stream, link, &statusSender); err != nil {
				return err
			}
		}
	}
}

// sendHeartbeat sends a heartbeat. Unchanged parts of the report in the last one are
// left out.
func (s *Subscriber) sendHeartbeat(stream peerv1.Keeper_SubscribeClient, link *node.Link, last *selfReport, statusSender *platformStatusSender) error {
	current := s.Identity.nextReport(s.Node.HighestHeld(), s.Node.Records.Digest())
	m := link.Next()
	h := heartbeatToWire(&m)
	status := statusSender.next(time.Now(), true)
	h.PlatformAgeMillis, h.PlatformTry = status.ageMillis, status.try
	h.Sequence = current.member.Sequence
	h.Member = changedMember(last, current)
	*last = *current
	return stream.Send(h)
}

// changedMember returns nil if the report is unchanged, and only the version and the
// digest if nothing else has changed.
func changedMember(last, current *selfReport) *peerv1.Member {
	before, after := last.member, current.member
	before.Sequence = after.Sequence
	order := membership.MemberOrder{}
	if order.Hash(before) != order.Hash(after) {
		w := memberToWire(after)
		w.HighestVersion, w.RecordsDigest = current.highest, current.digest
		return w
	}
	if last.highest != current.highest || last.digest != current.digest {
		return &peerv1.Member{HighestVersion: current.highest, RecordsDigest: current.digest}
	}
	return nil
}

// sendChanges sends the changes since the last message, without the sequence and the
// member of a heartbeat.
func (s *Subscriber) sendChanges(ctx context.Context, stream peerv1.Keeper_SubscribeClient, link *node.Link, statusSender *platformStatusSender) error {
	if err := pause(ctx, coalesceDelay); err != nil {
		return err
	}
	m := link.Next()
	status := statusSender.next(time.Now(), false)
	if m.Empty() && status.empty() {
		return nil
	}
	h := heartbeatToWire(&m)
	h.PlatformAgeMillis, h.PlatformTry = status.ageMillis, status.try
	return stream.Send(h)
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
