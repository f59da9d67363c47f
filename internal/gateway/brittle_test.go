package gateway

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against spending the refusals of one brittle endpoint after the other.
func TestRefusalByBrittleEndpointIsNotRetried(t *testing.T) {
	for _, brittle := range []bool{false, true} {
		b := newHarness(t)
		b.setHandlers("s", failure(port.ErrRefused))
		refusals := 8
		for _, id := range b.endpointTable.usableIDs("plain") {
			if e, _ := b.endpointTable.get(id); brittle {
				b.ObserveNotice(e.Endpoint, port.EndpointNotice{Refusals: &refusals, Call: port.CallRequest, Status: 200})
			}
		}
		refusal := b.send(t, "/safe/", &fakeCaller{})
		if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
			t.Fatalf("refused with %+v", refusal)
		}
		want := 3
		if brittle {
			want = 1
		}
		if n := len(b.backends.arrivals()); n != want {
			t.Errorf("brittle %v: sent to %d endpoints, want %d", brittle, n, want)
		}
	}
}
