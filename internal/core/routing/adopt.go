package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Adopt implements port.Relocator. A run that is known, or whose runner isn't,
// changes nothing.
func (s *Scheduler) Adopt(now time.Time, r *port.RunningRequest) {
	runner := s.runner(r.EndpointID)
	if runner == nil || s.find(r.Request.RequestID) != nil {
		return
	}
	runner.shard.adopt(now, runner, r)
}

// Placed counts the runs that are placed.
func (s *Scheduler) Placed() int {
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
	// It was counted as asked for where it was placed.
	request.Attempt = max(2, request.Attempt)
	e := s.newEntry(now, &request)
	// Its limits were checked there too.
	e.org.limiter.Reopen()
	e.seen = run.Tokens
	e.progressed = now
	e.print.set(&e.survival, request.PromptTokens, e.seen, request.MaxTokens)
	s.count(now, e, r)
	e.state = entryRunning
	s.scheduler.insert(e)
}
