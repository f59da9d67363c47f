package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// lossOf returns the loss of a request without a prompt.
func lossOf(f quarantine.Fingerprint) []quarantine.Loss {
	return []quarantine.Loss{{Request: &quarantine.Request{Fingerprint: f}, At: time.Now()}}
}

// Guards against log lines that don't show whether two lost attempts were of
// the same request.
func TestLostAttemptsNameTheirFingerprint(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", failure(port.ErrEndpointLost))
	for _, id := range []string{"first", "again"} {
		if refusal := b.sendWithID(t, id, "/once/same", &fakeCaller{}); refusal == nil {
			t.Fatal("not refused")
		}
	}
	if refusal := b.sendWithID(t, "other", "/once/other", &fakeCaller{}); refusal == nil {
		t.Fatal("not refused")
	}
	b.setHandlers("s", reply(200, "fine"))
	if refusal := b.sendWithID(t, "whole", "/once/same", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	first, repeated, other := b.lastFingerprint("first"), b.lastFingerprint("again"), b.lastFingerprint("other")
	if first == "" || first != repeated || first == other || b.lastFingerprint("whole") != "" {
		t.Fatalf("fingerprints %q, %q, %q, and %q of a complete answer", first, repeated, other, b.lastFingerprint("whole"))
	}
}

// lastFingerprint returns the fingerprint in the last decision about a request.
func (b *harness) lastFingerprint(requestID string) string {
	name := ""
	for _, d := range b.sink.All() {
		if d.Subject == subjectRequest && d.SubjectID == requestID {
			name = d.Fingerprint
		}
	}
	return name
}

// setPresence sets the result of probing any plain endpoint.
func (b *harness) setPresence(p port.Presence) {
	b.backends.mu.Lock()
	defer b.backends.mu.Unlock()
	b.backends.presence = map[string]port.Presence{"s0": p, "s1": p, "s2": p}
}

// setPresenceOf sets the result of probing one endpoint.
func (b *harness) setPresenceOf(id string, p port.Presence) {
	b.backends.mu.Lock()
	defer b.backends.mu.Unlock()
	b.backends.presence = map[string]port.Presence{id: p}
}

// fingerprintOf returns the fingerprint of a request made by send.
func fingerprintOf(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("o", "POST", "h", path, nil)
}

// quarantineRequest quarantines a request by reporting three crashes of
// unrelated endpoints.
func (b *harness) quarantineRequest(path string) {
	for id := range quarantine.CrashID(3) {
		b.quarantine.Crashed(time.Now(), 1000+id, lossOf(fingerprintOf(path)))
	}
}

// Guards against requests to an endpoint that has lost one and whose health checks nobody answers.
func TestEndpointThatIsDownGetsNoRequests(t *testing.T) {
	for _, c := range []struct{ path, endpoint string }{{"/safe/x", "s0"}, {"/once/x", "s0"}, {"/stream/x", "e0"}} {
		t.Run(c.path, func(t *testing.T) {
			b := newHarness(t)
			countSends(b)
			b.useStaleCoordinator("e0", "e1")
			accept := b.backends.handlers[c.endpoint]
			b.backends.handlers[c.endpoint] = failure(port.ErrEndpointLost)
			b.setPresenceOf(c.endpoint, port.PresenceSilent)
			for b.countArrivals(c.endpoint) == 0 {
				_ = b.send(t, c.path, &fakeCaller{})
			}
			at, _ := b.endpointTable.get(c.endpoint)
			eventually.True(t, "the endpoint is down", func() bool { return b.crashWatch.IsDown(at.Endpoint) })
			if n := b.sendMany(t, 30, c.path, c.endpoint); n > 0 {
				t.Errorf("%d requests reached it", n)
			}
			b.backends.handlers[c.endpoint] = accept
			b.setPresenceOf(c.endpoint, port.PresenceServing)
			eventually.True(t, "the endpoint is up", func() bool { return !b.crashWatch.IsDown(at.Endpoint) })
			if n := b.sendMany(t, 30, c.path, c.endpoint); n == 0 {
				t.Error("no request reached it although it answers again")
			}
		})
	}
}

// Guards against calls at endpoints whose checks will show when they are back, and against refusing them once the checks have ended.
func TestCallsWhileAllEndpointsAreDown(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", failure(port.ErrEndpointLost))
	b.setPresence(port.PresenceSilent)
	for _, id := range []string{"s0", "s1", "s2"} {
		at, _ := b.endpointTable.get(id)
		for !b.crashWatch.IsDown(at.Endpoint) {
			_ = b.send(t, "/once/x", &fakeCaller{})
		}
	}
	b.setHandlers("s", reply(200, "fine"))
	for _, path := range []string{"/safe/x", "/once/x"} {
		if refusal := b.send(t, path, &fakeCaller{}); refusal == nil || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= 0 {
			t.Errorf("%s during the checks: %+v", path, refusal)
		}
	}
	eventually.True(t, "the checks have ended", func() bool { return b.crashWatch.PendingChecks() == 0 })
	if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
		t.Errorf("an idempotent call after the checks: %+v", refusal)
	}
}

// Guards against sending a request that is known to crash endpoints.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	for _, path := range []string{"/safe/fatal", "/once/fatal", "/stream/fatal"} {
		b := newHarness(t)
		b.setHandlers("s", reply(200, "fine"))
		b.setHandlers("e", reply(200, "fine"))
		b.quarantineRequest(path)
		refusal := b.send(t, path, &fakeCaller{})
		if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= time.Minute {
			t.Errorf("%s: refused with %+v", path, refusal)
		}
		if arrivals := b.backends.arrivals(); len(arrivals) != 0 {
			t.Errorf("%s was sent to %v", path, arrivals)
		}
		if got := b.lastFingerprint(fmt.Sprint("r", requestNumber)); got != fingerprintOf(path).String() {
			t.Errorf("%s: the refusal's decision has fingerprint %q", path, got)
		}
		if refusal := b.send(t, path+"not", &fakeCaller{}); refusal != nil {
			t.Errorf("another request: %+v", refusal)
		}
	}
}

// Guards against sending a request to a fourth endpoint after it has crashed
// three.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", func(x *port.Exchange) (*port.Answer, error) {
		b.setPresenceOf(x.Endpoint.ID, port.PresenceGone)
		return nil, port.ErrEndpointLost
	})
	eventually.True(t, "the request is quarantined", func() bool {
		refusal := b.send(t, "/once/fatal", &fakeCaller{})
		return refusal != nil && refusal.Cause == CauseQuarantined
	})
	arrivals := len(b.backends.arrivals())
	if refusal := b.send(t, "/once/fatal", &fakeCaller{}); refusal == nil || refusal.Cause != CauseQuarantined {
		t.Fatalf("%+v", refusal)
	}
	if len(b.backends.arrivals()) != arrivals {
		t.Fatal("the quarantined request was sent again")
	}
}

// Guards against a request that goes on to the last endpoint of a pool whose others it has ended, as none answers beside it any more.
func TestRequestThatCrashesAllEndpointsIsQuarantined(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", failure(port.ErrEndpointLost))
	b.setPresence(port.PresenceGone)
	eventually.True(t, "the request is quarantined", func() bool {
		refusal := b.send(t, "/once/fatal", &fakeCaller{})
		return refusal != nil && refusal.Cause == CauseQuarantined
	})
	arrivals := len(b.backends.arrivals())
	if refusal := b.send(t, "/once/fatal", &fakeCaller{}); refusal == nil || refusal.Cause != CauseQuarantined {
		t.Fatalf("%+v", refusal)
	}
	if len(b.backends.arrivals()) != arrivals {
		t.Fatal("the quarantined request was sent again")
	}
}

// Guards against quarantining requests whose connections break at endpoints
// that continue to serve.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	for _, presence := range []port.Presence{port.PresenceServing, port.PresenceUnknown} {
		b := newHarness(t)
		b.setHandlers("s", failure(port.ErrEndpointLost))
		b.setPresence(presence)
		for range 12 {
			b.send(t, "/once/unlucky", &fakeCaller{})
		}
		b.awaitProbes(t)
		if refusal := b.send(t, "/once/unlucky", &fakeCaller{}); refusal == nil || refusal.Cause == CauseQuarantined {
			t.Errorf("presence %d: %+v", presence, refusal)
		}
	}
}

// Endpoints that leave end as planned with the requests they still run; no
// request is quarantined for it.
func TestExitOfALeavingEndpointIsNotACrash(t *testing.T) {
	b := newHarness(t)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.backends.handlers[id] = func(*port.Exchange) (*port.Answer, error) {
			b.setPresenceOf(id, port.PresenceGone)
			b.setLeaving(id)
			return nil, port.ErrEndpointLost
		}
	}
	for range 3 {
		b.send(t, "/once/unlucky", &fakeCaller{})
		b.awaitProbes(t)
	}
	if n := b.quarantine.Entries(); len(n) > 0 {
		t.Fatalf("quarantined: %v", n)
	}
}

// awaitProbes waits until no endpoint is being probed.
func (b *harness) awaitProbes(t *testing.T) {
	t.Helper()
	eventually.True(t, "no endpoint is being probed", func() bool { return b.crashWatch.PendingChecks() == 0 })
}

// Guards against a retry that crashes one more endpoint.
func TestQuarantinedRequestIsNotRetried(t *testing.T) {
	b := newHarness(t)
	f := fingerprintOf("/safe/fatal")
	b.setHandlers("s", func(*port.Exchange) (*port.Answer, error) {
		b.quarantineRequest("/safe/fatal")
		return nil, port.ErrEndpointLost
	})
	refusal := b.send(t, "/safe/fatal", &fakeCaller{})
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.Unknown {
		t.Fatalf("%+v, fingerprint %s", refusal, f)
	}
	if n := len(b.backends.arrivals()); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

// Guards against quarantining a request that was only lost together with
// others.
func TestCompletedRequestIsNotQuarantined(t *testing.T) {
	b := newHarness(t)
	f := fingerprintOf("/once/unlucky")
	b.quarantine.Crashed(time.Now(), 1, lossOf(f))
	b.quarantine.Crashed(time.Now(), 2, lossOf(f))
	b.setHandlers("s", reply(200, "fine"))
	if refusal := b.send(t, "/once/unlucky", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	b.quarantine.Crashed(time.Now(), 3, lossOf(f))
	if refusal := b.send(t, "/once/unlucky", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
}

// quarantiningPlacer quarantines a request before placing it.
type quarantiningPlacer struct {
	Placer
	b        *harness
	finished int
}

func (p *quarantiningPlacer) Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) port.Decision {
	p.b.quarantineRequest("/stream/fatal")
	return p.Placer.Place(ctx, r, held)
}

func (p *quarantiningPlacer) Finished(id string, tokens int, kind port.FinishKind) {
	p.finished++
	p.Placer.Finished(id, tokens, kind)
}

// Guards against sending a request that is quarantined while it is held, and
// against leaking its placement.
func TestRequestQuarantinedWhileHeldIsNotSent(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("e", reply(200, "fine"))
	placer := &quarantiningPlacer{Placer: b.Placer, b: b}
	b.Placer = placer
	refusal := b.send(t, "/stream/fatal", &fakeCaller{})
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun {
		t.Fatalf("%+v", refusal)
	}
	if len(b.backends.arrivals()) != 0 || placer.finished != 1 {
		t.Fatalf("sent to %v, placement withdrawn %d times", b.backends.arrivals(), placer.finished)
	}
}

// Guards against a quarantined request that occupies a place in the queue.
func TestQuarantinedRequestIsNotQueued(t *testing.T) {
	b := newHarness(t)
	b.quarantineRequest("/stream/fatal")
	b.send(t, "/stream/fatal", &fakeCaller{})
	for _, d := range b.sink.All() {
		if d.Subject == subjectRequest && d.Verdict != verdictFinish {
			t.Errorf("%s: %s", d.Verdict, d.Reason)
		}
	}
}
