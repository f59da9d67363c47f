// Package coldstart knows which endpoints are cold: they have just started, or
// have lost what they had warmed, and take few requests for a while. It knows no
// sockets and no other daemons.
package coldstart

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Longest bounds how long an endpoint is held for cold by one word of it. One that
// stays cold for longer says so again.
const Longest = time.Minute

// Tracker follows the endpoints that are cold. It is safe for concurrent use.
type Tracker struct {
	// n is the number of endpoints that are followed.
	n atomic.Int64

	mu sync.Mutex
	m  map[string]*tracked
}

// tracked is one endpoint.
type tracked struct {
	incarnation uint64
	// revision and said are those of the last entry that was taken.
	revision port.StoreRevision
	said     time.Duration
	// until is the end of its coldness by all that it said.
	until time.Time
	// warmed: that end has come and was told. What the endpoint said stays known,
	// as the same entry is heard of again.
	warmed bool
}

// NewTracker returns a tracker of no endpoints.
func NewTracker() *Tracker { return &Tracker{m: make(map[string]*tracked)} }

// Listed takes what the registry's entry says of an endpoint. An entry counts
// from when it was first heard of: its age isn't known, and an endpoint that is
// held for cold too long is only spared.
func (t *Tracker) Listed(now time.Time, e *port.Endpoint) {
	if e.ColdFor <= 0 && t.n.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.m[e.ID]
	switch {
	case known != nil && (e.Incarnation < known.incarnation || known.hasTaken(e)):
	case e.ColdFor <= 0:
		t.drop(e.ID)
	default:
		next := t.entry(e)
		next.revision, next.said = e.Revision, e.ColdFor
		next.until, next.warmed = now.Add(min(Longest, e.ColdFor)), false
	}
}

// hasTaken reports whether an entry was taken before.
func (k *tracked) hasTaken(e *port.Endpoint) bool {
	return k.incarnation == e.Incarnation && k.revision == e.Revision && k.said == e.ColdFor
}

// Answered takes what an endpoint says of itself beside an answer, nil for
// nothing. It reports whether the endpoint is held for cold from now on and was
// not before, or the other way round.
func (t *Tracker) Answered(now time.Time, e *port.Endpoint, left *time.Duration) (changed bool) {
	if left == nil || *left <= 0 && t.n.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.m[e.ID]
	if known != nil && e.Incarnation < known.incarnation {
		return false
	}
	was := known != nil && known.incarnation == e.Incarnation && now.Before(known.until)
	if *left <= 0 {
		if known != nil {
			known.until = now
		}
		return was
	}
	next := t.entry(e)
	next.until, next.warmed = now.Add(min(Longest, *left)), false
	return !was
}

// entry returns what is held of an incarnation; t.mu is held.
func (t *Tracker) entry(e *port.Endpoint) *tracked {
	known := t.m[e.ID]
	if known == nil || known.incarnation != e.Incarnation {
		known = &tracked{incarnation: e.Incarnation, revision: e.Revision, said: e.ColdFor}
		t.m[e.ID] = known
		t.n.Store(int64(len(t.m)))
	}
	return known
}

// drop forgets an endpoint; t.mu is held.
func (t *Tracker) drop(id string) {
	delete(t.m, id)
	t.n.Store(int64(len(t.m)))
}

// IsCold reports whether an endpoint is held for cold.
func (t *Tracker) IsCold(now time.Time, e *port.Endpoint) bool {
	if t.n.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.m[e.ID]
	return known != nil && known.incarnation == e.Incarnation && now.Before(known.until)
}

// Warmed names the endpoints whose coldness has ended since it was last called.
func (t *Tracker) Warmed(now time.Time) []string {
	if t.n.Load() == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, known := range t.m {
		if !known.warmed && !now.Before(known.until) {
			known.warmed = true
			out = append(out, id)
		}
	}
	return out
}

// Forget drops an endpoint that is gone.
func (t *Tracker) Forget(id string) {
	if t.n.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(id)
}
