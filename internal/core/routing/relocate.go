package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// farCost keeps a moved run in its failure domain, where its tokens are copied
// in half the time, unless runners elsewhere are far emptier. It is in units
// of the score: an overflow weighed 2 at a quarter more of the cache in use.
const farCost = 0.5

// Relocate implements port.Relocator. The run is counted at both runners until
// Relocated: its tokens take room at either while they are copied.
func (s *Scheduler) Relocate(now time.Time, requestID string, terms port.Relocation) port.Decision {
	e := s.find(requestID)
	if e == nil {
		return s.refusal(ReasonRefusedGone, 0)
	}
	return e.shard.relocate(now, e, terms)
}

// Relocated implements port.Relocator.
func (s *Scheduler) Relocated(now time.Time, requestID string, moved bool) {
	if e := s.find(requestID); e != nil {
		e.shard.relocated(now, e, moved)
	}
}

func (s *shard) relocate(now time.Time, e *entry, terms port.Relocation) port.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if e.state != entryRunning {
		return s.scheduler.refusal(ReasonRefusedGone, 0)
	}
	s.dropNext(now, e)
	var k ranking
	s.rankDestinations(now, e, terms, &k)
	c := k.chosen()
	if c == nil {
		d := s.scheduler.refusal(ReasonRefusedRoom, 0)
		d.Candidates = k.candidates()
		return d
	}
	e.next = c.runner
	e.next.meter.Take(now, ratelimit.Of(&e.next.endpoint))
	e.next.take(now, e)
	d := s.placed(e, &k, ReasonRelocated)
	d.Endpoint = e.next.endpoint
	return d
}

// rankDestinations scores the runners that could take over a run. It is about
// to be lost where it is, so any chance of overflow later is accepted; only
// room that is missing now, or as soon as those there have grown a little, is
// not: a run that takes the last room stalls another one there.
func (s *shard) rankDestinations(now time.Time, e *entry, terms port.Relocation, out *ranking) {
	q := s.query(now, e)
	runners := s.byModel[e.request.Model]
	ratio, allowance := s.growthRatio(), s.allowance(len(runners))
	several := s.severalFail(now, runners)
	for _, r := range runners {
		c := scored{runner: r}
		capacity := r.capacity()
		chance, peak := s.overflow(now.UnixNano(), &q, r, &ratio, allowance, capacity)
		c.overflow = (chance + (peak+q.peak)/capacity) / 2
		c.total = q.weights.Overflow*c.overflow + noise*s.random.Float64()
		if terms.FailureDomain != "" && r.endpoint.FailureDomain != terms.FailureDomain {
			c.total += farCost
		}
		used := r.own.mean[0] + r.elseContext
		switch {
		case r == e.runner || contains(terms.Excluded, r.endpoint.ID):
			c.excluded = ExcludedTried
		case !r.breaker.allows(now, several):
			c.excluded = ExcludedBreaker
		case r.atLimit(now):
			c.excluded = ExcludedLimit
		case r.endpoint.Slots > 0 && r.count() >= float64(r.endpoint.Slots):
			c.excluded = ExcludedBatch
		case used+e.context()+growthRoom*r.count() > capacity:
			c.excluded = ExcludedOverflow
		}
		out.note(&c)
	}
}

func (s *shard) relocated(now time.Time, e *entry, moved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if e.next == nil {
		return
	}
	if !moved {
		s.dropNext(now, e)
		return
	}
	e.runner.give(now, e)
	e.runner, e.next = e.next, nil
	s.release(now)
}

// dropNext takes a run off the runner that it was to move to.
func (s *shard) dropNext(now time.Time, e *entry) {
	if e.next == nil {
		return
	}
	e.next.give(now, e)
	e.next = nil
}

// context is the room that the run takes in a cache.
func (e *entry) context() float64 { return float64(e.request.PromptTokens + e.seen) }

// unread is the part of the prompt that still has to be read.
func (e *entry) unread() float64 {
	if e.seen > 0 {
		return 0
	}
	return float64(e.request.PromptTokens)
}

// take counts a run at the runner.
func (r *runner) take(now time.Time, e *entry) {
	r.own.add(&e.print)
	r.note(now, e.context(), e.unread(), 1)
}

// give takes it off again.
func (r *runner) give(now time.Time, e *entry) {
	r.own.subtract(&e.print)
	r.note(now, -e.context(), -e.unread(), -1)
}
