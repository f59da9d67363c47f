package gateway

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against a daemon without paths that has the scheduler exclude sound runners.
func TestOnlyCredibleFailuresCountAgainstRunners(t *testing.T) {
	for _, c := range []struct {
		name     string
		presence port.Presence
		err      error
		excluded bool
	}{
		{"no path, not sent", port.PresenceUnknown, port.ErrNotSent, false},
		{"no path, connection lost", port.PresenceSilent, port.ErrEndpointLost, false},
		{"others answer, not sent", port.PresenceServing, port.ErrNotSent, true},
		{"others answer, connection lost", port.PresenceServing, port.ErrEndpointLost, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			b.backends.presence = map[string]port.Presence{"e0": c.presence, "e1": c.presence, "e2": c.presence}
			b.setHandlers("e", sequence(failure(c.err), reply(200, "fine")))
			_ = b.send(t, "/stream/", &fakeCaller{})
			if refusal := b.send(t, "/stream/", &fakeCaller{}); refusal != nil {
				t.Fatal(refusal)
			}
			excluded := false
			for _, d := range b.sink.All() {
				for _, candidate := range d.Candidates {
					excluded = excluded || candidate.Excluded == routing.ExcludedBreaker
				}
			}
			if excluded != c.excluded {
				t.Errorf("a runner is excluded by its breaker: %v, want %v", excluded, c.excluded)
			}
		})
	}
}

// Guards against attempts at endpoints that this daemon can't reach while it reaches others.
func TestUnreachedEndpointsGetNoRequests(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("e", reply(200, "fine"))
	b.setHandlers("s", reply(200, "fine"))
	for _, id := range []string{"e0", "s0", "e1"} {
		e, _ := b.endpointTable.get(id)
		b.ObservePath(e.Endpoint, port.PathConnectFailed, errReset)
	}
	for range 20 {
		for _, path := range []string{"/stream/", "/once/"} {
			if refusal := b.send(t, path, &fakeCaller{}); refusal != nil {
				t.Fatalf("%s: %v", path, refusal)
			}
		}
	}
	for _, id := range b.backends.arrivals() {
		if id == "e0" || id == "e1" || id == "s0" {
			t.Fatalf("a request was sent to %s", id)
		}
	}
}

// Guards against a breaker that keeps calls from an endpoint after its path is back.
func TestRestoredPathClosesBreaker(t *testing.T) {
	b := newHarness(t)
	e, _ := b.endpointTable.get("s0")
	for range 1000 {
		b.breakers.Failure(b.Clock(), "s0")
	}
	b.ObservePath(e.Endpoint, port.PathConnectFailed, errReset)
	b.ObservePath(e.Endpoint, port.PathReached, nil)
	if b.breakers.Open(b.Clock(), "s0") {
		t.Fatal("the breaker is still open")
	}
}
