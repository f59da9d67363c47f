// Package speed estimates how fast the endpoints of a pool work, relative to each other.
// It combines what an endpoint states about its host with what its streams show. What
// streams show takes precedence, because a stated figure may be wrong. It does no I/O and
// reads no clock.
package speed

import (
	"iter"
	"slices"
	"time"
)

const (
	// windowSize is the number of samples kept of each kind, a few seconds of a runner
	// with several streams.
	windowSize = 15
	// stepQuantile is the quantile of the observed step times that counts as an
	// endpoint's step time. The prefill of prompts stretches the others.
	stepQuantile = 0.25
	// minSteps is the number of observed step times from which on they are used.
	minSteps = 5
	// contradiction is the ratio between the stated and the observed slowness from which
	// on the stated one is ignored. Prefill alone explains less.
	contradiction = 2
	// maxSlowness bounds the slowness relative to the pool, so that one wrong figure
	// neither attracts nor excludes all work.
	maxSlowness = 8
	// statedFor is how long a stated slowness says something about the present. Hosts
	// that are shared turn slow for some tenths of a second at a time.
	statedFor = 600 * time.Millisecond
	// gapPeriod is the time after which the longest gap starts again. The longest gap
	// of the previous period counts as well.
	gapPeriod = 5 * time.Second
)

// Endpoint is the estimate for one incarnation of an endpoint. The zero value knows
// nothing. It is not safe for concurrent use.
type Endpoint struct {
	stated window
	// lastStated is the last stated slowness, zero for none.
	lastStated   float64
	lastStatedAt time.Time
	steps        window
	gap          longestGap
}

// Pool holds the medians of a pool, to which its endpoints are compared. Zeros mean that
// nothing is known.
type Pool struct {
	// Stated is the median of the stated slowness, Step that of the step times in
	// milliseconds.
	Stated, Step float64
}

// Medians returns the medians over the endpoints of a pool.
func Medians(endpoints iter.Seq[*Endpoint]) Pool {
	var stated, steps []float64
	for e := range endpoints {
		if e.stated.count > 0 {
			stated = append(stated, e.stated.value)
		}
		if e.steps.count >= minSteps {
			steps = append(steps, e.steps.value)
		}
	}
	return Pool{Stated: quantile(stated, 0.5), Step: quantile(steps, 0.5)}
}

// State applies the slowness that the endpoint states: how long work takes there at this
// moment, as a multiple of the usual time.
func (e *Endpoint) State(now time.Time, slowness float64) {
	if slowness <= 0 {
		return
	}
	e.stated.add(slowness, 0.5)
	e.lastStated, e.lastStatedAt = slowness, now
}

// ObserveStep applies the time in milliseconds that a decoding step took, as it would
// have taken in a batch of one.
func (e *Endpoint) ObserveStep(millis float64) {
	if millis > 0 {
		e.steps.add(millis, stepQuantile)
	}
}

// ObserveGap applies the longest time between two events of one stream.
func (e *Endpoint) ObserveGap(now time.Time, gap time.Duration) { e.gap.add(now, gap) }

// HasStated reports whether the endpoint states its slowness.
func (e *Endpoint) HasStated() bool { return e.stated.count > 0 }

// Usual returns how long work usually takes at the endpoint, as a multiple of the pool's
// median. It is 1 while nothing is known.
func (e *Endpoint) Usual(p Pool) float64 {
	stated, shown := 0.0, 0.0
	if p.Stated > 0 && e.stated.count > 0 {
		stated = clamp(e.stated.value / p.Stated)
	}
	if p.Step > 0 && e.steps.count >= minSteps {
		shown = clamp(e.steps.value / p.Step)
	}
	switch {
	case stated == 0 && shown == 0:
		return 1
	case stated == 0:
		return shown
	case shown == 0:
		return stated
	case shown > contradiction*stated || stated > contradiction*shown:
		return shown
	default:
		return stated
	}
}

// Present returns how long work takes at the endpoint at this moment, as a multiple of
// the pool's median. Only a slowness above the usual one counts: an endpoint that states
// to be fast for a moment gains nothing.
func (e *Endpoint) Present(now time.Time, p Pool) float64 {
	usual := e.Usual(p)
	age := now.Sub(e.lastStatedAt)
	if e.lastStated <= e.stated.value || age >= statedFor {
		return usual
	}
	recent := 1 - float64(max(0, age))/float64(statedFor)
	return clamp(usual * (1 + recent*(e.lastStated/e.stated.value-1)))
}

// LongestGap returns the longest time between two events of the endpoint's streams in
// the last gapPeriod or two.
func (e *Endpoint) LongestGap(now time.Time) time.Duration { return e.gap.read(now) }

func clamp(slowness float64) float64 { return min(maxSlowness, max(1.0/maxSlowness, slowness)) }

// Snapshot is what one scheduler passes on to the next one about an endpoint.
type Snapshot struct {
	// Stated is the usual stated slowness, Step the step time in milliseconds; zeros mean
	// that they are not known.
	Stated, Step float64
}

// Snapshot returns what is known.
func (e *Endpoint) Snapshot() Snapshot {
	s := Snapshot{}
	if e.stated.count > 0 {
		s.Stated = e.stated.value
	}
	if e.steps.count >= minSteps {
		s.Step = e.steps.value
	}
	return s
}

// Restore applies a snapshot where nothing is known yet. Later samples replace it.
func (e *Endpoint) Restore(s Snapshot) {
	if s.Stated > 0 && e.stated.count == 0 {
		e.stated.add(s.Stated, 0.5)
	}
	for e.steps.count < minSteps && s.Step > 0 {
		e.steps.add(s.Step, stepQuantile)
	}
}

// window holds the last samples of a quantity and one of their quantiles.
type window struct {
	samples [windowSize]float64
	count   int
	next    int
	value   float64
}

func (w *window) add(sample, q float64) {
	w.samples[w.next] = sample
	w.next = (w.next + 1) % windowSize
	w.count = min(windowSize, w.count+1)
	sorted := w.samples
	w.value = quantile(sorted[:w.count], q)
}

// quantile returns a quantile of the values, which it sorts; zero if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}

// longestGap holds the longest gap of the current period and of the previous one.
type longestGap struct {
	began             time.Time
	current, previous time.Duration
}

func (g *longestGap) add(now time.Time, gap time.Duration) {
	g.advance(now)
	g.current = max(g.current, gap)
}

func (g *longestGap) read(now time.Time) time.Duration {
	g.advance(now)
	return max(g.current, g.previous)
}

func (g *longestGap) advance(now time.Time) {
	switch age := now.Sub(g.began); {
	case age < gapPeriod:
	case age < 2*gapPeriod:
		g.previous, g.current = g.current, 0
		g.began = g.began.Add(gapPeriod)
	default:
		g.previous, g.current = 0, 0
		g.began = now
	}
}
