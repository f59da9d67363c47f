// Package spread brings the newest known state to every daemon: tables that
// only grow in the order of a semilattice, and the exchange by which two
// daemons bring their tables to the same state. It knows no sockets and no
// clock.
package spread

import (
	"iter"
	"sync"
	"sync/atomic"
)

// Buckets is the number of parts of a table that digests are kept for. Each
// has its own lock.
const Buckets = 64

// Order is how the entries of a table grow. Join must be commutative,
// associative and idempotent; then daemons that hear the same entries, in
// whatever order and however often, hold the same state.
type Order[T any] interface {
	Key(v T) string
	Join(a, b T) T
	// Hash is equal for equal states and covers all that Join compares.
	Hash(v T) uint64
}

// Table holds the newest state of each key. It is safe for concurrent use.
type Table[T any] struct {
	order  Order[T]
	hash   func(key string) uint64
	shards [Buckets]tableShard[T]
	// followers is replaced whole, as Merge reads it under a shard's lock.
	followers atomic.Pointer[[]*Changes[T]]
	following sync.Mutex
}

type tableShard[T any] struct {
	mu      sync.RWMutex
	entries map[string]T
	digest  uint64
}

// NewTable returns an empty table. The hash places keys in buckets and must
// be the same at all daemons.
func NewTable[T any](order Order[T], hash func(key string) uint64) *Table[T] {
	t := &Table[T]{order: order, hash: hash}
	for i := range t.shards {
		t.shards[i].entries = map[string]T{}
	}
	return t
}

// Bucket returns the bucket of a key.
func (t *Table[T]) Bucket(key string) int { return int(t.hash(key) % Buckets) }

// Merge joins v into the table and reports whether that changed the entry.
// An entry that is older than the one held changes nothing: this is the
// floor below which a table never goes, whatever the source.
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
	// The digest is a sum, so one entry's change needs no other entry.
	s.digest += after - before
	t.noteChange(key)
	return true
}

// Remove forgets an entry, as nothing in an order ever does. What a peer still
// holds comes back with the next repair: entries that are removed need an end of
// life by which peers refuse them.
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

// Len counts the entries.
func (t *Table[T]) Len() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.RLock()
		n += len(t.shards[i].entries)
		t.shards[i].mu.RUnlock()
	}
	return n
}

// Digests returns the sum of entry hashes of each bucket.
func (t *Table[T]) Digests() [Buckets]uint64 {
	var out [Buckets]uint64
	for i := range t.shards {
		t.shards[i].mu.RLock()
		out[i] = t.shards[i].digest
		t.shards[i].mu.RUnlock()
	}
	return out
}

// Digest returns the sum over all buckets.
func (t *Table[T]) Digest() uint64 {
	var sum uint64
	for _, d := range t.Digests() {
		sum += d
	}
	return sum
}
