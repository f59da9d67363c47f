package gateway

import (
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
	}
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
	k.unlist(k.byID[id].Pool, id)
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
	var out []string
	for id, h := range k.byID {
		if h.Pool == pool && h.Evacuated && h.State == port.EndpointLive {
			out = append(out, id)
		}
	}
	return out
}

// allEvacuated reports whether a pool has live endpoints, all of them evacuated.
func (k *known) allEvacuated(pool string) bool {
	k.mu.RLock()
	defer k.mu.RUnlock()
	some := false
	for _, h := range k.byID {
		if h.Pool != pool || h.State != port.EndpointLive {
			continue
		}
		if !h.Evacuated {
			return false
		}
		some = true
	}
	return some
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
