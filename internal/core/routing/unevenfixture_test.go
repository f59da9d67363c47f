package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	testCache       = 26_900
	testEventTokens = 4
	testGap         = 180 * time.Millisecond
)

// unevenRunners returns n runners of one pool with the caches and events of a pool
// that serves long and short generations.
func unevenRunners(n int) []port.Endpoint {
	es := endpoints(n)
	for i := range es {
		es[i].CacheTokens, es[i].Slots, es[i].EventTokens = testCache, 24, testEventTokens
	}
	return es
}

// unevenScheduler returns a scheduler of runners that state these slownesses, zero
// for none. The routes "long" and "short" have answers of 750 and 10 tokens.
func unevenScheduler(t testing.TB, slowness ...float64) *Scheduler {
	t.Helper()
	s := newTestScheduler(t, 0, func(o *Options) {
		o.UnevenEndpoints, o.PrefillBacklogLimit, o.BusyThreshold = true, 6144, 1
	})
	s.SetEndpoints(start, unevenRunners(len(slowness)))
	for i, x := range slowness {
		s.state(i, x)
	}
	for i := range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", Route: "long", PromptTokens: 3000}, 700+i%100)
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", Route: "short", PromptTokens: 2200}, 8+i%5)
	}
	// Step times of 9 ms and a prefill of 0.15 ms a token are known.
	for i := range slowness {
		s.runner(runnerID(i)).measuredTokenMillis = 9 * max(0.01, slowness[i])
	}
	s.shards["pool"].promptMillis = 0.15
	s.Tick(start)
	return s
}

func runnerID(i int) string { return fmt.Sprint("runner-", i) }

// state makes a runner state a slowness some times.
func (s *Scheduler) state(i int, slowness float64) {
	for range 3 {
		s.runner(runnerID(i)).speed.State(start, slowness)
	}
	s.runner(runnerID(i)).shard.recompute()
}

func longRequest(id string) *port.GenerationRequest {
	r := request(id, 3000)
	r.Route, r.Objective, r.TokenGap = "long", 1800*time.Millisecond, testGap/testEventTokens
	return r
}

func shortRequest(id string) *port.GenerationRequest {
	r := request(id, 2200)
	r.Route, r.Objective, r.TokenGap = "short", 1500*time.Millisecond, testGap/testEventTokens
	return r
}

// onlyAt excludes all runners but one.
func onlyAt(s *Scheduler, i int, r *port.GenerationRequest) *port.GenerationRequest {
	for _, other := range s.shards["pool"].runners {
		if other.endpoint.ID != runnerID(i) {
			r.Excluded = append(r.Excluded, other.endpoint.ID)
		}
	}
	return r
}

// addRuns places long generations on one runner. Their prompts are prefilled.
func addRuns(t testing.TB, s *Scheduler, runner, runs int) {
	t.Helper()
	for range runs {
		id := fmt.Sprintf("run-%d-%d", runner, s.runner(runnerID(runner)).ownCount)
		r := onlyAt(s, runner, longRequest(id))
		r.Objective, r.TokenGap = 0, 0
		wantVerdict(t, s.Submit(start, r), port.VerdictPlace, ReasonPlaced)
		s.Progress(start, id, testEventTokens)
	}
}

// addBacklog gives a runner prompt tokens that wait for prefill.
func addBacklog(s *Scheduler, runner int, tokens float64) {
	s.runner(runnerID(runner)).othersPrefill = tokens
}

func addGap(s *Scheduler, runner int, gap time.Duration) {
	s.runner(runnerID(runner)).speed.ObserveGap(start, gap)
	s.shards["pool"].recompute()
	s.Tick(start)
}

func wantRunner(t testing.TB, d port.Decision, i int) {
	t.Helper()
	if d.Verdict != port.VerdictPlace || d.Endpoint.ID != runnerID(i) {
		t.Fatalf("verdict %v (%s) for %q, want a placement on %s; candidates %+v", d.Verdict, d.Endpoint.ID, d.Reason, runnerID(i), d.Candidates)
	}
}
