package gateway

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against keeping counters and breakers of every endpoint that ever
// left.
func TestStateOfRemovedEndpointsIsFreed(t *testing.T) {
	b := newHarness(t)
	b.view.endpoints = nil
	b.apply()
	for i := range 200 {
		for _, e := range []port.Endpoint{
			testEndpoint(fmt.Sprint("s-", i), "plain", port.KindService),
			testEndpoint(fmt.Sprint("e-", i), "engines", port.KindRunner),
		} {
			b.backends.handlers[e.ID] = failure(errors.New("reset"))
			b.view.endpoints = append(b.view.endpoints, e)
		}
		b.apply()
		b.send(t, "/once/x", &fakeCaller{})
		b.send(t, "/stream/x", &fakeCaller{})
		b.markLeaving(b.view.endpoints[0], "it says so")
		for j := range b.view.endpoints {
			b.view.endpoints[j].State, b.view.endpoints[j].Revision = port.EndpointLeaving, 1
		}
		b.apply()
		b.view.endpoints = nil
		b.apply()
	}
	if n := len(b.endpointTable.byID); n != 0 {
		t.Errorf("%d endpoints are left in the endpoint table", n)
	}
	if n := b.balancer.Len() + b.breakers.Len() + b.seenLeaving.Len(); n != 0 {
		t.Errorf("%d, %d and %d endpoints are left in balancer, breakers and departures", b.balancer.Len(), b.breakers.Len(), b.seenLeaving.Len())
	}
	lists := slices.Collect(func(yield func(int) bool) {
		for _, l := range b.endpointTable.live {
			yield(len(l))
		}
	})
	if slices.Max(append(lists, 0)) != 0 {
		t.Errorf("lists of live endpoints have the lengths %v", lists)
	}
}
