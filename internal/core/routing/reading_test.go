package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// A pool is full and many prompts wait when a runner joins, empty. All of them
// would fit its cache, and went there at once: the last was read after two
// seconds, while other runners came free. It gets as many as are soon read, and
// the next one with each first token.
func TestNewRunnerGetsPromptsAsItReadsThem(t *testing.T) {
	const limit = 4000
	s := newTestScheduler(t, 1, func(o *Options) { o.UnreadLimit = limit })
	for i := range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 2500}, 20+i%20)
	}
	settle(s, start, 0, 995, 6)
	for i := range 5 {
		wantVerdict(t, s.Submit(start, request(fmt.Sprint("p", i), 2500)), port.VerdictHold, ReasonHeldOverflow)
	}
	now := at(100 * time.Millisecond)
	s.SetEndpoints(now, endpoints(2))
	s.Report(now, report(1, 0, 0))
	s.Tick(now)
	if n := s.runner("runner-1").ownCount; n != 2 {
		t.Fatalf("the new runner got %d prompts of 2,500 tokens, want 2: one above %d", n, limit)
	}
	first := s.releasedIDs()[0]
	s.Submit(now, request(first, 2500))
	s.Progress(at(400*time.Millisecond), first, 1)
	if n := s.runner("runner-1").ownCount; n != 3 {
		t.Fatalf("%d prompts after the first token, want the next one at once", n)
	}
}

// releasedIDs lists those that have a place and whose callers have yet to ask.
func (s *Scheduler) releasedIDs() []string {
	var out []string
	for _, e := range s.shards["pool"].waiting {
		out = append(out, e.request.RequestID)
	}
	return out
}

// Five runs grow by some hundred tokens while a prompt is read. Admitted into
// the last room, the prompt or a run was preempted before the first token, and
// thousands of tokens were read twice.
func TestLastRoomIsKeptForGrowth(t *testing.T) {
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
	wantVerdict(t, s.Submit(now, request("all", left-runs*growthRoom+1)), port.VerdictHold, ReasonHeldOverflow)
	s.Withdraw(now, "all")
	wantVerdict(t, s.Submit(now, request("less", left-runs*growthRoom-100)), port.VerdictPlace, ReasonPlaced)
}

// Reports of one organisation wait for a full runner, an urgent organisation's
// and an ordinary one's. The operators' rank decides who goes first.
func TestRankDecidesAmongThoseThatWait(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	for i := range 300 {
		for _, organisation := range []string{"ordinary", "urgent"} {
			s.lengths.Observe(length.Subject{Model: "m", Organisation: organisation, PromptTokens: 3000}, 20+i%20)
		}
	}
	settle(s, start, 0, 995, 6)
	ordinary, urgent := request("ordinary", 3000), request("urgent", 3000)
	ordinary.Organisation, ordinary.Rank = "ordinary", 1
	urgent.Organisation, urgent.Rank = "urgent", 0
	s.Submit(start, ordinary)
	s.Submit(at(time.Millisecond), urgent)
	settle(s, at(10*time.Millisecond), 0, 700, 4)
	s.Tick(at(20 * time.Millisecond))
	if ids := s.releasedIDs(); len(ids) != 1 || ids[0] != "urgent" {
		t.Fatalf("released %v", ids)
	}
}
