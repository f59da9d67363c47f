// Package engine is a stand-in for a model engine: the engine model on a real
// clock, served over HTTP, with faults that are switched over HTTP.
package engine

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// Defaults of the options.
const (
	DefaultReportLag     = 500 * time.Millisecond
	DefaultCacheEventLag = time.Second
	DefaultRetention     = time.Minute
	// DefaultCacheEventGap drops every seventh cache event.
	DefaultCacheEventGap = 7
	// maxKept bounds ended generations and barred ids.
	maxKept = 20_000
	// DefaultMaxTokens bounds an answer whose request sets no bound.
	DefaultMaxTokens = 20_000
)

// Options of the stand-in.
type Options struct {
	ID          string
	Incarnation uint64
	Model       enginemodel.Config
	// Models are ready from the start.
	Models []port.ModelVersion
	// FencesOrders refuses orders with an old fencing number.
	FencesOrders bool
	// ReportLag is the greatest age of a load report.
	ReportLag     time.Duration
	CacheEventLag time.Duration
	// CacheEventGap drops every event whose number it divides; 0 drops none.
	CacheEventGap uint64
	// Retention is how long an ended generation can still be read.
	Retention time.Duration
	// WeightsURL is the weight store; without one, models load at once.
	WeightsURL string
	// Seed of the output lengths.
	Seed uint64
	// Reclaimed is called when the notice of a reclaim is over; the process
	// is expected to end.
	Reclaimed func()
	// Crashed ends the process, as a prompt that holds CrashMark does once it
	// runs; nil for an engine that outlives such prompts.
	Crashed func()
}

// CrashMark in a prompt crashes the engine that runs it.
const CrashMark = "[[crash]]"

// crashAfter is how long such a prompt runs before.
const crashAfter = 50 * time.Millisecond

// crash ends the process where the prompt does that.
func (e *Engine) crash(prompt string) {
	if e.options.Crashed != nil && strings.Contains(prompt, CrashMark) {
		time.AfterFunc(crashAfter, e.options.Crashed)
	}
}

// Stats count since the start; Held is a gauge.
type Stats struct {
	Started     int    `json:"started"`
	Finished    int    `json:"finished"`
	Cancelled   int    `json:"cancelled"`
	Barred      int    `json:"barred"`
	Resumed     int    `json:"resumed"`
	Refused     int    `json:"refused"`
	Orders      int    `json:"orders"`
	StaleOrders int    `json:"stale_orders"`
	Held        int    `json:"held"`
	Preemptions uint64 `json:"preemptions"`
}

// Engine serves one runner.
type Engine struct {
	options Options
	faults  switches.Switch[Faults]
	mux     *http.ServeMux
	wake    chan struct{}
	sampler sampler
	orders  orderBook

	mu          sync.Mutex
	model       *enginemodel.Engine
	generations map[string]*generation
	// ended are the ids of ended generations, the oldest first.
	ended []string
	stats Stats
}

// New returns an idle engine; Run makes it work.
func New(o Options) *Engine {
	e := &Engine{
		options:     o,
		mux:         http.NewServeMux(),
		wake:        make(chan struct{}, 1),
		model:       enginemodel.New(o.Model),
		generations: map[string]*generation{},
	}
	e.options.Model = e.model.Config()
	e.orders.init(o)
	e.sample(time.Now())
	e.routes()
	return e
}

// ServeHTTP serves the engine's API and the switches.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Held = len(e.generations)
	s.Preemptions = e.model.Preemptions()
	s.Orders, s.StaleOrders = e.orders.counts()
	return s
}

// Run steps the model on the real clock until the context ends.
func (e *Engine) Run(ctx context.Context) {
	go e.sampleLoop(ctx)
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	for {
		took, events := e.step(time.Now())
		if took == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		timer.Reset(took)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		e.publish(time.Now(), events)
	}
}

// step runs one batch and returns what to publish when it is over.
func (e *Engine) step(now time.Time) (time.Duration, []enginemodel.TokenEvent) {
	factor := e.faults.Get().SlowFactor
	if factor <= 0 {
		factor = 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetSlowFactor(factor)
	took, events := e.model.Step(now)
	return took, append([]enginemodel.TokenEvent(nil), events...)
}

func (e *Engine) publish(now time.Time, events []enginemodel.TokenEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range events {
		g := e.generations[event.JobID]
		if g == nil {
			continue
		}
		g.yielded(now, event.Index, event.Final)
		if status, _ := g.ending(); event.Final && status == port.GenerationFinished {
			e.stats.Finished++
			e.ended = append(e.ended, g.id)
		}
	}
	e.forget(now)
}

// forget drops ended generations that are too old or too many.
func (e *Engine) forget(now time.Time) {
	for len(e.ended) > 0 {
		id := e.ended[0]
		_, ended := e.generations[id].ending()
		if len(e.ended) <= maxKept && now.Sub(ended) < e.options.Retention {
			return
		}
		delete(e.generations, id)
		e.ended = e.ended[1:]
	}
}

// startRequest is the body of POST /v1/completions.
type startRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Priority  int    `json:"priority"`
	User      string `json:"user"`
}

// start takes a generation in, or says why not.
func (e *Engine) start(now time.Time, id string, r *startRequest) (*generation, error) {
	g := e.plan(id, r)
	job := enginemodel.Job{
		ID: id, PromptTokens: PromptTokens(r.Prompt), OutputTokens: g.total, Priority: r.Priority,
		PrefixHashes: PrefixHashes(r.Prompt, e.options.Model.BlockTokens),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[id] != nil {
		e.stats.Refused++
		return nil, errKnown
	}
	if err := e.model.Submit(now, job); err != nil {
		e.stats.Refused++
		return nil, err
	}
	e.stats.Started++
	e.generations[id] = g
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return g, nil
}

// plan decides the output length. Like a real engine it ends an answer that
// would not fit its whole cache.
func (e *Engine) plan(id string, r *startRequest) *generation {
	config := e.options.Model
	limit := r.MaxTokens
	if limit == 0 {
		limit = DefaultMaxTokens
	}
	fits := config.BlocksTotal*config.BlockTokens - PromptTokens(r.Prompt)
	limit = min(limit, max(1, fits))
	g := &generation{id: id, status: port.GenerationQueued, finishReason: "stop"}
	g.total = outputTokens(r.Prompt, e.options.Seed)
	if g.total > limit {
		g.total = limit
		g.finishReason = "length"
	}
	return g
}

// cancel ends a generation, or bars an id that was never seen, and returns
// the status before.
func (e *Engine) cancel(now time.Time, id string) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		e.stats.Barred++
		e.generations[id] = &generation{id: id, status: port.GenerationCancelled, ended: now}
		e.ended = append(e.ended, id)
		e.forget(now)
		return progress{status: port.GenerationUnknown}
	}
	before := g.cancel(now)
	e.model.Cancel(id)
	if before == port.GenerationQueued || before == port.GenerationRunning {
		e.stats.Cancelled++
		e.ended = append(e.ended, id)
	}
	return progress{status: before, tokens: g.progress().tokens}
}

func (e *Engine) find(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[id]
}
