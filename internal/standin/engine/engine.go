// Package engine is a stand-in for a model engine. It runs the engine model on
// the real clock, serves it over HTTP, and has faults that are set over HTTP.
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
	// maxEnded bounds the ended generations and barred ids that are stored.
	maxEnded = 20_000
	// DefaultMaxTokens bounds the output if the request sets no max_tokens.
	DefaultMaxTokens = 20_000
)

// Options configures the stand-in.
type Options struct {
	ID          string
	Incarnation uint64
	Model       enginemodel.Config
	// Models are the models that are ready when the engine starts.
	Models []port.ModelVersion
	// FencesOrders refuses orders with a fencing number below the highest one
	// received.
	FencesOrders bool
	// ReportLag is the age of the load report that is served.
	ReportLag     time.Duration
	CacheEventLag time.Duration
	// CacheEventGap drops every event whose sequence number is a multiple of
	// it; 0 drops none.
	CacheEventGap uint64
	// Retention is how long an ended generation can still be read.
	Retention time.Duration
	// WeightsURL is the base URL of the weight store. If it is empty, models
	// load at once.
	WeightsURL string
	// Seed seeds the random output lengths.
	Seed uint64
	// OnReclaim is called when the notice period of a reclaim has passed. It
	// is expected to end the process.
	OnReclaim func()
	// OnCrash ends the process. It is called after the start of a generation
	// whose prompt contains CrashMark. If it is nil, such prompts run normally.
	OnCrash func()
}

// CrashMark in a prompt crashes the engine that runs it.
const CrashMark = "[[crash]]"

// crashDelay is the time from the start of a generation with CrashMark to the crash.
const crashDelay = 50 * time.Millisecond

// scheduleCrash ends the process after crashDelay if the prompt contains
// CrashMark.
func (e *Engine) scheduleCrash(prompt string) {
	if e.options.OnCrash != nil && strings.Contains(prompt, CrashMark) {
		time.AfterFunc(crashDelay, e.options.OnCrash)
	}
}

// Stats are counters since the start, except for Held: a gauge of the stored
// generations, including ended ones and barred ids.
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

// Engine is the HTTP handler of one runner.
type Engine struct {
	options Options
	faults  switches.FaultStore[Faults]
	mux     *http.ServeMux
	wake    chan struct{}
	sampler sampler
	orders  orderState

	mu          sync.Mutex
	model       *enginemodel.Engine
	generations map[string]*generation
	// ended are the ids of ended generations, the oldest first.
	ended []string
	stats Stats
}

// New returns an idle engine. Generations make progress only while Run runs.
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

// ServeHTTP serves the engine's API and the API that sets its faults.
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
		duration, events := e.step(time.Now())
		if duration == 0 {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		timer.Reset(duration)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		e.publish(time.Now(), events)
	}
}

// step runs one batch. It returns the batch's duration and the events to
// publish when that time has passed.
func (e *Engine) step(now time.Time) (time.Duration, []enginemodel.TokenEvent) {
	factor := e.faults.Get().SlowFactor
	if factor <= 0 {
		factor = 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetSlowFactor(factor)
	duration, events := e.model.Step(now)
	return duration, append([]enginemodel.TokenEvent(nil), events...)
}

func (e *Engine) publish(now time.Time, events []enginemodel.TokenEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, event := range events {
		g := e.generations[event.JobID]
		if g == nil {
			continue
		}
		g.addToken(now, event.Index, event.Final)
		if status, _ := g.statusAndEnd(); event.Final && status == port.GenerationFinished {
			e.stats.Finished++
			e.ended = append(e.ended, g.id)
		}
	}
	e.evictEnded(now)
}

// evictEnded removes ended generations, oldest first, that are older than the
// retention or exceed maxEnded.
func (e *Engine) evictEnded(now time.Time) {
	for len(e.ended) > 0 {
		id := e.ended[0]
		_, ended := e.generations[id].statusAndEnd()
		if len(e.ended) <= maxEnded && now.Sub(ended) < e.options.Retention {
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

// start adds a generation to the engine, or returns the reason for refusing it.
func (e *Engine) start(now time.Time, id string, r *startRequest) (*generation, error) {
	g := e.newGeneration(id, r)
	job := enginemodel.Job{
		ID: id, PromptTokens: PromptTokens(r.Prompt), OutputTokens: g.total, Priority: r.Priority,
		PrefixHashes: PrefixHashes(r.Prompt, e.options.Model.BlockTokens),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generations[id] != nil {
		e.stats.Refused++
		return nil, errUsedID
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

// newGeneration returns a generation with its output length and finish reason.
// Like a real engine, it cuts an output that would not fit into the whole cache.
func (e *Engine) newGeneration(id string, r *startRequest) *generation {
	config := e.options.Model
	limit := r.MaxTokens
	if limit == 0 {
		limit = DefaultMaxTokens
	}
	available := config.BlocksTotal*config.BlockTokens - PromptTokens(r.Prompt)
	limit = min(limit, max(1, available))
	g := &generation{id: id, status: port.GenerationQueued, finishReason: "stop"}
	g.total = outputTokens(r.Prompt, e.options.Seed)
	if g.total > limit {
		g.total = limit
		g.finishReason = "length"
	}
	return g
}

// cancel ends a generation and returns its previous status. An unknown id is
// barred: a later start with it is refused.
func (e *Engine) cancel(now time.Time, id string) progress {
	e.mu.Lock()
	defer e.mu.Unlock()
	g := e.generations[id]
	if g == nil {
		e.stats.Barred++
		e.generations[id] = &generation{id: id, status: port.GenerationCancelled, ended: now}
		e.ended = append(e.ended, id)
		e.evictEnded(now)
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

func (e *Engine) lookup(id string) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.generations[id]
}
