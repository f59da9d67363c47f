// Package reachability tracks which endpoints this daemon has a network path to. A
// path belongs to a pair of daemon and endpoint: that this daemon can't reach an
// endpoint says nothing about the endpoint itself. The package does no I/O; its caller
// reports observations and performs the checks that the package asks for.
package reachability

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Limits of the checks.
const (
	// sampleSize is the number of lost paths in a larger pool after which the pool
	// counts as lost, if no other path is known to work.
	sampleSize = 8
	// freshness is the age up to which an answer of another endpoint shows that this
	// daemon isn't cut off from the pool.
	freshness = 250 * time.Millisecond
	// firstCheckPause is the time between a failure and the first check of the path,
	// and between two checks; it doubles with each failed check up to maxCheckPause.
	// While the whole pool is lost, the pause is lostPoolCheckPause.
	firstCheckPause    = 250 * time.Millisecond
	maxCheckPause      = 4 * time.Second
	lostPoolCheckPause = 750 * time.Millisecond
	// aloneSpacing is the time within which paths that are cut together are all cut, and
	// restoreSpan that within which those of a whole pool come back.
	aloneSpacing = 50 * time.Millisecond
	restoreSpan  = 600 * time.Millisecond
	// maxFailureGap is the time between two failures from which on they aren't taken for those
	// of one loss. While the end of an endpoint is looked for, it is probed each 250 ms.
	maxFailureGap = time.Second
	// maxChecks bounds the checks that one call of DueChecks returns.
	maxChecks = 16
)

// path is what is known of the path to one endpoint.
type path struct {
	pool string
	// lostSince is the time of the first failure after which no new connection has
	// been answered; zero if there is none.
	lostSince time.Time
	// aloneSince is the time of the first failure after which another endpoint of the pool
	// had answered in the time of the loss, and failsAlone is set by one aloneSpacing later.
	aloneSince time.Time
	failsAlone bool
	// failedAt is the time of the last failure, and failingSince that of the first one that
	// counts for aloneSince.
	failedAt, failingSince time.Time
	// reachedAt is when the endpoint last answered on a new connection, and
	// connectedAt when a connection to it was last established.
	reachedAt, connectedAt time.Time
	// nextCheck is when the path is checked next, if it is scheduled. forceCheck is set if
	// an answer of another endpoint doesn't make the check needless.
	nextCheck  time.Time
	forceCheck bool
	checkPause time.Duration
}

// pool is what is known of the paths to one pool.
type pool struct {
	// suspectSince is the time of the first failure after which no endpoint of the
	// pool has answered on a new connection; zero if there is none.
	suspectSince time.Time
	// lostSince is when all paths to the pool were found lost; zero if they aren't.
	lostSince time.Time
	// restoredAt is when the last loss of all paths to the pool ended.
	restoredAt time.Time
	// answeredAt is when an endpoint last answered on any connection, and reachedAt
	// when one last answered on a new connection.
	answeredAt, reachedAt time.Time
}

// Change is a change of what this daemon reaches.
type Change struct {
	// Endpoint is empty if the change is that of a whole pool.
	Endpoint, Pool string
	Lost           bool
	// Evidence is the last observation that led to the change.
	Evidence port.PathEvidence
	// For is how long the path or the pool had been lost, for one that is restored.
	For time.Duration
}

// Tracker tracks the paths of one daemon. It is safe for concurrent use.
type Tracker struct {
	mu    sync.Mutex
	paths map[string]*path
	pools map[string]*pool
	// lostPaths and scheduled are the paths that are lost and those with a next check, by
	// the endpoint's id. Both are few, while paths holds all endpoints.
	lostPaths, scheduled map[string]*path
	// endpoints returns the ids of the endpoints of a pool that may get requests.
	endpoints func(pool string) []string
}

// NewTracker returns a tracker. endpoints returns the ids of the endpoints of a pool
// that may get requests; it must not call the tracker.
func NewTracker(endpoints func(pool string) []string) *Tracker {
	return &Tracker{
		paths: make(map[string]*path), pools: make(map[string]*pool), endpoints: endpoints,
		lostPaths: make(map[string]*path), scheduled: make(map[string]*path),
	}
}

// Observe records an observation of the path to an endpoint and returns the changes
// that follow from it.
func (t *Tracker) Observe(now time.Time, id, poolName string, evidence port.PathEvidence) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, o := t.path(id, poolName), t.pool(poolName)
	switch evidence {
	case port.PathConnected:
		p.connectedAt = now
		return nil
	case port.PathAnswered:
		o.answeredAt = now
		return nil
	case port.PathReached:
		p.reachedAt, o.answeredAt, o.reachedAt = now, now, now
		return t.restore(now, id, p, o)
	}
	return t.lose(now, id, p, o, evidence)
}

// restore records that an endpoint has answered on a new connection.
func (t *Tracker) restore(now time.Time, id string, p *path, o *pool) []Change {
	var changes []Change
	if !o.lostSince.IsZero() {
		o.restoredAt = now
		changes = append(changes, Change{Pool: p.pool, Evidence: port.PathReached, For: now.Sub(o.lostSince)})
		// The other paths were lost together with this one and are as likely back.
		t.expediteLost(now, p.pool)
	}
	if !p.lostSince.IsZero() {
		changes = append(changes, Change{Endpoint: id, Pool: p.pool, Evidence: port.PathReached, For: now.Sub(p.lostSince)})
	}
	p.lostSince, p.failedAt, p.aloneSince, p.failsAlone = time.Time{}, time.Time{}, time.Time{}, false
	delete(t.lostPaths, id)
	o.suspectSince, o.lostSince = time.Time{}, time.Time{}
	return changes
}

// expediteLost makes the lost paths to a pool due for a check at once.
func (t *Tracker) expediteLost(now time.Time, poolName string) {
	for id, p := range t.lostPaths {
		if p.pool == poolName {
			p.checkPause = firstCheckPause
			t.schedule(id, p, now)
		}
	}
}

// lose records that no connection to an endpoint could be used.
func (t *Tracker) lose(now time.Time, id string, p *path, o *pool, evidence port.PathEvidence) []Change {
	var changes []Change
	if p.lostSince.IsZero() {
		p.lostSince, p.checkPause = now, firstCheckPause
		t.lostPaths[id] = p
		t.schedule(id, p, now.Add(firstCheckPause))
		changes = append(changes, Change{Endpoint: id, Pool: p.pool, Lost: true, Evidence: evidence})
	}
	t.compareWithOthers(now, id, p, o)
	if o.suspectSince.IsZero() && now.Sub(o.reachedAt) > freshness {
		o.suspectSince = now
		t.expediteChecks(now, p.pool)
	}
	if o.lostSince.IsZero() && !o.suspectSince.IsZero() && t.allLost(p.pool) {
		o.lostSince = now
		t.checkOtherPools(now, p.pool)
		changes = append(changes, Change{Pool: p.pool, Lost: true, Evidence: evidence})
	}
	return changes
}

// compareWithOthers evaluates whether an endpoint goes on failing although others of its
// pool have answered since. After a loss of the whole pool its paths may come back one after
// the other.
func (t *Tracker) compareWithOthers(now time.Time, id string, p *path, o *pool) {
	if now.Sub(p.failedAt) > maxFailureGap {
		p.failingSince, p.aloneSince, p.failsAlone = now, time.Time{}, false
	}
	p.failedAt = now
	switch {
	case p.aloneSince.IsZero() && now.Sub(o.restoredAt) >= restoreSpan && t.otherReachedSince(p.pool, id, p.failingSince.Add(aloneSpacing)):
		p.aloneSince = now
	case !p.aloneSince.IsZero() && now.Sub(p.aloneSince) >= aloneSpacing:
		p.failsAlone = true
	}
}

// FailsAlone reports whether an endpoint has failed, and again while or after others of
// its pool answered on new connections, so that the cause isn't a path that they share.
func (t *Tracker) FailsAlone(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[id]
	return p != nil && p.failsAlone
}

// expediteChecks makes the paths of a suspect pool due for a check at once.
func (t *Tracker) expediteChecks(now time.Time, poolName string) {
	for _, id := range t.endpoints(poolName) {
		if p := t.path(id, poolName); p.lostSince.IsZero() {
			t.schedule(id, p, now)
		}
	}
}

// checkOtherPools makes one path to each other pool due for a check: what has cut this
// daemon off from one pool has most likely cut it off from the others.
func (t *Tracker) checkOtherPools(now time.Time, lostPool string) {
	for name, o := range t.pools {
		if name == lostPool || !o.lostSince.IsZero() {
			continue
		}
		for _, id := range t.endpoints(name) {
			if p := t.path(id, name); p.lostSince.IsZero() {
				p.forceCheck = true
				t.schedule(id, p, now)
				break
			}
		}
	}
}

// allLost reports whether the paths to all endpoints of a pool, or to a sample of a
// larger one, are lost.
func (t *Tracker) allLost(poolName string) bool {
	ids := t.endpoints(poolName)
	lost := 0
	for _, id := range ids {
		if p := t.paths[id]; p != nil && !p.lostSince.IsZero() {
			lost++
		}
	}
	return lost > 0 && lost >= min(len(ids), sampleSize)
}

// Lost reports whether this daemon has no path to any endpoint of a pool.
func (t *Tracker) Lost(poolName string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost(poolName)
}

// LostSince returns since when this daemon has had no path to any endpoint of a pool; lost
// is false if it has one.
func (t *Tracker) LostSince(poolName string) (since time.Time, lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost(poolName) {
		return time.Time{}, false
	}
	o := t.pools[poolName]
	if o.suspectSince.IsZero() {
		return o.lostSince, true
	}
	return o.suspectSince, true
}

// lost reports whether the paths to a pool were found lost and no endpoint has joined
// it since.
func (t *Tracker) lost(poolName string) bool {
	o := t.pools[poolName]
	return o != nil && !o.lostSince.IsZero() && t.allLost(poolName)
}

// RestoredAt returns when the last loss of all paths to a pool ended; zero if there was none.
// Paths that were lost together may come back one after the other.
func (t *Tracker) RestoredAt(poolName string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.pools[poolName]; o != nil {
		return o.restoredAt
	}
	return time.Time{}
}

// LostPools returns the names of the pools to which this daemon has no path, in
// ascending order.
func (t *Tracker) LostPools() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for _, name := range slices.Sorted(maps.Keys(t.pools)) {
		if t.lost(name) {
			out = append(out, name)
		}
	}
	return out
}

// IsLost reports whether the path to an endpoint is lost.
func (t *Tracker) IsLost(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[id]
	return p != nil && !p.lostSince.IsZero()
}

// LostIn returns the ids of the endpoints of a pool to which the path is lost.
func (t *Tracker) LostIn(poolName string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, p := range t.lostPaths {
		if p.pool == poolName {
			out = append(out, id)
		}
	}
	return out
}

// LostPaths returns the number of endpoints to which the path is lost.
func (t *Tracker) LostPaths() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.lostPaths)
}

// IsSuspect reports whether the path to a pool is in doubt: a failure was observed,
// and no endpoint of the pool has answered on a new connection since. Failures of its
// endpoints are then no evidence against them. For a pool of one endpoint the answers of
// other pools count.
func (t *Tracker) IsSuspect(poolName string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.pools[poolName]
	if o == nil || o.suspectSince.IsZero() {
		return false
	}
	return len(t.endpoints(poolName)) > 1 || !t.othersReachedSince(poolName, o.suspectSince)
}

func (t *Tracker) othersReachedSince(poolName string, after time.Time) bool {
	for name, o := range t.pools {
		if name != poolName && o.reachedAt.After(after) {
			return true
		}
	}
	return false
}

// OtherReachedSince reports whether an endpoint of a pool other than the given one has
// answered on a new connection after a time.
func (t *Tracker) OtherReachedSince(poolName, except string, after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.otherReachedSince(poolName, except, after)
}

func (t *Tracker) otherReachedSince(poolName, except string, after time.Time) bool {
	if o := t.pools[poolName]; o == nil || !o.reachedAt.After(after) {
		return false
	}
	for id, p := range t.paths {
		if p.pool == poolName && id != except && p.reachedAt.After(after) {
			return true
		}
	}
	return false
}

// AnsweredSince reports whether an endpoint of a pool has answered on any connection
// after a time.
func (t *Tracker) AnsweredSince(poolName string, after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.pools[poolName]
	return o != nil && o.answeredAt.After(after)
}

// ConnectedSince reports whether a connection to an endpoint was established after a
// time.
func (t *Tracker) ConnectedSince(id string, after time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[id]
	return p != nil && p.connectedAt.After(after)
}

// RequestCheck makes the path to an endpoint due for a check. Unless the check is
// forced, an endpoint of its pool that has just answered makes it needless.
func (t *Tracker) RequestCheck(now time.Time, id, poolName string, force bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, o := t.path(id, poolName), t.pool(poolName)
	if p.lostSince.IsZero() && (force || now.Sub(o.reachedAt) > freshness) {
		p.forceCheck = force
		t.schedule(id, p, now)
	}
}

// DueChecks returns the ids of the endpoints whose paths should be checked now, of
// those that exist. Each is returned once per check. The checks of lost paths to the
// others wait until these exist or are forgotten.
func (t *Tracker) DueChecks(now time.Time, exists func(id string) bool) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, p := range t.scheduled {
		if len(out) == maxChecks {
			break
		}
		if now.Before(p.nextCheck) {
			continue
		}
		o := t.pool(p.pool)
		needless := p.lostSince.IsZero() && !p.forceCheck && now.Sub(o.reachedAt) <= freshness
		if needless {
			delete(t.scheduled, id)
			continue
		}
		if !exists(id) {
			t.postpone(now, id, p)
			continue
		}
		t.scheduleNext(now, id, p, o)
		out = append(out, id)
	}
	return out
}

// schedule sets the time of the next check of a path.
func (t *Tracker) schedule(id string, p *path, at time.Time) {
	p.nextCheck = at
	t.scheduled[id] = p
}

// scheduleNext schedules the check after one that begins now.
func (t *Tracker) scheduleNext(now time.Time, id string, p *path, o *pool) {
	p.forceCheck = false
	switch {
	case p.lostSince.IsZero():
		delete(t.scheduled, id)
	case !o.lostSince.IsZero():
		t.schedule(id, p, now.Add(lostPoolCheckPause))
	default:
		t.schedule(id, p, now.Add(p.checkPause))
		p.checkPause = min(2*p.checkPause, maxCheckPause)
	}
}

// postpone schedules the check of a path whose endpoint may get no requests at the
// moment. A lost path keeps its schedule, as only a check can find it again.
func (t *Tracker) postpone(now time.Time, id string, p *path) {
	if p.lostSince.IsZero() {
		delete(t.scheduled, id)
		return
	}
	p.checkPause = firstCheckPause
	t.schedule(id, p, now.Add(firstCheckPause))
}

// Forget drops an endpoint that was removed or has restarted.
func (t *Tracker) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.paths, id)
	delete(t.lostPaths, id)
	delete(t.scheduled, id)
}

func (t *Tracker) path(id, poolName string) *path {
	p := t.paths[id]
	if p == nil {
		p = &path{}
		t.paths[id] = p
	}
	p.pool = poolName
	return p
}

func (t *Tracker) pool(name string) *pool {
	o := t.pools[name]
	if o == nil {
		o = &pool{}
		t.pools[name] = o
	}
	return o
}
