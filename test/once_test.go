package test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/service"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// callResult is the result of a call made in the background.
type callResult struct {
	reply *caller.Reply
	err   error
}

func callInBackground(t *testing.T, c *caller.Client, address string, request *caller.ServiceCall) <-chan callResult {
	t.Helper()
	ctx := testContext(t)
	answers := make(chan callResult, 1)
	go func() {
		reply, err := c.Service(ctx, address, request)
		answers <- callResult{reply, err}
	}()
	return answers
}

// checkReplyMatchesRuns fails the test if the call with the key ran more than
// once, ran although the reply says that it was not run, or did not run
// although the reply says that it succeeded.
func checkReplyMatchesRuns(t *testing.T, s *procs.System, key string, reply *caller.Reply, err error) {
	t.Helper()
	n := runCount(t, s, key)
	if n > 1 {
		t.Fatalf("%s ran %d times", key, n)
	}
	if n == 1 && isNotRun(reply, err) {
		t.Fatalf("%s ran, but the reply is: %s", key, describeReply(reply, err))
	}
	if n == 0 && err == nil && reply.Status == http.StatusOK {
		t.Fatalf("%s did not run, but the reply is: %s", key, describeReply(reply, err))
	}
}

// retryAt repeats the ledger call with the key five times at the router, and
// checks each reply.
func retryAt(t *testing.T, s *procs.System, router *procs.Daemon, key string) {
	t.Helper()
	c := s.Caller(procs.DemoOrganisation)
	for range 5 {
		reply, err := c.Service(testContext(t), router.Address, ledgerCall(key))
		t.Logf("retry at %s: %s", router.ID, describeReply(reply, err))
		checkReplyMatchesRuns(t, s, key, reply, err)
	}
}

// Sends a ledger call with the same key to two routers, one after the other. It
// must run once.
func TestSameKeyAtTwoRoutersRunsOnce(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	c := s.Caller(procs.DemoOrganisation)
	for i, router := range s.Routers {
		reply, err := c.Service(testContext(t), router.Address, ledgerCall("entry"))
		checkReplyMatchesRuns(t, s, "entry", reply, err)
		if i == 0 && (err != nil || reply.Status != http.StatusOK) {
			t.Fatalf("the first call: %s", describeReply(reply, err))
		}
	}
	if n := runCount(t, s, "entry"); n != 1 {
		t.Fatalf("%d runs", n)
	}
}

// Sends concurrent ledger calls with the same key to two routers.
func TestConcurrentCallsWithSameKeyRunOnce(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	setFaults(t, s.Services[0], service.Faults{SlowMillis: 300})
	var pending []<-chan callResult
	for range 4 {
		for _, router := range s.Routers {
			pending = append(pending, callInBackground(t, s.Caller(procs.DemoOrganisation), router.Address, ledgerCall("entry")))
		}
	}
	done := 0
	for _, p := range pending {
		a := <-p
		checkReplyMatchesRuns(t, s, "entry", a.reply, a.err)
		if a.err == nil && a.reply.Status == http.StatusOK {
			done++
		}
	}
	if n := runCount(t, s, "entry"); n != 1 || done == 0 {
		t.Fatalf("%d runs, %d answered", n, done)
	}
}

// Kills the platform. Generations and repeatable calls must still be answered.
// A ledger call cannot be claimed, so it must be refused with not_run and a
// Retry-After, and must not run.
func TestPlatformDownRefusesOnlyNonIdempotentCalls(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	s.Platform.Kill()
	c := s.Caller(procs.DemoOrganisation)
	for _, router := range s.Routers {
		generate(t, s, router, "query at "+router.ID)
		reply, err := c.Service(testContext(t), router.Address, repeatableCall())
		if err != nil || reply.Status != http.StatusOK {
			t.Fatalf("a repeatable call: %s", describeReply(reply, err))
		}
		key := "entry-" + router.ID
		reply, err = c.Service(testContext(t), router.Address, ledgerCall(key))
		if !isNotRun(reply, err) {
			t.Fatalf("a ledger entry: %s", describeReply(reply, err))
		}
		if reply.Header.Get("Retry-After") == "" {
			t.Fatal("the refusal has no Retry-After")
		}
		if n := runCount(t, s, key); n != 0 {
			t.Fatalf("reply says not_run, but the call ran %d times", n)
		}
	}
}

// Loses the reply of the platform to a claim that it has written. The keeper
// cannot know the result until it reads the claim. Whatever the reply to the
// caller and wherever it retries, the call must run at most once.
func TestLostReplyOnAClaimRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	c := s.Caller(procs.DemoOrganisation)
	for _, key := range []string{"entry-1", "entry-2", "entry-3"} {
		setFaults(t, s.Platform, platform.Faults{LoseReplies: 1})
		reply, err := c.Service(testContext(t), s.Routers[0].Address, ledgerCall(key))
		t.Logf("first try: %s", describeReply(reply, err))
		checkReplyMatchesRuns(t, s, key, reply, err)
		setFaults(t, s.Platform, platform.Faults{})
		retryAt(t, s, s.Routers[1], key)
		if n := runCount(t, s, key); n != 1 && !isNotRun(reply, err) {
			t.Fatalf("%d runs after %s", n, describeReply(reply, err))
		}
	}
}

// platformSlow makes a write slow enough to kill a process while it is in
// progress; platformHealthy clears the faults.
var (
	platformSlow    = platform.Faults{SlowMillis: 300}
	platformHealthy = platform.Faults{}
)

// waitWrite waits until one more write has reached the platform.
func waitWrite(t *testing.T, s *procs.System) {
	t.Helper()
	writes := func() int64 {
		var now platform.Stats
		if err := procs.ReadStats(testContext(t), s.Platform, &now); err != nil {
			t.Fatal(err)
		}
		return now.Writes
	}
	before := writes()
	procs.Until(t, "a write reaches the platform", func() bool { return writes() > before })
}

// Kills the first router while its claim is being written, or while the service
// runs the call. The caller sees only a broken connection and retries at the
// other router with the same key.
func TestRouterKilledDuringCallRunsAtMostOnce(t *testing.T) {
	moments := map[string]func(t *testing.T, s *procs.System, key string){
		"while claiming": func(t *testing.T, s *procs.System, _ string) { waitWrite(t, s) },
		"while it runs": func(t *testing.T, s *procs.System, key string) {
			procs.Until(t, "the service runs the entry", func() bool { return runCount(t, s, key) == 1 })
		},
	}
	for name, wait := range moments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := procs.StartDemo(t, nil)
			setFaults(t, s.Services[0], service.Faults{SlowMillis: 1000})
			if name == "while claiming" {
				setFaults(t, s.Platform, platformSlow)
			}
			key := "entry-" + strings.ReplaceAll(name, " ", "-")
			first := callInBackground(t, s.Caller(procs.DemoOrganisation), s.Routers[0].Address, ledgerCall(key))
			wait(t, s, key)
			s.Routers[0].Kill()
			a := <-first
			checkReplyMatchesRuns(t, s, key, a.reply, a.err)
			setFaults(t, s.Platform, platformHealthy)
			retryAt(t, s, s.Routers[1], key)
		})
	}
}

// Makes the service close the connection after and before it runs a ledger
// call. The router cannot distinguish the two, so it must neither resend the
// call nor reply not_run.
func TestServiceConnectionCutRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	c := s.Caller(procs.DemoOrganisation)
	cuts := map[string]service.Faults{
		"after-the-run":  {CloseBeforeReply: 1},
		"before-the-run": {CloseBeforeRun: 1},
	}
	for key, faults := range cuts {
		setFaults(t, s.Services[0], faults)
		reply, err := c.Service(testContext(t), s.Routers[0].Address, ledgerCall(key))
		t.Logf("%s: %s", key, describeReply(reply, err))
		checkReplyMatchesRuns(t, s, key, reply, err)
		retryAt(t, s, s.Routers[1], key)
		retryAt(t, s, s.Routers[0], key)
	}
}
