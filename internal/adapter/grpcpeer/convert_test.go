package grpcpeer

import (
	"reflect"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against fields of an endpoint that get lost between daemons.
func TestEndpointKeepsItsFieldsOnTheWire(t *testing.T) {
	listed := membership.Listed(port.Endpoint{
		ID: "e", Kind: port.KindRunner, Pool: "p", Address: "a:1", FailureDomain: "d", Incarnation: 2,
		FencesOrders: true, Revision: 5, Slots: 24, ColdFor: time.Second,
	})
	announced := membership.WithRateLimit(membership.WithReport(listed, &port.LoadReport{
		EndpointID: "e", Incarnation: 2, State: port.EndpointLeaving, Models: []string{"m"},
	}), 2.5)
	restored := membership.WithColdTime(announced, time.Minute)
	restored.EntryRevision = 9
	for name, e := range map[string]membership.Endpoint{"listed": listed, "announced its leaving": announced, "restored": restored} {
		if got := endpointFromWire(endpointToWire(e)); !reflect.DeepEqual(got, e) {
			t.Errorf("%s: got %+v, want %+v", name, got, e)
		}
	}
	if !announced.StillListed {
		t.Error("the listed endpoint doesn't count as listed after its own announcement")
	}
}

// Guards against fields of a member that get lost between daemons.
func TestMemberKeepsItsFieldsOnTheWire(t *testing.T) {
	m := membership.Member{
		ID: "m", Role: port.RoleKeeper, Incarnation: 2, FailureDomain: "d", Host: "h", CallerAddress: "a:1", AdminAddress: "a:2",
		PeerAddress: "a:3", Left: true, Sequence: 4, State: port.MemberLive, Condition: membership.ConditionLinkCut, DecidedBy: "k",
		PlatformUnreachable: true, LostPools: []string{"p"},
		Capacity: port.HostCapacity{ProcessorMilli: 144, LinkKbps: 10_000}, LoadPercent: 75,
	}
	if got := memberFromWire(memberToWire(m)); !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, want %+v", got, m)
	}
}
