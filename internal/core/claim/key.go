package claim

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"
)

// ShardOf maps a key to one of count shards.
func ShardOf(key KeyHash, count int) int {
	return int(binary.BigEndian.Uint32(key[len(key)-4:]) % uint32(count))
}

// KeyTooOld reports whether a key that contains its creation time, a version 7
// UUID, was created longer ago than the retention. Such a key is refused as
// expired without a lookup of its claim: after its tombstone has been dropped, it
// can't be told from a new key in any other way.
func KeyTooOld(key string, now time.Time, retention time.Duration) bool {
	u, err := uuid.Parse(key)
	if err != nil || u.Version() != 7 {
		return false
	}
	created := time.Unix(u.Time().UnixTime())
	return now.Sub(created) > retention
}
