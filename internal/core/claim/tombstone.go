package claim

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// prefixBytes is the number of leading bytes of a key hash that a tombstone
// stores. If two keys of a shard share this prefix, the newer one is refused as
// expired; neither runs twice.
const prefixBytes = 8

// tombstones holds the prefixes of the key hashes past the retention, by the time
// bucket of their claims. It is immutable, so that clones of a shard can share it.
type tombstones struct {
	buckets map[int64][]uint64
	index   map[uint64]bool
}

func newTombstones() *tombstones {
	return &tombstones{buckets: map[int64][]uint64{}, index: map[uint64]bool{}}
}

func prefixOf(key KeyHash) uint64 { return binary.BigEndian.Uint64(key[:prefixBytes]) }

func (t *tombstones) has(key KeyHash) bool { return t.index[prefixOf(key)] }

// bytes is an upper bound of the encoded size.
func (t *tombstones) bytes() int {
	return len(t.index)*prefixBytes + len(t.buckets)*maxBucketBytes
}

// withClaims returns a copy that also contains the keys of the claims.
func (t *tombstones) withClaims(claims []port.ClaimState, bucketMillis int64) *tombstones {
	next := &tombstones{buckets: maps.Clone(t.buckets), index: maps.Clone(t.index)}
	added := map[int64][]uint64{}
	for i := range claims {
		prefix := prefixOf(claims[i].KeyHash)
		if next.index[prefix] {
			continue
		}
		next.index[prefix] = true
		bucket := claims[i].ClaimedUnixMillis / bucketMillis * bucketMillis
		added[bucket] = append(added[bucket], prefix)
	}
	for bucket, prefixes := range added {
		next.buckets[bucket] = slices.Concat(next.buckets[bucket], prefixes)
	}
	return next
}

// withoutBefore returns a copy without the buckets that end before oldest, or t
// itself if there are none.
func (t *tombstones) withoutBefore(oldest, bucketMillis int64) (next *tombstones, dropped bool) {
	for bucket := range t.buckets {
		dropped = dropped || bucket+bucketMillis < oldest
	}
	if !dropped {
		return t, false
	}
	next = newTombstones()
	for bucket, prefixes := range t.buckets {
		if bucket+bucketMillis < oldest {
			continue
		}
		next.buckets[bucket] = prefixes
		for _, p := range prefixes {
			next.index[p] = true
		}
	}
	return next, true
}
