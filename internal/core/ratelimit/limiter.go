package ratelimit

import (
	"sync"
	"time"
)

const (
	// maxMeters bounds the tracked endpoints. Beyond it, requests to further
	// endpoints are not admitted: with that many limited endpoints at once, their
	// limits could not be kept otherwise.
	maxMeters = 8192
	// maxPostponement bounds how long a refused daemon is postponed behind others:
	// they may send fewer requests than they were granted.
	maxPostponement = time.Second
	// maxWait bounds the wait where the endpoint accepts nothing for longer:
	// another daemon may admit requests by then.
	maxWait = 5 * time.Second
	// MaxPatience bounds how far ahead requests are admitted: a daemon that takes
	// over as coordinator doesn't know of them.
	MaxPatience = time.Second
	// endpointRetention is how long an endpoint is tracked after it has processed
	// all admitted requests.
	endpointRetention = time.Minute
)

// Candidate is an endpoint to which a request could be sent.
type Candidate struct {
	Endpoint string
	// Limit is the current limit of the endpoint.
	Limit
	// Refused is the number of refusals of a brittle endpoint that the daemon has got
	// since it last asked.
	Refused int
}

// Grant is the decision on one request: where it may be sent, and when.
type Grant struct {
	// Endpoint is empty if the request was refused.
	Endpoint string
	// Wait is the time until the request may be sent, or until a refused caller
	// should ask again.
	Wait time.Duration
}

// Limiter divides the rates of endpoints among all daemons that call it. It is safe
// for concurrent use.
type Limiter struct {
	// isShare is set if other limiters admit requests to the same endpoints.
	isShare bool

	mu sync.Mutex
	m  map[string]*endpointMeter
}

// endpointMeter is the state of one endpoint.
type endpointMeter struct {
	Meter
	// lastRetry is the latest retry time given to a refused daemon.
	lastRetry time.Time
	refusals  refusals
}

// NewLimiter returns a limiter that admits requests for all daemons.
func NewLimiter() *Limiter { return &Limiter{m: make(map[string]*endpointMeter)} }

// NewShareLimiter returns a limiter for one daemon's share of the endpoints' rates,
// used while the daemon can't reach the coordinator that admits for all. It admits
// nothing at the start: all daemons together would send a burst.
func NewShareLimiter() *Limiter { return &Limiter{isShare: true, m: make(map[string]*endpointMeter)} }

// Admit admits one request to the endpoint that accepts it first, if that is within
// the patience, which is capped at MaxPatience.
func (l *Limiter) Admit(now time.Time, asks []Candidate, patience time.Duration) Grant {
	patience = min(patience, MaxPatience)
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *endpointMeter
	var chosen Candidate
	soonest := maxPostponement
	for _, a := range asks {
		m := l.meter(now, a)
		if m == nil {
			continue
		}
		m.applyRefusals(now, &a)
		if wait := m.Wait(now, a.Limit); best == nil || wait < soonest {
			best, chosen, soonest = m, a, wait
		}
	}
	switch {
	case best == nil:
		return Grant{Wait: maxPostponement}
	case soonest > chosen.patience(patience):
		return Grant{Wait: best.postpone(now, soonest-chosen.patience(patience), chosen.PerSecond)}
	}
	best.Take(now, chosen.Limit)
	return Grant{Endpoint: chosen.Endpoint, Wait: soonest}
}

// grantedAheadDivisor: of a brittle endpoint's refusals only this part may be due to
// requests that were admitted ahead, which are sent even if it has refused others since.
const grantedAheadDivisor = 2

// patience returns how far ahead requests are admitted to the endpoint.
func (c *Candidate) patience(most time.Duration) time.Duration {
	if c.MaxRefusals <= 0 {
		return most
	}
	return min(most, interval(c.PerSecond)*time.Duration(c.MaxRefusals)/grantedAheadDivisor)
}

// TakeOver records that another daemon has admitted requests to the endpoints until
// now, so that none of them is due a burst.
func (l *Limiter) TakeOver() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.m {
		m.TakeOver()
	}
}

// applyRefusals records the refusals that a daemon reports and reduces the limit by all
// recent ones. Once half of the budget is spent nothing is admitted until it is renewed.
func (m *endpointMeter) applyRefusals(now time.Time, a *Candidate) {
	if a.MaxRefusals <= 0 {
		return
	}
	if a.Refused > 0 && m.refusals.record(now, a.Refused, a.MaxRefusals) {
		if resume := now.Add(refusalWindow + a.burst()); m.due.Before(resume) {
			m.due = resume
		}
	}
	a.Limit = m.refusals.reduce(now, a.Limit)
}

// postpone spreads the retries of refused daemons over the times at which the
// endpoint accepts requests. Otherwise all would ask at once, and all but one would
// be refused again.
func (m *endpointMeter) postpone(now time.Time, least time.Duration, perSecond float64) time.Duration {
	next := now.Add(least)
	if spaced := m.lastRetry.Add(interval(perSecond)); spaced.After(next) {
		next = spaced
	}
	if latest := now.Add(max(least, maxPostponement)); next.After(latest) {
		next = latest
	} else {
		m.lastRetry = next
	}
	return min(maxWait, next.Sub(now))
}

// meter returns the meter of an endpoint, or nil if too many endpoints are tracked.
func (l *Limiter) meter(now time.Time, a Candidate) *endpointMeter {
	m := l.m[a.Endpoint]
	if m != nil {
		return m
	}
	if len(l.m) >= maxMeters {
		l.expire(now)
	}
	if len(l.m) >= maxMeters {
		return nil
	}
	m = &endpointMeter{}
	if l.isShare {
		m.Restrict(now, a.Limit, wholeInterval)
	}
	l.m[a.Endpoint] = m
	return m
}

func wholeInterval() float64 { return 1 }

// Expire drops endpoints without requests for endpointRetention; call it regularly.
func (l *Limiter) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Limiter) expire(now time.Time) {
	for id, m := range l.m {
		if now.Sub(m.due) >= endpointRetention {
			delete(l.m, id)
		}
	}
}

// Len returns the number of tracked endpoints.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.m)
}
