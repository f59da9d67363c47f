package routing

import "time"

// Parameters of the circuit breaker.
const (
	// breakerFailures consecutive failures open a runner's breaker however
	// many other runners fail.
	breakerFailures = 3
	breakerMinPause = time.Second
	breakerMaxPause = 30 * time.Second
	// breakerDivisor limits the runners that a single failure may exclude to
	// one in breakerDivisor of the pool. If more fail at once, cut links are
	// a likelier cause than failed runners, and excluding them would stop
	// the pool needlessly.
	breakerDivisor = 5
)

// breaker is a circuit breaker: it stops dispatches to a failing runner for
// a pause that doubles with each failure. Without it a failing runner, being
// empty, would attract every request and fail it. The first failure already
// opens it, as a runner that alternates between up and down fails several
// requests in each cycle before it reaches three consecutive failures.
type breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
	failedAt time.Time
	// probing is set while one dispatch tests the runner after the pause.
	probing bool
}

// open reports whether the runner is excluded from new work.
func (b *breaker) open(now time.Time) bool {
	return b.failures > 0 && (b.probing || now.Before(b.until))
}

// allows reports whether a dispatch may go to the runner now.
// multipleFailures says that so many runners have failed that one failure
// doesn't show a fault of this runner.
func (b *breaker) allows(now time.Time, multipleFailures bool) bool {
	return !b.open(now) || multipleFailures && b.failures < breakerFailures
}

// dispatched marks the dispatch as the probe if the runner has failed
// before.
func (b *breaker) dispatched() {
	if b.failures > 0 {
		b.probing = true
	}
}

// answered records the first token of a run that was placed at the given
// time: the runner works, though the run may still fail.
func (b *breaker) answered(placed time.Time) {
	if placed.After(b.failedAt) {
		b.probing, b.until = false, time.Time{}
	}
}

// succeeded records the complete answer of a run that was placed at the
// given time. A run placed before the last failure doesn't show that the
// runner has recovered.
func (b *breaker) succeeded(placed time.Time) {
	if placed.After(b.failedAt) {
		*b = breaker{}
		return
	}
	b.probing = false
}

// abandoned ends an attempt whose outcome says nothing about the runner.
func (b *breaker) abandoned() { b.probing = false }

func (b *breaker) failed(now time.Time) {
	b.failures++
	b.probing = false
	b.pause = min(breakerMaxPause, max(breakerMinPause, 2*b.pause))
	b.until, b.failedAt = now.Add(b.pause), now
}

// multipleFailures reports whether so many runners are excluded that a
// single failure must not count.
func (s *shard) multipleFailures(now time.Time, runners []*runner) bool {
	open := 0
	for _, r := range runners {
		if r.breaker.open(now) {
			open++
		}
	}
	return open > max(1, len(runners)/breakerDivisor)
}
