package routing

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// otherDomainCost is added to the score of runners in other failure domains.
// A run stays in its domain, where copying its tokens takes half the time,
// unless runners elsewhere are far emptier. It is in units of the score:
// with an overflow weight of 2 it equals a quarter more of the cache in use.
const otherDomainCost = 0.5

// Relocate implements port.Relocator. The run counts at both runners until
// Relocated is called, because its tokens use cache at both during the copy.
func (s *Scheduler) Relocate(now time.Time, requestID string, terms port.RelocationConstraints) port.Decision {
	e := s.find(requestID)
	if e == nil {
		return s.refusal(ReasonRefusedNotRunning, 0)
	}
	return e.shard.relocate(now, e, terms)
}

// Relocated implements port.Relocator.
func (s *Scheduler) Relocated(now time.Time, requestID string, moved bool) {
	if e := s.find(requestID); e != nil {
		e.shard.relocated(now, e, moved)
	}
}

func (s *shard) relocate(now time.Time, e *entry, terms port.RelocationConstraints) port.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if e.state != entryRunning {
		return s.scheduler.refusal(ReasonRefusedNotRunning, 0)
	}
	s.dropDestination(now, e)
	var k ranking
	s.rankDestinations(now, e, terms, &k)
	c := k.chosen()
	if c == nil {
		d := s.scheduler.refusal(ReasonRefusedNoCapacity, 0)
		d.Candidates = k.candidates()
		return d
	}
	e.destination = c.runner
	s.meterOf(e.destination).Take(now, s.limitOf(e.destination))
	e.destination.addRun(now, e)
	d := s.placement(e, &k, ReasonRelocated)
	d.Endpoint = e.destination.endpoint
	return d
}

// rankDestinations scores the runners that could take over a run. The run
// would otherwise be lost, so any probability of a later overflow is
// accepted. Excluded are only runners that lack the capacity now, or will
// after a little growth of their runs: a run that takes the last capacity
// stalls another one there.
func (s *shard) rankDestinations(now time.Time, e *entry, terms port.RelocationConstraints, out *ranking) {
	q := s.query(now, e)
	runners := s.byModel[e.request.Model]
	ratio, allowance := s.growthRatio(), s.allowance(len(runners))
	multipleFailures := s.multipleFailures(now, runners)
	prompt := e.unprocessedPrompt()
	out.uneven = q.uneven
	for _, r := range runners {
		c := scored{runner: r}
		capacity := r.capacity()
		chance, peak := s.overflow(now.UnixNano(), &q, r, &ratio, allowance, capacity)
		c.overflow = (chance + (peak+q.peak)/capacity) / 2
		c.total = q.weights.Overflow*c.overflow + tieBreakNoise*s.random.Float64()
		if q.uneven {
			completion := q.weighBySpeed(r, &c, prompt, 0)
			c.gap = prompt / prefillScale * r.count() / batchScale * r.present
			c.total += q.weights.Gap*c.gap + q.weights.Prefill*c.prefill + completion
		}
		if terms.FailureDomain != "" && r.endpoint.FailureDomain != terms.FailureDomain {
			c.total += otherDomainCost
		}
		used := r.own.mean[0] + r.othersContext
		switch {
		case r == e.runner || contains(terms.Excluded, r.endpoint.ID):
			c.excluded = ExcludedTried
		case !r.breaker.allows(now, multipleFailures):
			c.excluded = ExcludedBreaker
		case s.atRateLimit(now, r):
			c.excluded = ExcludedLimit
		case r.endpoint.Slots > 0 && r.count() >= float64(r.endpoint.Slots):
			c.excluded = ExcludedBatch
		case used+e.contextTokens()+growthReserve*r.count() > capacity:
			c.excluded = ExcludedOverflow
		}
		out.insert(&c)
	}
}

func (s *shard) relocated(now time.Time, e *entry, moved bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if e.destination == nil {
		return
	}
	if !moved {
		s.dropDestination(now, e)
		return
	}
	e.runner.removeRun(now, e)
	e.runner, e.destination = e.destination, nil
	s.release(now)
}

// dropDestination removes a run from the runner that it was to move to.
func (s *shard) dropDestination(now time.Time, e *entry) {
	if e.destination == nil {
		return
	}
	e.destination.removeRun(now, e)
	e.destination = nil
}

// contextTokens returns the number of cache tokens that the run uses.
func (e *entry) contextTokens() float64 { return float64(e.request.PromptTokens + e.generated) }

// unprocessedPrompt returns the prompt tokens that are still to be
// prefilled.
func (e *entry) unprocessedPrompt() float64 {
	if e.generated > 0 {
		return 0
	}
	return float64(e.request.PromptTokens)
}

// addRun adds a run to the runner's counts.
func (r *runner) addRun(now time.Time, e *entry) {
	r.own.add(&e.print)
	r.recordChange(now, e.contextTokens(), e.unprocessedPrompt(), 1)
}

// removeRun removes a run from the runner's counts.
func (r *runner) removeRun(now time.Time, e *entry) {
	r.own.subtract(&e.print)
	r.recordChange(now, -e.contextTokens(), -e.unprocessedPrompt(), -1)
}
