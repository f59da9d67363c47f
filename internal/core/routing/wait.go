package routing

import "time"

// expectedWait returns the time until the organisation's requests of this
// lane that are held, or have a retry booked within the limit, are served at
// its recent rate. It is zero if no rate is known.
func (s *shard) expectedWait(now time.Time, e *entry, limit time.Duration) time.Duration {
	ahead := s.queue.HeldFlow(e.org.name, e.item.Lane) + e.org.retryBookings[e.item.Lane].Booked(now, now.Add(limit))
	perSecond := s.serviceRate(now, e)
	if ahead < minOrganisationQueue || perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second))
}

// serviceRate returns the rate at which requests of the entry's organisation and lane
// are placed.
func (s *shard) serviceRate(now time.Time, e *entry) float64 {
	r := &e.org.rates[e.item.Lane]
	if s.kinds.differ {
		return r.readSinceStart(now)
	}
	return r.read(now)
}

// RepeatedEarly returns the number of refusals of requests that were repeated before their
// retry times.
func (s *Scheduler) RepeatedEarly() int64 { return s.repeatedEarly.Load() }

// bookRetry books a retry time for a refused request and returns the wait
// until then.
func (s *shard) bookRetry(now time.Time, e *entry) time.Duration {
	lane := e.item.Lane
	ahead := s.queue.HeldFlow(e.org.name, lane)
	if s.booksByRequest() {
		wait, repeated := e.org.retryBookings[lane].BookOnce(now, e.request.RequestID, ahead, s.serviceRate(now, e))
		if repeated {
			s.scheduler.repeatedEarly.Add(1)
		}
		return wait
	}
	return e.org.retryBookings[lane].Book(now, ahead, s.serviceRate(now, e))
}

// redeemRetry reports whether a request returns at a booked retry time, which it uses.
func (s *shard) redeemRetry(now time.Time, e *entry) bool {
	bookings := &e.org.retryBookings[e.item.Lane]
	if s.booksByRequest() {
		return bookings.RedeemOwn(now, e.request.RequestID)
	}
	return bookings.Redeem(now)
}

// booksByRequest reports whether retry times are booked for requests by their ids.
func (s *shard) booksByRequest() bool { return s.scheduler.options.ScarceRoom && s.kinds.differ }
