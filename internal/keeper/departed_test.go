package keeper

import (
	"fmt"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against a set of departed runners that grows without bound.
func TestDepartedRunnersAreForgotten(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}}
	k := newRegistryKeeper(r)
	s := &endpointSource{keeper: k}
	w := newWatch(k, kindEndpoints, s)
	follow := k.FollowEndpoints()
	r.put(registryEntry("lives", 1, port.EndpointLive))
	held := map[string]bool{}
	const departures = 4000
	for i := range departures {
		id := fmt.Sprint("e", i)
		r.put(registryEntry(id, 1, port.EndpointLive))
		r.put(registryEntry(id, 1, port.EndpointLeaving))
		r.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: id}, Removed: true})
		if i%20 != 0 {
			continue
		}
		w.step(t.Context())
		k.forgetDepartedEndpoints()
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
		t.Errorf("the live endpoint is %q", e.State)
	}
}

// Guards against a runner that returns to service because its own announcement was removed while its entry still said ready.
func TestAnnouncedLeavingIsKeptWhileEntryIsListed(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}}
	k := newRegistryKeeper(r)
	s := &endpointSource{keeper: k}
	w := newWatch(k, kindEndpoints, s)
	r.put(registryEntry("announced", 1, port.EndpointLive))
	w.step(t.Context())
	k.PublishLeaving("announced", 1)
	const departures = 4000
	for i := range departures {
		id := fmt.Sprint("e", i)
		r.put(registryEntry(id, 1, port.EndpointLive))
		r.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: id}, Removed: true})
	}
	w.step(t.Context())
	k.forgetDepartedEndpoints()
	if _, err := s.list(t.Context(), false); err != nil {
		t.Fatal(err)
	}
	if e, _ := k.node.Endpoints.Get("announced"); e.State != port.EndpointLeaving {
		t.Errorf("the endpoint is %q", e.State)
	}
	r.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: "announced"}, Removed: true})
	w.step(t.Context())
	for i := range departures {
		id := fmt.Sprint("later-", i)
		r.put(registryEntry(id, 1, port.EndpointLive))
		r.put(port.ListedEndpoint{Endpoint: port.Endpoint{ID: id}, Removed: true})
	}
	w.step(t.Context())
	k.forgetDepartedEndpoints()
	if _, held := k.node.Endpoints.Get("announced"); held {
		t.Error("the endpoint is held long after the registry removed it")
	}
}

// Guards against a departed runner that a long isolated peer permanently adds
// again.
func TestForgottenRunnerFromPeerIsMarkedLeaving(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}, revision: 5000}
	k := newRegistryKeeper(r)
	s := &endpointSource{keeper: k}
	old := membership.Listed(port.Endpoint{ID: "old", Kind: port.KindRunner, Pool: "p", Incarnation: 1, Revision: 7})
	k.node.PutEndpoint(old)
	if _, err := s.list(t.Context(), false); err != nil {
		t.Fatal(err)
	}
	if e, _ := k.node.Endpoints.Get("old"); e.State != port.EndpointLeaving {
		t.Fatalf("the endpoint is %q after a list without it, want leaving", e.State)
	}
}
