package enginemodel

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var start = time.Unix(1_700_000_000, 0)

func smallConfig() Config {
	c := DefaultConfig()
	c.BlocksTotal = 40
	c.BlockTokens = 4
	c.MaxBatch = 6
	c.PrefillTokens = 16
	return c
}

func mustSubmit(t *testing.T, e *Engine, j Job) {
	t.Helper()
	if err := e.Submit(start, j); err != nil {
		t.Fatalf("submit %s: %v", j.ID, err)
	}
}

func TestSubmitRefusals(t *testing.T) {
	c := smallConfig()
	c.MaxWaiting = 1
	e := New(c)
	mustSubmit(t, e, Job{ID: "a", PromptTokens: 4, OutputTokens: 2})
	for name, test := range map[string]struct {
		job  Job
		want error
	}{
		"no id":     {Job{PromptTokens: 1, OutputTokens: 1}, ErrInvalid},
		"no output": {Job{ID: "b", PromptTokens: 1}, ErrInvalid},
		"duplicate": {Job{ID: "a", PromptTokens: 1, OutputTokens: 1}, ErrDuplicate},
		"too large": {Job{ID: "b", PromptTokens: 100, OutputTokens: 61}, ErrTooLarge},
		"full":      {Job{ID: "b", PromptTokens: 4, OutputTokens: 2}, ErrFull},
	} {
		t.Run(name, func(t *testing.T) {
			if err := e.Submit(start, test.job); !errors.Is(err, test.want) {
				t.Fatalf("got %v, want %v", err, test.want)
			}
		})
	}
}

// A prompt that is computed in the same step as another job's next token delays
// that token, as a step ends for all jobs at once. The other job's caller sees
// one long gap.
func TestPrefillDelaysAllJobsOfTheStep(t *testing.T) {
	for name, whole := range map[string]bool{"chunked": false, "whole": true} {
		t.Run(name, func(t *testing.T) {
			c := smallConfig()
			c.WholePrompts = whole
			e := New(c)
			mustSubmit(t, e, Job{ID: "short", PromptTokens: 2, OutputTokens: 50})
			e.Step(start)
			before, _ := e.Step(start)
			mustSubmit(t, e, Job{ID: "long", PromptTokens: 40, OutputTokens: 2})
			during, _ := e.Step(start)
			tokens := c.PrefillTokens
			if whole {
				tokens = 40
			}
			if got, want := during-before, time.Duration(tokens)*c.PrefillPerToken; got != want {
				t.Fatalf("the prompt added %v to the step, want %v", got, want)
			}
		})
	}
}

func TestStepTimeGrowsWithBatchAndSlowFactor(t *testing.T) {
	e := New(smallConfig())
	mustSubmit(t, e, Job{ID: "a", PromptTokens: 2, OutputTokens: 50})
	e.Step(start)
	one, _ := e.Step(start)
	mustSubmit(t, e, Job{ID: "b", PromptTokens: 2, OutputTokens: 50})
	e.Step(start)
	two, _ := e.Step(start)
	if two-one != e.Config().StepPerJob {
		t.Fatalf("step of two jobs takes %v, of one %v: the difference is not StepPerJob", two, one)
	}
	e.SetSlowFactor(3)
	if slow, _ := e.Step(start); slow != 3*two {
		t.Fatalf("slow step %v, want %v", slow, 3*two)
	}
}

// If the cache fills while several jobs decode, the youngest job of the lowest
// priority is preempted: it loses its blocks, waits, and its context is computed
// again. Its caller sees a stall, but no token is lost or repeated.
func TestPreemptsYoungestOfLowestPriority(t *testing.T) {
	c := smallConfig()
	c.BlocksTotal = 10
	e := New(c)
	mustSubmit(t, e, Job{ID: "high", PromptTokens: 4, OutputTokens: 12, Priority: 1})
	mustSubmit(t, e, Job{ID: "old", PromptTokens: 4, OutputTokens: 20})
	mustSubmit(t, e, Job{ID: "young", PromptTokens: 4, OutputTokens: 20})
	seen := map[string]int{}
	preemptedFirst := ""
	for !e.Idle() {
		before := e.Preemptions()
		_, events := e.Step(start)
		if preemptedFirst == "" && e.Preemptions() > before {
			for _, id := range []string{"high", "old", "young"} {
				if state, _ := e.State(id); state == JobWaiting {
					preemptedFirst = id
				}
			}
		}
		for _, event := range events {
			if event.Index != seen[event.JobID] {
				t.Fatalf("%s: token %d after %d tokens", event.JobID, event.Index, seen[event.JobID])
			}
			seen[event.JobID]++
		}
	}
	if lost := e.PreemptedTokens(); lost < 4*e.Preemptions() {
		t.Errorf("%d preempted tokens, want at least the prompts of %d preempted jobs", lost, e.Preemptions())
	}
	if preemptedFirst != "young" {
		t.Fatalf("first preempted job is %q, want young", preemptedFirst)
	}
	if seen["high"] != 12 || seen["old"] != 20 || seen["young"] != 20 {
		t.Fatalf("numbers of tokens %v, want 12, 20 and 20", seen)
	}
}

// Guards against an upper bound for the choice of the job to preempt that isn't one: an
// overcommitted cache must let each running job generate a token in each step, and start no
// job before it has room.
func TestOvercommittedCachePreemptsNoJob(t *testing.T) {
	c := smallConfig()
	c.BlocksTotal, c.Overcommit = 10, true
	e := New(c)
	for i := range 3 {
		mustSubmit(t, e, Job{ID: fmt.Sprint(i), PromptTokens: 4, OutputTokens: 20})
	}
	e.Step(start)
	mustSubmit(t, e, Job{ID: "later", PromptTokens: 4, OutputTokens: 1})
	overfull := false
	for step := 1; step < 20; step++ {
		_, events := e.Step(start)
		generated := 0
		for _, event := range events {
			if event.JobID != "later" {
				generated++
			}
		}
		load := e.Load()
		if generated != 3 || load.Preemptions != 0 || e.PreemptedTokens() != 0 {
			t.Fatalf("step %d: %d tokens, %d preemptions of %d tokens, want 3 tokens and none", step, generated, load.Preemptions, e.PreemptedTokens())
		}
		if load.BlocksUsed > c.BlocksTotal {
			overfull = true
			mustSubmit(t, e, Job{ID: fmt.Sprint("new", step), PromptTokens: 4, OutputTokens: 1})
		}
		if overfull && load.Running > 3 {
			t.Fatalf("step %d: a job started in a full cache", step)
		}
	}
	if !overfull {
		t.Fatal("the cache never filled")
	}
	for range 10 {
		e.Step(start)
	}
	if !e.Idle() || e.Load().BlocksUsed != 0 {
		t.Errorf("%d blocks are used after all jobs, idle %v", e.Load().BlocksUsed, e.Idle())
	}
}

func TestPrefixCacheSavesPrefillAndRecordsEvents(t *testing.T) {
	e := New(smallConfig())
	hashes := []uint64{11, 12, 13}
	mustSubmit(t, e, Job{ID: "a", PromptTokens: 13, OutputTokens: 1, PrefixHashes: hashes})
	first, _ := e.Step(start)
	mustSubmit(t, e, Job{ID: "b", PromptTokens: 13, OutputTokens: 1, PrefixHashes: hashes})
	second, _ := e.Step(start)
	if saved := first - second; saved != 12*e.Config().PrefillPerToken {
		t.Fatalf("the cached prefix saved %v, want the prefill of 12 tokens", saved)
	}
	events, next := e.CacheEvents(0)
	if len(events) != 3 || next != 3 || events[0].Op != CacheAdd || events[2].Hash != 13 {
		t.Fatalf("events after the first prompt: %v, next %d", events, next)
	}
	// A job that needs the whole cache evicts the idle prefix blocks.
	mustSubmit(t, e, Job{ID: "c", PromptTokens: 158, OutputTokens: 1})
	e.Step(start)
	events, _ = e.CacheEvents(next)
	if len(events) != 3 || events[0].Op != CacheDrop {
		t.Fatalf("events after the eviction: %v", events)
	}
}

func TestCacheEventHistoryIsBounded(t *testing.T) {
	c := smallConfig()
	c.CacheEventLimit = 8
	e := New(c)
	for i := range 30 {
		mustSubmit(t, e, Job{ID: fmt.Sprint(i), PromptTokens: 4, OutputTokens: 1, PrefixHashes: []uint64{uint64(i)}})
		e.Step(start)
	}
	events, next := e.CacheEvents(0)
	if len(events) > 8 || next != 30 || events[len(events)-1].Seq != 30 {
		t.Fatalf("%d events, next %d", len(events), next)
	}
}

// For any sequence of submits, cancels and steps, no step uses more blocks or
// jobs than configured, every job that isn't cancelled generates each of its
// tokens once and in order, and an idle engine uses no block.
func TestEngineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := smallConfig()
		c.WholePrompts = rapid.Bool().Draw(t, "whole prompts")
		c.BlocksTotal = rapid.IntRange(12, 40).Draw(t, "total blocks")
		e := New(c)
		want := map[string]int{}
		seen := map[string]int{}
		step := func() {
			d, events := e.Step(start)
			if load := e.Load(); load.BlocksUsed > c.BlocksTotal || load.BlocksUsed < 0 || load.Running > c.MaxBatch {
				t.Fatalf("blocks or running jobs exceed the configuration: %+v", load)
			}
			if d == 0 && !e.Idle() {
				t.Fatal("a step did nothing although jobs are waiting or running")
			}
			for _, event := range events {
				if event.Index != seen[event.JobID] {
					t.Fatalf("%s: token %d after %d tokens", event.JobID, event.Index, seen[event.JobID])
				}
				seen[event.JobID]++
				if event.Final != (seen[event.JobID] == want[event.JobID]) {
					t.Fatalf("%s: final is %v at token %d of %d", event.JobID, event.Final, seen[event.JobID], want[event.JobID])
				}
			}
		}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				n++
				j := Job{
					ID:           fmt.Sprint(n),
					PromptTokens: rapid.IntRange(1, 30).Draw(t, "prompt tokens"),
					OutputTokens: rapid.IntRange(1, 40).Draw(t, "output tokens"),
					Priority:     rapid.IntRange(0, 2).Draw(t, "priority"),
					PrefixHashes: rapid.SliceOfN(rapid.Uint64Range(1, 4), 0, 6).Draw(t, "prefix hashes"),
				}
				err := e.Submit(start, j)
				if err == nil {
					want[j.ID] = j.OutputTokens
				} else if !errors.Is(err, ErrTooLarge) {
					t.Fatal(err)
				}
			},
			"step": func(*rapid.T) { step() },
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(1, n+1).Draw(t, "id"))
				if e.Cancel(id) != JobUnknown {
					delete(want, id)
				}
			},
		})
		for !e.Idle() {
			step()
		}
		for id, tokens := range want {
			if seen[id] != tokens {
				t.Fatalf("%s: %d of %d tokens", id, seen[id], tokens)
			}
		}
		if used := e.Load().BlocksUsed; used != 0 {
			t.Fatalf("idle engine uses %d blocks", used)
		}
	})
}
