package lease

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var terms = Terms{Duration: 15 * time.Second, Margin: time.Second, OrderTimeout: 4 * time.Second}

var start = time.Unix(1_800_000_000, 0)

// acquiredLease returns a lease that daemon "a" has just acquired as version 1.
func acquiredLease(t *testing.T, now time.Time) *Lease {
	t.Helper()
	l := New(terms, "a", "1")
	l.Observe(now, 0, nil)
	w := l.Next(now, true)
	if w.Action != ActionAcquire {
		t.Fatalf("got %+v", w)
	}
	l.RecordWrite(now, now, &w, 1)
	return l
}

func TestTermsMustAllowAnOrder(t *testing.T) {
	if err := terms.Validate(); err != nil {
		t.Fatal(err)
	}
	short := Terms{Duration: 6 * time.Second, Margin: time.Second, OrderTimeout: 4 * time.Second}
	if short.Validate() == nil {
		t.Fatal("terms without enough time for an order were accepted")
	}
}

func TestRenewsAfterAThird(t *testing.T) {
	l := acquiredLease(t, start)
	if w := l.Next(start.Add(4*time.Second), true); w.Action != ActionNone {
		t.Fatalf("got %+v", w)
	}
	w := l.Next(start.Add(5*time.Second), true)
	if w.Action != ActionRenew || w.Expect != 1 || w.Record.Fence != 1 {
		t.Fatalf("got %+v", w)
	}
	l.RecordWrite(start.Add(5*time.Second), start.Add(6*time.Second), &w, 2)
	if !l.Holds(start.Add(19*time.Second)) || l.Holds(start.Add(20*time.Second)) {
		t.Fatal("the renewed lease is not valid for its duration from when the renewal was sent")
	}
	if l.Fence() != 1 {
		t.Fatalf("the fence is %d after a renewal, want 1", l.Fence())
	}
}

// An order must end before the lease does. Otherwise the first order of the next
// holder could overtake it.
func TestNoOrderThatCouldOutlastTheLease(t *testing.T) {
	l := acquiredLease(t, start)
	if got := l.OrderRefusal(start.Add(9*time.Second), true); got != RefusalNone {
		t.Fatalf("got %q", got)
	}
	if got := l.OrderRefusal(start.Add(11*time.Second), true); got != RefusalTooShort {
		t.Fatalf("got %q", got)
	}
	if got := l.OrderRefusal(start.Add(15*time.Second), true); got != RefusalNotHeld {
		t.Fatalf("got %q", got)
	}
}

// A holder that was suspended for a minute still has the lease in its state. By its
// monotonic clock the lease is no longer valid.
func TestSuspendedHolderMayNotOrder(t *testing.T) {
	l := acquiredLease(t, start)
	if l.OrderRefusal(start.Add(time.Minute), true) != RefusalNotHeld {
		t.Fatal("a holder may order after it was suspended for longer than its lease")
	}
}

// A renewal whose reply arrives after the lease has run out at its holder does not
// restore the lease, as other daemons may have found it expired.
func TestLateRenewalDoesNotRestoreLease(t *testing.T) {
	l := acquiredLease(t, start)
	w := l.Next(start.Add(5*time.Second), true)
	l.RecordWrite(start.Add(5*time.Second), start.Add(16*time.Second), &w, 2)
	if l.Holds(start.Add(17 * time.Second)) {
		t.Fatal("a late renewal restored the lease")
	}
}

// A candidate acquires a lease only after it has been unchanged for its duration and
// the margin by the candidate's own clock.
func TestCandidateWaitsForUnchangedLease(t *testing.T) {
	rec := Record{FormatVersion: 1, Holder: "b", Session: "1", Renewal: 1, DurationMillis: 15000}
	l := New(terms, "a", "1")
	if l.Next(start, true).Action != ActionNone {
		t.Fatal("acquired a lease that it has not read")
	}
	l.Observe(start, 1, &rec)
	if l.Next(start.Add(15*time.Second), true).Action != ActionNone {
		t.Fatal("acquired the lease before the end of the margin")
	}
	renewed := rec
	renewed.Renewal = 2
	l.Observe(start.Add(15*time.Second), 2, &renewed)
	l.Observe(start.Add(17*time.Second), 1, &rec)
	if l.Next(start.Add(17*time.Second), true).Action != ActionNone {
		t.Fatal("acquired the lease although it was renewed")
	}
	if l.Next(start.Add(31*time.Second), false).Action != ActionNone {
		t.Fatal("acquired the lease without needing it")
	}
	w := l.Next(start.Add(31*time.Second), true)
	if w.Action != ActionAcquire || w.Expect != 2 {
		t.Fatalf("got %+v", w)
	}
}

// The last order of the former holder may still be in transit. Endpoints that check
// fencing numbers refuse it themselves; for the others the new holder waits.
func TestSuccessorWaitsForEndpointsThatDoNotFence(t *testing.T) {
	rec := Record{FormatVersion: 1, Holder: "b", Session: "1", Renewal: 1, DurationMillis: 15000}
	l := New(terms, "a", "1")
	l.Observe(start, 1, &rec)
	now := start.Add(16 * time.Second)
	w := l.Next(now, true)
	l.RecordWrite(now, now, &w, 2)
	if got := l.OrderRefusal(now, true); got != RefusalNone {
		t.Fatalf("endpoint that checks fencing numbers: got %q", got)
	}
	if got := l.OrderRefusal(now.Add(4*time.Second), false); got != RefusalFormerHolder {
		t.Fatalf("got %q", got)
	}
	if got := l.OrderRefusal(now.Add(5*time.Second), false); got != RefusalNone {
		t.Fatalf("got %q", got)
	}
}

func TestReleasedLeaseIsAcquiredAtOnce(t *testing.T) {
	rec := Record{FormatVersion: 1, Holder: "b", Session: "1", Renewal: 9, DurationMillis: 15000, Released: true}
	l := New(terms, "a", "1")
	l.Observe(start, 7, &rec)
	w := l.Next(start, true)
	if w.Action != ActionAcquire || w.Expect != 7 {
		t.Fatalf("got %+v", w)
	}
	l.RecordWrite(start, start, &w, 8)
	if got := l.OrderRefusal(start, true); got != RefusalNone {
		t.Fatalf("got %q", got)
	}
	// The former holder may have abandoned an order just before.
	if got := l.OrderRefusal(start, false); got != RefusalFormerHolder {
		t.Fatalf("got %q", got)
	}
}

// The next holder may order as soon as a release has taken effect. The daemon that
// sends a release must not order any more, even if the reply is lost.
func TestReleaseEndsLeaseBeforeReply(t *testing.T) {
	l := acquiredLease(t, start)
	if w := l.Next(start, false); w.Action != ActionRelease {
		t.Fatalf("got %+v", w)
	}
	if l.OrderRefusal(start, true) != RefusalNotHeld {
		t.Fatal("orders are allowed after a release was sent")
	}
}

// A daemon whose clock runs too slowly for the margin stops when it reads that another
// daemon holds the lease, also if its own lease is still valid by its clock.
func TestStopsWhenAnotherHolderIsSeen(t *testing.T) {
	l := acquiredLease(t, start)
	l.Observe(start.Add(time.Second), 2, &Record{FormatVersion: 1, Holder: "b", Session: "1", Renewal: 1, DurationMillis: 15000})
	if l.OrderRefusal(start.Add(time.Second), true) != RefusalNotHeld {
		t.Fatal("orders are allowed although another daemon holds the lease")
	}
}

// A daemon that restarts under the same name is a different holder than its previous
// process.
func TestRestartedDaemonIsDifferentHolder(t *testing.T) {
	rec := Record{FormatVersion: 1, Holder: "a", Session: "0", Renewal: 1, DurationMillis: 15000}
	l := New(terms, "a", "1")
	l.Observe(start, 1, &rec)
	if l.Next(start, true).Action != ActionNone {
		t.Fatal("acquired the unexpired lease of its previous process")
	}
}

func TestDecode(t *testing.T) {
	if _, err := Decode([]byte(`{"format_version":2}`)); !errors.Is(err, ErrNewerFormat) {
		t.Fatalf("got %v", err)
	}
	for _, raw := range []string{``, `[]`, `{"duration_ms":-1}`, `{"duration_ms":99999999999}`} {
		if _, err := Decode([]byte(raw)); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: got %v", raw, err)
		}
	}
}

// FuzzDecode checks that no bytes from the platform cause a panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"format_version":1,"holder":"a","session":"1","renewal":3,"duration_ms":15000,"fence":7}`))
	f.Add([]byte(`{"released":true}`))
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = Decode(raw) })
}

// storedLease is the stored lease and its version.
type storedLease struct {
	version uint64
	rec     *Record
}

// order is an order that is in progress, or abandoned and still in transit.
type order struct {
	fence  uint64
	holder int
	sent   time.Time
}

// simulation runs several daemons, each with a clock of its own rate, with one stored
// lease and two endpoints: one that checks fencing numbers and one that ignores them.
type simulation struct {
	t       *rapid.T
	now     time.Time
	stored  storedLease
	daemons []*daemon

	// executed are the fences of the orders in the sequence in which the endpoint
	// that ignores fencing numbers executed them.
	executed   []uint64
	pending    []order
	lateWrites []lateWrite
}

type daemon struct {
	lease  *Lease
	rate   float64
	origin time.Time
	frozen bool
}

type lateWrite struct {
	expect uint64
	rec    Record
}

func (d *daemon) clock(now time.Time) time.Time {
	return d.origin.Add(time.Duration(float64(now.Sub(start)) * d.rate))
}

// Daemons acquire and renew the lease, are suspended and resumed, lose replies, have
// delayed writes, and clocks whose rates differ by up to 2 %. At most one daemon may
// order at a time, and the endpoint that ignores fencing numbers never executes an
// order with an older fence after one with a newer fence, provided that no pause
// between the check and the sending is longer than the margin.
func TestLeaseAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &simulation{t: rt, now: start}
		for i := range 3 {
			w.daemons = append(w.daemons, &daemon{
				lease:  New(terms, string(rune('a'+i)), "1"),
				rate:   rapid.Float64Range(0.99, 1.01).Draw(rt, "rate"),
				origin: start.Add(time.Duration(i) * time.Hour),
			})
		}
		for range 150 {
			w.step()
			w.check()
		}
	})
}

func (w *simulation) step() {
	d := rapid.IntRange(0, len(w.daemons)-1).Draw(w.t, "daemon")
	switch rapid.SampledFrom([]string{"pass", "pass", "read", "write", "write", "write", "lose", "late", "order", "order", "freeze", "wake", "deliver"}).Draw(w.t, "action") {
	case "pass":
		w.advance(time.Duration(rapid.IntRange(100, 6000).Draw(w.t, "ms")) * time.Millisecond)
	case "read":
		w.read(d)
	case "write":
		w.write(d, false)
	case "lose":
		w.write(d, true)
	case "late":
		w.applyLateWrites()
	case "order":
		w.order(d)
	case "freeze":
		w.daemons[d].frozen = true
	case "wake":
		w.daemons[d].frozen = false
	case "deliver":
		w.deliver()
	}
}

// maxOrderDelay is how long after its sending an order may be executed: its sender
// abandons it after the timeout, and its bytes may be in transit for another timeout.
const maxOrderDelay = 8 * time.Second

// advance advances the time. Each order is executed at most maxOrderDelay after it was
// sent.
func (w *simulation) advance(step time.Duration) {
	end := w.now.Add(step)
	for i := 0; i < len(w.pending); i++ {
		last := w.pending[i].sent.Add(maxOrderDelay)
		if last.Before(end) {
			w.execute(i)
			i--
		}
	}
	w.now = end
}

func (w *simulation) read(i int) {
	if d := w.daemons[i]; !d.frozen {
		d.lease.Observe(d.clock(w.now), w.stored.version, w.stored.rec)
	}
}

// write attempts the next write of the lease. If lose is set, the write takes effect
// now or possibly later, its reply is lost, and a read follows that may fail too.
func (w *simulation) write(i int, lose bool) {
	d := w.daemons[i]
	if d.frozen {
		return
	}
	sent := d.clock(w.now)
	needed := w.orderPending(i) || rapid.IntRange(0, 9).Draw(w.t, "want") > 0
	next := d.lease.Next(sent, needed)
	if next.Action == ActionNone {
		return
	}
	if lose && rapid.Bool().Draw(w.t, "late") {
		w.lateWrites = append(w.lateWrites, lateWrite{next.Expect, next.Record})
		w.handleLostReply(d, sent, &next)
		return
	}
	applied := w.compareAndSet(next.Expect, next.Record)
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 900).Draw(w.t, "reply ms")) * time.Millisecond)
	switch {
	case lose:
		w.handleLostReply(d, sent, &next)
	case applied:
		d.lease.RecordWrite(sent, d.clock(w.now), &next, w.stored.version)
	default:
		d.lease.Observe(d.clock(w.now), w.stored.version, w.stored.rec)
	}
}

func (w *simulation) handleLostReply(d *daemon, sent time.Time, next *Write) {
	if rapid.Bool().Draw(w.t, "read fails too") {
		return
	}
	now := d.clock(w.now)
	if w.stored.rec != nil && d.lease.IsResultOf(next, w.stored.rec) {
		d.lease.RecordWrite(sent, now, next, w.stored.version)
		return
	}
	d.lease.Observe(now, w.stored.version, w.stored.rec)
}

func (w *simulation) compareAndSet(expect uint64, rec Record) bool {
	if w.stored.version != expect {
		return false
	}
	w.stored = storedLease{w.stored.version + 1, &rec}
	return true
}

func (w *simulation) applyLateWrites() {
	for _, l := range w.lateWrites {
		w.compareAndSet(l.expect, l.rec)
	}
	w.lateWrites = nil
}

// orderPending reports whether the holder is waiting for the answer to an order.
func (w *simulation) orderPending(holder int) bool {
	for _, o := range w.pending {
		if o.holder == holder && w.now.Sub(o.sent) < terms.OrderTimeout {
			return true
		}
	}
	return false
}

func (w *simulation) order(i int) {
	d := w.daemons[i]
	if d.frozen || w.orderPending(i) || d.lease.OrderRefusal(d.clock(w.now), false) != RefusalNone {
		return
	}
	w.pending = append(w.pending, order{d.lease.Fence(), i, w.now})
}

func (w *simulation) deliver() {
	if len(w.pending) > 0 {
		w.execute(rapid.IntRange(0, len(w.pending)-1).Draw(w.t, "order"))
	}
}

func (w *simulation) execute(i int) {
	o := w.pending[i]
	w.pending = append(w.pending[:i:i], w.pending[i+1:]...)
	w.executed = append(w.executed, o.fence)
}

func (w *simulation) check() {
	permitted := 0
	for _, d := range w.daemons {
		if !d.frozen && d.lease.OrderRefusal(d.clock(w.now), true) == RefusalNone {
			permitted++
		}
	}
	if permitted > 1 {
		w.t.Fatalf("%d daemons may order at the same time", permitted)
	}
	for i := 1; i < len(w.executed); i++ {
		if w.executed[i] < w.executed[i-1] {
			w.t.Fatalf("an order with fence %d was executed after one with fence %d", w.executed[i], w.executed[i-1])
		}
	}
}
