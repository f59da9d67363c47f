package routing

import (
	"math"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Scales that bring the parts of a score to the same unit: about 1 for a
// runner that is as bad as may be accepted.
const (
	// prefillScale is the number of prompt tokens that counts as 1.
	prefillScale = 2048
	// batchScale is the batch size at which the step stretched by a prompt
	// of prefillScale tokens counts as 1.
	batchScale = 4
	// stepTimeWeight weighs the reported step time relative to the delay
	// that this prompt causes. The step time shows slow runners, but varies
	// with each prompt.
	stepTimeWeight = 0.3
	// stepGrowthPerRun is the fraction by which one more run lengthens a
	// step.
	stepGrowthPerRun = 0.02
	// tieBreakNoise randomises the choice between equally good runners, so
	// that routers with the same stale report don't all choose the same one.
	tieBreakNoise = 0.03
	// nonPreferredCost and nonPreferredLimitFactor keep a router on its
	// preferred runners unless others are clearly better. Its view of
	// preferred runners is nearly complete, while on others several routers
	// would act on the same stale report.
	nonPreferredCost        = 0.5
	nonPreferredLimitFactor = 0.2
	// growthReserve is the number of tokens by which each run at a runner
	// grows during the prefill of a new prompt, about a second at a full
	// engine. A prompt admitted into the last capacity is preempted, or
	// preempts another, before its first token: the reserve reduced 90
	// preempted requests to 50 to 70 in 34 s at 45 full engines. Reserves of
	// 256 and 400 tokens don't reduce preemptions further, and keep free
	// capacity from waiting prompts.
	growthReserve = 128
	// maxReportAge bounds the allowance when reports have stopped.
	maxReportAge = 5 * time.Second
	// allowanceFactor allows for bursts in the other routers' dispatches.
	allowanceFactor = 2
)

// query is one request with the values that scoring needs.
type query struct {
	request       *port.GenerationRequest
	weights       port.Weights
	print         footprint
	peak          float64
	aliveChance   [numHorizons]float64
	overflowLimit float64
	// reserve is the cache that the request leaves free, backlogLimit the number of
	// unread prompt tokens above which a runner doesn't get it.
	reserve      reserve
	backlogLimit float64
	// ownPrefill is the number of prompt tokens for which backlogLimit leaves time.
	ownPrefill float64
	// gapMillis is the longest time between two tokens that counts as on
	// time.
	gapMillis    float64
	prefix       *holders
	prefixBlocks int
	// multipleFailures is set if too many runners have failed for a single
	// failure to count.
	multipleFailures bool
	speedQuery
}

// scored is one candidate of a decision.
type scored struct {
	runner   *runner
	total    float64
	overflow float64
	gap      float64
	prefill  float64
	prefix   float64
	// risky marks a runner that may exceed the request's limit for the gap, late
	// one at which the first token is expected after the objective.
	risky    bool
	late     bool
	excluded string
}

// ranking keeps the best candidates of one decision without allocation.
type ranking struct {
	best  [maxCandidates]scored
	count int
	// Numbers of candidates excluded, by reason.
	overflowed  int
	reserved    int
	batchFull   int
	backlogged  int
	rateLimited int
	tried       int
	breakerOpen int
	tooSmall    int
	// temporary counts the runners, other than risky ones, that are excluded only
	// until load there ends.
	temporary int
	// uneven is set if speeds are compared.
	uneven bool
	// waits is set if the request is held rather than placed on a risky runner.
	waits bool
	// expectedUse and capacity are sums of the expected peaks and the
	// capacities over the pool.
	expectedUse float64
	capacity    float64
	// throughput is the pool's cache tokens times decoding steps per second.
	throughput float64
}

// rank scores all runners of a model.
func (s *shard) rank(now time.Time, q *query, runners []*runner, out *ranking) {
	ratio := s.growthRatio()
	allowance := s.allowance(len(runners))
	nanos := now.UnixNano()
	q.multipleFailures = s.multipleFailures(now, runners)
	for _, r := range runners {
		c := s.score(nanos, q, r, &ratio, allowance, out)
		out.insert(&c)
	}
	out.uneven = q.uneven
	out.waits = q.mayWait && out.temporary > 0
}

func (s *shard) score(now int64, q *query, r *runner, ratio *footprint, allowance float64, out *ranking) scored {
	c := scored{runner: r}
	capacity := r.capacity()
	chance, peak := s.overflow(now, q, r, ratio, allowance, capacity)
	out.expectedUse += peak
	out.capacity += capacity
	out.throughput += capacity * 1000 / r.tokenMillis()

	c.overflow = (chance + (peak+q.peak)/capacity) / 2
	completion := q.timeParts(r, &c)
	c.total = q.weights.Overflow*c.overflow + q.weights.Gap*c.gap +
		q.weights.Prefill*c.prefill - q.weights.Prefix*c.prefix + tieBreakNoise*s.random.Float64()
	c.total += completion
	limit := q.overflowLimit
	if !r.preferred {
		c.total += nonPreferredCost
		limit *= nonPreferredLimitFactor
	}
	c.excluded = s.exclusion(q, r, capacity, chance > limit, out)
	if c.excluded == ExcludedOverflow && s.isReserved(now, q, r, ratio, allowance, limit) {
		c.excluded = ExcludedReserved
		out.reserved++
	}
	if q.limitsGap && !c.risky && isTemporary(c.excluded) {
		out.temporary++
	}
	return c
}

// overflow returns the largest probability over the horizons that the
// runner's cache overflows while the new request runs, and the largest
// expected use without it.
func (s *shard) overflow(now int64, q *query, r *runner, ratio *footprint, allowance, capacity float64) (chance, peak float64) {
	age := min(maxReportAge, time.Duration(now-r.reportNanos)).Seconds()
	others := r.othersContext + allowance*age
	usable := capacity - q.reserve.at(r.index, int(s.liveRunners.Load()))
	for k := range numHorizons {
		mean := r.own.mean[k] + others*ratio.mean[k]
		if mean > peak {
			peak = mean
		}
		room := usable - mean - q.print.mean[k]
		if k == 0 {
			room -= growthReserve * r.count()
		}
		variance := r.own.variance[k] + others*ratio.variance[k] + q.print.variance[k] + 1
		if room > 0 && room*room >= certainDeviations*certainDeviations*variance {
			continue
		}
		// Count an overflow only while the new request runs: after its end
		// the request neither causes it nor suffers from it.
		if over := q.aliveChance[k] * overflowChance(room/math.Sqrt(variance)); over > chance {
			chance = over
		}
	}
	return chance, peak
}

// isReserved reports whether the runner would take the request if it kept no cache free
// for brief requests.
func (s *shard) isReserved(now int64, q *query, r *runner, ratio *footprint, allowance, limit float64) bool {
	if q.reserve.prompts == 0 {
		return false
	}
	unreserved := *q
	unreserved.reserve = reserve{}
	chance, _ := s.overflow(now, &unreserved, r, ratio, allowance, r.capacity())
	return chance <= limit
}

// timeParts computes the time parts of the score: the gap between tokens,
// the prefill backlog, and the credit for a cached prefix. It returns the part for
// the expected completion, which is zero where speeds aren't compared.
func (q *query) timeParts(r *runner, c *scored) (completion float64) {
	count := r.count()
	batch := float64(r.report.Running + r.report.Waiting)
	step := r.tokenMillis() / q.gapMillis * (1 + stepGrowthPerRun*max(-batch, count-batch))
	prompt, cached := float64(q.request.PromptTokens), 0.0
	if q.prefix != nil && q.prefix.has(r) {
		cached = min(prompt, float64(q.prefixBlocks*r.blockTokens()))
		c.prefix = cached / prefillScale
		prompt -= cached
	}
	delay := prompt / prefillScale * count / batchScale
	c.prefill = (r.ownPrefill + r.othersPrefill) / prefillScale
	if q.uneven {
		delay *= r.present
		completion = q.weighBySpeed(r, c, prompt, cached)
	}
	c.gap = stepTimeWeight*step + delay
	return completion
}

// exclusion returns the reason why the runner can't be chosen, or "", and
// counts it.
func (s *shard) exclusion(q *query, r *runner, capacity float64, overflows bool, out *ranking) string {
	count := r.count()
	switch {
	case contains(q.request.Excluded, r.endpoint.ID):
		out.tried++
		return ExcludedTried
	case !r.breaker.allows(s.now, q.multipleFailures):
		out.breakerOpen++
		return ExcludedBreaker
	case float64(q.request.PromptTokens) >= capacity:
		out.tooSmall++
		return ExcludedSize
	case s.atRateLimit(s.now, r):
		out.rateLimited++
		return ExcludedLimit
	case count >= float64(q.weights.BatchLimit):
		out.batchFull++
		return ExcludedBatch
	case q.hasPrefillBacklog(r):
		out.backlogged++
		return ExcludedPrefill
	case overflows && count >= 1:
		// An empty runner accepts any request that fits its cache.
		out.overflowed++
		return ExcludedOverflow
	default:
		return ""
	}
}

// hasPrefillBacklog reports whether the runner's prefill backlog exceeds the
// limit. A runner without a backlog gets any prompt. Where speeds are compared, the
// backlog counts in the tokens that a runner of the pool's median speed prefills in the
// same time.
func (q *query) hasPrefillBacklog(r *runner) bool {
	backlog := r.ownPrefill + r.othersPrefill
	if backlog < 1 {
		return false
	}
	if q.uneven {
		// The limit leaves time for the own prompt at median speed.
		backlog = backlog*r.usual + q.ownPrefill*(r.usual-1)
	}
	return backlog > q.backlogLimit
}

// recordUsage stores the utilisation and throughput of the pool from a
// ranking.
func (s *shard) recordUsage(k *ranking) {
	if k.capacity == 0 {
		return
	}
	s.utilisation = k.expectedUse / k.capacity
	s.throughput = k.throughput / float64(s.routers)
	s.capacityShare = k.capacity / float64(s.routers)
}

func contains(ids []string, id string) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// insert adds a candidate in order: those that may be chosen come first.
func (k *ranking) insert(c *scored) {
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
	if a.lastResort() != b.lastResort() {
		return b.lastResort()
	}
	return a.total < b.total
}

// chosen returns the best candidate, or nil if all are excluded or the request
// waits for a better one.
func (k *ranking) chosen() *scored {
	if k.count == 0 || k.best[0].excluded != "" || k.waits && k.best[0].risky {
		return nil
	}
	return &k.best[0]
}

// candidates returns the kept scores, to explain the decision.
func (k *ranking) candidates() []port.CandidateScore {
	out := make([]port.CandidateScore, k.count)
	for i := range out {
		c := &k.best[i]
		if k.waits && c.risky && c.excluded == "" {
			c.excluded = ExcludedGap
		}
		out[i] = port.CandidateScore{
			Endpoint: c.runner.endpoint.ID,
			Score:    c.total,
			Overflow: c.overflow,
			Gap:      c.gap,
			Prefill:  c.prefill,
			Prefix:   c.prefix,
			Excluded: c.excluded,
		}
		if k.uneven {
			out[i].Slowness = c.runner.usual
		}
	}
	return out
}

// growthRatio returns the expected cache use at each horizon per token used
// now, over the pool's own generations. It also stands for the generations
// of other routers, which are of the same kinds but aren't visible
// individually.
func (s *shard) growthRatio() footprint {
	var ratio footprint
	weight := priorContext
	for k, ahead := range horizons {
		alive := priorHalfLife / (priorHalfLife + float64(ahead))
		ratio.mean[k] = (s.own.mean[k] + weight*alive) / (s.ownContext + weight)
		ratio.variance[k] = (s.own.variance[k] + weight*priorContext*alive*(1-alive)) / (s.ownContext + weight)
	}
	return ratio
}

// The prior of the growth ratio, for when this router has few generations of
// its own.
const (
	priorContext  = 2000.0
	priorHalfLife = 1000.0
)

// allowance returns the cache tokens that the other routers are expected to
// fill on one runner per second since its report. It is derived from this
// router's own dispatches.
func (s *shard) allowance(runners int) float64 {
	if runners == 0 {
		return 0
	}
	return allowanceFactor * s.dispatchRate.read(s.now) * float64(s.routers-1) / float64(runners)
}
