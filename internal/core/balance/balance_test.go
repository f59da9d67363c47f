package balance

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func endpoints(n int) []port.Endpoint {
	var out []port.Endpoint
	for i := range n {
		out = append(out, port.Endpoint{ID: strconv.Itoa(i)})
	}
	return out
}

func newBalancer(seed uint64) *Balancer {
	r := rand.New(rand.NewPCG(seed, 0))
	return New(Options{Draw: r.IntN, ReportMaxAge: time.Second})
}

// One of two endpoints reports a long queue. As both are always drawn, it gets no
// calls until its report is too old.
func TestLoadedEndpointIsAvoidedWhileReportIsFresh(t *testing.T) {
	b := newBalancer(1)
	now := time.Unix(0, 0)
	b.Report(now, &port.LoadReport{EndpointID: "0", Running: 5, Waiting: 100})
	for range 50 {
		e, _, ok := b.Choose(now, endpoints(2))
		if !ok || e.ID != "1" {
			t.Fatalf("chose endpoint %q, want 1", e.ID)
		}
		b.End(e.ID)
	}
	chosen := make(map[string]bool)
	for range 50 {
		e, _, _ := b.Choose(now.Add(time.Minute), endpoints(2))
		b.End(e.ID)
		chosen[e.ID] = true
	}
	if !chosen["0"] {
		t.Fatal("an outdated report keeps the endpoint from being chosen")
	}
}

// Both endpoints report no load; the calls of this router since then must count.
func TestOwnCallsSinceReportCount(t *testing.T) {
	b := newBalancer(1)
	now := time.Unix(0, 0)
	b.Report(now, &port.LoadReport{EndpointID: "0"})
	b.Report(now, &port.LoadReport{EndpointID: "1"})
	counts := make(map[string]int)
	for range 100 {
		e, _, _ := b.Choose(now, endpoints(2))
		counts[e.ID]++
	}
	if counts["0"] != 50 || counts["1"] != 50 {
		t.Fatalf("calls per endpoint %v, want 50 each", counts)
	}
}

// Six routers with the same outdated report each send three calls to ten endpoints.
// With a choice of the least load, all calls would go to the idle endpoint.
func TestRoutersWithTheSameReportDoNotHerd(t *testing.T) {
	now := time.Unix(0, 0)
	counts := make(map[string]int)
	const routers, calls, n = 6, 3, 10
	for router := range routers {
		b := newBalancer(uint64(router))
		for i := range n {
			b.Report(now, &port.LoadReport{EndpointID: strconv.Itoa(i), Running: 3 * min(i, 1)})
		}
		for range calls {
			e, _, _ := b.Choose(now, endpoints(n))
			counts[e.ID]++
		}
	}
	if counts["0"] > routers*calls/2 {
		t.Fatalf("%d of %d calls went to one endpoint of %d", counts["0"], routers*calls, n)
	}
}

func TestNoCandidate(t *testing.T) {
	if _, _, ok := newBalancer(1).Choose(time.Unix(0, 0), nil); ok {
		t.Fatal("Choose picked an endpoint without candidates")
	}
}

// Unknown endpoints are dropped, except for one with an open call, which has still
// to be counted by End.
func TestKeepRemovesUnknownIdleEndpoints(t *testing.T) {
	b := newBalancer(1)
	now := time.Unix(0, 0)
	b.Report(now, &port.LoadReport{EndpointID: "idle"})
	e, _, _ := b.Choose(now, []port.Endpoint{{ID: "busy"}})
	b.Retain(nil)
	if len(b.loads) != 1 {
		t.Fatalf("%d endpoints are tracked", len(b.loads))
	}
	b.End(e.ID)
	b.Retain(nil)
	if len(b.loads) != 0 {
		t.Fatalf("%d endpoints are tracked", len(b.loads))
	}
}
