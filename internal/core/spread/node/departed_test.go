package node

import (
	"fmt"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// churn adds an endpoint to a node and removes it, as its registry would.
func churn(n *Node, id string, revision port.StoreRevision) {
	e := membership.Listed(port.Endpoint{ID: id, Address: "a:1", Incarnation: 1, Revision: revision})
	n.PutEndpoint(e)
	n.PutEndpoint(membership.Removed(e, revision+1))
}

// Guards against tables that grow with every departed endpoint, and against links
// that repair removed entries again and again.
func TestDepartedEndpointsAreRemovedEverywhere(t *testing.T) {
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
			s.tickAndPass()
			// The daemons remove departed endpoints at different times.
			[]*Node{a, b, c}[i/50%3].PruneDeparted()
		}
	}
	for range healRounds {
		s.tickAndPass()
		for _, n := range []*Node{a, b, c} {
			n.PruneDeparted()
		}
	}
	for i, n := range []*Node{a, b, c} {
		if held := n.Endpoints.Len(); held < live+500 || held > live+1100 {
			t.Errorf("daemon %d has %d endpoints, of them %d live", i, held, live)
		}
		for i := range live {
			if e, _ := n.Endpoints.Get(fmt.Sprint("live-", i)); e.State != port.EndpointLive {
				t.Fatalf("endpoint live-%d has state %q", i, e.State)
			}
		}
	}
	if a.Endpoints.Digest() != b.Endpoints.Digest() || b.Endpoints.Digest() != c.Endpoints.Digest() {
		t.Error("the daemons have different endpoints")
	}
	// Each end sends its digest once more.
	s.tickAndPass()
	for range healRounds {
		if n := s.tickAndPass(); n > 0 {
			t.Fatalf("%d messages on synchronised links", n)
		}
	}
}

// tickAndPass calls Tick on all links, then pass. It returns the number of messages.
func (s *simulation) tickAndPass() (messages int) {
	for _, w := range s.wires {
		w.ends[0].Tick()
		w.ends[1].Tick()
	}
	return s.pass()
}
