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

// MaxColdTime bounds how long one announcement marks an endpoint as cold. An endpoint
// that stays cold for longer announces it again.
const MaxColdTime = time.Minute

// minExtension is the time by which the end of an endpoint's cold time must move to count as a
// change. Answers of one start differ by less, as they need different times.
const minExtension = 100 * time.Millisecond

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
	// announced is the last entry that was applied.
	announced announcement
	// coldUntil is when the endpoint becomes warm, by its latest announcement.
	coldUntil time.Time
	// reportedWarm is set when Warmed has returned the endpoint. The state is
	// kept, as the same registry entry may be received again.
	reportedWarm bool
}

// announcement identifies the cold time of an entry.
type announcement struct {
	revision port.StoreRevision
	reports  uint32
	coldFor  time.Duration
}

func announcementOf(e *port.Endpoint) announcement {
	return announcement{revision: e.Revision, reports: e.ColdReports, coldFor: e.ColdFor}
}

// NewTracker returns a tracker without endpoints.
func NewTracker() *Tracker { return &Tracker{endpoints: make(map[string]*endpointState)} }

// ApplyEntry applies the registry entry of an endpoint. The cold time counts from when
// the entry was first received, as the age of an entry is unknown; an endpoint that
// is taken for cold too long only gets fewer requests.
func (t *Tracker) ApplyEntry(now time.Time, e *port.Endpoint) {
	if e.ColdFor <= 0 && t.count.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.endpoints[e.ID]
	switch {
	case state != nil && (e.Incarnation < state.incarnation || state.isOutdated(e)):
	case e.ColdFor <= 0:
		t.drop(e.ID)
	default:
		updated := t.entry(e)
		updated.announced = announcementOf(e)
		updated.coldUntil, updated.reportedWarm = now.Add(min(MaxColdTime, e.ColdFor)), false
	}
}

// isOutdated reports whether an entry is not newer than what was applied. One with the
// revision of the applied one and another cold time comes from a restored copy of the
// platform's store, unless the endpoint has stated that time since.
func (k *endpointState) isOutdated(e *port.Endpoint) bool {
	if k.incarnation != e.Incarnation {
		return false
	}
	entry := announcementOf(e)
	if entry == k.announced {
		return true
	}
	isSameRevision := e.Revision != 0 && entry.revision == k.announced.revision
	return isSameRevision && (entry.reports == 0 || entry.reports < k.announced.reports)
}

// ApplyAnswer applies the remaining cold time that an endpoint states with an answer,
// nil for none. It reports whether the endpoint changed between cold and warm, or stays cold
// for longer than known, for example because it has started again.
func (t *Tracker) ApplyAnswer(now time.Time, e *port.Endpoint, remaining *time.Duration) (changed bool) {
	if remaining == nil || *remaining <= 0 && t.count.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.endpoints[e.ID]
	if state != nil && e.Incarnation < state.incarnation {
		return false
	}
	wasCold := state != nil && state.incarnation == e.Incarnation && now.Before(state.coldUntil)
	if *remaining <= 0 {
		if state != nil {
			state.coldUntil = now
		}
		return wasCold
	}
	updated := t.entry(e)
	before := updated.coldUntil
	updated.coldUntil, updated.reportedWarm = now.Add(min(MaxColdTime, *remaining)), false
	return !wasCold || updated.coldUntil.Sub(before) >= minExtension
}

// entry returns the state of an incarnation, creating it if needed; t.mu is held.
func (t *Tracker) entry(e *port.Endpoint) *endpointState {
	state := t.endpoints[e.ID]
	if state == nil || state.incarnation != e.Incarnation {
		state = &endpointState{incarnation: e.Incarnation, announced: announcementOf(e)}
		t.endpoints[e.ID] = state
		t.count.Store(int64(len(t.endpoints)))
	}
	return state
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
	state := t.endpoints[e.ID]
	return state != nil && state.incarnation == e.Incarnation && now.Before(state.coldUntil)
}

// Warmed returns the endpoints that have become warm since the last call.
func (t *Tracker) Warmed(now time.Time) []string {
	if t.count.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, state := range t.endpoints {
		if !state.reportedWarm && !now.Before(state.coldUntil) {
			state.reportedWarm = true
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
