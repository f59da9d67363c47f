package membership

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func drawRegisteredEndpoint(t *rapid.T) Endpoint {
	states := rapid.SampledFrom([]port.EndpointState{port.EndpointLive, port.EndpointLeaving})
	e := Listed(port.Endpoint{ID: "e", Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"), State: states.Draw(t, "listed")})
	e.Revision = port.StoreRevision(rapid.Uint64Range(1, 4).Draw(t, "revision"))
	if rapid.Bool().Draw(t, "reports leaving") {
		e = WithReport(e, &port.LoadReport{EndpointID: "e", Incarnation: e.Incarnation, State: port.EndpointLeaving})
	}
	if rapid.Bool().Draw(t, "reports that it is cold") {
		e = WithColdTime(e, rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "cold"))
	}
	return e
}

// Daemons receive registry entries and endpoints' own reports in different
// orders. All must converge to the same state: the newest entry, with a reported
// "leaving" kept.
func TestRegisteredEndpointsAreASemilattice(t *testing.T) {
	join := EndpointOrder{}.Join
	hash := EndpointOrder{}.Hash
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawRegisteredEndpoint(t), drawRegisteredEndpoint(t), drawRegisteredEndpoint(t)
		if hash(join(a, a)) != hash(a) {
			t.Fatal("not idempotent")
		}
		if hash(join(a, b)) != hash(join(b, a)) {
			t.Fatal("not commutative")
		}
		if hash(join(join(a, b), c)) != hash(join(a, join(b, c))) {
			t.Fatal("not associative")
		}
		joined := join(a, b)
		for _, e := range []Endpoint{a, b} {
			if e.Incarnation == joined.Incarnation && e.ReportedState == port.EndpointLeaving && joined.State != port.EndpointLeaving {
				t.Fatal("the endpoint reported leaving, but the joined state isn't leaving")
			}
		}
	})
}

func TestRemovedEndpointIsLiveOnlyAfterNewerEntry(t *testing.T) {
	e := Listed(port.Endpoint{ID: "e", Incarnation: 1, Revision: 4})
	e = EndpointOrder{}.Join(e, Removed(e, 6))
	if e.State != port.EndpointLeaving {
		t.Fatalf("state %s after the removal", e.State)
	}
	lateEntry := Listed(port.Endpoint{ID: "e", Incarnation: 1, Revision: 5})
	if got := (EndpointOrder{}).Join(e, lateEntry).State; got != port.EndpointLeaving {
		t.Fatalf("state %s after a late registry entry", got)
	}
	newerEntry := Listed(port.Endpoint{ID: "e", Incarnation: 1, Revision: 8})
	if got := (EndpointOrder{}).Join(e, newerEntry).State; got != port.EndpointLive {
		t.Fatalf("state %s after the endpoint was listed again", got)
	}
}
