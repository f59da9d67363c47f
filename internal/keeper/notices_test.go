package keeper

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against an endpoint that a newer entry returns to service after its own announcement.
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

// Guards against a cold time that only the daemon which received it knows, and against one that outlasts the endpoint's next entry.
func TestPublishedColdTimeIsReplicated(t *testing.T) {
	r := &registry{entries: map[string]port.ListedEndpoint{}}
	k := newRegistryKeeper(r)
	w := newWatch(k, kindEndpoints, &endpointSource{keeper: k})
	entry := registryEntry("e", 1, port.EndpointLive)
	entry.ColdFor = time.Minute
	r.put(entry)
	w.step(t.Context())
	k.PublishCold("e", 2, time.Hour)
	k.PublishCold("e", 1, time.Second)
	if e, _ := k.node.Endpoints.Get("e"); e.ColdFor != time.Second {
		t.Fatalf("the endpoint is cold for %v", e.ColdFor)
	}
	r.put(registryEntry("e", 1, port.EndpointLive))
	w.step(t.Context())
	if e, _ := k.node.Endpoints.Get("e"); e.ColdFor != 0 {
		t.Fatalf("the endpoint is cold for %v after its next entry", e.ColdFor)
	}
}

// Guards against probes of an endpoint that asked for a pause, also during a round of probes.
func TestPausedEndpointIsNotProbed(t *testing.T) {
	k, _ := newTestKeeper(newFakePlatform())
	prober := &fakeProber{reports: map[string]port.LoadReport{}}
	k.options.Prober, k.options.ProbeOnlyDuringOutage = prober, true
	for _, id := range []string{"paused", "other"} {
		k.putEndpoint(membership.Listed(registryEntry(id, 1, port.EndpointLive).Endpoint), "listed")
	}
	share := k.probeShare()
	k.options.IsPaused = func(e port.Endpoint) bool { return e.ID == "paused" }
	if k.probeRound(t.Context(), share); prober.probed != 1 {
		t.Fatalf("%d endpoints were probed, want only the one that is not paused", prober.probed)
	}
}
