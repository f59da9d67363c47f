package keeper

import (
	"slices"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// After a power failure the daemons start one after the other. A keeper that
// tries a single seed may pick one that isn't up yet. Until that connection
// attempt is abandoned the keeper places requests by its own state alone, and
// its callers wait for capacity that other keepers know to be free.
func TestKeeperWithoutPeersTriesAllSeeds(t *testing.T) {
	k, _ := newTestKeeper(newFakePlatform())
	own := k.options.Self.PeerAddress
	k.SetSeeds([]string{"127.0.0.1:11", own, "127.0.0.1:12", "127.0.0.1:13"})
	want := []string{"127.0.0.1:11", "127.0.0.1:12", "127.0.0.1:13"}
	if got := k.configuredPeers(); !slices.Equal(got, want) {
		t.Fatalf("the keeper tries %v, want %v", got, want)
	}
}

// Hundreds of keepers start together and connect to the few configured ones. On
// these links they must learn of each other, but the thousands of endpoints
// come from their neighbours alone. In a small fleet every link carries
// everything.
func TestEndpointsComeFromNeighboursInLargeFleets(t *testing.T) {
	k, _ := newTestKeeper(newFakePlatform())
	member := func(id string, role port.MemberRole) membership.Member {
		return membership.Member{ID: id, Role: role, Incarnation: 1, State: port.MemberLive, PeerAddress: id + ":1"}
	}
	add := func(n int) {
		for i := range n {
			k.node.PutMember(member(string(rune('a'+i%26))+string(rune('a'+i/26)), port.RoleKeeper))
		}
	}
	carryingLinks := func() int {
		n := 0
		for i := range k.memberView().live {
			m := &k.memberView().live[i]
			if m.ID != k.options.Self.ID && k.SendsEndpoints(m) {
				n++
			}
		}
		return n
	}
	k.putSelf()
	add(smallFleetSize - 1)
	if got := carryingLinks(); got != smallFleetSize-1 {
		t.Fatalf("%d of %d links carry endpoints in a small fleet", got, smallFleetSize-1)
	}
	add(4 * smallFleetSize)
	if got := carryingLinks(); got != 2 {
		t.Fatalf("%d links carry endpoints, want the two to the ring neighbours", got)
	}
	router := member("router", port.RoleRouter)
	if !k.SendsEndpoints(&router) {
		t.Fatal("the link of a router carries no endpoints, want it to carry them")
	}
}

// The cached view must be recomputed after each change of the members.
// Otherwise a daemon keeps watching, probing and connecting according to the
// old members.
func TestMemberViewFollowsMembers(t *testing.T) {
	k, _ := newTestKeeper(newFakePlatform())
	k.putSelf()
	if got := len(k.Members()); got != 1 {
		t.Fatalf("%d members at the start, want 1", got)
	}
	other := membership.Member{ID: "other", Role: port.RoleKeeper, Incarnation: 1, State: port.MemberLive, PeerAddress: "other:1"}
	k.node.PutMember(other)
	if len(k.Members()) != 2 || len(k.liveKeepers()) != 2 || len(k.memberView().neighbours) != 1 {
		t.Fatalf("the view lacks a new member: %+v", k.memberView())
	}
	other.State, other.Sequence = port.MemberDead, 9
	k.node.PutMember(other)
	if len(k.Members()) != 2 || len(k.liveKeepers()) != 1 || len(k.memberView().neighbours) != 0 || k.memberView().watcherIndex != 0 {
		t.Fatalf("the view holds a dead member as live: %+v", k.memberView())
	}
}
