// Package pause tracks the endpoints that asked this host to send them nothing
// for a while. A pause applies to one host: other hosts are asked on their own.
// The package does no I/O and doesn't communicate with other daemons.
package pause

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Tracker tracks the paused endpoints. It is safe for concurrent use.
type Tracker struct {
	// count is the number of tracked endpoints.
	count atomic.Int64

	mu        sync.Mutex
	endpoints map[string]endpointPause
}

type endpointPause struct {
	incarnation uint64
	until       time.Time
}

// Start pauses an incarnation of an endpoint for a duration, unless it is
// already paused for longer. It reports whether the endpoint was not paused
// before. The request of an earlier incarnation than the tracked one is late and
// changes nothing; a later one has not inherited the pause.
func (t *Tracker) Start(now time.Time, e *port.Endpoint, duration time.Duration) (began bool) {
	if duration <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, tracked := t.endpoints[e.ID]
	if tracked && known.incarnation > e.Incarnation {
		return false
	}
	next := endpointPause{incarnation: e.Incarnation, until: now.Add(duration)}
	began = !tracked || known.incarnation != e.Incarnation || !now.Before(known.until)
	if !began && known.until.After(next.until) {
		next.until = known.until
	}
	if t.endpoints == nil {
		t.endpoints = make(map[string]endpointPause)
	}
	t.endpoints[e.ID] = next
	t.count.Store(int64(len(t.endpoints)))
	return began
}

// Remaining returns the time until the pause of an endpoint ends, zero if it is
// not paused.
func (t *Tracker) Remaining(now time.Time, e *port.Endpoint) time.Duration {
	if t.count.Load() == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p, tracked := t.endpoints[e.ID]
	if !tracked || p.incarnation < e.Incarnation {
		return 0
	}
	return max(0, p.until.Sub(now))
}

// Active returns the ids of the paused endpoints.
func (t *Tracker) Active(now time.Time) []string {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, p := range t.endpoints {
		if now.Before(p.until) {
			out = append(out, id)
		}
	}
	return out
}

// RemoveEnded stops tracking the endpoints whose pause has ended, and returns
// their ids.
func (t *Tracker) RemoveEnded(now time.Time) []string {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, p := range t.endpoints {
		if !now.Before(p.until) {
			out = append(out, id)
			delete(t.endpoints, id)
		}
	}
	t.count.Store(int64(len(t.endpoints)))
	return out
}

// Cancel ends the pause of an endpoint, unless it ends at another time than the given
// one, as a longer pause does that has begun since.
func (t *Tracker) Cancel(e *port.Endpoint, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p, tracked := t.endpoints[e.ID]; tracked && p.incarnation == e.Incarnation && p.until.Equal(until) {
		delete(t.endpoints, e.ID)
		t.count.Store(int64(len(t.endpoints)))
	}
}

// Len returns the number of tracked endpoints.
func (t *Tracker) Len() int { return int(t.count.Load()) }

// Forget stops tracking an endpoint that was removed.
func (t *Tracker) Forget(id string) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.endpoints, id)
	t.count.Store(int64(len(t.endpoints)))
}
