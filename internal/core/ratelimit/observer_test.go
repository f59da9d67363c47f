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
		at     time.Duration
		stated *float64
		want   float64
	}
	cases := []struct {
		name    string
		answers []answer
	}{
		{"no limit", []answer{{0, nil, 0}, {time.Second, nil, 0}}},
		{"a limit applies at once", []answer{{0, rate(2.6), 2.6}}},
		{"a limit of zero is raised to the minimum rate", []answer{{0, rate(0), MinRate}}},
		{"small changes are not published", []answer{{0, rate(3), 3}, {time.Second, rate(3.2), 3}, {2 * time.Second, rate(2.8), 3}}},
		{"large changes are published", []answer{{0, rate(3), 3}, {time.Second, rate(2), 2}, {2 * time.Second, rate(8), 8}}},
		{"large changes in short succession are not published", []answer{{0, rate(3), 3}, {100 * time.Millisecond, rate(2), 3}, {250 * time.Millisecond, rate(2), 2}}},
		{"one answer without a limit doesn't lift the limit", []answer{{0, rate(3), 3}, {time.Minute, nil, 3}}},
		{"answers without a limit for a second lift it", []answer{{0, rate(3), 3}, {time.Second, nil, 3}, {1900 * time.Millisecond, nil, 3}, {2 * time.Second, nil, 0}}},
		{"an answer with a limit restarts the time until it is lifted", []answer{
			{0, rate(3), 3}, {time.Second, nil, 3}, {1500 * time.Millisecond, rate(3), 3}, {2 * time.Second, nil, 3}, {3 * time.Second, nil, 0},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o, e := NewObserver(), port.Endpoint{ID: "e", Incarnation: 1}
			for i, a := range c.answers {
				before := e.RateLimit
				limit, changed := o.ObserveAnswer(start.Add(a.at), &e, a.stated)
				if e.RateLimit = limit; limit != a.want || changed != (limit != before) {
					t.Fatalf("answer %d: limit %v, changed %v, want limit %v", i, limit, changed, a.want)
				}
			}
		})
	}
}

// Guards against limits that are missed, never lifted, or published too often.
func TestDaemonsTrackLimitChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		observers := []*Observer{NewObserver(), NewObserver(), NewObserver()}
		e := port.Endpoint{ID: "e", Incarnation: 1}
		now, changes, toggles := start, 0, 0
		var stated *float64
		since := now
		for range rapid.IntRange(20, 200).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "change limit") == 0 {
				stated, since = nil, now
				toggles++
				if rapid.Bool().Draw(t, "has limit") {
					stated = rate(rapid.SampledFrom([]float64{0, 0.5, 3, 3.1, 40}).Draw(t, "limit"))
				}
			}
			o := observers[rapid.IntRange(0, len(observers)-1).Draw(t, "daemon")]
			limit, changed := o.ObserveAnswer(now, &e, stated)
			if e.RateLimit = limit; changed {
				changes++
			}
			checkRecordedLimit(t, e.RateLimit, stated, now.Sub(since))
		}
		if changes > 4*(toggles+1) {
			t.Fatalf("%d changes were published for %d changes at the endpoint", changes, toggles)
		}
		for _, o := range observers {
			if len(o.limited) > 1 {
				t.Fatalf("%d endpoints are tracked", len(o.limited))
			}
			o.Forget("e")
			if len(o.limited) != 0 {
				t.Fatal("a removed endpoint is still tracked")
			}
		}
	})
}

// checkRecordedLimit checks the limit that daemons recorded after the endpoint has
// stated the same limit for the given time.
func checkRecordedLimit(t *rapid.T, recorded float64, stated *float64, age time.Duration) {
	// Within this time each of the three daemons has received an answer, except for
	// rare draws.
	const convergenceTime = 30 * time.Second
	switch {
	case stated != nil && recorded == 0:
		t.Fatalf("a limit of %v is not recorded", *stated)
	case stated != nil && age > convergenceTime && math.Abs(recorded-max(MinRate, *stated)) > tolerance*recorded:
		t.Fatalf("a stated limit of %v is recorded as %v", recorded, *stated)
	case stated == nil && recorded != 0 && age > convergenceTime:
		t.Fatalf("a limit of %v is still recorded %v after it was lifted", recorded, age)
	}
}
