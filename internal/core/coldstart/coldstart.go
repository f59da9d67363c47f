// Package coldstart tracks which endpoints are cold: they have just started, or have
// lost their warm state, and accept few requests for a while. It does no I/O and
// doesn't communicate with other daemons.
package coldstart

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Longest bounds how long one announcement marks an endpoint as cold. An endpoint
// that stays cold for longer announces it again.
const Longest = time.Minute

// Tracker tracks the cold endpoints. It is safe for concurrent use.
type Tracker struct {
	// count is the number of tracked endpoints.
	count atomic.Int64

	mu        sync.Mutex
	endpoints map[string]*endpointState
}

// endpointState is the state of one endpoint.
type endpointState struct {
	incarnation uint64
	// revision and announced are those of the last entry that was applied.
	revision  port.StoreRevision
	announced time.Duration
	// coldUntil is when the endpoint becomes warm, by its latest announcement.
	coldUntil time.Time
	// reportedWarm is set when Warmed has returned the endpoint. The state is
	// kept, as the same registry entry may be received again.
	reportedWarm bool
}

// NewTracker returns a tracker without endpoints.
func NewTracker() *Tracker { return &Tracker{endpoints: make(map[string]*endpointState)} }

// Listed applies the registry entry of an endpoint. The cold time counts from when
// the entry was first received, as the age of an entry is unknown; an endpoint that
// is taken for cold too long only gets fewer requests.
func (t *Tracker) Listed(now time.Time, e *port.Endpoint) {
	if e.ColdFor <= 0 && t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints[e.ID]
	switch {
	case known != nil && (e.Incarnation < known.incarnation || known.alreadyApplied(e)):
	case e.ColdFor <= 0:
		t.drop(e.ID)
	default:
		next := t.entry(e)
		next.revision, next.announced = e.Revision, e.ColdFor
		next.coldUntil, next.reportedWarm = now.Add(min(Longest, e.ColdFor)), false
	}
}

// alreadyApplied reports whether an entry was applied before.
func (k *endpointState) alreadyApplied(e *port.Endpoint) bool {
	return k.incarnation == e.Incarnation && k.revision == e.Revision && k.announced == e.ColdFor
}

// Answered applies the remaining cold time that an endpoint states with an answer,
// nil for none. It reports whether the endpoint changed between cold and warm.
func (t *Tracker) Answered(now time.Time, e *port.Endpoint, remaining *time.Duration) (changed bool) {
	if remaining == nil || *remaining <= 0 && t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints[e.ID]
	if known != nil && e.Incarnation < known.incarnation {
		return false
	}
	wasCold := known != nil && known.incarnation == e.Incarnation && now.Before(known.coldUntil)
	if *remaining <= 0 {
		if known != nil {
			known.coldUntil = now
		}
		return wasCold
	}
	next := t.entry(e)
	next.coldUntil, next.reportedWarm = now.Add(min(Longest, *remaining)), false
	return !wasCold
}

// entry returns the state of an incarnation, creating it if needed; t.mu is held.
func (t *Tracker) entry(e *port.Endpoint) *endpointState {
	known := t.endpoints[e.ID]
	if known == nil || known.incarnation != e.Incarnation {
		known = &endpointState{incarnation: e.Incarnation, revision: e.Revision, announced: e.ColdFor}
		t.endpoints[e.ID] = known
		t.count.Store(int64(len(t.endpoints)))
	}
	return known
}

// drop removes the state of an endpoint; t.mu is held.
func (t *Tracker) drop(id string) {
	delete(t.endpoints, id)
	t.count.Store(int64(len(t.endpoints)))
}

// IsCold reports whether an endpoint is cold.
func (t *Tracker) IsCold(now time.Time, e *port.Endpoint) bool {
	if t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints[e.ID]
	return known != nil && known.incarnation == e.Incarnation && now.Before(known.coldUntil)
}

// Warmed returns the endpoints that have become warm since the last call.
func (t *Tracker) Warmed(now time.Time) []string {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, known := range t.endpoints {
		if !known.reportedWarm && !now.Before(known.coldUntil) {
			known.reportedWarm = true
			out = append(out, id)
		}
	}
	return out
}

// Forget drops an endpoint that was removed.
func (t *Tracker) Forget(id string) {
	if t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(id)
}
