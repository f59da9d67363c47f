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

// Timeouts and delays of a view.
const (
	// DefaultCatchUpTimeout bounds how long a router that has started waits for a
	// record version that is known to be in force elsewhere, but that no daemon
	// sends, and for a first endpoint.
	DefaultCatchUpTimeout = 5 * time.Second
	// peerFallbackDelay is how long a router waits for a keeper before it requests
	// the records from peer routers.
	peerFallbackDelay = 1500 * time.Millisecond
	peerTimeout       = time.Second
	reconnectDelay    = 100 * time.Millisecond
)

// ViewOptions are the options of a View.
type ViewOptions struct {
	// Self describes the router. ID, Role, FailureDomain, Host and the addresses
	// are required.
	Self port.Member
	// Keepers are the peer addresses of keepers, used while no live keeper is known
	// from the members. Routers are those of peer routers, from which records are
	// requested, besides the known members, while no keeper has sent a complete set.
	Keepers []string
	Routers []string
	Logger  *log.Logger

	HeartbeatEvery time.Duration
	SilenceAfter   time.Duration
	CatchUpTimeout time.Duration
	DialOptions    []grpc.DialOption
}

// View is a router's state. It is kept up to date by a subscription to one keeper
// at a time, and implements port.StateView.
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

// NewView returns an empty view. Run fills it.
func NewView(o ViewOptions) *View {
	return &View{options: o, node: node.New(), identity: NewIdentity(o.Self)}
}

// Run keeps the view up to date until the context ends.
func (v *View) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return v.subscribeForever(ctx) })
	group.Go(func() error { return v.fetchFromPeersUntilComplete(ctx) })
	return group.Wait()
}

func (v *View) subscribeForever(ctx context.Context) error {
	var last string
	for ctx.Err() == nil {
		address := v.nextKeeper(last)
		if address == "" {
			if err := pause(ctx, reconnectDelay); err != nil {
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
		if err := pause(ctx, reconnectDelay+rand.N(reconnectDelay)); err != nil {
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

// nextKeeper returns the address of a random keeper: a live one in the router's own
// failure domain if possible, otherwise any live one, otherwise one of the options.
// It returns last, the keeper of the previous subscription, only if there is no
// other.
func (v *View) nextKeeper(last string) string {
	var sameDomain, otherDomains []string
	for _, m := range membership.LiveKeepers(v.node.Members) {
		if m.FailureDomain == v.options.Self.FailureDomain {
			sameDomain = append(sameDomain, m.PeerAddress)
			continue
		}
		otherDomains = append(otherDomains, m.PeerAddress)
	}
	for _, group := range [][]string{sameDomain, otherDomains, v.options.Keepers} {
		candidates := slices.DeleteFunc(slices.Clone(group), func(a string) bool { return a == last })
		if len(candidates) > 0 {
			return candidates[rand.N(len(candidates))]
		}
	}
	return last
}

func (v *View) setKeeper(k peerv1.KeeperClient) {
	v.mu.Lock()
	v.keeper = k
	v.mu.Unlock()
}

// Keeper returns a client of the keeper of the current subscription, or nil.
func (v *View) Keeper() peerv1.KeeperClient {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.keeper
}

// fetchFromPeersUntilComplete requests the records of peer routers until the record
// set is complete, for a router that starts while no keeper sends a complete set. It
// merges the replies of all peers, and one complete peer is enough to serve. A
// version that only unreachable daemons hold stays unknown until they can be reached.
func (v *View) fetchFromPeersUntilComplete(ctx context.Context) error {
	for !v.node.Complete() {
		if err := pause(ctx, peerFallbackDelay); err != nil {
			return err
		}
		if v.node.Complete() {
			break
		}
		if v.fetchFromPeers(ctx) {
			v.node.SetComplete()
		}
	}
	// This call starts the catch-up timeout, even if Synced has not been called yet.
	v.catchUpTimedOut(time.Now())
	return nil
}

// fetchFromPeers requests the records of all known peer routers and reports whether
// any of them was complete.
func (v *View) fetchFromPeers(ctx context.Context) (complete bool) {
	addresses := slices.Clone(v.options.Routers)
	for m := range v.node.Members.All() {
		if m.Role == port.RoleRouter && m.Reachable() && m.ID != v.identity.ID() {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	slices.Sort(addresses)
	var anyComplete atomic.Bool
	var group errgroup.Group
	for _, address := range slices.Compact(addresses) {
		group.Go(func() error {
			if v.fetchFromPeer(ctx, address) {
				anyComplete.Store(true)
			}
			return nil
		})
	}
	// The functions return no errors: unreachable peers are ignored.
	_ = group.Wait()
	return anyComplete.Load()
}

func (v *View) fetchFromPeer(ctx context.Context, address string) (complete bool) {
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

// Snapshot returns the reply to a peer's Records call.
func (v *View) Snapshot() *peerv1.Update {
	// Complete is read before the records, so that a reply marked as complete
	// contains all of them.
	update := &peerv1.Update{Complete: v.node.Complete()}
	for _, r := range v.node.CompleteRecords() {
		update.Records = append(update.Records, recordToWire(r))
	}
	for e := range v.node.Endpoints.All() {
		update.Endpoints = append(update.Endpoints, endpointToWire(e))
	}
	return update
}

// Suspects returns the requests during which endpoints have crashed.
func (v *View) Suspects() *spread.Table[quarantine.Suspect] { return v.node.Suspects() }

// PutSuspect merges the state of a suspect and sends it to other daemons.
func (v *View) PutSuspect(s quarantine.Suspect) bool { return v.node.PutSuspect(s) }

// PartSuspects returns the parts of prompts under which endpoints have crashed.
func (v *View) PartSuspects() *spread.Table[quarantine.PartSuspect] { return v.node.PartSuspects() }

// PutPartSuspect merges the state of a suspected part and sends it to other daemons.
func (v *View) PutPartSuspect(s quarantine.PartSuspect) bool { return v.node.PutPartSuspect(s) }

// Records returns the records in force, without deleted ones.
func (v *View) Records() []port.Record { return LiveRecords(v.node) }

// LiveRecords returns the records of a node without deleted ones.
func LiveRecords(n *node.Node) []port.Record {
	var out []port.Record
	for _, r := range n.CompleteRecords() {
		if !r.Deleted {
			out = append(out, r)
		}
	}
	return out
}

// Endpoints returns all endpoints, including those that are leaving, gone or
// unreachable.
func (v *View) Endpoints() []port.Endpoint {
	var out []port.Endpoint
	for e := range v.node.Endpoints.All() {
		out = append(out, e.Endpoint)
	}
	return out
}

// Members returns all daemons, including dead ones.
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

// Changed returns a channel that is closed at the next change.
func (v *View) Changed() <-chan struct{} { return v.node.Changed() }

// Synced reports whether the router may serve. It must have a complete set of
// records, hold the highest version that it knows to be in force anywhere, and know
// an endpoint. Without an endpoint it would refuse every caller; this happens if all
// daemons start before the list of hosts has been read. The wait for the version and
// for the endpoint ends after the catch-up timeout, as the daemon that held the
// version may no longer exist. Once true, the result stays true.
func (v *View) Synced() bool {
	if v.synced.Load() {
		return true
	}
	if !v.node.Complete() {
		return false
	}
	upToDate := v.node.CaughtUp() && v.node.Endpoints.Len() > 0
	if upToDate || v.catchUpTimedOut(time.Now()) {
		v.synced.Store(true)
		return true
	}
	return false
}

// catchUpTimedOut reports whether the catch-up timeout has passed. The first call
// starts it.
func (v *View) catchUpTimedOut(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.completeAt.IsZero() {
		v.completeAt = now
	}
	return now.Sub(v.completeAt) >= orDefault(v.options.CatchUpTimeout, DefaultCatchUpTimeout)
}

// SetLeaving announces to other daemons that this router leaves.
func (v *View) SetLeaving() { v.identity.SetLeaving() }

// HighestVersion returns the highest record version in force at this router.
func (v *View) HighestVersion() uint64 { return v.node.HighestHeld() }

// Incarnation returns this daemon's incarnation.
func (v *View) Incarnation() uint64 { return v.identity.Current().Incarnation }

// ObserveReport merges the state of an endpoint from a load report that came with a
// response, and sends it to other daemons. Reports of unknown endpoints are ignored.
func (v *View) ObserveReport(r *port.LoadReport) {
	known, ok := v.node.Endpoints.Get(r.EndpointID)
	if !ok {
		return
	}
	v.node.PutEndpoint(membership.WithReport(known, r))
}
