package router

import (
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

// Guards against tokens that stay in the router's buffer while it waits for a slow
// engine, which the caller would see as a stall that the engine didn't cause.
func TestTokensAreFlushedBeforeWaiting(t *testing.T) {
	b := newFixture(testOptions("r1"), runner("e1"))
	b.engine.OnStart = append(b.engine.OnStart, func(s *port.GenerationStart) (port.FrameStream, error) {
		return &fakes.Connection{Script: fakes.Tokens(s.Generation, 0, 2, 9), Hangs: true}, nil
	})
	r := &fakeCaller{}
	done := make(chan *Refusal, 1)
	go func() { done <- b.generate(r, false) }()
	eventually.True(t, "both tokens are flushed while the engine is silent", func() bool { return r.flushedCount() == 2 })
	close(b.lifecycle.handover)
	<-done
}

// Guards against tokens that stay in the router's buffer during a slow resume. A
// token is missing after a burst of two, so the router resumes; the two must reach
// the caller before that.
func TestTokensAreFlushedBeforeResuming(t *testing.T) {
	b := newFixture(testOptions("r1"), runner("e1"))
	b.engine.OnStart = append(b.engine.OnStart, func(s *port.GenerationStart) (port.FrameStream, error) {
		frames := fakes.Tokens(s.Generation, 0, 2, 9)
		return &fakes.Connection{Script: append(frames, fakes.Tokens(s.Generation, 3, 4, 9)...), Hangs: true}, nil
	})
	r := &fakeCaller{}
	flushed := 0
	b.engine.OnResume = append(b.engine.OnResume, func(generation string, from int) (port.FrameStream, error) {
		flushed = r.flushedCount()
		return fakes.RemainingFrames(9)(generation, from)
	})
	if refusal := b.generate(r, false); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	r.checkFrames(t, 0, 9)
	if flushed != 2 {
		t.Fatalf("%d tokens were flushed before the resume, want 2", flushed)
	}
}

// A burst of three tokens and the final frame arrives while the caller handles the
// first one: it must be sent in one write.
func TestBurstIsFlushedOnce(t *testing.T) {
	b := newFixture(testOptions("r1"), runner("e1"))
	closed := make(chan struct{})
	b.engine.OnStart = append(b.engine.OnStart, func(s *port.GenerationStart) (port.FrameStream, error) {
		return &fakes.Connection{Script: fakes.Tokens(s.Generation, 0, 3, 3), Closed: closed}, nil
	})
	r := &fakeCaller{onFrame: func(f *port.Frame) error {
		if f.Index == 0 {
			<-closed
		}
		return nil
	}}
	if refusal := b.generate(r, false); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	r.checkFrames(t, 0, 3)
	if r.flushedCount() != 4 || r.flushes != 1 {
		t.Fatalf("%d frames were flushed in %d flushes, want 4 in 1", r.flushedCount(), r.flushes)
	}
}

// Guards against a missed handover: the drain timeout passes while an engine
// replays a long report faster than its caller reads, so that a frame is always
// buffered. The stream must be handed over at once, as it would otherwise be cut
// when the router stops.
func TestHandoverIsDetectedWhileFramesAreBuffered(t *testing.T) {
	const total = 2000
	b := newFixture(testOptions("r1"), runner("e1"))
	b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(total))
	r := &fakeCaller{onFrame: func(f *port.Frame) error {
		if f.Index == 5 {
			close(b.lifecycle.handover)
		}
		return nil
	}}
	refusal := b.generate(r, false)
	if refusal == nil || refusal.Cause != CauseStopping || refusal.ResumeToken == "" {
		t.Fatalf("got refusal %+v after %d frames, want router_stopping with a resume token", refusal, r.count())
	}
	if r.count() != 6 || r.flushedCount() != 6 {
		t.Fatalf("%d frames were delivered and %d flushed, want 6 and 6", r.count(), r.flushedCount())
	}
}
