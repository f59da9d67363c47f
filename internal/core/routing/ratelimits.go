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
	// Another daemon begins or ceases to place at the same runners. What was admitted here
	// before still counts: a member list that changes back and forth would otherwise let
	// each runner get a further request at each change.
	for _, r := range s.runners {
		r.meter.TakeOver()
		r.shareMeter = ratelimit.Meter{}
	}
}

// meterOf returns the meter for the limit that limitOf returns.
func (s *shard) meterOf(r *runner) *ratelimit.Meter {
	if s.limitShare < 1 {
		return &r.shareMeter
	}
	return &r.meter
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
	l, m := s.limitOf(r), s.meterOf(r)
	if s.limitShare < 1 {
		m.Restrict(now, l, s.random.Float64)
	}
	return m.Wait(now, l) > 0
}
