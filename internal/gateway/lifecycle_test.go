package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// holdingPlacer is a coordinator that holds every request.
type holdingPlacer struct{ Placer }

func (holdingPlacer) Place(ctx context.Context, _ *port.GenerationRequest, held func(*port.Decision)) port.Decision {
	d := port.Decision{Verdict: port.VerdictHold, Reason: "would_overflow"}
	held(&d)
	<-ctx.Done()
	d.Verdict = port.VerdictRefuse
	return d
}

// Guards against generations that are held during a shutdown, placed late, and
// cut off at the end of the grace period.
func TestHeldGenerationsAreRefusedDuringDrain(t *testing.T) {
	b := newHarness(t)
	b.Placer = holdingPlacer{b.Placer}
	o := *b.options()
	o.Drain = DrainOptions{AcceptGenerationsFor: 50 * time.Millisecond, AcceptCallsFor: time.Minute, ForceCloseAfter: 2 * time.Minute}
	b.SetOptions(o)
	done := make(chan *Refusal, 1)
	go func() { done <- b.send(t, "/stream/x", &fakeCaller{}) }()
	eventually.True(t, "the request is open", func() bool { return b.OpenRequests() == 1 })
	go b.Drain(t.Context())
	refusal := <-done
	if refusal == nil || refusal.Cause != CauseStopping || refusal.Outcome != "not_run" || refusal.RetryAfter <= 0 {
		t.Fatalf("%+v", refusal)
	}
}
