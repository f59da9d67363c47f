package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// A runner joins, empty, while the pool is full and many prompts are held.
// All of them fit its cache. Guards against sending them there at once: the
// last would wait two seconds for prefill while other runners become free.
// The runner must get prompts up to the backlog limit, and the next one with
// each first token.
func TestNewRunnerGetsPromptsAsItPrefillsThem(t *testing.T) {
	const limit = 4000
	s := newTestScheduler(t, 1, func(o *Options) { o.PrefillBacklogLimit = limit })
	for i := range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 2500}, 20+i%20)
	}
	reportUntilSmoothed(s, start, 0, 995, 6)
	for i := range 5 {
		wantVerdict(t, s.Submit(start, request(fmt.Sprint("p", i), 2500)), port.VerdictHold, ReasonHeldOverflow)
	}
	now := at(100 * time.Millisecond)
	s.SetEndpoints(now, endpoints(2))
	s.Report(now, report(1, 0, 0))
	s.Tick(now)
	if n := s.runner("runner-1").ownCount; n != 2 {
		t.Fatalf("the new runner got %d prompts of 2,500 tokens, want 2: the second exceeds the limit of %d", n, limit)
	}
	first := s.releasedIDs()[0]
	s.Submit(now, request(first, 2500))
	s.Progress(at(400*time.Millisecond), first, 1)
	if n := s.runner("runner-1").ownCount; n != 3 {
		t.Fatalf("%d prompts on the new runner after the first token, want 3", n)
	}
}

// releasedIDs returns the requests that were released and not yet collected.
func (s *Scheduler) releasedIDs() []string {
	var out []string
	for _, e := range s.shards["pool"].uncollected {
		out = append(out, e.request.RequestID)
	}
	return out
}

// Runs grow by some hundred tokens while a prompt is prefilled. Guards
// against placing a prompt into the last free capacity: it or a run would be
// preempted before the first token, and thousands of tokens prefilled twice.
func TestPlacementKeepsGrowthReserve(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	for i := range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 3000}, 20+i%20)
	}
	const capacity, runs = 16000, 4
	for i := range runs {
		id := fmt.Sprint("run", i)
		wantVerdict(t, s.Submit(start, request(id, 3000)), port.VerdictPlace, ReasonPlaced)
		s.Progress(at(time.Second), id, 10)
	}
	left := capacity - runs*(3000+10)
	now := at(2 * time.Second)
	wantVerdict(t, s.Submit(now, request("all", left-runs*growthReserve+1)), port.VerdictHold, ReasonHeldOverflow)
	s.Withdraw(now, "all")
	wantVerdict(t, s.Submit(now, request("less", left-runs*growthReserve-100)), port.VerdictPlace, ReasonPlaced)
}

// Two requests wait for a full runner, an urgent and an ordinary one. The
// rank set by the operators decides which goes first.
func TestRankOrdersHeldRequests(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	for i := range 300 {
		for _, organisation := range []string{"ordinary", "urgent"} {
			s.lengths.Observe(length.Subject{Model: "m", Organisation: organisation, PromptTokens: 3000}, 20+i%20)
		}
	}
	reportUntilSmoothed(s, start, 0, 995, 6)
	ordinary, urgent := request("ordinary", 3000), request("urgent", 3000)
	ordinary.Organisation, ordinary.Rank = "ordinary", 1
	urgent.Organisation, urgent.Rank = "urgent", 0
	s.Submit(start, ordinary)
	s.Submit(at(time.Millisecond), urgent)
	reportUntilSmoothed(s, at(10*time.Millisecond), 0, 700, 4)
	s.Tick(at(20 * time.Millisecond))
	if ids := s.releasedIDs(); len(ids) != 1 || ids[0] != "urgent" {
		t.Fatalf("released %v, want only the urgent request", ids)
	}
}
