package quarantine

import (
	"cmp"
	"slices"
)

// Thresholds of a verdict, in endpoints that crashed while they ran a request.
const (
	// quarantineAfter is enough for a request that alone can explain its crashes.
	quarantineAfter = 3
	// quarantineAmbiguousAfter is enough for any request, so that one that can't
	// be told apart from others is not retried forever.
	quarantineAmbiguousAfter = 5
)

// Evaluate returns the requests to quarantine.
//
// All requests that ran at a crashed endpoint are suspects of that crash at first.
// The evidence against a request is stronger the fewer others ran at all the same
// crashes. Once a request is quarantined, its crashes are explained and no longer
// count against any other.
func Evaluate(suspects []Suspect) []Fingerprint {
	candidates := make([]*candidate, 0, len(suspects))
	for i := range suspects {
		if len(suspects[i].Crashes) >= quarantineAfter {
			candidates = append(candidates, newCandidate(&suspects[i]))
		}
	}
	var quarantined []Fingerprint
	for {
		selected := selectQuarantined(candidates)
		if selected == nil {
			return quarantined
		}
		quarantined = append(quarantined, selected.fingerprint)
		candidates = removeExplained(candidates, selected)
	}
}

// candidate is a request with the crashes that are not yet explained by others.
type candidate struct {
	fingerprint Fingerprint
	crashes     []CrashID
	// isConclusive is set if the request has enough crashes to be quarantined
	// even when others may explain them.
	isConclusive bool
}

func newCandidate(s *Suspect) *candidate {
	return &candidate{
		fingerprint: s.Fingerprint, crashes: slices.Clone(s.Crashes), isConclusive: len(s.Crashes) >= quarantineAmbiguousAfter,
	}
}

// selectQuarantined returns the request with the most crashes that is to be
// quarantined, or nil if there is none.
func selectQuarantined(candidates []*candidate) *candidate {
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	for i, c := range candidates {
		if c.isConclusive || len(c.crashes) >= quarantineAfter && !ambiguous(c, candidates, i) {
			return c
		}
	}
	return nil
}

// ambiguous reports whether another request with at least as many crashes shares
// some of them.
func ambiguous(c *candidate, candidates []*candidate, index int) bool {
	for i, other := range candidates {
		if len(other.crashes) < len(c.crashes) {
			return false
		}
		if i != index && slices.ContainsFunc(other.crashes, func(id CrashID) bool { return slices.Contains(c.crashes, id) }) {
			return true
		}
	}
	return false
}

// removeExplained drops the explaining request, and removes its crashes from all
// others.
func removeExplained(candidates []*candidate, explained *candidate) []*candidate {
	remaining := make([]*candidate, 0, len(candidates))
	for _, c := range candidates {
		if c == explained {
			continue
		}
		c.crashes = slices.DeleteFunc(c.crashes, func(id CrashID) bool { return slices.Contains(explained.crashes, id) })
		remaining = append(remaining, c)
	}
	return remaining
}
