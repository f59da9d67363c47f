package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// policy is a named constructor of the routers' schedulers for one run.
type policy struct {
	name string
	make func(w *workload, s *sim, seed uint64) []port.Scheduler
}

func policies() []policy {
	return []policy{
		{"random", baselineScheduler(func(b *baseline) int { return b.random.IntN(len(b.live)) })},
		{"round robin", baselineScheduler(roundRobin)},
		{"least outstanding", baselineScheduler(leastOutstanding)},
		{"two choices", baselineScheduler(twoChoices)},
		{"ours, kegsetu", routingScheduler(kegsetuWeights(), ranked)},
		{"ours, bayanihan", routingScheduler(bayanihanWeights(), ranked)},
		{"ours, no ranks", routingScheduler(kegsetuWeights(), unranked)},
		{"oracle, places", oracle(false)},
		{"oracle, holds", oracle(true)},
		{floorPolicy, oracle(false)},
	}
}

// floorPolicy runs on engines whose cache never fills and which compute one
// prompt per step, so the tail of the gap between tokens is the prefill time of
// a single prompt. It is a lower bound for the other policies.
const floorPolicy = "floor of the gap"

func (w workload) withoutLimits() workload {
	w.engine.BlocksTotal *= 8
	if w.engine.WholePrompts {
		w.engine.PrefillTokens = 1
	}
	return w
}

// kegsetuWeights returns weights that favour few stalls and preemptions.
func kegsetuWeights() port.Weights {
	return port.Weights{
		Overflow: 4, Gap: 0.5, Prefill: 0.5, Prefix: 0.5,
		OverflowLimit: 0.004, BatchLimit: 48, HoldLimit: 30 * time.Second, QueueLimit: 64,
	}
}

// bayanihanWeights returns weights that favour a short tail of the gap between
// tokens.
func bayanihanWeights() port.Weights {
	return port.Weights{
		Overflow: 2, Gap: 2, Prefill: 2, Prefix: 1,
		OverflowLimit: 0.006, BatchLimit: 48, HoldLimit: 30 * time.Second, QueueLimit: 64,
	}
}

type routerPosition struct{ rank, routers int }

func (p routerPosition) LiveRouters() int       { return p.routers }
func (p routerPosition) RouterRank() (int, int) { return p.rank, p.routers }

func ranked(rank, routers int) port.RouterCounter { return routerPosition{rank, routers} }

// unranked returns a counter that reports the number of routers but no rank.
func unranked(_, routers int) port.RouterCounter { return routerCount(routers) }

type routerCount int

func (c routerCount) LiveRouters() int { return int(c) }

func routingScheduler(weights port.Weights, counter func(rank, routers int) port.RouterCounter) func(*workload, *sim, uint64) []port.Scheduler {
	return func(w *workload, _ *sim, seed uint64) []port.Scheduler {
		out := make([]port.Scheduler, w.routers)
		for i := range out {
			s := routing.NewScheduler(routing.Options{
				RouterID: fmt.Sprintf("router-%d", i),
				Routers:  counter(i, w.routers),
				Random:   rand.New(rand.NewPCG(seed, uint64(100+i))),
			})
			p := port.Policy{Weights: map[string]port.Weights{"": weights}, Organisations: map[string]port.OrganisationLimits{}}
			for o, fraction := range organisationFractions {
				p.Organisations[organisationName(o)] = port.OrganisationLimits{Share: fraction}
			}
			s.SetPolicy(p)
			out[i] = s
		}
		return out
	}
}

// unreadLimit bounds the prompt tokens at a runner that are not yet prefilled.
// It is the limit of a daemon that is the only scheduler of its pool.
const unreadLimit = 4096

// singleScheduler returns a constructor of one scheduler for the whole pool.
func singleScheduler(unread int) func(*workload, *sim, uint64) []port.Scheduler {
	return schedulerWith(routing.Options{PrefillBacklogLimit: unread})
}

// schedulerWith returns a constructor of one scheduler with these options.
func schedulerWith(o routing.Options) func(*workload, *sim, uint64) []port.Scheduler {
	return func(_ *workload, _ *sim, seed uint64) []port.Scheduler {
		o := o
		o.RouterID, o.BusyThreshold, o.Random = "router-0", 1, rand.New(rand.NewPCG(seed, 100))
		return []port.Scheduler{routing.NewScheduler(o)}
	}
}

// baseline is the scheduler of one router with a simple placement rule. It
// never holds or refuses a request.
type baseline struct {
	choose      func(*baseline) int
	random      *rand.Rand
	live        []port.Endpoint
	next        int
	outstanding map[string]int
	runnerOf    map[string]string
	reported    map[string]int
}

func baselineScheduler(choose func(*baseline) int) func(*workload, *sim, uint64) []port.Scheduler {
	return func(w *workload, _ *sim, seed uint64) []port.Scheduler {
		out := make([]port.Scheduler, w.routers)
		for i := range out {
			r := rand.New(rand.NewPCG(seed, uint64(200+i)))
			out[i] = &baseline{
				choose: choose, random: r, next: r.IntN(w.runners),
				outstanding: map[string]int{}, runnerOf: map[string]string{}, reported: map[string]int{},
			}
		}
		return out
	}
}

func roundRobin(b *baseline) int {
	b.next++
	return b.next % len(b.live)
}

// leastOutstanding chooses the runner with the fewest open requests of this
// router, as common proxies do. Ties are broken at random.
func leastOutstanding(b *baseline) int {
	best, ties := 0, 0
	for i, e := range b.live {
		switch d := b.outstanding[e.ID] - b.outstanding[b.live[best].ID]; {
		case i == 0 || d < 0:
			best, ties = i, 1
		case d == 0:
			ties++
			if b.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// twoChoices chooses the less loaded of two random runners. The load is the
// last reported one plus this router's dispatches since that report.
func twoChoices(b *baseline) int {
	x, y := b.random.IntN(len(b.live)), b.random.IntN(len(b.live))
	if b.reported[b.live[x].ID] <= b.reported[b.live[y].ID] {
		return x
	}
	return y
}

func (b *baseline) Submit(_ time.Time, r *port.GenerationRequest) port.Decision {
	e := b.live[b.choose(b)]
	b.outstanding[e.ID]++
	b.reported[e.ID]++
	b.runnerOf[r.RequestID] = e.ID
	return port.Decision{Verdict: port.VerdictPlace, Endpoint: e}
}

func (b *baseline) Finished(_ time.Time, id string, _ int, _ port.FinishKind) {
	b.outstanding[b.runnerOf[id]]--
	delete(b.runnerOf, id)
}

func (b *baseline) Report(_ time.Time, r *port.LoadReport) {
	b.reported[r.EndpointID] = r.Running + r.Waiting
}

func (b *baseline) SetEndpoints(_ time.Time, es []port.Endpoint) {
	b.live = slices.DeleteFunc(slices.Clone(es), func(e port.Endpoint) bool { return e.State != port.EndpointLive })
}

func (b *baseline) Ready(string) <-chan struct{}    { return nil }
func (b *baseline) Withdraw(time.Time, string)      {}
func (b *baseline) Progress(time.Time, string, int) {}
func (b *baseline) SetPolicy(port.Policy)           {}
func (b *baseline) Tick(time.Time)                  {}

// oracleScheduler has the current state of every engine and the output length
// of every request. It prefers runners with a low future peak of cache use and
// few waiting prompt tokens. If holds is set, it holds requests that would
// overflow the cache.
type oracleScheduler struct {
	sim     *sim
	holds   bool
	running [][]*call
	waiting []*call
	ready   map[string]chan struct{}
	chosen  map[string]int
	live    []bool
}

func oracle(holds bool) func(*workload, *sim, uint64) []port.Scheduler {
	return func(w *workload, s *sim, _ uint64) []port.Scheduler {
		k := &oracleScheduler{
			sim: s, holds: holds, running: make([][]*call, w.runners),
			ready: map[string]chan struct{}{}, chosen: map[string]int{}, live: make([]bool, w.runners),
		}
		out := make([]port.Scheduler, w.routers)
		for i := range out {
			out[i] = k
		}
		return out
	}
}

// oracleCacheLimit is the fraction of the cache that the oracle fills. It is
// below 1 because the cache use of a request is rounded up to whole blocks.
const oracleCacheLimit = 0.97

// peak returns the highest future cache use, in tokens, of a runner with one
// more call.
func (k *oracleScheduler) peak(runner int, extra *call) float64 {
	calls := append(slices.Clone(k.running[runner]), extra)
	slices.SortFunc(calls, func(a, b *call) int { return (b.output - b.tokens) - (a.output - a.tokens) })
	top, context := 0, 0
	for alive, c := range calls {
		// Every call with more remaining tokens is still running when c ends.
		context += c.prompt + c.tokens
		top = max(top, context+(alive+1)*(c.output-c.tokens))
	}
	return float64(top)
}

func (k *oracleScheduler) choose(c *call) (int, bool) {
	best, bestScore, fits := -1, 0.0, false
	capacity := float64(k.sim.w.engine.BlocksTotal * k.sim.w.engine.BlockTokens)
	for i := range k.running {
		if !k.live[i] || slices.Contains(c.request.Excluded, runnerName(i)) {
			continue
		}
		load := k.sim.engines[i].model.Load()
		peak := k.peak(i, c) / capacity
		ok := peak <= oracleCacheLimit && load.Waiting == 0
		score := peak + float64(load.WaitingPromptTokens)/2048
		if best < 0 || (ok && !fits) || (ok == fits && score < bestScore) {
			best, bestScore, fits = i, score, ok
		}
	}
	return best, fits
}

func (k *oracleScheduler) Submit(_ time.Time, r *port.GenerationRequest) port.Decision {
	c := k.sim.calls[r.RequestID]
	if runner, chosen := k.chosen[r.RequestID]; chosen {
		delete(k.chosen, r.RequestID)
		delete(k.ready, r.RequestID)
		return k.place(runner)
	}
	runner, fits := k.choose(c)
	if fits || !k.holds {
		k.running[runner] = append(k.running[runner], c)
		return k.place(runner)
	}
	k.waiting = append(k.waiting, c)
	k.ready[r.RequestID] = make(chan struct{})
	return port.Decision{Verdict: port.VerdictHold}
}

func (k *oracleScheduler) place(runner int) port.Decision {
	return port.Decision{Verdict: port.VerdictPlace, Endpoint: port.Endpoint{ID: runnerName(runner)}}
}

func (k *oracleScheduler) Finished(now time.Time, id string, _ int, _ port.FinishKind) {
	c := k.sim.calls[id]
	for i := range k.running {
		k.running[i] = slices.DeleteFunc(k.running[i], func(other *call) bool { return other == c })
	}
	k.Tick(now)
}

func (k *oracleScheduler) Tick(time.Time) {
	remaining := k.waiting[:0]
	for _, c := range k.waiting {
		runner, fits := k.choose(c)
		if !fits {
			remaining = append(remaining, c)
			continue
		}
		k.running[runner] = append(k.running[runner], c)
		k.chosen[c.id] = runner
		close(k.ready[c.id])
	}
	k.waiting = remaining
}

func (k *oracleScheduler) SetEndpoints(_ time.Time, es []port.Endpoint) {
	for i := range es {
		k.live[i] = es[i].State == port.EndpointLive
	}
}

func (k *oracleScheduler) Ready(id string) <-chan struct{}    { return k.ready[id] }
func (k *oracleScheduler) Withdraw(time.Time, string)         {}
func (k *oracleScheduler) Progress(time.Time, string, int)    {}
func (k *oracleScheduler) Report(time.Time, *port.LoadReport) {}
func (k *oracleScheduler) SetPolicy(port.Policy)              {}
