package scheduling

import (
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// streamMeter measures the stream of one run for its coordinator.
type streamMeter struct {
	// stated is the slowness that the endpoint stated with its answer, zero for none;
	// reported is set once the coordinator has been sent it. A stated slowness describes
	// the moment of the answer, so it is sent once.
	stated   float64
	reported bool
	// lastEventAt is the time of the last event, zero if the next event begins a new
	// measurement. lastTokens is the token count at that time.
	lastEventAt time.Time
	lastTokens  int
	// elapsed and tokens cover the time between events since the last sample, longest is
	// the longest such time.
	elapsed, longest time.Duration
	tokens           int
}

// state sets the slowness that the endpoint stated with its answer.
func (m *streamMeter) state(slowness float64) { m.stated, m.reported = slowness, false }

// event counts an event; tokens are those of the run so far.
func (m *streamMeter) event(now time.Time, tokens int) {
	if !m.lastEventAt.IsZero() {
		passed := max(0, now.Sub(m.lastEventAt))
		m.elapsed += passed
		m.longest = max(m.longest, passed)
		m.tokens += max(0, tokens-m.lastTokens)
	}
	m.lastEventAt, m.lastTokens = now, tokens
}

// interrupt excludes the time until the next event, which an interruption of the stream
// explains rather than the endpoint's speed.
func (m *streamMeter) interrupt() { m.lastEventAt = time.Time{} }

// sample returns what was measured since the previous sample.
func (m *streamMeter) sample() port.StreamSample {
	s := port.StreamSample{Gap: m.longest}
	if m.tokens > 0 {
		s.PerToken = m.elapsed / time.Duration(m.tokens)
	}
	if !m.reported {
		s.Slowness = m.stated
	}
	m.reported = true
	m.elapsed, m.longest, m.tokens = 0, 0, 0
	return s
}
