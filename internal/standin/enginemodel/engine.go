package enginemodel

import (
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Errors of Submit. A job that is refused with one of them is not stored.
var (
	ErrFull      = merry.Sentinel("engine model: the queue is full")
	ErrTooLarge  = merry.Sentinel("engine model: prompt and output exceed the whole cache")
	ErrDuplicate = merry.Sentinel("engine model: a job with this id is already waiting or running")
	ErrInvalid   = merry.Sentinel("engine model: a job needs an id, a prompt and an output")
)

// tokenTimeSmoothing is the weight of the newest step in the moving average
// that Load reports as TokenMillis.
const tokenTimeSmoothing = 0.1

// Config holds the sizes and times of an engine. Zero fields take the value of
// DefaultConfig unless their comment says otherwise.
type Config struct {
	// BlocksTotal is the size of the cache in blocks of BlockTokens tokens.
	BlocksTotal int
	BlockTokens int
	// MaxBatch is the maximum number of jobs that run at once.
	MaxBatch int
	// MaxWaiting bounds the engine's queue; zero means no bound.
	MaxWaiting int
	// PrefillTokens bounds the prompt tokens computed in one step.
	PrefillTokens int
	// WholePrompts forbids splitting a prompt over several steps: a step
	// computes whole prompts of at most PrefillTokens together, but always at
	// least one prompt.
	WholePrompts bool
	// StepBase is the base duration of a step. Each decoding job adds
	// StepPerJob, and each prompt token computed in the step adds
	// PrefillPerToken. All running jobs wait for the end of the step.
	StepBase        time.Duration
	StepPerJob      time.Duration
	PrefillPerToken time.Duration
	// SlowFactor multiplies the duration of each step; the default is 1.
	SlowFactor float64
	// Overcommit lets decoding jobs grow beyond a full cache, so that none is
	// preempted. No job starts until the cache has room for it again. No real
	// engine can do so: it bounds what any choice of the job to preempt can gain.
	Overcommit bool
	// CacheEventLimit bounds the cache events kept for CacheEvents.
	CacheEventLimit int
}

// DefaultConfig returns the configuration of a small engine: about 32,000
// tokens of cache, 12 ms per step when nearly idle, 0.1 ms per prompt token.
func DefaultConfig() Config {
	return Config{
		BlocksTotal:     2000,
		BlockTokens:     16,
		MaxBatch:        48,
		PrefillTokens:   512,
		StepBase:        12 * time.Millisecond,
		StepPerJob:      300 * time.Microsecond,
		PrefillPerToken: 100 * time.Microsecond,
		SlowFactor:      1,
		CacheEventLimit: 4096,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setDefault(&c.BlocksTotal, d.BlocksTotal)
	setDefault(&c.BlockTokens, d.BlockTokens)
	setDefault(&c.MaxBatch, d.MaxBatch)
	setDefault(&c.PrefillTokens, d.PrefillTokens)
	setDefault(&c.StepBase, d.StepBase)
	setDefault(&c.StepPerJob, d.StepPerJob)
	setDefault(&c.PrefillPerToken, d.PrefillPerToken)
	setDefault(&c.SlowFactor, d.SlowFactor)
	setDefault(&c.CacheEventLimit, d.CacheEventLimit)
	return c
}

func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Job is one generation to run.
type Job struct {
	ID           string
	PromptTokens int
	// OutputTokens is the actual output length, which isn't known outside the
	// engine before the job has finished.
	OutputTokens int
	// Priority orders jobs: those with a larger value are admitted first and
	// preempted last.
	Priority int
	// PrefixHashes identify the full leading blocks of the prompt, in order.
	PrefixHashes []uint64
}

// TokenEvent is one generated token of a job.
type TokenEvent struct {
	JobID string
	// Index numbers the job's tokens from 0. Each index occurs exactly once and
	// in order: recomputation after a preemption repeats none.
	Index int
	Final bool
}

// JobState is the state of a job in the engine.
type JobState int

// The states of a job. A finished or cancelled job is unknown, as it is removed.
const (
	JobUnknown JobState = iota
	JobWaiting
	JobRunning
)

// Engine is the engine model. Call Step whenever the duration of the previous
// step has passed.
type Engine struct {
	config  Config
	cache   blockCache
	jobs    map[string]*job
	running []*job
	waiting []*job
	events  []TokenEvent

	submitted   uint64
	preemptions uint64
	preempted   uint64
	prefilled   uint64
	tokenMillis float64
}

// New returns an engine without jobs.
func New(c Config) *Engine {
	c = c.withDefaults()
	return &Engine{
		config: c,
		cache:  newBlockCache(c.BlocksTotal, c.CacheEventLimit),
		jobs:   make(map[string]*job),
	}
}

// Config returns the current configuration, with defaults applied.
func (e *Engine) Config() Config { return e.config }

// SetSlowFactor sets the factor that multiplies the duration of each step from
// the next one on; 1 is normal speed. It ignores values that aren't positive.
func (e *Engine) SetSlowFactor(f float64) {
	if f > 0 {
		e.config.SlowFactor = f
	}
}

// Submit queues a job. The job may run from the next step on.
func (e *Engine) Submit(now time.Time, j Job) error {
	if j.ID == "" || j.PromptTokens < 1 || j.OutputTokens < 1 {
		return merry.Wrap(ErrInvalid)
	}
	if _, held := e.jobs[j.ID]; held {
		return merry.Wrap(ErrDuplicate)
	}
	if e.blocksFor(j.PromptTokens+j.OutputTokens) > e.config.BlocksTotal {
		return merry.Wrap(ErrTooLarge)
	}
	if e.config.MaxWaiting > 0 && len(e.waiting) >= e.config.MaxWaiting {
		return merry.Wrap(ErrFull)
	}
	e.submitted++
	added := &job{Job: j, sequence: e.submitted, submitted: now}
	e.jobs[j.ID] = added
	e.enqueue(added)
	return nil
}

// Cancel removes a job, frees its blocks and returns its previous state.
func (e *Engine) Cancel(id string) JobState {
	j, held := e.jobs[id]
	if !held {
		return JobUnknown
	}
	delete(e.jobs, id)
	if j.running {
		e.cache.release(j)
		e.running = remove(e.running, j)
		return JobRunning
	}
	e.waiting = remove(e.waiting, j)
	return JobWaiting
}

// State returns a job's state and the number of tokens generated so far.
func (e *Engine) State(id string) (JobState, int) {
	j, held := e.jobs[id]
	switch {
	case !held:
		return JobUnknown, 0
	case j.running:
		return JobRunning, j.generated
	default:
		return JobWaiting, j.generated
	}
}

// Idle reports whether no job is running or waiting.
func (e *Engine) Idle() bool { return len(e.running) == 0 && len(e.waiting) == 0 }

// Preemptions returns the number of preemptions since New.
func (e *Engine) Preemptions() uint64 { return e.preemptions }

// PreemptedTokens returns the number of computed context tokens that jobs had when they
// were preempted, since New.
func (e *Engine) PreemptedTokens() uint64 { return e.preempted }

// PrefilledTokens returns the number of context tokens computed since New, without the
// generated ones, which enter the cache as they are generated. Tokens that were computed
// again after a preemption or because no cached prefix was found count again.
func (e *Engine) PrefilledTokens() uint64 { return e.prefilled }

// Load returns a report of the current load. The caller adds identity, state
// and delay. Blocks that hold only cached prefixes that no job uses count as
// free.
func (e *Engine) Load() port.LoadReport {
	return port.LoadReport{
		BlocksTotal:         e.config.BlocksTotal,
		BlocksUsed:          e.cache.used(),
		BlockTokens:         e.config.BlockTokens,
		Running:             len(e.running),
		Waiting:             len(e.waiting),
		WaitingPromptTokens: e.pendingPrefillTokens(),
		Preemptions:         e.preemptions,
		TokenMillis:         e.tokenMillis,
	}
}

// CacheEvents returns the events after a sequence number and the newest
// sequence number. Events that are no longer in the bounded history are
// missing, which leaves a gap in the sequence numbers.
func (e *Engine) CacheEvents(after uint64) (events []CacheEvent, next uint64) {
	return e.cache.eventsAfter(after)
}

func (e *Engine) pendingPrefillTokens() int {
	tokens := 0
	for _, j := range e.waiting {
		tokens += j.contextTokens()
	}
	for _, j := range e.running {
		tokens += j.contextTokens() - j.computed
	}
	return tokens
}

func (e *Engine) blocksFor(tokens int) int {
	return (tokens + e.config.BlockTokens - 1) / e.config.BlockTokens
}
