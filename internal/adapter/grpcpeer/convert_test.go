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
