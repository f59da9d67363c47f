package ratelimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// maxWithin returns the most requests that one limiter may admit to an endpoint
// within a time.
func maxWithin(perSecond float64, t time.Duration) float64 {
	return 1 + perSecond*(t+burst).Seconds()
}

// checkSent checks the requests sent to one endpoint in every time window.
func checkSent(t *rapid.T, sent []time.Time, perSecond float64, limiters int) {
	slices.SortFunc(sent, time.Time.Compare)
	for i, first := range sent {
		for j := i; j < len(sent); j++ {
			allowed := maxWithin(perSecond, sent[j].Sub(first)) + float64(limiters-1)*maxWithin(perSecond, 0)
			if n := float64(j - i + 1); n > allowed+1e-6 {
				t.Fatalf("%v requests within %v, limit %v per second, at most %v allowed", n, sent[j].Sub(first), perSecond, allowed)
			}
		}
	}
}

// Guards against admissions above a limit within any window, also after takeovers.
func TestAdmissionsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLimiter(), start
		limits := []float64{rapid.Float64Range(MinRate, 50).Draw(t, "limit 0"), rapid.Float64Range(MinRate, 50).Draw(t, "limit 1")}
		sent := make([][]time.Time, len(limits))
		takeovers := 1
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 50).Draw(t, "takeover") == 0 {
				l = NewLimiter()
				takeovers++
			}
			var asks []Candidate
			for i := range limits {
				if rapid.Bool().Draw(t, "is candidate") {
					asks = append(asks, Candidate{Endpoint: fmt.Sprint(i), Limit: Limit{PerSecond: limits[i]}})
				}
			}
			patience := time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience")) * time.Millisecond
			g := l.Admit(now, asks, patience)
			if g.Wait < 0 || g.Endpoint != "" && g.Wait > patience || g.Endpoint == "" && g.Wait <= 0 {
				t.Fatalf("patience %v: invalid grant %+v", patience, g)
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

// Guards against unused capacity of a limited endpoint, and against too many retries
// at the coordinator.
func TestLimitsAreFullyUsed(t *testing.T) {
	for _, daemons := range []int{1, 6, 60} {
		for _, limit := range []float64{MinRate, 3, 50} {
			for _, patience := range []time.Duration{0, time.Second} {
				t.Run(fmt.Sprintf("%d daemons, %v a second, patience %v", daemons, limit, patience), func(t *testing.T) {
					const duration = 60 * time.Second
					admitted, asked := runDaemons(NewLimiter(), daemons, limit, patience, duration)
					capacity := limit * duration.Seconds()
					if admitted < int(0.9*capacity) {
						t.Errorf("%d requests admitted, the endpoint accepts %v", admitted, capacity)
					}
					if allowed := capacity + float64(admitted) + float64(daemons)*(duration.Seconds()+1)*1.1; float64(asked) > allowed {
						t.Errorf("%d admission calls, want at most %v", asked, allowed)
					}
				})
			}
		}
	}
}

// runDaemons simulates daemons that always have a request waiting and follow the
// retry times of the limiter.
func runDaemons(l *Limiter, daemons int, limit float64, patience, duration time.Duration) (admitted, asked int) {
	const step = 5 * time.Millisecond
	next := make([]time.Time, daemons)
	for now := start; now.Sub(start) < duration; now = now.Add(step) {
		for d := range next {
			if now.Before(next[d]) {
				continue
			}
			g := l.Admit(now, []Candidate{{Endpoint: "e", Limit: Limit{PerSecond: limit}}}, patience)
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

// Daemons that can't reach each other stay within the limit in total.
func TestSharesStayWithinLimit(t *testing.T) {
	const daemons, limit, duration = 12, 3.0, 60 * time.Second
	admitted := 0
	for range daemons {
		n, _ := runDaemons(NewShareLimiter(), 1, limit/daemons, 0, duration)
		admitted += n
	}
	if allowed := limit * (duration + burst).Seconds(); float64(admitted) > allowed {
		t.Errorf("%d requests admitted, at most %v allowed", admitted, allowed)
	}
	if g := NewShareLimiter().Admit(start, []Candidate{{Endpoint: "e", Limit: Limit{PerSecond: limit}}}, 0); g.Endpoint != "" {
		t.Error("a new share limiter admits a request at once")
	}
}

// Guards against refusals for an endpoint that rarely gets requests.
func TestRarelyRequestedEndpointIsAdmitted(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 10 * time.Second, 10 * time.Minute} {
		l := NewLimiter()
		for i := range 5 {
			now := start.Add(time.Duration(i) * pause)
			if g := l.Admit(now, []Candidate{{Endpoint: "e", Limit: Limit{PerSecond: 3}}}, 0); g.Endpoint == "" {
				t.Errorf("one request every %v: request %d is refused for %v", pause, i, g.Wait)
			}
			l.Expire(now)
		}
		if l.Expire(start.Add(time.Hour)); l.Len() != 0 {
			t.Errorf("%d endpoints are remembered", l.Len())
		}
	}
}

// Guards against unbounded memory with very many endpoint names.
func TestLimiterIsBounded(t *testing.T) {
	l := NewLimiter()
	for i := range maxMeters + 10 {
		l.Admit(start, []Candidate{{Endpoint: fmt.Sprint(i), Limit: Limit{PerSecond: 3}}}, 0)
	}
	if l.Len() != maxMeters {
		t.Fatalf("%d endpoints are remembered", l.Len())
	}
	if g := l.Admit(start, []Candidate{{Endpoint: "another", Limit: Limit{PerSecond: 3}}}, 0); g.Endpoint != "" || g.Wait != maxPostponement {
		t.Fatalf("%+v", g)
	}
	if g := l.Admit(start.Add(2*endpointRetention), []Candidate{{Endpoint: "another", Limit: Limit{PerSecond: 3}}}, 0); g.Endpoint == "" {
		t.Fatalf("%+v", g)
	}
}

// Guards against bursts at a cold endpoint, which must get little more than its rate
// within any second.
func TestColdEndpointGetsNoBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := NewLimiter(), start
		limit := Limit{PerSecond: rapid.Float64Range(1, 200).Draw(t, "limit"), IsCold: true}
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			if g := l.Admit(now, []Candidate{{Endpoint: "e", Limit: limit}}, 0); g.Endpoint != "" {
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
			// Requests that arrive a fifth of a second late still count in the next second.
			if late := 0.2 * limit.PerSecond; n+late > 1.5*limit.PerSecond+5 {
				t.Fatalf("%v requests within a second to a cold endpoint, limit %v", n, limit.PerSecond)
			}
		}
	})
}

// Guards against ignoring one of the two limits of an endpoint.
func TestSmallerLimitApplies(t *testing.T) {
	for _, c := range []struct {
		stated, cold float64
		want         Limit
	}{
		{0, 0, Limit{}},
		{3, 0, Limit{PerSecond: 3}},
		{0, 4, Limit{PerSecond: 4, IsCold: true}},
		{3, 4, Limit{PerSecond: 3, IsCold: true}},
		{5, 4, Limit{PerSecond: 4, IsCold: true}},
	} {
		if got := LimitOf(&port.Endpoint{RateLimit: c.stated, ColdRate: c.cold}); got != c.want {
			t.Errorf("stated limit %v, cold limit %v: got %+v", c.stated, c.cold, got)
		}
	}
}
