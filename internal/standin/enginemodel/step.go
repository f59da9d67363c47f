package enginemodel

import (
	"slices"
	"time"
)

// job is a waiting or running Job with its progress.
type job struct {
	Job
	sequence  uint64
	submitted time.Time
	running   bool
	generated int
	// computed is the number of context tokens that are in the cache.
	computed int
	// shared are the cached prefix blocks that the job uses, private is the
	// number of its other blocks.
	shared  []*prefixBlock
	private int
}

// contextTokens returns the number of tokens that must be in the cache before
// the next token can be generated.
func (j *job) contextTokens() int { return j.PromptTokens + j.generated }

func (j *job) decoding() bool { return j.computed >= j.contextTokens() }

// before reports whether j comes before other in the queue: jobs with a larger
// priority come first, then those submitted earlier.
func (j *job) before(other *job) bool {
	if j.Priority != other.Priority {
		return j.Priority > other.Priority
	}
	return j.sequence < other.sequence
}

// Step runs one batch. The events become due when the returned duration has
// passed; the slice is valid until the next call. A zero duration means that
// there was nothing to do.
func (e *Engine) Step(_ time.Time) (time.Duration, []TokenEvent) {
	e.events = e.events[:0]
	e.admit()
	e.growDecoding()
	if len(e.running) == 0 {
		return 0, nil
	}
	decoding := e.countDecoding()
	prefilled := e.prefill()
	e.emitTokens()
	d := e.config.StepBase +
		time.Duration(decoding)*e.config.StepPerJob +
		time.Duration(prefilled)*e.config.PrefillPerToken
	d = time.Duration(float64(d) * e.config.SlowFactor)
	e.updateTokenTime(d)
	return d, e.events
}

// admit starts waiting jobs in queue order while the batch and the cache have
// room.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxBatch {
		j := e.waiting[0]
		if !e.start(j) {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, j)
	}
}

// start allocates the blocks for the job's context and its next token. If the
// cache has too few, it allocates none and returns false.
func (e *Engine) start(j *job) bool {
	hits := e.cache.acquirePrefix(j, e.fullPromptBlocks(j))
	need := e.blocksFor(j.contextTokens()+1) - hits
	if !e.cache.allocate(need) {
		e.cache.release(j)
		return false
	}
	j.private = need
	j.running = true
	// The last token of the context is always computed, even if it is cached,
	// as its computation generates the next token.
	j.computed = min(hits*e.config.BlockTokens, j.contextTokens()-1)
	return true
}

// growDecoding allocates a block for each decoding job whose next token needs
// one. If the cache is full, it preempts the job with the lowest priority and,
// among those, the one submitted last, unless the cache may be overcommitted.
func (e *Engine) growDecoding() {
	for i := 0; i < len(e.running); i++ {
		j := e.running[i]
		need := e.blocksFor(j.contextTokens()+1) - len(j.shared) - j.private
		if !j.decoding() || need <= 0 {
			continue
		}
		for !e.cache.allocate(need) {
			if e.config.Overcommit {
				e.cache.free -= need
				break
			}
			victim := e.victim()
			at := slices.Index(e.running, victim)
			e.preempt(victim)
			if at <= i {
				i--
			}
			if victim == j {
				need = 0
				break
			}
		}
		j.private += need
	}
}

func (e *Engine) victim() *job {
	worst := e.running[0]
	for _, j := range e.running[1:] {
		if worst.before(j) {
			worst = j
		}
	}
	return worst
}

// preempt frees a job's blocks and queues the job. Its context must be computed
// again.
func (e *Engine) preempt(j *job) {
	e.preemptions++
	e.preempted += uint64(j.computed)
	e.cache.release(j)
	j.computed = 0
	j.running = false
	e.running = remove(e.running, j)
	e.enqueue(j)
}

func (e *Engine) countDecoding() int {
	n := 0
	for _, j := range e.running {
		if j.decoding() {
			n++
		}
	}
	return n
}

// prefill computes the missing context of running jobs, in the order of their
// admission, and returns the number of tokens computed.
func (e *Engine) prefill() int {
	prefilled := 0
	for _, j := range e.running {
		remaining := j.contextTokens() - j.computed
		if remaining <= 0 {
			continue
		}
		budget := e.config.PrefillTokens - prefilled
		if e.config.WholePrompts && (remaining <= budget || prefilled == 0) {
			budget = remaining
		}
		if budget <= 0 || (e.config.WholePrompts && budget < remaining) {
			break
		}
		n := min(remaining, budget)
		j.computed += n
		prefilled += n
		if j.decoding() {
			e.cache.publishPrefix(j, e.fullPromptBlocks(j))
		}
	}
	e.prefilled += uint64(prefilled)
	return prefilled
}

// emitTokens generates one token for each job whose context is computed, and
// removes the jobs that this finishes. The token itself enters the cache in the
// next step.
func (e *Engine) emitTokens() {
	kept := e.running[:0]
	for _, j := range e.running {
		if !j.decoding() {
			kept = append(kept, j)
			continue
		}
		final := j.generated+1 == j.OutputTokens
		e.events = append(e.events, TokenEvent{JobID: j.ID, Index: j.generated, Final: final})
		j.generated++
		j.computed = j.contextTokens()
		if final {
			e.cache.release(j)
			delete(e.jobs, j.ID)
			continue
		}
		kept = append(kept, j)
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) updateTokenTime(d time.Duration) {
	millis := float64(d) / float64(time.Millisecond)
	if e.tokenMillis == 0 {
		e.tokenMillis = millis
		return
	}
	e.tokenMillis += tokenTimeSmoothing * (millis - e.tokenMillis)
}

func (e *Engine) enqueue(j *job) {
	at, _ := slices.BinarySearchFunc(e.waiting, j, func(a, b *job) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, j)
}

// fullPromptBlocks returns the number of prefix hashes, limited to the number
// of blocks that the prompt fills.
func (e *Engine) fullPromptBlocks(j *job) int {
	return min(len(j.PrefixHashes), j.PromptTokens/e.config.BlockTokens)
}

func remove(jobs []*job, j *job) []*job {
	at := slices.Index(jobs, j)
	if at < 0 {
		return jobs
	}
	return slices.Delete(jobs, at, at+1)
}
