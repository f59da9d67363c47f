package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// known is what this daemon holds of the endpoints. A change costs what the
// endpoint's own pool costs at most, whatever the number of endpoints.
type known struct {
	mu   sync.RWMutex
	byID map[string]held
	// live lists the live endpoints of each pool of a plain service, but for those
	// that are evacuated. A list is replaced, never changed, as calls read it
	// without the lock.
	live map[string][]port.Endpoint
	// evacuated names the live endpoints of each pool that are evacuated.
	evacuated map[string]map[string]struct{}
}

// held is one endpoint.
type held struct {
	port.Endpoint
	// leavingSince is when this daemon first held it for leaving; zero while
	// it lives.
	leavingSince time.Time
}

// put takes over a new state and returns the one before.
func (k *known) put(e port.Endpoint, now time.Time) (before held, knew bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.byID == nil {
		k.byID = make(map[string]held)
		k.live = make(map[string][]port.Endpoint)
		k.evacuated = make(map[string]map[string]struct{})
	}
	before, knew = k.byID[e.ID]
	next := held{Endpoint: e}
	if e.State != port.EndpointLive {
		next.leavingSince = now
		if before.Incarnation == e.Incarnation && !before.leavingSince.IsZero() {
			next.leavingSince = before.leavingSince
		}
	}
	k.byID[e.ID] = next
	if knew && before.Pool != e.Pool {
		k.unlist(before.Pool, e.ID)
		delete(k.evacuated[before.Pool], e.ID)
	}
	k.listEvacuated(e)
	if e.Kind != port.KindRunner {
		k.list(e)
	}
	return before, knew
}

// list puts the endpoint into its pool's list, or takes it out.
func (k *known) list(e port.Endpoint) {
	k.unlist(e.Pool, e.ID)
	if e.State != port.EndpointLive || e.Evacuated {
		return
	}
	k.live[e.Pool] = append(slices.Clip(k.live[e.Pool]), e)
}

// listEvacuated puts the endpoint among those of its pool that are evacuated, or
// takes it out.
func (k *known) listEvacuated(e port.Endpoint) {
	if e.State != port.EndpointLive || !e.Evacuated {
		delete(k.evacuated[e.Pool], e.ID)
		return
	}
	if k.evacuated[e.Pool] == nil {
		k.evacuated[e.Pool] = make(map[string]struct{})
	}
	k.evacuated[e.Pool][e.ID] = struct{}{}
}

func (k *known) unlist(pool, id string) {
	list := k.live[pool]
	at := slices.IndexFunc(list, func(e port.Endpoint) bool { return e.ID == id })
	if at < 0 {
		return
	}
	k.live[pool] = slices.Concat(list[:at], list[at+1:])
}

// forget drops an endpoint.
func (k *known) forget(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	pool := k.byID[id].Pool
	k.unlist(pool, id)
	delete(k.evacuated[pool], id)
	delete(k.byID, id)
}

func (k *known) get(id string) (held, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	h, ok := k.byID[id]
	return h, ok
}

// evacuatedOf names the endpoints of a pool that are evacuated.
func (k *known) evacuatedOf(pool string) []string {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.Collect(maps.Keys(k.evacuated[pool]))
}

// allEvacuated reports whether a pool of a plain service has live endpoints, all of
// them evacuated.
func (k *known) allEvacuated(pool string) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return len(k.live[pool]) == 0 && len(k.evacuated[pool]) > 0
}

// in lists the endpoints of the failure domains that a change concerns.
func (k *known) in(concerns func(domain string) bool) []port.Endpoint {
	k.mu.RLock()
	defer k.mu.RUnlock()
	var out []port.Endpoint
	for _, h := range k.byID {
		if concerns(h.FailureDomain) {
			out = append(out, h.Endpoint)
		}
	}
	return out
}

// pool lists the live endpoints of a plain service; it must not be changed.
func (k *known) pool(name string) []port.Endpoint {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.live[name]
}
