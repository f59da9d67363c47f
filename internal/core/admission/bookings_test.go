package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a successor that refuses callers who return at the time that the former
// coordinator gave them, or that gives others the same time.
func TestAddedBookingsAreRedeemedAndFollowed(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var former, successor RetryBookings
	first := former.Book(now, 0, 1)
	second := former.Book(now, 0, 1)
	if n := successor.Add(now, former.Pending(now)); n != 2 {
		t.Fatalf("%d bookings added, want 2", n)
	}
	if successor.Redeem(now.Add(first - time.Millisecond)) {
		t.Fatal("a booking was redeemed before it was due")
	}
	if next := successor.Book(now, 0, 1); next <= second {
		t.Fatalf("the next booking is due after %v, want after %v", next, second)
	}
	if !successor.Redeem(now.Add(first)) {
		t.Fatal("the booking was not redeemed at its time")
	}
}

// Guards against bookings of other daemons that never expire, that exceed the maximum
// number or that push the following bookings beyond the maximum wait.
func TestAddedBookingsAreBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var b RetryBookings
	outside := []time.Time{now.Add(-promiseGrace - time.Millisecond), now.Add(maxRetryAfter + time.Second)}
	if n := b.Add(now, outside); n != 0 {
		t.Fatalf("%d bookings out of range were added", n)
	}
	many := make([]time.Time, 2*maxPromises)
	for i := range many {
		many[i] = now.Add(time.Duration(i) * 100 * time.Millisecond)
	}
	if n := b.Add(now, many); n != maxPromises || len(b.pending) != maxPromises {
		t.Fatalf("%d bookings added, %d pending, want %d", n, len(b.pending), maxPromises)
	}
	if wait := b.Book(now, 0, 1); wait > maxRetryAfter {
		t.Fatalf("the next booking is due after %v", wait)
	}
}

// Guards against bookings that multiply when a message is applied again or passed back
// to its origin: the second time, a shift below the tolerance must add nothing.
func TestAddingBookingsTwiceChangesNothingMore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) []time.Time {
			return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) time.Time {
				return now.Add(time.Duration(rapid.IntRange(-12_000, 700_000).Draw(t, "due")) * time.Millisecond)
			}), 0, 30).Draw(t, name)
		}
		var b RetryBookings
		b.Add(now, draw("own"))
		theirs := draw("theirs")
		b.Add(now, theirs)
		before := b.Pending(now)
		if n := b.Add(now, theirs); n != 0 || !slices.Equal(before, b.Pending(now)) {
			t.Fatalf("%d bookings added the second time", n)
		}
		shift := time.Duration(rapid.IntRange(0, 400).Draw(t, "shift")) * time.Millisecond
		shifted := slices.Clone(before)
		for i := range shifted {
			shifted[i] = shifted[i].Add(shift)
		}
		if n := b.Add(now, shifted); n != 0 {
			t.Fatalf("%d bookings added after a shift of %v", n, shift)
		}
	})
}
