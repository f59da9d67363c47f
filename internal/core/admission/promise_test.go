package admission

import (
	"testing"
	"time"
)

// Guards against a repetition that gets an earlier booking: the first one was made without a
// known rate, the rate became known, and the next one would be due in a second.
func TestRepetitionKeepsItsBooking(t *testing.T) {
	var b RetryBookings
	now := at(0)
	wait, _ := b.BookOnce(now, "a", 3, 0)
	due := now.Add(wait)
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		wait, repeated := b.BookOnce(now, "a", 0, 100)
		if again := now.Add(wait); !repeated || again.Before(due) || again.Sub(due) >= retryAfterUnit {
			t.Fatalf("repeated at %v: due at %v (repeated %v), want %v", now, again, repeated, due)
		}
	}
	if n := len(b.pending); n != 1 {
		t.Errorf("%d bookings, want 1", n)
	}
	if !b.Redeem(due) {
		t.Error("the booking is not redeemed at its time")
	}
	if _, repeated := b.BookOnce(due, "a", 0, 100); repeated || len(b.pending) != 2 {
		t.Errorf("a request that is refused again at its time has %d bookings (repeated %v), want a new one", len(b.pending), repeated)
	}
}

// Guards against a repetition that goes before others by a booking that isn't its own or that
// it has used, while its own isn't due, and against a request without a booking that gets none.
func TestEarlyRepetitionRedeemsNoBooking(t *testing.T) {
	var b RetryBookings
	now := at(0)
	wait, _ := b.BookOnce(now, "a", 0, 1)
	dueA := now.Add(wait)
	wait, _ = b.BookOnce(now, "b", 0, 1)
	dueB := now.Add(wait)
	if !dueA.Before(dueB) {
		t.Fatalf("due at %v and %v, want b later", dueA, dueB)
	}
	if b.RedeemOwn(dueA, "b") {
		t.Error("b redeems the booking of a")
	}
	if !b.RedeemOwn(dueA, "a") {
		t.Error("a doesn't redeem its booking")
	}
	if _, repeated := b.BookOnce(dueA, "a", 0, 1); repeated || b.RedeemOwn(dueA, "a") {
		t.Errorf("a, refused again at its time, redeems the same booking again (repeated %v)", repeated)
	}
	if !b.RedeemOwn(dueB, "b") {
		t.Error("b doesn't redeem its booking")
	}
	if !b.RedeemOwn(dueB, "c") {
		t.Error("a request without a booking redeems none")
	}
}

// Guards against the booking of one request that is given to another.
func TestRequestsGetBookingsOfTheirOwn(t *testing.T) {
	var b RetryBookings
	seen := map[time.Duration]bool{}
	for _, id := range []string{"a", "b", "c"} {
		wait, _ := b.BookOnce(at(0), id, 0, 1)
		seen[wait] = true
	}
	if len(seen) != 3 {
		t.Errorf("%d distinct retry times for 3 requests", len(seen))
	}
}
