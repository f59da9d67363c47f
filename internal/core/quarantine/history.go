package quarantine

import "slices"

// maxDiscarded bounds the discarded crashes that are remembered for one suspect.
const maxDiscarded = 4 * maxCrashes

// crashHistory holds the crashes of one suspect across its releases. It is the
// memory of one daemon, not part of the replicated state.
type crashHistory struct {
	cleared uint32
	current []CrashID
	// discarded lists the crashes from before the suspect was last cleared, the
	// oldest first. A daemon that finds the ended endpoint only now must not count
	// them again.
	discarded []CrashID
}

// histories holds the history of each suspect.
type histories map[Fingerprint]*crashHistory

// update applies the current state of a suspect.
func (m histories) update(f Fingerprint, cleared uint32, crashes []CrashID) {
	h := m[f]
	if h == nil {
		h = &crashHistory{cleared: cleared}
		m[f] = h
	}
	if cleared > h.cleared {
		retained := func(c CrashID) bool { return slices.Contains(crashes, c) }
		h.discarded = append(h.discarded, slices.DeleteFunc(h.current, retained)...)
		h.discarded = h.discarded[max(0, len(h.discarded)-maxDiscarded):]
		h.cleared, h.current = cleared, nil
	}
	h.current = Union(h.current, crashes)
}

// isDiscarded reports whether the crash was counted before the suspect was last
// cleared.
func (m histories) isDiscarded(f Fingerprint, c CrashID) bool {
	h := m[f]
	return h != nil && slices.Contains(h.discarded, c)
}
