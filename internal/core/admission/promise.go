package admission

import "time"

// Bounds of the Retry-After times sent with refusals.
const (
	minRetryAfter = time.Second
	// maxRetryAfter caps the Retry-After time. A caller with a wait this long does
	// better elsewhere; below the cap no caller is given less than the estimate.
	maxRetryAfter = 10 * time.Minute
	// unknownRetryAfter is used where no request was served recently, so that
	// no rate is known.
	unknownRetryAfter = 30 * time.Second
	// promiseGrace is how long after its due time a promise can be redeemed,
	// to allow for the timer of the caller and the network delay.
	promiseGrace = 10 * time.Second
	// retryAfterUnit is the resolution of the Retry-After header, which counts
	// whole seconds. Times are rounded up, so that no caller returns too early.
	retryAfterUnit = time.Second
	// maxPromises bounds the pending promises.
	maxPromises = 1024
	// promisedFraction is the fraction of the service rate that is reserved
	// for promises; the rest serves callers without one.
	promisedFraction = 0.5
	// maxRedemptions is how often one promise can be redeemed. A returning
	// caller can't be told from a new one that arrives at the same moment and
	// would use up the promise; as promises take half of the service rate,
	// there is room for both.
	maxRedemptions = 2
)

// promise is a Retry-After time that can still be redeemed.
type promise struct {
	due      time.Time
	usesLeft int
	// request is the id of the refused request, empty if it isn't known.
	request string
}

// RetryBookings assigns a separate retry time to each refused caller, so that callers
// who return at their time find capacity. With one time for all they would return
// together, and most would be refused again. There is one RetryBookings per
// organisation and lane at each router.
type RetryBookings struct {
	// lastDue is the latest due time assigned so far.
	lastDue time.Time
	pending []promise
}

// Book returns the Retry-After time for a refused caller. It lies after the
// requests ahead are served at the given rate (in requests per second), and after
// all earlier promises.
func (p *RetryBookings) Book(now time.Time, ahead int, rate float64) time.Duration {
	p.dropExpired(now)
	if rate <= 0 {
		return p.record(now, unknownRetryAfter)
	}
	slot := min(maxRetryAfter, time.Duration(float64(time.Second)/(promisedFraction*rate)))
	due := now.Add(max(minRetryAfter, time.Duration(ahead+1)*slot))
	if nextDue := p.lastDue.Add(slot); nextDue.After(due) {
		due = nextDue
	}
	wait := roundUp(due.Sub(now), retryAfterUnit)
	if wait > maxRetryAfter {
		return maxRetryAfter
	}
	p.lastDue = due
	return p.record(now, wait)
}

// BookOnce is Book for a request that may have been refused before. One that is repeated
// before its booking is due gets the rest of that wait: with a new booking each time,
// callers who don't wait would push back those of the callers who do. Repeated reports
// whether that was so.
func (p *RetryBookings) BookOnce(now time.Time, request string, ahead int, rate float64) (wait time.Duration, repeated bool) {
	p.dropExpired(now)
	for i := range p.pending {
		if m := &p.pending[i]; m.request == request && m.due.After(now) {
			return roundUp(m.due.Sub(now), retryAfterUnit), true
		}
	}
	before := len(p.pending)
	wait = p.Book(now, ahead, rate)
	if len(p.pending) > before {
		p.pending[before].request = request
	}
	return wait, false
}

func (p *RetryBookings) record(now time.Time, wait time.Duration) time.Duration {
	if len(p.pending) < maxPromises {
		p.pending = append(p.pending, promise{due: now.Add(wait), usesLeft: maxRedemptions})
	}
	return wait
}

// Redeem uses one redemption of a promise that is due, and reports whether there
// was one. Its caller goes before callers without a promise.
func (p *RetryBookings) Redeem(now time.Time) bool {
	p.dropExpired(now)
	for i := range p.pending {
		m := &p.pending[i]
		if m.usesLeft == 0 || m.due.After(now) {
			continue
		}
		m.usesLeft--
		return true
	}
	return false
}

// RedeemOwn is Redeem for a request that may have been refused before. It redeems the
// request's own booking, and none while one of its own isn't due: a caller who returns
// early would otherwise go before the callers whose bookings are due. A request without
// a known booking, as after a change of the coordinator, redeems any.
func (p *RetryBookings) RedeemOwn(now time.Time, request string) bool {
	p.dropExpired(now)
	var own *promise
	for i := range p.pending {
		m := &p.pending[i]
		switch {
		case m.request != request || m.usesLeft == 0:
		case m.due.After(now):
			return false
		default:
			own = m
		}
	}
	if own == nil {
		return p.Redeem(now)
	}
	own.usesLeft--
	return true
}

// Booked counts the unused promises that come due up to the given time. They go
// before a caller without a promise.
func (p *RetryBookings) Booked(now, until time.Time) int {
	p.dropExpired(now)
	n := 0
	for i := range p.pending {
		if p.pending[i].usesLeft == maxRedemptions && !p.pending[i].due.After(until) {
			n++
		}
	}
	return n
}

// dropExpired drops promises that are used up or past their grace period.
func (p *RetryBookings) dropExpired(now time.Time) {
	kept := p.pending[:0]
	for _, m := range p.pending {
		if m.usesLeft > 0 && !m.due.Add(promiseGrace).Before(now) {
			kept = append(kept, m)
		}
	}
	p.pending = kept
}

func roundUp(d, unit time.Duration) time.Duration {
	return (d + unit - 1) / unit * unit
}
