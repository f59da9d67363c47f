package quarantine

import (
	"cmp"
	"slices"
)

// Bounds of a verdict, in endpoints that crashed while they ran a request.
const (
	// condemnAt is enough for a request by which alone they can be explained.
	condemnAt = 3
	// condemnAnywayAt is enough for any: a request that can't be told from others
	// is not tried for ever.
	condemnAnywayAt = 5
)

// Judge returns the requests that are not to be sent any more.
//
// Whatever else ran at a crashed endpoint was lost with it, so a crash is held
// against all of them at first. It tells the more of a request the fewer others
// ran at all the same crashes: one that crashed four endpoints explains these,
// and they are no longer held against any other.
func Judge(suspects []Suspect) []Fingerprint {
	left := make([]*charge, 0, len(suspects))
	for i := range suspects {
		if len(suspects[i].Crashes) >= condemnAt {
			left = append(left, newCharge(&suspects[i]))
		}
	}
	var condemned []Fingerprint
	for {
		worst := untied(left)
		if worst == nil {
			return condemned
		}
		condemned = append(condemned, worst.fingerprint)
		left = explain(left, worst)
	}
}

// charge is what is still held against a request.
type charge struct {
	fingerprint Fingerprint
	crashes     []CrashID
	// anyway: whatever explains its crashes, they are too many.
	anyway bool
}

func newCharge(s *Suspect) *charge {
	return &charge{
		fingerprint: s.Fingerprint, crashes: slices.Clone(s.Crashes), anyway: len(s.Crashes) >= condemnAnywayAt,
	}
}

// untied returns the request with the most crashes that is to be condemned, nil
// for none.
func untied(left []*charge) *charge {
	slices.SortFunc(left, func(a, b *charge) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	for i, c := range left {
		if c.anyway || len(c.crashes) >= condemnAt && !tied(c, left, i) {
			return c
		}
	}
	return nil
}

// tied reports whether another request with as many crashes or more shares some
// of them.
func tied(c *charge, left []*charge, at int) bool {
	for i, other := range left {
		if len(other.crashes) < len(c.crashes) {
			return false
		}
		if i != at && slices.ContainsFunc(other.crashes, func(id CrashID) bool { return slices.Contains(c.crashes, id) }) {
			return true
		}
	}
	return false
}

// explain takes the crashes of a condemned request off all others.
func explain(left []*charge, by *charge) []*charge {
	out := make([]*charge, 0, len(left))
	for _, c := range left {
		if c == by {
			continue
		}
		c.crashes = slices.DeleteFunc(c.crashes, func(id CrashID) bool { return slices.Contains(by.crashes, id) })
		out = append(out, c)
	}
	return out
}
