// Package test holds the process-level tests. They run the binaries as separate
// processes, kill, freeze and replace them, and check the requests by the
// replies to callers and the counters of the stand-ins.
package test

import (
	"context"
	"fmt"
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
	"github.com/dragonflyrail/dragonflyrail/internal/caller"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

func TestMain(m *testing.M) { procs.Main(m) }

// testContext returns a context with a deadline longer than any operation takes
// in a working system.
func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), procs.Deadline)
	t.Cleanup(cancel)
	return ctx
}

// prompt returns a prompt with the given text that makes the engine stand-in
// generate the given number of tokens.
func prompt(what string, tokens int) string {
	return what + " " + engine.LengthDirective(tokens)
}

// stream is a streamed answer that is read in the background. answer and err
// are set once done is closed.
type stream struct {
	// tokens receives the index of each token on arrival.
	tokens chan int
	done   chan struct{}
	answer *caller.Answer
	err    error
}

// openStream requests the given number of tokens at the first address. The
// caller may resume at the others.
func openStream(t *testing.T, c *caller.Client, addresses []string, text string, tokens int) *stream {
	t.Helper()
	s := &stream{tokens: make(chan int, tokens+1), done: make(chan struct{})}
	ctx := testContext(t)
	go func() {
		defer close(s.done)
		s.answer, s.err = c.Stream(ctx, addresses, caller.Completion{
			Model: procs.DemoModel, Prompt: prompt(text, tokens),
			OnToken: func(index int, _ string) { s.tokens <- index },
		})
	}()
	return s
}

// waitTokens waits until n more tokens have arrived or the answer has ended.
func (s *stream) waitTokens(n int) {
	for range n {
		select {
		case <-s.tokens:
		case <-s.done:
			return
		}
	}
}

// mustComplete waits for the end of the stream and fails the test unless the
// answer has all its tokens exactly once, in order and of one generation.
func (s *stream) mustComplete(t *testing.T, tokens int) {
	t.Helper()
	<-s.done
	if s.err != nil {
		t.Fatalf("stream: %v after %d tokens", s.err, s.answer.Tokens)
	}
	if s.answer.Problem != nil {
		t.Fatalf("refused or failed after %d tokens: %+v", s.answer.Tokens, *s.answer.Problem)
	}
	got, err := engine.CheckText(s.answer.Text)
	if err != nil || got != tokens || s.answer.Tokens != tokens {
		t.Fatalf("%d tokens, want %d: %v", got, tokens, err)
	}
}

// generate requests a short answer from one router and fails the test unless it
// is complete.
func generate(t *testing.T, s *procs.System, router *procs.Daemon, text string) *caller.Answer {
	t.Helper()
	const tokens = 5
	st := openStream(t, s.Caller(procs.DemoOrganisation), []string{router.Address}, text, tokens)
	st.mustComplete(t, tokens)
	return st.answer
}

// waitServing waits until the router answers a request completely.
func waitServing(t *testing.T, s *procs.System, router *procs.Daemon) {
	t.Helper()
	c := s.Caller(procs.DemoOrganisation)
	procs.Until(t, router.ID+" serves", func() bool {
		answer, err := c.Stream(testContext(t), []string{router.Address}, caller.Completion{
			Model: procs.DemoModel, Prompt: prompt("does it serve", 3),
		})
		return err == nil && answer.Problem == nil && answer.Tokens == 3
	})
}

// repeatableCall returns a call of the plain service that may run more than
// once.
func repeatableCall() *caller.ServiceCall {
	return &caller.ServiceCall{Service: procs.DemoService, Path: "/kegs", Method: http.MethodGet}
}

// ledgerCall returns a call of the plain service that must run at most once.
func ledgerCall(key string) *caller.ServiceCall {
	return &caller.ServiceCall{
		Service: procs.DemoService, Path: "/ledger", Method: http.MethodPost,
		Body: []byte(`{"kegs":2}`), IdempotencyKey: key, NonIdempotent: true,
	}
}

// runCount returns how often the services ran the call with the key.
func runCount(t *testing.T, s *procs.System, key string) int {
	t.Helper()
	got, err := s.ServiceRuns(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	return got[key]
}

// describeReply formats a reply for test messages.
func describeReply(reply *caller.Reply, err error) string {
	switch {
	case err != nil:
		return "no answer: " + err.Error()
	case reply.Problem != nil:
		return fmt.Sprintf("%d %s %s", reply.Status, reply.Problem.Outcome, reply.Problem.Reason)
	default:
		return fmt.Sprint(reply.Status)
	}
}

// isNotRun reports whether the reply says that the call was not run.
func isNotRun(reply *caller.Reply, err error) bool {
	return err == nil && reply.Problem != nil && reply.Problem.Outcome == problem.OutcomeNotRun
}

// setFaults replaces the faults of a stand-in.
func setFaults(t *testing.T, d *procs.Daemon, faults any) {
	t.Helper()
	if err := procs.SetFaults(testContext(t), d, faults); err != nil {
		t.Fatal(err)
	}
}

func engineStats(t *testing.T, d *procs.Daemon) engine.Stats {
	t.Helper()
	var stats engine.Stats
	if err := procs.ReadStats(testContext(t), d, &stats); err != nil {
		t.Fatal(err)
	}
	return stats
}

// waitEngineWithGeneration waits until an engine has started a generation, and
// returns the index of the engine. before holds the statistics of all engines
// from before the request.
func waitEngineWithGeneration(t *testing.T, s *procs.System, before []engine.Stats) int {
	t.Helper()
	found := -1
	procs.Until(t, "an engine starts the generation", func() bool {
		for i, e := range s.Engines {
			if engineStats(t, e).Started > before[i].Started {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

func allEngineStats(t *testing.T, s *procs.System) []engine.Stats {
	t.Helper()
	var all []engine.Stats
	for _, e := range s.Engines {
		all = append(all, engineStats(t, e))
	}
	return all
}
