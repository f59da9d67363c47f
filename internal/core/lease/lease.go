package lease

import (
	"time"

	"github.com/ansel1/merry/v2"
)

// maxDuration is the maximum duration of a stored lease. It prevents a corrupt lease
// from blocking its shard indefinitely.
const maxDuration = time.Hour

// Terms are the time parameters of a lease.
type Terms struct {
	// Duration is how long a lease is valid without a renewal.
	Duration time.Duration
	// Margin allows for the difference between the clock rates of two hosts, and
	// for a pause between a check of the lease and the sending of an order.
	Margin time.Duration
	// OrderTimeout is the maximum duration of an order.
	OrderTimeout time.Duration
}

// Validate returns an error if the terms are invalid.
func (t *Terms) Validate() error {
	if t.Margin <= 0 || t.OrderTimeout <= 0 || t.Duration > maxDuration {
		return merry.New("lease: margin and order timeout must be positive, the duration at most an hour")
	}
	// A lease is renewed after a third of its duration. The remaining two thirds
	// must be long enough for an order.
	if t.Duration*2/3 <= t.OrderTimeout+t.Margin {
		return merry.Errorf("lease: two thirds of the duration must be longer than the sum of order timeout and margin, %s", t.OrderTimeout+t.Margin)
	}
	return nil
}

// Action is the kind of the next write of a holder or candidate.
type Action int

// The kinds of writes.
const (
	ActionNone Action = iota
	ActionAcquire
	ActionRenew
	ActionRelease
)

// Write is a compare-and-set to be attempted.
type Write struct {
	Action Action
	// Expect is the version that the stored lease must have; zero if it must not
	// exist.
	Expect uint64
	Record Record
}

// Lease is the view that one daemon has of one stored lease. It is not safe for
// concurrent use.
type Lease struct {
	terms   Terms
	holder  string
	session string

	// The last known state of the stored lease, and since when it is unchanged.
	lastSeen       *Record
	version        uint64
	unchangedSince time.Time
	observed       bool

	// The lease as held by this daemon.
	held       bool
	fence      uint64
	validUntil time.Time
	acquired   time.Time
	// hadPredecessor: bytes of an order of a former holder may still be in
	// transit, also if it released the lease after abandoning that order.
	hadPredecessor bool
	renewal        uint64
}

// New returns a Lease without any knowledge of the stored lease.
func New(t Terms, holder, session string) *Lease {
	return &Lease{terms: t, holder: holder, session: session}
}

// Observe records the stored lease as read from the platform; rec is nil if it does
// not exist. A read of an older version than the last known one is ignored.
func (l *Lease) Observe(now time.Time, version uint64, rec *Record) {
	if l.observed && version < l.version {
		return
	}
	if l.observed && version == l.version {
		return
	}
	l.setLastSeen(now, version, rec)
	if l.held && !l.isOwn(rec) {
		// Another daemon holds the lease, so that it is lost even if it is still
		// valid by this daemon's clock.
		l.held = false
	}
}

func (l *Lease) setLastSeen(now time.Time, version uint64, rec *Record) {
	l.lastSeen, l.version, l.unchangedSince, l.observed = rec, version, now, true
}

func (l *Lease) isOwn(rec *Record) bool {
	return rec != nil && rec.Holder == l.holder && rec.Session == l.session
}

// Expired reports whether the stored lease may be acquired: it does not exist, was
// released, or has been unchanged for its duration and a margin by this daemon's own
// clock. The holder counts the duration from before it sent the write, and this daemon
// from after the write took effect, so that the holder stops first.
func (l *Lease) Expired(now time.Time) bool {
	switch {
	case !l.observed:
		return false
	case l.lastSeen == nil || l.lastSeen.Released:
		return true
	default:
		return now.Sub(l.unchangedSince) >= l.lastSeen.duration()+l.terms.Margin
	}
}

// ExpiredFor returns how long ago the lease expired, zero if it has not.
func (l *Lease) ExpiredFor(now time.Time) time.Duration {
	if !l.Expired(now) {
		return 0
	}
	if l.lastSeen == nil || l.lastSeen.Released {
		return now.Sub(l.unchangedSince)
	}
	return now.Sub(l.unchangedSince) - l.lastSeen.duration() - l.terms.Margin
}

// Next returns the write to attempt now. A candidate that needs the lease acquires it
// once it has expired. A holder renews it after a third of its duration; if it has
// run out, the holder acquires it again with a new fencing number. needed must be
// true while an order of this daemon is in progress.
func (l *Lease) Next(now time.Time, needed bool) Write {
	switch {
	case l.Holds(now) && !needed:
		// The lease ends before the write is sent. If the reply is lost, another
		// daemon may send orders at once, and this one must not.
		l.held = false
		return l.newWrite(ActionRelease)
	case l.Holds(now):
		if l.validUntil.Sub(now) > l.terms.Duration*2/3 {
			return Write{}
		}
		return l.newWrite(ActionRenew)
	case needed && l.observed && (l.Expired(now) || l.isOwn(l.lastSeen)):
		return l.newWrite(ActionAcquire)
	default:
		return Write{}
	}
}

// newWrite returns a write with a new renewal number, whether or not the previous one
// was attempted. If a number were reused, a write with a lost reply that took effect
// earlier could be mistaken for a recent one, and this daemon would consider the lease
// valid for longer than other daemons do.
func (l *Lease) newWrite(a Action) Write {
	l.renewal++
	rec := Record{
		FormatVersion: FormatVersion, Holder: l.holder, Session: l.session,
		Renewal: l.renewal, DurationMillis: l.terms.Duration.Milliseconds(),
		Released: a == ActionRelease,
	}
	if a != ActionAcquire {
		rec.Fence = l.fence
	}
	return Write{Action: a, Expect: l.version, Record: rec}
}

// RecordWrite records a write that took effect and returned the given version. sent is a
// time before the write was sent; the duration of the lease counts from it.
func (l *Lease) RecordWrite(sent, now time.Time, w *Write, version uint64) {
	hadPredecessor := l.lastSeen != nil
	l.setLastSeen(now, version, &w.Record)
	switch w.Action {
	case ActionAcquire:
		l.held, l.fence, l.acquired, l.hadPredecessor = true, version, now, hadPredecessor
		l.validUntil = sent.Add(l.terms.Duration)
	case ActionRenew:
		// A renewal whose reply arrives after the lease has run out does not
		// restore it: orders that were abandoned in between stay abandoned.
		if l.held && now.Before(l.validUntil) {
			l.validUntil = sent.Add(l.terms.Duration)
		} else {
			l.held = false
		}
	case ActionRelease:
		l.held = false
	}
}

// IsResultOf reports whether rec is the result of write w, whose reply was lost.
func (l *Lease) IsResultOf(w *Write, rec *Record) bool {
	return l.isOwn(rec) && rec.Renewal == w.Record.Renewal && rec.Released == w.Record.Released
}

// Holds reports whether this daemon holds the lease and it is valid by its own clock.
func (l *Lease) Holds(now time.Time) bool { return l.held && now.Before(l.validUntil) }

// Fence returns the fencing number, which is valid only while Holds is true.
func (l *Lease) Fence() uint64 { return l.fence }

// Refusal is the reason why no order may be sent.
type Refusal string

// The reasons why no order may be sent.
const (
	RefusalNone Refusal = ""
	// RefusalNotHeld: this daemon does not hold the lease.
	RefusalNotHeld Refusal = "lease_not_held"
	// RefusalTooShort: an order could take longer than the lease remains valid.
	RefusalTooShort Refusal = "lease_too_short"
	// RefusalFormerHolder: an order of the former holder could still arrive at
	// an endpoint that does not check fencing numbers.
	RefusalFormerHolder Refusal = "former_holder_may_be_heard"
)

// OrderRefusal returns RefusalNone if an order may be sent now. An order ends, answered or
// abandoned, before the lease does. A successor waits for another order timeout and
// margin before it sends an order to an endpoint that does not check fencing numbers,
// as bytes of the last order of its predecessor may still be in transit. One case is
// not covered: if a holder pauses for longer than the margin between this check and
// the sending of the order, such an endpoint may execute the order too late.
func (l *Lease) OrderRefusal(now time.Time, endpointFences bool) Refusal {
	if !l.Holds(now) {
		return RefusalNotHeld
	}
	orderTime := l.terms.OrderTimeout + l.terms.Margin
	if l.validUntil.Sub(now) < orderTime {
		return RefusalTooShort
	}
	if l.hadPredecessor && !endpointFences && now.Sub(l.acquired) < orderTime {
		return RefusalFormerHolder
	}
	return RefusalNone
}
