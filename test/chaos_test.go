package test

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/service"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

const (
	chaosSeed  = 24
	chaosSteps = 60
)

// step is one random action. The action determines the meaning of Target and N.
type step struct {
	Action string
	Target int
	N      int
}

func drawSteps(seed int) []step {
	stepGenerator := rapid.Custom(func(t *rapid.T) step {
		return step{
			Action: rapid.SampledFrom([]string{
				"stream", "stream", "stream", "entry", "entry", "retry", "retry", "revise",
				"kill router", "kill keeper", "kill engine", "freeze engine", "frame faults",
				"service faults", "lose reply", "platform down", "platform slow", "mend",
			}).Draw(t, "action"),
			Target: rapid.IntRange(0, 5).Draw(t, "target"),
			N:      rapid.IntRange(1, 60).Draw(t, "n"),
		}
	})
	return rapid.SliceOfN(stepGenerator, chaosSteps, chaosSteps).Example(seed)
}

// chaos holds a run of random steps and the data needed to check its results.
type chaos struct {
	t       *testing.T
	s       *procs.System
	streams []*stream
	tokens  []int
	// keys holds the idempotency keys of the ledger calls, in the order of
	// their first attempts.
	keys    []string
	entries map[string]<-chan callResult
	// acceptedVersion is the highest version of an accepted record write.
	acceptedVersion uint64
}

// Runs random kills, pauses, faults and record writes in random order. No
// caller may receive a broken answer or mistake a partial answer for a complete
// one; no key may run twice, or run after its only final reply was not_run; no
// accepted record write may be reverted.
func TestRandomFaultsKeepGuarantees(t *testing.T) {
	t.Parallel()
	seed := chaosSeed
	if text := os.Getenv(fixedseed.EnvSeed); text != "" {
		if n, err := strconv.Atoi(text); err == nil {
			seed = n
		}
	}
	t.Logf("seed %d", seed)
	c := &chaos{t: t, entries: map[string]<-chan callResult{}}
	c.s = procs.StartDemo(t, func(l *procs.Layout) { l.DrainTimeout = 2 * pause })
	for i, st := range drawSteps(seed) {
		t.Logf("%d: %s %d %d", i, st.Action, st.Target, st.N)
		c.apply(i, st)
	}
	c.clearFaults()
	c.checkResults()
}

func (c *chaos) apply(i int, st step) {
	s := c.s
	router := s.Routers[st.Target%len(s.Routers)]
	e := s.Engines[st.Target%len(s.Engines)]
	switch st.Action {
	case "stream":
		addresses := []string{router.Address, s.Routers[(st.Target+1)%len(s.Routers)].Address}
		c.tokens = append(c.tokens, st.N)
		c.streams = append(c.streams, openStream(c.t, s.Caller(procs.DemoOrganisation), addresses, fmt.Sprint("chaos ", i), st.N))
	case "entry":
		key := fmt.Sprint("entry-", i)
		c.keys = append(c.keys, key)
		c.entries[key] = callInBackground(c.t, s.Caller(procs.DemoOrganisation), router.Address, ledgerCall(key))
	case "retry":
		c.retry(st)
	case "revise":
		c.revise(s.Keepers[st.Target%len(s.Keepers)], 100+i)
	case "kill router":
		c.restart(router)
	case "kill keeper":
		c.restart(s.Keepers[st.Target%len(s.Keepers)])
	case "kill engine":
		c.restart(e)
		if err := s.PublishHosts(testContext(c.t)); err != nil {
			c.t.Fatal(err)
		}
	case "freeze engine":
		if err := e.Freeze(); err != nil {
			c.t.Fatal(err)
		}
		procs.Until(c.t, "a request ends while an engine is frozen", func() bool {
			answer, _ := s.Caller(procs.DemoOrganisation).Stream(testContext(c.t), []string{router.Address},
				caller.Completion{Model: procs.DemoModel, Prompt: prompt("meanwhile", 1)})
			return answer != nil
		})
		if err := e.Thaw(); err != nil {
			c.t.Fatal(err)
		}
	case "frame faults":
		setFaults(c.t, e, engine.Faults{CutAfterTokens: st.N, DropFrame: st.N / 2, CrossGeneration: true, EarlyClose: st.N%2 == 0})
	case "service faults":
		setFaults(c.t, s.Services[0], service.Faults{SlowMillis: int64(st.N), CloseBeforeReply: st.N % 2, CloseBeforeRun: st.N % 3})
	case "lose reply":
		setFaults(c.t, s.Platform, platform.Faults{LoseReplies: 1})
	case "platform down":
		setFaults(c.t, s.Platform, platform.Faults{Down: true})
	case "platform slow":
		setFaults(c.t, s.Platform, platform.Faults{SlowMillis: int64(5 * st.N)})
	case "mend":
		c.clearFaults()
	}
}

// retry repeats a random earlier ledger call at every router.
func (c *chaos) retry(st step) {
	if len(c.keys) == 0 {
		return
	}
	key := c.keys[st.N%len(c.keys)]
	for _, router := range c.s.Routers {
		retried := callInBackground(c.t, c.s.Caller(procs.DemoOrganisation), router.Address, ledgerCall(key))
		c.entries[key] = mergeResults(c.entries[key], retried)
	}
}

// mergeResults yields one of the two results, and a not_run result only if both
// are not_run.
func mergeResults(first, second <-chan callResult) <-chan callResult {
	merged := make(chan callResult, 1)
	go func() {
		a, b := <-first, <-second
		if isNotRun(a.reply, a.err) {
			a = b
		}
		merged <- a
	}()
	return merged
}

func (c *chaos) restart(d *procs.Daemon) {
	d.Kill()
	if err := c.s.Restart(testContext(c.t), d); err != nil {
		c.t.Fatal(err)
	}
}

// revise tries to write a record. The write may be refused because the platform
// may be down, but an accepted write must persist.
func (c *chaos) revise(keeper *procs.Daemon, queue int) {
	reply, err := procs.Admin(testContext(c.t), keeper, http.MethodGet, routingPath, "", nil)
	if err != nil || reply.Status != http.StatusOK {
		return
	}
	reply, err = procs.Admin(testContext(c.t), keeper, http.MethodPut, routingPath, reply.Header.Get("ETag"), routingDocument(queue))
	if err == nil && reply.Status == http.StatusOK {
		c.acceptedVersion = max(c.acceptedVersion, version(c.t, reply.Header.Get("ETag")))
	}
}

func (c *chaos) clearFaults() {
	setFaults(c.t, c.s.Platform, platform.Faults{})
	setFaults(c.t, c.s.Services[0], service.Faults{})
	for _, e := range c.s.Engines {
		setFaults(c.t, e, engine.Faults{})
	}
}

func (c *chaos) checkResults() {
	complete, refused, cut := 0, 0, 0
	for i, st := range c.streams {
		<-st.done
		got, textErr := engine.CheckText(st.answer.Text)
		switch {
		case errors.Is(st.err, caller.ErrBroken) || textErr != nil:
			c.t.Errorf("stream %d: %v %v", i, st.err, textErr)
		case st.err != nil:
			// The router of the stream was killed, and the caller detected that
			// the answer is incomplete.
			cut++
		case st.answer.Problem != nil:
			refused++
			if st.answer.Problem.Outcome == "not_run" && got > 0 {
				c.t.Errorf("stream %d: problem says not_run after %d tokens", i, got)
			}
		case got != c.tokens[i]:
			c.t.Errorf("stream %d: only %d of %d tokens, but the answer ended as complete", i, got, c.tokens[i])
		default:
			complete++
		}
	}
	for key, pending := range c.entries {
		a := <-pending
		checkReplyMatchesRuns(c.t, c.s, key, a.reply, a.err)
	}
	c.t.Logf("%d streams: %d complete, %d refused or failed, %d cut; %d ledger calls; accepted version %d",
		len(c.streams), complete, refused, cut, len(c.entries), c.acceptedVersion)
	if complete == 0 {
		c.t.Error("no stream was complete")
	}
	for _, router := range c.s.Routers {
		waitServing(c.t, c.s, router)
	}
	waitConfigurationVersion(c.t, c.s, c.acceptedVersion)
}
