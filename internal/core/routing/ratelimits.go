package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
)

// SetLimitShare implements port.Relocator. It does nothing for an unknown pool.
func (s *Scheduler) SetLimitShare(now time.Time, pool string, share float64) {
	if sh := s.existingShard(pool); sh != nil {
		sh.setLimitShare(now, share)
	}
}

func (s *shard) setLimitShare(now time.Time, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limitShare == share {
		return
	}
	s.now = now
	wasWhole := s.limitShare >= 1
	s.limitShare = share
	if wasWhole == (share >= 1) {
		return
	}
	// Another daemon begins or ceases to place at the same runners, so what was admitted
	// here doesn't show how much they accept now.
	for _, r := range s.runners {
		r.meter = ratelimit.Meter{}
	}
}

// limitOf returns the rate limit of a runner within which this scheduler places.
func (s *shard) limitOf(r *runner) ratelimit.Limit {
	l := ratelimit.LimitOf(&r.endpoint)
	l.PerSecond *= s.limitShare
	return l
}

// atRateLimit reports whether the runner has a rate limit and accepts no more requests of
// this scheduler now.
func (s *shard) atRateLimit(now time.Time, r *runner) bool {
	l := s.limitOf(r)
	if s.limitShare < 1 {
		r.meter.Restrict(now, l)
	}
	return r.meter.Wait(now, l) > 0
}
