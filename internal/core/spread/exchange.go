package spread

import (
	"maps"
	"slices"
	"sync"
)

// Step is one message about one table.
type Step[T any] struct {
	Entries []T
	// Digest is the sender's sum; HasDigest tells it from none.
	Digest    uint64
	HasDigest bool
	// BucketDigests, when set, ask for the buckets that differ.
	BucketDigests []uint64
	// Repaired names the buckets of which Entries hold all that the sender
	// has; the receiver sends back what it has newer.
	Repaired []uint32
}

// Empty reports whether the step says nothing.
func (s *Step[T]) Empty() bool {
	return len(s.Entries) == 0 && !s.HasDigest && len(s.BucketDigests) == 0 && len(s.Repaired) == 0
}

// Ticks of mismatch after which the initiator asks for a repair. A mismatch
// that stands still is a lost change; one that moves is most often a change
// under way, but is asked about too in the end.
const (
	stillTicks  = 2
	movingTicks = 5
)

// Exchange is one end of a link, for one table. Changes travel as deltas;
// digests find what the deltas missed, whatever the reason.
type Exchange[T any] struct {
	table *Table[T]
	// initiator is the end that asks for repairs.
	initiator bool

	mu    sync.Mutex
	dirty map[string]struct{}
	// sentDigest is the last digest sent.
	sentDigest uint64
	sent       bool
	peerDigest uint64
	peerKnown  bool
	// still and moving count ticks with differing digests.
	still, moving int
	lastOwn       uint64
	lastPeer      uint64
	askBuckets    bool
	repair        []uint32
	// digestDue holds digests back to ticks and repairs, so that a change
	// isn't answered by a message of its own.
	digestDue bool
}

// NewExchange returns an end of a new link. The initiator's first step
// carries bucket digests, so that a reconnect costs only what changed.
func NewExchange[T any](t *Table[T], initiator bool) *Exchange[T] {
	return &Exchange[T]{table: t, initiator: initiator, dirty: map[string]struct{}{}, askBuckets: initiator}
}

// Dirty queues an entry for the peer. Only the key is kept, so a slow peer
// costs bounded memory and gets the newest state once it reads again.
func (x *Exchange[T]) Dirty(key string) {
	x.mu.Lock()
	x.dirty[key] = struct{}{}
	x.mu.Unlock()
}

// Tick compares digests; call it once per heartbeat.
func (x *Exchange[T]) Tick() {
	own := x.table.Digest()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.digestDue = true
	// A digest that was never heard counts as a different one: where the first
	// message of either end is lost, neither would say its digest again.
	if !x.initiator || x.peerKnown && own == x.peerDigest {
		x.still, x.moving = 0, 0
		return
	}
	x.moving++
	x.still++
	if own != x.lastOwn || x.peerDigest != x.lastPeer {
		x.still = 1
	}
	x.lastOwn, x.lastPeer = own, x.peerDigest
	if x.still >= stillTicks || x.moving >= movingTicks {
		x.askBuckets = true
		x.still, x.moving = 0, 0
	}
}

// Ask requests a compare of buckets with the next step.
func (x *Exchange[T]) Ask() {
	x.mu.Lock()
	x.askBuckets = true
	x.mu.Unlock()
}

// stepEntries bounds the entries of one step, but for the last bucket of it.
// Hundreds of daemons that start together ask one that they all know for all
// it has: whole tables in flight on each link are hundreds of megabytes there,
// and the host kills it. A step of endpoints is about 100 KB at most.
const stepEntries = 512

// More reports whether there is more to send than the last step held.
func (x *Exchange[T]) More() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.repair) > 0 || len(x.dirty) > 0
}

func (x *Exchange[T]) addRepairs(s *Step[T]) {
	for len(x.repair) > 0 && len(s.Entries) < stepEntries {
		bucket := x.repair[0]
		x.repair = x.repair[1:]
		for _, v := range x.table.InBucket(int(bucket)) {
			s.Entries = append(s.Entries, v)
			delete(x.dirty, x.table.order.Key(v))
		}
		s.Repaired = append(s.Repaired, bucket)
	}
}

func (x *Exchange[T]) addChanges(s *Step[T]) {
	for _, key := range slices.Sorted(maps.Keys(x.dirty)) {
		if len(s.Entries) >= stepEntries {
			return
		}
		delete(x.dirty, key)
		if v, ok := x.table.Get(key); ok {
			s.Entries = append(s.Entries, v)
		}
	}
}

// Next returns what to send now, see also More.
func (x *Exchange[T]) Next() Step[T] {
	x.mu.Lock()
	defer x.mu.Unlock()
	var s Step[T]
	x.addRepairs(&s)
	x.addChanges(&s)
	due := x.digestDue || !x.sent || len(s.Repaired) > 0 || x.askBuckets
	x.digestDue = false
	if x.askBuckets {
		digests := x.table.Digests()
		s.BucketDigests = digests[:]
		x.askBuckets = false
	}
	if own := x.table.Digest(); due && (!x.sent || own != x.sentDigest) {
		s.Digest, s.HasDigest = own, true
		x.sent, x.sentDigest = true, own
	}
	return s
}

// Receive merges a step and returns the entries that changed the table, for
// the other links.
func (x *Exchange[T]) Receive(s *Step[T]) (changed []T) {
	got := make(map[string]uint64, len(s.Entries))
	for _, v := range s.Entries {
		key := x.table.order.Key(v)
		got[key] = x.table.order.Hash(v)
		if x.table.Merge(v) {
			changed = append(changed, v)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for key, hash := range got {
		x.settle(key, hash)
	}
	for _, bucket := range s.Repaired {
		x.sendBack(bucket, got)
	}
	if len(s.BucketDigests) == Buckets {
		x.compareBuckets(s.BucketDigests)
		// Who asks may hold an old digest of ours; it is told the present one
		// even when no bucket differs, or it would ask for ever.
		x.sent = false
	}
	if s.HasDigest {
		x.peerDigest, x.peerKnown = s.Digest, true
	}
	return changed
}

// settle drops a queued entry that the peer has shown to hold, and queues
// ours where the peer's is older.
func (x *Exchange[T]) settle(key string, peerHash uint64) {
	own, held := x.table.Get(key)
	if !held {
		return
	}
	if x.table.order.Hash(own) == peerHash {
		delete(x.dirty, key)
		return
	}
	x.dirty[key] = struct{}{}
}

// sendBack queues what a repaired bucket lacked at the peer. This is how a
// restarted keeper learns from routers while the platform is down.
func (x *Exchange[T]) sendBack(bucket uint32, got map[string]uint64) {
	if bucket >= Buckets {
		return
	}
	for _, v := range x.table.InBucket(int(bucket)) {
		key := x.table.order.Key(v)
		if hash, sent := got[key]; !sent || hash != x.table.order.Hash(v) {
			x.dirty[key] = struct{}{}
		}
	}
}

func (x *Exchange[T]) compareBuckets(peer []uint64) {
	for bucket, own := range x.table.Digests() {
		if own != peer[bucket] && !slices.Contains(x.repair, uint32(bucket)) {
			x.repair = append(x.repair, uint32(bucket))
		}
	}
}

// Agrees reports whether the peer's last digest equals ours.
func (x *Exchange[T]) Agrees() bool {
	own := x.table.Digest()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peerKnown && own == x.peerDigest
}
