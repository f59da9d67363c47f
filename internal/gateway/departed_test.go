package gateway

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against counters and breakers that are kept for every endpoint that ever left.
func TestNothingIsKeptOfForgottenEndpoints(t *testing.T) {
	b := newBench(t)
	b.view.endpoints = nil
	b.apply()
	for i := range 200 {
		for _, e := range []port.Endpoint{
			testEndpoint(fmt.Sprint("s-", i), "plain", port.KindService),
			testEndpoint(fmt.Sprint("e-", i), "engines", port.KindRunner),
		} {
			b.world.on[e.ID] = failure(errors.New("reset"))
			b.view.endpoints = append(b.view.endpoints, e)
		}
		b.apply()
		b.ask(t, "/once/x", &caller{})
		b.ask(t, "/stream/x", &caller{})
		b.sawLeaving(b.view.endpoints[0], "it says so")
		for j := range b.view.endpoints {
			b.view.endpoints[j].State, b.view.endpoints[j].Revision = port.EndpointLeaving, 1
		}
		b.apply()
		b.view.endpoints = nil
		b.apply()
	}
	if n := len(b.known.byID); n != 0 {
		t.Errorf("%d endpoints are known", n)
	}
	if n := b.balancer.Len() + b.breakers.Len() + b.departed.Len(); n != 0 {
		t.Errorf("%d, %d and %d are kept by balancer, breakers and departures", b.balancer.Len(), b.breakers.Len(), b.departed.Len())
	}
	lists := slices.Collect(func(yield func(int) bool) {
		for _, l := range b.known.live {
			yield(len(l))
		}
	})
	if slices.Max(append(lists, 0)) != 0 {
		t.Errorf("lists of %v live endpoints", lists)
	}
}
