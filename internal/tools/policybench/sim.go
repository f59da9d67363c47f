package main

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
)

// epoch is the wall-clock time at the start of every run.
var epoch = time.Unix(1_700_000_000, 0)

// scenario describes the load, the delay of load reports and the faults of a
// run.
type scenario struct {
	name    string
	load    float64
	lag     time.Duration
	slow    bool
	reclaim bool
	flood   bool
	// waves replaces some of the runners every few seconds.
	waves bool
	// surge multiplies the reports by this factor for surgeTime in each surgeEvery;
	// zero means that it doesn't.
	surge float64
	// surgeOfAll multiplies the requests of all kinds instead.
	surgeOfAll bool
	// hasty lets every second caller repeat a refused request every hastyRetry for
	// hastyTime, whatever its retry time.
	hasty bool
	// overcommit lets runs grow beyond a full cache instead of being preempted.
	overcommit bool
	// uneven makes a third of the runners slower than the others, and each runner
	// slow for brief periods. There are no load reports.
	uneven bool
}

// Parameters of the simulation.
const (
	reportEvery   = 250 * time.Millisecond
	tickEvery     = 100 * time.Millisecond
	progressEvery = 8
	// drainTime is how long a run continues after the end of the arrivals.
	drainTime = 180 * time.Second
	// stallThreshold is the gap between tokens above which a caller sees a
	// stall. Only the time above it counts as stall time.
	stallThreshold = 250 * time.Millisecond
	slowedFactor   = 3
	reclaimNotice  = 5 * time.Second
	hostListLag    = 2 * time.Second
	maxRetries     = 1
	floodFactor    = 10
	// waveEvery is the time between two waves of reclaims. In each wave, one
	// runner in waveDivisor is reclaimed after waveNotice and replaced.
	waveEvery            = 3300 * time.Millisecond
	waveDivisor          = 7
	waveNotice           = 1800 * time.Millisecond
	floodingOrganisation = 3
)

type event struct {
	at  time.Duration
	seq int
	run func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// engineSlot is one runner: its engine model and its state.
type engineSlot struct {
	index    int
	model    *enginemodel.Engine
	stepping bool
	dead     bool
	leaving  bool
	// usual and present are how long work takes, as a multiple of the time that
	// the engine's configuration gives: without and with slow periods.
	usual, present float64
}

// sim simulates one run: the engines, the routers' decision code and the
// arrivals.
type sim struct {
	w        workload
	scenario scenario
	engines  []*engineSlot
	routers  []port.Scheduler
	held     [][]*call
	calls    map[string]*call
	all      []*call
	queue    eventQueue
	seq      int
	end      time.Duration
	// floodStart is the time at which a flood begins.
	floodStart time.Duration
	result     *result
	// largestBacklog is the largest number of prompt tokens seen at one engine that were
	// not prefilled.
	largestBacklog int
}

func at(now time.Duration) time.Time { return epoch.Add(now) }

func (s *sim) schedule(when time.Duration, run func(time.Duration)) {
	s.seq++
	heap.Push(&s.queue, event{at: when, seq: s.seq, run: run})
}

// run simulates one run of a policy.
func run(w workload, sc scenario, capacity float64, length time.Duration, seed uint64, p policy) *result {
	if p.name == floorPolicy {
		w = w.withoutLimits()
	}
	w.engine.Overcommit = sc.overcommit
	s := &sim{w: w, scenario: sc, calls: make(map[string]*call), result: newResult(), end: length + drainTime, floodStart: length / 3}
	for i := range w.runners {
		s.engines = append(s.engines, &engineSlot{index: i, model: enginemodel.New(w.engine), usual: 1, present: 1})
	}
	s.routers = p.make(&w, s, seed)
	s.held = make([][]*call, len(s.routers))
	flood := -1
	if sc.flood {
		flood = floodingOrganisation
	}
	s.all = w.arrivals(seed, capacity*sc.load, length, flood, floodFactor)
	if sc.surge > 1 {
		s.all = append(s.all, w.surgeArrivals(seed, capacity*sc.load*(sc.surge-1), length, sc.surgeOfAll)...)
	}
	for i, c := range s.all {
		c.hasty = sc.hasty && i%2 == 1
		c.id = fmt.Sprintf("router-%d.%d", c.router, i)
		c.request = port.GenerationRequest{
			RequestID: c.id, Organisation: organisationName(c.organisation), Model: modelName,
			PromptTokens: c.prompt, PrefixHashes: w.prefixHashes(c), Attempt: 1, Arrived: at(c.arrived),
		}
		if w.hasRoutes {
			c.request.Route, c.request.Objective = w.kinds[c.kind].name, w.target(c)
			c.request.TokenGap = w.gapTarget / time.Duration(w.tokensPerEvent())
		}
		s.calls[c.id] = c
		s.schedule(c.arrived, func(now time.Duration) {
			s.setDeadline(now, c)
			s.submit(now, c)
		})
	}
	s.setEndpoints(0)
	if sc.uneven {
		s.makeUneven(seed)
	} else {
		s.schedule(0, s.sendReports)
	}
	s.schedule(tickEvery, s.tickRouters)
	s.scheduleFaults(length)
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at > s.end {
			break
		}
		e.run(e.at)
	}
	s.result.collect(s)
	return s.result
}

func (s *sim) scheduleFaults(length time.Duration) {
	if s.scenario.slow {
		s.schedule(length/4, func(time.Duration) { s.engines[0].model.SetSlowFactor(slowedFactor) })
	}
	if s.scenario.waves {
		s.schedule(waveEvery, func(now time.Duration) { s.wave(now, length) })
	}
	if s.scenario.reclaim {
		victim := s.engines[0]
		s.schedule(length/2, func(time.Duration) { victim.leaving = true })
		s.schedule(length/2+hostListLag, func(now time.Duration) { s.setEndpoints(now) })
		s.schedule(length/2+reclaimNotice, func(now time.Duration) { s.reclaim(now, victim) })
	}
}

// wave marks the oldest runners as leaving, adds as many new ones and schedules
// the next wave.
func (s *sim) wave(now, until time.Duration) {
	if now > until {
		return
	}
	toReclaim := s.w.runners / waveDivisor
	for _, e := range s.engines {
		if e.leaving || toReclaim == 0 {
			continue
		}
		toReclaim--
		e.leaving = true
		s.schedule(now+waveNotice, func(now time.Duration) { s.reclaim(now, e) })
		s.engines = append(s.engines, &engineSlot{index: len(s.engines), model: enginemodel.New(s.w.engine)})
	}
	s.setEndpoints(now)
	s.schedule(now+waveEvery, func(now time.Duration) { s.wave(now, until) })
}

func (s *sim) setEndpoints(now time.Duration) {
	var es []port.Endpoint
	for _, e := range s.engines {
		state := port.EndpointLive
		if e.leaving {
			state = port.EndpointLeaving
		}
		endpoint := port.Endpoint{
			ID: runnerName(e.index), Kind: port.KindRunner, Pool: "pool", Incarnation: 1, State: state, Models: []string{modelName},
		}
		if s.scenario.uneven {
			endpoint.EventTokens, endpoint.CacheTokens = s.w.eventTokens, s.w.engine.BlocksTotal*s.w.engine.BlockTokens
		}
		es = append(es, endpoint)
	}
	for _, r := range s.distinctRouters() {
		r.SetEndpoints(at(now), es)
	}
}

// distinctRouters returns each scheduler once. With an oracle, all routers
// share one scheduler.
func (s *sim) distinctRouters() []port.Scheduler { return slices.Compact(slices.Clone(s.routers)) }

func runnerName(i int) string { return fmt.Sprintf("runner-%02d", i) }

// reclaim stops an engine. Its calls without a first token are submitted again
// with this runner excluded; the others are lost.
func (s *sim) reclaim(now time.Duration, e *engineSlot) {
	e.dead = true
	for _, c := range s.all {
		if !c.dispatched || c.finished != 0 || c.lost || c.engine != e.index {
			continue
		}
		s.routers[c.router].Finished(at(now), c.id, c.tokens, port.FinishFailed)
		if c.tokens > 0 {
			c.lost = true
			continue
		}
		c.request.Attempt++
		c.request.Excluded = append(c.request.Excluded, runnerName(e.index))
		s.submit(now, c)
	}
}

func (s *sim) sendReports(now time.Duration) {
	for _, e := range s.engines {
		if e.dead {
			continue
		}
		load := e.model.Load()
		load.EndpointID = runnerName(e.index)
		load.Incarnation = 1
		load.State = port.EndpointLive
		if e.leaving {
			load.State = port.EndpointLeaving
		}
		load.TakenUnixMillis = at(now).UnixMilli()
		s.schedule(now+s.scenario.lag, func(now time.Duration) {
			for _, r := range s.distinctRouters() {
				r.Report(at(now), &load)
			}
		})
	}
	if now+reportEvery < s.end {
		s.schedule(now+reportEvery, s.sendReports)
	}
}

func (s *sim) tickRouters(now time.Duration) {
	for _, r := range s.distinctRouters() {
		r.Tick(at(now))
	}
	for i := range s.routers {
		s.submitReady(now, i)
	}
	if now+tickEvery < s.end {
		s.schedule(now+tickEvery, s.tickRouters)
	}
}

func (s *sim) submit(now time.Duration, c *call) {
	d := s.routers[c.router].Submit(at(now), &c.request)
	switch d.Verdict {
	case port.VerdictPlace:
		s.start(now, c, &d)
	case port.VerdictHold:
		s.held[c.router] = append(s.held[c.router], c)
		c.beginHold(now)
	default:
		s.refuse(now, c, &d)
	}
}

func (s *sim) start(now time.Duration, c *call, d *port.Decision) {
	var index int
	if _, err := fmt.Sscanf(d.Endpoint.ID, "runner-%d", &index); err != nil {
		panic(err)
	}
	e := s.engines[index]
	c.engine = index
	job := enginemodel.Job{ID: c.id, PromptTokens: c.prompt, OutputTokens: c.output, Priority: d.Priority, PrefixHashes: c.request.PrefixHashes}
	if e.dead {
		s.routers[c.router].Finished(at(now), c.id, 0, port.FinishNotStarted)
		c.request.Attempt++
		c.request.Excluded = append(c.request.Excluded, d.Endpoint.ID)
		s.submit(now, c)
		return
	}
	if err := e.model.Submit(at(now), job); err != nil {
		panic(err)
	}
	c.dispatched, c.held = true, false
	c.placed = now
	s.largestBacklog = max(s.largestBacklog, e.model.Load().WaitingPromptTokens)
	s.result.placements[index]++
	s.startStep(now, e)
}

func (s *sim) refuse(now time.Duration, c *call, d *port.Decision) {
	c.refused++
	c.endHold(now, s.w.kinds[c.kind].deadline)
	s.result.refusals[c.kind]++
	wait, retries := d.RetryAfter, maxRetries
	if c.hasty {
		wait, retries = hastyRetry, int(hastyTime/hastyRetry)
	}
	if d.RetryAfter <= 0 || c.refused > retries {
		return
	}
	s.schedule(now+wait, func(now time.Duration) {
		c.retried = true
		c.request.Attempt = 1
		s.setDeadline(now, c)
		s.submit(now, c)
	})
}

// submitReady submits the held requests of a router that are ready.
func (s *sim) submitReady(now time.Duration, router int) {
	remaining := s.held[router][:0]
	var ready []*call
	for _, c := range s.held[router] {
		select {
		case <-s.routers[router].Ready(c.id):
			ready = append(ready, c)
		default:
			remaining = append(remaining, c)
		}
	}
	s.held[router] = remaining
	for _, c := range ready {
		s.submit(now, c)
	}
}

func (s *sim) startStep(now time.Duration, e *engineSlot) {
	if e.stepping || e.dead {
		return
	}
	d, events := e.model.Step(at(now))
	if d == 0 {
		return
	}
	e.stepping = true
	s.schedule(now+d, func(now time.Duration) {
		e.stepping = false
		if e.dead {
			return
		}
		for _, t := range events {
			s.handleToken(now, t)
		}
		s.startStep(now, e)
	})
}

func (s *sim) handleToken(now time.Duration, t enginemodel.TokenEvent) {
	c := s.calls[t.JobID]
	c.generated++
	if !t.Final && c.generated%s.w.tokensPerEvent() != 0 {
		return
	}
	first := c.tokens == 0
	if first {
		c.first = now
	} else {
		gap := now - c.last
		s.result.recordGap(gap)
		c.stall += max(0, gap-stallThreshold)
		c.longestGap = max(c.longestGap, gap)
	}
	c.previous, c.last = c.last, now
	c.tokens = c.generated
	r := s.routers[c.router]
	if s.scenario.uneven {
		s.observe(now, r, c, first)
	}
	if t.Final {
		c.finished = now
		r.Finished(at(now), c.id, c.tokens, port.FinishDone)
		s.submitReadyShared(now, c.router)
		return
	}
	if first || c.tokens%progressEvery == 0 {
		r.Progress(at(now), c.id, c.tokens)
	}
}

// submitReadyShared calls submitReady for every router that has the same
// scheduler as the given one, itself included.
func (s *sim) submitReadyShared(now time.Duration, router int) {
	for i := range s.routers {
		if s.routers[i] == s.routers[router] {
			s.submitReady(now, i)
		}
	}
}
