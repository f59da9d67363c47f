package length

import (
	"hash/maphash"
	"sync"
)

// Weights of what is known, in observations.
const (
	// unit is one observation in the fixed-point counts; halving a count
	// keeps the trace of a single long answer for several windows.
	unit = 64
	// organisationWindow and modelWindow are the observations at which
	// older ones are halved, so that a change of behaviour shows within
	// about one window.
	organisationWindow = 128
	modelWindow        = 1000
	// pooledWeight is how many observations the model's pooled curve counts
	// for beside the organisation's own.
	pooledWeight = 12
	// modelWeight is the same for the curve of all routes to a model beside that
	// of one: a route that is new, as after a split, begins with it.
	modelWeight = 4
	// cautiousWeight is the same for the cautious curve beside the model's.
	cautiousWeight = 4
)

// Prompt classes: a long prompt asks for another kind of answer than a short
// one, more than the organisation's name tells.
const (
	shortPrompt  = 512
	mediumPrompt = 2048
	numClasses   = 3
)

func classOf(promptTokens int) int {
	switch {
	case promptTokens <= shortPrompt:
		return 0
	case promptTokens <= mediumPrompt:
		return 1
	default:
		return 2
	}
}

// histogram counts lengths by bucket with decay.
type histogram struct {
	counts [numEdges]uint16
	total  uint16
}

func (h *histogram) add(tokens, window int) {
	if int(h.total) >= window*unit {
		h.halve()
	}
	h.counts[bucketOf(tokens)] += unit
	h.total += unit
}

func (h *histogram) halve() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += h.counts[i]
	}
}

// Subject is what an estimate depends on.
type Subject struct {
	Model        string
	Organisation string
	// Route is the route that the request came by, empty where there is none.
	// Two routes to one model may ask for a label and for a report: with one
	// curve for both, every report looked short by half and every label long.
	Route        string
	PromptTokens int
	// Hint is the caller's own guess of the answer's tokens, zero for none.
	Hint int
}

// kind is what answers are alike for.
type kind struct {
	model string
	route string
}

func (s *Subject) kind() kind { return kind{s.Model, s.Route} }

// allRoutes is the kind of all requests to the model.
func (s *Subject) allRoutes() kind { return kind{model: s.Model} }

func (s *Subject) pair() pairKey { return pairKey{s.kind(), s.Organisation} }

// pairKey names what an estimate is kept for.
type pairKey struct {
	kind
	organisation string
}

// pair is what is known of one organisation with one kind of request.
type pair struct {
	classes [numClasses]histogram
	hints   hintErrors
	// used is cleared by the eviction hand and set by each observation.
	used bool
}

// Options bound an Estimator.
type Options struct {
	// MaxPairs bounds the organisation and model pairs kept; zero takes
	// DefaultMaxPairs. Beyond it the least recently used give way, and fall
	// back to the model's pooled curve.
	MaxPairs int
}

// DefaultMaxPairs keeps the estimator's memory under a quarter of a daemon's
// 64 MB; see docs/design/routing.md for the measured bytes of a pair.
const DefaultMaxPairs = 32768

const numStripes = 16

// stripe is one shard of the pairs under its own lock.
type stripe struct {
	mu    sync.Mutex
	pairs map[pairKey]*pair
	// hand lists the keys in insertion order for second-chance eviction.
	hand  []pairKey
	limit int
}

// Estimator learns the lengths of answers. It is safe for concurrent use.
type Estimator struct {
	seed    maphash.Seed
	stripes [numStripes]stripe

	poolsMu sync.RWMutex
	pools   map[kind]*pool
}

// pool is what is known of a kind of request over all organisations.
type pool struct {
	mu      sync.Mutex
	classes [numClasses]histogram
	hints   hintErrors
}

// NewEstimator makes an estimator that has seen nothing.
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

// Observe learns from a whole answer.
func (e *Estimator) Observe(of Subject, outputTokens int) {
	class := classOf(of.PromptTokens)
	e.pool(of.kind(), true).observe(class, of.Hint, outputTokens)
	if of.Route != "" {
		e.pool(of.allRoutes(), true).observe(class, of.Hint, outputTokens)
	}

	key := of.pair()
	s := e.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.get(key)
	own.classes[class].add(outputTokens, organisationWindow)
	own.hints.add(of.Hint, outputTokens, organisationWindow)
}

// ObserveCut learns from an answer that was cut after seen tokens: its length
// is only known to be larger. Leaving it out would make long answers, which
// are cut more often, look rare; it counts as its expected median instead.
func (e *Estimator) ObserveCut(of Subject, seen int) {
	// The hint is left out: the length that is assumed follows from it, and it
	// would seem better than it is.
	of.Hint = 0
	s := e.Estimate(of)
	e.Observe(of, s.Quantile(seen, 0.5))
}

func (p *pool) observe(class, hint, outputTokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.classes[class].add(outputTokens, modelWindow)
	p.hints.add(hint, outputTokens, modelWindow)
}

// Estimate returns the curve for a request. An organisation without history
// gets the pooled curve of its kind, a new route that of its model, and a model
// without history the cautious one.
func (e *Estimator) Estimate(of Subject) Survival {
	class := classOf(of.PromptTokens)
	var own histogram
	var ownHints hintErrors
	key := of.pair()
	s := e.stripe(key)
	s.mu.Lock()
	if p := s.pairs[key]; p != nil {
		own, ownHints = p.classes[class], p.hints
	}
	s.mu.Unlock()
	model, modelHints := e.pool(of.allRoutes(), false).read(class)
	curve := cautiousCurve()
	curve.blend(&model, cautiousWeight)
	hints := modelHints
	if of.Route != "" {
		var pooled histogram
		pooled, hints = e.pool(of.kind(), false).read(class)
		curve.blend(&pooled, modelWeight)
	}
	curve.blend(&own, pooledWeight)
	if of.Hint > 0 {
		curve.weigh(of.Hint, blendErrors(&ownHints, &hints))
	}
	return curve
}

// read copies what the pool holds of a class; a pool that isn't there is empty.
func (p *pool) read(class int) (histogram, hintErrors) {
	if p == nil {
		return histogram{}, hintErrors{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.classes[class], p.hints
}

// cautiousCurve keeps a tail beyond all that was seen.
func cautiousCurve() Survival {
	var s Survival
	for i := range s.beyond {
		s.beyond[i] = float32(cautiousBeyond(edges[i]))
	}
	return s
}

// blend weighs observed lengths with the curve so far, which counts for weight
// observations.
func (s *Survival) blend(h *histogram, weight float64) {
	total := float64(h.total) / unit
	var beyond float64
	for i := numEdges - 1; i >= 0; i-- {
		beyond += float64(h.counts[i]) / unit
		s.beyond[i] = float32((beyond + weight*float64(s.beyond[i])) / (total + weight))
	}
}

// Pairs counts the pairs kept.
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

func (e *Estimator) pool(of kind, create bool) *pool {
	e.poolsMu.RLock()
	p := e.pools[of]
	e.poolsMu.RUnlock()
	if p != nil || !create {
		return p
	}
	e.poolsMu.Lock()
	defer e.poolsMu.Unlock()
	if p = e.pools[of]; p == nil {
		p = &pool{}
		e.pools[of] = p
	}
	return p
}

// get returns the key's pair, making room for it by second chance.
func (s *stripe) get(key pairKey) *pair {
	p := s.pairs[key]
	if p == nil {
		for len(s.pairs) >= s.limit {
			s.evictOne()
		}
		p = &pair{}
		s.pairs[key] = p
		s.hand = append(s.hand, key)
	}
	p.used = true
	return p
}

func (s *stripe) evictOne() {
	for {
		oldest := s.hand[0]
		s.hand = s.hand[1:]
		p := s.pairs[oldest]
		if p.used {
			p.used = false
			s.hand = append(s.hand, oldest)
			continue
		}
		delete(s.pairs, oldest)
		return
	}
}
