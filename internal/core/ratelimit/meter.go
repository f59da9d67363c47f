package ratelimit

import "time"

// burst is the time for which an endpoint may leave its limit unused and get
// that later, beside what it takes then.
const burst = time.Second

// Meter admits requests to one endpoint within the rate that it names, by the
// generic cell rate algorithm. Within any time t it admits no more than
// 1 + rate*(t + burst). The zero value has just begun, as it does where another
// daemon takes over, and admits one request at once and no burst.
type Meter struct {
	// due is when the endpoint will have worked off all that was admitted.
	due time.Time
}

// Wait is the time until the next request may be sent, zero for now. A rate of
// zero is no limit.
func (m *Meter) Wait(now time.Time, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	if m.due.IsZero() {
		m.due = now.Add(burst)
	}
	return max(0, m.due.Add(-burst).Sub(now))
}

// Take admits the next request, for when Wait says.
func (m *Meter) Take(now time.Time, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	if m.due.Before(now) {
		m.due = now
	}
	m.due = m.due.Add(interval(perSecond))
}

// longestInterval bounds the time of one request where many daemons share a rate.
const longestInterval = time.Hour

// interval is the time that an endpoint takes to work off one request.
func interval(perSecond float64) time.Duration {
	return time.Duration(min(float64(longestInterval), float64(time.Second)/perSecond))
}
