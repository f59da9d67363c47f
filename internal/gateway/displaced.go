package gateway

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// displacedCheckInterval is the time between two checks of an endpoint whose address
// another one answers at.
const displacedCheckInterval = time.Second

// displacedEndpoints holds the starts of endpoints at whose address another endpoint has
// answered. Such an endpoint is treated as leaving until it answers there itself.
type displacedEndpoints struct {
	size atomic.Int64

	mu sync.Mutex
	m  map[string]displacement
}

type displacement struct {
	incarnation uint64
	nextCheck   time.Time
}

// add records an endpoint and reports whether that is new.
func (d *displacedEndpoints) add(now time.Time, e port.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, found := d.m[e.ID]; found && known.incarnation >= e.Incarnation {
		return false
	}
	if d.m == nil {
		d.m = make(map[string]displacement)
	}
	d.m[e.ID] = displacement{incarnation: e.Incarnation, nextCheck: now.Add(displacedCheckInterval)}
	d.size.Store(int64(len(d.m)))
	return true
}

// has reports whether that start of an endpoint, or a later one, is recorded.
func (d *displacedEndpoints) has(e port.Endpoint) bool {
	if d.size.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.m[e.ID]
	return found && e.Incarnation <= known.incarnation
}

// remove removes an endpoint, and reports whether it was recorded up to that start.
func (d *displacedEndpoints) remove(e port.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, found := d.m[e.ID]
	if !found || known.incarnation > e.Incarnation {
		return false
	}
	delete(d.m, e.ID)
	d.size.Store(int64(len(d.m)))
	return true
}

func (d *displacedEndpoints) forget(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.m, id)
	d.size.Store(int64(len(d.m)))
}

// ids returns the recorded endpoints.
func (d *displacedEndpoints) ids() []string {
	if d.size.Load() == 0 {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.m))
}

// due returns the endpoints that are to be checked now, each once an interval.
func (d *displacedEndpoints) due(now time.Time) (ids []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, known := range d.m {
		if !now.Before(known.nextCheck) {
			known.nextCheck = now.Add(displacedCheckInterval)
			d.m[id] = known
			ids = append(ids, id)
		}
	}
	return ids
}

// markDisplaced records that another endpoint answers at the address of one.
func (g *Gateway) markDisplaced(e port.Endpoint) {
	if g.displaced.add(g.Clock(), e) {
		g.recordNotice(e, verdictLeave, "another endpoint answers at its address")
		g.refreshEndpoints(e.ID)
	}
}

// isDeparted reports whether an endpoint has announced its leaving to this daemon, or
// another one answers at its address.
func (g *Gateway) isDeparted(e port.Endpoint) bool { return g.seenLeaving.Has(e) || g.displaced.has(e) }

// checkDisplaced has the endpoints checked whose address was taken a while ago. A leaving
// one announces that in the answer.
func (g *Gateway) checkDisplaced() {
	for _, id := range g.displaced.due(g.Clock()) {
		if e, found := g.endpointTable.get(id); found && !g.IsPaused(e.Endpoint) {
			go func() {
				if g.checkPath(e.Endpoint) == port.PresenceServing && g.displaced.remove(e.Endpoint) {
					g.recordNotice(e.Endpoint, verdictCheck, "it answers at its address again")
					g.reapply(id)
				}
			}()
		}
	}
}

// reapply applies an endpoint as the view has it.
func (g *Gateway) reapply(id string) {
	g.applyMu.Lock()
	defer g.applyMu.Unlock()
	for _, e := range g.View.Endpoints() {
		if e.ID == id {
			g.applyEndpoints([]port.Endpoint{e})
		}
	}
}
