package ratelimit

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const (
	// burst is the time for which an endpoint may leave its limit unused and still
	// get those requests later, in addition to its rate.
	burst = time.Second
	// coldBurst is the burst of a cold endpoint, which can handle little more than
	// its rate within any second.
	coldBurst = 250 * time.Millisecond
)

// Limit is the request rate that an endpoint accepts from all daemons together. The
// zero value is no limit.
type Limit struct {
	// PerSecond is in requests per second; zero is no limit.
	PerSecond float64
	// IsCold is set if the endpoint is cold.
	IsCold bool
	// Burst replaces the usual burst; zero means the usual one.
	Burst time.Duration
	// MaxRefusals is the number of refusals within a second that a brittle endpoint
	// withstands; zero if it is not brittle.
	MaxRefusals int
}

// LimitOf returns the limit of an endpoint: the lowest of the rate that it states, the
// rate of a cold endpoint and that of a brittle one.
func LimitOf(e *port.Endpoint) Limit {
	l := Limit{PerSecond: e.RateLimit, IsCold: e.ColdRate > 0}
	if l.IsCold && (l.PerSecond <= 0 || e.ColdRate < l.PerSecond) {
		l.PerSecond = e.ColdRate
	}
	if b := e.Brittle; b.Refusals > 0 {
		l.MaxRefusals, l.Burst = b.Refusals, b.Burst
		if l.PerSecond <= 0 || b.PerSecond < l.PerSecond {
			l.PerSecond = b.PerSecond
		}
	}
	return l
}

func (l Limit) burst() time.Duration {
	usual := burst
	if l.IsCold {
		usual = coldBurst
	}
	if l.Burst > 0 {
		return min(l.Burst, usual)
	}
	return usual
}

// Meter admits requests to one endpoint within its limit, by the generic cell rate
// algorithm. Within any time t it admits at most 1 + rate*(t + burst) requests. The
// zero value, which is also the state after another daemon takes over, admits one
// request at once and no burst.
type Meter struct {
	// due is when the endpoint will have processed all admitted requests.
	due time.Time
	// stale is set if another daemon has admitted requests since the last one here.
	stale bool
}

// Wait returns the time until the next request may be sent, zero for now.
func (m *Meter) Wait(now time.Time, l Limit) time.Duration {
	if l.PerSecond <= 0 {
		return 0
	}
	if noBurst := now.Add(l.burst()); m.due.IsZero() || m.stale && m.due.Before(noBurst) {
		m.due = noBurst
	}
	m.stale = false
	return max(0, m.due.Add(-l.burst()).Sub(now))
}

// TakeOver records that another daemon has admitted requests to the endpoint until now, so
// that it isn't due a burst.
func (m *Meter) TakeOver() { m.stale = true }

// Restrict makes a meter that hasn't been used admit nothing until the endpoint has had
// time for a portion of a request. It is for a daemon that has only a share of the limit:
// all such daemons together would send a burst, and again after the time for one request
// if the portions, from 0 to 1, weren't different.
func (m *Meter) Restrict(now time.Time, l Limit, portion func() float64) {
	if m.due.IsZero() && l.PerSecond > 0 {
		m.due = now.Add(l.burst() + time.Duration(portion()*float64(interval(l.PerSecond))))
	}
}

// Take admits the next request, at the time that Wait returns.
func (m *Meter) Take(now time.Time, l Limit) {
	if l.PerSecond <= 0 {
		return
	}
	if m.due.Before(now) {
		m.due = now
	}
	m.due = m.due.Add(interval(l.PerSecond))
}

// maxInterval bounds the time per request when many daemons share a rate.
const maxInterval = time.Hour

// interval returns the time that an endpoint takes for one request at its rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(min(float64(maxInterval), float64(time.Second)/perSecond))
}
