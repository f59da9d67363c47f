package ratelimit

import (
	"math"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// MinRate replaces a smaller limit, in requests per second: without any
	// requests no daemon would learn that the endpoint has recovered.
	MinRate = 0.2
	// liftAfter is how long answers must state no limit before the last one is
	// lifted. This hysteresis is for endpoints at the edge of overload.
	liftAfter = time.Second
	// tolerance is the relative change of a limit below which it is not published,
	// and minChangeInterval the least time between two such changes. They bound the
	// messages that one endpoint causes at all daemons.
	tolerance         = 0.1
	minChangeInterval = 250 * time.Millisecond
)

// Observer derives the limits of endpoints from their answers. It is safe for
// concurrent use.
type Observer struct {
	mu sync.Mutex
	// limited holds the endpoints that have a limit.
	limited map[string]*limitState
}

type limitState struct {
	incarnation uint64
	// lastChange is when this daemon last published a limit.
	lastChange time.Time
	// noLimitSince is the first answer without a limit after the last one with a
	// limit; zero if there is none.
	noLimitSince time.Time
}

// NewObserver returns an observer without endpoints.
func NewObserver() *Observer { return &Observer{limited: make(map[string]*limitState)} }

// ObserveAnswer applies the limit that an answer of an endpoint states, nil for none. It
// returns the limit of the endpoint from now on, zero for none, and whether it
// differs from the current one in e.
func (o *Observer) ObserveAnswer(now time.Time, e *port.Endpoint, stated *float64) (perSecond float64, changed bool) {
	if stated == nil && e.RateLimit == 0 {
		return 0, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.limited[e.ID]
	if state == nil || state.incarnation != e.Incarnation {
		state = &limitState{incarnation: e.Incarnation}
		o.limited[e.ID] = state
	}
	if stated == nil {
		return o.answeredWithoutLimit(now, e, state)
	}
	state.noLimitSince = time.Time{}
	rate := max(MinRate, *stated)
	isFirst := e.RateLimit == 0
	differs := math.Abs(rate-e.RateLimit) > tolerance*e.RateLimit && now.Sub(state.lastChange) >= minChangeInterval
	if !isFirst && !differs {
		return e.RateLimit, false
	}
	state.lastChange = now
	return rate, true
}

// answeredWithoutLimit applies an answer without a limit; o.mu is held.
func (o *Observer) answeredWithoutLimit(now time.Time, e *port.Endpoint, state *limitState) (perSecond float64, changed bool) {
	if state.noLimitSince.IsZero() {
		state.noLimitSince = now
	}
	if now.Sub(state.noLimitSince) < liftAfter {
		return e.RateLimit, false
	}
	delete(o.limited, e.ID)
	return 0, true
}

// Forget drops an endpoint that was removed.
func (o *Observer) Forget(endpoint string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.limited, endpoint)
}
