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

// A report was taken before this router's last dispatch and comes after it.
// Taken as it is, the runner looks empty again, and gets the next prompt too.
func TestLateReportDoesntHideOwnDispatch(t *testing.T) {
	s := newTestScheduler(t, 2, nil)
	first := s.Submit(at(time.Second), request("a", 4000))
	now := at(time.Second + 50*time.Millisecond)
	for i := range 2 {
		s.Report(now, report(i, 0, 0))
	}
	second := s.Submit(now, request("b", 4000))
	if first.Endpoint.ID == second.Endpoint.ID {
		t.Fatalf("both on %s", first.Endpoint.ID)
	}
}

// Others fill a quarter of a runner, and this router has just dispatched to it. The
// late report doesn't show the dispatch: subtracted from it all the same, it
// would hide as much of the others' work.
func TestLateReportDoesntHideOthersWork(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	settle(s, start, 0, 250, 4)
	now := at(10 * time.Second)
	wantVerdict(t, s.Submit(now, request("a", 2000)), port.VerdictPlace, ReasonPlaced)
	settle(s, now.Add(10*time.Millisecond), 0, 250, 4)
	if r := s.runner("runner-0"); r.elseContext < 3800 {
		t.Fatalf("others' part is %.0f tokens, want 4000", r.elseContext)
	}
}

// A runner came back as a new incarnation. A late report of the old one says
// that it leaves, which is no longer true.
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

// A held request is released, but its caller has gone without a word. Its
// place must come free again, or the runner stays full for nobody.
func TestReleasedPlaceIsFreedWhenNobodyCollects(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	settle(s, start, 0, 990, 5)
	wantVerdict(t, s.Submit(start, request("long", 3000)), port.VerdictHold, ReasonHeldOverflow)
	settle(s, at(time.Second), 0, 0, 0)
	s.Tick(at(time.Second))
	sh := s.shards["pool"]
	if sh.ownCount != 1 {
		t.Fatalf("%d running, want the released one", sh.ownCount)
	}
	s.Tick(at(time.Second + collectWithin))
	if sh.ownCount != 0 || s.find("long") != nil {
		t.Fatalf("%d running for nobody", sh.ownCount)
	}
}

// The report shows this router's own generations too. Counted twice, a runner
// that only this router uses would look doubly full.
func TestReportDoesntCountOwnWorkTwice(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	s.Submit(start, request("a", 4000))
	s.Progress(start, "a", 1)
	now := at(time.Minute)
	settle(s, now, 0, 251, 1)
	r := s.runner("runner-0")
	if r.elseContext > 100 || r.elseCount > 0.1 {
		t.Fatalf("others' part is %.0f tokens of %.1f generations", r.elseContext, r.elseCount)
	}
}

// A long report is held as the cache is nearly full. A short query fits, and
// must not wait behind it.
func TestShortPassesHeldLong(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	for i := range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 50}, 20+i%20)
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 3000}, 2000+i)
	}
	settle(s, start, 0, 780, 5)
	wantVerdict(t, s.Submit(start, request("long", 3000)), port.VerdictHold, ReasonHeldOverflow)
	wantVerdict(t, s.Submit(start, request("short", 50)), port.VerdictPlace, ReasonPlaced)
}

// One organisation sends long requests without pause, the others few. With
// the pool over half used, the flood waits while another's request is placed.
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
		t.Fatalf("%d placed, none held for its share", placed)
	}
	wantVerdict(t, s.Submit(start, organisationRequest("o6", "other6")), port.VerdictPlace, ReasonReleased)
}

// With two thousand organisations the even share is less than one request.
// One with three long requests is no flood, and must not wait for its own.
func TestManyOrganisationsDontSerialiseEach(t *testing.T) {
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

// An overloaded pool refuses with a promise. Callers who come back at their
// time must be served, or the promise was worth nothing and they come again.
func TestCallersWhoComeBackAsToldAreServed(t *testing.T) {
	s := newTestScheduler(t, 1, nil)
	s.SetPolicy(fuzzPolicy())
	type visit struct {
		id  string
		due time.Time
	}
	var running []string
	var back []visit
	served, again := 0, 0
	submit := func(now time.Time, id string, returned bool) {
		r := request(id, 100)
		r.Arrived = now
		switch d := s.Submit(now, r); d.Verdict {
		case port.VerdictPlace:
			running = append(running, id)
			served += count(returned)
		case port.VerdictHold:
			served += count(returned)
		case port.VerdictRefuse:
			again += count(returned)
			if !returned {
				back = append(back, visit{id + "-back", now.Add(d.RetryAfter)})
			}
		}
	}
	for i := range 2400 {
		now := at(time.Duration(i) * 50 * time.Millisecond)
		// Ten a second are served; sixteen come, then eight.
		if i%2 == 0 && len(running) > 0 {
			s.Finished(now, running[0], 30, port.FinishDone)
			running = running[1:]
		}
		if i < 400 && i%5 < 4 || i%5 < 2 {
			submit(now, fmt.Sprint(i), false)
		}
		s.Tick(now)
		due := back
		back = nil
		for _, v := range due {
			if v.due.After(now) {
				back = append(back, v)
				continue
			}
			submit(now, v.id, true)
		}
		running = append(running, released(s, now)...)
	}
	t.Logf("%d returned and served, %d refused again", served, again)
	if served < 20 || float64(again) > 0.1*float64(served) {
		t.Fatalf("%d returned and served, %d refused again", served, again)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// released collects what the scheduler released from its queue.
func released(s *Scheduler, now time.Time) []string {
	var out []string
	for _, sh := range s.shards {
		for _, e := range append([]*entry(nil), sh.waiting...) {
			if d := s.Submit(now, &e.request); d.Verdict == port.VerdictPlace {
				out = append(out, e.request.RequestID)
			}
		}
	}
	return out
}

// A record that allows no queue means it: what doesn't fit is refused at once.
func TestZeroLimitsOfARecordAreMeant(t *testing.T) {
	for name, w := range map[string]port.Weights{
		"no queue": {OverflowLimit: 0.1, HoldLimit: time.Minute},
		"no wait":  {OverflowLimit: 0.1, QueueLimit: 10},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestScheduler(t, 1, nil)
			s.SetPolicy(port.Policy{Weights: map[string]port.Weights{"": w}})
			settle(s, start, 0, 990, 5)
			wantVerdict(t, s.Submit(start, request("a", 3000)), port.VerdictRefuse, ReasonRefusedQueue)
		})
	}
}

// A footprint's expectation never exceeds the context plus growth, a bound on
// the output ends it there, and the chance of overflow rises with use.
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
				t.Fatalf("at %d: mean %v variance %v", ahead, f.mean[k], f.variance[k])
			}
			if limit > 0 && seen+ahead >= limit && f.mean[k] != 0 {
				t.Fatalf("at %d: %v tokens past the bound of %d", ahead, f.mean[k], limit)
			}
		}
		last := 1.0
		for d := -6.0; d < 6; d += 0.05 {
			chance := overflowChance(d)
			if chance > last {
				t.Fatalf("chance %v after %v", chance, last)
			}
			last = chance
		}
	})
}

// The chance promised for a runner must be near what is seen, or the accepted
// chance in the weights means nothing.
func TestOverflowChanceIsCalibrated(t *testing.T) {
	const trainings, trials, generations, horizon = 20, 500, 12, 2
	promised := []float64{0.5, 0.2, 0.05}
	over := make([]int, len(promised))
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
			for i, p := range promised {
				if float64(use) > capacityFor(&sum, horizon, p) {
					over[i]++
				}
			}
		}
	}
	for i, p := range promised {
		seen := float64(over[i]) / (trainings * trials)
		t.Logf("promised %.2f seen %.3f", p, seen)
		if math.Abs(seen-p) > 0.05+p/2 {
			t.Errorf("promised %.2f, seen %.3f", p, seen)
		}
	}
}

// capacityFor finds the cache that is overflowed with the chance.
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
