package ratelimit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func rate(perSecond float64) *float64 { return &perSecond }

var start = time.Unix(1_800_000_000, 0)

func TestObserver(t *testing.T) {
	type answer struct {
		at    time.Duration
		named *float64
		want  float64
	}
	cases := []struct {
		name    string
		answers []answer
	}{
		{"no limit", []answer{{0, nil, 0}, {time.Second, nil, 0}}},
		{"a limit is believed at once", []answer{{0, rate(2.6), 2.6}}},
		{"none at all leaves room to hear of the recovery", []answer{{0, rate(0), LowestRate}}},
		{"small changes are not passed on", []answer{{0, rate(3), 3}, {time.Second, rate(3.2), 3}, {2 * time.Second, rate(2.8), 3}}},
		{"large ones are", []answer{{0, rate(3), 3}, {time.Second, rate(2), 2}, {2 * time.Second, rate(8), 8}}},
		{"but not many in a moment", []answer{{0, rate(3), 3}, {100 * time.Millisecond, rate(2), 3}, {250 * time.Millisecond, rate(2), 2}}},
		{"one answer without a limit lifts none", []answer{{0, rate(3), 3}, {time.Minute, nil, 3}}},
		{"answers without one for a while do", []answer{{0, rate(3), 3}, {time.Second, nil, 3}, {1900 * time.Millisecond, nil, 3}, {2 * time.Second, nil, 0}}},
		{"an answer with one in between starts the while anew", []answer{
			{0, rate(3), 3}, {time.Second, nil, 3}, {1500 * time.Millisecond, rate(3), 3}, {2 * time.Second, nil, 3}, {3 * time.Second, nil, 0},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, e := NewObserver(), port.Endpoint{ID: "e", Incarnation: 1}
			for i, a := range c.answers {
				before := e.RateLimit
				limit, changed := o.Answered(start.Add(a.at), &e, a.named)
				if e.RateLimit = limit; limit != a.want || changed != (limit != before) {
					t.Fatalf("answer %d: %v, changed %v, want %v", i, limit, changed, a.want)
				}
			}
		})
	}
}

// Guards against limits that are missed, never lifted, or announced without bound.
func TestDaemonsFollowAnEndpointThroughItsNeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observers := []*Observer{NewObserver(), NewObserver(), NewObserver()}
		e := port.Endpoint{ID: "e", Incarnation: 1}
		now, changes, flips := start, 0, 0
		var named *float64
		since := now
		for range rapid.IntRange(20, 200).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "turn") == 0 {
				named, since = nil, now
				flips++
				if rapid.Bool().Draw(t, "in need") {
					named = rate(rapid.SampledFrom([]float64{0, 0.5, 3, 3.1, 40}).Draw(t, "limit"))
				}
			}
			o := observers[rapid.IntRange(0, len(observers)-1).Draw(t, "daemon")]
			limit, changed := o.Answered(now, &e, named)
			if e.RateLimit = limit; changed {
				changes++
			}
			checkBelief(t, e.RateLimit, named, now.Sub(since))
		}
		if changes > 4*(flips+1) {
			t.Fatalf("%d changes were passed on for %d of the endpoint's", changes, flips)
		}
		for _, o := range observers {
			if len(o.limited) > 1 {
				t.Fatalf("%d endpoints are remembered", len(o.limited))
			}
			o.Forget("e")
			if len(o.limited) != 0 {
				t.Fatal("one that is gone is remembered")
			}
		}
	})
}

// checkBelief: held is what daemons believe after the endpoint has named the
// same for so long.
func checkBelief(t *rapid.T, held float64, named *float64, age time.Duration) {
	// Each of three daemons has answered within this, but for rare draws.
	const long = 30 * time.Second
	switch {
	case named != nil && held == 0:
		t.Fatalf("a limit of %v is not believed", *named)
	case named != nil && age > long && math.Abs(held-max(LowestRate, *named)) > tolerance*held:
		t.Fatalf("a limit of %v is believed for %v", held, *named)
	case named == nil && held != 0 && age > long:
		t.Fatalf("a limit of %v is believed %v after it was lifted", held, age)
	}
}
