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

// An endpoint dies: after three failures calls are spared, then one trial at a
// time finds out whether it is back, at growing distances.
func TestBreakerOpensTriesAndCloses(t *testing.T) {
	s := NewSet(options())
	now := time.Unix(0, 0)
	for i := range 3 {
		if s.Open(now, "e") {
			t.Fatalf("open after %d failures", i)
		}
		s.Begin(now, "e")
		s.Failure(now, "e")
	}
	for _, pause := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
		if !s.Open(now.Add(pause-time.Millisecond), "e") {
			t.Fatalf("closed before %s", pause)
		}
		now = now.Add(pause)
		if s.Open(now, "e") {
			t.Fatalf("no trial after %s", pause)
		}
		s.Begin(now, "e")
		if !s.Open(now, "e") {
			t.Fatal("two trials at once")
		}
		s.Failure(now, "e")
	}
	now = now.Add(time.Minute)
	s.Begin(now, "e")
	s.Success("e")
	if s.Open(now, "e") {
		t.Fatal("open after a success")
	}
}

// A trial whose end is never told must not shut the endpoint out for good.
func TestForgottenTrialIsTriedAgain(t *testing.T) {
	s := NewSet(options())
	now := time.Unix(0, 0)
	for range 3 {
		s.Failure(now, "e")
	}
	now = now.Add(time.Second)
	s.Begin(now, "e")
	if s.Open(now.Add(time.Second), "e") {
		t.Fatal("shut out by a trial without an end")
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
	if len(s.m) != 2 || s.Open(now, "c") {
		t.Fatalf("%d endpoints watched", len(s.m))
	}
}

// Whatever the mix of first tries and retries, retries stay within the burst
// and the share of first tries.
func TestBudgetHoldsItsShare(t *testing.T) {
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
