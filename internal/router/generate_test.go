package router

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

func barred(port.Endpoint, string) (port.GenerationStatus, error) { return port.GenerationUnknown, nil }

func ran(port.Endpoint, string) (port.GenerationStatus, error) { return port.GenerationRunning, nil }

func unknownStatus(string) (port.GenerationStatus, error) { return port.GenerationUnknown, nil }

// The caller sees one whole answer although the first dispatch got none: the
// engine bars it, and the request moves on, even one that must run once.
func TestBarredDispatchMovesOn(t *testing.T) {
	for _, once := range []bool{false, true} {
		b := newBench(testOptions("r1"), runner("e1"), runner("e2"))
		b.engine.OnStart = append(b.engine.OnStart, fakes.Lost, fakes.Whole(5))
		b.engine.OnStatus, b.engine.OnCancel = unknownStatus, barred
		r := &reader{}
		if refusal := b.generate(r, once); refusal != nil {
			t.Fatalf("once %v: refused: %v", once, refusal)
		}
		r.check(t, 0, 5)
		starts, _, cancels := b.engine.Seen()
		if len(starts) != 2 || starts[0].Generation == starts[1].Generation || starts[1].Endpoint.ID != "e2" {
			t.Fatalf("once %v: got starts %+v", once, starts)
		}
		if !slices.Contains(cancels, starts[0].Generation) {
			t.Fatalf("once %v: the loser was not barred: %v", once, cancels)
		}
	}
}

// A request that must run once was dispatched, and nobody can say whether it
// ran: the caller hears unknown, never not_run, and there is no second try.
func TestLostOnceOnlyRequestIsUnknown(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"))
	b.engine.OnStart = append(b.engine.OnStart, fakes.Lost, fakes.Whole(5))
	refusal := b.generate(&reader{}, true)
	if refusal == nil || refusal.Outcome != outcome.Unknown || refusal.RetryAfter == 0 {
		t.Fatalf("got %+v", refusal)
	}
	if starts, _, _ := b.engine.Seen(); len(starts) != 1 {
		t.Fatalf("%d dispatches", len(starts))
	}
	if pending := b.cancels.pending(); len(pending) != 1 {
		t.Fatalf("%d cancels wait to be repeated, want 1", len(pending))
	}
}

// The engine restarted between a dispatch that ran and the cancel, so it says
// that it knows nothing. Called not_run, a ledger entry would be doubled by
// the caller's next try.
func TestRestartedEngineIsNotTakenAtItsWord(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"))
	b.engine.OnStart = append(b.engine.OnStart, fakes.Lost, fakes.Whole(5))
	b.engine.OnStatus, b.engine.OnCancel = unknownStatus, barred
	b.engine.Report.Incarnation = 2
	refusal := b.generate(&reader{}, true)
	if refusal == nil || refusal.Outcome != outcome.Unknown {
		t.Fatalf("got %+v", refusal)
	}
	if starts, _, _ := b.engine.Seen(); len(starts) != 1 {
		t.Fatalf("%d dispatches", len(starts))
	}
}

// Nothing reached any engine: not_run, at once.
func TestUnreachableEnginesAreNotRun(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"))
	refusal := b.generate(&reader{}, true)
	if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.DecisionID == "" {
		t.Fatalf("got %+v", refusal)
	}
	if starts, _, _ := b.engine.Seen(); len(starts) != 2 {
		t.Fatalf("%d dispatches, want one at each engine", len(starts))
	}
}

// The engine dies after the caller has tokens: failed, and no second
// generation that would tell another story from the start.
func TestNoSecondGenerationAfterTheFirstToken(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"))
	b.engine.OnStart = append(b.engine.OnStart, func(s *port.GenerationStart) (port.FrameStream, error) {
		return &fakes.Connection{Script: fakes.Tokens(s.Generation, 0, 3, 9)}, nil
	}, fakes.Whole(9))
	r := &reader{}
	refusal := b.generate(r, false)
	if refusal == nil || refusal.Outcome != outcome.Failed || refusal.LastIndex != 2 {
		t.Fatalf("got %+v", refusal)
	}
	if starts, _, _ := b.engine.Seen(); len(starts) != 1 || r.count() != 3 {
		t.Fatalf("%d dispatches, %d tokens", len(starts), r.count())
	}
}

// The connection breaks in the middle, then a frame is lost: the caller sees
// neither, as the stream resumes where it was.
func TestBrokenConnectionResumes(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"))
	b.engine.OnStart = append(b.engine.OnStart, func(s *port.GenerationStart) (port.FrameStream, error) {
		return &fakes.Connection{Script: fakes.Tokens(s.Generation, 0, 3, 9)}, nil
	})
	b.engine.OnResume = append(b.engine.OnResume, func(g string, _ int) (port.FrameStream, error) {
		return &fakes.Connection{Script: fakes.Tokens(g, 5, 9, 9)}, nil
	}, fakes.Rest(9))
	r := &reader{}
	if refusal := b.generate(r, true); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	r.check(t, 0, 9)
	if _, resumes, _ := b.engine.Seen(); !slices.Equal(resumes, []int{3, 3}) {
		t.Fatalf("resumed from %v", resumes)
	}
}

// A phone reads slowly. The router keeps a few frames for it, closes the
// engine's connection, and resumes once the phone has read them: nothing is
// lost, and the memory held for it is bounded.
func TestSlowReaderIsDroppedAndResumed(t *testing.T) {
	o := testOptions("r1")
	o.ReaderPatience = time.Millisecond
	b := newBench(o, runner("e1"))
	closed := make(chan struct{})
	b.engine.OnStart = append(b.engine.OnStart, func(s *port.GenerationStart) (port.FrameStream, error) {
		return &fakes.Connection{Script: fakes.Tokens(s.Generation, 0, 100, 100), Closed: closed}, nil
	})
	b.engine.OnResume = append(b.engine.OnResume, func(generation string, from int) (port.FrameStream, error) {
		// The reader reads again from here on: on a busy machine it may be late
		// by more than a millisecond, and a second drop isn't what this is about.
		b.Router.o.ReaderPatience = patience
		return fakes.Rest(100)(generation, from)
	})
	r := &reader{before: func(f *port.Frame) error {
		if f.Index == 0 {
			<-closed
		}
		return nil
	}}
	b.Router.o.ReaderPatience = time.Millisecond
	done := make(chan *Refusal, 1)
	go func() { done <- b.generate(r, false) }()
	select {
	case refusal := <-done:
		if refusal != nil {
			t.Fatalf("refused: %v", refusal)
		}
	case <-time.After(patience):
		t.Fatal("the connection to the engine stays open behind a reader that reads nothing")
	}
	r.check(t, 0, 100)
	if _, resumes, _ := b.engine.Seen(); len(resumes) != 1 || resumes[0] > 1+o.BufferFrames+1 {
		t.Fatalf("resumed from %v", resumes)
	}
}

// A caller goes before its first token: nobody will read the answer, so the
// engine's memory is freed, and the cancel is repeated until it is seen.
func TestAbandonedGenerationIsCancelledUntilSeen(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"))
	started := make(chan struct{})
	b.engine.OnStart = append(b.engine.OnStart, func(*port.GenerationStart) (port.FrameStream, error) {
		close(started)
		return &fakes.Connection{Hangs: true}, nil
	})
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-started; leave() }()
	refusal := b.Generate(ctx, &GenerationRequest{RequestID: b.NewRequestID(), Organisation: "o", Model: "m", Prompt: "p"}, &reader{})
	if refusal == nil || refusal.Cause != CauseCallerGone {
		t.Fatalf("got %+v", refusal)
	}
	if len(b.cancels.pending()) != 1 {
		t.Fatal("the lost cancel is not remembered")
	}
	b.cancels.round(context.Background())
	if len(b.cancels.pending()) != 1 {
		t.Fatal("a cancel that nobody answered is forgotten")
	}
	b.engine.OnCancel = ran
	b.cancels.round(context.Background())
	if len(b.cancels.pending()) != 0 {
		t.Fatal("a cancel that was seen is repeated")
	}
}

// A request is held and no place comes: it is given up at the hold limit, with
// Retry-After, and its place in the queue is freed.
func TestHeldRequestIsGivenUpAtOnce(t *testing.T) {
	o := testOptions("r1")
	o.HoldLimit = time.Millisecond
	b := newBench(o, runner("e1"))
	b.scheduler.holds = 1 << 20
	b.scheduler.ready = make(chan struct{})
	refusal := b.generate(&reader{}, false)
	if refusal == nil || refusal.Cause != CauseHeldTooLong || refusal.Outcome != outcome.NotRun || refusal.RetryAfter == 0 {
		t.Fatalf("got %+v", refusal)
	}
	if b.scheduler.withdrawn != 1 {
		t.Fatalf("withdrawn %d times", b.scheduler.withdrawn)
	}
}

// A held request is placed once the scheduler releases it; one whose caller
// has gone is withdrawn.
func TestHeldRequestIsReleasedOrWithdrawn(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"))
	b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(1))
	b.scheduler.holds = 1
	b.scheduler.ready = make(chan struct{})
	close(b.scheduler.ready)
	r := &reader{}
	if refusal := b.generate(r, false); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	r.check(t, 0, 1)
	b.scheduler.holds, b.scheduler.ready = 1, make(chan struct{})
	ctx, leave := context.WithCancel(context.Background())
	leave()
	refusal := b.Generate(ctx, &GenerationRequest{RequestID: b.NewRequestID(), Model: "m", Prompt: "p"}, &reader{})
	if refusal == nil || refusal.Cause != CauseCallerGone || b.scheduler.withdrawn != 1 {
		t.Fatalf("got %+v, withdrawn %d times", refusal, b.scheduler.withdrawn)
	}
	if got := b.sink.Verdicts(); !slices.Contains(got, "hold") || !slices.Contains(got, "place") {
		t.Fatalf("decisions %v", got)
	}
}

// An operator asks why a request moved and how it ended, after the routing
// configuration was revised: each decision names the version it rested on.
func TestEveryDecisionNamesItsConfiguration(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"))
	b.engine.OnStart = append(b.engine.OnStart, fakes.Lost, fakes.Whole(5))
	b.engine.OnStatus, b.engine.OnCancel = unknownStatus, barred
	if refusal := b.generate(&reader{}, false); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	for _, d := range b.sink.All() {
		if d.ConfigurationVersion != fakeVersion {
			t.Errorf("%s of attempt %d names version %d", d.Verdict, d.Attempt, d.ConfigurationVersion)
		}
	}
	if len(b.sink.All()) != 4 {
		t.Fatalf("decisions %v, want place, move, place, finish", b.sink.Verdicts())
	}
}

// A caller's connection breaks after some tokens. It comes back at a router
// that has never seen the request and gets the rest, once and in order.
func TestResumeAtAnotherRouter(t *testing.T) {
	first := newBench(testOptions("r1"), runner("e1"))
	second := newBench(testOptions("r2"))
	first.engine.OnStart = append(first.engine.OnStart, fakes.Whole(9))
	r := &reader{}
	r.before = func(f *port.Frame) error {
		if f.Index == 4 {
			return errors.New("connection reset")
		}
		return nil
	}
	if refusal := first.generate(r, false); refusal == nil || refusal.Outcome != outcome.Unknown {
		t.Fatalf("got %+v", refusal)
	}
	if _, _, cancels := first.engine.Seen(); len(cancels) != 0 {
		t.Fatal("a generation that its caller may resume was cancelled")
	}
	second.engine.OnResume = append(second.engine.OnResume, fakes.Rest(9))
	again := &reader{}
	request := &ResumeRequest{RequestID: second.NewRequestID(), Organisation: "kegsetu", Token: r.token, From: r.count()}
	if refusal := second.Resume(context.Background(), request, again); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	again.check(t, 4, 9)
	request.Organisation = "bayani"
	if refusal := second.Resume(context.Background(), request, again); refusal == nil || refusal.Cause != CauseBadToken {
		t.Fatalf("another organisation: got %+v", refusal)
	}
}

// The engine no longer holds the run: the caller hears so at once.
func TestResumeOfAForgottenRun(t *testing.T) {
	b := newBench(testOptions("r1"))
	b.engine.OnResume = append(b.engine.OnResume, func(string, int) (port.FrameStream, error) {
		return nil, port.ErrNoGeneration
	})
	token := b.Router.o.Tokens.Encode(stream.Token{
		EndpointID: "e1", Address: "127.0.0.1:1", Generation: "r9.x.1", Organisation: "kegsetu",
	})
	refusal := b.Resume(context.Background(), &ResumeRequest{RequestID: b.NewRequestID(), Organisation: "kegsetu", Token: token, From: 3}, &reader{})
	if refusal == nil || refusal.Cause != CauseGenerationGone || refusal.Outcome != outcome.Failed {
		t.Fatalf("got %+v", refusal)
	}
}

// A caller closes its page and cancels at any router: the engine frees the
// run's memory. With another organisation's token nothing reaches the engine.
func TestCancelFreesTheEngine(t *testing.T) {
	b := newBench(testOptions("r2"))
	b.engine.OnCancel = ran
	token := b.Router.o.Tokens.Encode(stream.Token{
		EndpointID: "e1", Address: "127.0.0.1:1", Generation: "r1.x.1", Organisation: "kegsetu",
	})
	if _, refusal := b.Cancel(t.Context(), "bayani", token); refusal == nil || refusal.Cause != CauseBadToken {
		t.Fatalf("another organisation: got %+v", refusal)
	}
	if _, _, cancels := b.engine.Seen(); len(cancels) != 0 {
		t.Fatal("another organisation's token reached the engine")
	}
	if status, refusal := b.Cancel(t.Context(), "kegsetu", token); refusal != nil || status != port.GenerationRunning {
		t.Fatalf("got %q, %+v", status, refusal)
	}
	b.engine.OnCancel = nil
	if _, refusal := b.Cancel(t.Context(), "kegsetu", token); refusal == nil || refusal.Outcome != outcome.Unknown {
		t.Fatalf("got %+v", refusal)
	}
	if len(b.cancels.pending()) != 1 {
		t.Fatal("the lost cancel is not remembered")
	}
}

// A report that must run once is asked for again with the same key, at another
// router, while its first run goes on and after it: one generation, and the
// caller hears what became of the first.
func TestKeyedGenerationRunsOnce(t *testing.T) {
	first, second := newBench(testOptions("r1"), runner("e1")), newBench(testOptions("r2"), runner("e1"))
	second.Ports.Claimer = first.claimer
	first.engine.OnStart = append(first.engine.OnStart, fakes.Whole(3))
	second.engine.OnStart = append(second.engine.OnStart, fakes.Whole(3))
	ask := func(b *bench, a Answer) *Refusal {
		return b.Generate(t.Context(), &GenerationRequest{
			RequestID: b.NewRequestID(), Organisation: "kegsetu", Model: "m", Prompt: "p",
			IdempotencyKey: "k", NonIdempotent: true,
		}, a)
	}
	during := &reader{before: func(f *port.Frame) error {
		if f.Index > 0 {
			return nil
		}
		if refusal := ask(second, &reader{}); refusal == nil || refusal.Cause != CauseDuplicateKey || refusal.Outcome != outcome.Unknown {
			t.Errorf("while it runs: got %+v", refusal)
		}
		return nil
	}}
	if refusal := ask(first, during); refusal != nil {
		t.Fatal(refusal)
	}
	during.check(t, 0, 3)
	if refusal := ask(second, &reader{}); refusal == nil || refusal.Cause != CauseDuplicateKey || refusal.Outcome != outcome.Done {
		t.Fatalf("after it: got %+v", refusal)
	}
	if starts, _, _ := second.engine.Seen(); len(starts) != 0 {
		t.Fatalf("%d more generations", len(starts))
	}
}

// A prompt that no engine can take is refused by the first that says so. Sent
// round, a few of them would open the breakers of the whole pool.
func TestRejectedRequestGoesToOneEngineOnly(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"))
	b.engine.OnStart = append(b.engine.OnStart, func(*port.GenerationStart) (port.FrameStream, error) {
		return nil, port.ErrRejected
	}, fakes.Whole(1))
	refusal := b.generate(&reader{}, false)
	if refusal == nil || refusal.Cause != CauseRejected || refusal.Outcome != outcome.NotRun || refusal.RetryAfter != 0 {
		t.Fatalf("got %+v", refusal)
	}
	if starts, _, cancels := b.engine.Seen(); len(starts) != 1 || len(cancels) != 0 {
		t.Fatalf("%d dispatches, %d cancels", len(starts), len(cancels))
	}
	if !slices.Equal(b.scheduler.finished, []port.FinishKind{port.FinishCancelled}) {
		t.Fatalf("told the scheduler %v", b.scheduler.finished)
	}
}

// A caller names a model that no endpoint serves. It is told so: "overloaded" made
// its callers come back again and again for a load that was not there.
func TestUnknownModelIsSaid(t *testing.T) {
	b := newBench(testOptions("r1"))
	b.scheduler.unserved = true
	refusal := b.generate(&reader{}, true)
	if refusal == nil || refusal.Cause != CauseUnknownModel || refusal.Outcome != outcome.NotRun {
		t.Fatalf("refused with %+v", refusal)
	}
}
