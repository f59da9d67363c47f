package router

import (
	"net/http"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

// Guards against a generation that crashes one engine after the other.
func TestGenerationThatCrashesEnginesIsNotSentOn(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"), runner("e3"), runner("e4"))
	b.engine.Gone = true
	for range 3 {
		b.engine.OnStart = append(b.engine.OnStart, fakes.Lost)
	}
	if refusal := b.generate(&reader{}, false); refusal == nil {
		t.Fatal("answered")
	}
	eventually.True(t, "the request is quarantined", b.quarantine.Any)
	sent, _, _ := b.engine.Seen()
	b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(3))
	refusal := b.generate(&reader{}, false)
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun {
		t.Fatalf("%+v", refusal)
	}
	if again, _, _ := b.engine.Seen(); len(again) != len(sent) {
		t.Fatalf("sent %d times, then %d", len(sent), len(again))
	}
	other := &reader{}
	refusal = b.Generate(t.Context(), &GenerationRequest{
		RequestID: b.NewRequestID(), Organisation: "kegsetu", Model: "m", Prompt: "another",
	}, other)
	if refusal != nil {
		t.Fatalf("another one: %+v", refusal)
	}
}

// The same for a call of a plain service.
func TestCallThatCrashesEndpointsIsNotSentOn(t *testing.T) {
	b := newBench(testOptions("r1"), serviceEndpoint("s1"), serviceEndpoint("s2"), serviceEndpoint("s3"), serviceEndpoint("s4"))
	b.services.gone = true
	for _, id := range []string{"s1", "s2", "s3", "s4"} {
		b.services.reply[id] = func() (*ServiceReply, error) { return nil, port.ErrEndpointLost }
	}
	call := func() *Refusal {
		_, refusal := b.CallService(t.Context(), &ServiceRequest{
			RequestID: b.NewRequestID(), Organisation: "kegsetu", Service: "depot", Method: http.MethodGet, Path: "/fatal",
		})
		return refusal
	}
	if refusal := call(); refusal == nil {
		t.Fatal("answered")
	}
	eventually.True(t, "the request is quarantined", b.quarantine.Any)
	sent := b.services.count()
	if refusal := call(); refusal == nil || refusal.Cause != CauseQuarantined {
		t.Fatalf("%+v", refusal)
	}
	if b.services.count() != sent {
		t.Fatal("it was sent again")
	}
}

// Guards against quarantining generations whose connections break at engines that go on serving.
func TestBrokenStreamIsNoCrash(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"), runner("e3"))
	for range 9 {
		b.engine.OnStart = append(b.engine.OnStart, fakes.Lost)
	}
	for range 3 {
		b.generate(&reader{}, false)
	}
	eventually.True(t, "the looks have ended", func() bool { return b.crashes.Looking() == 0 })
	if n := b.quarantine.Entries(); len(n) != 0 {
		t.Fatalf("quarantined: %v", n)
	}
	b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(3))
	if refusal := b.generate(&reader{}, false); refusal != nil {
		t.Fatalf("%+v", refusal)
	}
}

// quarantineRequest has engines that nobody knows end under the prompt of generate.
func (b *bench) quarantineRequest() {
	f := (&GenerationRequest{Organisation: "kegsetu", Model: "m", Prompt: "p"}).crashPrint()
	for id := range quarantine.CrashID(3) {
		b.quarantine.Crashed(time.Now(), 1000+id, []quarantine.Fingerprint{f})
	}
}

// Guards against a quarantined generation that holds a place.
func TestQuarantinedGenerationTakesNoPlace(t *testing.T) {
	for _, waits := range []bool{false, true} {
		b := newBench(testOptions("r1"), runner("e1"))
		b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(3))
		asked := 0
		b.scheduler.onSubmit = func() {
			asked++
			b.quarantineRequest()
		}
		if !waits {
			b.quarantineRequest()
		}
		refusal := b.generate(&reader{}, false)
		if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun {
			t.Errorf("waits %v: %+v", waits, refusal)
		}
		if sent, _, _ := b.engine.Seen(); len(sent) > 0 || asked != len(b.scheduler.finished) || (asked > 0) != waits {
			t.Errorf("waits %v: %d sent, %d places asked for, %d given back", waits, len(sent), asked, len(b.scheduler.finished))
		}
	}
}
