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

// lossOf returns the loss of a request without a prompt.
func lossOf(f quarantine.Fingerprint) []quarantine.Loss {
	return []quarantine.Loss{{Request: &quarantine.Request{Fingerprint: f}, At: time.Now()}}
}

// Guards against a generation that crashes one engine after the other.
func TestGenerationCrashingEnginesIsQuarantined(t *testing.T) {
	b := newFixture(testOptions("r1"), runner("e1"), runner("e2"), runner("e3"), runner("e4"))
	b.engine.NotListening = true
	for range 3 {
		b.engine.OnStart = append(b.engine.OnStart, fakes.Lost)
	}
	if refusal := b.generate(&fakeCaller{}, false); refusal == nil {
		t.Fatal("the request was answered although every endpoint crashed")
	}
	eventually.True(t, "the request is quarantined", b.quarantine.Any)
	sent, _, _ := b.engine.Calls()
	b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(3))
	refusal := b.generate(&fakeCaller{}, false)
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun {
		t.Fatalf("got refusal %+v, want CauseQuarantined, outcome.NotRun", refusal)
	}
	if resent, _, _ := b.engine.Calls(); len(resent) != len(sent) {
		t.Fatalf("the quarantined request was dispatched: %d dispatches before, %d after", len(sent), len(resent))
	}
	other := &fakeCaller{}
	refusal = b.Generate(t.Context(), &GenerationRequest{
		RequestID: b.NewRequestID(), Organisation: "kegsetu", Model: "m", Prompt: "another",
	}, other)
	if refusal != nil {
		t.Fatalf("a different request was refused: %+v", refusal)
	}
}

// Guards against a service call that crashes one endpoint after the other.
func TestCallCrashingEndpointsIsQuarantined(t *testing.T) {
	b := newFixture(testOptions("r1"), serviceEndpoint("s1"), serviceEndpoint("s2"), serviceEndpoint("s3"), serviceEndpoint("s4"))
	b.services.endpointsGone = true
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
		t.Fatal("the request was answered although every endpoint crashed")
	}
	eventually.True(t, "the request is quarantined", b.quarantine.Any)
	sent := b.services.count()
	if refusal := call(); refusal == nil || refusal.Cause != CauseQuarantined {
		t.Fatalf("got refusal %+v, want CauseQuarantined", refusal)
	}
	if b.services.count() != sent {
		t.Fatal("the quarantined call was sent again")
	}
}

// Guards against quarantining generations whose connections break at engines that go on serving.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	b := newFixture(testOptions("r1"), runner("e1"), runner("e2"), runner("e3"))
	for range 9 {
		b.engine.OnStart = append(b.engine.OnStart, fakes.Lost)
	}
	for range 3 {
		b.generate(&fakeCaller{}, false)
	}
	eventually.True(t, "the crash checks have finished", func() bool { return b.crashWatch.PendingChecks() == 0 })
	if n := b.quarantine.Entries(); len(n) != 0 {
		t.Fatalf("requests were quarantined without a crash: %v", n)
	}
	b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(3))
	if refusal := b.generate(&fakeCaller{}, false); refusal != nil {
		t.Fatalf("a request that crashed no engine was refused: %+v", refusal)
	}
}

// quarantineRequest records crashes of three other engines that ran the request of
// generate, so that it is quarantined.
func (b *fixture) quarantineRequest() {
	f := (&GenerationRequest{Organisation: "kegsetu", Model: "m", Prompt: "p"}).crashFingerprint()
	for id := range quarantine.CrashID(3) {
		b.quarantine.Crashed(time.Now(), 1000+id, lossOf(f))
	}
}

// Guards against a quarantined generation that keeps its place at the scheduler,
// also if it was quarantined while it waited to be placed.
func TestQuarantinedGenerationReleasesItsPlace(t *testing.T) {
	for _, whileWaiting := range []bool{false, true} {
		b := newFixture(testOptions("r1"), runner("e1"))
		b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(3))
		submitted := 0
		b.scheduler.onSubmit = func() {
			submitted++
			b.quarantineRequest()
		}
		if !whileWaiting {
			b.quarantineRequest()
		}
		refusal := b.generate(&fakeCaller{}, false)
		if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun {
			t.Errorf("quarantined while waiting %v: refused with %+v, want CauseQuarantined, outcome.NotRun", whileWaiting, refusal)
		}
		if sent, _, _ := b.engine.Calls(); len(sent) > 0 || submitted != len(b.scheduler.finished) || (submitted > 0) != whileWaiting {
			t.Errorf("quarantined while waiting %v: %d dispatches, %d submissions, %d released", whileWaiting, len(sent), submitted, len(b.scheduler.finished))
		}
	}
}
