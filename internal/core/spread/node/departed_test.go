package node

import (
	"fmt"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// churn has an endpoint come and leave at a node, as its registry tells.
func churn(n *Node, id string, revision port.StoreRevision) {
	e := membership.Listed(port.Endpoint{ID: id, Address: "a:1", Incarnation: 1, Revision: revision})
	n.PutEndpoint(e)
	n.PutEndpoint(membership.Removed(e, revision+1))
}

// Guards against tables that grow with every endpoint that ever left, and links that keep repairing them.
func TestDepartedEndpointsDontPileUp(t *testing.T) {
	a, b, c := New(), New(), New()
	a.SetComplete()
	s := chain(a, b, c)
	s.heal()
	const live, departures = 100, 5000
	for i := range live {
		a.PutEndpoint(membership.Listed(port.Endpoint{ID: fmt.Sprint("live-", i), Address: "a:1", Incarnation: 1, Revision: 1}))
	}
	for i := range departures {
		churn(a, fmt.Sprint("left-", i), port.StoreRevision(2+2*i))
		if i%50 == 0 {
			s.beat()
			// Daemons look at different moments.
			[]*Node{a, b, c}[i/50%3].ForgetDeparted()
		}
	}
	for range healRounds {
		s.beat()
		for _, n := range []*Node{a, b, c} {
			n.ForgetDeparted()
		}
	}
	for i, n := range []*Node{a, b, c} {
		if held := n.Endpoints.Len(); held < live+500 || held > live+1100 {
			t.Errorf("daemon %d holds %d endpoints, %d live", i, held, live)
		}
		for i := range live {
			if e, _ := n.Endpoints.Get(fmt.Sprint("live-", i)); e.State != port.EndpointLive {
				t.Fatalf("live-%d is %q", i, e.State)
			}
		}
	}
	if a.Endpoints.Digest() != b.Endpoints.Digest() || b.Endpoints.Digest() != c.Endpoints.Digest() {
		t.Error("daemons hold different endpoints")
	}
	// Each tells its digest once more.
	s.beat()
	for range healRounds {
		if n := s.beat(); n > 0 {
			t.Fatalf("%d messages on settled links", n)
		}
	}
}

// beat is pass after a heartbeat.
func (s *system) beat() (messages int) {
	for _, w := range s.wires {
		w.ends[0].Tick()
		w.ends[1].Tick()
	}
	return s.pass()
}
