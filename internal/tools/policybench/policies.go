package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// policy makes the routers' schedulers for one run.
type policy struct {
	name string
	make func(w *workload, s *sim, seed uint64) []port.Scheduler
}

func policies() []policy {
	return []policy{
		{"random", plain(func(b *baseline) int { return b.random.IntN(len(b.live)) })},
		{"round robin", plain(roundRobin)},
		{"least outstanding", plain(leastOutstanding)},
		{"two choices", plain(twoChoices)},
		{"ours, kegsetu", ours(kegsetuWeights(), ranked)},
		{"ours, bayanihan", ours(bayanihanWeights(), ranked)},
		{"ours, no ranks", ours(kegsetuWeights(), unranked)},
		{"oracle, places", oracle(false)},
		{"oracle, holds", oracle(true)},
		{floorPolicy, oracle(false)},
	}
}

// floorPolicy runs on engines whose cache never fills and which compute one
// prompt a step: what remains of the gap's tail is one prompt's prefill.
const floorPolicy = "floor of the gap"

func (w workload) withoutLimits() workload {
	w.engine.BlocksTotal *= 8
	if w.engine.WholePrompts {
		w.engine.PrefillTokens = 1
	}
	return w
}

// kegsetuWeights weigh stall time and preemptions.
func kegsetuWeights() port.Weights {
	return port.Weights{
		Overflow: 4, Gap: 0.5, Prefill: 0.5, Prefix: 0.5,
		OverflowLimit: 0.004, BatchLimit: 48, HoldLimit: 30 * time.Second, QueueLimit: 64,
	}
}

// bayanihanWeights weigh the tail of the gap between tokens.
func bayanihanWeights() port.Weights {
	return port.Weights{
		Overflow: 2, Gap: 2, Prefill: 2, Prefix: 1,
		OverflowLimit: 0.006, BatchLimit: 48, HoldLimit: 30 * time.Second, QueueLimit: 64,
	}
}

type place struct{ rank, routers int }

func (p place) LiveRouters() int       { return p.routers }
func (p place) RouterRank() (int, int) { return p.rank, p.routers }

func ranked(rank, routers int) port.RouterCounter { return place{rank, routers} }

// unranked routers know how many they are, but not their own place.
func unranked(_, routers int) port.RouterCounter { return count(routers) }

type count int

func (c count) LiveRouters() int { return int(c) }

func ours(weights port.Weights, counter func(rank, routers int) port.RouterCounter) func(*workload, *sim, uint64) []port.Scheduler {
	return func(w *workload, _ *sim, seed uint64) []port.Scheduler {
		out := make([]port.Scheduler, w.routers)
		for i := range out {
			s := routing.NewScheduler(routing.Options{
				RouterID: fmt.Sprintf("router-%d", i),
				Routers:  counter(i, w.routers),
				Random:   rand.New(rand.NewPCG(seed, uint64(100+i))),
			})
			p := port.Policy{Weights: map[string]port.Weights{"": weights}, Organisations: map[string]port.OrganisationLimits{}}
			for o, part := range organisationParts {
				p.Organisations[organisationName(o)] = port.OrganisationLimits{Share: part}
			}
			s.SetPolicy(p)
			out[i] = s
		}
		return out
	}
}

// unreadLimit bounds the unread prompt tokens at a runner, as the daemon that
// schedules a pool alone does.
const unreadLimit = 4096

// alone is one scheduler for the whole pool.
func alone(unread int) func(*workload, *sim, uint64) []port.Scheduler {
	return func(_ *workload, _ *sim, seed uint64) []port.Scheduler {
		return []port.Scheduler{routing.NewScheduler(routing.Options{
			RouterID: "router-0", BusyUse: 1, UnreadLimit: unread, Random: rand.New(rand.NewPCG(seed, 100)),
		})}
	}
}

// baseline is a plain placement at one router: it never holds or refuses.
type baseline struct {
	choose      func(*baseline) int
	random      *rand.Rand
	live        []port.Endpoint
	next        int
	outstanding map[string]int
	runnerOf    map[string]string
	reported    map[string]int
}

func plain(choose func(*baseline) int) func(*workload, *sim, uint64) []port.Scheduler {
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

// leastOutstanding takes the runner with the fewest of this router's own
// open requests, as proxies do.
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

// twoChoices takes the better of two random runners by reported load and
// own dispatches since.
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

// knowing is the oracle: it sees every engine as it is and every length. It
// places where the true peak is lowest, and where holds is set keeps back
// what would overflow.
type knowing struct {
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
		k := &knowing{
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

// oracleRoom is the part of the cache that the oracle fills: blocks round up.
const oracleRoom = 0.97

// peak is the highest cache use to come on a runner with one more call.
func (k *knowing) peak(runner int, extra *call) float64 {
	calls := append(slices.Clone(k.running[runner]), extra)
	slices.SortFunc(calls, func(a, b *call) int { return (b.output - b.tokens) - (a.output - a.tokens) })
	top, context := 0, 0
	for alive, c := range calls {
		// All with more left than c are alive with it when it ends.
		context += c.prompt + c.tokens
		top = max(top, context+(alive+1)*(c.output-c.tokens))
	}
	return float64(top)
}

func (k *knowing) choose(c *call) (int, bool) {
	best, bestScore, fits := -1, 0.0, false
	capacity := float64(k.sim.w.engine.BlocksTotal * k.sim.w.engine.BlockTokens)
	for i := range k.running {
		if !k.live[i] || slices.Contains(c.request.Excluded, runnerName(i)) {
			continue
		}
		load := k.sim.engines[i].model.Load()
		peak := k.peak(i, c) / capacity
		ok := peak <= oracleRoom && load.Waiting == 0
		score := peak + float64(load.WaitingPromptTokens)/2048
		if best < 0 || (ok && !fits) || (ok == fits && score < bestScore) {
			best, bestScore, fits = i, score, ok
		}
	}
	return best, fits
}

func (k *knowing) Submit(_ time.Time, r *port.GenerationRequest) port.Decision {
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

func (k *knowing) place(runner int) port.Decision {
	return port.Decision{Verdict: port.VerdictPlace, Endpoint: port.Endpoint{ID: runnerName(runner)}}
}

func (k *knowing) Finished(now time.Time, id string, _ int, _ port.FinishKind) {
	c := k.sim.calls[id]
	for i := range k.running {
		k.running[i] = slices.DeleteFunc(k.running[i], func(other *call) bool { return other == c })
	}
	k.Tick(now)
}

func (k *knowing) Tick(time.Time) {
	still := k.waiting[:0]
	for _, c := range k.waiting {
		runner, fits := k.choose(c)
		if !fits {
			still = append(still, c)
			continue
		}
		k.running[runner] = append(k.running[runner], c)
		k.chosen[c.id] = runner
		close(k.ready[c.id])
	}
	k.waiting = still
}

func (k *knowing) SetEndpoints(_ time.Time, es []port.Endpoint) {
	for i := range es {
		k.live[i] = es[i].State == port.EndpointLive
	}
}

func (k *knowing) Ready(id string) <-chan struct{}    { return k.ready[id] }
func (k *knowing) Withdraw(time.Time, string)         {}
func (k *knowing) Progress(time.Time, string, int)    {}
func (k *knowing) Report(time.Time, *port.LoadReport) {}
func (k *knowing) SetPolicy(port.Policy)              {}
