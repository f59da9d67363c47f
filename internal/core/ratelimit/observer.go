package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// LowestRate is taken in place of a smaller limit, in requests a second: with
	// no request at all nobody would hear that the endpoint has recovered.
	LowestRate = 0.2
	// liftAfter is how long answers must name no limit before the last one is
	// taken for lifted: hysteresis against an endpoint at the edge of its need.
	liftAfter = time.Second
	// tolerance is the part by which a limit must change to be passed on, and
	// changeEvery the least time between two such changes. They bound what one
	// endpoint costs all daemons.
	tolerance   = 0.1
	changeEvery = 250 * time.Millisecond
)

// Observer judges what the answers of endpoints say of their limits. It is safe
// for concurrent use.
type Observer struct {
	mu sync.Mutex
	// limited are the endpoints that have a limit.
	limited map[string]*observed
}

type observed struct {
	incarnation uint64
	// changed is when this daemon last passed on a limit.
	changed time.Time
	// silentSince is the first answer without a limit since the last with one,
	// zero for none.
	silentSince time.Time
}

// NewObserver returns an observer of no endpoints.
func NewObserver() *Observer { return &Observer{limited: make(map[string]*observed)} }

// Answered takes the limit that an answer of an endpoint names, nil for none.
// It returns the endpoint's limit from now on, zero for none, and whether that
// is another than the one that the endpoint is known by.
func (o *Observer) Answered(now time.Time, e *port.Endpoint, named *float64) (perSecond float64, changed bool) {
	if named == nil && e.RateLimit == 0 {
		return 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	seen := o.limited[e.ID]
	if seen == nil || seen.incarnation != e.Incarnation {
		seen = &observed{incarnation: e.Incarnation}
		o.limited[e.ID] = seen
	}
	if named == nil {
		return o.unnamed(now, e, seen)
	}
	seen.silentSince = time.Time{}
	rate := max(LowestRate, *named)
	isFirst := e.RateLimit == 0
	differs := math.Abs(rate-e.RateLimit) > tolerance*e.RateLimit && now.Sub(seen.changed) >= changeEvery
	if !isFirst && !differs {
		return e.RateLimit, false
	}
	seen.changed = now
	return rate, true
}

// unnamed takes an answer without a limit; o.mu is held.
func (o *Observer) unnamed(now time.Time, e *port.Endpoint, seen *observed) (perSecond float64, changed bool) {
	if seen.silentSince.IsZero() {
		seen.silentSince = now
	}
	if now.Sub(seen.silentSince) < liftAfter {
		return e.RateLimit, false
	}
	delete(o.limited, e.ID)
	return 0, true
}

// Forget drops an endpoint that is gone.
func (o *Observer) Forget(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.limited, endpoint)
}
