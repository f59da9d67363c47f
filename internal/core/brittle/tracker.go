// Package brittle derives how many calls per second an endpoint of a plain service has
// room for while it states that refusals crash it. It does no I/O; that all daemons
// together keep to the rate is up to package ratelimit.
package brittle

import (
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// statedFor is how long an endpoint counts as brittle after it last said so. All
	// its answers say so while it is.
	statedFor = 3 * time.Second
	// usableShare is the share of an endpoint's slots that is used on average, so that
	// calls of uneven length seldom have to wait.
	usableShare = 0.9
	// newestWeight is the weight of the newest call in the average time of a call.
	newestWeight = 0.2
	// defaultCallTime is the time that a call is taken to last before one has ended.
	defaultCallTime = 100 * time.Millisecond
)

// Tracker holds what the answers to this daemon say about brittle endpoints. It is safe
// for concurrent use.
type Tracker struct {
	mu sync.Mutex
	m  map[string]*state
}

type state struct {
	incarnation uint64
	// refusals is the number of calls that the endpoint may refuse within a second.
	refusals int
	until    time.Time
	// slots is the number of calls that run at once, callTime the average time for
	// which one occupies a slot.
	slots    int
	callTime time.Duration
	// refused counts the refusals that were not reported yet.
	refused int
}

// NewTracker returns a tracker without endpoints.
func NewTracker() *Tracker { return &Tracker{m: make(map[string]*state)} }

// Observe applies the number of refusals within a second that an endpoint states to
// withstand. It reports whether the endpoint was not known to be brittle.
func (t *Tracker) Observe(now time.Time, e *port.Endpoint, refusals int) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e)
	isNew = !now.Before(s.until)
	s.refusals, s.until = refusals, now.Add(statedFor)
	return isNew
}

// ObserveCall applies the time that a call took and the load that the endpoint reported
// with its answer, nil for none.
func (t *Tracker) ObserveCall(e *port.Endpoint, took time.Duration, load *port.LoadHint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(e)
	s.slots = max(1, e.Slots)
	if load != nil && load.Slots > 0 {
		s.slots = load.Slots
		if open := load.Running + load.Waiting; open > load.Slots {
			// The rest of the time was spent waiting for a slot.
			took = took * time.Duration(load.Slots) / time.Duration(open)
		}
	}
	if s.callTime == 0 {
		s.callTime = took
		return
	}
	s.callTime += time.Duration(newestWeight * float64(took-s.callTime))
}

// Refused records that an endpoint refused a call, and reports whether it is brittle.
func (t *Tracker) Refused(now time.Time, e *port.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.m[e.ID]
	if s == nil || s.incarnation != e.Incarnation || !now.Before(s.until) {
		return false
	}
	s.refused++
	return true
}

// TakeRefused returns the number of refusals since the last call for an endpoint.
func (t *Tracker) TakeRefused(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.m[id]
	if s == nil {
		return 0
	}
	n := s.refused
	s.refused = 0
	return n
}

// Mark sets what a brittle endpoint accepts; endpoints that are not brittle stay
// unchanged.
func (t *Tracker) Mark(now time.Time, e port.Endpoint) port.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.m[e.ID]
	if s == nil || s.incarnation != e.Incarnation || !now.Before(s.until) {
		return e
	}
	callTime := s.callTime
	if callTime <= 0 {
		callTime = defaultCallTime
	}
	slots := max(1, s.slots)
	e.Brittle = port.Brittleness{
		Refusals: s.refusals, PerSecond: usableShare * float64(slots) / callTime.Seconds(),
		Burst: callTime / 2,
	}
	return e
}

// Forget drops an endpoint that was removed.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.m, id)
}

// state returns the state of an endpoint's incarnation.
func (t *Tracker) state(e *port.Endpoint) *state {
	s := t.m[e.ID]
	if s == nil || s.incarnation != e.Incarnation {
		s = &state{incarnation: e.Incarnation}
		t.m[e.ID] = s
	}
	return s
}
