package spread

import (
	"maps"
	"slices"
	"sync"
)

// Step is the part of a message that concerns one table.
type Step[T any] struct {
	Entries []T
	// Digest is the digest of the sender's table, valid if HasDigest is set.
	Digest    uint64
	HasDigest bool
	// BucketDigests, if not empty, are the digests of the sender's buckets and
	// request the entries of the buckets that differ.
	BucketDigests []uint64
	// Repaired lists the buckets whose entries are all in Entries. The receiver
	// sends back its entries of these buckets that are newer or missing there.
	Repaired []uint32
}

// Empty reports whether the step has no content.
func (s *Step[T]) Empty() bool {
	return len(s.Entries) == 0 && !s.HasDigest && len(s.BucketDigests) == 0 && len(s.Repaired) == 0
}

// Numbers of ticks with differing digests after which the initiator requests a
// repair. If both digests stay the same, a change was lost. If they keep changing,
// changes are most often still in transit, so the repair is requested later.
const (
	maxUnchangedTicks = 2
	maxDifferingTicks = 5
)

// Exchange synchronises one table over one end of a link. Changed entries are
// sent as deltas; comparing digests detects lost deltas.
type Exchange[T any] struct {
	table *Table[T]
	// initiator is set at the end that requests repairs.
	initiator bool

	mu     sync.Mutex
	queued map[string]struct{}
	// sentDigest is the last digest sent, valid if digestSent is set.
	sentDigest      uint64
	digestSent      bool
	peerDigest      uint64
	peerDigestKnown bool
	// unchangedTicks counts consecutive ticks with differing digests that didn't
	// change, differingTicks all consecutive ticks with differing digests.
	unchangedTicks, differingTicks int
	lastOwnDigest                  uint64
	lastPeerDigest                 uint64
	requestBuckets                 bool
	bucketsToSend                  []uint32
	// digestDue is set by Tick. Apart from the first one, digests are sent only
	// after ticks and with repairs and their requests, so that not every received
	// change causes a message in return.
	digestDue bool
}

// NewExchange returns one end of a new link. The initiator's first step contains
// bucket digests, so that after a reconnect only the differing buckets are sent.
func NewExchange[T any](t *Table[T], initiator bool) *Exchange[T] {
	return &Exchange[T]{table: t, initiator: initiator, queued: map[string]struct{}{}, requestBuckets: initiator}
}

// Queue queues an entry to be sent to the peer. Only the key is queued, so a slow
// peer uses bounded memory and receives the newest state once it reads again.
func (x *Exchange[T]) Queue(key string) {
	x.mu.Lock()
	x.queued[key] = struct{}{}
	x.mu.Unlock()
}

// Tick compares digests; call it once per heartbeat.
func (x *Exchange[T]) Tick() {
	own := x.table.Digest()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.digestDue = true
	// As long as no digest was received, the digests count as different: if the
	// first messages of both ends are lost, neither end sends its digest again.
	if !x.initiator || x.peerDigestKnown && own == x.peerDigest {
		x.unchangedTicks, x.differingTicks = 0, 0
		return
	}
	x.differingTicks++
	x.unchangedTicks++
	if own != x.lastOwnDigest || x.peerDigest != x.lastPeerDigest {
		x.unchangedTicks = 1
	}
	x.lastOwnDigest, x.lastPeerDigest = own, x.peerDigest
	if x.unchangedTicks >= maxUnchangedTicks || x.differingTicks >= maxDifferingTicks {
		x.requestBuckets = true
		x.unchangedTicks, x.differingTicks = 0, 0
	}
}

// RequestRepair requests a comparison of buckets with the next step.
func (x *Exchange[T]) RequestRepair() {
	x.mu.Lock()
	x.requestBuckets = true
	x.mu.Unlock()
}

// maxStepEntries is the number of entries after which a step takes no further
// bucket or change; its last bucket may exceed it. When hundreds of daemons start
// together, all request the tables of the same daemon. Without a bound, the tables
// in flight on its links would take hundreds of megabytes, and the host would kill
// it. A step of endpoints is about 100 KB at most.
const maxStepEntries = 512

// HasMore reports whether repairs or changes remain to be sent.
func (x *Exchange[T]) HasMore() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.bucketsToSend) > 0 || len(x.queued) > 0
}

func (x *Exchange[T]) addRepairs(s *Step[T]) {
	for len(x.bucketsToSend) > 0 && len(s.Entries) < maxStepEntries {
		bucket := x.bucketsToSend[0]
		x.bucketsToSend = x.bucketsToSend[1:]
		for _, v := range x.table.InBucket(int(bucket)) {
			s.Entries = append(s.Entries, v)
			delete(x.queued, x.table.order.Key(v))
		}
		s.Repaired = append(s.Repaired, bucket)
	}
}

func (x *Exchange[T]) addChanges(s *Step[T]) {
	for _, key := range slices.Sorted(maps.Keys(x.queued)) {
		if len(s.Entries) >= maxStepEntries {
			return
		}
		delete(x.queued, key)
		if v, ok := x.table.Get(key); ok {
			s.Entries = append(s.Entries, v)
		}
	}
}

// Next returns the next step to send. HasMore then reports whether another
// follows.
func (x *Exchange[T]) Next() Step[T] {
	x.mu.Lock()
	defer x.mu.Unlock()
	var s Step[T]
	x.addRepairs(&s)
	x.addChanges(&s)
	due := x.digestDue || !x.digestSent || len(s.Repaired) > 0 || x.requestBuckets
	x.digestDue = false
	if x.requestBuckets {
		digests := x.table.Digests()
		s.BucketDigests = digests[:]
		x.requestBuckets = false
	}
	if own := x.table.Digest(); due && (!x.digestSent || own != x.sentDigest) {
		s.Digest, s.HasDigest = own, true
		x.digestSent, x.sentDigest = true, own
	}
	return s
}

// Receive merges a step into the table and returns the entries that changed it,
// which are to be sent over the other links.
func (x *Exchange[T]) Receive(s *Step[T]) (changed []T) {
	received := make(map[string]uint64, len(s.Entries))
	for _, v := range s.Entries {
		key := x.table.order.Key(v)
		received[key] = x.table.order.Hash(v)
		if x.table.Merge(v) {
			changed = append(changed, v)
		}
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for key, hash := range received {
		x.reconcile(key, hash)
	}
	for _, bucket := range s.Repaired {
		x.queueDifferences(bucket, received)
	}
	if len(s.BucketDigests) == Buckets {
		x.compareBuckets(s.BucketDigests)
		// The peer may have an old digest of this table. The current one is sent
		// even if no bucket differs, else the peer would repeat its request for ever.
		x.digestSent = false
	}
	if s.HasDigest {
		x.peerDigest, x.peerDigestKnown = s.Digest, true
	}
	return changed
}

// reconcile removes an entry from the queue if the peer has sent the same state,
// and queues it if the states differ, as the local one is newer then.
func (x *Exchange[T]) reconcile(key string, peerHash uint64) {
	own, held := x.table.Get(key)
	if !held {
		return
	}
	if x.table.order.Hash(own) == peerHash {
		delete(x.queued, key)
		return
	}
	x.queued[key] = struct{}{}
}

// queueDifferences queues the entries of a repaired bucket that the peer lacks or
// has in another state. A restarted keeper gets its records from routers this way
// while the platform is down.
func (x *Exchange[T]) queueDifferences(bucket uint32, received map[string]uint64) {
	if bucket >= Buckets {
		return
	}
	for _, v := range x.table.InBucket(int(bucket)) {
		key := x.table.order.Key(v)
		if hash, sent := received[key]; !sent || hash != x.table.order.Hash(v) {
			x.queued[key] = struct{}{}
		}
	}
}

func (x *Exchange[T]) compareBuckets(peer []uint64) {
	for bucket, own := range x.table.Digests() {
		if own != peer[bucket] && !slices.Contains(x.bucketsToSend, uint32(bucket)) {
			x.bucketsToSend = append(x.bucketsToSend, uint32(bucket))
		}
	}
}

// InSync reports whether the peer's last digest equals the local one.
func (x *Exchange[T]) InSync() bool {
	own := x.table.Digest()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.peerDigestKnown && own == x.peerDigest
}
