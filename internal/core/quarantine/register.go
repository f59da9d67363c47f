package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
)

// Bounds of what is remembered.
const (
	// Memory is how long a suspect is remembered after the last that was heard
	// of it.
	Memory = 10 * time.Minute
	// forgotten is the age from which on others' word of a suspect is not taken:
	// daemons forget one at slightly different moments, and would else go on
	// reminding each other.
	forgotten = Memory - 30*time.Second
	// renewEvery is the least time between two renewals of a request that is
	// still being sent.
	renewEvery = Memory / 4
	// maxSuspects bounds the suspects of all organisations.
	maxSuspects = 4096
)

// Acceptable reports whether another daemon's word of that age is taken.
func Acceptable(age time.Duration) bool { return age < forgotten }

// Spread is the state that daemons share.
type Spread interface {
	Suspects() *spread.Table[Suspect]
	// PutSuspect joins an entry into the table and passes it on.
	PutSuspect(s Suspect) bool
}

// Verdict is a change of what a daemon holds of a request.
type Verdict string

// The verdicts.
const (
	// Suspected: an endpoint crashed while the request ran.
	Suspected Verdict = "suspect"
	// Cleared: nothing is held against it any more.
	Cleared Verdict = "clear"
	// Quarantined: the request is not sent any more.
	Quarantined Verdict = "quarantine"
	// Released: it is sent again.
	Released Verdict = "release"
	// Forgotten: the memory of it has ended.
	Forgotten Verdict = "forget"
)

// Change is one change of belief, for the log.
type Change struct {
	Fingerprint Fingerprint
	Verdict     Verdict
	// Crashes is their number since the request was cleared last.
	Crashes int
	Reason  string
}

// Register is what one daemon knows of requests that crash endpoints. It is
// safe for concurrent use.
type Register struct {
	spread    Spread
	note      func(Change)
	completed completed
	// quarantined is replaced whole: it is read for each request.
	quarantined atomic.Pointer[map[Fingerprint]struct{}]

	mu      sync.Mutex
	changes *spread.Changes[Suspect]
}

// NewRegister returns a register over shared state. Note is told of each change
// of belief.
func NewRegister(s Spread, note func(Change)) *Register {
	r := &Register{spread: s, note: note, changes: s.Suspects().Follow()}
	r.quarantined.Store(&map[Fingerprint]struct{}{})
	return r
}

// Any reports whether any request is quarantined.
func (r *Register) Any() bool { return len(*r.quarantined.Load()) > 0 }

// Quarantined reports whether the request is not to be sent, and for how long it
// will be remembered if it isn't sent again.
func (r *Register) Quarantined(now time.Time, f Fingerprint) (left time.Duration, quarantined bool) {
	if _, quarantined = (*r.quarantined.Load())[f]; !quarantined {
		return 0, false
	}
	s, held := r.get(f)
	if !held {
		return 0, false
	}
	if now.Sub(s.Heard) >= renewEvery {
		s.Renewals++
		s.Heard = now
		r.spread.PutSuspect(s)
	}
	return max(0, Memory-now.Sub(s.Heard)), true
}

// Completed takes the end of a run at an endpoint that outlived it.
func (r *Register) Completed(now time.Time, f Fingerprint) {
	r.completed.add(now, f)
	r.clear(now, f, "it ran to its end")
}

// Release clears requests by an operator's order, of the crashes that he has
// seen.
func (r *Register) Release(now time.Time, released []Suspect) {
	for _, s := range released {
		known, held := r.get(s.Fingerprint)
		unseen := func(c CrashID) bool { return !slices.Contains(s.Crashes, c) }
		if held && !slices.ContainsFunc(known.Crashes, unseen) {
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
	s.Crashes, s.Heard = nil, now
	if r.spread.PutSuspect(s) {
		r.note(Change{Fingerprint: f, Verdict: Cleared, Crashes: crashes, Reason: reason})
	}
	r.Refresh(now)
}

// Crashed takes the requests that ran at an endpoint when it ended.
func (r *Register) Crashed(now time.Time, crash CrashID, ran []Fingerprint) {
	for _, f := range ran {
		if r.completed.has(now, f) {
			continue
		}
		s, held := r.get(f)
		if !held {
			s = Suspect{Fingerprint: f}
		}
		s.Crashes, s.Heard = Union(s.Crashes, []CrashID{crash}), now
		if r.spread.PutSuspect(s) {
			r.note(Change{Fingerprint: f, Verdict: Suspected, Crashes: len(s.Crashes), Reason: "an endpoint crashed while it ran"})
		}
	}
	r.Refresh(now)
}

// Restore takes suspects that were kept elsewhere.
func (r *Register) Restore(now time.Time, kept []Suspect) {
	for _, s := range kept {
		s.Heard = now
		r.spread.PutSuspect(s)
	}
	r.Refresh(now)
}

// Entries lists the suspects that are quarantined, by fingerprint.
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
	return r.spread.Suspects().Get(string(f[:]))
}

// Refresh takes in what other daemons have told, and judges anew where anything
// has changed.
func (r *Register) Refresh(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := r.changes.Take()
	if len(changed) == 0 {
		return
	}
	r.clearCompleted(now, changed)
	r.judge()
}

// clearCompleted clears those that this daemon has seen run to their end; r.mu
// is held.
func (r *Register) clearCompleted(now time.Time, changed []Suspect) {
	for _, s := range changed {
		if len(s.Crashes) > 0 && r.completed.has(now, s.Fingerprint) {
			s.Cleared++
			s.Crashes, s.Heard = nil, now
			r.spread.PutSuspect(s)
		}
	}
}

// judge replaces the verdicts; r.mu is held.
func (r *Register) judge() {
	all := slices.Collect(r.spread.Suspects().All())
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
		r.note(c)
	}
}

// Tick forgets what is too old or too much; call it about once a second.
func (r *Register) Tick(now time.Time) {
	table := r.spread.Suspects()
	all := slices.Collect(table.All())
	slices.SortFunc(all, moreOf)
	removed := false
	for i := range all {
		if i < maxSuspects && now.Sub(all[i].Heard) < Memory {
			continue
		}
		table.Remove(string(all[i].Fingerprint[:]))
		removed = true
		if _, quarantined := (*r.quarantined.Load())[all[i].Fingerprint]; quarantined {
			r.note(Change{Fingerprint: all[i].Fingerprint, Verdict: Forgotten, Crashes: len(all[i].Crashes), Reason: "nothing was heard of it for long"})
		}
	}
	r.Refresh(now)
	if removed {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.judge()
	}
}

// moreOf puts those first that must not be forgotten for want of room. All
// daemons drop the same ones.
func moreOf(a, b Suspect) int {
	if c := len(b.Crashes) - len(a.Crashes); c != 0 {
		return c
	}
	return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
}
