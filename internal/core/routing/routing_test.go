package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

var start = time.Unix(1_700_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

type routerCount int

func (c routerCount) LiveRouters() int { return int(c) }

func endpoint(i int) port.Endpoint {
	return port.Endpoint{
		ID: fmt.Sprintf("runner-%d", i), Kind: port.KindRunner, Pool: "pool",
		Incarnation: 1, State: port.EndpointLive, Models: []string{"m"},
	}
}

func endpoints(n int) []port.Endpoint {
	out := make([]port.Endpoint, n)
	for i := range out {
		out[i] = endpoint(i)
	}
	return out
}

// report returns a load report of an engine with 1,000 blocks of 16 tokens.
func report(i, blocksUsed, running int) *port.LoadReport {
	return &port.LoadReport{
		EndpointID: fmt.Sprintf("runner-%d", i), Incarnation: 1, State: port.EndpointLive,
		BlocksTotal: 1000, BlockTokens: 16, BlocksUsed: blocksUsed, Running: running, TokenMillis: 20,
	}
}

func newTestScheduler(t testing.TB, runners int, change func(*Options)) *Scheduler {
	t.Helper()
	o := Options{RouterID: "router-1", Routers: routerCount(1)}
	if change != nil {
		change(&o)
	}
	s := NewScheduler(o)
	s.SetEndpoints(start, endpoints(runners))
	for i := range runners {
		s.Report(start, report(i, 0, 0))
	}
	return s
}

// reportUntilSmoothed repeats a report until the smoothed load is close to
// it.
func reportUntilSmoothed(s *Scheduler, now time.Time, runner, blocksUsed, running int) {
	for range 8 {
		s.Report(now, report(runner, blocksUsed, running))
	}
}

func request(id string, prompt int) *port.GenerationRequest {
	return &port.GenerationRequest{
		RequestID: id, Organisation: "o", Model: "m", PromptTokens: prompt, Attempt: 1, Arrived: start,
	}
}

func wantVerdict(t testing.TB, d port.Decision, v port.Verdict, reason string) {
	t.Helper()
	if d.Verdict != v || d.Reason != reason {
		t.Fatalf("verdict %v for %q, want %v for %q", d.Verdict, d.Reason, v, reason)
	}
}

func TestPlacesOnRunnerWithFreeCache(t *testing.T) {
	s := newTestScheduler(t, 3, nil)
	s.Report(at(time.Second), report(0, 900, 5))
	s.Report(at(time.Second), report(1, 100, 5))
	s.Report(at(time.Second), report(2, 800, 5))
	d := s.Submit(at(time.Second), request("a", 300))
	wantVerdict(t, d, port.VerdictPlace, ReasonPlaced)
	if d.Endpoint.ID != "runner-1" || len(d.Candidates) != 3 {
		t.Fatalf("chose %q of %+v, want runner-1 of 3 candidates", d.Endpoint.ID, d.Candidates)
	}
}

func TestRefusals(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	s.SetPolicy(port.Policy{Organisations: map[string]port.OrganisationLimits{
		"one": {Concurrency: 1},
		"few": {TokensPerSecond: 10},
	}})
	for name, test := range map[string]struct {
		change func(*port.GenerationRequest)
		reason string
	}{
		"unknown model": {func(r *port.GenerationRequest) { r.Model = "other" }, ReasonRefusedModel},
		"late":          {func(r *port.GenerationRequest) { r.Deadline = start }, ReasonRefusedDeadline},
		"tried":         {func(r *port.GenerationRequest) { r.Excluded = []string{"runner-0"} }, ReasonRefusedTried},
		"too large":     {func(r *port.GenerationRequest) { r.PromptTokens = 20_000 }, ReasonRefusedTooLarge},
		"concurrency":   {func(r *port.GenerationRequest) { r.Organisation = "one" }, ReasonRefusedConcurrency},
		"rate":          {func(r *port.GenerationRequest) { r.Organisation = "few" }, ReasonRefusedRate},
	} {
		t.Run(name, func(t *testing.T) {
			if name == "concurrency" || name == "rate" {
				first := request(name+" first", 100)
				test.change(first)
				wantVerdict(t, s.Submit(start, first), port.VerdictPlace, ReasonPlaced)
			}
			r := request(name, 100)
			test.change(r)
			wantVerdict(t, s.Submit(start, r), port.VerdictRefuse, test.reason)
		})
	}
}

// A long request is held because requests of other routers fill the cache.
// When the runner is empty the request must be released, keep its placement,
// and be placed when it is submitted again.
func TestReleasedRequestKeepsItsPlacement(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	reportUntilSmoothed(s, start, 0, 990, 5)
	wantVerdict(t, s.Submit(start, request("long", 3000)), port.VerdictHold, ReasonHeldOverflow)
	ready := s.Ready("long")
	select {
	case <-ready:
		t.Fatal("request released while the cache is full")
	default:
	}
	for i := range 5 {
		now := at(time.Duration(i+1) * time.Second)
		s.Report(now, report(0, 0, 0))
		s.Tick(now)
	}
	select {
	case <-ready:
	default:
		t.Fatal("request not released although the cache is empty")
	}
	d := s.Submit(at(6*time.Second), request("long", 3000))
	wantVerdict(t, d, port.VerdictPlace, ReasonReleased)
}

func TestRequestHeldTooLongIsRefused(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	reportUntilSmoothed(s, start, 0, 990, 5)
	wantVerdict(t, s.Submit(start, request("long", 3000)), port.VerdictHold, ReasonHeldOverflow)
	s.Tick(at(DefaultWeights().HoldLimit))
	select {
	case <-s.Ready("long"):
	default:
		t.Fatal("request still held past the hold limit")
	}
	d := s.Submit(at(31*time.Second), request("long", 3000))
	wantVerdict(t, d, port.VerdictRefuse, ReasonRefusedHeldTooLong)
	if d.RetryAfter <= 0 {
		t.Fatal("refusal has no retry time")
	}
}

// The host list lags and says live after the endpoint reported that it is
// leaving. The endpoint must not get new work until it returns as a new
// incarnation.
func TestOlderStateDoesntRestoreLeavingRunner(t *testing.T) {
	s := newTestScheduler(t, 2, nil)
	leaving := report(0, 0, 0)
	leaving.State = port.EndpointLeaving
	s.Report(start, leaving)
	s.SetEndpoints(start, endpoints(2))
	s.Report(start, report(0, 0, 0))
	for i := range 20 {
		if d := s.Submit(start, request(fmt.Sprint(i), 10)); d.Endpoint.ID != "runner-1" {
			t.Fatalf("chose %q for %v, want runner-1", d.Endpoint.ID, d.Reason)
		}
	}
	back := endpoints(2)
	back[0].Incarnation = 2
	s.SetEndpoints(start, back)
	if d := s.Submit(start, request("new", 10)); d.Endpoint.ID != "runner-0" {
		t.Fatalf("the new incarnation isn't chosen: %+v", d)
	}
	s.SetEndpoints(start, endpoints(2))
	if d := s.Submit(start, request("newer", 10)); d.Endpoint.Incarnation == 1 && d.Endpoint.ID == "runner-0" {
		t.Fatal("an old list restored the old incarnation")
	}
}

// A failing runner is empty, so it has the best score, and would fail every
// request.
func TestBreakerStopsFailingRunner(t *testing.T) {
	s := newTestScheduler(t, 2, nil)
	s.Report(start, report(1, 500, 10))
	onFailing := 0
	for i := range 50 {
		id := fmt.Sprint(i)
		d := s.Submit(start, request(id, 10))
		kind := port.FinishDone
		if d.Endpoint.ID == "runner-0" {
			onFailing++
			kind = port.FinishFailed
		}
		s.Finished(start, id, 5, kind)
	}
	if onFailing != 1 {
		t.Fatalf("%d dispatches to the failing runner, want 1", onFailing)
	}
	later := at(2 * breakerMinPause)
	first := s.Submit(later, request("probe", 10))
	second := s.Submit(later, request("other", 10))
	if first.Endpoint.ID != "runner-0" || second.Endpoint.ID != "runner-1" {
		t.Fatalf("placements after the pause: %q, %q; want one probe on runner-0", first.Endpoint.ID, second.Endpoint.ID)
	}
	s.Finished(later, "probe", 5, port.FinishDone)
	if d := s.Submit(later, request("healed", 10)); d.Endpoint.ID != "runner-0" {
		t.Fatalf("chose %q after a successful probe, want runner-0", d.Endpoint.ID)
	}
}
