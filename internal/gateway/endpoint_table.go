package gateway

import (
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// endpointTable holds the endpoints known to this daemon. The cost of an update
// is bounded by the size of the endpoint's own pool, whatever the number of
// endpoints.
type endpointTable struct {
	mu   sync.RWMutex
	byID map[string]endpointEntry
	// live lists, for each pool of a plain service, the live endpoints that are
	// not evacuated. A list is replaced and never modified, because calls read
	// it without the lock.
	live map[string][]port.Endpoint
	// evacuated holds the ids of the live endpoints of each pool that are
	// evacuated.
	evacuated map[string]map[string]struct{}
}

// endpointEntry is an endpoint with the state kept by this daemon.
type endpointEntry struct {
	port.Endpoint
	// leavingSince is when this daemon first stored it as no longer live; zero
	// while it is live.
	leavingSince time.Time
}

// put stores an endpoint's new state and returns the previous one.
func (k *endpointTable) put(e port.Endpoint, now time.Time) (before endpointEntry, existed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byID == nil {
		k.byID = make(map[string]endpointEntry)
		k.live = make(map[string][]port.Endpoint)
		k.evacuated = make(map[string]map[string]struct{})
	}
	before, existed = k.byID[e.ID]
	next := endpointEntry{Endpoint: e}
	if e.State != port.EndpointLive {
		next.leavingSince = now
		if before.Incarnation == e.Incarnation && !before.leavingSince.IsZero() {
			next.leavingSince = before.leavingSince
		}
	}
	k.byID[e.ID] = next
	if existed && before.Pool != e.Pool {
		k.removeLive(before.Pool, e.ID)
		delete(k.evacuated[before.Pool], e.ID)
	}
	k.updateEvacuated(e)
	if e.Kind != port.KindRunner {
		k.updateLive(e)
	}
	return before, existed
}

// updateLive adds the endpoint to its pool's list of live endpoints, or removes
// it.
func (k *endpointTable) updateLive(e port.Endpoint) {
	k.removeLive(e.Pool, e.ID)
	if e.State != port.EndpointLive || e.Evacuated {
		return
	}
	k.live[e.Pool] = append(slices.Clip(k.live[e.Pool]), e)
}

// updateEvacuated adds the endpoint to the evacuated ones of its pool, or
// removes it.
func (k *endpointTable) updateEvacuated(e port.Endpoint) {
	if e.State != port.EndpointLive || !e.Evacuated {
		delete(k.evacuated[e.Pool], e.ID)
		return
	}
	if k.evacuated[e.Pool] == nil {
		k.evacuated[e.Pool] = make(map[string]struct{})
	}
	k.evacuated[e.Pool][e.ID] = struct{}{}
}

func (k *endpointTable) removeLive(pool, id string) {
	list := k.live[pool]
	at := slices.IndexFunc(list, func(e port.Endpoint) bool { return e.ID == id })
	if at < 0 {
		return
	}
	k.live[pool] = slices.Concat(list[:at], list[at+1:])
}

// remove deletes an endpoint from the table.
func (k *endpointTable) remove(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	pool := k.byID[id].Pool
	k.removeLive(pool, id)
	delete(k.evacuated[pool], id)
	delete(k.byID, id)
}

func (k *endpointTable) get(id string) (endpointEntry, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	h, ok := k.byID[id]
	return h, ok
}

// isLive reports whether an endpoint is live.
func (k *endpointTable) isLive(id string) bool {
	h, found := k.get(id)
	return found && h.State == port.EndpointLive
}

// usableIDs returns the ids of the endpoints of a pool that are live and not
// evacuated.
func (k *endpointTable) usableIDs(pool string) []string {
	var out []string
	for _, e := range k.matching(func(e *port.Endpoint) bool {
		return e.Pool == pool && e.State == port.EndpointLive && !e.Evacuated
	}) {
		out = append(out, e.ID)
	}
	return out
}

// hasLeft reports whether the table shows that an endpoint, as an earlier decision or
// another daemon described it, is no longer live. A description by a newer entry or
// of a newer incarnation than the table has counts as live.
func (k *endpointTable) hasLeft(described port.Endpoint) bool {
	known, found := k.get(described.ID)
	if !found || known.State == port.EndpointLive || known.Incarnation < described.Incarnation {
		return false
	}
	return known.Incarnation > described.Incarnation || known.Revision >= described.Revision
}

// inPool lists the endpoints of a pool.
func (k *endpointTable) inPool(pool string) []port.Endpoint {
	return k.matching(func(e *port.Endpoint) bool { return e.Pool == pool })
}

// recentlyLiveIn lists the endpoints of a pool that are live or have left after a
// time.
func (k *endpointTable) recentlyLiveIn(pool string, after time.Time) []port.Endpoint {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []port.Endpoint
	for _, h := range k.byID {
		if h.Pool == pool && (h.State == port.EndpointLive || h.leavingSince.After(after)) {
			out = append(out, h.Endpoint)
		}
	}
	return out
}

// allEvacuated reports whether a pool of a plain service has live endpoints and
// all of them are evacuated.
func (k *endpointTable) allEvacuated(pool string) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return len(k.live[pool]) == 0 && len(k.evacuated[pool]) > 0
}

// inDomains lists the endpoints whose failure domain matches.
func (k *endpointTable) inDomains(match func(domain string) bool) []port.Endpoint {
	return k.matching(func(e *port.Endpoint) bool { return match(e.FailureDomain) })
}

func (k *endpointTable) matching(match func(*port.Endpoint) bool) []port.Endpoint {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []port.Endpoint
	for _, h := range k.byID {
		if match(&h.Endpoint) {
			out = append(out, h.Endpoint)
		}
	}
	return out
}

// liveIn returns the live endpoints of a pool of a plain service that are not
// evacuated; the slice must not be modified.
func (k *endpointTable) liveIn(pool string) []port.Endpoint {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.live[pool]
}
