package speed

import (
	"math"
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// pool returns the medians of a pool with the given endpoint and two that state 1 and
// show steps of 10 ms.
func pool(e *Endpoint) Pool {
	others := []*Endpoint{e, {}, {}}
	for _, o := range others[1:] {
		o.State(start, 1)
		showSteps(o, 10)
	}
	return Medians(slices.Values(others))
}

func showSteps(e *Endpoint, millis float64) {
	for range windowSize {
		e.ObserveStep(millis)
	}
}

func expect(t *testing.T, what string, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 0.01 {
		t.Errorf("%s = %.2f, want %.2f", what, got, want)
	}
}

// Guards against an endpoint without reports that gets no work, or all of it.
func TestUnknownEndpointCountsAsMedian(t *testing.T) {
	var e Endpoint
	expect(t, "slowness", e.Usual(pool(&e)), 1)
	expect(t, "slowness without a pool", e.Usual(Pool{}), 1)
}

// Guards against a slow-down of some tenths of a second that counts as a slow endpoint.
func TestBriefSlowDownIsNotLearned(t *testing.T) {
	var e Endpoint
	for i := range 12 {
		slowness := 0.7
		if i%6 == 5 {
			slowness = 1.75
		}
		e.State(start.Add(time.Duration(i)*100*time.Millisecond), slowness)
	}
	p := pool(&e)
	expect(t, "usual slowness", e.Usual(p), 0.7)
	last := start.Add(1100 * time.Millisecond)
	expect(t, "slowness at the moment", e.Present(last, p), 1.75)
	expect(t, "slowness later", e.Present(last.Add(statedFor), p), 0.7)
}

// Guards against an endpoint whose false figure draws the pool's work.
func TestObservedStepsRefuteStatedSlowness(t *testing.T) {
	var slow, fast Endpoint
	slow.State(start, 0.2)
	showSteps(&slow, 24)
	expect(t, "an endpoint that is slower than it states", slow.Usual(pool(&slow)), 2.4)
	fast.State(start, 5)
	showSteps(&fast, 9)
	expect(t, "an endpoint that is faster than it states", fast.Usual(pool(&fast)), 0.9)
}

// Guards against steps that prompts stretch and that pass for a slow endpoint.
func TestStretchedStepsDontRefute(t *testing.T) {
	var e Endpoint
	e.State(start, 1)
	for i := range windowSize {
		e.ObserveStep([]float64{10, 25, 30}[i%3])
	}
	expect(t, "slowness", e.Usual(pool(&e)), 1)
}

// Guards against a stated moment of speed that attracts prompts.
func TestStatedMomentOfSpeedGainsNothing(t *testing.T) {
	var e Endpoint
	for range 3 {
		e.State(start, 1.7)
	}
	e.State(start, 0.1)
	p := pool(&e)
	expect(t, "slowness at the moment", e.Present(start, p), e.Usual(p))
}

// Guards against a wrong figure that excludes an endpoint for all time.
func TestSlownessIsBounded(t *testing.T) {
	var e Endpoint
	e.State(start, 1e6)
	expect(t, "slowness", e.Usual(pool(&e)), maxSlowness)
}

func TestLongestGapIsForgotten(t *testing.T) {
	var e Endpoint
	e.ObserveGap(start, 300*time.Millisecond)
	e.ObserveGap(start.Add(gapPeriod), 100*time.Millisecond)
	if got := e.LongestGap(start.Add(gapPeriod)); got != 300*time.Millisecond {
		t.Errorf("longest gap in the next period = %v, want 300 ms", got)
	}
	if got := e.LongestGap(start.Add(2 * gapPeriod)); got != 100*time.Millisecond {
		t.Errorf("longest gap two periods later = %v, want 100 ms", got)
	}
}

// Guards against a new scheduler that treats slow endpoints like fast ones.
func TestRestoredSnapshotCounts(t *testing.T) {
	var before, after Endpoint
	before.State(start, 1.7)
	showSteps(&before, 17)
	after.Restore(before.Snapshot())
	expect(t, "slowness after the restore", after.Usual(pool(&after)), 1.7)
	showSteps(&after, 5)
	expect(t, "slowness after new samples", after.Usual(pool(&after)), 0.5)
}
