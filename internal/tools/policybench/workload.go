package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
)

// kind is one kind of request. Lengths are lognormal: heavy-tailed, with a
// median, a spread and a cap in tokens.
type kind struct {
	name   string
	part   float64
	prompt distribution
	output distribution
	// template is the prompt part that all requests of an organisation and
	// kind have in common.
	template int
	// firstToken and wholeBase are the targets of the kind.
	firstToken time.Duration
	wholeBase  time.Duration
}

// wholePerToken is the target time of each token of a whole answer.
const wholePerToken = 50 * time.Millisecond

type distribution struct {
	median float64
	sigma  float64
	cap    int
}

func (d distribution) draw(r *rand.Rand, scale float64) int {
	n := int(d.median * scale * math.Exp(d.sigma*r.NormFloat64()))
	return min(d.cap, max(1, n))
}

// workload is one user's day.
type workload struct {
	name    string
	runners int
	routers int
	engine  enginemodel.Config
	kinds   []kind
	// routes: each kind has a route of its own, which names the time to the
	// first token that is on time.
	routes bool
}

const (
	modelName  = "model"
	shortKind  = 0
	reportKind = 1
)

func kegsetu() workload {
	engine := enginemodel.DefaultConfig()
	return workload{
		name: "kegsetu", runners: 12, routers: 6, engine: engine,
		kinds: []kind{
			{
				name: "query", part: 0.88, template: 128,
				prompt: distribution{220, 0.5, 1500}, output: distribution{60, 0.9, 1000},
				firstToken: 1200 * time.Millisecond, wholeBase: 1200 * time.Millisecond,
			},
			{
				name: "report", part: 0.12, template: 512,
				prompt: distribution{1400, 0.5, 6000}, output: distribution{1800, 0.8, 12000},
				firstToken: 30 * time.Second, wholeBase: 30 * time.Second,
			},
		},
	}
}

func bayanihan() workload {
	engine := enginemodel.DefaultConfig()
	engine.BlocksTotal = 3000
	engine.WholePrompts = true
	engine.PrefillTokens = 4096
	return workload{
		name: "bayanihan", runners: 15, routers: 7, engine: engine,
		kinds: []kind{
			{
				name: "ticket", part: 0.85, template: 256,
				prompt: distribution{500, 0.4, 2000}, output: distribution{24, 0.8, 400},
				firstToken: 1200 * time.Millisecond, wholeBase: 1200 * time.Millisecond,
			},
			{
				name: "report", part: 0.15, template: 512,
				prompt: distribution{2500, 0.5, 8000}, output: distribution{1200, 0.8, 8000},
				firstToken: 30 * time.Second, wholeBase: 30 * time.Second,
			},
		},
	}
}

// longPrompts asks for labels and reports, both with prompts of thousands of
// tokens, of engines that read them in small parts between the tokens of
// others. One daemon schedules all.
func longPrompts() workload {
	engine := enginemodel.DefaultConfig()
	engine.BlocksTotal = 1366
	engine.PrefillTokens = 112
	engine.StepBase = 7 * time.Millisecond
	engine.StepPerJob = 120 * time.Microsecond
	engine.PrefillPerToken = time.Second / 14_000
	return workload{
		name: "long prompts", runners: 14, routers: 1, engine: engine, routes: true,
		kinds: []kind{
			{
				name: "label", part: 0.53, template: 64,
				prompt: distribution{1850, 0.6, 6000}, output: distribution{10, 0.9, 52},
				firstToken: 1500 * time.Millisecond, wholeBase: 6 * time.Second,
			},
			{
				name: "report", part: 0.47, template: 64,
				prompt: distribution{2850, 0.35, 6000}, output: distribution{560, 0.84, 2200},
				firstToken: 1800 * time.Millisecond, wholeBase: 6 * time.Second,
			},
		},
	}
}

// organisationParts are ten organisations' parts of the requests.
var organisationParts = []float64{0.25, 0.2, 0.15, 0.06, 0.06, 0.06, 0.06, 0.06, 0.05, 0.05}

// organisationScales make some write longer reports than others.
var organisationScales = []float64{1, 1.4, 0.7, 1.2, 0.6, 1, 1.6, 0.8, 1, 1.3}

func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }

// call is one request and what became of it.
type call struct {
	id           string
	organisation int
	kind         int
	prompt       int
	output       int
	arrived      time.Duration
	router       int

	request  port.GenerationRequest
	engine   int
	tokens   int
	last     time.Duration
	placed   time.Duration
	first    time.Duration
	finished time.Duration
	stall    time.Duration
	refused  int
	returned bool
	served   bool
	lost     bool
}

func (w *workload) sample(r *rand.Rand, organisation int) *call {
	k := shortKind
	if r.Float64() < w.kinds[reportKind].part {
		k = reportKind
	}
	scale := 1.0
	if k == reportKind {
		scale = organisationScales[organisation]
	}
	c := &call{organisation: organisation, kind: k}
	c.prompt = w.kinds[k].template + w.kinds[k].prompt.draw(r, 1)
	c.output = w.kinds[k].output.draw(r, scale)
	return c
}

// Bursts: each organisation is busy a quarter of the time and then sends
// nearly four times as much as when quiet; the mean is one.
const (
	busyFactor  = 2.2
	quietFactor = 0.6
	busyMean    = 8.0
	quietMean   = 24.0
)

// arrivals draws all calls of a run at the rate (requests a second). The
// flooding organisation, if any, sends factor times as much from a third on.
// Each organisation draws from a source of its own, so that a flood by one
// changes no request of the others.
func (w *workload) arrivals(seed uint64, rate float64, length time.Duration, flood int, floodFactor float64) []*call {
	var out []*call
	for o, part := range organisationParts {
		r := rand.New(rand.NewPCG(seed, uint64(1000+o)))
		busy := r.Float64() < busyMean/(busyMean+quietMean)
		until := 0.0
		for at := 0.0; at < length.Seconds(); {
			if at >= until {
				busy = !busy
				mean := quietMean
				if busy {
					mean = busyMean
				}
				until = at + mean*r.ExpFloat64()
			}
			factor := quietFactor
			if busy {
				factor = busyFactor
			}
			if o == flood && at > length.Seconds()/3 {
				factor *= floodFactor
			}
			step := r.ExpFloat64() / (rate * part * factor)
			if at+step > until {
				at = until
				continue
			}
			at += step
			c := w.sample(r, o)
			c.arrived = time.Duration(at * float64(time.Second))
			c.router = r.IntN(w.routers)
			out = append(out, c)
		}
	}
	return out
}

func (w *workload) prefixHashes(c *call) []uint64 {
	blocks := w.kinds[c.kind].template / w.engine.BlockTokens
	out := make([]uint64, blocks)
	for i := range out {
		out[i] = uint64(c.organisation+1)<<32 | uint64(c.kind+1)<<16 | uint64(i)
	}
	return out
}

// capacity is the requests a second that the pool carries: what one engine
// completes when its own queue is never empty, times the runners.
func (w *workload) capacity(seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, 99))
	e := enginemodel.New(w.engine)
	const backlog, warm, measured = 40, 60 * time.Second, 600 * time.Second
	now, n, done := time.Duration(0), 0, 0
	for now < warm+measured {
		for e.Load().Waiting < backlog {
			n++
			o := pickOrganisation(r)
			c := w.sample(r, o)
			job := enginemodel.Job{ID: fmt.Sprint(n), PromptTokens: c.prompt, OutputTokens: c.output, PrefixHashes: w.prefixHashes(c)}
			if err := e.Submit(epoch, job); err != nil {
				continue
			}
		}
		d, events := e.Step(epoch)
		now += d
		for _, event := range events {
			if event.Final && now > warm {
				done++
			}
		}
	}
	return float64(done) / measured.Seconds() * float64(w.runners)
}

func pickOrganisation(r *rand.Rand) int {
	at := r.Float64()
	for o, part := range organisationParts {
		if at -= part; at < 0 {
			return o
		}
	}
	return 0
}
