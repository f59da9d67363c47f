package routing

import (
	"math"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/admission"
	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Holding back.
const (
	// shortPart is the part of a cache up to which a request counts as
	// short. Short requests pass held long ones: they fit where those don't.
	shortPart = 0.04
	// shortSlack multiplies the accepted chance of overflow for short ones:
	// the room they take is small and soon free again. Held at the limit of
	// long ones, they waited seconds for long answers to end.
	shortSlack = 25
	// agedSlack multiplies it for a request held for the whole hold limit.
	// Long requests would starve behind a stream that keeps the pool just
	// full; with it they pass at worst at that chance, or are refused.
	agedSlack = 3
	// highestLimit bounds the accepted chance whatever the slack.
	highestLimit = 0.6
	// leastOrganisationQueue is the room in the queue that each
	// organisation has whatever its share.
	leastOrganisationQueue = 4
	// promisedRoom is the part of the queue, one in so many, that nobody gets
	// but who comes back as promised.
	promisedRoom = 4
	// promiseWindow is how far ahead room is kept for those.
	promiseWindow = 3 * time.Second
)

// submit decides on a request that isn't known yet.
func (s *shard) submit(now time.Time, r *port.GenerationRequest) port.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	runners := s.byModel[r.Model]
	if len(runners) == 0 {
		return s.scheduler.refusal(s.unserved(r.Model), noEndpointRetry)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return s.scheduler.refusal(ReasonRefusedLate, 0)
	}
	if r.Attempt <= 1 {
		s.retries.FirstTry()
	} else if !s.retries.Retry() {
		return s.scheduler.refusal(ReasonRefusedRetry, retryBudgetWait)
	}
	e := s.newEntry(now, r)
	if d, refused := s.limit(now, e); refused {
		return d
	}
	e.promised = e.org.promises[e.item.Lane].Redeem(now)
	q := s.query(now, e)
	var k ranking
	s.rank(now, &q, runners, &k)
	s.note(&k)
	if k.tried+k.tooSmall == len(runners) {
		e.org.limiter.Release()
		return s.hopeless(&k)
	}
	if c := k.chosen(); c != nil && !s.overShare(e) && !s.behind(e) {
		s.queue.Charge(r.Organisation, e.cost)
		s.place(now, e, c)
		e.state = entryRunning
		s.scheduler.insert(e)
		return s.placed(e, &k, ReasonPlaced)
	}
	return s.hold(now, e, &k)
}

func (s *shard) newEntry(now time.Time, r *port.GenerationRequest) *entry {
	limits := s.scheduler.limits(r.Organisation)
	e := &entry{
		shard:    s,
		request:  *r,
		since:    now,
		org:      s.organisation(now, r.Organisation),
		priority: limits.Priority,
		survival: s.scheduler.lengths.Estimate(subjectOf(r)),
	}
	e.print.set(&e.survival, r.PromptTokens, 0, r.MaxTokens)
	e.cost = e.print.work()
	if r.Attempt <= 1 {
		e.org.demand.add(now, e.cost)
	}
	e.item = admission.Item{
		ID:           r.RequestID,
		Organisation: r.Organisation,
		Lane:         s.lane(e),
		Priority:     limits.Priority - r.Rank,
		OnTime:       s.onTimeUntil(r),
		Cost:         e.cost,
		Enqueued:     now,
		Owner:        e,
	}
	// Within the organisation's priority a short request goes first, so that
	// it doesn't wait at an engine for a preempted long one to fit again.
	e.priority = 3 * limits.Priority
	if e.item.Lane == admission.LaneShort {
		e.priority++
	}
	if e.org.flooding {
		e.priority--
	}
	return e
}

// onTimeUntil is when a request must be placed at the latest to have its first
// token in time, by the pool's reading time of late; zero for ever.
func (s *shard) onTimeUntil(r *port.GenerationRequest) time.Time {
	if r.Objective <= 0 {
		return time.Time{}
	}
	return r.Arrived.Add(r.Objective - s.reading)
}

// subjectOf is what the length of a request's answer depends on.
func subjectOf(r *port.GenerationRequest) length.Subject {
	return length.Subject{
		Model: r.Model, Organisation: r.Organisation, Route: r.Route, PromptTokens: r.PromptTokens, Hint: r.LengthHint,
	}
}

func (s *shard) lane(e *entry) admission.Lane {
	if len(s.runners) > 0 && e.print.peak() > shortPart*s.runners[0].capacity() {
		return admission.LaneLong
	}
	return admission.LaneShort
}

// limit applies the organisation's limits.
func (s *shard) limit(now time.Time, e *entry) (port.Decision, bool) {
	l := s.scheduler.limits(e.request.Organisation)
	limits := admission.Limits{TokensPerSecond: l.TokensPerSecond, Concurrency: l.Concurrency}
	tokens := float64(e.request.PromptTokens)
	if limits.TokensPerSecond > 0 {
		tokens += float64(e.survival.Quantile(0, 0.5))
	}
	verdict, wait := e.org.limiter.Acquire(now, limits, s.routers, tokens)
	switch verdict {
	case admission.OverConcurrency:
		return s.scheduler.refusal(ReasonRefusedOpen, s.promise(now, e)), true
	case admission.OverRate:
		wait = wait.Truncate(time.Second) + time.Second
		return s.scheduler.refusal(ReasonRefusedRate, wait), true
	default:
		return port.Decision{}, false
	}
}

func (s *shard) query(now time.Time, e *entry) query {
	q := query{
		request: &e.request,
		weights: s.scheduler.weights(e.request.Model),
		print:   e.print,
		peak:    e.print.peak(),
		alive:   e.print.alive(float64(e.request.PromptTokens)),
	}
	q.limit = s.acceptedChance(now, e, &q.weights)
	q.gapMillis = milliseconds(s.scheduler.options.TokenGap)
	if gap := e.request.TokenGap; gap > 0 {
		q.gapMillis = milliseconds(gap)
	}
	q.prefix, q.prefixed = s.prefixes.find(now, e.request.PrefixHashes)
	return q
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// acceptedChance grows from the configured limit while a request is held.
func (s *shard) acceptedChance(now time.Time, e *entry, w *port.Weights) float64 {
	limit := w.OverflowLimit
	if e.item.Lane == admission.LaneShort {
		limit *= shortSlack
	}
	waited := 1.0
	if w.HoldLimit > 0 {
		waited = min(1, now.Sub(e.since).Seconds()/w.HoldLimit.Seconds())
	}
	if e.promised {
		waited = 1
	}
	limit *= 1 + (agedSlack-1)*waited
	return min(limit, max(highestLimit, w.OverflowLimit))
}

// behind reports whether a newcomer must queue, as others of its lane do. A
// newcomer that took each room as it came up would starve those that wait.
func (s *shard) behind(e *entry) bool {
	return s.queue.HeldLane(e.item.Lane) > 0
}

// hopeless refuses what no waiting can help.
func (s *shard) hopeless(k *ranking) port.Decision {
	reason := ReasonRefusedTried
	if k.tooSmall > 0 {
		reason = ReasonRefusedLarger
	}
	d := s.scheduler.refusal(reason, 0)
	d.Candidates = k.candidates()
	return d
}

// hold queues a request, or refuses it at once where the queue is full or
// the wait would exceed the limit: a caller told now can go elsewhere.
func (s *shard) hold(now time.Time, e *entry, k *ranking) port.Decision {
	w := s.scheduler.weights(e.request.Model)
	if reason := s.noRoom(now, e, &w); reason != "" {
		e.org.limiter.Release()
		d := s.scheduler.refusal(reason, s.promise(now, e))
		d.Candidates = k.candidates()
		return d
	}
	reason := s.holdReason(e, k)
	e.state = entryHeld
	e.ready = make(chan struct{})
	if e.promised {
		s.queue.PushFront(&e.item)
	} else {
		s.queue.Push(&e.item)
	}
	s.scheduler.insert(e)
	if reason == ReasonHeldBehind {
		// Those ahead may be held for a reason of their own: what is next in
		// fair order and fits goes now.
		s.release(now)
	}
	if e.state == entryReleased {
		e.state = entryRunning
		s.collected(e)
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
	case k.limited > k.overflowed+k.reading+k.batchFull:
		return ReasonHeldLimit
	case k.batchFull > k.overflowed+k.reading:
		return ReasonHeldBatch
	case k.reading > k.overflowed:
		return ReasonHeldReading
	default:
		return ReasonHeldOverflow
	}
}

// noRoom gives the reason why a request can't be held, or none. A caller who
// was promised this time goes before others, and its organisation may have
// twice its part.
func (s *shard) noRoom(now time.Time, e *entry, w *port.Weights) string {
	if s.queue.Len() >= w.QueueLimit || w.HoldLimit <= 0 {
		return ReasonRefusedQueue
	}
	part := int(math.Ceil(2 * s.fairPart(e.org) * float64(w.QueueLimit)))
	part = min(w.QueueLimit*(promisedRoom-1)/promisedRoom, max(leastOrganisationQueue, part))
	held := s.queue.Held(e.org.name)
	if e.promised {
		// Not the whole queue: where a flood's callers came back and filled
		// it, every other organisation's caller was refused at once.
		part = min(2*part, w.QueueLimit*(promisedRoom-1)/promisedRoom)
	} else {
		held += e.org.promises[e.item.Lane].Booked(now, now.Add(promiseWindow))
	}
	if held >= part {
		return ReasonRefusedQueue
	}
	if !e.promised && s.expectedWait(now, e, w.HoldLimit) > w.HoldLimit {
		return ReasonRefusedWait
	}
	return ""
}

// expectedWait is the time until the organisation's requests of the lane that
// are held, or promised within the limit, are served at its recent rate; zero
// where there is no rate to go by.
func (s *shard) expectedWait(now time.Time, e *entry, limit time.Duration) time.Duration {
	ahead := s.queue.HeldFlow(e.org.name, e.item.Lane) + e.org.promises[e.item.Lane].Booked(now, now.Add(limit))
	perSecond := e.org.rates[e.item.Lane].read(now)
	if ahead < leastOrganisationQueue || perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// promise names a time to the caller of a refused request.
func (s *shard) promise(now time.Time, e *entry) time.Duration {
	lane := e.item.Lane
	ahead := s.queue.HeldFlow(e.org.name, lane)
	return e.org.promises[lane].Book(now, ahead, e.org.rates[lane].read(now))
}

// retryBudgetWait is promised to a retry beyond the budget: by then first
// tries have earned another.
const retryBudgetWait = 5 * time.Second

// again answers a request that is known: held, released, refused or placed.
func (s *shard) again(now time.Time, e *entry, r *port.GenerationRequest) port.Decision {
	s.mu.Lock()
	if e.state == entryGone {
		s.mu.Unlock()
		return s.scheduler.Submit(now, r)
	}
	defer s.mu.Unlock()
	s.now = now
	switch e.state {
	case entryReleased:
		e.state = entryRunning
		s.collected(e)
		return e.decision
	case entryRefused:
		s.collected(e)
		s.drop(e)
		return e.decision
	case entryRunning:
		return s.placed(e, &ranking{}, ReasonRepeated)
	default:
		return port.Decision{
			Verdict:              port.VerdictHold,
			Reason:               ReasonHeldBehind,
			ConfigurationVersion: s.scheduler.policy.Load().Version,
			Priority:             e.priority,
		}
	}
}

func (s *shard) placed(e *entry, k *ranking, reason string) port.Decision {
	return port.Decision{
		Verdict:              port.VerdictPlace,
		Endpoint:             e.runner.endpoint,
		Reason:               reason,
		Candidates:           k.candidates(),
		ConfigurationVersion: s.scheduler.policy.Load().Version,
		Priority:             e.priority,
	}
}

func (s *shard) collected(e *entry) {
	for i, w := range s.waiting {
		if w == e {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return
		}
	}
}

// release places held requests while they fit. A released request keeps its
// place until its caller collects it, so that no newcomer takes the room in
// between and the fair order stands.
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
		s.note(&k)
	}
	c := k.chosen()
	if c == nil {
		return false
	}
	s.place(now, e, c)
	e.decision = s.placed(e, &k, ReasonReleased)
	s.wake(now, e, entryReleased)
	return true
}

// wake lets the caller of a held request ask again.
func (s *shard) wake(now time.Time, e *entry, state entryState) {
	e.state = state
	e.since = now
	s.waiting = append(s.waiting, e)
	close(e.ready)
}

// tick refuses what was held too long, drops what nobody collected, and
// releases what fits now.
func (s *shard) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.now = now
	s.countRouters()
	s.release(now)
	s.refuseOverdue(now)
	for _, e := range append([]*entry(nil), s.waiting...) {
		if now.Sub(e.since) < collectWithin {
			continue
		}
		s.collected(e)
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
	overdue := s.queue.Expired(func(i *admission.Item) bool {
		e := i.Owner.(*entry)
		w := s.scheduler.weights(e.request.Model)
		late := !e.request.Deadline.IsZero() && !now.Before(e.request.Deadline)
		return late || now.Sub(e.since) >= w.HoldLimit || len(s.byModel[e.request.Model]) == 0
	})
	for _, i := range overdue {
		e := i.Owner.(*entry)
		e.org.limiter.Release()
		reason := ReasonRefusedHeld
		switch {
		case len(s.byModel[e.request.Model]) == 0:
			reason = s.unserved(e.request.Model)
		case !e.request.Deadline.IsZero() && !now.Before(e.request.Deadline):
			reason = ReasonRefusedLate
		}
		e.decision = s.scheduler.refusal(reason, s.promise(now, e))
		s.wake(now, e, entryRefused)
	}
}
