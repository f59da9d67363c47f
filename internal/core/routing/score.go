package routing

import (
	"math"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Scales that give each part of a score the same unit: about one where a
// runner is as bad as may be accepted.
const (
	// prefillScale are the prompt tokens that count as one.
	prefillScale = 2048
	// crowd is the batch for which a prompt's stretched step counts as one.
	crowd = 4
	// stepPart weighs the reported step time, which finds a slow runner but
	// swings with each prompt, beside the harm that this prompt does.
	stepPart = 0.3
	// gapPerJob is the part by which one more job stretches a step.
	gapPerJob = 0.02
	// noise breaks ties between runners that are as good as each other, so
	// that routers with the same stale report don't all choose the same.
	noise = 0.03
	// awayCost and awayLimit keep a router on its home runners unless others
	// are clearly better: there its own view is nearly whole, while on others
	// several routers would act on the same stale report.
	awayCost  = 0.5
	awayLimit = 0.2
	// growthRoom are the tokens that each run at a runner grows by while a new
	// prompt is read there, about a second at a full engine. A prompt that is
	// admitted into the last room is preempted, or preempts, before its first
	// token: 90 preempted requests became 50 to 70 in 34 s at 45 full engines.
	// 256 and 400 tokens preempt no fewer, and hold room that prompts wait for.
	growthRoom = 128
	// maxReportAge bounds the allowance where reports have stopped.
	maxReportAge = 5 * time.Second
	// allowanceFactor covers that the other routers' dispatches bunch.
	allowanceFactor = 2
)

// query is one request as scoring sees it.
type query struct {
	request *port.GenerationRequest
	weights port.Weights
	print   footprint
	peak    float64
	alive   [numHorizons]float64
	limit   float64
	// gapMillis is the time between two tokens that is on time.
	gapMillis float64
	prefix    *holders
	prefixed  int
	// severalFail: too many runners have failed for one failure to count.
	severalFail bool
}

// scored is one candidate of a decision.
type scored struct {
	runner   *runner
	total    float64
	overflow float64
	gap      float64
	prefill  float64
	prefix   float64
	excluded string
}

// ranking keeps the best candidates of one decision without allocation.
type ranking struct {
	best  [maxCandidates]scored
	count int
	// excluded counts all that were looked at and could not be chosen.
	overflowed int
	batchFull  int
	reading    int
	limited    int
	tried      int
	broken     int
	tooSmall   int
	// use and capacity sum the expected peaks over the pool.
	use      float64
	capacity float64
	// pace is the cache times steps that the pool does in a second.
	pace float64
}

// rank scores all runners of a model.
func (s *shard) rank(now time.Time, q *query, runners []*runner, out *ranking) {
	ratio := s.growthRatio()
	allowance := s.allowance(len(runners))
	nanos := now.UnixNano()
	q.severalFail = s.severalFail(now, runners)
	for _, r := range runners {
		c := s.score(nanos, q, r, &ratio, allowance, out)
		out.note(&c)
	}
}

func (s *shard) score(now int64, q *query, r *runner, ratio *footprint, allowance float64, out *ranking) scored {
	c := scored{runner: r}
	capacity := r.capacity()
	chance, peak := s.overflow(now, q, r, ratio, allowance, capacity)
	out.use += peak
	out.capacity += capacity
	out.pace += capacity * 1000 / r.tokenMillis()

	c.overflow = (chance + (peak+q.peak)/capacity) / 2
	q.timeParts(r, &c)
	c.total = q.weights.Overflow*c.overflow + q.weights.Gap*c.gap +
		q.weights.Prefill*c.prefill - q.weights.Prefix*c.prefix + noise*s.random.Float64()
	limit := q.limit
	if !r.home {
		c.total += awayCost
		limit *= awayLimit
	}
	c.excluded = s.exclude(q, r, capacity, chance > limit, out)
	return c
}

// overflow returns the largest chance over the horizons that the runner's
// cache overflows while the new one is there, and the largest expected use
// without the new one.
func (s *shard) overflow(now int64, q *query, r *runner, ratio *footprint, allowance, capacity float64) (chance, peak float64) {
	age := min(maxReportAge, time.Duration(now-r.reportNanos)).Seconds()
	others := r.elseContext + allowance*age
	for k := range numHorizons {
		mean := r.own.mean[k] + others*ratio.mean[k]
		if mean > peak {
			peak = mean
		}
		room := capacity - mean - q.print.mean[k]
		if k == 0 {
			room -= growthRoom * r.count()
		}
		variance := r.own.variance[k] + others*ratio.variance[k] + q.print.variance[k] + 1
		if room > 0 && room*room >= certainDeviations*certainDeviations*variance {
			continue
		}
		// Only while the new one is there can it be blamed or hurt.
		if over := q.alive[k] * overflowChance(room/math.Sqrt(variance)); over > chance {
			chance = over
		}
	}
	return chance, peak
}

// timeParts fills in the parts of the score that are about time: the gap
// between tokens, the prompts ahead, and the credit for a cached prefix.
func (q *query) timeParts(r *runner, c *scored) {
	count := r.count()
	batch := float64(r.report.Running + r.report.Waiting)
	step := r.tokenMillis() / q.gapMillis * (1 + gapPerJob*max(-batch, count-batch))
	prompt := float64(q.request.PromptTokens)
	if q.prefix != nil && q.prefix.has(r) {
		cached := min(prompt, float64(q.prefixed*r.blockTokens()))
		c.prefix = cached / prefillScale
		prompt -= cached
	}
	c.gap = stepPart*step + prompt/prefillScale*count/crowd
	c.prefill = (r.ownPrefill + r.elsePrefill) / prefillScale
}

// exclude returns why the runner can't be chosen, or "", and counts it.
func (s *shard) exclude(q *query, r *runner, capacity float64, overflows bool, out *ranking) string {
	count := r.count()
	switch {
	case contains(q.request.Excluded, r.endpoint.ID):
		out.tried++
		return ExcludedTried
	case !r.breaker.allows(s.now, q.severalFail):
		out.broken++
		return ExcludedBreaker
	case float64(q.request.PromptTokens) >= capacity:
		out.tooSmall++
		return ExcludedSize
	case r.atLimit(s.now):
		out.limited++
		return ExcludedLimit
	case count >= float64(q.weights.BatchLimit):
		out.batchFull++
		return ExcludedBatch
	case s.reads(r):
		out.reading++
		return ExcludedReading
	case overflows && count >= 1:
		// An empty runner takes anything that fits its cache at all.
		out.overflowed++
		return ExcludedOverflow
	default:
		return ""
	}
}

// reads reports whether enough prompts wait to be read at the runner.
func (s *shard) reads(r *runner) bool {
	limit := s.scheduler.options.UnreadLimit
	return limit > 0 && r.ownPrefill+r.elsePrefill > float64(limit)
}

// note keeps what a ranking tells of the whole pool.
func (s *shard) note(k *ranking) {
	if k.capacity == 0 {
		return
	}
	s.use = k.use / k.capacity
	s.pace = k.pace / float64(s.routers)
	s.part = k.capacity / float64(s.routers)
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// note inserts a candidate in order: those that may be chosen come first.
func (k *ranking) note(c *scored) {
	at := k.count
	for at > 0 && before(c, &k.best[at-1]) {
		at--
	}
	if at == maxCandidates {
		return
	}
	if k.count < maxCandidates {
		k.count++
	}
	copy(k.best[at+1:k.count], k.best[at:k.count-1])
	k.best[at] = *c
}

func before(a, b *scored) bool {
	if (a.excluded == "") != (b.excluded == "") {
		return a.excluded == ""
	}
	return a.total < b.total
}

// chosen returns the best candidate that isn't excluded.
func (k *ranking) chosen() *scored {
	if k.count == 0 || k.best[0].excluded != "" {
		return nil
	}
	return &k.best[0]
}

// candidates lists the kept scores for explanations.
func (k *ranking) candidates() []port.CandidateScore {
	out := make([]port.CandidateScore, k.count)
	for i := range out {
		c := &k.best[i]
		out[i] = port.CandidateScore{
			Endpoint: c.runner.endpoint.ID,
			Score:    c.total,
			Overflow: c.overflow,
			Gap:      c.gap,
			Prefill:  c.prefill,
			Prefix:   c.prefix,
			Excluded: c.excluded,
		}
	}
	return out
}

// growthRatio is how the cache use of a generation grows, per token that it
// uses now, over the pool's own generations. It stands for the generations
// of other routers, which are of the same kinds but can't be seen one by one.
func (s *shard) growthRatio() footprint {
	var ratio footprint
	weight := priorContext
	for k, ahead := range horizons {
		fade := priorFade / (priorFade + float64(ahead))
		ratio.mean[k] = (s.own.mean[k] + weight*fade) / (s.ownContext + weight)
		ratio.variance[k] = (s.own.variance[k] + weight*priorContext*fade*(1-fade)) / (s.ownContext + weight)
	}
	return ratio
}

// The ratio assumed before this router has generations of its own.
const (
	priorContext = 2000.0
	priorFade    = 1000.0
)

// allowance is the cache that the other routers are expected to fill on one
// runner in each second since its report, from what this router fills.
func (s *shard) allowance(runners int) float64 {
	if runners == 0 {
		return 0
	}
	return allowanceFactor * s.dispatched.read(s.now) * float64(s.routers-1) / float64(runners)
}
