package quarantine

import (
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
)

// minLoggedCrashes is the number of crashes from which a suspected part is logged. Each
// crash makes suspects of all parts that ran there, most of which complete right after.
const minLoggedCrashes = 2

// partLedger holds what one daemon knows of the parts under which endpoints crashed. A
// Register guards it.
type partLedger struct {
	shared    SharedState
	onChange  func(Change)
	completed completed
	changes   *spread.Changes[PartSuspect]
	histories histories
}

func newPartLedger(s SharedState, onChange func(Change)) *partLedger {
	return &partLedger{shared: s, onChange: onChange, changes: s.PartSuspects().Follow(), histories: make(histories)}
}

func (l *partLedger) get(f Fingerprint) (PartSuspect, bool) {
	return l.shared.PartSuspects().Get(string(f[:]))
}

// completedRequest records that a request with the parts completed, and reports whether
// that cleared any.
func (l *partLedger) completedRequest(now time.Time, parts []Part) bool {
	cleared := false
	for _, p := range parts {
		l.completed.add(now, p.Fingerprint)
		if s, held := l.get(p.Fingerprint); held && len(s.Crashes) > 0 {
			s.Completed = true
			l.retain(now, &s, nil, reasonCompleted)
			cleared = true
		}
	}
	return cleared
}

// reasonCompleted is the reason for which a part is cleared after a completed request.
const reasonCompleted = "a request with it ran to its end"

// clear discards the crashes of a part and reports whether there were any.
func (l *partLedger) clear(now time.Time, f Fingerprint, reason string) bool {
	s, held := l.get(f)
	if !held || len(s.Crashes) == 0 {
		return false
	}
	l.retain(now, &s, nil, reason)
	return true
}

// retain discards the crashes of a part except for the given ones.
func (l *partLedger) retain(now time.Time, s *PartSuspect, retained []PartCrash, reason string) {
	crashes := len(s.Crashes) - len(retained)
	s.Cleared++
	s.Crashes, s.UpdatedAt = retained, now
	if len(retained) == 0 {
		s.Companions = nil
	}
	if l.shared.PutPartSuspect(*s) && crashes >= minLoggedCrashes {
		l.onChange(Change{
			Fingerprint: s.Part.Fingerprint, Organisation: s.Organisation, Parts: []uint64{s.Part.ID},
			Verdict: Cleared, Crashes: crashes, Reason: reason,
		})
	}
}

// discardOutdated discards the crashes of a part after which a request with it completed.
// Reports may come seconds after the crash, for the checks of its endpoint and because the
// reporting daemon was paused or out of reach.
func (l *partLedger) discardOutdated(now time.Time, s *PartSuspect) {
	last, has := l.completed.last(now, s.Part.Fingerprint)
	if !has || len(s.Crashes) == 0 {
		return
	}
	retained := slices.DeleteFunc(slices.Clone(s.Crashes), func(c PartCrash) bool { return !c.At.After(last) })
	isNew := !s.Completed
	s.Completed = true
	switch {
	case len(retained) < len(s.Crashes):
		l.retain(now, s, retained, reasonCompleted)
	case isNew:
		l.shared.PutPartSuspect(*s)
	}
}

// crashed records that an endpoint ended while it ran the given requests.
func (l *partLedger) crashed(now time.Time, crash CrashID, lost []Loss) {
	suspects := make(map[Fingerprint]*PartSuspect)
	for i := range lost {
		for _, p := range lost[i].Request.Parts {
			if l.histories.isDiscarded(p.Fingerprint, crash) || l.completedSince(now, p.Fingerprint, lost[i].At) {
				continue
			}
			s := l.suspectOf(now, p, crash, &lost[i])
			if before := suspects[p.Fingerprint]; before != nil {
				s = PartOrder{}.Join(*before, s)
			}
			suspects[p.Fingerprint] = &s
		}
	}
	for _, s := range suspects {
		if !l.shared.PutPartSuspect(*s) {
			continue
		}
		merged, _ := l.get(s.Part.Fingerprint)
		if n := len(merged.Crashes); n >= minLoggedCrashes {
			l.onChange(Change{
				Fingerprint: s.Part.Fingerprint, Organisation: s.Organisation, Parts: []uint64{s.Part.ID},
				Verdict: Suspected, Crashes: n, Reason: "an endpoint crashed while it ran a request with this part",
			})
		}
	}
}

// completedSince reports whether a request with the part completed after a time.
func (l *partLedger) completedSince(now time.Time, f Fingerprint, at time.Time) bool {
	last, has := l.completed.last(now, f)
	return has && !at.After(last)
}

// suspectOf returns a suspect with one crash, to be joined with what is known.
func (l *partLedger) suspectOf(now time.Time, p Part, crash CrashID, loss *Loss) PartSuspect {
	held, _ := l.get(p.Fingerprint)
	s := PartSuspect{
		Part: p, Organisation: loss.Request.Organisation, Cleared: held.Cleared, Renewals: held.Renewals, UpdatedAt: now,
		Completed: l.completed.has(now, p.Fingerprint),
		Crashes: []PartCrash{{
			ID: crash, Request: loss.Request.Fingerprint.short(), Ran: loss.Ran.Truncate(time.Millisecond), At: loss.At,
		}},
	}
	for _, other := range loss.Request.Parts {
		if other.Fingerprint != p.Fingerprint {
			s.Companions = append(s.Companions, other.Fingerprint.short())
		}
	}
	slices.Sort(s.Companions)
	return s
}

// refresh applies changes received from other daemons and reports whether there were any.
func (l *partLedger) refresh(now time.Time) bool {
	changed := l.changes.Take()
	for i := range changed {
		s := &changed[i]
		l.histories.update(s.Part.Fingerprint, s.Cleared, s.crashIDs())
		l.discardOutdated(now, s)
	}
	return len(changed) > 0
}

// all returns all suspects.
func (l *partLedger) all() []PartSuspect { return slices.Collect(l.shared.PartSuspects().All()) }

// renew extends how long the parts of a combination are remembered, and returns for how
// long that is.
func (l *partLedger) renew(now time.Time, c *Combination) time.Duration {
	remaining := SuspectRetention
	for _, member := range c.all() {
		s, held := l.get(member.Part.Fingerprint)
		if !held {
			continue
		}
		if now.Sub(s.UpdatedAt) >= renewalInterval {
			s.Renewals++
			s.UpdatedAt = now
			l.shared.PutPartSuspect(s)
		}
		remaining = min(remaining, max(0, SuspectRetention-now.Sub(s.UpdatedAt)))
	}
	return remaining
}

// expire drops suspects that are too old or exceed maxSuspects, and reports whether
// there were any.
func (l *partLedger) expire(now time.Time) bool {
	table := l.shared.PartSuspects()
	all := l.all()
	slices.SortFunc(all, comparePartRetention)
	removed := false
	for i := range all {
		if i < maxSuspects && now.Sub(all[i].UpdatedAt) < SuspectRetention {
			continue
		}
		table.Remove(string(all[i].Part.Fingerprint[:]))
		delete(l.histories, all[i].Part.Fingerprint)
		removed = true
	}
	return removed
}

// comparePartRetention sorts the suspects with the most crashes first. Like
// compareRetention it is a total order.
func comparePartRetention(a, b PartSuspect) int {
	if c := len(b.Crashes) - len(a.Crashes); c != 0 {
		return c
	}
	return slices.Compare(a.Part.Fingerprint[:], b.Part.Fingerprint[:])
}
