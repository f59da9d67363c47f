package keeper

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against a daemon that renews its own entry at each check because daemons of an
// earlier build pass it on without the capacity and the load.
func TestEntryIsNotRenewedForEarlierBuilds(t *testing.T) {
	k := New(Options{
		Self: port.Member{
			ID: "k1", FailureDomain: "d1", PeerAddress: "127.0.0.1:1", Capacity: port.HostCapacity{ProcessorMilli: 144, LinkKbps: 10_000},
		},
		Platform: newFakePlatform(), Logger: discardLogger(),
	})
	entry := func() membership.Member {
		m, _ := k.node.Members.Get("k1")
		return m
	}
	k.PublishLoad(50)
	if m := entry(); m.LoadPercent != 50 || m.Capacity.ProcessorMilli != 144 {
		t.Fatalf("published %+v", m)
	}
	passedOn := entry()
	passedOn.Sequence++
	passedOn.DecidedBy, passedOn.Capacity, passedOn.LoadPercent = "earlier", port.HostCapacity{}, 0
	k.node.PutMember(passedOn)
	k.putSelf()
	if m := entry(); m.Sequence != passedOn.Sequence || m.Capacity.LinkKbps != 10_000 {
		t.Fatalf("after an entry of an earlier build: %+v", m)
	}
	k.PublishLoad(75)
	if m := entry(); m.LoadPercent != 75 || m.Sequence <= passedOn.Sequence {
		t.Fatalf("after a change of the load: %+v", m)
	}
}

// Guards against keepers that pass on a member's load of some time ago.
func TestHeartbeatWithAnotherLoadIsPassedOn(t *testing.T) {
	k, _ := newTestKeeper(newFakePlatform())
	m := membership.Member{ID: "m", Role: port.RoleKeeper, Incarnation: 1, State: port.MemberLive}
	for sequence, load := range []uint32{0, 25, 25, 100, 0} {
		m.Sequence, m.LoadPercent = uint64(sequence)+1, load
		k.HandleHeartbeat(m, membership.Heartbeat{ID: m.ID, Incarnation: 1, Sequence: m.Sequence}, false)
		if held, _ := k.node.Members.Get("m"); held.LoadPercent != load {
			t.Fatalf("load %d, want %d", held.LoadPercent, load)
		}
	}
}
