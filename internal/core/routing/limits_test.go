package routing

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// rateLimitedRunners returns n runners; the first ones have the given rate
// limits.
func rateLimitedRunners(n int, limits ...float64) []port.Endpoint {
	out := inDomains(n, "a")
	for i, perSecond := range limits {
		out[i].RateLimit = perSecond
	}
	return out
}

// Guards against placing prompts above a runner's rate limit while others
// have capacity.
func TestPlacementSkipsRunnersAtRateLimit(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, rateLimitedRunners(3, 1, 1))
	got := map[string]int{}
	for i := range 12 {
		d := s.Submit(at(time.Duration(i)*time.Millisecond), request(fmt.Sprint("r", i), 10))
		if d.Verdict != port.VerdictPlace {
			t.Fatalf("verdict %v for %s, want a placement", d.Verdict, d.Reason)
		}
		got[d.Endpoint.ID]++
		if i == 11 && !hasExcluded(d.Candidates, ExcludedLimit) {
			t.Errorf("no candidate excluded for its rate limit: %+v", d.Candidates)
		}
	}
	if got["runner-0"] > 1 || got["runner-1"] > 1 {
		t.Errorf("placements by runner %v, want at most 1 on runner-0 and runner-1", got)
	}
}

func hasExcluded(cs []port.CandidateScore, reason string) bool {
	for _, c := range cs {
		if c.Excluded == reason {
			return true
		}
	}
	return false
}

// Guards against refusing prompts that a rate-limited runner can take a
// moment later.
func TestRequestsAreHeldForRunnersAtRateLimit(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, rateLimitedRunners(2, 2, 2))
	for i := range 2 {
		wantVerdict(t, s.Submit(start, request(fmt.Sprint("first", i), 10)), port.VerdictPlace, ReasonPlaced)
	}
	wantVerdict(t, s.Submit(start, request("held", 10)), port.VerdictHold, ReasonHeldLimit)
	s.Tick(at(400 * time.Millisecond))
	wantVerdict(t, s.Submit(at(400*time.Millisecond), request("held", 10)), port.VerdictHold, ReasonHeldBehind)
	s.Tick(at(500 * time.Millisecond))
	wantVerdict(t, s.Submit(at(500*time.Millisecond), request("held", 10)), port.VerdictPlace, ReasonReleased)
}

// Guards against moving a run to a runner that is at its rate limit.
func TestRelocationSkipsRunnersAtRateLimit(t *testing.T) {
	s := newTestScheduler(t, 0, nil)
	s.SetEndpoints(start, rateLimitedRunners(2))
	s.Submit(start, request("run", 10))
	es := rateLimitedRunners(2, 1, 1)
	s.ChangeEndpoints(start, es)
	terms := port.RelocationConstraints{FailureDomain: "a"}
	wantVerdict(t, s.Relocate(start, "run", terms), port.VerdictPlace, ReasonRelocated)
	s.Relocated(start, "run", false)
	wantVerdict(t, s.Relocate(at(500*time.Millisecond), "run", terms), port.VerdictRefuse, ReasonRefusedNoCapacity)
	wantVerdict(t, s.Relocate(at(time.Second), "run", terms), port.VerdictPlace, ReasonRelocated)
}

// Guards against placements and relocations above a runner's rate limit,
// under any load.
func TestRunnersStayWithinRateLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestScheduler(nopTB{}, 0, nil)
		limit := rapid.Float64Range(0.2, 20).Draw(t, "limit")
		s.SetEndpoints(start, rateLimitedRunners(3, limit, limit))
		sent := map[string][]time.Time{}
		var held, running []string
		now := start
		record := func(id string, d port.Decision) {
			switch d.Verdict {
			case port.VerdictPlace:
				sent[d.Endpoint.ID] = append(sent[d.Endpoint.ID], now)
				running = append(running, id)
			case port.VerdictHold:
				held = append(held, id)
			}
		}
		for i := range rapid.IntRange(10, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				s.Tick(now)
			case 1:
				for _, id := range running {
					s.Finished(now, id, 3, port.FinishDone)
				}
				running = nil
			case 2:
				if len(running) > 0 {
					d := s.Relocate(now, running[0], port.RelocationConstraints{})
					if d.Verdict == port.VerdictPlace {
						sent[d.Endpoint.ID] = append(sent[d.Endpoint.ID], now)
						s.Relocated(now, running[0], rapid.Bool().Draw(t, "moved"))
					}
				}
			default:
				record(fmt.Sprint("r", i), s.Submit(now, request(fmt.Sprint("r", i), 100)))
			}
			waiting := held
			held = nil
			for _, id := range waiting {
				select {
				case <-s.Ready(id):
					record(id, s.Submit(now, request(id, 100)))
				default:
					held = append(held, id)
				}
			}
		}
		for _, id := range []string{"runner-0", "runner-1"} {
			for i, first := range sent[id] {
				for j := i; j < len(sent[id]); j++ {
					within := sent[id][j].Sub(first)
					most := 1 + limit*(within.Seconds()+1)
					if n := float64(j - i + 1); n > most+1e-6 {
						t.Fatalf("%s got %v requests within %v, rate limit %v", id, n, within, limit)
					}
				}
			}
		}
	})
}
