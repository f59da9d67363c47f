package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Thresholds of a verdict on parts, in independent crashes.
const (
	// convictAfter is enough for a part with which no request completed lately, and
	// convictCompletedAfter for any other.
	convictAfter          = 3
	convictCompletedAfter = 5
	// convictRepeatedAfter is enough for a part with which no request completed lately, if
	// it has convictAmbiguousAfter crashes in all: it ended many endpoints twice.
	convictRepeatedAfter = 2
	// convictAmbiguousAfter is enough for a part although another one may as well be the
	// cause. If the choice is wrong, the next crash corrects it.
	convictAmbiguousAfter = 5
	// independentAfter is the time between two crashes from which the second one counts
	// although its requests had been sent before the first one, if no request with the
	// part completed lately.
	independentAfter = 2 * time.Second
	// minIndependentGap is the least time between two independent crashes.
	minIndependentGap = 200 * time.Millisecond
)

// Combination is a set of parts that must not be sent in one prompt.
type Combination struct {
	Lead *PartSuspect
	// Others are the other parts of the combination: none of the crashes
	// distinguishes them from Lead. A request without all of them is sent.
	Others []*PartSuspect
}

// matches reports whether a prompt has all parts of the combination.
func (c *Combination) matches(parts []Part) bool {
	for _, s := range c.all() {
		if !slices.ContainsFunc(parts, func(p Part) bool { return p.Fingerprint == s.Part.Fingerprint }) {
			return false
		}
	}
	return true
}

// all returns the suspects of the combination, Lead first.
func (c *Combination) all() []*PartSuspect {
	return append([]*PartSuspect{c.Lead}, c.Others...)
}

// EvaluateParts returns the combinations of parts to quarantine. requests are the
// quarantined requests, whose crashes are explained by themselves.
//
// All parts of all requests that ran at a crashed endpoint are suspects of that crash at
// first. Those that completed since are not. Of the others the narrowest part is the
// cause that explains most crashes: a part that accompanies it in all lost requests, and
// in others, explains no more than it does.
func EvaluateParts(suspects []PartSuspect, requests []Suspect) []Combination {
	e := partEvaluation{suspects: suspects}
	for i := range suspects {
		if len(suspects[i].Crashes) < convictRepeatedAfter {
			continue
		}
		if c := newPartCandidate(&suspects[i], requests); c.weight >= convictRepeatedAfter {
			e.candidates = append(e.candidates, c)
		}
	}
	var out []Combination
	for {
		selected := e.selectCause()
		if selected == nil {
			return out
		}
		out = append(out, Combination{Lead: selected.suspect, Others: e.indistinguishable(selected)})
		e.explain(selected)
	}
}

// partEvaluation is the state of one call of EvaluateParts.
type partEvaluation struct {
	suspects   []PartSuspect
	candidates []*partCandidate
}

// partCandidate is a part with the crashes that are not yet explained by others.
type partCandidate struct {
	suspect *PartSuspect
	// crashes are in the order of time.
	crashes []PartCrash
	// weight is the number of independent crashes.
	weight int
}

func newPartCandidate(s *PartSuspect, requests []Suspect) *partCandidate {
	c := &partCandidate{suspect: s}
	for _, crash := range s.Crashes {
		if !explainedByRequest(s, &crash, requests) {
			c.crashes = append(c.crashes, crash)
		}
	}
	slices.SortFunc(c.crashes, func(a, b PartCrash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.ID, b.ID))
	})
	c.weight = c.independent(c.crashes)
	return c
}

// explainedByRequest reports whether a quarantined request ran beside the requests with the
// part. Against a part with which no request completed lately it needs as many crashes: a
// harmless request that is sent over and over may be lost each time.
func explainedByRequest(s *PartSuspect, crash *PartCrash, requests []Suspect) bool {
	return slices.ContainsFunc(requests, func(r Suspect) bool {
		return r.Fingerprint.short() != crash.Request && (s.Completed || len(r.Crashes) >= len(s.Crashes)) && slices.Contains(r.Crashes, crash.ID)
	})
}

// independent counts crashes under different requests of which each was sent after the
// crash before. When many endpoints end at once, what ran there shares that one cause.
func (c *partCandidate) independent(crashes []PartCrash) int {
	var counted []PartCrash
	for _, crash := range crashes {
		if slices.ContainsFunc(counted, func(before PartCrash) bool { return before.Request == crash.Request }) {
			continue
		}
		if len(counted) > 0 && !c.follows(&counted[len(counted)-1], &crash) {
			continue
		}
		counted = append(counted, crash)
	}
	return len(counted)
}

func (c *partCandidate) follows(before, crash *PartCrash) bool {
	gap := crash.At.Sub(before.At)
	if !c.suspect.Completed && gap >= independentAfter {
		return true
	}
	return gap >= minIndependentGap && crash.Ran <= gap
}

func (c *partCandidate) isConclusive() bool {
	return c.weight >= c.required() || !c.suspect.Completed && c.weight >= convictRepeatedAfter && len(c.crashes) >= convictAmbiguousAfter
}

// required is the number of independent crashes that are enough in any case.
func (c *partCandidate) required() int {
	if c.suspect.Completed {
		return convictCompletedAfter
	}
	return convictAfter
}

// selectCause returns the part that explains most crashes, nil if there is none.
func (e *partEvaluation) selectCause() *partCandidate {
	slices.SortFunc(e.candidates, compareParts)
	for _, c := range e.candidates {
		if !c.isConclusive() {
			continue
		}
		c = e.narrowest(c)
		if c.weight >= convictAmbiguousAfter || !e.isAmbiguous(c) {
			return c
		}
	}
	return nil
}

// compareParts sorts the parts that are most likely the cause first: that of most
// crashes, one that never completed, and one whose requests had run for the shortest time.
func compareParts(a, b *partCandidate) int {
	return cmp.Or(
		cmp.Compare(b.weight, a.weight), compareBool(a.suspect.Completed, b.suspect.Completed),
		cmp.Compare(a.ran(), b.ran()), slices.Compare(a.suspect.Part.Fingerprint[:], b.suspect.Part.Fingerprint[:]),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// ran returns for how long the attempts had lasted in total.
func (c *partCandidate) ran() time.Duration {
	total := time.Duration(0)
	for _, crash := range c.crashes {
		total += crash.Ran
	}
	return total
}

// narrowest returns the part that explains the crashes of c, but for too few to convict
// c, and comes with fewer requests than c. It returns c if there is none.
func (e *partEvaluation) narrowest(c *partCandidate) *partCandidate {
	for range e.candidates {
		narrower := e.narrower(c)
		if narrower == nil {
			break
		}
		c = narrower
	}
	return c
}

// narrower returns a part that is more likely the cause than c, as it comes with fewer
// requests; nil if there is none.
func (e *partEvaluation) narrower(c *partCandidate) *partCandidate {
	var others []*partCandidate
	for _, other := range e.candidates {
		if other == c || !other.isConclusive() || !c.suspect.accompanies(other.suspect) || other.suspect.accompanies(c.suspect) {
			continue
		}
		if c.isExplainedBy(other) {
			return other
		}
		others = append(others, other)
	}
	// If requests with c complete, several causes at a time are more likely than c.
	if c.suspect.Completed && len(others) > 0 && c.isExplainedBy(others...) {
		return others[0]
	}
	return nil
}

// isExplainedBy reports whether too few of the crashes of c to convict it are left without
// those of the other parts.
func (c *partCandidate) isExplainedBy(others ...*partCandidate) bool {
	return c.independent(c.unexplainedBy(others...)) < c.required()
}

// unexplainedBy returns the crashes in which none of the other parts has a share.
func (c *partCandidate) unexplainedBy(others ...*partCandidate) []PartCrash {
	return slices.DeleteFunc(slices.Clone(c.crashes), func(crash PartCrash) bool {
		return slices.ContainsFunc(others, func(other *partCandidate) bool { return other.suspect.hasCrash(crash.ID) })
	})
}

// isAmbiguous reports whether a part of other requests is at least as likely the cause of
// some of the crashes.
func (e *partEvaluation) isAmbiguous(c *partCandidate) bool {
	return slices.ContainsFunc(e.candidates, func(other *partCandidate) bool {
		return other != c && other.weight >= c.weight && (c.suspect.Completed || !other.suspect.Completed) &&
			!other.suspect.accompanies(c.suspect) && !c.suspect.accompanies(other.suspect) &&
			len(c.unexplainedBy(other)) < len(c.crashes)
	})
}

// indistinguishable returns the parts that came with c in all lost requests and are as
// likely the cause.
func (e *partEvaluation) indistinguishable(c *partCandidate) []*PartSuspect {
	var out []*PartSuspect
	for i := range e.suspects {
		other := &e.suspects[i]
		if other == c.suspect || !other.accompanies(c.suspect) || other.Completed && !c.suspect.Completed {
			continue
		}
		covers := func(crash PartCrash) bool { return other.hasCrash(crash.ID) }
		if len(other.Crashes) == maxCrashes || !slices.ContainsFunc(c.crashes, func(crash PartCrash) bool { return !covers(crash) }) {
			out = append(out, other)
		}
	}
	return out
}

// explain removes a part from the candidates, and its crashes from all others.
func (e *partEvaluation) explain(cause *partCandidate) {
	e.candidates = slices.DeleteFunc(e.candidates, func(c *partCandidate) bool { return c == cause })
	for _, c := range e.candidates {
		c.crashes = c.unexplainedBy(cause)
		c.weight = c.independent(c.crashes)
	}
}
