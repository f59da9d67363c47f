package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
)

// kind describes one kind of request. Lengths in tokens follow a heavy-tailed
// lognormal distribution with a median, a spread and a cap.
type kind struct {
	name     string
	fraction float64
	prompt   distribution
	output   distribution
	// templateTokens is the length of the prompt prefix that all requests of
	// the same organisation and kind share.
	templateTokens int
	// firstTokenTarget bounds the time to the first token. completionBase plus
	// completionPerToken for each token bounds the time to the complete answer.
	firstTokenTarget time.Duration
	completionBase   time.Duration
	// deadline is the time within which a request must be placed; zero for no limit.
	deadline time.Duration
}

// completionPerToken is the time that the completion target allows per token.
const completionPerToken = 50 * time.Millisecond

type distribution struct {
	median float64
	sigma  float64
	cap    int
}

func (d distribution) draw(r *rand.Rand, scale float64) int {
	n := int(d.median * scale * math.Exp(d.sigma*r.NormFloat64()))
	return min(d.cap, max(1, n))
}

// workload describes a pool of runners and the requests sent to it.
type workload struct {
	name    string
	runners int
	routers int
	engine  enginemodel.Config
	kinds   []kind
	// hasRoutes gives each kind a separate route whose objective is the kind's
	// target for the time to the first token.
	hasRoutes bool
	// eventTokens is the number of tokens in one event of a stream, zero for one.
	eventTokens int
	// gapTarget bounds the time between two events; zero for no bound. It replaces
	// the target for the complete answer.
	gapTarget time.Duration
	// patientTarget is the target for the first token of the reports of every second
	// organisation; zero for the same as the others'.
	patientTarget time.Duration
	// fractions are the fractions of the requests that each organisation sends; nil
	// for organisationFractions.
	fractions []float64
	// hotTokens is the length of a prompt prefix that a fraction of the requests of all
	// organisations and kinds share; zero for none.
	hotTokens   int
	hotFraction float64
}

// tokensPerEvent returns the number of tokens in one event of a stream.
func (w *workload) tokensPerEvent() int { return max(1, w.eventTokens) }

// target returns the target for the time to the first token of a call.
func (w *workload) target(c *call) time.Duration {
	if w.patientTarget > 0 && c.kind == reportKind && c.organisation%2 == 1 {
		return w.patientTarget
	}
	return w.kinds[c.kind].firstTokenTarget
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
				name: "query", fraction: 0.88, templateTokens: 128,
				prompt: distribution{220, 0.5, 1500}, output: distribution{60, 0.9, 1000},
				firstTokenTarget: 1200 * time.Millisecond, completionBase: 1200 * time.Millisecond,
			},
			{
				name: "report", fraction: 0.12, templateTokens: 512,
				prompt: distribution{1400, 0.5, 6000}, output: distribution{1800, 0.8, 12000},
				firstTokenTarget: 30 * time.Second, completionBase: 30 * time.Second,
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
				name: "ticket", fraction: 0.85, templateTokens: 256,
				prompt: distribution{500, 0.4, 2000}, output: distribution{24, 0.8, 400},
				firstTokenTarget: 1200 * time.Millisecond, completionBase: 1200 * time.Millisecond,
			},
			{
				name: "report", fraction: 0.15, templateTokens: 512,
				prompt: distribution{2500, 0.5, 8000}, output: distribution{1200, 0.8, 8000},
				firstTokenTarget: 30 * time.Second, completionBase: 30 * time.Second,
			},
		},
	}
}

// longPrompts returns a workload of labels and reports, both with prompts of
// thousands of tokens. The engines prefill prompts in small chunks between the
// tokens of other requests, and one daemon schedules the whole pool.
func longPrompts() workload {
	engine := enginemodel.DefaultConfig()
	engine.BlocksTotal = 1366
	engine.PrefillTokens = 112
	engine.StepBase = 7 * time.Millisecond
	engine.StepPerJob = 120 * time.Microsecond
	engine.PrefillPerToken = time.Second / 14_000
	return workload{
		name: "long prompts", runners: 14, routers: 1, engine: engine, hasRoutes: true,
		kinds: []kind{
			{
				name: "label", fraction: 0.53, templateTokens: 64,
				prompt: distribution{1850, 0.6, 6000}, output: distribution{10, 0.9, 52},
				firstTokenTarget: 1500 * time.Millisecond, completionBase: 6 * time.Second,
			},
			{
				name: "report", fraction: 0.47, templateTokens: 64,
				prompt: distribution{2850, 0.35, 6000}, output: distribution{560, 0.84, 2200},
				firstTokenTarget: 1800 * time.Millisecond, completionBase: 6 * time.Second,
			},
		},
	}
}

// organisationFractions are the fractions of the requests that ten
// organisations send.
var organisationFractions = []float64{0.25, 0.2, 0.15, 0.06, 0.06, 0.06, 0.06, 0.06, 0.05, 0.05}

// reportLengthScales scale the median report length of each organisation.
var reportLengthScales = []float64{1, 1.4, 0.7, 1.2, 0.6, 1, 1.6, 0.8, 1, 1.3}

// organisationFractions returns the fractions of the requests that each organisation sends.
func (w *workload) organisationFractions() []float64 {
	if w.fractions != nil {
		return w.fractions
	}
	return organisationFractions
}

func organisationName(i int) string { return fmt.Sprintf("organisation-%d", i) }

// call is one request and its outcome.
type call struct {
	id           string
	organisation int
	kind         int
	prompt       int
	output       int
	arrived      time.Duration
	router       int
	// hot marks a request whose prompt begins with the workload's hot prefix.
	hot bool

	request port.GenerationRequest
	engine  int
	// tokens counts the tokens in complete events, generated all that the engine
	// has generated.
	tokens     int
	generated  int
	last       time.Duration
	previous   time.Duration
	longestGap time.Duration
	// observedAt, observedTokens and observedGap describe the stream up to, and since,
	// the last sample of its speed.
	observedAt     time.Duration
	observedTokens int
	observedGap    time.Duration
	placed         time.Duration
	first          time.Duration
	finished       time.Duration
	stall          time.Duration
	// held is set while the call is held, since heldAt.
	held       bool
	heldAt     time.Duration
	heldInVain bool
	hasty      bool
	refused    int
	retried    bool
	dispatched bool
	lost       bool
}

func (w *workload) sample(r *rand.Rand, organisation int) *call {
	k := shortKind
	if r.Float64() < w.kinds[reportKind].fraction {
		k = reportKind
	}
	scale := 1.0
	if k == reportKind {
		scale = reportLengthScales[organisation]
	}
	c := &call{organisation: organisation, kind: k}
	c.prompt = w.kinds[k].templateTokens + w.kinds[k].prompt.draw(r, 1)
	c.output = w.kinds[k].output.draw(r, scale)
	if w.hotTokens > 0 && r.Float64() < w.hotFraction {
		c.hot = true
		c.prompt = max(c.prompt, w.hotTokens+w.kinds[k].templateTokens)
	}
	return c
}

// Arrivals are bursty: each organisation is busy for a quarter of the time and
// then sends nearly four times as many requests as when quiet. The mean factor
// is 1. The mean durations of busy and quiet periods are in seconds.
const (
	busyFactor  = 2.2
	quietFactor = 0.6
	busyMean    = 8.0
	quietMean   = 24.0
)

// arrivals draws all calls of a run at the rate in requests per second. The
// flooding organisation, if any, sends floodFactor times as many requests after
// the first third of the run. Each organisation has a separate random source,
// so that a flood by one does not change the requests of the others.
func (w *workload) arrivals(seed uint64, rate float64, length time.Duration, flood int, floodFactor float64) []*call {
	var out []*call
	for o, fraction := range w.organisationFractions() {
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
			step := r.ExpFloat64() / (rate * fraction * factor)
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

// surgeTime of each surgeEvery has additional reports in a surge.
const (
	surgeTime  = 6 * time.Second
	surgeEvery = 30 * time.Second
)

// surgeArrivals draws the additional reports of a surge, or its requests of all kinds, at
// the rate in requests of all kinds per second.
func (w *workload) surgeArrivals(seed uint64, rate float64, length time.Duration, allKinds bool) []*call {
	var out []*call
	for _, c := range w.arrivals(seed+surgeSeed, rate, length, -1, 1) {
		if (allKinds || c.kind == reportKind) && c.arrived%surgeEvery < surgeTime {
			out = append(out, c)
		}
	}
	return out
}

// surgeSeed distinguishes the seeds of additional reports from those of other requests.
const surgeSeed = 1 << 32

func (w *workload) prefixHashes(c *call) []uint64 {
	tokens, prefix := w.kinds[c.kind].templateTokens, uint64(c.organisation+1)<<32|uint64(c.kind+1)<<16
	if c.hot {
		tokens, prefix = w.hotTokens, hotPrefix
	}
	out := make([]uint64, tokens/w.engine.BlockTokens)
	for i := range out {
		out[i] = prefix | uint64(i)
	}
	return out
}

// capacity returns the requests per second that the pool can complete: the rate
// of one engine whose queue is never empty, times the number of runners.
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
	for o, fraction := range organisationFractions {
		if at -= fraction; at < 0 {
			return o
		}
	}
	return 0
}
