package membership

import (
	"sync"
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Departures records the endpoints whose departure this daemon observed itself,
// by incarnation. Such an endpoint stays departed for its incarnation, because
// the list of endpoints may be out of date and still contain it. It is safe for
// concurrent use.
type Departures struct {
	mu           sync.Mutex
	incarnations map[string]uint64
	size         atomic.Int64
}

// Add records a departure and reports whether it is new.
func (d *Departures) Add(e port.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if recorded, known := d.incarnations[e.ID]; known && recorded >= e.Incarnation {
		return false
	}
	if d.incarnations == nil {
		d.incarnations = make(map[string]uint64)
	}
	d.incarnations[e.ID] = e.Incarnation
	d.size.Store(int64(len(d.incarnations)))
	return true
}

// Retain removes the endpoints that are not in the given set.
func (d *Departures) Retain(known map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.incarnations {
		if !known[id] {
			delete(d.incarnations, id)
		}
	}
	d.size.Store(int64(len(d.incarnations)))
}

// Len returns the number of recorded endpoints.
func (d *Departures) Len() int { return int(d.size.Load()) }

// Forget removes an endpoint.
func (d *Departures) Forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.incarnations, id)
	d.size.Store(int64(len(d.incarnations)))
}

// Has reports whether the departure of the endpoint was recorded, for its
// incarnation or a later one.
func (d *Departures) Has(e port.Endpoint) bool {
	if d.size.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	recorded, known := d.incarnations[e.ID]
	return known && e.Incarnation <= recorded
}
