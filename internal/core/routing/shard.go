package routing

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// entryState is where a request stands.
type entryState int

const (
	entryHeld entryState = iota + 1
	// entryReleased is placed, but its caller hasn't asked again yet.
	entryReleased
	// entryRefused waits for its caller to collect the refusal.
	entryRefused
	entryRunning
	entryGone
)

// entry is one request that is held or placed. Its fields are guarded by the
// shard's lock, but for shard, request and ready, which don't change.
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
	// promised marks a caller who came back as it was told.
	promised bool

	runner *runner
	// next is the runner that the run is being moved to, or nil.
	next      *runner
	survival  length.Survival
	print     footprint
	cost      float64
	peak      float64
	seen      int
	refreshAt int
	// placed is when it was placed here, zero where another scheduler did.
	placed time.Time
	// progressed is when the last tokens were reported.
	progressed time.Time
}

// shard is the state of one pool.
type shard struct {
	scheduler *Scheduler
	pool      string
	live      atomic.Int64

	mu      sync.Mutex
	now     time.Time
	random  *rand.Rand
	runners []*runner
	byModel map[string][]*runner
	// models are those that runners serve, in order, also where all of them are
	// evacuated; the slice is never changed.
	models []string
	queue  *admission.FairQueue
	// waiting holds the entries whose callers have yet to collect.
	waiting       []*entry
	organisations map[string]*organisation
	totalShare    float64
	prefixes      prefixHints
	retries       admission.RetryBudget

	// Sums over this router's own placed generations.
	own        footprint
	ownContext float64
	ownCount   int
	dispatched rate
	// ordinal is this router's place among the live ones, routers their
	// number, as of the last tick.
	ordinal int
	routers int
	// reading is the time from a place to the first token, of late.
	reading time.Duration
	// use is the pool's expected peak over its capacity when last ranked.
	use float64
	// pace is the work a second that this router's part of the pool can do.
	pace float64
	// part is this router's even part of the pool's cache.
	part float64
}

func newShard(s *Scheduler, pool string, random *rand.Rand) *shard {
	sh := &shard{
		scheduler:     s,
		pool:          pool,
		random:        random,
		byModel:       make(map[string][]*runner),
		organisations: make(map[string]*organisation),
	}
	sh.queue = admission.NewFairQueue(admission.QueueOptions{
		AgeStep: s.options.AgeStep,
		Share:   func(o string) float64 { return s.limits(o).Share },
	})
	return sh
}

// laterState keeps leaving sticky: a late message that still says live must
// not bring an endpoint back, or it would get new work until the next list.
// The empty state is before all others.
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
	r.takeReport(now, report, s.scheduler.options.ReportLag)
	if report.State != "" && report.State != port.EndpointLive {
		r.said = laterState(r.said, report.State)
		r.endpoint.State = laterState(r.endpoint.State, report.State)
		s.rebuild()
	}
}

// place records an entry as running on the ranking's choice.
func (s *shard) place(now time.Time, e *entry, c *scored) {
	e.placed = now
	e.seen = 0
	e.refreshAt = 1
	s.count(now, e, c.runner)
	e.org.work.add(now, e.cost)
	e.org.rates[e.item.Lane].add(now, 1)
	c.runner.breaker.dispatched()
	c.runner.meter.Take(now, ratelimit.Of(&c.runner.endpoint))
	s.dispatched.add(now, e.print.peak())
	s.prefixes.sent(now, e.request.PrefixHashes, c.runner)
}

// count counts an entry at a runner and of its organisation.
func (s *shard) count(now time.Time, e *entry, r *runner) {
	e.runner = r
	e.org.running++
	e.peak = e.print.peak()
	e.org.peak += e.peak
	if e.item.Lane == admission.LaneLong {
		e.org.long++
	}
	r.take(now, e)
	s.own.add(&e.print)
	s.ownContext += e.context()
	s.ownCount++
}

// unplace is the reverse of count.
func (s *shard) unplace(now time.Time, e *entry) {
	e.runner.give(now, e)
	s.dropNext(now, e)
	s.own.subtract(&e.print)
	s.ownContext -= e.context()
	s.ownCount--
	e.org.running--
	e.org.peak -= e.peak
	if e.item.Lane == admission.LaneLong {
		e.org.long--
	}
	if s.ownCount == 0 {
		s.own, s.ownContext = footprint{}, 0
	}
}

// progress follows a generation. The footprint is computed anew only as the
// answer grows by a part, which bounds the work per token.
func (s *shard) progress(now time.Time, e *entry, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.state != entryRunning || tokens <= e.seen {
		return
	}
	s.now = now
	grown := float64(tokens - e.seen)
	s.ownContext += grown
	for _, r := range e.runners() {
		r.ownContext += grown
	}
	first := e.seen == 0
	if first {
		s.firstToken(now, e)
	} else {
		e.runner.stepped(now.Sub(e.progressed), tokens-e.seen)
	}
	e.progressed = now
	e.seen = tokens
	if first {
		// A prompt that waits may be read there next.
		defer s.release(now)
	}
	if tokens < e.refreshAt {
		return
	}
	e.refreshAt = tokens + max(minRefresh, tokens/refreshPart)
	before := e.print
	e.print.set(&e.survival, e.request.PromptTokens, tokens, e.request.MaxTokens)
	for _, r := range e.runners() {
		r.own.subtract(&before)
		r.own.add(&e.print)
	}
	s.own.subtract(&before)
	s.own.add(&e.print)
}

// firstToken notes that the prompt has been read.
func (s *shard) firstToken(now time.Time, e *entry) {
	for _, r := range e.runners() {
		r.note(now, 0, -e.unread(), 0)
	}
	if e.placed.IsZero() {
		// It was placed by another daemon's scheduler.
		return
	}
	e.runner.breaker.answered(e.placed)
	s.reading += time.Duration(readingSmoothing * float64(now.Sub(e.placed)-s.reading))
}

// readingSmoothing is the weight of one more time to the first token: prompts
// differ by a factor of two, and a pool's load changes within seconds.
const readingSmoothing = 0.05

// runners are where the run takes room.
func (e *entry) runners() []*runner {
	if e.next != nil {
		return []*runner{e.runner, e.next}
	}
	return []*runner{e.runner}
}

// How often a footprint is computed anew, in tokens and as a part.
const (
	minRefresh  = 16
	refreshPart = 16
)

func (s *shard) finished(now time.Time, e *entry, tokens int, kind port.FinishKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	if e.state != entryRunning && e.state != entryReleased {
		return
	}
	s.collected(e)
	s.end(now, e, max(tokens, e.seen), kind)
	s.release(now)
}

// end frees what a placed entry held and learns from it.
func (s *shard) end(now time.Time, e *entry, tokens int, kind port.FinishKind) {
	s.unplace(now, e)
	e.org.limiter.Release()
	s.drop(e)
	r := &e.request
	switch kind {
	case port.FinishDone:
		e.runner.breaker.succeeded(e.placed)
		s.scheduler.lengths.Observe(subjectOf(r), max(1, tokens))
	case port.FinishElsewhere:
		e.runner.breaker.abandoned()
	case port.FinishCancelled:
		e.runner.breaker.abandoned()
		s.scheduler.lengths.ObserveCut(subjectOf(r), tokens)
	default:
		e.runner.breaker.failed(now)
		if tokens > 0 {
			s.scheduler.lengths.ObserveCut(subjectOf(r), tokens)
		}
	}
}

// drop forgets an entry for good.
func (s *shard) drop(e *entry) {
	e.state = entryGone
	s.scheduler.forget(e)
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
		s.collected(e)
		s.end(now, e, 0, port.FinishCancelled)
	case entryRefused:
		s.collected(e)
		s.drop(e)
	default:
		return
	}
	s.release(now)
}

// countRouters notes that routers came or went. It is done at ticks, as the
// list of members is too long to be read at each decision.
func (s *shard) countRouters() {
	rank, routers := s.scheduler.rank()
	if rank == s.ordinal && routers == s.routers {
		return
	}
	s.ordinal, s.routers = rank, routers
	s.assignHomes()
}

// assignHomes deals the runners out to the routers by rank, so that each has
// one or more for itself, or shares one where routers outnumber them. It is
// only a preference: a wrong or old rank costs nothing but its use.
func (s *shard) assignHomes() {
	usable := slices.DeleteFunc(slices.Clone(s.runners), func(r *runner) bool {
		r.home = false
		return r.endpoint.Evacuated
	})
	for i, r := range usable {
		switch {
		case s.routers <= 1 || s.ordinal < 0:
			r.home = true
		case s.routers <= len(usable):
			r.home = i%s.routers == s.ordinal
		default:
			r.home = s.ordinal%len(usable) == i
		}
	}
}
