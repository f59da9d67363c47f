package routing

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

const (
	fuzzRunners     = 3
	fuzzBatch       = 4
	fuzzQueue       = 6
	fuzzConcurrency = 5
)

// oracle records the requests, decisions and endpoint states of the stateful
// test.
type oracle struct {
	s         *Scheduler
	now       time.Time
	submitted int
	held      map[string]*port.GenerationRequest
	placed    map[string]port.Endpoint
	org       map[string]string
	state     [fuzzRunners]port.Endpoint
	leaving   map[string]bool
}

func fuzzPolicy() port.Policy {
	return port.Policy{
		Weights: map[string]port.Weights{"": {
			Overflow: 2, Gap: 1, Prefill: 1, OverflowLimit: 0.05,
			BatchLimit: fuzzBatch, HoldLimit: 10 * time.Second, QueueLimit: fuzzQueue,
		}},
		Organisations: map[string]port.OrganisationLimits{"limited": {Concurrency: fuzzConcurrency, Priority: 1}},
	}
}

func newOracle() *oracle {
	w := &oracle{
		s: NewScheduler(Options{RouterID: "router-1"}), now: start,
		held: map[string]*port.GenerationRequest{}, placed: map[string]port.Endpoint{},
		org: map[string]string{}, leaving: map[string]bool{},
	}
	w.s.SetPolicy(fuzzPolicy())
	for i := range w.state {
		w.state[i] = endpoint(i)
	}
	w.s.SetEndpoints(w.now, w.state[:])
	return w
}

func incarnationKey(e *port.Endpoint) string { return fmt.Sprint(e.ID, "/", e.Incarnation) }

// check checks one decision and records it.
func (w *oracle) check(t *rapid.T, r *port.GenerationRequest, d port.Decision) {
	switch d.Verdict {
	case port.VerdictPlace:
		if slices.Contains(r.Excluded, d.Endpoint.ID) {
			t.Fatalf("request %s placed on %s, which it excluded", r.RequestID, d.Endpoint.ID)
		}
		delete(w.held, r.RequestID)
		w.placed[r.RequestID] = d.Endpoint
	case port.VerdictHold:
		w.held[r.RequestID] = r
	case port.VerdictRefuse:
		delete(w.held, r.RequestID)
	default:
		t.Fatalf("request %s got no verdict", r.RequestID)
	}
	if len(d.Candidates) > maxCandidates {
		t.Fatalf("%d candidates in a decision, want at most maxCandidates", len(d.Candidates))
	}
}

func (w *oracle) submit(t *rapid.T) {
	w.submitted++
	r := &port.GenerationRequest{
		RequestID:    fmt.Sprint(w.submitted),
		Organisation: rapid.SampledFrom([]string{"limited", "a", "b"}).Draw(t, "organisation"),
		Model:        "m", Attempt: 1, Arrived: w.now,
		PromptTokens: rapid.SampledFrom([]int{1, 100, 2000, 6000}).Draw(t, "prompt"),
	}
	if rapid.IntRange(0, 4).Draw(t, "excludes") == 0 {
		r.Excluded = []string{endpoint(rapid.IntRange(0, fuzzRunners-1).Draw(t, "excluded")).ID}
		r.Attempt = 2
	}
	if rapid.IntRange(0, 4).Draw(t, "has deadline") == 0 {
		r.Deadline = w.now.Add(3 * time.Second)
	}
	w.org[r.RequestID] = r.Organisation
	d := w.s.Submit(w.now, r)
	if d.Verdict == port.VerdictPlace && w.leaving[incarnationKey(&d.Endpoint)] {
		t.Fatalf("request %s placed on %s, which is leaving", r.RequestID, d.Endpoint.ID)
	}
	w.check(t, r, d)
}

// collect submits again every held request that is ready.
func (w *oracle) collect(t *rapid.T) {
	for id, r := range w.held {
		select {
		case <-w.s.Ready(id):
			w.check(t, r, w.s.Submit(w.now, r))
			if w.held[id] != nil {
				t.Fatalf("request %s was ready but is held again", id)
			}
		default:
		}
	}
}

func (w *oracle) anyPlaced(t *rapid.T) (string, bool) {
	ids := make([]string, 0, len(w.placed))
	for id := range w.placed {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return "", false
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "placed"), true
}

func (w *oracle) checkBounds(t *rapid.T) {
	perRunner, perOrganisation := map[string]int{}, map[string]int{}
	for id, e := range w.placed {
		perRunner[incarnationKey(&e)]++
		perOrganisation[w.org[id]]++
	}
	for runner, n := range perRunner {
		if n > fuzzBatch {
			t.Fatalf("%d generations on %s, want at most fuzzBatch", n, runner)
		}
	}
	for id := range w.held {
		perOrganisation[w.org[id]]++
	}
	if n := perOrganisation["limited"]; n > fuzzConcurrency {
		t.Fatalf("%d open requests of the limited organisation, want at most fuzzConcurrency", n)
	}
	if len(w.held) > fuzzQueue {
		t.Fatalf("%d requests held, want at most fuzzQueue", len(w.held))
	}
	for _, sh := range w.s.shards {
		if sh.queue.Len() > fuzzQueue {
			t.Fatalf("%d requests in the queue, want at most fuzzQueue", sh.queue.Len())
		}
	}
}

// Requests, ends, reports, leaving endpoints and new incarnations arrive in
// any order. Each request must be placed, refused or withdrawn, and none
// lost. No bound may be exceeded, nothing may be placed on an endpoint that
// is leaving or excluded by the request, and no state may remain at the end.
func TestSchedulerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOracle()
		t.Repeat(map[string]func(*rapid.T){
			"submit": w.submit,
			"flood": func(t *rapid.T) {
				for range 8 {
					w.submit(t)
				}
			},
			"progress": func(t *rapid.T) {
				if id, any := w.anyPlaced(t); any {
					w.s.Progress(w.now, id, rapid.IntRange(1, 5000).Draw(t, "tokens"))
				}
			},
			"finish": func(t *rapid.T) {
				if id, any := w.anyPlaced(t); any {
					kind := port.FinishKind(rapid.IntRange(int(port.FinishDone), int(port.FinishCancelled)).Draw(t, "kind"))
					w.s.Finished(w.now, id, rapid.IntRange(0, 3000).Draw(t, "tokens"), kind)
					delete(w.placed, id)
				}
			},
			"withdraw": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, w.submitted+1).Draw(t, "id"))
				if w.held[id] != nil {
					w.s.Withdraw(w.now, id)
					delete(w.held, id)
				}
			},
			"report": func(t *rapid.T) {
				i := rapid.IntRange(0, fuzzRunners-1).Draw(t, "runner")
				r := report(i, rapid.IntRange(0, 1000).Draw(t, "blocks"), rapid.IntRange(0, 3).Draw(t, "running"))
				r.Incarnation = w.state[i].Incarnation
				r.TakenUnixMillis = w.now.UnixMilli()
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					r.State = port.EndpointLeaving
					w.leaving[incarnationKey(&w.state[i])] = true
				}
				w.s.Report(w.now, r)
			},
			"endpoints": func(t *rapid.T) {
				i := rapid.IntRange(0, fuzzRunners-1).Draw(t, "runner")
				switch rapid.IntRange(0, 2).Draw(t, "change") {
				case 0:
					w.state[i].State = port.EndpointLeaving
					w.leaving[incarnationKey(&w.state[i])] = true
				case 1:
					w.state[i].State = port.EndpointLive
				default:
					w.state[i].State = port.EndpointLive
					w.state[i].Incarnation++
				}
				w.s.SetEndpoints(w.now, w.state[:])
			},
			"time": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				w.s.Tick(w.now)
				w.collect(t)
			},
			"": func(t *rapid.T) {
				w.collect(t)
				w.checkBounds(t)
			},
		})
		w.finishAll(t)
	})
}

// finishAll ends all requests and checks that no state remains.
func (w *oracle) finishAll(t *rapid.T) {
	w.collect(t)
	w.now = w.now.Add(11 * time.Second)
	w.s.Tick(w.now)
	w.collect(t)
	if len(w.held) != 0 {
		t.Fatalf("requests held past the hold limit: %v", w.held)
	}
	for id := range w.placed {
		w.s.Finished(w.now, id, 10, port.FinishDone)
	}
	w.s.Tick(w.now.Add(2 * collectTimeout))
	for i := range w.s.stripes {
		if n := len(w.s.stripes[i].entries); n != 0 {
			t.Fatalf("%d requests remain in the index, want 0", n)
		}
	}
	for _, sh := range w.s.shards {
		if sh.ownCount != 0 || sh.ownContext != 0 || sh.queue.Len() != 0 || len(sh.uncollected) != 0 {
			t.Fatalf("state remains: %d running with %v tokens, %d held", sh.ownCount, sh.ownContext, sh.queue.Len())
		}
		for _, o := range sh.organisations {
			if o.limiter.Open() != 0 || o.running != 0 || o.longRunning != 0 {
				t.Fatalf("counts of organisation %s remain; %d requests open", o.name, o.limiter.Open())
			}
		}
	}
}

// Guards against starvation: a stream of short requests keeps the only
// runner just full. A long request must be placed, or refused at the hold
// limit.
func TestLongRequestDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewScheduler(Options{RouterID: "router-1"})
		s.SetPolicy(fuzzPolicy())
		s.SetEndpoints(start, endpoints(1))
		s.Report(start, report(0, 0, 0))
		var running []string
		short := func(i int, now time.Time) {
			id := fmt.Sprint("short", i)
			if s.Submit(now, request(id, 200)).Verdict == port.VerdictPlace {
				running = append(running, id)
			}
		}
		for i := range fuzzBatch {
			short(i, start)
		}
		long := request("long", 9000)
		if d := s.Submit(start, long); d.Verdict != port.VerdictHold {
			t.Fatalf("verdict %v for the long request, want a hold", d.Verdict)
		}
		step := time.Duration(rapid.IntRange(20, 400).Draw(t, "step")) * time.Millisecond
		for i := 0; ; i++ {
			now := at(time.Duration(i+1) * step)
			if len(running) > 0 {
				s.Finished(now, running[0], 20, port.FinishDone)
				running = running[1:]
			}
			short(100+i, now)
			s.Tick(now)
			select {
			case <-s.Ready("long"):
				return
			default:
			}
			if now.Sub(start) > 10*time.Second+step {
				t.Fatalf("long request still held after %v", now.Sub(start))
			}
		}
	})
}

func TestSchedulerUnderRace(t *testing.T) {
	s := newTestScheduler(t, 4, nil)
	var wait sync.WaitGroup
	for g := range 8 {
		wait.Go(func() {
			for i := range 200 {
				id := fmt.Sprint(g, "-", i)
				r := request(id, 10+i)
				d := s.Submit(start, r)
				s.Report(start, report(i%4, i, i%5))
				if d.Verdict == port.VerdictHold {
					<-closedChannel
					s.Withdraw(start, id)
					continue
				}
				s.Progress(start, id, 5)
				if i%50 == 0 {
					s.SetEndpoints(start, endpoints(4))
					s.SetPolicy(fuzzPolicy())
				}
				s.Tick(start)
				s.Finished(start, id, 10, port.FinishDone)
			}
		})
	}
	wait.Wait()
	for i := range s.stripes {
		if n := len(s.stripes[i].entries); n != 0 {
			t.Fatalf("%d requests remain in the index, want 0", n)
		}
	}
}

type ranked struct{ rank, routers int }

func (r ranked) LiveRouters() int       { return r.routers }
func (r ranked) RouterRank() (int, int) { return r.rank, r.routers }

// Guards against herding. Six routers have the same stale report, in which
// one runner has the best score, and each gets four requests. If routers
// didn't prefer different runners, all would choose that one.
func TestRoutersWithOneStaleReportDontHerd(t *testing.T) {
	const routers, runners, each = 6, 12, 4
	counts := map[string]int{}
	for rank := range routers {
		s := NewScheduler(Options{RouterID: fmt.Sprint("router-", rank), Routers: ranked{rank, routers}})
		s.SetEndpoints(start, endpoints(runners))
		for i := range runners {
			used := 400
			if i == 7 {
				used = 350
			}
			s.Report(start, report(i, used, 6))
		}
		for i := range each {
			d := s.Submit(start, request(fmt.Sprint(rank, "-", i), 200))
			counts[d.Endpoint.ID]++
		}
	}
	worst := 0
	for _, n := range counts {
		worst = max(worst, n)
	}
	t.Logf("requests by runner: %v", counts)
	if worst > each+1 {
		t.Fatalf("%d of %d requests on one runner: %v", worst, routers*each, counts)
	}
}

// A router fails. The others must take over its preferred runners and its
// part of the limits at the next tick, without any change of the endpoints.
func TestPreferredRunnersFollowRouterCount(t *testing.T) {
	rank := ranked{0, 2}
	s := NewScheduler(Options{RouterID: "router-1", Routers: &rank})
	s.SetPolicy(port.Policy{Organisations: map[string]port.OrganisationLimits{"o": {Concurrency: 4}}})
	s.SetEndpoints(start, endpoints(2))
	if r := s.runner("runner-1"); r.preferred {
		t.Fatal("runner-1 is preferred by router 0, want router 1 only")
	}
	rank = ranked{0, 1}
	s.Tick(start)
	if r := s.runner("runner-1"); !r.preferred {
		t.Fatal("runner-1 isn't preferred by the only router")
	}
	for i := range 4 {
		wantVerdict(t, s.Submit(start, request(fmt.Sprint(i), 10)), port.VerdictPlace, ReasonPlaced)
	}
}

// Two routers receive the runners in different orders. They must still split
// them, or both would overload the same ones.
func TestPreferredRunnersDontDependOnListOrder(t *testing.T) {
	backwards := endpoints(4)
	slices.Reverse(backwards)
	a := NewScheduler(Options{RouterID: "a", Routers: ranked{0, 2}})
	a.SetEndpoints(start, endpoints(4))
	b := NewScheduler(Options{RouterID: "b", Routers: ranked{1, 2}})
	b.SetEndpoints(start, backwards)
	for id, r := range knownRunners(a) {
		if r.preferred == b.runner(id).preferred {
			t.Fatalf("%s is preferred by both routers or by none", id)
		}
	}
}

// Every endpoint fails every attempt. Retries must stay within a tenth of
// the first attempts, plus the reserve of the budget.
func TestRetryBudgetLimitsRetryStorm(t *testing.T) {
	s := newTestScheduler(t, 8, nil)
	first, retries := 0, 0
	for i := range 500 {
		now := at(time.Duration(i) * 100 * time.Millisecond)
		r := request(fmt.Sprint(i), 50)
		first++
		for {
			d := s.Submit(now, r)
			if d.Verdict != port.VerdictPlace {
				s.Withdraw(now, r.RequestID)
				break
			}
			if r.Attempt > 1 {
				retries++
			}
			s.Finished(now, r.RequestID, 0, port.FinishFailed)
			r.Attempt++
			r.Excluded = append(r.Excluded, d.Endpoint.ID)
		}
	}
	if float64(retries) > 0.1*float64(first)+5 {
		t.Fatalf("%d retries for %d first attempts, want at most a tenth and 5", retries, first)
	}
}
