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
}

// Verdict is a change in what a daemon holds against a request.
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
	Fingerprint Fingerprint
	Verdict     Verdict
	// Crashes is the number of crashes since the request was last cleared.
	Crashes int
	Reason  string
}

// Register holds what one daemon knows of requests that crash endpoints. It is safe
// for concurrent use.
type Register struct {
	shared    SharedState
	onChange  func(Change)
	completed completed
	// quarantined is replaced as a whole, as every request reads it.
	quarantined atomic.Pointer[map[Fingerprint]struct{}]

	mu        sync.Mutex
	changes   *spread.Changes[Suspect]
	histories histories
}

// NewRegister returns a register over shared state. It calls onChange for each
// change of verdict.
func NewRegister(s SharedState, onChange func(Change)) *Register {
	r := &Register{shared: s, onChange: onChange, changes: s.Suspects().Follow(), histories: make(histories)}
	r.quarantined.Store(&map[Fingerprint]struct{}{})
	return r
}

// Any reports whether any request is quarantined.
func (r *Register) Any() bool { return len(*r.quarantined.Load()) > 0 }

// Quarantined reports whether the request is quarantined, and for how long it will
// be remembered if it isn't sent again.
func (r *Register) Quarantined(now time.Time, f Fingerprint) (remaining time.Duration, quarantined bool) {
	if _, quarantined = (*r.quarantined.Load())[f]; !quarantined {
		return 0, false
	}
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
func (r *Register) Completed(now time.Time, f Fingerprint) {
	r.completed.add(now, f)
	r.clear(now, f, "it ran to its end")
}

// Release clears requests on an operator's order. A request with crashes that the
// operator has not seen is not cleared.
func (r *Register) Release(now time.Time, released []Suspect) {
	for _, s := range released {
		current, held := r.get(s.Fingerprint)
		unseen := func(c CrashID) bool { return !slices.Contains(s.Crashes, c) }
		if held && !slices.ContainsFunc(current.Crashes, unseen) {
			r.clear(now, s.Fingerprint, "released by an operator")
		}
	}
}

func (r *Register) clear(now time.Time, f Fingerprint, reason string) {
	s, held := r.get(f)
	if !held || len(s.Crashes) == 0 {
		return
	}
	crashes := len(s.Crashes)
	s.Cleared++
	s.Crashes, s.UpdatedAt = nil, now
	if r.shared.PutSuspect(s) {
		r.onChange(Change{Fingerprint: f, Verdict: Cleared, Crashes: crashes, Reason: reason})
	}
	r.Refresh(now)
}

// Crashed records that an endpoint ended while it ran the given requests.
func (r *Register) Crashed(now time.Time, crash CrashID, running []Fingerprint) {
	r.Refresh(now)
	for _, f := range running {
		if r.completed.has(now, f) || r.isDiscarded(f, crash) {
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
	r.Refresh(now)
}

func (r *Register) isDiscarded(f Fingerprint, c CrashID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.histories.isDiscarded(f, c)
}

// Restore adds suspects from persistent storage.
func (r *Register) Restore(now time.Time, suspects []Suspect) {
	for _, s := range suspects {
		s.UpdatedAt = now
		r.shared.PutSuspect(s)
	}
	r.Refresh(now)
}

// Entries returns the quarantined suspects, sorted by fingerprint.
func (r *Register) Entries() []Suspect {
	var out []Suspect
	for f := range *r.quarantined.Load() {
		if s, held := r.get(f); held {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Suspect) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return out
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
	if len(changed) == 0 {
		return
	}
	for i := range changed {
		r.histories.update(&changed[i])
	}
	r.clearCompleted(now, changed)
	r.reevaluate()
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

// reevaluate replaces the set of quarantined requests; r.mu is held.
func (r *Register) reevaluate() {
	all := slices.Collect(r.shared.Suspects().All())
	before, next := *r.quarantined.Load(), make(map[Fingerprint]struct{})
	for _, f := range Evaluate(all) {
		next[f] = struct{}{}
	}
	r.quarantined.Store(&next)
	for i := range all {
		f := all[i].Fingerprint
		_, was := before[f]
		_, is := next[f]
		c := Change{Fingerprint: f, Crashes: len(all[i].Crashes)}
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
		if _, quarantined := (*r.quarantined.Load())[all[i].Fingerprint]; quarantined {
			r.onChange(Change{Fingerprint: all[i].Fingerprint, Verdict: Forgotten, Crashes: len(all[i].Crashes), Reason: "nothing was heard of it for long"})
		}
	}
	r.Refresh(now)
	if removed {
		r.mu.Lock()
		defer r.mu.Unlock()
		maps.DeleteFunc(r.histories, func(f Fingerprint, _ *crashHistory) bool {
			_, held := r.get(f)
			return !held
		})
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
