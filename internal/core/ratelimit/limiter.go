package ratelimit

import (
	"sync"
	"time"
)

const (
	// maxMeters bounds the endpoints that are remembered. Past it a request to
	// another one is not admitted: in a fleet in which so many are in need at
	// once, no word on them would be kept to otherwise.
	maxMeters = 8192
	// askAgain bounds the time for which a refused daemon is told not to ask while
	// others are ahead of it: they may use less than was promised to them.
	askAgain = time.Second
	// longestWait bounds it where the endpoint takes nothing for longer: another
	// daemon may admit by then.
	longestWait = 5 * time.Second
	// MaxPatience bounds how far ahead requests are admitted: another daemon that
	// takes over doesn't know of them.
	MaxPatience = time.Second
	// memory is how long an endpoint is remembered after it has worked off what
	// was admitted.
	memory = time.Minute
)

// Ask names an endpoint to which a request could be sent.
type Ask struct {
	Endpoint string
	// Limit is the one that the endpoint is known by.
	Limit
}

// Grant says where and when one request may be sent.
type Grant struct {
	// Endpoint is empty where the request may be sent to none of them.
	Endpoint string
	// Wait is the time until it may be sent, or until it makes sense to ask
	// again.
	Wait time.Duration
}

// Limiter shares out what endpoints take among all daemons that ask it. It is
// safe for concurrent use.
type Limiter struct {
	// isShare: others admit to the same endpoints meanwhile.
	isShare bool

	mu sync.Mutex
	m  map[string]*metered
}

// metered is one endpoint.
type metered struct {
	Meter
	// told is the last time at which a refused daemon was told to ask again.
	told time.Time
}

// NewLimiter returns a limiter that admits for all daemons.
func NewLimiter() *Limiter { return &Limiter{m: make(map[string]*metered)} }

// NewShareLimiter returns a limiter of one daemon that keeps to its share of the
// endpoints' rates, as it can't reach the one that admits for all. It admits
// nothing at once: all daemons together would send a burst.
func NewShareLimiter() *Limiter { return &Limiter{isShare: true, m: make(map[string]*metered)} }

// Admit admits one request to the endpoint that takes it soonest, if that is
// within the patience, of MaxPatience at most.
func (l *Limiter) Admit(now time.Time, asks []Ask, patience time.Duration) Grant {
	patience = min(patience, MaxPatience)
	l.mu.Lock()
	defer l.mu.Unlock()
	var best *metered
	var chosen Ask
	soonest := askAgain
	for _, a := range asks {
		m := l.meter(now, a)
		if m == nil {
			continue
		}
		if wait := m.Wait(now, a.Limit); best == nil || wait < soonest {
			best, chosen, soonest = m, a, wait
		}
	}
	switch {
	case best == nil:
		return Grant{Wait: askAgain}
	case soonest > patience:
		return Grant{Wait: best.postpone(now, soonest-patience, chosen.PerSecond)}
	}
	best.Take(now, chosen.Limit)
	return Grant{Endpoint: chosen.Endpoint, Wait: soonest}
}

// postpone spreads those that were refused over the times at which the endpoint
// takes more. All at once would ask, and all but one be refused again.
func (m *metered) postpone(now time.Time, least time.Duration, perSecond float64) time.Duration {
	next := now.Add(least)
	if later := m.told.Add(interval(perSecond)); later.After(next) {
		next = later
	}
	if latest := now.Add(max(least, askAgain)); next.After(latest) {
		next = latest
	} else {
		m.told = next
	}
	return min(longestWait, next.Sub(now))
}

// meter returns the endpoint's, nil where there is no room for it.
func (l *Limiter) meter(now time.Time, a Ask) *metered {
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
	m = &metered{}
	if l.isShare {
		m.due = now.Add(a.burst() + interval(a.PerSecond))
	}
	l.m[a.Endpoint] = m
	return m
}

// Expire forgets the endpoints that nobody has asked for in a while; call it now
// and then.
func (l *Limiter) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}

func (l *Limiter) expire(now time.Time) {
	for id, m := range l.m {
		if now.Sub(m.due) >= memory {
			delete(l.m, id)
		}
	}
}

// Len counts the endpoints that are remembered.
func (l *Limiter) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.m)
}
