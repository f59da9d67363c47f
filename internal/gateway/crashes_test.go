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

// Guards against log lines that don't show whether two lost attempts were of one request.
func TestLostAttemptsNameTheirFingerprint(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", failure(port.ErrEndpointLost))
	for _, id := range []string{"first", "again"} {
		if refusal := b.askAs(t, id, "/once/same", &caller{}); refusal == nil {
			t.Fatal("not refused")
		}
	}
	if refusal := b.askAs(t, "other", "/once/other", &caller{}); refusal == nil {
		t.Fatal("not refused")
	}
	b.everywhere("s", reply(200, "fine"))
	if refusal := b.askAs(t, "whole", "/once/same", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	first, again, other := b.fingerprint("first"), b.fingerprint("again"), b.fingerprint("other")
	if first == "" || first != again || first == other || b.fingerprint("whole") != "" {
		t.Fatalf("fingerprints %q, %q, %q, and %q of a whole answer", first, again, other, b.fingerprint("whole"))
	}
}

// fingerprint is the one that the last line of a request names.
func (b *bench) fingerprint(requestID string) string {
	name := ""
	for _, d := range b.sink.All() {
		if d.Subject == subjectRequest && d.SubjectID == requestID {
			name = d.Fingerprint
		}
	}
	return name
}

// look sets what a look at all plain endpoints shows.
func (b *bench) look(p port.Presence) {
	b.world.mu.Lock()
	defer b.world.mu.Unlock()
	b.world.presence = map[string]port.Presence{"s0": p, "s1": p, "s2": p}
}

// fingerprintOf is that of a request which ask sends.
func fingerprintOf(path string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("o", "POST", "h", path, nil)
}

// quarantineRequest has endpoints that nobody knows crash under a request.
func (b *bench) quarantineRequest(path string) {
	for id := range quarantine.CrashID(3) {
		b.quarantine.Crashed(time.Now(), 1000+id, []quarantine.Fingerprint{fingerprintOf(path)})
	}
}

// Guards against sending a request on that is known to crash endpoints.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	for _, path := range []string{"/safe/fatal", "/once/fatal", "/stream/fatal"} {
		b := newBench(t)
		b.everywhere("s", reply(200, "fine"))
		b.everywhere("e", reply(200, "fine"))
		b.quarantineRequest(path)
		refusal := b.ask(t, path, &caller{})
		if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= time.Minute {
			t.Errorf("%s: refused with %+v", path, refusal)
		}
		if arrivals := b.world.arrivals(); len(arrivals) != 0 {
			t.Errorf("%s was sent to %v", path, arrivals)
		}
		if got := b.fingerprint(fmt.Sprint("r", requestNumber)); got != fingerprintOf(path).String() {
			t.Errorf("%s: the refusal's line names fingerprint %q", path, got)
		}
		if refusal := b.ask(t, path+"not", &caller{}); refusal != nil {
			t.Errorf("another request: %+v", refusal)
		}
	}
}

// Guards against a fatal request that is sent to a fourth endpoint.
func TestRequestUnderWhichEndpointsEndIsQuarantined(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", failure(port.ErrEndpointLost))
	b.look(port.PresenceGone)
	eventually.True(t, "the request is quarantined", func() bool {
		refusal := b.ask(t, "/once/fatal", &caller{})
		return refusal != nil && refusal.Cause == CauseQuarantined
	})
	arrivals := len(b.world.arrivals())
	if refusal := b.ask(t, "/once/fatal", &caller{}); refusal == nil || refusal.Cause != CauseQuarantined {
		t.Fatalf("%+v", refusal)
	}
	if len(b.world.arrivals()) != arrivals {
		t.Fatal("it was sent again")
	}
}

// Guards against quarantining requests whose connections break at endpoints that go on serving.
func TestBrokenConnectionIsNoCrash(t *testing.T) {
	for _, presence := range []port.Presence{port.PresenceServing, port.PresenceUnknown} {
		b := newBench(t)
		b.everywhere("s", failure(port.ErrEndpointLost))
		b.look(presence)
		for range 12 {
			b.ask(t, "/once/unlucky", &caller{})
		}
		b.looksEnd(t)
		if refusal := b.ask(t, "/once/unlucky", &caller{}); refusal == nil || refusal.Cause == CauseQuarantined {
			t.Errorf("presence %d: %+v", presence, refusal)
		}
	}
}

// Endpoints end as planned, with what they still run: no request is to blame.
func TestEndOfAnEndpointThatLeavesIsNoCrash(t *testing.T) {
	b := newBench(t)
	b.look(port.PresenceGone)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.world.on[id] = func(*port.Exchange) (*port.Answer, error) {
			b.leave(id)
			return nil, port.ErrEndpointLost
		}
	}
	for range 3 {
		b.ask(t, "/once/unlucky", &caller{})
	}
	b.looksEnd(t)
	if n := b.quarantine.Entries(); len(n) > 0 {
		t.Fatalf("quarantined: %v", n)
	}
}

// looksEnd waits until nobody looks at an endpoint any more.
func (b *bench) looksEnd(t *testing.T) {
	t.Helper()
	eventually.True(t, "the looks have ended", func() bool { return b.crashes.Looking() == 0 })
}

// Guards against a retry that crashes one more endpoint.
func TestRetryOfAQuarantinedRequestIsNotMade(t *testing.T) {
	b := newBench(t)
	f := fingerprintOf("/safe/fatal")
	b.everywhere("s", func(*port.Exchange) (*port.Answer, error) {
		b.quarantineRequest("/safe/fatal")
		return nil, port.ErrEndpointLost
	})
	refusal := b.ask(t, "/safe/fatal", &caller{})
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.Unknown {
		t.Fatalf("%+v, fingerprint %s", refusal, f)
	}
	if n := len(b.world.arrivals()); n != 1 {
		t.Fatalf("sent %d times", n)
	}
}

// Guards against quarantining a request that was only lost with others.
func TestRequestThatRunsToItsEndIsNotQuarantined(t *testing.T) {
	b := newBench(t)
	f := fingerprintOf("/once/unlucky")
	b.quarantine.Crashed(time.Now(), 1, []quarantine.Fingerprint{f})
	b.quarantine.Crashed(time.Now(), 2, []quarantine.Fingerprint{f})
	b.everywhere("s", reply(200, "fine"))
	if refusal := b.ask(t, "/once/unlucky", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	b.quarantine.Crashed(time.Now(), 3, []quarantine.Fingerprint{f})
	if refusal := b.ask(t, "/once/unlucky", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
}

// quarantiningPlacer places a request once it has been found to be fatal.
type quarantiningPlacer struct {
	Placer
	b        *bench
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

// Guards against sending a request that is quarantined while it waits, and against losing its place.
func TestRequestFoundOutWhileItWaitsIsNotSent(t *testing.T) {
	b := newBench(t)
	b.everywhere("e", reply(200, "fine"))
	placer := &quarantiningPlacer{Placer: b.Placer, b: b}
	b.Placer = placer
	refusal := b.ask(t, "/stream/fatal", &caller{})
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun {
		t.Fatalf("%+v", refusal)
	}
	if len(b.world.arrivals()) != 0 || placer.finished != 1 {
		t.Fatalf("sent to %v, place given back %d times", b.world.arrivals(), placer.finished)
	}
}

// Guards against a quarantined request that holds a place in the queue.
func TestQuarantinedRequestWaitsForNoPlace(t *testing.T) {
	b := newBench(t)
	b.quarantineRequest("/stream/fatal")
	b.ask(t, "/stream/fatal", &caller{})
	for _, d := range b.sink.All() {
		if d.Subject == subjectRequest && d.Verdict != verdictFinish {
			t.Errorf("%s: %s", d.Verdict, d.Reason)
		}
	}
}
