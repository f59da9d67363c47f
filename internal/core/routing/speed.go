package routing

import (
	"math"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/core/speed"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// completionScale is the expected time in milliseconds until the end of a
	// generation that counts as 1 in a score. An answer of 750 tokens takes about
	// that long, so that a difference of 1 in slowness outweighs two or three runs
	// that a prompt of 3,000 tokens would interrupt.
	completionScale = 6000
	// waitFraction is the fraction of the time until the latest placement during which
	// a request waits rather than run on a risky runner. With all of that time, 2 to 4%
	// fewer short generations that queue behind it are on time.
	waitFraction = 0.5
	// severalEvents is the expected number of events from which on the limit for the
	// gap decides about runners. A shorter answer has too few gaps to meet a brief
	// slow period of its runner.
	severalEvents = 4
	// fastQuantile is the quantile of the usual slowness that counts as that of a
	// fast runner.
	fastQuantile = 0.25
)

// poolSpeed is what a shard knows of the speed of its runners. It is computed at
// ticks, as it takes sorting.
type poolSpeed struct {
	// stated is set once a runner may have stated its slowness.
	stated bool
	// uneven is set if speeds are compared: the rules on speed are switched on, and
	// a runner has stated its slowness.
	uneven bool
	// computedAt is the time of the last computation of the medians.
	computedAt time.Time
	medians    speed.Pool
	// stepMillis is the expected time of a decoding step at a runner of median speed.
	stepMillis float64
	// fastest is the usual slowness of a fast runner.
	fastest float64
	// promptMillis is the recent time to prefill one prompt token at a runner of
	// median speed; zero while it isn't known.
	promptMillis float64
}

// speedQuery holds the values of a request that the comparison of speeds needs.
type speedQuery struct {
	uneven bool
	// completionMillis is the expected time of the remaining steps at a runner of
	// median speed.
	completionMillis float64
	// limitsGap is set if risky runners are a last resort for the request.
	limitsGap bool
	// stepMillis is the step time of a runner of median speed.
	stepMillis float64
	// promptMillis is the prefill time of a prompt token at a runner of median speed.
	promptMillis float64
	// firstTokenMillis is the time left until the first token is due.
	firstTokenMillis float64
	// mayWait is set while the request waits rather than run on a risky runner.
	mayWait bool
}

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
	s.stated = s.stated || sample.Slowness > 0
	r.speed.State(now, sample.Slowness)
	r.speed.ObserveStep(milliseconds(sample.PerToken) / (1 + stepGrowthPerRun*r.count()))
	r.speed.ObserveGap(now, sample.Gap)
	if s.uneven {
		r.updateSpeed(now, s.medians)
	}
}

// recompute lets the next tick compute the medians.
func (p *poolSpeed) recompute() { p.stated, p.computedAt = true, time.Time{} }

// mediansInterval is the time between two computations of a pool's medians. At each tick
// they would cost the coordinator of 3,000 runners 1.5% of a core.
const mediansInterval = 250 * time.Millisecond

// updateSpeeds computes the speeds of the pool and of its runners. Between two
// computations of the medians it updates only the runners that are slower than usual,
// because that passes within tenths of a second.
func (s *shard) updateSpeeds(now time.Time) {
	if !s.scheduler.options.UnevenEndpoints || !s.stated {
		return
	}
	if s.uneven && now.Sub(s.computedAt) < mediansInterval {
		for _, r := range s.runners {
			if r.present > r.usual {
				r.updateSpeed(now, s.medians)
			}
		}
		return
	}
	s.computedAt = now
	s.uneven = slices.ContainsFunc(s.runners, func(r *runner) bool { return r.speed.HasStated() })
	s.stated = s.uneven
	if !s.uneven {
		return
	}
	s.medians = speed.Medians(func(yield func(*speed.Endpoint) bool) {
		for _, r := range s.runners {
			if !yield(&r.speed) {
				return
			}
		}
	})
	var sum, known float64
	usual := make([]float64, len(s.runners))
	for i, r := range s.runners {
		r.updateSpeed(now, s.medians)
		usual[i] = r.usual
		if r.measuredTokenMillis > 0 || r.report.TokenMillis > 0 {
			sum += r.tokenMillis() / r.usual
			known++
		}
	}
	s.stepMillis = unknownTokenMillis
	if known > 0 {
		s.stepMillis = sum / known
	}
	slices.Sort(usual)
	s.fastest = usual[int(fastQuantile*float64(len(usual)-1))]
}

func (r *runner) updateSpeed(now time.Time, medians speed.Pool) {
	r.usual = r.speed.Usual(medians)
	r.present = r.speed.Present(now, medians)
	r.longestGap = milliseconds(r.speed.LongestGap(now))
}

// observePrefill applies the time that a runner took from the placement of a
// request to its first token.
func (s *shard) observePrefill(e *entry, elapsed time.Duration) {
	if e.backlog <= 0 || elapsed < minPrefillTime {
		return
	}
	sample := milliseconds(elapsed) / e.backlog / e.runner.usual
	if s.promptMillis == 0 {
		s.promptMillis = sample
		return
	}
	s.promptMillis += prefillTimeSmoothing * (sample - s.promptMillis)
}

// expectedPrefill returns the expected time from the placement of a prompt to its
// first token: at a fast runner if speeds are compared, else the pool's recent time.
func (s *shard) expectedPrefill(promptTokens int) time.Duration {
	if !s.uneven || s.promptMillis == 0 {
		return s.prefillTime
	}
	millis := float64(promptTokens) * s.promptMillis * s.fastest
	return time.Duration(millis * float64(time.Millisecond))
}

// speedQuery returns the values of a request that the comparison of speeds needs.
func (s *shard) speedQuery(now time.Time, e *entry) speedQuery {
	if !s.uneven {
		return speedQuery{}
	}
	steps := e.expectedSteps()
	q := speedQuery{
		uneven:           true,
		completionMillis: steps * s.stepMillis,
		stepMillis:       s.stepMillis,
		promptMillis:     s.promptMillis,
		firstTokenMillis: math.Inf(1),
	}
	if e.request.TokenGap > 0 && len(s.runners) > 0 {
		q.limitsGap = steps >= severalEvents*s.runners[0].eventTokens()
	}
	if e.request.Objective > 0 && e.generated == 0 {
		q.firstTokenMillis = milliseconds(e.request.Arrived.Add(e.request.Objective).Sub(now))
		slack := float64(e.item.ServeBy.Sub(e.request.Arrived))
		q.mayWait = q.limitsGap && now.Before(e.request.Arrived.Add(time.Duration(waitFraction*slack)))
	}
	return q
}

// weighBySpeed computes the time parts of the score that depend on the runner's
// speed, for the prompt tokens that are to be prefilled and those that are cached.
// Cached tokens count as if the runner had median speed, so that runners of equal
// speed compare as without their speed. It returns the part of the score for the
// expected completion.
func (q *query) weighBySpeed(r *runner, c *scored, prompt, cached float64) (completion float64) {
	work := (r.ownPrefill + r.othersPrefill + prompt) * r.present
	c.prefill = (work + cached) / prefillScale
	if q.limitsGap {
		c.risky = r.longestGap > q.gapMillis*r.eventTokens() || q.stepMillis*r.usual > q.gapMillis
		c.late = work*q.promptMillis > q.firstTokenMillis
	}
	return q.completionMillis * r.usual / completionScale
}

// lastResort reports whether the runner is chosen only if no other one serves the
// request on time.
func (c *scored) lastResort() bool { return c.risky || c.late }

// isTemporary reports whether an exclusion ends with other requests at the runner.
func isTemporary(excluded string) bool {
	switch excluded {
	case ExcludedOverflow, ExcludedReserved, ExcludedPrefill, ExcludedBatch, ExcludedLimit:
		return true
	default:
		return false
	}
}

// eventTokens returns the number of tokens in one event of the runner's streams.
func (r *runner) eventTokens() float64 { return float64(max(1, r.endpoint.EventTokens)) }

// expectedSteps returns the expected number of tokens that the request still gets. It
// is computed once for each number of generated tokens, as a held request is tried
// often.
func (e *entry) expectedSteps() float64 {
	if !e.stepsKnown || e.stepsAt != e.generated {
		e.steps = expectedSteps(&e.survival, e.generated, e.request.MaxTokens)
		e.stepsKnown, e.stepsAt = true, e.generated
	}
	return e.steps
}

// stepMarks are the numbers of further tokens between which the expected number of
// steps is interpolated.
var stepMarks = [...]int{0, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192}

// expectedSteps returns the expected number of tokens that an answer still gets.
func expectedSteps(s *length.Survival, generated, maxTokens int) float64 {
	last := math.MaxInt
	if maxTokens > 0 {
		last = max(0, maxTokens-generated)
	}
	now := s.Beyond(generated)
	if now <= 0 {
		return 0
	}
	sum, at, alive := 0.0, 0, 1.0
	for _, mark := range stepMarks[1:] {
		if at >= last {
			break
		}
		mark = min(mark, last)
		next := s.Beyond(generated+mark) / now
		sum += (alive + next) / 2 * float64(mark-at)
		at, alive = mark, next
	}
	return sum
}
