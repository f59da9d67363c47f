package routing

import (
	"math"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Parameters of holding requests.
const (
	// shortFraction is the fraction of a cache up to which a request counts
	// as small. Small requests may pass held long ones, as they fit where
	// long ones don't.
	shortFraction = 0.04
	// shortLimitFactor multiplies the accepted probability of overflow for
	// small requests: they take little capacity and soon free it. With the
	// limit of long requests they waited seconds for long answers to end.
	shortLimitFactor = 25
	// agedLimitFactor multiplies the accepted probability for a request that
	// was held for the whole hold limit. Otherwise long requests would
	// starve behind a stream that keeps the pool just full. With it they are
	// placed at that probability at worst, or refused.
	agedLimitFactor = 3
	// maxAcceptedChance bounds the accepted probability after these factors.
	maxAcceptedChance = 0.6
	// minOrganisationQueue is the number of queue places that each
	// organisation has whatever its share.
	minOrganisationQueue = 4
	// reservedQueueDivisor reserves one in reservedQueueDivisor queue places
	// for callers that return at their retry time.
	reservedQueueDivisor = 4
	// reservationWindow is how far ahead booked retries count against their
	// organisation's queue places.
	reservationWindow = 3 * time.Second
)

// submit decides on a request that isn't known yet.
func (s *shard) submit(now time.Time, r *port.GenerationRequest) port.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	runners := s.byModel[r.Model]
	if len(runners) == 0 {
		return s.scheduler.refusal(s.unservedReason(r.Model), noEndpointRetry)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return s.scheduler.refusal(ReasonRefusedDeadline, 0)
	}
	switch {
	case r.Attempt <= 1:
		s.retries.FirstTry()
	case r.NotSent:
	case !s.retries.Retry():
		return s.scheduler.refusal(ReasonRefusedRetry, retryBudgetWait)
	}
	e := s.newEntry(now, r)
	if d, refused := s.applyLimits(now, e); refused {
		return d
	}
	e.reserved = s.redeemRetry(now, e)
	if s.scheduler.options.ScarceRoom && r.Attempt <= 1 {
		s.kinds.observe(now, e, s.residence(e))
	}
	q := s.query(now, e)
	var k ranking
	s.rank(now, &q, runners, &k)
	s.recordUsage(&k)
	if k.tried+k.tooSmall == len(runners) {
		e.org.limiter.Release()
		return s.permanentRefusal(&k)
	}
	if d, placed := s.placeNow(now, e, &k); placed {
		return d
	}
	return s.hold(now, e, &k)
}

// placeNow places a new request unless no runner can be chosen, or it must wait
// for others.
func (s *shard) placeNow(now time.Time, e *entry, k *ranking) (port.Decision, bool) {
	c := k.chosen()
	if c == nil || s.overShare(e) || s.mustQueue(e) {
		return port.Decision{}, false
	}
	s.queue.Charge(e.request.Organisation, e.cost)
	s.place(now, e, c)
	e.state = entryRunning
	s.scheduler.insert(e)
	return s.placement(e, k, ReasonPlaced), true
}

func (s *shard) newEntry(now time.Time, r *port.GenerationRequest) *entry {
	limits := s.scheduler.limits(r.Organisation)
	e := &entry{
		shard:    s,
		request:  *r,
		since:    now,
		org:      s.organisation(now, r.Organisation),
		priority: limits.Priority,
		survival: s.scheduler.lengths.Estimate(lengthSubject(r)),
	}
	e.print.set(&e.survival, r.PromptTokens, 0, r.MaxTokens)
	e.cost = e.print.work()
	if r.Attempt <= 1 {
		e.org.demand.add(now, e.cost)
	}
	e.item = admission.Item{
		ID:           r.RequestID,
		Organisation: r.Organisation,
		Priority:     limits.Priority - r.Rank,
		ServeBy:      s.placementDeadline(r),
		Cost:         e.cost,
		Enqueued:     now,
		Owner:        e,
	}
	e.item.Lane = s.lane(e)
	// Within its organisation's priority a short request goes first, so that
	// it doesn't wait at an engine until a preempted long one fits again.
	e.priority = 3 * limits.Priority
	if e.item.Lane == admission.LaneShort {
		e.priority++
	}
	if e.org.flooding {
		e.priority--
	}
	return e
}

// placementDeadline returns the latest time to place a request so that its
// first token meets the objective, based on the expected prefill time.
// It is zero if the request has no objective.
func (s *shard) placementDeadline(r *port.GenerationRequest) time.Time {
	if r.Objective <= 0 {
		return time.Time{}
	}
	return r.Arrived.Add(r.Objective - s.expectedPrefill(r.PromptTokens))
}

// lengthSubject returns the properties of a request that its answer length
// is estimated from.
func lengthSubject(r *port.GenerationRequest) length.Subject {
	return length.Subject{
		Model: r.Model, Organisation: r.Organisation, Route: r.Route, PromptTokens: r.PromptTokens, Hint: r.LengthHint,
	}
}

func (s *shard) lane(e *entry) admission.Lane {
	if s.isSmall(e) || s.kinds.isBrief(e) {
		return admission.LaneShort
	}
	return admission.LaneLong
}

// isSmall reports whether a request uses only a small part of a runner's cache.
func (s *shard) isSmall(e *entry) bool {
	return len(s.runners) == 0 || e.print.peak() <= shortFraction*s.runners[0].capacity()
}

// applyLimits enforces the organisation's limits.
func (s *shard) applyLimits(now time.Time, e *entry) (port.Decision, bool) {
	l := s.scheduler.limits(e.request.Organisation)
	limits := admission.Limits{TokensPerSecond: l.TokensPerSecond, Concurrency: l.Concurrency}
	tokens := float64(e.request.PromptTokens)
	if limits.TokensPerSecond > 0 {
		tokens += float64(e.survival.Quantile(0, 0.5))
	}
	verdict, wait := e.org.limiter.Acquire(now, limits, s.routers, tokens)
	switch verdict {
	case admission.OverConcurrency:
		return s.scheduler.refusal(ReasonRefusedConcurrency, s.bookRetry(now, e)), true
	case admission.OverRate:
		wait = wait.Truncate(time.Second) + time.Second
		return s.scheduler.refusal(ReasonRefusedRate, wait), true
	default:
		return port.Decision{}, false
	}
}

func (s *shard) query(now time.Time, e *entry) query {
	q := query{
		request:     &e.request,
		weights:     s.scheduler.weights(e.request.Model),
		print:       e.print,
		peak:        e.print.peak(),
		aliveChance: e.print.aliveChance(float64(e.request.PromptTokens)),
	}
	q.overflowLimit = s.acceptedChance(now, e, &q.weights)
	q.reserve = s.reserveFor(now, e, q.weights.HoldLimit)
	q.backlogLimit, q.ownPrefill = s.backlogLimit(now, e, &q.reserve)
	q.gapMillis = milliseconds(s.scheduler.options.TokenGap)
	if gap := e.request.TokenGap; gap > 0 {
		q.gapMillis = milliseconds(gap)
	}
	q.prefix, q.prefixBlocks = s.prefixes.find(now, e.request.PrefixHashes)
	q.speedQuery = s.speedQuery(now, e)
	return q
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// acceptedChance returns the accepted probability of overflow. It grows from
// the configured limit while a request is held.
func (s *shard) acceptedChance(now time.Time, e *entry, w *port.Weights) float64 {
	limit := w.OverflowLimit
	if e.item.Lane == admission.LaneShort && s.isSmall(e) {
		limit *= shortLimitFactor
	}
	waited := 1.0
	if w.HoldLimit > 0 {
		waited = min(1, now.Sub(e.since).Seconds()/w.HoldLimit.Seconds())
	}
	if e.reserved {
		waited = 1
	}
	limit *= 1 + (agedLimitFactor-1)*waited
	return min(limit, max(maxAcceptedChance, w.OverflowLimit))
}

// mustQueue reports whether a new request must queue because others of its
// lane are held. If new requests took all freed capacity, held ones would
// starve.
func (s *shard) mustQueue(e *entry) bool {
	return s.queue.HeldLane(e.item.Lane) > 0
}

// permanentRefusal refuses a request that can't succeed by waiting.
func (s *shard) permanentRefusal(k *ranking) port.Decision {
	reason := ReasonRefusedTried
	if k.tooSmall > 0 {
		reason = ReasonRefusedTooLarge
	}
	d := s.scheduler.refusal(reason, 0)
	d.Candidates = k.candidates()
	return d
}

// hold queues a request. If the queue is full or the expected wait exceeds
// the limit, it refuses the request at once, so that the caller can try
// elsewhere.
func (s *shard) hold(now time.Time, e *entry, k *ranking) port.Decision {
	w := s.scheduler.weights(e.request.Model)
	if reason := s.holdRefusal(now, e, &w); reason != "" {
		// A risky runner is better than a refusal.
		k.waits = false
		if d, placed := s.placeNow(now, e, k); placed {
			return d
		}
		e.org.limiter.Release()
		d := s.scheduler.refusal(reason, s.bookRetry(now, e))
		d.Candidates = k.candidates()
		return d
	}
	reason := s.holdReason(e, k)
	e.state = entryHeld
	e.ready = make(chan struct{})
	if e.reserved {
		s.queue.PushFront(&e.item)
	} else {
		s.queue.Push(&e.item)
	}
	s.scheduler.insert(e)
	if reason == ReasonHeldBehind {
		// The requests ahead may be held for another reason, such as their
		// organisation's share: release the next one in fair order that
		// fits.
		s.release(now)
	}
	if e.state == entryReleased {
		e.state = entryRunning
		s.removeUncollected(e)
		return e.decision
	}
	return port.Decision{
		Verdict:              port.VerdictHold,
		Reason:               reason,
		Candidates:           k.candidates(),
		ConfigurationVersion: s.scheduler.policy.Load().Version,
		Priority:             e.priority,
	}
}

func (s *shard) holdReason(e *entry, k *ranking) string {
	switch {
	case k.chosen() != nil && s.overShare(e):
		return ReasonHeldShare
	case k.chosen() != nil:
		return ReasonHeldBehind
	case k.rateLimited > k.overflowed+k.backlogged+k.batchFull:
		return ReasonHeldLimit
	case k.batchFull > k.overflowed+k.backlogged:
		return ReasonHeldBatch
	case k.reserved > 0:
		return ReasonHeldReserved
	case k.backlogged > k.overflowed:
		return ReasonHeldPrefill
	default:
		return ReasonHeldOverflow
	}
}

// holdRefusal returns the reason why a request can't be held, or "". A
// request that returns at its booked retry time goes before others, and its
// organisation may use twice its part of the queue.
func (s *shard) holdRefusal(now time.Time, e *entry, w *port.Weights) string {
	if s.queue.Len() >= w.QueueLimit || w.HoldLimit <= 0 {
		return ReasonRefusedQueue
	}
	quota := int(math.Ceil(2 * s.fairShare(e.org) * float64(w.QueueLimit)))
	quota = min(w.QueueLimit*(reservedQueueDivisor-1)/reservedQueueDivisor, max(minOrganisationQueue, quota))
	held := s.queue.Held(e.org.name)
	if e.reserved {
		// Not the whole queue: when callers of a flood returned and filled
		// it, the requests of all other organisations were refused at once.
		quota = min(2*quota, w.QueueLimit*(reservedQueueDivisor-1)/reservedQueueDivisor)
	} else {
		held += e.org.retryBookings[e.item.Lane].Booked(now, now.Add(reservationWindow))
	}
	if held >= quota {
		return ReasonRefusedQueue
	}
	if !e.reserved && s.expectedWait(now, e, w.HoldLimit) > w.HoldLimit {
		return ReasonRefusedWait
	}
	return ""
}

// retryBudgetWait is the retry time given to a retry beyond the budget: by
// then first attempts have earned another retry.
const retryBudgetWait = 5 * time.Second

// resubmit answers a submission of a known request: one that is held,
// released, refused or placed.
func (s *shard) resubmit(now time.Time, e *entry, r *port.GenerationRequest) port.Decision {
	s.mu.Lock()
	if e.state == entryEnded {
		s.mu.Unlock()
		return s.scheduler.Submit(now, r)
	}
	defer s.mu.Unlock()
	s.now = now
	switch e.state {
	case entryReleased:
		e.state = entryRunning
		s.removeUncollected(e)
		return e.decision
	case entryRefused:
		s.removeUncollected(e)
		s.drop(e)
		return e.decision
	case entryRunning:
		return s.placement(e, &ranking{}, ReasonRepeated)
	default:
		return port.Decision{
			Verdict:              port.VerdictHold,
			Reason:               ReasonHeldBehind,
			ConfigurationVersion: s.scheduler.policy.Load().Version,
			Priority:             e.priority,
		}
	}
}

func (s *shard) placement(e *entry, k *ranking, reason string) port.Decision {
	return port.Decision{
		Verdict:              port.VerdictPlace,
		Endpoint:             e.runner.endpoint,
		Reason:               reason,
		Candidates:           k.candidates(),
		ConfigurationVersion: s.scheduler.policy.Load().Version,
		Priority:             e.priority,
	}
}

func (s *shard) removeUncollected(e *entry) {
	for i, w := range s.uncollected {
		if w == e {
			s.uncollected = append(s.uncollected[:i], s.uncollected[i+1:]...)
			return
		}
	}
}

// release places held requests while they fit. A released request keeps its
// placement until its caller collects it: no new request takes the capacity
// in between, and the fair order is kept.
func (s *shard) release(now time.Time) {
	for range releaseBurst {
		if s.queue.Len() == 0 {
			return
		}
		served := s.queue.Serve(now, releaseTries, func(i *admission.Item) bool {
			return s.tryRelease(now, i.Owner.(*entry))
		})
		if !served {
			return
		}
	}
}

func (s *shard) tryRelease(now time.Time, e *entry) bool {
	if s.overShare(e) {
		return false
	}
	q := s.query(now, e)
	var k ranking
	s.rank(now, &q, s.byModel[e.request.Model], &k)
	if k.capacity > 0 {
		s.recordUsage(&k)
	}
	c := k.chosen()
	if c == nil {
		return false
	}
	s.place(now, e, c)
	e.decision = s.placement(e, &k, ReasonReleased)
	s.notify(now, e, entryReleased)
	return true
}

// notify signals the caller of a held request to submit it again.
func (s *shard) notify(now time.Time, e *entry, state entryState) {
	e.state = state
	e.since = now
	s.uncollected = append(s.uncollected, e)
	close(e.ready)
}

// tick releases requests that fit now, refuses those held too long, and
// drops those not collected in time.
func (s *shard) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	s.updateRouters()
	s.updateSpeeds(now)
	s.release(now)
	s.refuseOverdue(now)
	s.kinds.update(now)
	for _, e := range append([]*entry(nil), s.uncollected...) {
		if now.Sub(e.since) < collectTimeout {
			continue
		}
		s.removeUncollected(e)
		if e.state == entryReleased {
			s.end(now, e, 0, port.FinishCancelled)
			continue
		}
		s.drop(e)
	}
	for _, o := range s.organisations {
		s.forgetOrganisation(o)
	}
}

func (s *shard) refuseOverdue(now time.Time) {
	overdue := s.queue.RemoveExpired(func(i *admission.Item) bool {
		e := i.Owner.(*entry)
		w := s.scheduler.weights(e.request.Model)
		late := !e.request.Deadline.IsZero() && !now.Before(e.request.Deadline)
		return late || now.Sub(e.since) >= w.HoldLimit || len(s.byModel[e.request.Model]) == 0
	})
	for _, i := range overdue {
		e := i.Owner.(*entry)
		e.org.limiter.Release()
		reason := ReasonRefusedHeldTooLong
		switch {
		case len(s.byModel[e.request.Model]) == 0:
			reason = s.unservedReason(e.request.Model)
		case !e.request.Deadline.IsZero() && !now.Before(e.request.Deadline):
			reason = ReasonRefusedDeadline
		}
		e.decision = s.scheduler.refusal(reason, s.bookRetry(now, e))
		s.notify(now, e, entryRefused)
	}
}
