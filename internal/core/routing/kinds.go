package routing

import (
	"maps"
	"math"
	"time"
)

// Parameters of the rules for brief kinds of requests. They answer loads at which long
// requests fill the cache of a pool for seconds, and brief ones, which use it for a
// fraction of that time, would be late behind them.
const (
	// briefFraction is the fraction of another kind's cache time and of its objective
	// below which a kind goes before the other. Kinds that differ less gain little from
	// going first, and their order of arrival is kept.
	briefFraction = 0.5
	// kindSmoothing is the weight of a new request in the averages of its kind.
	kindSmoothing = 0.05
	// maxReserve bounds the cache that is kept free, as a fraction of the pool. Brief
	// requests that need more wait in turn with the others.
	maxReserve = 0.25
	// kindExpiry is how long a kind counts after its last request.
	kindExpiry = 30 * time.Second
	// prefillMargin is the part of the mean prefill rate that is counted on. With all
	// of it, half of the prompts that just fit would be late.
	prefillMargin = 0.8
)

// kindKey identifies a kind of request: those of one model, route and priority.
type kindKey struct {
	model    string
	route    string
	priority int
}

// kind is what the recent requests of one kind need.
type kind struct {
	key       kindKey
	objective time.Duration
	lastSeen  time.Time
	// residence is the average time in seconds for which a request uses the cache, peak
	// its average peak of cache tokens and prompt its average prompt tokens.
	residence, peak, prompt float64
	// inUse is the average number of cache tokens that the kind occupies: tokens times
	// seconds, per second.
	inUse rate
}

// goesBefore reports whether requests of this kind go before those of another kind: they
// are no less urgent, use the cache briefly and are due much earlier. Urgency alone
// doesn't decide, because the rank of an organisation replaces that of its routes.
func (k *kind) goesBefore(other *kind) bool {
	return k.key.model == other.key.model && k.key.priority >= other.key.priority &&
		k.residence < briefFraction*other.residence &&
		float64(k.objective) <= briefFraction*float64(other.objective)
}

// kinds are the kinds of requests that a pool got recently.
type kinds struct {
	byKey map[kindKey]*kind
	// differ is set while one of them goes before another. The rules for scarce room
	// apply only then.
	differ bool
}

func newKinds() kinds { return kinds{byKey: make(map[kindKey]*kind)} }

func (ks *kinds) of(e *entry) *kind { return ks.byKey[e.kindKey()] }

func (e *entry) kindKey() kindKey {
	return kindKey{model: e.request.Model, route: e.request.Route, priority: e.item.Priority}
}

// observe updates the kind of a new request, which uses the cache for the given number
// of seconds. An organisation that sends far more than its share doesn't enlarge the
// reserve: its requests would take it from those of all others.
func (ks *kinds) observe(now time.Time, e *entry, residence float64) {
	if e.request.Objective <= 0 || e.org.flooding || e.org.surging {
		return
	}
	peak, prompt := e.print.peak(), float64(e.request.PromptTokens)
	k := ks.of(e)
	if k == nil {
		k = &kind{key: e.kindKey(), residence: residence, peak: peak, prompt: prompt}
		ks.byKey[k.key] = k
	}
	k.objective, k.lastSeen = e.request.Objective, now
	k.residence += kindSmoothing * (residence - k.residence)
	k.peak += kindSmoothing * (peak - k.peak)
	k.prompt += kindSmoothing * (prompt - k.prompt)
	k.inUse.add(now, peak*residence)
}

// update removes the kinds without recent requests and compares the others.
func (ks *kinds) update(now time.Time) {
	maps.DeleteFunc(ks.byKey, func(_ kindKey, k *kind) bool { return now.Sub(k.lastSeen) >= kindExpiry })
	ks.differ = false
	for _, k := range ks.byKey {
		ks.differ = ks.differ || ks.precedesAny(k)
	}
}

func (ks *kinds) precedesAny(k *kind) bool {
	for _, other := range ks.byKey {
		if k.goesBefore(other) {
			return true
		}
	}
	return false
}

// isBrief reports whether the request's kind goes before another one.
func (ks *kinds) isBrief(e *entry) bool {
	if !ks.differ {
		return false
	}
	own := ks.of(e)
	return own != nil && ks.precedesAny(own)
}

// reserve is what a request leaves free for the brief kinds that go before it.
type reserve struct {
	// prompts is the number of prompts in the whole pool, size their cache tokens.
	prompts int
	size    float64
	// objective is the shortest objective of these kinds, and prompt their longest
	// average prompt in tokens; zeros mean that there are none.
	objective time.Duration
	prompt    float64
}

// reserveFor returns what a request leaves free. It shrinks while the request is held, to
// nothing at the hold limit, so that a steady stream of brief requests can't keep long ones
// out permanently.
func (s *shard) reserveFor(now time.Time, e *entry, holdLimit time.Duration) reserve {
	own := s.kinds.of(e)
	if own == nil || !s.kinds.differ || len(s.runners) == 0 {
		return reserve{}
	}
	out := s.kinds.reserveBefore(now, own)
	if out.size > 0 {
		most := maxReserve * float64(s.liveRunners.Load()) * s.runners[0].capacity() / out.size
		out.prompts = min(out.prompts, int(most))
	}
	if waited := now.Sub(e.since); holdLimit > 0 && waited > 0 {
		out.prompts = int(float64(out.prompts) * max(0, 1-waited.Seconds()/holdLimit.Seconds()))
	}
	return out
}

// reserveBefore returns the room that the kinds occupy which go before one. Whole prompts
// are counted, because room for less than one is of no use.
func (ks *kinds) reserveBefore(now time.Time, own *kind) reserve {
	var out reserve
	inUse := 0.0
	for _, k := range ks.byKey {
		if !k.goesBefore(own) {
			continue
		}
		inUse += k.inUse.read(now)
		out.size = max(out.size, k.peak)
		out.prompt = max(out.prompt, k.prompt)
		if out.objective == 0 || k.objective < out.objective {
			out.objective = k.objective
		}
	}
	if out.size > 0 {
		out.prompts = int(math.Ceil(inUse / out.size))
	}
	return out
}

// notLive is the index of a runner that accepts no new work.
const notLive = -1

// at returns the cache tokens that stay free at one of the pool's runners: the prompts
// are spread evenly, the first runners by index get the remainder.
func (r *reserve) at(index, runners int) float64 {
	if r.prompts == 0 || index == notLive {
		return 0
	}
	return float64((r.prompts+runners-1-index)/runners) * r.size
}

// ReservedPrompts returns the number of prompts for which the pools keep cache free, for
// brief requests of all kinds.
func (s *Scheduler) ReservedPrompts() int {
	n := 0
	for _, sh := range s.allShards() {
		sh.mu.Lock()
		n += sh.kinds.reservedPrompts(sh.now)
		sh.mu.Unlock()
	}
	return n
}

func (ks *kinds) reservedPrompts(now time.Time) int {
	most := 0
	for _, k := range ks.byKey {
		if ks.differ {
			most = max(most, ks.reserveBefore(now, k).prompts)
		}
	}
	return most
}

// residence returns the expected time in seconds for which a request uses the cache.
func (s *shard) residence(e *entry) float64 {
	return s.prefillTime.Seconds() + e.expectedSteps()*s.meanStepMillis()/1000
}

// meanStepMillis returns the mean step time of the pool's runners.
func (s *shard) meanStepMillis() float64 {
	sum, known := 0.0, 0.0
	for _, r := range s.runners {
		if r.measuredTokenMillis > 0 || r.report.TokenMillis > 0 {
			sum += r.tokenMillis()
			known++
		}
	}
	if known == 0 {
		return unknownTokenMillis
	}
	return sum / known
}

// backlogLimit returns the number of unread prompt tokens at a runner above which it
// doesn't get this prompt, and the tokens of the prompt if time for it is taken off. The
// limit is what can be read before the request is due, or, if less, before
// a brief request that comes right after it is due. A request that is late anyway, and
// a pool whose speed isn't known, have the configured limit only.
func (s *shard) backlogLimit(now time.Time, e *entry, r *reserve) (limit, own float64) {
	limit = math.Inf(1)
	if l := s.scheduler.options.PrefillBacklogLimit; l > 0 {
		limit = float64(l)
	}
	if !s.kinds.differ || s.promptMillis == 0 || e.request.Objective <= 0 {
		return limit, 0
	}
	perMilli := prefillMargin / s.promptMillis
	prompt := float64(e.request.PromptTokens)
	timeLeft := milliseconds(e.request.Arrived.Add(e.request.Objective).Sub(now))
	if inTime := timeLeft*perMilli - prompt; inTime > 0 {
		limit = min(limit, inTime)
	}
	if r.objective > 0 {
		limit = min(limit, max(0, milliseconds(r.objective)*perMilli-r.prompt-prompt))
	}
	return limit, prompt
}

// minPrefillTime is the shortest time to a first token that is a sample of the prefill
// time. In a shorter one the delay of messages weighs more than the prefill.
const minPrefillTime = 50 * time.Millisecond
