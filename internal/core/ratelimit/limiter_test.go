package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// mostWithin is what an endpoint may get within a time from one limiter.
func mostWithin(perSecond float64, t time.Duration) float64 {
	return 1 + perSecond*(t+burst).Seconds()
}

// checkSent checks what was sent to one endpoint against every window.
func checkSent(t *rapid.T, sent []time.Time, perSecond float64, limiters int) {
	slices.SortFunc(sent, time.Time.Compare)
	for i, first := range sent {
		for j := i; j < len(sent); j++ {
			most := mostWithin(perSecond, sent[j].Sub(first)) + float64(limiters-1)*mostWithin(perSecond, 0)
			if n := float64(j - i + 1); n > most+1e-6 {
				t.Fatalf("%v requests within %v, limit %v a second, allowed %v", n, sent[j].Sub(first), perSecond, most)
			}
		}
	}
}

// Guards against admissions above a limit within any window, also after a takeover.
func TestNoMoreIsAdmittedThanTheLimitsAllow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLimiter(), start
		limits := []float64{rapid.Float64Range(LowestRate, 50).Draw(t, "limit 0"), rapid.Float64Range(LowestRate, 50).Draw(t, "limit 1")}
		sent := make([][]time.Time, len(limits))
		takeovers := 1
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 50).Draw(t, "takeover") == 0 {
				l = NewLimiter()
				takeovers++
			}
			var asks []Ask
			for i := range limits {
				if rapid.Bool().Draw(t, "asked for") {
					asks = append(asks, Ask{Endpoint: fmt.Sprint(i), Limit: Limit{PerSecond: limits[i]}})
				}
			}
			patience := time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience")) * time.Millisecond
			g := l.Admit(now, asks, patience)
			if g.Wait < 0 || g.Endpoint != "" && g.Wait > patience || g.Endpoint == "" && g.Wait <= 0 {
				t.Fatalf("patience %v: %+v", patience, g)
			}
			for i := range limits {
				if g.Endpoint == fmt.Sprint(i) {
					sent[i] = append(sent[i], now.Add(g.Wait))
				}
			}
			l.Expire(now)
		}
		for i := range limits {
			checkSent(t, sent[i], limits[i], takeovers)
		}
	})
}

// Guards against starving a limited endpoint, and against a herd of retries at the coordinator.
func TestWhatIsTakenIsUsedUp(t *testing.T) {
	for _, daemons := range []int{1, 6, 60} {
		for _, limit := range []float64{LowestRate, 3, 50} {
			for _, patience := range []time.Duration{0, time.Second} {
				t.Run(fmt.Sprintf("%d daemons, %v a second, patience %v", daemons, limit, patience), func(t *testing.T) {
					const lasting = 60 * time.Second
					admitted, asked := askAll(NewLimiter(), daemons, limit, patience, lasting)
					takes := limit * lasting.Seconds()
					if admitted < int(0.9*takes) {
						t.Errorf("%d admitted, the endpoint takes %v", admitted, takes)
					}
					if most := takes + float64(admitted) + float64(daemons)*(lasting.Seconds()+1)*1.1; float64(asked) > most {
						t.Errorf("asked %d times, %v are enough", asked, most)
					}
				})
			}
		}
	}
}

// askAll has daemons, each with a request at any time, ask as often as they are
// told.
func askAll(l *Limiter, daemons int, limit float64, patience, lasting time.Duration) (admitted, asked int) {
	const step = 5 * time.Millisecond
	next := make([]time.Time, daemons)
	for now := start; now.Sub(start) < lasting; now = now.Add(step) {
		for d := range next {
			if now.Before(next[d]) {
				continue
			}
			g := l.Admit(now, []Ask{{Endpoint: "e", Limit: Limit{PerSecond: limit}}}, patience)
			asked++
			if g.Endpoint != "" {
				admitted++
				continue
			}
			next[d] = now.Add(g.Wait)
		}
	}
	return admitted, asked
}

// Daemons that can't reach each other keep to the limit all together.
func TestSharesTogetherKeepToTheLimit(t *testing.T) {
	const daemons, limit, lasting = 12, 3.0, 60 * time.Second
	admitted := 0
	for range daemons {
		n, _ := askAll(NewShareLimiter(), 1, limit/daemons, 0, lasting)
		admitted += n
	}
	if most := limit * (lasting + burst).Seconds(); float64(admitted) > most {
		t.Errorf("%d admitted, allowed %v", admitted, most)
	}
	if g := NewShareLimiter().Admit(start, []Ask{{Endpoint: "e", Limit: Limit{PerSecond: limit}}}, 0); g.Endpoint != "" {
		t.Error("a request is admitted before the time of one has passed")
	}
}

// Guards against starving an endpoint that is seldom asked for.
func TestSeldomAskedForIsAdmitted(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 10 * time.Second, 10 * time.Minute} {
		l := NewLimiter()
		for i := range 5 {
			now := start.Add(time.Duration(i) * pause)
			if g := l.Admit(now, []Ask{{Endpoint: "e", Limit: Limit{PerSecond: 3}}}, 0); g.Endpoint == "" {
				t.Errorf("every %v: ask %d is refused for %v", pause, i, g.Wait)
			}
			l.Expire(now)
		}
		if l.Expire(start.Add(time.Hour)); l.Len() != 0 {
			t.Errorf("%d endpoints are remembered", l.Len())
		}
	}
}

// Guards against unbounded memory under a flood of endpoint names.
func TestLimiterIsBounded(t *testing.T) {
	l := NewLimiter()
	for i := range maxMeters + 10 {
		l.Admit(start, []Ask{{Endpoint: fmt.Sprint(i), Limit: Limit{PerSecond: 3}}}, 0)
	}
	if l.Len() != maxMeters {
		t.Fatalf("%d endpoints are remembered", l.Len())
	}
	if g := l.Admit(start, []Ask{{Endpoint: "another", Limit: Limit{PerSecond: 3}}}, 0); g.Endpoint != "" || g.Wait != askAgain {
		t.Fatalf("%+v", g)
	}
	if g := l.Admit(start.Add(2*memory), []Ask{{Endpoint: "another", Limit: Limit{PerSecond: 3}}}, 0); g.Endpoint == "" {
		t.Fatalf("%+v", g)
	}
}

// Guards against bursts at a cold endpoint: within any second it gets little more than its rate.
func TestColdEndpointsGetNoBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLimiter(), start
		limit := Limit{PerSecond: rapid.Float64Range(1, 200).Draw(t, "limit"), IsCold: true}
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			if g := l.Admit(now, []Ask{{Endpoint: "e", Limit: limit}}, 0); g.Endpoint != "" {
				sent = append(sent, now)
			}
		}
		for i, first := range sent {
			n := 0.0
			for _, at := range sent[i:] {
				if at.Sub(first) < time.Second {
					n++
				}
			}
			// What arrives a fifth of a second late still counts in the next second.
			if late := 0.2 * limit.PerSecond; n+late > 1.5*limit.PerSecond+5 {
				t.Fatalf("%v requests within a second, limit %v", n, limit.PerSecond)
			}
		}
	})
}

// Guards against forgetting one of the limits of an endpoint that has two.
func TestSmallerLimitOfAnEndpointCounts(t *testing.T) {
	for _, c := range []struct {
		named, cold float64
		want        Limit
	}{
		{0, 0, Limit{}},
		{3, 0, Limit{PerSecond: 3}},
		{0, 4, Limit{PerSecond: 4, IsCold: true}},
		{3, 4, Limit{PerSecond: 3, IsCold: true}},
		{5, 4, Limit{PerSecond: 4, IsCold: true}},
	} {
		if got := Of(&port.Endpoint{RateLimit: c.named, ColdRate: c.cold}); got != c.want {
			t.Errorf("%v and %v: %+v", c.named, c.cold, got)
		}
	}
}
