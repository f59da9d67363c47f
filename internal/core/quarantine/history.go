package quarantine

import "slices"

// maxDiscarded bounds the discarded crashes that are remembered for one request.
const maxDiscarded = 4 * maxCrashes

// crashHistory holds the crashes of one request across its releases. It is the
// memory of one daemon, not part of the replicated state.
type crashHistory struct {
	cleared uint32
	current []CrashID
	// discarded lists the crashes from before the request was last cleared, the
	// oldest first. A daemon that finds the ended endpoint only now must not count
	// them again.
	discarded []CrashID
}

// histories holds the history of each request that is a suspect.
type histories map[Fingerprint]*crashHistory

// update applies the current state of a suspect.
func (m histories) update(s *Suspect) {
	h := m[s.Fingerprint]
	if h == nil {
		h = &crashHistory{cleared: s.Cleared}
		m[s.Fingerprint] = h
	}
	if s.Cleared > h.cleared {
		h.discarded = append(h.discarded, h.current...)
		h.discarded = h.discarded[max(0, len(h.discarded)-maxDiscarded):]
		h.cleared, h.current = s.Cleared, nil
	}
	h.current = Union(h.current, s.Crashes)
}

// isDiscarded reports whether the crash was counted before the request was last
// cleared.
func (m histories) isDiscarded(f Fingerprint, c CrashID) bool {
	h := m[f]
	return h != nil && slices.Contains(h.discarded, c)
}
