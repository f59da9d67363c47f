package length

import (
	"hash/maphash"
	"sync"
)

// Weights of the histograms, in observations.
const (
	// observationUnit is the fixed-point value of one observation. It leaves a
	// trace of a single long answer for several windows of halving.
	observationUnit = 64
	// organisationWindow and modelWindow are the numbers of observations after
	// which the counts are halved, so that the estimate follows a change of
	// behaviour within about one window.
	organisationWindow = 128
	modelWindow        = 1000
	// pooledWeight is the weight of the pooled curve beside the observations of
	// the organisation itself.
	pooledWeight = 12
	// modelWeight is the weight of the curve of all routes to a model beside
	// that of one route. A new route, as after a split, starts with this curve.
	modelWeight = 4
	// cautiousWeight is the weight of the cautious curve beside that of the model.
	cautiousWeight = 4
)

// Prompt classes. Long prompts ask for other kinds of answers than short ones, a
// difference that the organisation alone doesn't show.
const (
	shortPrompt  = 512
	mediumPrompt = 2048
	numClasses   = 3
)

func promptClass(promptTokens int) int {
	switch {
	case promptTokens <= shortPrompt:
		return 0
	case promptTokens <= mediumPrompt:
		return 1
	default:
		return 2
	}
}

// histogram counts lengths by bucket; older observations decay.
type histogram struct {
	counts [numEdges]uint16
	total  uint16
}

func (h *histogram) add(tokens, window int) {
	if int(h.total) >= window*observationUnit {
		h.halve()
	}
	h.counts[bucketOf(tokens)] += observationUnit
	h.total += observationUnit
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// Subject holds the properties of a request that its estimate depends on.
type Subject struct {
	Model        string
	Organisation string
	// Route is the route of the request, empty if there is none. Two routes to
	// one model may ask for short labels and long reports. With one curve for
	// both, reports are estimated at half their length and labels too long.
	Route        string
	PromptTokens int
	// Hint is the caller's estimate of the answer's tokens, zero for none.
	Hint int
}

// kind is the group of requests that share a pooled curve.
type kind struct {
	model string
	route string
}

func (s *Subject) kind() kind { return kind{s.Model, s.Route} }

// allRoutes returns the kind of all requests to the model.
func (s *Subject) allRoutes() kind { return kind{model: s.Model} }

func (s *Subject) pair() pairKey { return pairKey{s.kind(), s.Organisation} }

// pairKey identifies the organisation and kind that a pair is kept for.
type pairKey struct {
	kind
	organisation string
}

// pair holds the observations of one organisation with one kind of request.
type pair struct {
	classes [numClasses]histogram
	hints   hintErrors
	// recentlyUsed is set by each observation and cleared by eviction, which
	// skips the pair once.
	recentlyUsed bool
}

// Options configure an Estimator.
type Options struct {
	// MaxPairs bounds the pairs of organisation and kind that are kept; zero
	// means DefaultMaxPairs. Beyond it the least recently used are evicted, and
	// their organisations fall back to the pooled curve.
	MaxPairs int
}

// DefaultMaxPairs keeps the estimator's memory under a quarter of a daemon's
// 64 MB; see docs/design/routing.md for the measured bytes of a pair.
const DefaultMaxPairs = 32768

const numStripes = 16

// stripe is one shard of the pairs, with its own lock.
type stripe struct {
	mu    sync.Mutex
	pairs map[pairKey]*pair
	// evictionQueue holds the keys in the order of second-chance eviction.
	evictionQueue []pairKey
	limit         int
}

// Estimator estimates the lengths of answers from observations. It is safe for
// concurrent use.
type Estimator struct {
	seed    maphash.Seed
	stripes [numStripes]stripe

	poolsMu sync.RWMutex
	pools   map[kind]*pool
}

// pool holds the observations of one kind of request across all organisations.
type pool struct {
	mu      sync.Mutex
	classes [numClasses]histogram
	hints   hintErrors
}

// NewEstimator returns an estimator without observations.
func NewEstimator(o Options) *Estimator {
	if o.MaxPairs <= 0 {
		o.MaxPairs = DefaultMaxPairs
	}
	e := &Estimator{seed: maphash.MakeSeed(), pools: make(map[kind]*pool)}
	for i := range e.stripes {
		e.stripes[i].pairs = make(map[pairKey]*pair)
		e.stripes[i].limit = max(1, o.MaxPairs/numStripes)
	}
	return e
}

// Observe records the length of a complete answer.
func (e *Estimator) Observe(subject Subject, outputTokens int) {
	class := promptClass(subject.PromptTokens)
	e.pool(subject.kind(), true).observe(class, subject.Hint, outputTokens)
	if subject.Route != "" {
		e.pool(subject.allRoutes(), true).observe(class, subject.Hint, outputTokens)
	}

	key := subject.pair()
	s := e.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.get(key)
	own.classes[class].add(outputTokens, organisationWindow)
	own.hints.add(subject.Hint, outputTokens, organisationWindow)
}

// ObserveCut records an answer that was cut after seen tokens, so that only a lower
// bound of its length is known. It counts as its expected median. Ignoring cut
// answers would make long answers, which are cut more often, look rare.
func (e *Estimator) ObserveCut(subject Subject, seen int) {
	// Ignore the hint: the assumed length is derived from it, which would make
	// the hint look more accurate than it is.
	subject.Hint = 0
	s := e.Estimate(subject)
	e.Observe(subject, s.Quantile(seen, 0.5))
}

func (p *pool) observe(class, hint, outputTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.classes[class].add(outputTokens, modelWindow)
	p.hints.add(hint, outputTokens, modelWindow)
}

// Estimate returns the curve for a request. An organisation without history gets the
// pooled curve of its kind, a new route that of its model, and a model without
// history the cautious curve.
func (e *Estimator) Estimate(subject Subject) Survival {
	class := promptClass(subject.PromptTokens)
	var own histogram
	var ownHints hintErrors
	key := subject.pair()
	s := e.stripe(key)
	s.mu.Lock()
	if p := s.pairs[key]; p != nil {
		own, ownHints = p.classes[class], p.hints
	}
	s.mu.Unlock()
	model, modelHints := e.pool(subject.allRoutes(), false).snapshot(class)
	curve := cautiousCurve()
	curve.blend(&model, cautiousWeight)
	hints := modelHints
	if subject.Route != "" {
		var pooled histogram
		pooled, hints = e.pool(subject.kind(), false).snapshot(class)
		curve.blend(&pooled, modelWeight)
	}
	curve.blend(&own, pooledWeight)
	if subject.Hint > 0 {
		curve.applyHint(subject.Hint, blendErrors(&ownHints, &hints))
	}
	return curve
}

// snapshot returns copies of the histogram and hint errors of a class; they are
// empty for a nil pool.
func (p *pool) snapshot(class int) (histogram, hintErrors) {
	if p == nil {
		return histogram{}, hintErrors{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.classes[class], p.hints
}

// cautiousCurve returns the curve without observations. Its tail gives lengths
// beyond all observed ones a chance.
func cautiousCurve() Survival {
	var s Survival
	for i := range s.beyond {
		s.beyond[i] = float32(cautiousBeyond(edges[i]))
	}
	return s
}

// blend adds observed lengths to the curve so far, which counts as weight
// observations.
func (s *Survival) blend(h *histogram, weight float64) {
	total := float64(h.total) / observationUnit
	var beyond float64
	for i := numEdges - 1; i >= 0; i-- {
		beyond += float64(h.counts[i]) / observationUnit
		s.beyond[i] = float32((beyond + weight*float64(s.beyond[i])) / (total + weight))
	}
}

// Pairs returns the number of pairs kept.
func (e *Estimator) Pairs() int {
	n := 0
	for i := range e.stripes {
		s := &e.stripes[i]
		s.mu.Lock()
		n += len(s.pairs)
		s.mu.Unlock()
	}
	return n
}

func (e *Estimator) stripe(key pairKey) *stripe {
	h := maphash.Comparable(e.seed, key)
	return &e.stripes[h%numStripes]
}

func (e *Estimator) pool(k kind, create bool) *pool {
	e.poolsMu.RLock()
	p := e.pools[k]
	e.poolsMu.RUnlock()
	if p != nil || !create {
		return p
	}
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	if p = e.pools[k]; p == nil {
		p = &pool{}
		e.pools[k] = p
	}
	return p
}

// get returns the pair of a key. It creates it if needed, and evicts others to make
// room.
func (s *stripe) get(key pairKey) *pair {
	p := s.pairs[key]
	if p == nil {
		for len(s.pairs) >= s.limit {
			s.evictOne()
		}
		p = &pair{}
		s.pairs[key] = p
		s.evictionQueue = append(s.evictionQueue, key)
	}
	p.recentlyUsed = true
	return p
}

func (s *stripe) evictOne() {
	for {
		oldest := s.evictionQueue[0]
		s.evictionQueue = s.evictionQueue[1:]
		p := s.pairs[oldest]
		if p.recentlyUsed {
			p.recentlyUsed = false
			s.evictionQueue = append(s.evictionQueue, oldest)
			continue
		}
		delete(s.pairs, oldest)
		return
	}
}
