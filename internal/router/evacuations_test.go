package router

import (
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// evacuate sets the evacuated failure domains to exactly the given ones.
func (b *fixture) evacuate(domains ...string) {
	var evacuations []evacuation.Evacuation
	for _, d := range domains {
		evacuations = append(evacuations, evacuation.Evacuation{FailureDomain: d, Kind: port.ObjectDomainEvacuation})
	}
	b.Evacuations = func([]port.Record) evacuation.Set { return evacuation.NewSet(evacuations) }
	b.applyView()
}

// Guards against calls to endpoints in evacuated failure domains, and against a
// refusal that doesn't give the evacuation as its cause when no other endpoint is
// left.
func TestCallsAvoidEvacuatedDomains(t *testing.T) {
	one, other := serviceEndpoint("s1"), serviceEndpoint("s2")
	one.FailureDomain, other.FailureDomain = "a", "b"
	b := newFixture(testOptions("r1"), one, other)
	b.scriptBoth(okReply("fine"))
	b.evacuate("a")
	for range 10 {
		if _, refusal := b.call(http.MethodGet, "", false); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for _, id := range b.services.calls {
		if id != "s2" {
			t.Fatalf("called %s, which is in an evacuated failure domain", id)
		}
	}
	b.evacuate("a", "b")
	if _, refusal := b.call(http.MethodGet, "", false); refusal == nil || refusal.Cause != CauseEvacuated || refusal.RetryAfter <= 0 {
		t.Fatalf("got refusal %+v, want cause evacuated with a retry delay", refusal)
	}
	b.evacuate()
	if _, refusal := b.call(http.MethodGet, "", false); refusal != nil {
		t.Fatal(refusal)
	}
}

// Guards against evacuated runners that reach the scheduler without being marked as
// evacuated.
func TestSchedulerGetsEvacuatedRunnersMarked(t *testing.T) {
	one := runner("e1")
	one.FailureDomain = "a"
	b := newFixture(testOptions("r1"), one)
	b.evacuate("a")
	if es := b.scheduler.endpoints; len(es) != 1 || !es[0].Evacuated {
		t.Fatalf("the scheduler got %+v, want one runner marked as evacuated", es)
	}
	b.evacuate()
	if es := b.scheduler.endpoints; len(es) != 1 || es[0].Evacuated {
		t.Fatalf("the scheduler got %+v, want one runner that is not evacuated", es)
	}
}
