package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/length"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// formerScores returns the scores of a fixed series of decisions, over runners that
// differ in load.
func formerScores(change func(*Options)) []float64 {
	s := newTestScheduler(nopTB{}, 5, func(o *Options) {
		o.PrefillBacklogLimit, o.Random = 6144, rand.New(rand.NewPCG(7, 7))
		if change != nil {
			change(o)
		}
	})
	for i := range 300 {
		s.lengths.Observe(length.Subject{Model: "m", Organisation: "o", PromptTokens: 900}, 100+i)
	}
	for i := range 5 {
		reportUntilSmoothed(s, start, i, 100*i, i)
	}
	var out []float64
	for i := range 6 {
		now := at(time.Duration(i) * 300 * time.Millisecond)
		r := request(fmt.Sprint("r", i), 900+i)
		r.Objective, r.TokenGap, r.PrefixHashes = 2*time.Second, 45*time.Millisecond, []uint64{1, 2, 3}
		d := s.Submit(now, r)
		s.Progress(now.Add(200*time.Millisecond), r.RequestID, 4)
		s.Progress(now.Add(290*time.Millisecond), r.RequestID, 12)
		for _, c := range d.Candidates {
			out = append(out, c.Score)
		}
	}
	return out
}

// scoresWithoutSpeeds are the results of formerScores before speeds were compared.
var scoresWithoutSpeeds = []float64{
	0.1958022658947551, 0.42365896021441335, 0.6368206286145014, 0.8419269161679371, 1.037940332432804,
	0.38113336357243893, 0.4273022360248779, 0.6248388717478551, 0.8302669420842229, 1.0505716101999465,
	0.415297041266876, 0.5337297577901933, 0.6285238517292779, 0.8443535172281281, 1.056958063782894,
	0.5228433309537063, 0.5814927841611575, 0.6376106059091385, 0.836067781839503, 1.0529610059394472,
	0.5622142399066704, 0.6450586060044557, 0.7128965567733516, 0.8429858973079951, 1.070216409578799,
	0.6434349556974823, 0.6957116283312127, 0.7347059994405448, 0.8558390704686667, 1.0497468594099908,
}

// Guards against a change of placement where the rules on speed don't apply: they
// are off, or no runner states its slowness although streams show step times.
func TestScoresWithoutStatedSlownessAreUnchanged(t *testing.T) {
	for name, change := range map[string]func(*Options){
		"off":           nil,
		"nobody states": func(o *Options) { o.UnevenEndpoints = true },
	} {
		t.Run(name, func(t *testing.T) {
			if got := formerScores(change); !slices.Equal(got, scoresWithoutSpeeds) {
				t.Fatalf("scores %v, want %v", got, scoresWithoutSpeeds)
			}
		})
	}
}

// Guards against a long generation at a runner where it takes 2.4 times as long,
// although one that completes it far sooner has free cache; and against sending
// everything to the fast one.
func TestLongGenerationGoesWhereItCompletesSoonest(t *testing.T) {
	for _, c := range []struct {
		name    string
		runs    [3]int
		backlog float64
		want    int
	}{
		{"both idle", [3]int{0, 3, 0}, 0, 0},
		{"a few more runs at the fast one", [3]int{3, 6, 0}, 0, 0},
		{"four runs more at the fast one", [3]int{4, 6, 0}, 0, 0},
		{"the fast one nearly full", [3]int{6, 6, 0}, 0, 2},
		{"a large backlog at the fast one", [3]int{1, 6, 0}, 7000, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := unevenScheduler(t, 0.7, 1, 1.7)
			for i, n := range c.runs {
				addRuns(t, s, i, n)
			}
			addBacklog(s, 0, c.backlog)
			wantRunner(t, s.Submit(start, longRequest("long")), c.want)
		})
	}
}

// Guards against short generations that follow long ones to the fast runners and
// wait for prompts there, or delay many streams.
func TestShortGenerationGoesWhereItsFirstTokenComesSoonest(t *testing.T) {
	for _, c := range []struct {
		name    string
		runs    [2]int
		backlog float64
		want    int
	}{
		{"both idle", [2]int{0, 0}, 0, 0},
		{"prompts wait at the fast one", [2]int{0, 0}, 5000, 1},
		{"many streams at the fast one", [2]int{6, 1}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := unevenScheduler(t, 0.7, 1.4)
			for i, n := range c.runs {
				addRuns(t, s, i, n)
			}
			addBacklog(s, 0, c.backlog)
			wantRunner(t, s.Submit(start, shortRequest("short")), c.want)
		})
	}
}

// Guards against a prompt at a runner that is slow at this moment, while an equal
// one would prefill it three times as soon; and against remembering that for long.
func TestPresentSlownessWeighsPromptsForAMoment(t *testing.T) {
	s := unevenScheduler(t, 1, 1)
	addRuns(t, s, 1, 1)
	s.runner(runnerID(0)).speed.State(start, 2.5)
	s.shards["pool"].recompute()
	s.Tick(start)
	wantRunner(t, s.Submit(start, shortRequest("now")), 1)
	s.Withdraw(start, "now")
	s.Finished(start, "now", 10, port.FinishDone)
	s.Tick(at(time.Second))
	wantRunner(t, s.Submit(at(time.Second), shortRequest("later")), 0)
}

// Guards against a prompt that delays the streams of a slow runner for longer than it
// would delay as many streams elsewhere.
func TestDelayOfStreamsIsWeighedInTime(t *testing.T) {
	s := unevenScheduler(t, 1, 1, 2.4)
	gap := map[string]float64{}
	for i := range 3 {
		addRuns(t, s, i, 3)
		s.runner(runnerID(i)).measuredTokenMillis = 9
	}
	for _, c := range s.Submit(start, longRequest("long")).Candidates {
		gap[c.Endpoint] = c.Gap
	}
	delay := 3000.0 / prefillScale * 3 / batchScale
	if got := gap[runnerID(2)] - gap[runnerID(0)]; math.Abs(got-1.4*delay) > 1e-9 {
		t.Fatalf("gap of the slow runner larger by %v, want %v", got, 1.4*delay)
	}
}

// Guards against a bound in tokens that lets prompts wait 2.4 times as long at a
// slow runner, and leaves a fast one idle that would prefill them in time.
func TestBacklogIsBoundedInTime(t *testing.T) {
	s := unevenScheduler(t, 0.7, 1, 2.4)
	q := query{backlogLimit: float64(s.options.PrefillBacklogLimit), speedQuery: speedQuery{uneven: true}}
	for i, c := range []struct {
		backlog  float64
		excluded bool
	}{{8700, false}, {6200, true}, {2600, true}} {
		addBacklog(s, i, c.backlog)
		if r := s.runner(runnerID(i)); q.hasPrefillBacklog(r) != c.excluded {
			t.Errorf("runner of slowness %v with %v unread tokens: excluded %v, want %v", r.usual, c.backlog, !c.excluded, c.excluded)
		}
	}
	addBacklog(s, 2, 0)
	s.runner(runnerID(2)).usual = 8
	if q.hasPrefillBacklog(s.runner(runnerID(2))) {
		t.Error("a runner without a backlog is excluded")
	}
}

// Guards against long streams with pauses over the route's limit at runners that
// have had such pauses, while others can serve them on time.
func TestRunnerWithLongGapsIsLastResort(t *testing.T) {
	const long, excessive = testGap - time.Millisecond, testGap + time.Millisecond
	t.Run("another one has free cache", func(t *testing.T) {
		s := unevenScheduler(t, 1, 1)
		addRuns(t, s, 1, 4)
		addGap(s, 0, excessive)
		wantRunner(t, s.Submit(start, longRequest("long")), 1)
	})
	t.Run("within the limit", func(t *testing.T) {
		s := unevenScheduler(t, 1, 1)
		addRuns(t, s, 1, 4)
		addGap(s, 0, long)
		wantRunner(t, s.Submit(start, longRequest("long")), 0)
	})
	t.Run("short answers have few gaps", func(t *testing.T) {
		s := unevenScheduler(t, 1, 1)
		addRuns(t, s, 1, 4)
		addGap(s, 0, excessive)
		wantRunner(t, s.Submit(start, shortRequest("short")), 0)
	})
	t.Run("all have had such gaps", func(t *testing.T) {
		s := unevenScheduler(t, 1, 1)
		addRuns(t, s, 1, 4)
		addGap(s, 0, excessive)
		addGap(s, 1, excessive)
		wantRunner(t, s.Submit(start, longRequest("long")), 0)
	})
	t.Run("the other one would be late", func(t *testing.T) {
		s := unevenScheduler(t, 1, 1)
		addGap(s, 0, excessive)
		addBacklog(s, 1, 6000)
		s.shards["pool"].promptMillis = 0.25
		wantRunner(t, s.Submit(start, longRequest("long")), 0)
	})
	t.Run("the other one is gone", func(t *testing.T) {
		s := unevenScheduler(t, 1, 1)
		addGap(s, 0, excessive)
		s.SetEndpoints(start, unevenRunners(1))
		wantRunner(t, s.Submit(start, longRequest("long")), 0)
	})
	t.Run("steps longer than the limit", func(t *testing.T) {
		// A step of the slow runner takes 21.6 ms.
		for limit, slow := range map[time.Duration]bool{22 * time.Millisecond: true, 21 * time.Millisecond: false} {
			s := unevenScheduler(t, 1, 2.4, 1)
			for _, i := range []int{0, 2} {
				addRuns(t, s, i, 5)
				addBacklog(s, i, 6000)
			}
			r := longRequest("long")
			r.TokenGap = limit
			if d := s.Submit(start, r); (d.Endpoint.ID == runnerID(1)) != slow {
				t.Errorf("limit of %v: placed on %s, want on the slow %s: %v", limit, d.Endpoint.ID, runnerID(1), slow)
			}
		}
	})
}

// fullScheduler returns a scheduler of two runners: one is full, and the other one
// has free cache but exceeded the limit for the gap.
func fullScheduler(t testing.TB) *Scheduler {
	t.Helper()
	s := unevenScheduler(t, 1, 1)
	addRuns(t, s, 0, 6)
	s.runner(runnerID(0)).othersContext = 6000
	addGap(s, 1, testGap+time.Millisecond)
	return s
}

// Guards against long generations on risky runners where cache becomes free in
// time, against requests that wait there until they are late, and against refusing
// what a risky runner could serve.
func TestRequestWaitsBrieflyForASteadyRunner(t *testing.T) {
	t.Run("cache becomes free", func(t *testing.T) {
		s := fullScheduler(t)
		wantVerdict(t, s.Submit(start, longRequest("long")), port.VerdictHold, ReasonHeldOverflow)
		s.runner(runnerID(0)).othersContext = 0
		for i := range 3 {
			s.Finished(at(200*time.Millisecond), fmt.Sprint("run-0-", i), 700, port.FinishDone)
		}
		wantRunner(t, s.Submit(at(200*time.Millisecond), longRequest("long")), 0)
	})
	t.Run("no cache becomes free", func(t *testing.T) {
		s := fullScheduler(t)
		d := s.Submit(start, longRequest("long"))
		wantVerdict(t, d, port.VerdictHold, ReasonHeldOverflow)
		if d.Candidates[0].Excluded != ExcludedGap || d.Candidates[0].Endpoint != runnerID(1) {
			t.Errorf("best candidate %+v, want %s excluded for its gaps", d.Candidates[0], runnerID(1))
		}
		s.Tick(at(600 * time.Millisecond))
		if ids := s.releasedIDs(); len(ids) != 0 {
			t.Fatalf("released %v after a third of the time, want none", ids)
		}
		s.Tick(at(800 * time.Millisecond))
		wantRunner(t, s.Submit(at(700*time.Millisecond), longRequest("long")), 1)
	})
	t.Run("no objective", func(t *testing.T) {
		s := fullScheduler(t)
		r := longRequest("long")
		r.Objective = 0
		wantRunner(t, s.Submit(start, r), 1)
	})
	t.Run("no queue", func(t *testing.T) {
		s := fullScheduler(t)
		s.SetPolicy(port.Policy{Weights: map[string]port.Weights{"": {Overflow: 2, OverflowLimit: 0.005, HoldLimit: time.Minute}}})
		wantRunner(t, s.Submit(start, longRequest("long")), 1)
	})
}

// Guards against giving up a request as late that a fast runner still serves on
// time, because the mean over the pool includes slow runners and longer prompts.
func TestPlacementDeadlineFollowsOwnPromptAtFastRunner(t *testing.T) {
	s := unevenScheduler(t, 0.7, 0.7, 1, 2.4, 2.4)
	sh := s.shards["pool"]
	sh.prefillTime = 1500 * time.Millisecond
	for _, c := range []struct {
		prompt int
		// Milliseconds for the prompt at 0.15 ms a token and a slowness of 0.7.
		prefill time.Duration
	}{{1000, 105 * time.Millisecond}, {4000, 420 * time.Millisecond}} {
		r := request("r", c.prompt)
		r.Objective = 2 * time.Second
		want := start.Add(r.Objective - c.prefill)
		if got := sh.placementDeadline(r); got.Sub(want).Abs() > time.Millisecond {
			t.Errorf("prompt of %d tokens: %v after its arrival, want %v", c.prompt, got.Sub(start), want.Sub(start))
		}
	}
	sh.uneven = false
	r := request("r", 4000)
	r.Objective = 2 * time.Second
	if got := sh.placementDeadline(r).Sub(start); got != 500*time.Millisecond {
		t.Errorf("without speeds %v after its arrival, want the pool's mean of 1.5 s before the objective", got)
	}
}

// Guards against learning the prefill time of the pool from slow runners and long
// queues only: it must be per token at median speed.
func TestPrefillTimePerTokenIsLearned(t *testing.T) {
	s := unevenScheduler(t, 1, 1, 2.4)
	sh := s.shards["pool"]
	sh.promptMillis = 0
	addBacklog(s, 2, 1000)
	wantRunner(t, s.Submit(start, onlyAt(s, 2, shortRequest("a"))), 2)
	// 3,200 tokens at 0.2 ms each, 2.4 times as slow.
	s.Progress(at(1536*time.Millisecond), "a", testEventTokens)
	if got := sh.promptMillis; got < 0.199 || got > 0.201 {
		t.Fatalf("%v ms per prompt token, want 0.2", got)
	}
}

// Guards against moving a long run to a slow runner where its rest takes 2.4 times
// as long, and against avoiding it for a run that is about to end.
func TestRelocationWeighsTheTokensStillExpected(t *testing.T) {
	for _, c := range []struct {
		name  string
		route string
		want  int
	}{
		{"long rest", "long", 1},
		{"nearly done", "short", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := unevenScheduler(t, 1, 1, 2.4)
			addRuns(t, s, 1, 3)
			r := longRequest("moving")
			r.Route, r.TokenGap = c.route, 0
			wantRunner(t, s.Submit(start, onlyAt(s, 0, r)), 0)
			s.Progress(start, "moving", testEventTokens)
			d := s.Relocate(at(time.Second), "moving", port.RelocationConstraints{})
			wantVerdict(t, d, port.VerdictPlace, ReasonRelocated)
			wantRunner(t, d, c.want)
		})
	}
}

// Guards against explanations of decisions that don't show why a fast runner won.
func TestCandidatesShowSlowness(t *testing.T) {
	s := unevenScheduler(t, 0.7, 1, 1.7)
	got := map[string]float64{}
	for _, c := range s.Submit(start, longRequest("long")).Candidates {
		got[c.Endpoint] = c.Slowness
	}
	for i, want := range []float64{0.7, 1, 1.7} {
		if got[runnerID(i)] != want {
			t.Errorf("%s has slowness %v, want %v", runnerID(i), got[runnerID(i)], want)
		}
	}
}

// Guards against a wrong stated figure that draws the long generations of a pool:
// what the streams show must prevail, in both directions.
func TestFalseStatedSlownessIsRefutedByStreams(t *testing.T) {
	for _, c := range []struct {
		name   string
		stated float64
		// step is the true time per token of runner-0; it is 9 ms at the others.
		step      time.Duration
		preferred bool
	}{
		{"claims to be fast", 0.2, 22 * time.Millisecond, false},
		{"claims to be slow", 5, 6 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := unevenScheduler(t, c.stated, 1, 1)
			if first := s.Submit(start, longRequest("first")).Endpoint.ID == runnerID(0); first == c.preferred {
				t.Fatalf("before any stream, on %s: %v, so the test shows nothing", runnerID(0), first)
			}
			s.Finished(start, "first", 0, port.FinishCancelled)
			for i, step := range []time.Duration{c.step, 9 * time.Millisecond, 9 * time.Millisecond} {
				id := fmt.Sprint("stream-", i)
				wantRunner(t, s.Submit(start, onlyAt(s, i, longRequest(id))), i)
				s.Progress(start, id, testEventTokens)
				for range 8 {
					s.ObserveStream(start, id, port.StreamSample{PerToken: step})
				}
				s.Finished(start, id, 700, port.FinishDone)
			}
			now := at(mediansInterval)
			s.Tick(now)
			d := s.Submit(now, longRequest("long"))
			if got := d.Endpoint.ID == runnerID(0); got != c.preferred {
				t.Fatalf("placed on %s, want on %s: %v", d.Endpoint.ID, runnerID(0), c.preferred)
			}
		})
	}
}

// Guards against judging a runner by the speed of the host that it ran on before it
// was restarted under the same id.
func TestRestartForgetsSpeed(t *testing.T) {
	s := unevenScheduler(t, 4, 1, 1)
	addGap(s, 0, time.Second)
	addRuns(t, s, 1, 2)
	addRuns(t, s, 2, 2)
	if d := s.Submit(start, longRequest("before")); d.Endpoint.ID == runnerID(0) {
		t.Fatal("placed on the slow runner, so the test shows nothing")
	}
	es := unevenRunners(3)
	es[0].Incarnation = 2
	s.SetEndpoints(at(time.Second), es)
	r := s.runner(runnerID(0))
	if r.usual != 1 || r.present != 1 || r.longestGap != 0 || r.speed.HasStated() {
		t.Fatalf("slowness %v, at present %v, longest gap %v ms after the restart, want nothing known", r.usual, r.present, r.longestGap)
	}
	wantRunner(t, s.Submit(at(time.Second), longRequest("after")), 0)
}

// Guards against a runner that starves: one without any work must get the next
// request before any runner whose backlog exceeds the bound, whatever its speed and
// whatever its streams have shown, unless the request waits for a steady runner.
func TestNoRunnerStarvesWhileOthersHaveBacklog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(t, "runners")
		slowness := make([]float64, n)
		for i := range slowness {
			slowness[i] = rapid.SampledFrom([]float64{0.7, 1, 1.3, 2.4, 6, 20}).Draw(t, "slowness")
		}
		s := unevenScheduler(nopTB{}, slowness...)
		for i := range n {
			addGap(s, i, time.Duration(rapid.IntRange(0, 400).Draw(t, "gap"))*time.Millisecond)
		}
		limit := float64(s.options.PrefillBacklogLimit)
		placed := 0
		for i := range rapid.IntRange(1, 30).Draw(t, "requests") {
			r := longRequest(fmt.Sprint("r", i))
			if rapid.Bool().Draw(t, "short") {
				r = shortRequest(r.RequestID)
			}
			if rapid.Bool().Draw(t, "urgent") {
				r.Objective = 0
			}
			idle, backlogged := 0, map[string]bool{}
			for j := range n {
				runner := s.runner(runnerID(j))
				idle += count(runner.ownCount == 0)
				backlogged[runnerID(j)] = runner.ownPrefill*runner.usual > limit
			}
			d := s.Submit(start, r)
			if d.Verdict == port.VerdictPlace {
				placed++
				if backlogged[d.Endpoint.ID] {
					t.Fatalf("placed on %s, whose backlog exceeds the bound", d.Endpoint.ID)
				}
			} else {
				s.Withdraw(start, r.RequestID)
				waits := slices.ContainsFunc(d.Candidates, func(c port.CandidateScore) bool { return c.Excluded == ExcludedGap })
				if idle > 0 && !waits {
					t.Fatalf("%q with %d idle runners; candidates %+v", d.Reason, idle, d.Candidates)
				}
			}
		}
		// After the time that a request waits for a steady runner, every idle one is used.
		late := at(time.Minute)
		for i := range n {
			if idle := s.runner(runnerID(i)); idle.ownCount == 0 {
				r := longRequest(fmt.Sprint("late", i))
				if d := s.Submit(late, r); d.Verdict != port.VerdictPlace {
					t.Fatalf("late request: %q with %s idle", d.Reason, runnerID(i))
				}
			}
		}
		if placed == 0 {
			t.Fatal("nothing was placed")
		}
	})
}
