package keeper

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against an endpoint that returns to service when the registry lists it
// as live again after its own announcement, and against one that stays out of
// service after its restart.
func TestPublishedLeavingOutweighsLaterEntries(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}}
	k := newRegistryKeeper(r)
	w := newWatch(k, kindEndpoints, &endpointSource{keeper: k})
	checkState := func(want port.EndpointState) {
		t.Helper()
		w.step(t.Context())
		if e, _ := k.node.Endpoints.Get("e"); e.State != want {
			t.Fatalf("the endpoint is %q, want %q", e.State, want)
		}
	}
	r.put(registryEntry("e", 1, port.EndpointLive))
	checkState(port.EndpointLive)
	k.PublishLeaving("e", 1)
	checkState(port.EndpointLeaving)
	r.put(registryEntry("e", 1, port.EndpointLive))
	checkState(port.EndpointLeaving)
	r.put(registryEntry("e", 2, port.EndpointLive))
	checkState(port.EndpointLive)
	k.PublishLeaving("e", 1)
	checkState(port.EndpointLive)
}
