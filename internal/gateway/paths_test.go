package gateway

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against a daemon without paths that has the scheduler exclude endpoints for all
// daemons, and against a runner that is down and keeps getting prompts.
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
