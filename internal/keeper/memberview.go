package keeper

import (
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// memberView holds values that are computed from the member table. Several
// loops read it many times a second, and computing it sorts hundreds of
// members, so it is recomputed only after the table has changed. It is
// immutable.
type memberView struct {
	// digest is the digest of the table, and computedAt the time, at which the
	// view was computed.
	digest     uint64
	computedAt time.Time
	// members are all known daemons, live the keepers that can be connected to.
	members []port.Member
	live    []membership.Member
	// watcherHashes are the hashes of the keepers chosen to read the platform,
	// watcherIndex is this keeper's index among them, ringPosition its position
	// among all keepers by hash, see watchduty.Position.
	watcherHashes []uint64
	watcherIndex  int
	ringPosition  int
	idHash        uint64
	// isSeed: the settings name this keeper as one that others connect to
	// first.
	isSeed bool
	// pollsHosts: this keeper is one of those that read the list of hosts.
	pollsHosts bool
	neighbours []string
	ring       membership.Ring
	owners     membership.Owners
}

func (k *Keeper) memberView() *memberView {
	// Read the digest before the table, so that the next call finds a change in
	// between.
	digest := k.node.Members.Digest()
	now := time.Now()
	s := k.cachedMemberView.Load()
	if s != nil && (s.digest == digest || len(s.live) > smallFleetSize && now.Sub(s.computedAt) < memberViewTTL) {
		return s
	}
	s = k.computeMemberView(digest)
	s.computedAt = now
	k.cachedMemberView.Store(s)
	return s
}

// memberViewTTL is how long the view of a large fleet is used although its
// members change. When hundreds of daemons start together, the members change
// with every message, and sorting them all each time took a third of the
// processor time of the daemons that all others connect to. It is no longer
// than a change takes from one daemon to the next.
const memberViewTTL = 20 * time.Millisecond

func (k *Keeper) computeMemberView(digest uint64) *memberView {
	s := &memberView{digest: digest, live: membership.LiveKeepers(k.node.Members)}
	s.owners = membership.NewOwners(s.live)
	for m := range k.node.Members.All() {
		s.members = append(s.members, m.Port())
	}
	self := k.options.Self.ID
	watchers := membership.Watchers(s.live, k.options.Watchers)
	s.watcherIndex, s.idHash = slices.Index(watchers, self), spread.HashKey(self)
	for _, id := range watchers {
		s.watcherHashes = append(s.watcherHashes, spread.HashKey(id))
	}
	s.isSeed = slices.Contains(*k.seeds.Load(), k.options.Self.PeerAddress)
	s.pollsHosts = s.watcherIndex >= 0 && s.watcherIndex < hostPollers
	s.ring = membership.NewRing(s.live)
	s.ringPosition = s.ring.Index(self)
	for _, m := range s.ring.Neighbours(self) {
		s.neighbours = append(s.neighbours, m.PeerAddress)
	}
	return s
}
