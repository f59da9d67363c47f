package placement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/core/lease"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// layoutName is the object that stores how endpoints map to shards. Keepers with
// different numbers of shards would put one endpoint under two leases.
const layoutName = "layout"

const (
	layoutFormat = 1
	maxShards    = 1024
)

type storedLayout struct {
	FormatVersion int `json:"format_version"`
	Shards        int `json:"shards"`
}

// leases manages the leases of all shards for this keeper.
type leases struct {
	opts      *Options
	heldGauge gometrics.Gauge

	mu     sync.Mutex
	shards []*lease.Lease
	// openOrders counts the orders under way in each shard.
	openOrders []int
	// preferred holds the preferred keeper of each shard.
	preferred []preference
}

// preference is a shard's preferred keeper and the time since which it is
// preferred.
type preference struct {
	keeper string
	since  time.Time
}

func newLeases(o *Options) *leases {
	return &leases{opts: o, heldGauge: gometrics.GetOrRegisterGauge("placement_leases_held_count", o.Metrics)}
}

func shardName(i int) string { return fmt.Sprintf("placement-%04d", i) }

// pass reads all leases with one call and writes those that are due.
func (l *leases) pass(ctx context.Context) {
	if err := l.loadLayout(ctx); err != nil {
		l.logFailure(layoutName, err)
		return
	}
	if err := l.observeAll(ctx); err != nil {
		// A failed read must not cause the loss of a lease, so renewals go on.
		l.logFailure("list", err)
	}
	l.writeAll(ctx, l.wantsLease)
	held := 0
	for i := range l.shards {
		if _, holds := l.fence(i); holds {
			held++
		}
	}
	l.heldGauge.Update(int64(held))
}

// writeAll writes the leases that are due concurrently, so that one slow reply
// does not cause the loss of other leases.
func (l *leases) writeAll(ctx context.Context, want func(shard int) bool) {
	var group sync.WaitGroup
	for i := range l.shards {
		group.Go(func() { l.writeLease(ctx, i, want(i)) })
	}
	group.Wait()
}

// release releases all held leases. It must be called when no order is under way.
func (l *leases) release(ctx context.Context) {
	l.writeAll(ctx, func(int) bool { return false })
}

func (l *leases) loadLayout(ctx context.Context) error {
	if l.shards != nil {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, 2*l.opts.CallTimeout)
	defer cancel()
	object, err := l.opts.Platform.Get(call, port.ObjectLease, layoutName)
	if errors.Is(err, port.ErrNotFound) {
		object, err = l.createLayout(call)
	}
	if err != nil {
		return err
	}
	var stored storedLayout
	if err := json.Unmarshal(object.Value, &stored); err != nil {
		return merry.Prepend(lease.ErrCorrupt, err.Error())
	}
	if stored.FormatVersion > layoutFormat || stored.Shards < 1 || stored.Shards > maxShards {
		return merry.Appendf(lease.ErrNewerFormat, "shard layout has a newer format or an invalid number of shards: %d", stored.Shards)
	}
	shards := make([]*lease.Lease, stored.Shards)
	for i := range shards {
		shards[i] = lease.New(l.opts.Terms, l.opts.KeeperID, l.opts.Session)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards = shards
	l.openOrders = make([]int, len(shards))
	l.preferred = make([]preference, len(shards))
	return nil
}

func (l *leases) createLayout(ctx context.Context) (port.Object, error) {
	value, err := json.Marshal(storedLayout{FormatVersion: layoutFormat, Shards: l.opts.Shards})
	if err != nil {
		return port.Object{}, merry.Prepend(err, "placement: encode shard layout")
	}
	object, err := l.opts.Platform.Put(ctx, port.ObjectLease, layoutName, 0, value)
	if err == nil {
		return object, nil
	}
	// The layout was written by another keeper, or by this one with the reply lost.
	return l.opts.Platform.Get(ctx, port.ObjectLease, layoutName)
}

func (l *leases) observeAll(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	objects, _, err := l.opts.Platform.List(call, port.ObjectLease)
	if err != nil {
		return err
	}
	// The time is taken after the read, so that it is not before the write of any
	// object that was read.
	now := l.opts.Now()
	byName := map[string]*port.Object{}
	for i := range objects {
		byName[objects[i].Name] = &objects[i]
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.shards {
		object, found := byName[shardName(i)]
		if !found {
			l.shards[i].Observe(now, 0, nil)
			continue
		}
		rec, err := lease.Decode(object.Value)
		if err != nil {
			l.logFailure(shardName(i), err)
			continue
		}
		l.shards[i].Observe(now, object.Version, rec)
	}
	return nil
}

// wantsLease reports whether this keeper should take or keep a shard's lease. The
// preferred keeper takes it at once, any other keeper after TakeoverGrace. Another
// holder releases it once the preferred keeper has been live for GiveBackAfter;
// otherwise the first keeper to start would hold all shards permanently and poll
// all runners.
func (l *leases) wantsLease(shard int) bool {
	keeper := l.preferredKeeper(shard)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	p := &l.preferred[shard]
	if p.keeper != keeper {
		*p = preference{keeper, now}
	}
	switch {
	case keeper == l.opts.KeeperID:
		return true
	case l.shards[shard].Holds(now):
		return now.Sub(p.since) < l.opts.GiveBackAfter
	default:
		return l.shards[shard].ExpiredFor(now) >= l.opts.TakeoverGrace
	}
}

// preferredKeeper selects the preferred live keeper of a shard, with the same
// result at all keepers.
func (l *leases) preferredKeeper(shard int) string {
	var keepers []string
	for _, m := range l.opts.View.Members() {
		if m.Role == port.RoleKeeper && m.State == port.MemberLive {
			keepers = append(keepers, m.ID)
		}
	}
	if !slices.Contains(keepers, l.opts.KeeperID) {
		keepers = append(keepers, l.opts.KeeperID)
	}
	slices.Sort(keepers)
	return rendezvous.New(keepers, xxhash.Sum64String).Lookup(strconv.Itoa(shard))
}

// writeLease performs the write that the lease state requires. After a lost reply
// it reads the lease again to determine the outcome.
func (l *leases) writeLease(ctx context.Context, shard int, want bool) {
	l.mu.Lock()
	sent := l.opts.Now()
	// The lease is not released while an order is under way, because the next
	// holder would not wait for that order.
	w := l.shards[shard].Next(sent, want || l.openOrders[shard] > 0)
	l.mu.Unlock()
	if w.Action == lease.ActionNone {
		return
	}
	value, err := w.Record.Encode()
	if err != nil {
		l.logFailure(shardName(shard), err)
		return
	}
	call, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	object, err := l.opts.Platform.Put(call, port.ObjectLease, shardName(shard), w.Expect, value)
	switch {
	case err == nil:
		l.mu.Lock()
		l.shards[shard].RecordWrite(sent, l.opts.Now(), &w, object.Version)
		l.mu.Unlock()
	case errors.Is(err, port.ErrConflict):
		l.observeObject(shard, &object)
	case errors.Is(err, port.ErrOutcomeUnknown):
		l.resolveUnknownWrite(ctx, shard, sent, &w)
	default:
		l.logFailure(shardName(shard), err)
	}
}

func (l *leases) resolveUnknownWrite(ctx context.Context, shard int, sent time.Time, w *lease.Write) {
	call, cancel := context.WithTimeout(ctx, l.opts.CallTimeout)
	defer cancel()
	object, err := l.opts.Platform.Get(call, port.ObjectLease, shardName(shard))
	if err != nil {
		l.logFailure(shardName(shard), err)
		return
	}
	rec, err := lease.Decode(object.Value)
	if err != nil {
		l.logFailure(shardName(shard), err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	if l.shards[shard].IsResultOf(w, rec) {
		l.shards[shard].RecordWrite(sent, now, w, object.Version)
		return
	}
	l.shards[shard].Observe(now, object.Version, rec)
}

func (l *leases) observeObject(shard int, object *port.Object) {
	if object.Version == 0 {
		return
	}
	rec, err := lease.Decode(object.Value)
	if err != nil {
		l.logFailure(shardName(shard), err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shards[shard].Observe(l.opts.Now(), object.Version, rec)
}

func (l *leases) logFailure(name string, err error) {
	l.opts.Logger.Warn().Str("event", "lease_failed").Str("object", name).Err(err).Msg("")
}

// shardOf returns the shard of an endpoint, and false while the layout is not known.
func (l *leases) shardOf(endpoint string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shards) == 0 {
		return 0, false
	}
	return int(xxhash.Sum64String(endpoint) % uint64(len(l.shards))), true
}

// fence returns the fencing number of a shard and whether this keeper holds its
// lease.
func (l *leases) fence(shard int) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[shard]
	return s.Fence(), s.Holds(l.opts.Now())
}

// mayOrder reports whether the lease allows an order now. It is called right
// before each order.
func (l *leases) mayOrder(shard int, e *port.Endpoint) (uint64, lease.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[shard]
	return s.Fence(), s.OrderRefusal(l.opts.Now(), e.FencesOrders)
}

func (l *leases) holdsAny() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.opts.Now()
	return slices.ContainsFunc(l.shards, func(s *lease.Lease) bool { return s.Holds(now) })
}

// beginOrder does the same as mayOrder and atomically counts the order as under
// way, so that the lease cannot be released in between.
func (l *leases) beginOrder(shard int, e *port.Endpoint) (uint64, lease.Refusal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shards[shard]
	refusal := s.OrderRefusal(l.opts.Now(), e.FencesOrders)
	if refusal == lease.RefusalNone {
		l.openOrders[shard]++
	}
	return s.Fence(), refusal
}

func (l *leases) endOrder(shard int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openOrders[shard]--
}

// owns reports whether this keeper holds the endpoint's lease.
func (l *leases) owns(endpoint string) bool {
	shard, known := l.shardOf(endpoint)
	if !known {
		return false
	}
	_, holds := l.fence(shard)
	return holds
}
