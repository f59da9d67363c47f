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

// The lines of two attempts that lost their endpoint show whether they were of
// one request, which its ids don't.
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

// condemn has endpoints that nobody knows crash under a request.
func (b *bench) condemn(path string) {
	for id := range quarantine.CrashID(3) {
		b.quarantine.Crashed(time.Now(), 1000+id, []quarantine.Fingerprint{fingerprintOf(path)})
	}
}

// A request that endpoints are known to crash under is refused at once and sent
// to none; others of the same caller are served.
func TestCondemnedRequestIsNotSent(t *testing.T) {
	for _, path := range []string{"/safe/fatal", "/once/fatal", "/stream/fatal"} {
		b := newBench(t)
		b.everywhere("s", reply(200, "fine"))
		b.everywhere("e", reply(200, "fine"))
		b.condemn(path)
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

// Endpoints end one after the other under one request: the daemon finds that
// nothing listens there any more, and sends it to no other after the third.
func TestRequestUnderWhichEndpointsEndIsCondemned(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", failure(port.ErrEndpointLost))
	b.look(port.PresenceGone)
	eventually.True(t, "the request is condemned", func() bool {
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

// Connections break at endpoints that go on serving, as a faulty network or
// endpoint breaks them: the request is not to blame.
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
	if n := b.quarantine.Condemnations(); len(n) > 0 {
		t.Fatalf("condemned: %v", n)
	}
}

// looksEnd waits until nobody looks at an endpoint any more.
func (b *bench) looksEnd(t *testing.T) {
	t.Helper()
	eventually.True(t, "the looks have ended", func() bool { return b.crashes.Looking() == 0 })
}

// A repeatable request has crashed an endpoint in this very attempt, and others
// before: the second try that the route allows is not made.
func TestRetryOfACondemnedRequestIsNotMade(t *testing.T) {
	b := newBench(t)
	f := fingerprintOf("/safe/fatal")
	b.everywhere("s", func(*port.Exchange) (*port.Answer, error) {
		b.condemn("/safe/fatal")
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

// A request runs to its end at one endpoint after it was lost with others: it is
// served as before.
func TestRequestThatRunsToItsEndIsNotCondemned(t *testing.T) {
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

// condemningPlacer places a request once it has been found to be fatal.
type condemningPlacer struct {
	Placer
	b        *bench
	finished int
}

func (p *condemningPlacer) Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) port.Decision {
	p.b.condemn("/stream/fatal")
	return p.Placer.Place(ctx, r, held)
}

func (p *condemningPlacer) Finished(id string, tokens int, kind port.FinishKind) {
	p.finished++
	p.Placer.Finished(id, tokens, kind)
}

// A request waits for a place while endpoints crash under others of its kind: it
// isn't sent to the place that it gets, and the place is given back.
func TestRequestFoundOutWhileItWaitsIsNotSent(t *testing.T) {
	b := newBench(t)
	b.everywhere("e", reply(200, "fine"))
	placer := &condemningPlacer{Placer: b.Placer, b: b}
	b.Placer = placer
	refusal := b.ask(t, "/stream/fatal", &caller{})
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun {
		t.Fatalf("%+v", refusal)
	}
	if len(b.world.arrivals()) != 0 || placer.finished != 1 {
		t.Fatalf("sent to %v, place given back %d times", b.world.arrivals(), placer.finished)
	}
}

// A request that will not be sent is refused at once, without a place among
// those that wait.
func TestCondemnedRequestWaitsForNoPlace(t *testing.T) {
	b := newBench(t)
	b.condemn("/stream/fatal")
	b.ask(t, "/stream/fatal", &caller{})
	for _, d := range b.sink.All() {
		if d.Subject == subjectRequest && d.Verdict != verdictFinish {
			t.Errorf("%s: %s", d.Verdict, d.Reason)
		}
	}
}
