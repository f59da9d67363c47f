package keeper

import (
	"fmt"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against a registry of departed runners that grows for ever.
func TestRunnersThatHaveLeftAreForgotten(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}}
	k := newRegistryKeeper(r)
	s := &endpointSource{keeper: k}
	w := newWatch(k, kindEndpoints, s)
	follow := k.FollowEndpoints()
	r.put(listed("lives", 1, port.EndpointLive))
	held := map[string]bool{}
	const departures = 4000
	for i := range departures {
		id := fmt.Sprint("e", i)
		r.put(listed(id, 1, port.EndpointLive))
		r.put(listed(id, 1, port.EndpointLeaving))
		r.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: id}, Removed: true})
		if i%20 != 0 {
			continue
		}
		w.step(t.Context())
		k.forgetDeparted()
		changed, forgotten := follow()
		for _, e := range changed {
			held[e.ID] = true
		}
		for _, id := range forgotten {
			delete(held, id)
		}
	}
	if n := len(k.Endpoints()); n > 1600 || n != len(held) {
		t.Errorf("%d endpoints are held after %d departures, a follower holds %d", n, departures, len(held))
	}
	if e, _ := k.node.Endpoints.Get("lives"); e.State != port.EndpointLive {
		t.Errorf("the one that lives is %q", e.State)
	}
}

// Guards against a departed runner that a long isolated peer brings back for good.
func TestForgottenRunnerThatAPeerBringsBackIsLeftAgain(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}, revision: 5000}
	k := newRegistryKeeper(r)
	s := &endpointSource{keeper: k}
	old := membership.Listed(port.Endpoint{ID: "old", Kind: port.KindRunner, Pool: "p", Incarnation: 1, Revision: 7})
	k.node.PutEndpoint(old)
	if _, err := s.list(t.Context(), false); err != nil {
		t.Fatal(err)
	}
	if e, _ := k.node.Endpoints.Get("old"); e.State != port.EndpointLeaving {
		t.Fatalf("%q after a list without it", e.State)
	}
}
