package router

import (
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// evacuate has the router hold that just these failure domains are evacuated.
func (b *bench) evacuate(domains ...string) {
	var in []evacuation.Evacuation
	for _, d := range domains {
		in = append(in, evacuation.Evacuation{FailureDomain: d, Kind: port.ObjectDomainEvacuation})
	}
	b.Evacuations = func([]port.Record) evacuation.Set { return evacuation.NewSet(in) }
	b.apply()
}

// Guards against calls into evacuated failure domains, and callers that aren't told why there is no other.
func TestCallsStayOutOfEvacuatedDomains(t *testing.T) {
	one, other := serviceEndpoint("s1"), serviceEndpoint("s2")
	one.FailureDomain, other.FailureDomain = "a", "b"
	b := newBench(testOptions("r1"), one, other)
	b.both(okReply("fine"))
	b.evacuate("a")
	for range 10 {
		if _, refusal := b.call(http.MethodGet, "", false); refusal != nil {
			t.Fatal(refusal)
		}
	}
	for _, at := range b.services.calls {
		if at != "s2" {
			t.Fatalf("called %s", at)
		}
	}
	b.evacuate("a", "b")
	if _, refusal := b.call(http.MethodGet, "", false); refusal == nil || refusal.Cause != CauseEvacuated || refusal.RetryAfter <= 0 {
		t.Fatalf("%+v", refusal)
	}
	b.evacuate()
	if _, refusal := b.call(http.MethodGet, "", false); refusal != nil {
		t.Fatal(refusal)
	}
}

// Guards against a scheduler that isn't told of evacuated runners.
func TestSchedulerIsToldOfEvacuatedRunners(t *testing.T) {
	one := runner("e1")
	one.FailureDomain = "a"
	b := newBench(testOptions("r1"), one)
	b.evacuate("a")
	if es := b.scheduler.endpoints; len(es) != 1 || !es[0].Evacuated {
		t.Fatalf("%+v", es)
	}
	b.evacuate()
	if es := b.scheduler.endpoints; len(es) != 1 || es[0].Evacuated {
		t.Fatalf("%+v", es)
	}
}
