package grpcpeer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Times of a view.
const (
	// DefaultCatchUpWithin bounds the wait of a started router for a version
	// that is known to be in force elsewhere and that nobody hands over, and
	// for a first endpoint.
	DefaultCatchUpWithin = 5 * time.Second
	// peersAfter is the wait for a keeper before peer routers are asked.
	peersAfter     = 1500 * time.Millisecond
	peerTimeout    = time.Second
	reconnectPause = 100 * time.Millisecond
)

// ViewOptions are what a router gives to its view.
type ViewOptions struct {
	// Self needs ID, Role, FailureDomain, Host and the addresses.
	Self port.Member
	// Keepers are the peer addresses tried first, Routers those of peers to
	// ask where no keeper can be reached and none is known from members.
	Keepers []string
	Routers []string
	Logger  *log.Logger

	HeartbeatEvery time.Duration
	SilenceAfter   time.Duration
	CatchUpWithin  time.Duration
	DialOptions    []grpc.DialOption
}

// View is a router's state, held current by a subscription to one keeper at a
// time. It implements port.StateView.
type View struct {
	options  ViewOptions
	node     *node.Node
	identity *Identity

	mu         sync.Mutex
	keeper     peerv1.KeeperClient
	completeAt time.Time

	synced atomic.Bool
}

var _ port.StateView = (*View)(nil)

// NewView returns a view that holds nothing until Run.
func NewView(o ViewOptions) *View {
	return &View{options: o, node: node.New(), identity: NewIdentity(o.Self)}
}

// Run keeps the view current until the context ends.
func (v *View) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return v.subscribeForever(ctx) })
	group.Go(func() error { return v.askPeersUntilComplete(ctx) })
	return group.Wait()
}

func (v *View) subscribeForever(ctx context.Context) error {
	var last string
	for ctx.Err() == nil {
		address := v.nextKeeper(last)
		if address == "" {
			if err := pause(ctx, reconnectPause); err != nil {
				return err
			}
			continue
		}
		last = address
		err := v.subscribeOnce(ctx, address)
		if ctx.Err() != nil {
			break
		}
		v.options.Logger.Warn().Str("event", "keeper_lost").Str("keeper", address).Err(err).Msg("")
		if err := pause(ctx, reconnectPause+rand.N(reconnectPause)); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (v *View) subscribeOnce(ctx context.Context, address string) error {
	conn, err := Dial(address, v.options.DialOptions...)
	if err != nil {
		return err
	}
	defer conn.Close()
	v.setKeeper(peerv1.NewKeeperClient(conn))
	defer v.setKeeper(nil)
	s := &Subscriber{
		Node: v.node, Identity: v.identity,
		HeartbeatEvery: v.options.HeartbeatEvery, SilenceAfter: v.options.SilenceAfter,
	}
	return s.Run(ctx, conn)
}

// nextKeeper prefers live keepers of the own failure domain, then any other,
// then the settings' list, and not the one that was just lost.
func (v *View) nextKeeper(last string) string {
	var near, far []string
	for _, m := range membership.LiveKeepers(v.node.Members) {
		if m.FailureDomain == v.options.Self.FailureDomain {
			near = append(near, m.PeerAddress)
			continue
		}
		far = append(far, m.PeerAddress)
	}
	for _, group := range [][]string{near, far, v.options.Keepers} {
		others := slices.DeleteFunc(slices.Clone(group), func(a string) bool { return a == last })
		if len(others) > 0 {
			return others[rand.N(len(others))]
		}
	}
	return last
}

func (v *View) setKeeper(k peerv1.KeeperClient) {
	v.mu.Lock()
	v.keeper = k
	v.mu.Unlock()
}

// Keeper returns a client of the keeper subscribed to, or nil.
func (v *View) Keeper() peerv1.KeeperClient {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keeper
}

// askPeersUntilComplete is for a router that starts while no keeper holds a
// complete set. It takes the newest of all peers that answer. Chosen: with at
// least one complete peer it serves; a version known only to daemons that
// can't be reached then stays unknown until they can.
func (v *View) askPeersUntilComplete(ctx context.Context) error {
	for !v.node.Complete() {
		if err := pause(ctx, peersAfter); err != nil {
			return err
		}
		if v.node.Complete() {
			break
		}
		if v.askPeers(ctx) {
			v.node.SetComplete()
		}
	}
	// The wait for a version that nobody hands over begins here, whoever
	// asks and when.
	v.waitedLongEnough(time.Now())
	return nil
}

func (v *View) askPeers(ctx context.Context) (complete bool) {
	addresses := slices.Clone(v.options.Routers)
	for m := range v.node.Members.All() {
		if m.Role == port.RoleRouter && m.Reachable() && m.ID != v.identity.ID() {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	slices.Sort(addresses)
	var found atomic.Bool
	var group errgroup.Group
	for _, address := range slices.Compact(addresses) {
		group.Go(func() error {
			if v.askPeer(ctx, address) {
				found.Store(true)
			}
			return nil
		})
	}
	// askPeer reports no errors: a peer that can't be reached is no answer.
	_ = group.Wait()
	return found.Load()
}

func (v *View) askPeer(ctx context.Context, address string) (complete bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := Dial(address, v.options.DialOptions...)
	if err != nil {
		return false
	}
	defer conn.Close()
	update, err := peerv1.NewRouterClient(conn).Records(ctx, &peerv1.RecordsRequest{})
	if err != nil {
		return false
	}
	for _, r := range update.GetRecords() {
		v.node.PutRecord(recordFromWire(r))
	}
	for _, e := range update.GetEndpoints() {
		v.node.PutEndpoint(endpointFromWire(e))
	}
	return update.GetComplete()
}

// Snapshot answers a peer's Records call.
func (v *View) Snapshot() *peerv1.Update {
	// Complete is read first: what is vouched for must be in the records.
	update := &peerv1.Update{Complete: v.node.Complete()}
	for _, r := range v.node.Whole() {
		update.Records = append(update.Records, recordToWire(r))
	}
	for e := range v.node.Endpoints.All() {
		update.Endpoints = append(update.Endpoints, endpointToWire(e))
	}
	return update
}

// Suspects returns the requests under which endpoints have crashed.
func (v *View) Suspects() *spread.Table[quarantine.Suspect] { return v.node.Suspects() }

// PutSuspect passes on what is known of a request.
func (v *View) PutSuspect(s quarantine.Suspect) bool { return v.node.PutSuspect(s) }

// Records returns the record set in force, without deleted ones.
func (v *View) Records() []port.Record { return LiveRecords(v.node) }

// LiveRecords lists the records of a node without deleted ones.
func LiveRecords(n *node.Node) []port.Record {
	var out []port.Record
	for _, r := range n.Whole() {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return out
}

// Endpoints returns all endpoints, those leaving, gone or unreachable
// included.
func (v *View) Endpoints() []port.Endpoint {
	var out []port.Endpoint
	for e := range v.node.Endpoints.All() {
		out = append(out, e.Endpoint)
	}
	return out
}

// Members returns all daemons, dead ones included.
func (v *View) Members() []port.Member {
	var out []port.Member
	for m := range v.node.Members.All() {
		p := m.Port()
		if m.ID == v.identity.ID() {
			p.HighestVersion, p.RecordsDigest = v.node.HighestHeld(), v.node.Records.Digest()
		}
		out = append(out, p)
	}
	return out
}

// Changed is closed at the next change.
func (v *View) Changed() <-chan struct{} { return v.node.Changed() }

// Synced reports whether the router may serve: it has had a complete set of
// records, holds the highest version that it knows to be in force anywhere,
// and knows an endpoint: without one it would refuse every caller that is sent
// to it, as when all daemons start before the list of hosts is read. A version
// that nobody hands over, or an endpoint, is waited for only so long, as the
// daemon that held it may be gone. Once true it stays.
func (v *View) Synced() bool {
	if v.synced.Load() {
		return true
	}
	if !v.node.Complete() {
		return false
	}
	upToDate := v.node.CaughtUp() && v.node.Endpoints.Len() > 0
	if upToDate || v.waitedLongEnough(time.Now()) {
		v.synced.Store(true)
		return true
	}
	return false
}

func (v *View) waitedLongEnough(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.completeAt.IsZero() {
		v.completeAt = now
	}
	return now.Sub(v.completeAt) >= orDefault(v.options.CatchUpWithin, DefaultCatchUpWithin)
}

// SetLeaving tells the others that this router leaves.
func (v *View) SetLeaving() { v.identity.SetLeaving() }

// HighestVersion is the highest record version in force here.
func (v *View) HighestVersion() uint64 { return v.node.HighestHeld() }

// Incarnation is this daemon's incarnation.
func (v *View) Incarnation() uint64 { return v.identity.Current().Incarnation }

// ObserveReport takes an endpoint's own word from a load report that rode on
// a response, so that one router's news reaches the others.
func (v *View) ObserveReport(r *port.LoadReport) {
	known, ok := v.node.Endpoints.Get(r.EndpointID)
	if !ok {
		return
	}
	v.node.PutEndpoint(membership.Said(known, r))
}
