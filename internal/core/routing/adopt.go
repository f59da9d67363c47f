package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Adopt implements port.Relocator. It does nothing if the run is already
// known or its runner isn't.
func (s *Scheduler) Adopt(now time.Time, r *port.RunningRequest) {
	runner := s.runner(r.EndpointID)
	if runner == nil || s.find(r.Request.RequestID) != nil {
		return
	}
	runner.shard.adopt(now, runner, r)
}

// RunCount returns the number of placed runs.
func (s *Scheduler) RunCount() int {
	n := 0
	for _, sh := range s.allShards() {
		sh.mu.Lock()
		n += sh.ownCount
		sh.mu.Unlock()
	}
	return n
}

func (s *shard) adopt(now time.Time, r *runner, run *port.RunningRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	request := run.Request
	// The scheduler that placed the request already counted its first
	// attempt: don't add it to the organisation's demand again.
	request.Attempt = max(2, request.Attempt)
	e := s.newEntry(now, &request)
	// That scheduler also checked the organisation's limits.
	e.org.limiter.Reopen()
	e.generated = run.Tokens
	e.progressedAt = now
	e.print.set(&e.survival, request.PromptTokens, e.generated, request.MaxTokens)
	s.countRun(now, e, r)
	e.state = entryRunning
	s.scheduler.insert(e)
}
