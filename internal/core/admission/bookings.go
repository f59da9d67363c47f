package admission

import (
	"slices"
	"time"
)

// sameBooking is the difference in due time up to which a booking that is added counts
// as one that is known already. Bookings are passed on as times until due, so a message
// shifts them by its transit time.
const sameBooking = 500 * time.Millisecond

// Pending returns the due times of the bookings that nobody has used yet, earliest
// first. Those that are past their due time, but within the grace period, are included.
func (p *RetryBookings) Pending(now time.Time) []time.Time {
	p.dropExpired(now)
	var due []time.Time
	for i := range p.pending {
		if p.pending[i].usesLeft == maxRedemptions {
			due = append(due, p.pending[i].due)
		}
	}
	slices.SortFunc(due, time.Time.Compare)
	return due
}

// Add adds the bookings of another RetryBookings with the given due times and returns
// how many it added. It leaves out those that are known already, that are past their
// grace period or later than any wait that Book returns, and those beyond the maximum
// number. Each known booking stands for one added booking at most.
func (p *RetryBookings) Add(now time.Time, due []time.Time) int {
	p.dropExpired(now)
	known := make([]time.Time, len(p.pending))
	for i := range p.pending {
		known[i] = p.pending[i].due
	}
	slices.SortFunc(known, time.Time.Compare)
	due = slices.Clone(due)
	slices.SortFunc(due, time.Time.Compare)
	added, next := 0, 0
	for _, d := range due {
		if d.Add(promiseGrace).Before(now) || d.Sub(now) > maxRetryAfter {
			continue
		}
		for next < len(known) && d.Sub(known[next]) > sameBooking {
			next++
		}
		if next < len(known) && known[next].Sub(d) <= sameBooking {
			next++
			continue
		}
		if len(p.pending) >= maxPromises {
			break
		}
		p.pending = append(p.pending, promise{due: d, usesLeft: maxRedemptions})
		if d.After(p.lastDue) {
			p.lastDue = d
		}
		added++
	}
	return added
}
