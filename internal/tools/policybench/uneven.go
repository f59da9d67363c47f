package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Parameters of the uneven scenario.
const (
	// slowDivisor makes one runner in slowDivisor permanently slow.
	slowDivisor  = 3
	slowRunner   = 2.4
	slowPeriod   = 2.5
	slowFraction = 0.15
	slowShortest = 200 * time.Millisecond
	slowLongest  = 600 * time.Millisecond
	// unevenUnreadLimit bounds the prompt tokens at a runner that are not yet
	// prefilled, as the daemons do.
	unevenUnreadLimit = 6144
)

// unevenWorkload returns long and short generations, both with prompts of
// thousands of tokens, for one daemon that schedules the whole pool.
func unevenWorkload() workload {
	w := longPrompts()
	w.name, w.runners, w.eventTokens = "uneven", 15, 4
	w.gapTarget, w.patientTarget = 180*time.Millisecond, 4*time.Second
	w.engine.BlocksTotal = 26_900 / w.engine.BlockTokens
	w.engine.MaxBatch = 24
	w.kinds = []kind{
		{
			name: "label", fraction: 0.53, templateTokens: 64,
			prompt: distribution{2000, 0.4, 6000}, output: distribution{10, 0.5, 52},
			firstTokenTarget: 1500 * time.Millisecond,
		},
		{
			name: "report", fraction: 0.47, templateTokens: 64,
			prompt: distribution{2850, 0.35, 6000}, output: distribution{660, 0.5, 2200},
			firstTokenTarget: 1800 * time.Millisecond,
		},
	}
	return w
}

// unevenCapacity returns the requests per second that the pool completes with its
// slow runners and slow periods.
func unevenCapacity(w *workload) float64 {
	runners := 1 - (1-1/slowRunner)/slowDivisor
	return w.capacity(1) * runners * (1 - slowFraction + slowFraction/slowPeriod)
}

func unevenScenarios() []scenario {
	return []scenario{
		{name: unfloodedScenario, load: 0.7, uneven: true},
		{name: referenceScenario, load: 0.9, uneven: true},
		{name: "load 1.1", load: 1.1, uneven: true},
	}
}

// Names of the policies that the uneven scenario compares.
const (
	withoutSpeeds = "without speeds"
	withSpeeds    = "with speeds"
	speedOracle   = "oracle, speeds"
	evenOracle    = "oracle, no speeds"
)

func unevenPolicies() []policy {
	return []policy{
		{"least outstanding", baselineScheduler(leastOutstanding)},
		{withoutSpeeds, schedulerWith(routing.Options{PrefillBacklogLimit: unevenUnreadLimit})},
		{withSpeeds, schedulerWith(routing.Options{PrefillBacklogLimit: unevenUnreadLimit, UnevenEndpoints: true})},
		{evenOracle, oracleOfSpeeds(false)},
		{speedOracle, oracleOfSpeeds(true)},
	}
}

// makeUneven slows some of the engines, and all of them for brief periods.
func (s *sim) makeUneven(seed uint64) {
	r := rand.New(rand.NewPCG(seed, 300))
	for i, e := range s.engines {
		if i%slowDivisor == slowDivisor-1 {
			e.usual = slowRunner
		}
		e.setSpeed(1)
		s.schedule(quietPeriod(r), func(now time.Duration) { s.slowDown(now, e, r) })
	}
}

// quietPeriod draws the time between two slow periods.
func quietPeriod(r *rand.Rand) time.Duration {
	mean := float64(slowShortest+slowLongest) / 2 * (1 - slowFraction) / slowFraction
	return time.Duration(mean * r.ExpFloat64())
}

func (s *sim) slowDown(now time.Duration, e *engineSlot, r *rand.Rand) {
	e.setSpeed(slowPeriod)
	until := now + slowShortest + time.Duration(r.Float64()*float64(slowLongest-slowShortest))
	s.schedule(until, func(now time.Duration) {
		e.setSpeed(1)
		s.schedule(now+quietPeriod(r), func(now time.Duration) { s.slowDown(now, e, r) })
	})
}

func (e *engineSlot) setSpeed(factor float64) {
	e.present = e.usual * factor
	e.model.SetSlowFactor(e.present)
}

// observe passes a sample of a call's stream to the scheduler. The engine states
// its slowness with the first event.
func (s *sim) observe(now time.Duration, r port.Scheduler, c *call, first bool) {
	relocator, ok := r.(port.Relocator)
	if !ok {
		return
	}
	if first {
		c.observedAt, c.observedTokens = now, c.tokens
		relocator.ObserveStream(at(now), c.id, port.StreamSample{Slowness: s.engines[c.engine].present})
		return
	}
	c.observedGap = max(c.observedGap, now-max(c.observedAt, c.previous))
	if c.tokens%progressEvery != 0 {
		return
	}
	perToken := (now - c.observedAt) / time.Duration(c.tokens-c.observedTokens)
	relocator.ObserveStream(at(now), c.id, port.StreamSample{PerToken: perToken, Gap: c.observedGap})
	c.observedAt, c.observedTokens, c.observedGap = now, c.tokens, 0
}

// addUnevenComparisons adds how far the rules on speed lead from the scheduler
// without them to the oracle, and what the speeds alone are worth to the oracle.
func (r *report) addUnevenComparisons() {
	for _, sc := range unevenScenarios() {
		var rows []*row
		for _, p := range []string{withoutSpeeds, withSpeeds, speedOracle, evenOracle} {
			rows = append(rows, r.find("uneven", sc.name, p))
		}
		if slices.Contains(rows, nil) {
			continue
		}
		for _, m := range []string{goodput, goodShort, goodputReport, stallTime, reportRun} {
			without, with, best, even := rows[0].Mean[m], rows[1].Mean[m], rows[2].Mean[m], rows[3].Mean[m]
			r.Aims = append(r.Aims, fmt.Sprintf("uneven, %s, %s: without speeds %.2f, with %.2f, oracle %.2f (%.2f of the way), oracle without speeds %.2f",
				sc.name, m, without, with, best, way(without, with, best), even))
		}
	}
}

// way returns how far a value is on the way from one bound to the other.
func way(from, value, to float64) float64 { return (value - from) / (to - from) }

// speedOracleScheduler has the state and the speed of every engine and the output
// length of every request. It places each request where it adds the least time to
// the request itself and to the runs there, and holds requests that would overflow
// the cache, or that can be served on time by a faster runner later.
type speedOracleScheduler struct {
	oracleScheduler
	// knowsSpeeds is unset if it takes all engines for equally fast, which shows what
	// its other knowledge is worth.
	knowsSpeeds bool
}

func oracleOfSpeeds(knowsSpeeds bool) func(*workload, *sim, uint64) []port.Scheduler {
	return func(w *workload, s *sim, seed uint64) []port.Scheduler {
		base := oracle(true)(w, s, seed)[0].(*oracleScheduler)
		return []port.Scheduler{&speedOracleScheduler{*base, knowsSpeeds}}
	}
}

// speeds returns the usual and the present slowness of an engine.
func (k *speedOracleScheduler) speeds(e *engineSlot) (usual, present float64) {
	if !k.knowsSpeeds {
		return 1, 1
	}
	return e.usual, e.present
}

// expected returns the expected time from the placement of a call to its first
// token, and the time that it adds to the call and to the runs there.
func (k *speedOracleScheduler) expected(i int, c *call) (first, added time.Duration) {
	engine := &k.sim.w.engine
	e := k.sim.engines[i]
	usual, present := k.speeds(e)
	load := e.model.Load()
	decoding := time.Duration(load.Running)
	step := engine.StepBase + decoding*engine.StepPerJob
	prompt := time.Duration(load.WaitingPromptTokens + c.prompt)
	first = scale(prompt*engine.PrefillPerToken+prompt/time.Duration(engine.PrefillTokens)*step, present)
	completion := scale(time.Duration(c.output)*step, usual)
	delay := scale(decoding*time.Duration(c.prompt)*engine.PrefillPerToken, usual)
	return first, first + completion + delay
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}

// pick returns the best runner for a call, or -1 to hold it.
func (k *speedOracleScheduler) pick(now time.Duration, c *call) int {
	capacity := float64(k.sim.w.engine.BlocksTotal * k.sim.w.engine.BlockTokens)
	due := c.arrived + k.sim.w.target(c)
	best, bestAdded, bestGood := -1, time.Duration(0), false
	canWait := now+c.fastestFirst(k.sim) <= due
	for i, e := range k.sim.engines {
		usual, _ := k.speeds(e)
		load := e.model.Load()
		busy := scale(time.Duration(load.WaitingPromptTokens), usual) > unevenUnreadLimit
		if !k.live[i] || load.Waiting > 0 || busy || k.peak(i, c) > oracleCacheLimit*capacity {
			continue
		}
		first, added := k.expected(i, c)
		// A slow runner exceeds the target for the gap in its slow periods.
		steady := c.output < progressEvery*4 || usual < slowRunner
		good := steady && now+first <= due
		if !good && canWait {
			continue
		}
		if best < 0 || good && !bestGood || good == bestGood && added < bestAdded {
			best, bestAdded, bestGood = i, added, good
		}
	}
	return best
}

// fastestFirst returns the time to the first token of a call at an idle runner.
func (c *call) fastestFirst(s *sim) time.Duration {
	engine := &s.w.engine
	prompt := time.Duration(c.prompt)
	return prompt*engine.PrefillPerToken + prompt/time.Duration(engine.PrefillTokens)*engine.StepBase
}

// Submit implements port.Scheduler.
func (k *speedOracleScheduler) Submit(now time.Time, r *port.GenerationRequest) port.Decision {
	c := k.sim.calls[r.RequestID]
	if runner, chosen := k.chosen[r.RequestID]; chosen {
		delete(k.chosen, r.RequestID)
		delete(k.ready, r.RequestID)
		return k.place(runner)
	}
	if runner := k.pick(now.Sub(epoch), c); runner >= 0 {
		k.running[runner] = append(k.running[runner], c)
		return k.place(runner)
	}
	k.waiting = append(k.waiting, c)
	k.ready[r.RequestID] = make(chan struct{})
	return port.Decision{Verdict: port.VerdictHold}
}

// Finished implements port.Scheduler.
func (k *speedOracleScheduler) Finished(now time.Time, id string, _ int, _ port.FinishKind) {
	c := k.sim.calls[id]
	for i := range k.running {
		k.running[i] = slices.DeleteFunc(k.running[i], func(other *call) bool { return other == c })
	}
	k.Tick(now)
}

// Tick implements port.Scheduler. Of the held requests, those that can be on time
// go first, the most urgent of them before the others.
func (k *speedOracleScheduler) Tick(t time.Time) {
	now := t.Sub(epoch)
	due := func(c *call) time.Duration {
		by := c.arrived + k.sim.w.target(c) - c.fastestFirst(k.sim)
		if by < now {
			by += time.Hour
		}
		return by
	}
	slices.SortStableFunc(k.waiting, func(a, b *call) int { return int(due(a) - due(b)) })
	remaining := k.waiting[:0]
	for _, c := range k.waiting {
		runner := k.pick(now, c)
		if runner < 0 {
			remaining = append(remaining, c)
			continue
		}
		k.running[runner] = append(k.running[runner], c)
		k.chosen[c.id] = runner
		close(k.ready[c.id])
	}
	k.waiting = remaining
}
