package keeper

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Intervals of links to other keepers.
const (
	linkCheckInterval = 250 * time.Millisecond
	// rejoinAttempt is how long one attempt to connect to a keeper that isn't
	// known to be live lasts.
	rejoinAttempt = 4 * time.Second
)

// maintainLinks keeps a subscription to each neighbour on the ring of live
// keepers, and one more to a keeper that isn't known to be live.
func (k *Keeper) maintainLinks(ctx context.Context) error {
	links := &linkSet{running: map[string]context.CancelFunc{}}
	defer links.stop()
	rejoin := ""
	var rejoinUntil time.Time
	for {
		now := time.Now()
		if now.After(rejoinUntil) {
			rejoin, rejoinUntil = k.rejoinCandidate(), now.Add(rejoinAttempt)
		}
		wanted := slices.Clone(k.memberView().neighbours)
		if len(wanted) == 0 {
			wanted = k.configuredPeers()
		}
		if rejoin != "" && !slices.Contains(wanted, rejoin) {
			wanted = append(wanted, rejoin)
		}
		links.update(ctx, wanted, k.maintainLink)
		if err := pause(ctx, linkCheckInterval); err != nil {
			return err
		}
	}
}

// configuredPeers returns the configured keepers other than this one. A keeper
// that knows no other keeper connects to all of them at once. After all daemons
// have started together, any single one may be the last to come up, and daemons
// that aren't connected place requests by their own state alone.
func (k *Keeper) configuredPeers() []string {
	return slices.DeleteFunc(slices.Clone(*k.seeds.Load()), func(address string) bool {
		return address == k.options.Self.PeerAddress
	})
}

// rejoinCandidate picks a keeper that isn't known to be live: one from the
// settings that isn't known at all, or one that is suspect or dead. After a
// partition heals, each side holds the other for dead and has a complete ring
// of its own; without such a link the two would stay separate.
func (k *Keeper) rejoinCandidate() string {
	known := map[string]bool{k.options.Self.PeerAddress: true}
	var candidates []string
	for m := range k.node.Members.All() {
		if m.Role != port.RoleKeeper {
			continue
		}
		if !m.Reachable() && !m.Left {
			candidates = append(candidates, m.PeerAddress)
		}
		known[m.PeerAddress] = true
	}
	for _, address := range *k.seeds.Load() {
		if !known[address] {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.N(len(candidates))]
}

// smallFleetSize is the number of keepers up to which each link carries all
// endpoints.
const smallFleetSize = 32

// SendsEndpoints reports whether a link that a keeper has opened to this one
// carries endpoints. When hundreds of keepers start together, all connect to
// the few configured ones, and sending each of them thousands of endpoints
// would take minutes of a small host's processor time and most of the traffic
// between failure domains. On these links the keepers only need to learn of
// each other; their neighbours on the ring then send them the endpoints.
func (k *Keeper) SendsEndpoints(to *membership.Member) bool {
	ring := k.memberView().ring
	return to.Role != port.RoleKeeper || ring.Len() <= smallFleetSize || ring.Connects(to.ID, k.options.Self.ID)
}

// maintainLink keeps a subscription to one keeper until the context ends.
func (k *Keeper) maintainLink(ctx context.Context, address string) {
	for ctx.Err() == nil {
		k.runLink(ctx, address)
		if pause(ctx, k.options.LinkRetry+rand.N(k.options.LinkRetry)) != nil {
			return
		}
	}
}

func (k *Keeper) runLink(ctx context.Context, address string) {
	var traffic grpcpeer.Traffic
	options := append([]grpc.DialOption{traffic.DialOption()}, k.options.DialOptions...)
	conn, err := grpcpeer.Dial(address, options...)
	if err != nil {
		return
	}
	defer conn.Close()
	began := time.Now()
	s := &grpcpeer.Subscriber{
		Node: k.node, Identity: k.identity, Peer: address,
		HeartbeatEvery: k.options.HeartbeatEvery, SilenceAfter: k.options.SilenceAfter,
		Relay: k,
	}
	err = s.Run(ctx, conn)
	now := time.Now()
	k.bytesSent.Inc(traffic.Sent())
	k.bytesReceived.Inc(traffic.Received())
	if ctx.Err() == nil {
		k.options.Logger.Info().Str("event", "keeper_link_lost").Str("keeper", address).
			Int64("after_ms", now.Sub(began).Milliseconds()).Int64("quiet_ms", *port.AgeMillis(traffic.SinceReceived(now))).
			Int64("bytes_sent", traffic.Sent()).Int64("bytes_received", traffic.Received()).Err(err).Msg("")
	}
}

// linkSet runs one function for each wanted address.
type linkSet struct {
	running map[string]context.CancelFunc
	group   sync.WaitGroup
}

func (l *linkSet) update(ctx context.Context, wanted []string, run func(ctx context.Context, address string)) {
	for address, cancel := range l.running {
		if !slices.Contains(wanted, address) {
			cancel()
			delete(l.running, address)
		}
	}
	for _, address := range wanted {
		if l.running[address] != nil {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l.running[address] = cancel
		l.group.Go(func() { run(linkCtx, address) })
	}
}

func (l *linkSet) stop() {
	for _, cancel := range l.running {
		cancel()
	}
	l.group.Wait()
}
