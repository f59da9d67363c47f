package keeper

import (
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// standing is what follows from the table of members. Several loops ask for it
// many times a second, and each would sort hundreds of members; it is worked
// out again only once the table has changed. Nothing in it is changed.
type standing struct {
	// digest is the table's when this was worked out.
	digest uint64
	// members are all known, live the keepers that can be connected to.
	members []port.Member
	live    []membership.Member
	// watcher and hostPoller: this keeper is among those.
	watcher    bool
	hostPoller bool
	neighbours []string
	ring       membership.Ring
	owners     membership.Owners
}

func (k *Keeper) standing() *standing {
	// Read before the table: a change in between is then found at the next call.
	digest := k.node.Members.Digest()
	if s := k.lastStanding.Load(); s != nil && s.digest == digest {
		return s
	}
	s := k.workOutStanding(digest)
	k.lastStanding.Store(s)
	return s
}

func (k *Keeper) workOutStanding(digest uint64) *standing {
	s := &standing{digest: digest, live: membership.LiveKeepers(k.node.Members)}
	s.owners = membership.NewOwners(s.live)
	for m := range k.node.Members.All() {
		s.members = append(s.members, m.Port())
	}
	self := k.options.Self.ID
	s.watcher = slices.Contains(membership.Watchers(s.live, k.options.Watchers), self)
	s.hostPoller = slices.Contains(membership.Watchers(s.live, min(hostPollers, k.options.Watchers)), self)
	s.ring = membership.NewRing(s.live)
	for _, m := range s.ring.Neighbours(self) {
		s.neighbours = append(s.neighbours, m.PeerAddress)
	}
	return s
}
