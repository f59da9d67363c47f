package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// entryState is the state of a request.
type entryState int

const (
	entryHeld entryState = iota + 1
	// entryReleased is placed, but its caller hasn't collected the decision
	// yet.
	entryReleased
	// entryRefused was refused after a hold, and its caller hasn't collected
	// the refusal yet.
	entryRefused
	entryRunning
	entryEnded
)

// entry is one request that is held or placed. The shard's lock guards its
// fields, except shard, request and ready, which don't change.
type entry struct {
	shard   *shard
	request port.GenerationRequest
	ready   chan struct{}

	state    entryState
	since    time.Time
	decision port.Decision
	item     admission.Item
	org      *organisation
	priority int
	// reserved marks a request that came at its booked retry time.
	reserved bool

	runner *runner
	// destination is the runner that the run is being moved to, or nil.
	destination *runner
	survival    length.Survival
	print       footprint
	cost        float64
	peak        float64
	generated   int
	refreshAt   int
	// steps is the expected number of further tokens once stepsAt are generated; it is
	// valid if stepsKnown is set.
	steps      float64
	stepsAt    int
	stepsKnown bool
	// backlog is the prefill backlog of the runner at the placement, in tokens, this
	// request's prompt included.
	backlog float64
	// placedAt is when this scheduler placed the request, zero if another
	// one did.
	placedAt time.Time
	// progressedAt is when the last tokens were reported.
	progressedAt time.Time
}

// shard is the state of one pool.
type shard struct {
	scheduler   *Scheduler
	pool        string
	liveRunners atomic.Int64

	mu      sync.Mutex
	now     time.Time
	random  *rand.Rand
	runners []*runner
	byModel map[string][]*runner
	// models lists, in order, the models that runners serve, including those
	// whose runners are all evacuated. The slice is never changed in place.
	models []string
	queue  *admission.FairQueue
	// uncollected holds the entries whose callers have yet to collect a
	// decision.
	uncollected   []*entry
	organisations map[string]*organisation
	totalShare    float64
	prefixes      prefixHints
	// limitShare is the share of the runners' rate limits that this scheduler may use.
	limitShare float64
	retries    admission.RetryBudget
	kinds      kinds

	// Sums over this router's own placed generations.
	own          footprint
	ownContext   float64
	ownCount     int
	dispatchRate rate
	// routerRank is this router's rank among the live ones, and routers
	// their number, as of the last tick.
	routerRank int
	routers    int
	// prefillTime is the recent time from placement to the first token.
	prefillTime time.Duration
	poolSpeed
	// utilisation is the pool's expected peak over its capacity at the last
	// ranking.
	utilisation float64
	// throughput is the work per second that this router's part of the pool
	// can do.
	throughput float64
	// capacityShare is this router's even share of the pool's cache.
	capacityShare float64
}

func newShard(s *Scheduler, pool string, random *rand.Rand) *shard {
	sh := &shard{
		scheduler:     s,
		pool:          pool,
		random:        random,
		byModel:       make(map[string][]*runner),
		organisations: make(map[string]*organisation),
		limitShare:    1,
		kinds:         newKinds(),
	}
	sh.queue = admission.NewFairQueue(admission.QueueOptions{
		AgeStep: s.options.AgeStep,
		Share:   func(o string) float64 { return s.limits(o).Share },
	})
	return sh
}

// laterState returns the later of two states. It keeps an endpoint leaving:
// a late message that still says live would otherwise give it new work until
// the next list. The empty state precedes all others.
func laterState(a, b port.EndpointState) port.EndpointState {
	order := []port.EndpointState{port.EndpointLive, port.EndpointLeaving, port.EndpointGone}
	if slices.Index(order, a) > slices.Index(order, b) {
		return a
	}
	return b
}

func (s *shard) report(now time.Time, r *runner, report *port.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if report.Incarnation != r.endpoint.Incarnation {
		return
	}
	r.applyReport(now, report, s.scheduler.options.ReportLag)
	if report.State != "" && report.State != port.EndpointLive {
		r.reportedState = laterState(r.reportedState, report.State)
		r.endpoint.State = laterState(r.endpoint.State, report.State)
		s.rebuild()
	}
}

// place records an entry as placed on the runner that the ranking chose.
func (s *shard) place(now time.Time, e *entry, c *scored) {
	e.placedAt = now
	e.generated = 0
	e.refreshAt = 1
	s.countRun(now, e, c.runner)
	e.backlog = c.runner.ownPrefill + c.runner.othersPrefill
	e.org.work.add(now, e.cost)
	e.org.rates[e.item.Lane].add(now, 1)
	c.runner.breaker.dispatched()
	s.meterOf(c.runner).Take(now, s.limitOf(c.runner))
	s.dispatchRate.add(now, e.print.peak())
	s.prefixes.record(now, e.request.PrefixHashes, c.runner)
}

// countRun adds an entry to the counts of the runner, its organisation and
// the shard.
func (s *shard) countRun(now time.Time, e *entry, r *runner) {
	e.runner = r
	e.org.running++
	e.peak = e.print.peak()
	e.org.peak += e.peak
	if e.item.Lane == admission.LaneLong {
		e.org.longRunning++
	}
	r.addRun(now, e)
	s.own.add(&e.print)
	s.ownContext += e.contextTokens()
	s.ownCount++
}

// uncountRun reverses countRun.
func (s *shard) uncountRun(now time.Time, e *entry) {
	e.runner.removeRun(now, e)
	s.dropDestination(now, e)
	s.own.subtract(&e.print)
	s.ownContext -= e.contextTokens()
	s.ownCount--
	e.org.running--
	e.org.peak -= e.peak
	if e.item.Lane == admission.LaneLong {
		e.org.longRunning--
	}
	if s.ownCount == 0 {
		s.own, s.ownContext = footprint{}, 0
	}
}

// progress records the tokens of a generation. The footprint is recomputed
// only after the answer has grown by a fraction, which bounds the work per
// token.
func (s *shard) progress(now time.Time, e *entry, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.state != entryRunning || tokens <= e.generated {
		return
	}
	s.now = now
	grown := float64(tokens - e.generated)
	s.ownContext += grown
	for _, r := range e.runners() {
		r.ownContext += grown
	}
	first := e.generated == 0
	if first {
		s.recordFirstToken(now, e)
	} else {
		e.runner.observeStep(now.Sub(e.progressedAt), tokens-e.generated)
	}
	e.progressedAt = now
	e.generated = tokens
	if first {
		// The runner's prefill backlog has shrunk and may admit a held
		// prompt.
		defer s.release(now)
	}
	if tokens < e.refreshAt {
		return
	}
	e.refreshAt = tokens + max(minRefreshTokens, tokens/refreshDivisor)
	before := e.print
	e.print.set(&e.survival, e.request.PromptTokens, tokens, e.request.MaxTokens)
	for _, r := range e.runners() {
		r.own.subtract(&before)
		r.own.add(&e.print)
	}
	s.own.subtract(&before)
	s.own.add(&e.print)
}

// recordFirstToken records that the prompt has been prefilled.
func (s *shard) recordFirstToken(now time.Time, e *entry) {
	for _, r := range e.runners() {
		r.recordChange(now, 0, -e.unprocessedPrompt(), 0)
	}
	if e.placedAt.IsZero() {
		// Another daemon's scheduler placed it.
		return
	}
	e.runner.breaker.answered(e.placedAt)
	s.observePrefill(e, now.Sub(e.placedAt))
	s.prefillTime += time.Duration(prefillTimeSmoothing * float64(now.Sub(e.placedAt)-s.prefillTime))
}

// prefillTimeSmoothing is the weight of a new time to the first token:
// prompts differ by a factor of two, and a pool's load changes within
// seconds.
const prefillTimeSmoothing = 0.05

// runners returns the runners where the run uses cache.
func (e *entry) runners() []*runner {
	if e.destination != nil {
		return []*runner{e.runner, e.destination}
	}
	return []*runner{e.runner}
}

// A footprint is recomputed when the answer has grown by minRefreshTokens or
// by one part in refreshDivisor, whichever is more.
const (
	minRefreshTokens = 16
	refreshDivisor   = 16
)

func (s *shard) finished(now time.Time, e *entry, tokens int, kind port.FinishKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if e.state != entryRunning && e.state != entryReleased {
		return
	}
	s.removeUncollected(e)
	s.end(now, e, max(tokens, e.generated), kind)
	s.release(now)
}

// end frees the resources of a placed entry, and records its outcome and
// length.
func (s *shard) end(now time.Time, e *entry, tokens int, kind port.FinishKind) {
	s.uncountRun(now, e)
	e.org.limiter.Release()
	s.drop(e)
	r := &e.request
	switch kind {
	case port.FinishDone:
		e.runner.breaker.succeeded(e.placedAt)
		s.scheduler.lengths.Observe(lengthSubject(r), max(1, tokens))
	case port.FinishUntracked:
		e.runner.breaker.abandoned()
	case port.FinishCancelled:
		e.runner.breaker.abandoned()
		s.scheduler.lengths.ObserveCut(lengthSubject(r), tokens)
	default:
		e.runner.breaker.failed(now)
		if tokens > 0 {
			s.scheduler.lengths.ObserveCut(lengthSubject(r), tokens)
		}
	}
}

// drop removes an entry permanently.
func (s *shard) drop(e *entry) {
	e.state = entryEnded
	s.scheduler.remove(e)
	s.forgetOrganisation(e.org)
}

func (s *shard) withdraw(now time.Time, e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	switch e.state {
	case entryHeld:
		s.queue.Remove(&e.item)
		e.org.limiter.Release()
		s.drop(e)
	case entryReleased:
		s.removeUncollected(e)
		s.end(now, e, 0, port.FinishCancelled)
	case entryRefused:
		s.removeUncollected(e)
		s.drop(e)
	default:
		return
	}
	s.release(now)
}

// updateRouters updates the rank and number of routers. It runs at ticks, as
// the list of members is too long to read at each decision.
func (s *shard) updateRouters() {
	rank, routers := s.scheduler.routerRank()
	if rank == s.routerRank && routers == s.routers {
		return
	}
	s.routerRank, s.routers = rank, routers
	s.assignPreferred()
}

// assignPreferred divides the runners among the routers by rank. Each router
// gets one or more for itself, or shares one if routers outnumber runners.
// This is only a preference: a wrong or outdated rank loses only its
// benefit.
func (s *shard) assignPreferred() {
	usable := slices.DeleteFunc(slices.Clone(s.runners), func(r *runner) bool {
		r.preferred = false
		return r.endpoint.Evacuated
	})
	for i, r := range usable {
		switch {
		case s.routers <= 1 || s.routerRank < 0:
			r.preferred = true
		case s.routers <= len(usable):
			r.preferred = i%s.routers == s.routerRank
		default:
			r.preferred = s.routerRank%len(usable) == i
		}
	}
}
