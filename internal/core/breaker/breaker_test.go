package breaker

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func options() Options {
	return Options{Failures: 3, OpenFor: time.Second, MaxOpenFor: 4 * time.Second, MaxEndpoints: 2}
}

// After three failures of an endpoint its breaker opens. Then one trial at a time
// tests whether it has recovered, at increasing intervals.
func TestBreakerOpensTriesAndCloses(t *testing.T) {
	s := NewSet(options())
	now := time.Unix(0, 0)
	for i := range 3 {
		if s.Open(now, "e") {
			t.Fatalf("breaker open after %d failures, want 3", i)
		}
		s.Begin(now, "e")
		s.Failure(now, "e")
	}
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		if !s.Open(now.Add(pause-time.Millisecond), "e") {
			t.Fatalf("breaker not open just before the end of %s", pause)
		}
		now = now.Add(pause)
		if s.Open(now, "e") {
			t.Fatalf("no trial allowed after %s", pause)
		}
		s.Begin(now, "e")
		if !s.Open(now, "e") {
			t.Fatal("a second trial is allowed while one is open")
		}
		s.Failure(now, "e")
	}
	now = now.Add(time.Minute)
	s.Begin(now, "e")
	s.Success("e")
	if s.Open(now, "e") {
		t.Fatal("breaker open after a success")
	}
}

// A trial whose result is never reported must not keep the breaker open for good.
func TestAbandonedTrialAllowsAnother(t *testing.T) {
	s := NewSet(options())
	now := time.Unix(0, 0)
	for range 3 {
		s.Failure(now, "e")
	}
	now = now.Add(time.Second)
	s.Begin(now, "e")
	if s.Open(now.Add(time.Second), "e") {
		t.Fatal("breaker still open after a trial without a result")
	}
}

func TestBreakersAreBounded(t *testing.T) {
	s := NewSet(options())
	now := time.Unix(0, 0)
	for _, e := range []string{"a", "b", "c"} {
		for range 3 {
			s.Failure(now, e)
		}
	}
	if len(s.states) != 2 || s.Open(now, "c") {
		t.Fatalf("%d endpoints have breakers, want 2, and none for c", len(s.states))
	}
}

// For any sequence of first tries and retries, retries stay within the limit plus the
// share of first tries.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		limit := rapid.IntRange(0, 20).Draw(t, "limit")
		b := NewBudget(share, float64(limit))
		firsts, retries := 0, 0
		for range rapid.IntRange(0, 300).Draw(t, "calls") {
			if rapid.Bool().Draw(t, "first") {
				b.FirstTry()
				firsts++
				continue
			}
			if b.Retry() {
				retries++
			}
			if float64(retries) > float64(limit)+share*float64(firsts)+1e-6 {
				t.Fatalf("%d retries for %d first tries, share %v, limit %d", retries, firsts, share, limit)
			}
		}
	})
}
