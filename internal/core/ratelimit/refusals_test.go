package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// brittleRunner is an endpoint whose calls wait for a slot, and that refuses those for
// which there is no room.
type brittleRunner struct {
	slots, maxWaiting int
	// ends holds the times at which the open calls end, in ascending order.
	ends    []time.Time
	refused []time.Time
	served  int
}

// call sends a call that occupies a slot for a time. It returns false if it is refused.
func (r *brittleRunner) call(now time.Time, takes time.Duration) bool {
	for len(r.ends) > 0 && !r.ends[0].After(now) {
		r.ends = r.ends[1:]
	}
	if len(r.ends) >= r.slots+r.maxWaiting {
		r.refused = append(r.refused, now)
		return false
	}
	begin := now
	if open := len(r.ends); open >= r.slots {
		begin = r.ends[open-r.slots]
	}
	end := begin.Add(takes)
	at := len(r.ends)
	for at > 0 && r.ends[at-1].After(end) {
		at--
	}
	r.ends = append(r.ends[:at], append([]time.Time{end}, r.ends[at:]...)...)
	r.served++
	return true
}

// mostRefusedInASecond returns the largest number of refusals within a second.
func (r *brittleRunner) mostRefusedInASecond() int {
	most := 0
	for i, first := range r.refused {
		n := 0
		for _, at := range r.refused[i:] {
			if at.Sub(first) < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against daemons that together have a brittle endpoint refuse too many calls.
func TestDaemonsShareBudgetOfRefusals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		daemons := rapid.IntRange(1, 40).Draw(t, "daemons")
		maxRefusals := rapid.IntRange(6, 20).Draw(t, "refusals")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		const callTime = 50 * time.Millisecond
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		runner := &brittleRunner{slots: slots, maxWaiting: 1000}
		stated := float64(slots) / callTime.Seconds()
		l := NewLimiter()
		pending := make([]int, daemons)
		retryAt := make([]time.Time, daemons)
		const duration, step = 20 * time.Second, time.Millisecond
		for now := start; now.Sub(start) < duration; now = now.Add(step) {
			if now.Equal(start.Add(3 * time.Second)) {
				runner.maxWaiting = rapid.IntRange(0, 3).Draw(t, "waiting")
			}
			if now.Equal(start.Add(8 * time.Second)) {
				runner.slots = rapid.IntRange(1, slots).Draw(t, "fewer slots")
			}
			d := random.IntN(daemons)
			if now.Before(retryAt[d]) {
				continue
			}
			ask := Candidate{Endpoint: "e", Refused: pending[d], Limit: Limit{
				PerSecond: 0.9 * stated, Burst: callTime / 2, MaxRefusals: maxRefusals,
			}}
			pending[d] = 0
			grant := l.Admit(now, []Candidate{ask}, 0)
			if grant.Endpoint == "" {
				retryAt[d] = now.Add(grant.Wait)
				continue
			}
			takes := time.Duration(float64(callTime) * (0.5 + random.Float64()))
			if !runner.call(now, takes) {
				pending[d]++
			}
		}
		if most := runner.mostRefusedInASecond(); most > maxRefusals {
			t.Fatalf("%d refusals within a second, the endpoint withstands %d", most, maxRefusals)
		}
		if fewest := int(duration.Seconds() * float64(runner.slots) / callTime.Seconds() / 10); runner.served < fewest {
			t.Fatalf("%d calls served, want %d at least", runner.served, fewest)
		}
	})
}

// Guards against a rate that stays reduced after the endpoint has room again.
func TestReducedRateRecovers(t *testing.T) {
	l := Limit{PerSecond: 100, MaxRefusals: 8}
	var r refusals
	r.record(start, 3, l.MaxRefusals)
	if got := r.reduce(start, l).PerSecond; got > 40 {
		t.Errorf("%v a second right after three refusals", got)
	}
	if got := r.reduce(start.Add(10*time.Second), l).PerSecond; got != 100 {
		t.Errorf("%v a second ten seconds later", got)
	}
}
