package admission

import (
	"math"
	"time"
)

// Limits are one organisation's bounds over all routers; zero is no bound.
type Limits struct {
	TokensPerSecond float64
	Concurrency     int
}

// borrowFactor is how far one router may go past its even part of a limit.
// Callers keep an entry address for a while, so an organisation's requests
// are never spread evenly; an even part alone would refuse at one router
// what stands unused at another. All routers together stay within
// borrowFactor times the limit, plus one request each for rounding.
const borrowFactor = 1.25

// burst is how many seconds of its rate an organisation may use at once.
const burst = 2.0

// Limiter keeps one organisation's use at one router.
type Limiter struct {
	open   int
	tokens float64
	filled time.Time
}

// LimitVerdict says which limit stops a request, if any.
type LimitVerdict int

// The verdicts of Limiter.
const (
	WithinLimits LimitVerdict = iota
	OverConcurrency
	OverRate
)

// Open counts the open requests.
func (l *Limiter) Open() int { return l.open }

// Acquire opens a request of the expected tokens, or says what stops it and
// after which time the rate allows it. Routers is the number of live routers.
func (l *Limiter) Acquire(now time.Time, limits Limits, routers int, tokens float64) (LimitVerdict, time.Duration) {
	if limits.Concurrency > 0 && l.open >= concurrencyPart(limits.Concurrency, routers) {
		return OverConcurrency, 0
	}
	if limits.TokensPerSecond > 0 {
		rate := ratePart(limits.TokensPerSecond, routers)
		l.fill(now, rate)
		// One request larger than the burst must pass once the burst is
		// whole, or it never would; the debt delays the next.
		need := min(tokens, burst*rate)
		if l.tokens < need {
			return OverRate, time.Duration((need - l.tokens) / rate * float64(time.Second))
		}
		l.tokens -= tokens
	}
	l.open++
	return WithinLimits, 0
}

// Reopen opens a request that was let in before, whatever the limits.
func (l *Limiter) Reopen() { l.open++ }

// Release closes a request.
func (l *Limiter) Release() {
	if l.open > 0 {
		l.open--
	}
}

func (l *Limiter) fill(now time.Time, rate float64) {
	if l.filled.IsZero() {
		l.tokens = burst * rate
	} else if gone := now.Sub(l.filled).Seconds(); gone > 0 {
		l.tokens = min(burst*rate, l.tokens+gone*rate)
	}
	l.filled = now
}

// concurrencyPart is one router's part, never less than one: an organisation
// that may have one request open must find a router that takes it.
func concurrencyPart(limit, routers int) int {
	even := float64(limit) / float64(max(1, routers))
	return max(1, min(limit, int(math.Floor(even*borrowFactor))))
}

// ratePart is one router's part of a rate.
func ratePart(limit float64, routers int) float64 {
	return min(limit, limit/float64(max(1, routers))*borrowFactor)
}
