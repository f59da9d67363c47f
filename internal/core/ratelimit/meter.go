package ratelimit

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// burst is the time for which an endpoint may leave its limit unused and get
	// that later, beside what it takes then.
	burst = time.Second
	// coldBurst is the same for one that is cold: what it bears within a second is
	// little more than its rate.
	coldBurst = 250 * time.Millisecond
)

// Limit is what an endpoint takes from all daemons together. The zero value is no
// limit.
type Limit struct {
	// PerSecond is in requests a second; zero is no limit.
	PerSecond float64
	// IsCold: it is the measure of an endpoint that is cold.
	IsCold bool
}

// Of returns the limit by which an endpoint is known: the rate that it names, that
// of one that is cold, or the smaller of both.
func Of(e *port.Endpoint) Limit {
	l := Limit{PerSecond: e.RateLimit, IsCold: e.ColdRate > 0}
	if l.IsCold && (l.PerSecond <= 0 || e.ColdRate < l.PerSecond) {
		l.PerSecond = e.ColdRate
	}
	return l
}

func (l Limit) burst() time.Duration {
	if l.IsCold {
		return coldBurst
	}
	return burst
}

// Meter admits requests to one endpoint within its limit, by the generic cell
// rate algorithm. Within any time t it admits no more than 1 + rate*(t + burst).
// The zero value has just begun, as it does where another daemon takes over, and
// admits one request at once and no burst.
type Meter struct {
	// due is when the endpoint will have worked off all that was admitted.
	due time.Time
}

// Wait is the time until the next request may be sent, zero for now.
func (m *Meter) Wait(now time.Time, l Limit) time.Duration {
	if l.PerSecond <= 0 {
		return 0
	}
	if m.due.IsZero() {
		m.due = now.Add(l.burst())
	}
	return max(0, m.due.Add(-l.burst()).Sub(now))
}

// Take admits the next request, for when Wait says.
func (m *Meter) Take(now time.Time, l Limit) {
	if l.PerSecond <= 0 {
		return
	}
	if m.due.Before(now) {
		m.due = now
	}
	m.due = m.due.Add(interval(l.PerSecond))
}

// longestInterval bounds the time of one request where many daemons share a rate.
const longestInterval = time.Hour

// interval is the time that an endpoint takes to work off one request.
func interval(perSecond float64) time.Duration {
	return time.Duration(min(float64(longestInterval), float64(time.Second)/perSecond))
}
