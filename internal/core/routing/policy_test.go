package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// Guards against applying a late report without correction: it was taken
// before this router's last dispatch, so the runner would look empty and get
// the next prompt too.
func TestLateReportDoesntHideOwnDispatch(t *testing.T) {
	s := newTestScheduler(t, 2, nil)
	first := s.Submit(at(time.Second), request("a", 4000))
	now := at(time.Second + 50*time.Millisecond)
	for i := range 2 {
		s.Report(now, report(i, 0, 0))
	}
	second := s.Submit(now, request("b", 4000))
	if first.Endpoint.ID == second.Endpoint.ID {
		t.Fatalf("both requests placed on %s", first.Endpoint.ID)
	}
}

// Other routers use a quarter of a runner, and this router has just
// dispatched to it. Guards against subtracting the dispatch from a late
// report that doesn't include it, which would hide as much of the others'
// load.
func TestLateReportDoesntHideLoadOfOtherRouters(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	reportUntilSmoothed(s, start, 0, 250, 4)
	now := at(10 * time.Second)
	wantVerdict(t, s.Submit(now, request("a", 2000)), port.VerdictPlace, ReasonPlaced)
	reportUntilSmoothed(s, now.Add(10*time.Millisecond), 0, 250, 4)
	if r := s.runner("runner-0"); r.othersContext < 3800 {
		t.Fatalf("other routers' load is %.0f tokens, want 4000", r.othersContext)
	}
}

// A runner has returned as a new incarnation. A late report that the old one
// is leaving must be ignored.
func TestReportOfOldIncarnationIsIgnored(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	back := endpoints(1)
	back[0].Incarnation = 2
	s.SetEndpoints(start, back)
	late := report(0, 900, 9)
	late.State = port.EndpointLeaving
	s.Report(start, late)
	wantVerdict(t, s.Submit(start, request("a", 100)), port.VerdictPlace, ReasonPlaced)
}

// The caller of a released request has disconnected. Its placement must be
// freed, or it would occupy the runner for no caller.
func TestUncollectedPlacementIsFreed(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	reportUntilSmoothed(s, start, 0, 990, 5)
	wantVerdict(t, s.Submit(start, request("long", 3000)), port.VerdictHold, ReasonHeldOverflow)
	reportUntilSmoothed(s, at(time.Second), 0, 0, 0)
	s.Tick(at(time.Second))
	sh := s.shards["pool"]
	if sh.ownCount != 1 {
		t.Fatalf("%d running, want 1: the released request", sh.ownCount)
	}
	s.Tick(at(time.Second + collectTimeout))
	if sh.ownCount != 0 || s.find("long") != nil {
		t.Fatalf("%d running after the collect timeout, want 0 and the request removed", sh.ownCount)
	}
}

// A report includes this router's own generations. Guards against counting
// them twice, which would double the load of a runner that only this router
// uses.
func TestReportDoesntCountOwnWorkTwice(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	s.Submit(start, request("a", 4000))
	s.Progress(start, "a", 1)
	now := at(time.Minute)
	reportUntilSmoothed(s, now, 0, 251, 1)
	r := s.runner("runner-0")
	if r.othersContext > 100 || r.othersCount > 0.1 {
		t.Fatalf("other routers' load is %.0f tokens in %.1f generations, want none", r.othersContext, r.othersCount)
	}
}

// A long request is held because the cache is nearly full. A short one fits
// and must not wait behind it.
func TestShortRequestPassesHeldLongRequest(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	for i := range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 50}, 20+i%20)
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 3000}, 2000+i)
	}
	reportUntilSmoothed(s, start, 0, 780, 5)
	wantVerdict(t, s.Submit(start, request("long", 3000)), port.VerdictHold, ReasonHeldOverflow)
	wantVerdict(t, s.Submit(start, request("short", 50)), port.VerdictPlace, ReasonPlaced)
}

// One organisation sends long requests without pause, the others few. While
// the pool is over half used, the flood must wait and another organisation's
// request must be placed.
func TestFloodWaitsForOthers(t *testing.T) {
	s := newTestScheduler(t, 4, nil)
	for i := range 4 {
		large := report(i, 1500, 20)
		large.BlocksTotal = 4000
		for range 8 {
			s.Report(start, large)
		}
	}
	for range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "flood", PromptTokens: 3000}, 1000)
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "other", PromptTokens: 3000}, 1000)
	}
	for i := range 6 {
		s.Submit(start, organisationRequest(fmt.Sprint("o", i), fmt.Sprint("other", i)))
	}
	placed, held := 0, 0
	for i := range 40 {
		switch d := s.Submit(start, organisationRequest(fmt.Sprint(i), "flood")); {
		case d.Verdict == port.VerdictPlace:
			placed++
		case d.Reason == ReasonHeldShare:
			held++
		}
	}
	if held == 0 {
		t.Fatalf("%d requests placed, none held for its share", placed)
	}
	wantVerdict(t, s.Submit(start, organisationRequest("o6", "other6")), port.VerdictPlace, ReasonReleased)
}

// With two thousand organisations the even share is less than one request.
// An organisation with three long requests doesn't flood the pool, and they
// must not wait for each other.
func TestSmallShareDoesntSerialiseLongRequests(t *testing.T) {
	s := newTestScheduler(t, 4, nil)
	for i := range 4 {
		large := report(i, 2000, 20)
		large.BlocksTotal = 4000
		for range 8 {
			s.Report(start, large)
		}
	}
	for range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "one", PromptTokens: 3000}, 200)
	}
	for i := range 2000 {
		id := fmt.Sprint("o", i)
		s.Submit(start, organisationRequest(id, id))
		s.Finished(start, id, 200, port.FinishDone)
	}
	for i := range 3 {
		wantVerdict(t, s.Submit(start, organisationRequest(fmt.Sprint(i), "one")), port.VerdictPlace, ReasonPlaced)
	}
}

func organisationRequest(id, organisation string) *port.GenerationRequest {
	r := request(id, 3000)
	r.Organisation = organisation
	return r
}

// An overloaded pool refuses requests with a retry time. Callers that return
// at that time must be served, or they would retry again and again.
func TestRetriesAtGivenTimeAreServed(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	s.SetPolicy(fuzzPolicy())
	type retry struct {
		id  string
		due time.Time
	}
	var running []string
	var retries []retry
	served, refusedAgain := 0, 0
	submit := func(now time.Time, id string, isRetry bool) {
		r := request(id, 100)
		r.Arrived = now
		switch d := s.Submit(now, r); d.Verdict {
		case port.VerdictPlace:
			running = append(running, id)
			served += count(isRetry)
		case port.VerdictHold:
			served += count(isRetry)
		case port.VerdictRefuse:
			refusedAgain += count(isRetry)
			if !isRetry {
				retries = append(retries, retry{id + "-back", now.Add(d.RetryAfter)})
			}
		}
	}
	for i := range 2400 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		// Ten requests per second are served; sixteen arrive at first, then
		// eight.
		if i%2 == 0 && len(running) > 0 {
			s.Finished(now, running[0], 30, port.FinishDone)
			running = running[1:]
		}
		if i < 400 && i%5 < 4 || i%5 < 2 {
			submit(now, fmt.Sprint(i), false)
		}
		s.Tick(now)
		due := retries
		retries = nil
		for _, v := range due {
			if v.due.After(now) {
				retries = append(retries, v)
				continue
			}
			submit(now, v.id, true)
		}
		running = append(running, released(s, now)...)
	}
	t.Logf("%d retries served, %d refused again", served, refusedAgain)
	if served < 20 || float64(refusedAgain) > 0.1*float64(served) {
		t.Fatalf("%d retries served, %d refused again", served, refusedAgain)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// released collects the requests that the scheduler released from its queue.
func released(s *Scheduler, now time.Time) []string {
	var out []string
	for _, sh := range s.shards {
		for _, e := range append([]*entry(nil), sh.uncollected...) {
			if d := s.Submit(now, &e.request); d.Verdict == port.VerdictPlace {
				out = append(out, e.request.RequestID)
			}
		}
	}
	return out
}

// A policy record that allows no queue or no wait must be followed: a
// request that doesn't fit is refused at once.
func TestZeroPolicyLimitsApply(t *testing.T) {
	for name, w := range map[string]port.Weights{
		"no queue": {OverflowLimit: 0.1, HoldLimit: time.Minute},
		"no wait":  {OverflowLimit: 0.1, QueueLimit: 10},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler(t, 1, nil)
			s.SetPolicy(port.Policy{Weights: map[string]port.Weights{"": w}})
			reportUntilSmoothed(s, start, 0, 990, 5)
			wantVerdict(t, s.Submit(start, request("a", 3000)), port.VerdictRefuse, ReasonRefusedQueue)
		})
	}
}

// The mean of a footprint never exceeds the context plus growth and is zero
// beyond the output limit, and the probability of overflow rises with use.
func TestFootprintProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s length.Survival
		prompt := rapid.IntRange(1, 8000).Draw(t, "prompt")
		seen := rapid.IntRange(0, 8000).Draw(t, "seen")
		limit := rapid.IntRange(0, 9000).Draw(t, "limit")
		var f footprint
		f.set(&s, prompt, seen, limit)
		for k, ahead := range horizons {
			most := float64(prompt + seen + ahead)
			if f.mean[k] < 0 || f.mean[k] > most+1e-6 || f.variance[k] < -1e-6 {
				t.Fatalf("at horizon %d: mean %v, variance %v", ahead, f.mean[k], f.variance[k])
			}
			if limit > 0 && seen+ahead >= limit && f.mean[k] != 0 {
				t.Fatalf("at horizon %d: mean %v past the output limit of %d tokens", ahead, f.mean[k], limit)
			}
		}
		last := 1.0
		for d := -6.0; d < 6; d += 0.05 {
			chance := overflowChance(d)
			if chance > last {
				t.Fatalf("overflow probability %v after %v, want no increase with free capacity", chance, last)
			}
			last = chance
		}
	})
}

// The estimated overflow probability must be close to the observed
// frequency, or the limits in the weights mean nothing.
func TestOverflowChanceIsCalibrated(t *testing.T) {
	const trainings, trials, generations, horizon = 20, 500, 12, 2
	expected := []float64{0.5, 0.2, 0.05}
	over := make([]int, len(expected))
	r := rand.New(rand.NewPCG(1, 2))
	draw := func() int { return max(1, int(800*math.Exp(0.8*r.NormFloat64()))) }
	for range trainings {
		e := length.NewEstimator(length.Options{})
		for range 500 {
			e.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 1000}, draw())
		}
		s := e.Estimate(length.Subject{Model: "m", Organisation: "o", PromptTokens: 1000})
		var sum, one footprint
		one.set(&s, 1000, 0, 0)
		for range generations {
			sum.add(&one)
		}
		for range trials {
			use := 0
			for range generations {
				if draw() > horizons[horizon] {
					use += 1000 + horizons[horizon]
				}
			}
			for i, p := range expected {
				if float64(use) > capacityFor(&sum, horizon, p) {
					over[i]++
				}
			}
		}
	}
	for i, p := range expected {
		seen := float64(over[i]) / (trainings * trials)
		t.Logf("expected %.2f, observed %.3f", p, seen)
		if math.Abs(seen-p) > 0.05+p/2 {
			t.Errorf("overflow probability: expected %.2f, observed %.3f", p, seen)
		}
	}
}

// capacityFor returns the cache size that overflows with the given
// probability.
func capacityFor(f *footprint, horizon int, chance float64) float64 {
	low, high := 0.0, 100_000.0
	for range 60 {
		middle := (low + high) / 2
		if overflowChance((middle-f.mean[horizon])/math.Sqrt(f.variance[horizon])) > chance {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// Guards against a retry budget that is spent on placements that reached no endpoint.
func TestPlacementsNotSentSpendNoRetries(t *testing.T) {
	s := newTestScheduler(t, 4, nil)
	refused := 0
	for i := range 200 {
		r := request(fmt.Sprint("r", i), 100)
		r.Attempt, r.NotSent = 2, true
		if d := s.Submit(at(time.Second), r); d.Reason == ReasonRefusedRetry {
			refused++
		}
		s.Finished(at(time.Second), r.RequestID, 0, port.FinishCancelled)
	}
	if refused > 0 {
		t.Fatalf("%d placements refused because the retry budget is spent", refused)
	}
}
