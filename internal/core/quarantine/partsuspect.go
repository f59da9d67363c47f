package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
)

// PartSuspect is a part of a prompt such that endpoints have crashed while they ran
// requests with it.
type PartSuspect struct {
	Part         Part
	Organisation string
	// Cleared counts how often the part was found harmless, because a request with it
	// completed or an operator released it. Earlier crashes no longer count.
	Cleared uint32
	// Completed is set if a request with the part completed shortly before a crash.
	Completed bool
	// Crashes are the crashes since it was last cleared, in ascending order of ID.
	Crashes []PartCrash
	// Companions identify the parts that all lost requests with this part had as well
	// since it was last cleared, in ascending order.
	Companions []uint64
	// Renewals increases while requests with the part keep being sent, which extends how
	// long it is remembered.
	Renewals uint32
	// UpdatedAt is when this daemon last received an update of the suspect, by its
	// monotonic clock. It is not part of the replicated state.
	UpdatedAt time.Time
}

// PartCrash is one crash under requests with a part.
type PartCrash struct {
	ID CrashID
	// Request identifies the request with the part whose attempt was the youngest, and
	// Ran is how long that attempt had lasted, in whole milliseconds.
	Request uint64
	Ran     time.Duration
	// At is when the crash happened, by this daemon's monotonic clock: the earliest time of
	// all reports, as a report can only be late. It is not part of the replicated state.
	At time.Time
}

// PartOrder is the join semilattice of suspected parts: the higher Cleared wins; with
// equal Cleared the crashes are united and the companions intersected.
type PartOrder struct{}

// Key returns the bytes of the fingerprint.
func (PartOrder) Key(s PartSuspect) string { return string(s.Part.Fingerprint[:]) }

// Join returns the least upper bound of two states of a suspect.
func (PartOrder) Join(a, b PartSuspect) PartSuspect {
	out := a
	if b.Cleared > a.Cleared {
		out = b
	}
	if a.Cleared == b.Cleared {
		out.Crashes = UniteCrashes(a.Crashes, b.Crashes)
		switch {
		case len(a.Crashes) == 0:
			out.Companions = b.Companions
		case len(b.Crashes) > 0:
			out.Companions = intersect(a.Companions, b.Companions)
		}
	}
	out.Completed = a.Completed || b.Completed
	out.Renewals = max(a.Renewals, b.Renewals)
	if a.UpdatedAt.After(b.UpdatedAt) {
		out.UpdatedAt = a.UpdatedAt
	} else {
		out.UpdatedAt = b.UpdatedAt
	}
	return out
}

// UniteCrashes merges two lists of crashes. Like Union it keeps the smallest ids, and
// of two reports of one crash the youngest attempt and the earlier time.
func UniteCrashes(a, b []PartCrash) []PartCrash {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y PartCrash) int {
		return cmp.Or(cmp.Compare(x.ID, y.ID), cmp.Compare(x.Ran, y.Ran), cmp.Compare(x.Request, y.Request))
	})
	united := all[:0]
	for _, c := range all {
		last := len(united) - 1
		if last < 0 || united[last].ID != c.ID {
			united = append(united, c)
		} else if c.At.Before(united[last].At) {
			united[last].At = c.At
		}
	}
	return united[:min(len(united), maxCrashes)]
}

// intersect returns the values that two ascending lists have in common.
func intersect(a, b []uint64) []uint64 {
	var out []uint64
	for _, v := range a {
		if _, found := slices.BinarySearch(b, v); found {
			out = append(out, v)
		}
	}
	return out
}

// Hash covers all fields that daemons agree on.
func (PartOrder) Hash(s PartSuspect) uint64 {
	h := spread.NewHasher()
	h.Bytes(s.Part.Fingerprint[:])
	h.Uint64(uint64(s.Cleared))
	h.Bool(s.Completed)
	h.Uint64(uint64(s.Renewals))
	for _, c := range s.Crashes {
		h.Uint64(uint64(c.ID))
		h.Uint64(c.Request)
		h.Uint64(uint64(c.Ran.Milliseconds()))
	}
	for _, c := range s.Companions {
		h.Uint64(c)
	}
	return h.Sum()
}

// NewPartTable returns an empty table of suspected parts.
func NewPartTable() *spread.Table[PartSuspect] {
	return spread.NewTable[PartSuspect](PartOrder{}, func(key string) uint64 {
		return binary.LittleEndian.Uint64([]byte(key))
	})
}

// hasCrash reports whether a crash counts against the part.
func (s *PartSuspect) hasCrash(id CrashID) bool {
	_, found := slices.BinarySearchFunc(s.Crashes, id, func(c PartCrash, id CrashID) int { return cmp.Compare(c.ID, id) })
	return found
}

// accompanies reports whether all lost requests with the other part had this one, too.
func (s *PartSuspect) accompanies(other *PartSuspect) bool {
	_, found := slices.BinarySearch(other.Companions, s.Part.Fingerprint.short())
	return found
}

// lastCrash returns the time of the last crash, zero if there is none.
func (s *PartSuspect) lastCrash() time.Time {
	last := time.Time{}
	for _, c := range s.Crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return last
}

// updatedAt returns the suspect as updated now, with its last crash at that time.
func (s PartSuspect) updatedAt(now time.Time) PartSuspect {
	s.Crashes, s.UpdatedAt = slices.Clone(s.Crashes), now
	if len(s.Crashes) == 0 {
		return s
	}
	last := s.lastCrash()
	for i := range s.Crashes {
		s.Crashes[i].At = now.Add(s.Crashes[i].At.Sub(last))
	}
	return s
}

// crashIDs returns the ids of the crashes.
func (s *PartSuspect) crashIDs() []CrashID {
	out := make([]CrashID, 0, len(s.Crashes))
	for _, c := range s.Crashes {
		out = append(out, c.ID)
	}
	return out
}
