package quarantine

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
)

// CrashID identifies one crash: an incarnation of an endpoint ends only once.
type CrashID uint64

// NewCrashID returns the ID of the crash of an incarnation.
func NewCrashID(endpointID string, incarnation uint64) CrashID {
	h := xxhash.NewWithSeed(incarnation)
	// A Digest's Write never fails.
	_, _ = h.WriteString(endpointID)
	return CrashID(h.Sum64())
}

// String returns the id in hex, as it appears in logs and records.
func (c CrashID) String() string { return fmt.Sprintf("%016x", uint64(c)) }

// maxCrashes bounds the crashes kept for one suspect. Crashes beyond the thresholds
// of Evaluate add no information.
const maxCrashes = 8

// Suspect is a request during which endpoints have crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// Cleared counts how often the request was found harmless, because it
	// completed or an operator released it. Earlier crashes no longer count.
	Cleared uint32
	// Crashes are the crashes while the request ran, since it was last cleared,
	// in ascending order.
	Crashes []CrashID
	// Renewals increases while the request keeps being sent, which extends how long
	// it is remembered.
	Renewals uint32
	// UpdatedAt is when this daemon last received an update of the suspect, by its
	// monotonic clock. It is not part of the replicated state.
	UpdatedAt time.Time
}

// SuspectOrder is the join semilattice of suspects: the higher Cleared wins and discards
// the crashes of the lower one; with equal Cleared the crashes are united.
type SuspectOrder struct{}

// Key returns the bytes of the fingerprint.
func (SuspectOrder) Key(s Suspect) string { return string(s.Fingerprint[:]) }

// Join returns the least upper bound of two states of a suspect.
func (SuspectOrder) Join(a, b Suspect) Suspect {
	out := a
	if b.Cleared > a.Cleared {
		out = b
	}
	if a.Cleared == b.Cleared {
		out.Crashes = Union(a.Crashes, b.Crashes)
	}
	out.Renewals = max(a.Renewals, b.Renewals)
	if a.UpdatedAt.After(b.UpdatedAt) {
		out.UpdatedAt = a.UpdatedAt
	} else {
		out.UpdatedAt = b.UpdatedAt
	}
	return out
}

// Union merges two lists of crashes in ascending order. It keeps the smallest IDs:
// an ID that is cut off is larger than all that are kept, and so would be cut off
// after any further merge, too.
func Union(a, b []CrashID) []CrashID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashes)]
}

// Hash covers all fields that daemons agree on.
func (SuspectOrder) Hash(s Suspect) uint64 {
	h := spread.NewHasher()
	h.Bytes(s.Fingerprint[:])
	h.Uint64(uint64(s.Cleared))
	h.Uint64(uint64(s.Renewals))
	for _, c := range s.Crashes {
		h.Uint64(uint64(c))
	}
	return h.Sum()
}

// NewTable returns an empty table of suspects.
func NewTable() *spread.Table[Suspect] {
	return spread.NewTable[Suspect](SuspectOrder{}, func(key string) uint64 {
		return binary.LittleEndian.Uint64([]byte(key))
	})
}
