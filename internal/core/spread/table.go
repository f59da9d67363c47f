// Package spread replicates state to every daemon by anti-entropy gossip. It has
// tables whose entries are join-semilattices, and the exchange by which two daemons
// synchronise their tables. It uses no sockets and no clock.
package spread

import (
	"iter"
	"sync"
	"sync/atomic"
)

// Buckets is the number of shards of a table. Each has its own digest and its own
// lock.
const Buckets = 64

// Order is the semilattice of the entries of a table. Join must be commutative,
// associative and idempotent; then daemons that receive the same entries, in any
// order and any number of times, have the same state.
type Order[T any] interface {
	Key(v T) string
	Join(a, b T) T
	// Hash is equal for equal states and covers all fields that Join compares.
	Hash(v T) uint64
}

// Table holds the join of all merged states of each key. It is safe for concurrent
// use.
type Table[T any] struct {
	order  Order[T]
	hash   func(key string) uint64
	shards [Buckets]tableShard[T]
	// followers is replaced as a whole, with followersMu held, since Merge and
	// Remove read it with only a shard's lock held.
	followers   atomic.Pointer[[]*Changes[T]]
	followersMu sync.Mutex
}

type tableShard[T any] struct {
	mu      sync.RWMutex
	entries map[string]T
	digest  uint64
}

// NewTable returns an empty table. The hash assigns keys to buckets and must be the
// same on all daemons.
func NewTable[T any](order Order[T], hash func(key string) uint64) *Table[T] {
	t := &Table[T]{order: order, hash: hash}
	for i := range t.shards {
		t.shards[i].entries = map[string]T{}
	}
	return t
}

// Bucket returns the bucket of a key.
func (t *Table[T]) Bucket(key string) int { return int(t.hash(key) % Buckets) }

// Merge joins v into the table and reports whether that changed the entry. A state
// older than the present one changes nothing, so an entry never goes back,
// whatever the source of v.
func (t *Table[T]) Merge(v T) bool {
	key := t.order.Key(v)
	s := &t.shards[t.Bucket(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	old, held := s.entries[key]
	if !held {
		s.entries[key] = v
		s.digest += t.order.Hash(v)
		t.noteChange(key)
		return true
	}
	joined := t.order.Join(old, v)
	before, after := t.order.Hash(old), t.order.Hash(joined)
	if before == after {
		return false
	}
	s.entries[key] = joined
	// The digest is a sum of hashes, so it can be updated without reading the other
	// entries.
	s.digest += after - before
	t.noteChange(key)
	return true
}

// Remove deletes an entry, which the join of an Order never does. If a peer still
// has the entry, the next repair restores it. So entries may be removed only by a
// rule that all daemons apply.
func (t *Table[T]) Remove(key string) {
	s := &t.shards[t.Bucket(key)]
	s.mu.Lock()
	defer s.mu.Unlock()
	old, held := s.entries[key]
	if !held {
		return
	}
	delete(s.entries, key)
	s.digest -= t.order.Hash(old)
	t.noteChange(key)
}

// Get returns the entry of a key.
func (t *Table[T]) Get(key string) (T, bool) {
	s := &t.shards[t.Bucket(key)]
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.entries[key]
	return v, ok
}

// InBucket returns the entries of one bucket.
func (t *Table[T]) InBucket(bucket int) []T {
	s := &t.shards[bucket]
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]T, 0, len(s.entries))
	for _, v := range s.entries {
		out = append(out, v)
	}
	return out
}

// All iterates over all entries, bucket by bucket.
func (t *Table[T]) All() iter.Seq[T] {
	return func(yield func(T) bool) {
		for bucket := range Buckets {
			for _, v := range t.InBucket(bucket) {
				if !yield(v) {
					return
				}
			}
		}
	}
}

// Len returns the number of entries.
func (t *Table[T]) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.RLock()
		n += len(t.shards[i].entries)
		t.shards[i].mu.RUnlock()
	}
	return n
}

// Digests returns the sum of the entry hashes of each bucket.
func (t *Table[T]) Digests() [Buckets]uint64 {
	var out [Buckets]uint64
	for i := range t.shards {
		t.shards[i].mu.RLock()
		out[i] = t.shards[i].digest
		t.shards[i].mu.RUnlock()
	}
	return out
}

// Digest returns the sum of the digests of all buckets.
func (t *Table[T]) Digest() uint64 {
	var sum uint64
	for _, d := range t.Digests() {
		sum += d
	}
	return sum
}
