package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/engine"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/procs"
)

// Kills the router of a report. The caller must resume at the other router,
// which has not handled the request and reads the rest from the engine, without
// a lost or duplicate token.
func TestRouterKilledMidStreamIsResumedElsewhere(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	const tokens = 200
	addresses := []string{s.Routers[0].Address, s.Routers[1].Address}
	st := openStream(t, s.Caller(procs.DemoOrganisation), addresses, "evening report", tokens)
	st.waitTokens(20)
	s.Routers[0].Kill()
	st.mustComplete(t, tokens)
	if st.answer.Resumes == 0 {
		t.Fatal("the stream was not cut, so resumption was not tested")
	}
}

// Kills the engine after the caller has received tokens. A second generation
// would produce different tokens, so the answer must end with outcome failed
// and without a finish reason.
func TestEngineKilledMidStreamReportsFailure(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	const tokens = 400
	before := allEngineStats(t, s)
	addresses := []string{s.Routers[0].Address, s.Routers[1].Address}
	st := openStream(t, s.Caller(procs.DemoOrganisation), addresses, "evening report", tokens)
	st.waitTokens(20)
	s.Engines[waitEngineWithGeneration(t, s, before)].Kill()
	<-st.done
	if st.err != nil || st.answer.Problem == nil || st.answer.FinishReason != "" {
		t.Fatalf("ended with %v, problem %v, finish %q", st.err, st.answer.Problem, st.answer.FinishReason)
	}
	if st.answer.Problem.Outcome != problem.OutcomeFailed {
		t.Fatalf("outcome %+v", *st.answer.Problem)
	}
	if _, err := engine.CheckText(st.answer.Text); err != nil {
		t.Fatalf("tokens before the failure: %v", err)
	}
}

// Kills the engine while it computes the prompt. The caller has no token yet,
// so the request must move to another engine, and the caller sees only a delay.
func TestEngineKilledBeforeTheFirstTokenIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, func(l *procs.Layout) {
		// A prompt of 500 tokens then takes three seconds.
		l.EngineArgs = []string{"--prefill-per-token", "6ms"}
	})
	const tokens = 10
	before := allEngineStats(t, s)
	text := string(make500Tokens())
	st := openStream(t, s.Caller(procs.DemoOrganisation), []string{s.Routers[0].Address}, text, tokens)
	s.Engines[waitEngineWithGeneration(t, s, before)].Kill()
	select {
	case <-st.tokens:
		t.Fatal("the engine was killed after the first token, so the retry was not tested")
	default:
	}
	st.mustComplete(t, tokens)
}

func make500Tokens() []byte {
	text := make([]byte, 500*engine.BytesPerToken)
	for i := range text {
		text[i] = 'k'
	}
	return text
}

// pause is longer than the time after which a router treats a link as silent,
// and shorter than the time after which it gives up an engine.
const pause = 3 * time.Second

// Pauses the engine of a report briefly. The caller must see a stall and then
// the rest. A request that the other router received during the pause must be
// answered too.
func TestShortEnginePauseOnlyStallsStream(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	const tokens = 150
	before := allEngineStats(t, s)
	c := s.Caller(procs.DemoOrganisation)
	st := openStream(t, c, []string{s.Routers[0].Address}, "report", tokens)
	st.waitTokens(10)
	victim := s.Engines[waitEngineWithGeneration(t, s, before)]
	if err := victim.Freeze(); err != nil {
		t.Fatal(err)
	}
	since := time.Now()
	other := openStream(t, c, []string{s.Routers[1].Address}, "query", 5)
	procs.Until(t, "the pause is over", func() bool { return time.Since(since) >= pause })
	if err := victim.Thaw(); err != nil {
		t.Fatal(err)
	}
	st.mustComplete(t, tokens)
	other.mustComplete(t, 5)
}

// Pauses the engine of a report permanently. The report must end with a
// problem, and other engines must answer new requests.
func TestEngineFrozenPermanentlyReportsFailure(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	before := allEngineStats(t, s)
	st := openStream(t, s.Caller(procs.DemoOrganisation), []string{s.Routers[0].Address}, "report", 400)
	st.waitTokens(10)
	if err := s.Engines[waitEngineWithGeneration(t, s, before)].Freeze(); err != nil {
		t.Fatal(err)
	}
	for _, router := range s.Routers {
		waitServing(t, s, router)
	}
	<-st.done
	if st.err != nil || st.answer.Problem == nil || st.answer.FinishReason != "" {
		t.Fatalf("ended with %v, problem %v, finish %q", st.err, st.answer.Problem, st.answer.FinishReason)
	}
	if got := st.answer.Problem.Outcome; got == problem.OutcomeNotRun {
		t.Fatalf("outcome is %q after %d tokens", got, st.answer.Tokens)
	}
}

// Pauses engines before they accept a request. The router gets no reply and
// must wait for a probe and the cancels, and then use another engine; the
// paused engine must refuse the run after the pause.
func TestEngineFrozenBeforeTheFirstTokenIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	s := procs.StartDemo(t, nil)
	for _, e := range s.Engines[1:] {
		if err := e.Freeze(); err != nil {
			t.Fatal(err)
		}
	}
	const tokens = 5
	for i := range 4 {
		c := s.Caller(procs.DemoOrganisation)
		openStream(t, c, []string{s.Routers[i%len(s.Routers)].Address}, fmt.Sprint("query ", i), tokens).mustComplete(t, tokens)
	}
	for _, e := range s.Engines[1:] {
		if err := e.Thaw(); err != nil {
			t.Fatal(err)
		}
	}
	sendBatch(t, s, "after the pause")
}
