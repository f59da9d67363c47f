package routing

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// A request of a route must stay in the route's pool, even if another pool
// serves a model of the same name.
func TestPlacesOnlyInRequestedPool(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	other := endpoint(1)
	other.Pool = "other"
	s.SetEndpoints(start, []port.Endpoint{endpoint(0), other})
	for _, pool := range []string{"pool", "other"} {
		for i := range 20 {
			r := request(pool+string(rune('a'+i)), 10)
			r.Pool = pool
			if d := s.Submit(start, r); d.Verdict != port.VerdictPlace || d.Endpoint.Pool != pool {
				t.Fatalf("verdict %v in pool %q, want a placement in %q", d.Verdict, d.Endpoint.Pool, pool)
			}
		}
	}
	r := request("none", 10)
	r.Pool = "third"
	wantVerdict(t, s.Submit(start, r), port.VerdictRefuse, ReasonRefusedModel)
}

// Engines that send no reports have the cache size that the operators
// configured. Guards against assuming a default of half the real size:
// requests would wait while caches are half empty.
func TestConfiguredCacheSize(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	e := endpoint(0)
	e.CacheTokens = 40_000
	s.SetEndpoints(start, []port.Endpoint{e})
	wantVerdict(t, s.Submit(start, request("large", unknownCapacity+1000)), port.VerdictPlace, ReasonPlaced)
	s.Report(at(time.Second), report(0, 0, 0))
	if got := s.runner(e.ID).capacity(); got != 16_000 {
		t.Fatalf("capacity %v after the runner's report, want 16,000", got)
	}
}

// The step time of an engine that doesn't report it is measured on this
// router's own generations. The wait for the first token must not count.
func TestStepTimeFromProgress(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, endpoints(1))
	r := s.runner("runner-0")
	if r.tokenMillis() != unknownTokenMillis {
		t.Fatalf("step time %v ms before any progress, want unknownTokenMillis", r.tokenMillis())
	}
	s.Submit(start, request("a", 100))
	for i := 1; i <= 50; i++ {
		s.Progress(at(3*time.Second+time.Duration(i)*32*time.Millisecond), "a", 4*i)
	}
	if got := r.tokenMillis(); got < 7.9 || got > 8.1 {
		t.Fatalf("step time %v ms, want 8", got)
	}
}

// A runner whose entry lapsed, for example after an outage of the registry,
// is listed again at a later revision and must get work again. A runner that
// itself reported that it is leaving must stay so, whatever a late list
// says.
func TestLaterRevisionRestoresRunner(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	list := func(revision port.StoreRevision, state port.EndpointState) {
		e := endpoint(0)
		e.Revision, e.State = revision, state
		s.SetEndpoints(start, []port.Endpoint{e})
	}
	places := func(id string) bool { return s.Submit(start, request(id, 10)).Verdict == port.VerdictPlace }
	list(5, port.EndpointLive)
	list(9, port.EndpointLeaving)
	if places("a") {
		t.Fatal("a leaving runner got work")
	}
	list(7, port.EndpointLive)
	if places("b") {
		t.Fatal("an entry of an older revision restored the runner")
	}
	list(12, port.EndpointLive)
	if !places("c") {
		t.Fatal("a runner listed again at a later revision got no work")
	}
	leaving := report(0, 0, 0)
	leaving.State = port.EndpointLeaving
	s.Report(start, leaving)
	list(20, port.EndpointLive)
	if places("d") {
		t.Fatal("a list entry restored a runner that reported it is leaving")
	}
}
