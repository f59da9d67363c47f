package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// ObserveStream implements port.Relocator.
func (s *Scheduler) ObserveStream(now time.Time, requestID string, sample port.StreamSample) {
	if e := s.find(requestID); e != nil {
		e.shard.observeStream(now, e, sample)
	}
}

func (s *shard) observeStream(now time.Time, e *entry, sample port.StreamSample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.state != entryRunning {
		return
	}
	r := e.runner
	r.speedAt = now
	r.speed.State(now, sample.Slowness)
	r.speed.ObserveStep(milliseconds(sample.PerToken) / (1 + stepGrowthPerRun*r.count()))
	r.speed.ObserveGap(now, sample.Gap)
}
