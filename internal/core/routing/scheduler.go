package routing

import (
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// numStripes is the number of locks that the index of requests is divided
// into, so that progress on one request seldom waits for another.
const numStripes = 64

type stripe struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// Scheduler implements port.Scheduler. Lock order: a shard's lock before a
// stripe's, never the reverse.
type Scheduler struct {
	options Options
	lengths *length.Estimator
	seed    maphash.Seed
	policy  atomic.Pointer[port.Policy]
	// byModel is replaced as a whole when the models that pools serve
	// change.
	byModel atomic.Pointer[map[string][]*shard]
	// runners maps endpoint ids to *runner.
	runners sync.Map
	stripes [numStripes]stripe
	// repeatedEarly counts refusals of requests repeated before their retry times.
	repeatedEarly atomic.Int64

	// mu guards changes of the endpoints.
	mu     sync.Mutex
	shards map[string]*shard
	// goneRunners are the runners that may be gone and are removed once they
	// have no runs.
	goneRunners map[*runner]struct{}
}

var _ port.Scheduler = (*Scheduler)(nil)

// closedChannel is returned by Ready for a request that isn't held.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// NewScheduler returns a scheduler without endpoints.
func NewScheduler(o Options) *Scheduler {
	if o.ReportLag <= 0 {
		o.ReportLag = DefaultReportLag
	}
	if o.BusyThreshold <= 0 {
		o.BusyThreshold = DefaultBusyThreshold
	}
	if o.TokenGap <= 0 {
		o.TokenGap = DefaultTokenGap
	}
	if o.AgeStep <= 0 {
		o.AgeStep = DefaultAgeStep
	}
	if o.Random == nil {
		var seed uint64
		for _, b := range []byte(o.RouterID) {
			seed = seed*131 + uint64(b)
		}
		o.Random = rand.New(rand.NewPCG(seed, 0))
	}
	if o.Lengths == nil {
		o.Lengths = length.NewEstimator(length.Options{})
	}
	if o.Weights == (port.Weights{}) {
		o.Weights = DefaultWeights()
	}
	o.Weights = withDefaultLimits(o.Weights, DefaultWeights())
	s := &Scheduler{
		options:     o,
		lengths:     o.Lengths,
		seed:        maphash.MakeSeed(),
		shards:      make(map[string]*shard),
		goneRunners: make(map[*runner]struct{}),
	}
	for i := range s.stripes {
		s.stripes[i].entries = make(map[string]*entry)
	}
	s.policy.Store(&port.Policy{})
	s.byModel.Store(&map[string][]*shard{})
	return s
}

// SetPolicy implements port.Scheduler. The policy's maps must not change
// afterwards.
func (s *Scheduler) SetPolicy(p port.Policy) {
	s.policy.Store(&p)
	for _, sh := range s.allShards() {
		sh.mu.Lock()
		sh.updateShares()
		sh.mu.Unlock()
	}
}

// Submit implements port.Scheduler.
func (s *Scheduler) Submit(now time.Time, r *port.GenerationRequest) port.Decision {
	if e := s.find(r.RequestID); e != nil {
		return e.shard.resubmit(now, e, r)
	}
	pools := filterPool((*s.byModel.Load())[r.Model], r.Pool)
	if len(pools) == 0 {
		return s.refusal(ReasonRefusedModel, noEndpointRetry)
	}
	return s.pickPool(pools, r.RequestID).submit(now, r)
}

// filterPool returns the pool with the given name, or all pools if the name
// is empty.
func filterPool(pools []*shard, name string) []*shard {
	if name == "" {
		return pools
	}
	for i := range pools {
		if pools[i].pool == name {
			return pools[i : i+1]
		}
	}
	return nil
}

// noEndpointRetry is the retry time where no endpoint serves the model: a
// new one takes some seconds to appear through the host list and load
// orders.
const noEndpointRetry = 5 * time.Second

// pickPool spreads the requests of a model that several pools serve, in
// proportion to the live runners of each pool.
func (s *Scheduler) pickPool(pools []*shard, requestID string) *shard {
	if len(pools) == 1 {
		return pools[0]
	}
	total := int64(0)
	for _, p := range pools {
		total += p.liveRunners.Load()
	}
	if total == 0 {
		return pools[0]
	}
	at := int64(maphash.String(s.seed, requestID) % uint64(total))
	for _, p := range pools {
		if at -= p.liveRunners.Load(); at < 0 {
			return p
		}
	}
	return pools[0]
}

func (s *Scheduler) refusal(reason string, retryAfter time.Duration) port.Decision {
	return port.Decision{
		Verdict:              port.VerdictRefuse,
		Reason:               reason,
		RetryAfter:           retryAfter,
		ConfigurationVersion: s.policy.Load().Version,
	}
}

// Ready implements port.Scheduler.
func (s *Scheduler) Ready(requestID string) <-chan struct{} {
	if e := s.find(requestID); e != nil {
		return e.ready
	}
	return closedChannel
}

// Withdraw implements port.Scheduler.
func (s *Scheduler) Withdraw(now time.Time, requestID string) {
	if e := s.find(requestID); e != nil {
		e.shard.withdraw(now, e)
	}
}

// Progress implements port.Scheduler.
func (s *Scheduler) Progress(now time.Time, requestID string, tokens int) {
	if e := s.find(requestID); e != nil {
		e.shard.progress(now, e, tokens)
	}
}

// Finished implements port.Scheduler.
func (s *Scheduler) Finished(now time.Time, requestID string, tokens int, kind port.FinishKind) {
	if e := s.find(requestID); e != nil {
		e.shard.finished(now, e, tokens, kind)
	}
}

// Report implements port.Scheduler.
func (s *Scheduler) Report(now time.Time, report *port.LoadReport) {
	r := s.runner(report.EndpointID)
	if r == nil {
		return
	}
	r.shard.report(now, r, report)
}

// Tick implements port.Scheduler.
func (s *Scheduler) Tick(now time.Time) {
	for _, sh := range s.allShards() {
		sh.tick(now)
	}
}

func (s *Scheduler) allShards() []*shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*shard, 0, len(s.shards))
	for _, sh := range s.shards {
		out = append(out, sh)
	}
	slices.SortFunc(out, func(a, b *shard) int { return strings.Compare(a.pool, b.pool) })
	return out
}

// shard returns the pool's shard, and creates it if needed. The caller holds
// s.mu.
func (s *Scheduler) shard(pool string) *shard {
	sh := s.shards[pool]
	if sh == nil {
		// Each shard has its own source of randomness, used under its own
		// lock.
		random := rand.New(rand.NewPCG(s.options.Random.Uint64(), s.options.Random.Uint64()))
		sh = newShard(s, pool, random)
		s.shards[pool] = sh
	}
	return sh
}

func (s *Scheduler) stripe(requestID string) *stripe {
	return &s.stripes[maphash.String(s.seed, requestID)%numStripes]
}

func (s *Scheduler) find(requestID string) *entry {
	t := s.stripe(requestID)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[requestID]
}

func (s *Scheduler) insert(e *entry) {
	t := s.stripe(e.request.RequestID)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries[e.request.RequestID] = e
}

func (s *Scheduler) remove(e *entry) {
	t := s.stripe(e.request.RequestID)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[e.request.RequestID] == e {
		delete(t.entries, e.request.RequestID)
	}
}

func (s *Scheduler) weights(model string) port.Weights {
	p := s.policy.Load()
	w, set := p.Weights[model]
	if !set {
		w, set = p.Weights[""]
	}
	if !set {
		return s.options.Weights
	}
	// Zeros in a policy record apply: no queue, no wait, no accepted risk.
	// Only a batch limit of zero is replaced, as it would stop the pool.
	if w.BatchLimit <= 0 {
		w.BatchLimit = s.options.Weights.BatchLimit
	}
	return w
}

func (s *Scheduler) limits(organisation string) port.OrganisationLimits {
	p := s.policy.Load()
	l, set := p.Organisations[organisation]
	if !set {
		l = p.Organisations[""]
	}
	if l.Share <= 0 {
		l.Share = 1
	}
	return l
}

// unknownRank is the rank of a router that doesn't know its own; it prefers
// every runner.
const unknownRank = -1

// routerRank returns this router's rank among the live ones, and their
// number.
func (s *Scheduler) routerRank() (rank, routers int) {
	switch r := s.options.Routers.(type) {
	case nil:
		return unknownRank, 1
	case port.RouterRanker:
		rank, routers = r.RouterRank()
		return rank, max(1, routers)
	default:
		return unknownRank, max(1, r.LiveRouters())
	}
}
