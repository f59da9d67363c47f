package membership

import (
	"sync"
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Departures holds the endpoints that a daemon itself saw leaving. It is
// sticky for the incarnation: the list of endpoints lags and would bring them
// back. It is safe for concurrent use.
type Departures struct {
	mu sync.Mutex
	m  map[string]uint64
	n  atomic.Int64
}

// Add reports whether the departure is new.
func (d *Departures) Add(e port.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, known := d.m[e.ID]; known && at >= e.Incarnation {
		return false
	}
	if d.m == nil {
		d.m = make(map[string]uint64)
	}
	d.m[e.ID] = e.Incarnation
	d.n.Store(int64(len(d.m)))
	return true
}

// Keep forgets the endpoints that are not among those known.
func (d *Departures) Keep(known map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.m {
		if !known[id] {
			delete(d.m, id)
		}
	}
	d.n.Store(int64(len(d.m)))
}

// Len counts the endpoints that are remembered.
func (d *Departures) Len() int { return int(d.n.Load()) }

// Forget drops an endpoint.
func (d *Departures) Forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.m, id)
	d.n.Store(int64(len(d.m)))
}

// Has reports whether the endpoint, or an earlier incarnation of it, was seen
// leaving.
func (d *Departures) Has(e port.Endpoint) bool {
	if d.n.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.m[e.ID]
	return known && e.Incarnation <= at
}
