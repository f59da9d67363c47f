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
