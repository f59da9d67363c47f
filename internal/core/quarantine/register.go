package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
)

// Bounds of the memory of suspects.
const (
	// SuspectRetention is how long a suspect is remembered after its last update.
	SuspectRetention = 10 * time.Minute
	// maxAcceptedAge is the age from which a suspect is not accepted from another
	// daemon. Daemons forget a suspect at slightly different times, and would
	// otherwise keep restoring it for each other.
	maxAcceptedAge = SuspectRetention - 30*time.Second
	// renewalInterval is the least time between two renewals of a request that is
	// still being sent.
	renewalInterval = SuspectRetention / 4
	// maxSuspects bounds the suspects across all organisations.
	maxSuspects = 4096
)

// AcceptsAge reports whether an update of the given age is accepted from another
// daemon.
func AcceptsAge(age time.Duration) bool { return age < maxAcceptedAge }

// SharedState is the state that daemons replicate among each other.
type SharedState interface {
	Suspects() *spread.Table[Suspect]
	// PutSuspect joins an entry into the table and forwards it to other daemons.
	PutSuspect(s Suspect) bool
	// PartSuspects and PutPartSuspect are the same for parts of prompts.
	PartSuspects() *spread.Table[PartSuspect]
	PutPartSuspect(s PartSuspect) bool
}

// Verdict is a change in what a daemon holds against a request or a part of prompts.
type Verdict string

// The verdicts.
const (
	// Suspected: an endpoint crashed while the request ran.
	Suspected Verdict = "suspect"
	// Cleared: no crashes count against the request any more.
	Cleared Verdict = "clear"
	// Quarantined: the request is not sent any more.
	Quarantined Verdict = "quarantine"
	// Released: the request may be sent again.
	Released Verdict = "release"
	// Forgotten: the quarantined request was dropped from memory.
	Forgotten Verdict = "forget"
)

// Change is one change of verdict, for the log.
type Change struct {
	// Fingerprint is that of a request, or of the part that leads a combination.
	Fingerprint Fingerprint
	Verdict     Verdict
	// Parts are the parts of the combination, the one with Fingerprint first, and
	// Organisation is the one that they belong to; empty for a request.
	Parts        []uint64
	Organisation string
	// Crashes is the number of crashes since the suspect was last cleared.
	Crashes int
	Reason  string
}

// firstTrial returns when the first request with the parts may be sent.
func (h *Hold) firstTrial() time.Time { return h.LastCrash.Add(h.TrialInterval(0)) }

// Register holds what one daemon knows of requests and parts of prompts that crash
// endpoints. It is safe for concurrent use.
type Register struct {
	shared    SharedState
	onChange  func(Change)
	completed completed
	// verdicts is replaced as a whole, as every request reads it.
	verdicts atomic.Pointer[verdicts]

	mu        sync.Mutex
	changes   *spread.Changes[Suspect]
	histories histories
	parts     *partLedger
}

// verdicts are the requests and the combinations of parts that are quarantined.
type verdicts struct {
	requests map[Fingerprint]struct{}
	// parts has the combinations by the fingerprint of their leads.
	parts map[Fingerprint]*Combination
	// revision increases with each change.
	revision uint64
}

// NewRegister returns a register over shared state. It calls onChange for each
// change of verdict.
func NewRegister(s SharedState, onChange func(Change)) *Register {
	r := &Register{
		shared: s, onChange: onChange, changes: s.Suspects().Follow(), histories: make(histories),
		parts: newPartLedger(s, onChange),
	}
	r.verdicts.Store(&verdicts{})
	return r
}

// Any reports whether any request or part is quarantined.
func (r *Register) Any() bool {
	v := r.verdicts.Load()
	return len(v.requests) > 0 || len(v.parts) > 0
}

// Revision returns a number that increases whenever what is quarantined changes.
func (r *Register) Revision() uint64 { return r.verdicts.Load().revision }

// Quarantined reports whether and why a request must not be sent. If several combinations
// of parts are the reason, it returns the one of which the first trial comes last.
func (r *Register) Quarantined(now time.Time, request *Request) (Hold, bool) {
	v := r.verdicts.Load()
	if _, is := v.requests[request.Fingerprint]; is {
		if remaining, held := r.renew(now, request.Fingerprint); held {
			return Hold{Remaining: remaining}, true
		}
	}
	if len(v.parts) == 0 {
		return Hold{}, false
	}
	var hold Hold
	held := false
	for _, p := range request.Parts {
		c := v.parts[p.Fingerprint]
		if c == nil || !c.matches(request.Parts) {
			continue
		}
		// A trial of one combination must not be a request that another one crashes.
		if next := r.holdOf(now, c); !held || next.firstTrial().After(hold.firstTrial()) {
			hold, held = next, true
		}
	}
	return hold, held
}

func (r *Register) holdOf(now time.Time, c *Combination) Hold {
	hold := Hold{
		Remaining: r.parts.renew(now, c), LastCrash: c.Lead.lastCrash(), Crashes: len(c.Lead.Crashes),
		Completed: c.Lead.Completed, Cleared: c.Lead.Cleared,
	}
	for _, s := range c.all() {
		hold.Parts = append(hold.Parts, s.Part)
	}
	return hold
}

// renew extends how long a quarantined request is remembered, and returns for how long
// that is.
func (r *Register) renew(now time.Time, f Fingerprint) (remaining time.Duration, held bool) {
	s, held := r.get(f)
	if !held {
		return 0, false
	}
	if now.Sub(s.UpdatedAt) >= renewalInterval {
		s.Renewals++
		s.UpdatedAt = now
		r.shared.PutSuspect(s)
	}
	return max(0, SuspectRetention-now.Sub(s.UpdatedAt)), true
}

// Completed records that a request completed at an endpoint that kept running.
func (r *Register) Completed(now time.Time, request *Request) {
	r.completed.add(now, request.Fingerprint)
	cleared := r.clear(now, request.Fingerprint, "it ran to its end")
	if r.parts.completedRequest(now, request.Parts) || cleared {
		r.Refresh(now)
	}
}

// Release clears requests and parts on an operator's order. One with crashes that the
// operator has not seen is not cleared.
func (r *Register) Release(now time.Time, released []Suspect, parts []PartSuspect) {
	const reason = "released by an operator"
	for _, s := range parts {
		current, held := r.parts.get(s.Part.Fingerprint)
		if held && !slices.ContainsFunc(current.Crashes, func(c PartCrash) bool { return !s.hasCrash(c.ID) }) {
			r.parts.clear(now, s.Part.Fingerprint, reason)
		}
	}
	for _, s := range released {
		current, held := r.get(s.Fingerprint)
		unseen := func(c CrashID) bool { return !slices.Contains(s.Crashes, c) }
		if held && !slices.ContainsFunc(current.Crashes, unseen) {
			r.clear(now, s.Fingerprint, reason)
		}
	}
	r.Refresh(now)
}

// clear discards the crashes of a request and reports whether there were any.
func (r *Register) clear(now time.Time, f Fingerprint, reason string) bool {
	s, held := r.get(f)
	if !held || len(s.Crashes) == 0 {
		return false
	}
	crashes := len(s.Crashes)
	s.Cleared++
	s.Crashes, s.UpdatedAt = nil, now
	if r.shared.PutSuspect(s) {
		r.onChange(Change{Fingerprint: f, Verdict: Cleared, Crashes: crashes, Reason: reason})
	}
	return true
}

// Crashed records that an endpoint ended while it ran the given requests.
func (r *Register) Crashed(now time.Time, crash CrashID, lost []Loss) {
	r.Refresh(now)
	for i := range lost {
		f := lost[i].Request.Fingerprint
		if lost[i].IsPresumed || r.completed.has(now, f) || r.isDiscarded(f, crash) {
			continue
		}
		s, held := r.get(f)
		if !held {
			s = Suspect{Fingerprint: f}
		}
		s.Crashes, s.UpdatedAt = Union(s.Crashes, []CrashID{crash}), now
		if r.shared.PutSuspect(s) {
			r.onChange(Change{Fingerprint: f, Verdict: Suspected, Crashes: len(s.Crashes), Reason: "an endpoint crashed while it ran"})
		}
	}
	r.crashedParts(now, crash, lost)
	r.Refresh(now)
}

func (r *Register) crashedParts(now time.Time, crash CrashID, lost []Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts.crashed(now, crash, lost)
}

func (r *Register) isDiscarded(f Fingerprint, c CrashID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.histories.isDiscarded(f, c)
}

// Restore adds suspects from persistent storage. Of the times of crashes only the
// differences count.
func (r *Register) Restore(now time.Time, suspects []Suspect, parts []PartSuspect) {
	for _, s := range suspects {
		s.UpdatedAt = now
		r.shared.PutSuspect(s)
	}
	for i := range parts {
		s := parts[i].updatedAt(now)
		r.shared.PutPartSuspect(s)
	}
	r.Refresh(now)
}

// Entries returns the quarantined requests, sorted by fingerprint.
func (r *Register) Entries() []Suspect {
	var out []Suspect
	for f := range r.verdicts.Load().requests {
		if s, held := r.get(f); held {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
}

// PartEntries returns the suspects of the quarantined combinations of parts, sorted by
// fingerprint.
func (r *Register) PartEntries() []PartSuspect {
	members := make(map[Fingerprint]PartSuspect)
	for _, c := range r.verdicts.Load().parts {
		for _, member := range c.all() {
			if s, held := r.parts.get(member.Part.Fingerprint); held {
				members[s.Part.Fingerprint] = s
			}
		}
	}
	return slices.SortedFunc(maps.Values(members), func(a, b PartSuspect) int {
		return slices.Compare(a.Part.Fingerprint[:], b.Part.Fingerprint[:])
	})
}

func (r *Register) get(f Fingerprint) (Suspect, bool) {
	return r.shared.Suspects().Get(string(f[:]))
}

// Refresh applies changes received from other daemons, and evaluates the suspects
// again if anything changed.
func (r *Register) Refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.changes.Take()
	for i := range changed {
		r.histories.update(changed[i].Fingerprint, changed[i].Cleared, changed[i].Crashes)
	}
	r.clearCompleted(now, changed)
	if partsChanged := r.parts.refresh(now); partsChanged || len(changed) > 0 {
		r.reevaluate()
	}
}

// clearCompleted clears suspects that this daemon has seen complete; r.mu is held.
func (r *Register) clearCompleted(now time.Time, changed []Suspect) {
	for _, s := range changed {
		if len(s.Crashes) > 0 && r.completed.has(now, s.Fingerprint) {
			s.Cleared++
			s.Crashes, s.UpdatedAt = nil, now
			r.shared.PutSuspect(s)
		}
	}
}

// reevaluate replaces what is quarantined; r.mu is held.
func (r *Register) reevaluate() {
	suspects := slices.Collect(r.shared.Suspects().All())
	combinations := EvaluateParts(r.parts.all(), withVerdict(suspects, Evaluate(suspects)))
	before := r.verdicts.Load()
	next := &verdicts{requests: make(map[Fingerprint]struct{}), parts: make(map[Fingerprint]*Combination), revision: before.revision}
	for _, f := range Evaluate(withoutCrashesOf(suspects, combinations)) {
		next.requests[f] = struct{}{}
	}
	for i := range combinations {
		c := &combinations[i]
		next.parts[c.Lead.Part.Fingerprint] = c
	}
	if !next.equals(before) {
		next.revision++
	}
	r.verdicts.Store(next)
	r.reportRequests(suspects, before, next)
	r.reportParts(before, next)
}

// withVerdict returns the suspects with the given fingerprints.
func withVerdict(suspects []Suspect, quarantined []Fingerprint) []Suspect {
	var out []Suspect
	for _, s := range suspects {
		if slices.Contains(quarantined, s.Fingerprint) {
			out = append(out, s)
		}
	}
	return out
}

// withoutCrashesOf returns the suspects without the crashes that combinations of parts
// explain.
func withoutCrashesOf(suspects []Suspect, combinations []Combination) []Suspect {
	if len(combinations) == 0 {
		return suspects
	}
	out := slices.Clone(suspects)
	for i := range out {
		out[i].Crashes = slices.DeleteFunc(slices.Clone(out[i].Crashes), func(id CrashID) bool {
			return slices.ContainsFunc(combinations, func(c Combination) bool { return c.Lead.hasCrash(id) })
		})
	}
	return out
}

// equals reports whether the same requests and parts are quarantined.
func (v *verdicts) equals(other *verdicts) bool {
	return maps.Equal(v.requests, other.requests) && maps.EqualFunc(v.parts, other.parts, func(a, b *Combination) bool {
		return slices.Equal(a.partIDs(), b.partIDs())
	})
}

// partIDs returns the ids of the parts, that of Lead first.
func (c *Combination) partIDs() []uint64 {
	var out []uint64
	for _, s := range c.all() {
		out = append(out, s.Part.ID)
	}
	slices.Sort(out[1:])
	return out
}

func (r *Register) reportRequests(suspects []Suspect, before, next *verdicts) {
	for i := range suspects {
		f := suspects[i].Fingerprint
		_, was := before.requests[f]
		_, is := next.requests[f]
		c := Change{Fingerprint: f, Crashes: len(suspects[i].Crashes)}
		switch {
		case is && !was:
			c.Verdict, c.Reason = Quarantined, "endpoints crash whenever it runs"
		case was && !is:
			c.Verdict, c.Reason = Released, "other requests explain the crashes, or it has run to its end"
		default:
			continue
		}
		r.onChange(c)
	}
}

func (r *Register) reportParts(before, next *verdicts) {
	report := func(c *Combination, verdict Verdict, reason string) {
		r.onChange(Change{
			Fingerprint: c.Lead.Part.Fingerprint, Organisation: c.Lead.Organisation, Parts: c.partIDs(),
			Verdict: verdict, Crashes: len(c.Lead.Crashes), Reason: reason,
		})
	}
	for f, c := range next.parts {
		if was := before.parts[f]; was == nil || !slices.Equal(was.partIDs(), c.partIDs()) {
			report(c, Quarantined, "endpoints crash whenever they run a prompt with all of these parts")
		}
	}
	for f, c := range before.parts {
		if next.parts[f] == nil {
			report(c, Released, "other parts explain the crashes, or a request with it has run to its end")
		}
	}
}

// Tick drops suspects that are too old or exceed maxSuspects; call it about once a
// second.
func (r *Register) Tick(now time.Time) {
	table := r.shared.Suspects()
	all := slices.Collect(table.All())
	slices.SortFunc(all, compareRetention)
	removed := false
	for i := range all {
		if i < maxSuspects && now.Sub(all[i].UpdatedAt) < SuspectRetention {
			continue
		}
		table.Remove(string(all[i].Fingerprint[:]))
		removed = true
		if _, quarantined := r.verdicts.Load().requests[all[i].Fingerprint]; quarantined {
			r.onChange(Change{Fingerprint: all[i].Fingerprint, Verdict: Forgotten, Crashes: len(all[i].Crashes), Reason: "nothing was heard of it for long"})
		}
	}
	r.Refresh(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	partsRemoved := r.parts.expire(now)
	if removed {
		maps.DeleteFunc(r.histories, func(f Fingerprint, _ *crashHistory) bool {
			_, held := r.get(f)
			return !held
		})
	}
	if removed || partsRemoved {
		r.reevaluate()
	}
}

// compareRetention sorts the suspects with the most crashes first; those at the end
// are dropped when there are too many. The order is total, so that all daemons drop
// the same ones.
func compareRetention(a, b Suspect) int {
	if c := len(b.Crashes) - len(a.Crashes); c != 0 {
		return c
	}
	return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
}
