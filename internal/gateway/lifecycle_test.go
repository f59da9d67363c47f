package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// holding is a coordinator that holds everything.
type holding struct{ Placer }

func (holding) Place(ctx context.Context, _ *port.GenerationRequest, held func(*port.Decision)) port.Decision {
	d := port.Decision{Verdict: port.VerdictHold, Reason: "would_overflow"}
	held(&d)
	<-ctx.Done()
	d.Verdict = port.VerdictRefuse
	return d
}

// Guards against generations that are held through a stop, placed late, and cut at the end of the grace.
func TestHeldGenerationsAreSentElsewhereAtAStop(t *testing.T) {
	b := newBench(t)
	b.Placer = holding{b.Placer}
	o := *b.options()
	o.Drain = DrainOptions{TakeGenerations: 50 * time.Millisecond, TakeCalls: time.Minute, End: 2 * time.Minute}
	b.SetOptions(o)
	done := make(chan *Refusal, 1)
	go func() { done <- b.ask(t, "/stream/x", &caller{}) }()
	eventually.True(t, "the request is open", func() bool { return b.Open() == 1 })
	go b.Drain(t.Context())
	refusal := <-done
	if refusal == nil || refusal.Cause != CauseStopping || refusal.Outcome != "not_run" || refusal.RetryAfter <= 0 {
		t.Fatalf("%+v", refusal)
	}
}
