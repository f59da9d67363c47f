package admission

import (
	"math"
	"time"
)

// Limits are the bounds of one organisation across all routers; zero means no
// bound.
type Limits struct {
	TokensPerSecond float64
	Concurrency     int
}

// borrowFactor is the multiple of its even share of a limit that one router may
// admit. Callers reuse an entry address for a while, so the requests of an
// organisation are not spread evenly over routers; with even shares alone one
// router would refuse requests while another has unused capacity. The total over
// all routers stays within borrowFactor times the limit, plus one request per
// router for rounding.
const borrowFactor = 1.25

// burst is the number of seconds of its rate that an organisation may use at
// once.
const burst = 2.0

// Limiter tracks the open requests and the token rate of one organisation at one
// router.
type Limiter struct {
	open       int
	tokens     float64
	lastRefill time.Time
}

// LimitVerdict tells which limit refuses a request, if any.
type LimitVerdict int

// The results of Limiter.Acquire.
const (
	WithinLimits LimitVerdict = iota
	OverConcurrency
	OverRate
)

// Open returns the number of open requests.
func (l *Limiter) Open() int { return l.open }

// Acquire opens a request that is expected to use the given number of tokens.
// Otherwise it returns the limit that refuses the request and, for the rate limit,
// the time until the rate allows it. Routers is the number of live routers.
func (l *Limiter) Acquire(now time.Time, limits Limits, routers int, tokens float64) (LimitVerdict, time.Duration) {
	if limits.Concurrency > 0 && l.open >= concurrencyShare(limits.Concurrency, routers) {
		return OverConcurrency, 0
	}
	if limits.TokensPerSecond > 0 {
		rate := rateShare(limits.TokensPerSecond, routers)
		l.refill(now, rate)
		// A request larger than the burst passes once the burst is full, or it
		// would never pass; the negative balance delays the next request.
		need := min(tokens, burst*rate)
		if l.tokens < need {
			return OverRate, time.Duration((need - l.tokens) / rate * float64(time.Second))
		}
		l.tokens -= tokens
	}
	l.open++
	return WithinLimits, 0
}

// Reopen opens a request that was admitted before, without checking the limits.
func (l *Limiter) Reopen() { l.open++ }

// Release closes a request.
func (l *Limiter) Release() {
	if l.open > 0 {
		l.open--
	}
}

func (l *Limiter) refill(now time.Time, rate float64) {
	if l.lastRefill.IsZero() {
		l.tokens = burst * rate
	} else if elapsed := now.Sub(l.lastRefill).Seconds(); elapsed > 0 {
		l.tokens = min(burst*rate, l.tokens+elapsed*rate)
	}
	l.lastRefill = now
}

// concurrencyShare returns the share of one router in a concurrency limit. It is
// at least one, so that an organisation with a limit of one finds a router that
// admits its request.
func concurrencyShare(limit, routers int) int {
	evenShare := float64(limit) / float64(max(1, routers))
	return max(1, min(limit, int(math.Floor(evenShare*borrowFactor))))
}

// rateShare returns the share of one router in a rate limit.
func rateShare(limit float64, routers int) float64 {
	return min(limit, limit/float64(max(1, routers))*borrowFactor)
}
