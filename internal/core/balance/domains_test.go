package balance

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against calls that wait at the full failure domain that most of them come from,
// while others have room, and against a domain that gets none once it has room again. The
// callers' domains don't matter: two endpoints are drawn from all of them.
func TestCallsOverflowFromFullFailureDomainAndReturn(t *testing.T) {
	const calls, slots = 600, 6
	for name, slowness := range map[string]float64{"number of calls": 0, "expected time": 1.3} {
		t.Run(name, func(t *testing.T) {
			b := newUnevenBalancer()
			pool := endpoints(6)
			for i := range pool {
				pool[i].FailureDomain = []string{"north", "east", "south"}[i/2]
			}
			now := testStart
			// play returns the share of the calls that each domain's endpoints get.
			play := func(northCalls int) map[string]float64 {
				shares := map[string]float64{}
				// sample returns what an answer shows: a call takes 20 ms once it has a slot.
				sample := func(e *port.Endpoint) Sample {
					calls := 1
					if e.FailureDomain == "north" {
						calls = northCalls
					}
					queue := max(1, calls/slots)
					return Sample{
						Took: time.Duration(queue) * 20 * time.Millisecond,
						Load: &port.LoadHint{Running: min(slots, calls), Waiting: max(0, calls-slots), Slots: slots, Slowness: slowness},
					}
				}
				for i := range pool {
					first := sample(&pool[i])
					answer(b, now, &pool[i], first.Took, first.Load)
				}
				for range calls {
					now = now.Add(10 * time.Millisecond)
					e, _, _ := b.Choose(now, pool)
					shares[e.FailureDomain] += 1.0 / calls
					ended := sample(&e)
					b.Observe(now, &e, ended.Load, false)
					b.EndSuccess(now, &e, ended)
				}
				return shares
			}
			// Both endpoints that are drawn are full for one call in 15.
			if full := play(3 * slots); full["north"] > 0.15 || full["east"] < 0.3 || full["south"] < 0.3 {
				t.Errorf("shares with a full domain: %v, want at most 0.15 of the calls there", full)
			}
			if free := play(1); free["north"] < 0.25 {
				t.Errorf("shares once the domain has room: %v, want 0.25 or more of the calls there", free)
			}
		})
	}
}
