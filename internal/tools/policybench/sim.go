package main

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
)

// epoch is the time zero of every run.
var epoch = time.Unix(1_700_000_000, 0)

// scenario is one column of conditions.
type scenario struct {
	name    string
	load    float64
	lag     time.Duration
	slow    bool
	reclaim bool
	flood   bool
	// waves: a part of the runners is replaced every few seconds.
	waves bool
}

// Times of the stepping.
const (
	reportEvery   = 250 * time.Millisecond
	tickEvery     = 100 * time.Millisecond
	progressEvery = 8
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 180 * time.Second
	// stallAbove is the gap from which on a caller sees a stall; only the
	// time beyond it counts.
	stallAbove    = 250 * time.Millisecond
	slowedFactor  = 3
	reclaimNotice = 5 * time.Second
	hostListLag   = 2 * time.Second
	maxReturns    = 1
	floodFactor   = 10
	// waveEvery is the time between two waves of reclaims, in each of which one
	// runner in wavePart leaves on waveNotice, and another joins.
	waveEvery   = 3300 * time.Millisecond
	wavePart    = 7
	waveNotice  = 1800 * time.Millisecond
	floodingOne = 3
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

// engineSlot is one runner: the model and the step under way.
type engineSlot struct {
	index    int
	model    *enginemodel.Engine
	stepping bool
	dead     bool
	leaving  bool
}

// sim steps one run: engines, routers' decision code, and arrivals.
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
	// faultFrom is when a flood begins.
	faultFrom time.Duration
	result    *result
}

func at(now time.Duration) time.Time { return epoch.Add(now) }

func (s *sim) schedule(when time.Duration, run func(time.Duration)) {
	s.seq++
	heap.Push(&s.queue, event{at: when, seq: s.seq, run: run})
}

// run steps a whole run of one policy.
func run(w workload, sc scenario, capacity float64, length time.Duration, seed uint64, p policy) *result {
	if p.name == floorPolicy {
		w = w.withoutLimits()
	}
	s := &sim{w: w, scenario: sc, calls: make(map[string]*call), result: newResult(), end: length + drainTime, faultFrom: length / 3}
	for i := range w.runners {
		s.engines = append(s.engines, &engineSlot{index: i, model: enginemodel.New(w.engine)})
	}
	s.routers = p.make(&w, s, seed)
	s.held = make([][]*call, len(s.routers))
	flood := -1
	if sc.flood {
		flood = floodingOne
	}
	s.all = w.arrivals(seed, capacity*sc.load, length, flood, floodFactor)
	for i, c := range s.all {
		c.id = fmt.Sprintf("router-%d.%d", c.router, i)
		c.request = port.GenerationRequest{
			RequestID: c.id, Organisation: organisationName(c.organisation), Model: modelName,
			PromptTokens: c.prompt, PrefixHashes: w.prefixHashes(c), Attempt: 1, Arrived: at(c.arrived),
		}
		if w.routes {
			c.request.Route, c.request.Objective = w.kinds[c.kind].name, w.kinds[c.kind].firstToken
		}
		s.calls[c.id] = c
		s.schedule(c.arrived, func(now time.Duration) { s.submit(now, c) })
	}
	s.setEndpoints(0)
	s.schedule(0, s.reports)
	s.schedule(tickEvery, s.ticks)
	s.faults(length)
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

func (s *sim) faults(length time.Duration) {
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

// wave has the oldest runners leave and others join, again and again.
func (s *sim) wave(now, until time.Duration) {
	if now > until {
		return
	}
	leave := s.w.runners / wavePart
	for _, e := range s.engines {
		if e.leaving || leave == 0 {
			continue
		}
		leave--
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
		es = append(es, port.Endpoint{
			ID: runnerName(e.index), Kind: port.KindRunner, Pool: "pool", Incarnation: 1, State: state, Models: []string{modelName},
		})
	}
	for _, r := range s.distinct() {
		r.SetEndpoints(at(now), es)
	}
}

// distinct lists the schedulers once each; the oracles share one.
func (s *sim) distinct() []port.Scheduler { return slices.Compact(slices.Clone(s.routers)) }

func runnerName(i int) string { return fmt.Sprintf("runner-%02d", i) }

// reclaim kills an engine. What hasn't begun to answer is tried elsewhere.
func (s *sim) reclaim(now time.Duration, e *engineSlot) {
	e.dead = true
	for _, c := range s.all {
		if !c.served || c.finished != 0 || c.lost || c.engine != e.index {
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

func (s *sim) reports(now time.Duration) {
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
			for _, r := range s.distinct() {
				r.Report(at(now), &load)
			}
		})
	}
	if now+reportEvery < s.end {
		s.schedule(now+reportEvery, s.reports)
	}
}

func (s *sim) ticks(now time.Duration) {
	for _, r := range s.distinct() {
		r.Tick(at(now))
	}
	for i := range s.routers {
		s.wake(now, i)
	}
	if now+tickEvery < s.end {
		s.schedule(now+tickEvery, s.ticks)
	}
}

func (s *sim) submit(now time.Duration, c *call) {
	d := s.routers[c.router].Submit(at(now), &c.request)
	switch d.Verdict {
	case port.VerdictPlace:
		s.start(now, c, &d)
	case port.VerdictHold:
		s.held[c.router] = append(s.held[c.router], c)
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
	c.served = true
	c.placed = now
	s.result.placed[index]++
	s.kick(now, e)
}

func (s *sim) refuse(now time.Duration, c *call, d *port.Decision) {
	c.refused++
	s.result.refusedFirst[c.kind]++
	if d.RetryAfter <= 0 || c.refused > maxReturns {
		return
	}
	s.schedule(now+d.RetryAfter, func(now time.Duration) {
		c.returned = true
		c.request.Attempt = 1
		s.submit(now, c)
	})
}

// wake submits the held requests of a router whose turn has come.
func (s *sim) wake(now time.Duration, router int) {
	still := s.held[router][:0]
	var woken []*call
	for _, c := range s.held[router] {
		select {
		case <-s.routers[router].Ready(c.id):
			woken = append(woken, c)
		default:
			still = append(still, c)
		}
	}
	s.held[router] = still
	for _, c := range woken {
		s.submit(now, c)
	}
}

func (s *sim) kick(now time.Duration, e *engineSlot) {
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
			s.token(now, t)
		}
		s.kick(now, e)
	})
}

func (s *sim) token(now time.Duration, t enginemodel.TokenEvent) {
	c := s.calls[t.JobID]
	if c.tokens == 0 {
		c.first = now
	} else {
		gap := now - c.last
		s.result.gap(gap)
		c.stall += max(0, gap-stallAbove)
	}
	c.last = now
	c.tokens++
	r := s.routers[c.router]
	if t.Final {
		c.finished = now
		r.Finished(at(now), c.id, c.tokens, port.FinishDone)
		s.wakeAll(now, c.router)
		return
	}
	if c.tokens == 1 || c.tokens%progressEvery == 0 {
		r.Progress(at(now), c.id, c.tokens)
	}
}

// wakeAll wakes one router, or all where they share a scheduler.
func (s *sim) wakeAll(now time.Duration, router int) {
	for i := range s.routers {
		if s.routers[i] == s.routers[router] {
			s.wake(now, i)
		}
	}
}
