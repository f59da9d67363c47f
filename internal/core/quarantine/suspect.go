package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
)

// CrashID names one crash: an incarnation of an endpoint ends once.
type CrashID uint64

// CrashOf returns the id of an incarnation's crash.
func CrashOf(endpointID string, incarnation uint64) CrashID {
	h := xxhash.NewWithSeed(incarnation)
	// A Digest's Write never fails.
	_, _ = h.WriteString(endpointID)
	return CrashID(h.Sum64())
}

// maxCrashes bounds the crashes kept of one suspect. More than quarantineAfter say
// nothing more.
const maxCrashes = 8

// Suspect is a request under which endpoints have crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// Cleared counts how often the request was found harmless: it ran to its end,
	// or an operator released it. What was held against it before is forgotten.
	Cleared uint32
	// Crashes are those while it ran, since it was cleared last, in ascending order.
	Crashes []CrashID
	// Renewals grows while the request keeps being sent, so that it is remembered
	// for longer.
	Renewals uint32
	// Heard is when this daemon last learned something of it, by its steady
	// clock. It is no part of the state that daemons agree on.
	Heard time.Time
}

// Order is the semilattice of suspects: the later clearing wins, and forgets
// all crashes before; of one clearing, crashes add up.
type Order struct{}

// Key is the fingerprint's bytes.
func (Order) Key(s Suspect) string { return string(s.Fingerprint[:]) }

// Join returns the least upper bound.
func (Order) Join(a, b Suspect) Suspect {
	out := a
	if b.Cleared > a.Cleared {
		out = b
	}
	if a.Cleared == b.Cleared {
		out.Crashes = Union(a.Crashes, b.Crashes)
	}
	out.Renewals = max(a.Renewals, b.Renewals)
	if a.Heard.After(b.Heard) {
		out.Heard = a.Heard
	} else {
		out.Heard = b.Heard
	}
	return out
}

// Union joins two lists of crashes, in ascending order. It keeps the smallest ids:
// what it leaves out is larger than all that it keeps, and so is left out whatever
// the result is joined with.
func Union(a, b []CrashID) []CrashID {
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashes)]
}

// Hash covers all that daemons agree on.
func (Order) Hash(s Suspect) uint64 {
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
	return spread.NewTable[Suspect](Order{}, func(key string) uint64 {
		return binary.LittleEndian.Uint64([]byte(key))
	})
}
