package quarantine

import (
	"cmp"
	"slices"
)

// Bounds of a verdict, in endpoints that crashed while they ran a request.
const (
	// quarantineAfter is enough for a request by which alone they can be explained.
	quarantineAfter = 3
	// quarantineTiedAfter is enough for any: a request that can't be told from others
	// is not tried for ever.
	quarantineTiedAfter = 5
)

// Evaluate returns the requests to quarantine.
//
// Whatever else ran at a crashed endpoint was lost with it, so a crash is held
// against all of them at first. It tells the more of a request the fewer others
// ran at all the same crashes: one that crashed four endpoints explains these,
// and they are no longer held against any other.
func Evaluate(suspects []Suspect) []Fingerprint {
	left := make([]*evidence, 0, len(suspects))
	for i := range suspects {
		if len(suspects[i].Crashes) >= quarantineAfter {
			left = append(left, newEvidence(&suspects[i]))
		}
	}
	var quarantined []Fingerprint
	for {
		worst := untied(left)
		if worst == nil {
			return quarantined
		}
		quarantined = append(quarantined, worst.fingerprint)
		left = explain(left, worst)
	}
}

// evidence is what still speaks against a request.
type evidence struct {
	fingerprint Fingerprint
	crashes     []CrashID
	// isConclusive: there are too many crashes, whatever else may explain them.
	isConclusive bool
}

func newEvidence(s *Suspect) *evidence {
	return &evidence{
		fingerprint: s.Fingerprint, crashes: slices.Clone(s.Crashes), isConclusive: len(s.Crashes) >= quarantineTiedAfter,
	}
}

// untied returns the request with the most crashes that is to be quarantined, nil
// for none.
func untied(left []*evidence) *evidence {
	slices.SortFunc(left, func(a, b *evidence) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	for i, c := range left {
		if c.isConclusive || len(c.crashes) >= quarantineAfter && !tied(c, left, i) {
			return c
		}
	}
	return nil
}

// tied reports whether another request with as many crashes or more shares some
// of them.
func tied(c *evidence, left []*evidence, at int) bool {
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

// explain takes the crashes of a quarantined request off all others.
func explain(left []*evidence, by *evidence) []*evidence {
	out := make([]*evidence, 0, len(left))
	for _, c := range left {
		if c == by {
			continue
		}
		c.crashes = slices.DeleteFunc(c.crashes, func(id CrashID) bool { return slices.Contains(by.crashes, id) })
		out = append(out, c)
	}
	return out
}
