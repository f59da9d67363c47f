package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/route"
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

// Guards against log lines that don't show what the prompts of lost attempts have in common.
func TestLostAttemptsNameTheirParts(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("e", failure(port.ErrEndpointLost))
	_ = b.sendParts(t, "lost", "/stream/x", &fakeCaller{}, 0x5c1e07a2, 0xdead, 0x91bd)
	b.setHandlers("e", reply(200, "fine"))
	_ = b.sendParts(t, "whole", "/stream/x", &fakeCaller{}, 0x5c1e07a2)
	parts := map[string][]string{}
	for _, d := range b.sink.All() {
		if d.Subject == subjectRequest {
			parts[d.SubjectID] = d.Parts
		}
	}
	if want := []string{"5c1e07a2", "dead", "91bd"}; !slices.Equal(parts["lost"], want) || len(parts["whole"]) > 0 {
		t.Fatalf("parts %v, want %v of the lost attempt alone", parts, want)
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

// quarantinePart quarantines a part of prompts by reporting three crashes.
func (b *harness) quarantinePart(id uint64) {
	scope := quarantine.Scope{Organisation: "o", Pool: "engines", Model: "m"}
	now := time.Now()
	for n := range quarantine.CrashID(3) {
		request := &quarantine.Request{Fingerprint: fingerprintOf(fmt.Sprint("/stream/lost-", n)), Organisation: "o", Parts: scope.Parts([]uint64{id, 1})}
		b.quarantine.Crashed(now, 2000+n, []quarantine.Loss{{Request: request, At: now.Add(time.Duration(n) * time.Second)}})
	}
}

// Guards against sending a request, new and unlike any other, with a part that is known to crash endpoints.
func TestRequestWithQuarantinedPartIsNotSent(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("e", reply(200, "fine"))
	b.quarantinePart(0xdead)
	refusal := b.sendParts(t, "refused", "/stream/new", &fakeCaller{}, 0xf125, 0xdead, 0x77)
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.NotRun || refusal.RetryAfter <= time.Minute {
		t.Fatalf("refused with %+v", refusal)
	}
	if !strings.Contains(refusal.Detail, "the part dead") {
		t.Errorf("the reason does not name the part: %s", refusal.Detail)
	}
	lead := quarantine.Scope{Organisation: "o", Pool: "engines", Model: "m"}.Parts([]uint64{0xdead, 1})[0]
	if got := b.lastFingerprint("refused"); got != lead.Fingerprint.String() {
		t.Errorf("the decision has fingerprint %q, want that of the part", got)
	}
	if arrivals := b.backends.arrivals(); len(arrivals) != 0 {
		t.Errorf("sent to %v", arrivals)
	}
	for _, parts := range [][]uint64{{0xf125, 0x77}, {0xf125, 0xdead}, nil} {
		if refusal := b.sendParts(t, "sent", "/stream/sound", &fakeCaller{}, parts...); refusal != nil {
			t.Errorf("parts %x, the last of which is the request's own: %+v", parts, refusal)
		}
	}
}

// Guards against a verdict on a part that nothing can end, because no request with it is sent any more.
func TestQuarantinedPartIsTriedAgain(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		b := newHarness(t)
		b.setHandlers("e", reply(200, "fine"))
		if crashes {
			b.setHandlers("e", failure(port.ErrEndpointLost))
			b.backends.presence = map[string]port.Presence{"e0": port.PresenceGone, "e1": port.PresenceGone, "e2": port.PresenceGone}
		}
		scope := quarantine.Scope{Organisation: "o", Pool: "engines", Model: "m"}
		for n := range 3 {
			request := &quarantine.Request{Fingerprint: fingerprintOf(fmt.Sprint("/stream/lost-", n)), Organisation: "o", Parts: scope.Parts([]uint64{0xdead, 1})}
			at := time.Now().Add(time.Duration(n-100) * time.Second)
			b.quarantine.Crashed(time.Now(), quarantine.CrashID(n), []quarantine.Loss{{Request: request, At: at}})
		}
		first := b.sendParts(t, "first", "/stream/first", &fakeCaller{}, 0xdead, 0x77)
		if n := len(b.backends.arrivals()); n != 1 {
			t.Fatalf("sent %d times: %+v", n, first)
		}
		if crashes {
			eventually.True(t, "the crash is counted", func() bool { return b.crashWatch.PendingChecks() == 0 })
		}
		second := b.sendParts(t, "second", "/stream/second", &fakeCaller{}, 0xdead, 0x78)
		if refused := second != nil && second.Cause == CauseQuarantined; refused != crashes {
			t.Errorf("the trial crashed its endpoint: %v; the next request: %+v", crashes, second)
		}
	}
}

// Guards against trials by all daemons at once.
func TestOneDaemonMakesTheTrials(t *testing.T) {
	var members []port.Member
	for i := range 6 {
		members = append(members, port.Member{ID: fmt.Sprint("g", i), State: port.MemberLive, CallerAddress: "a"})
	}
	for n := range byte(20) {
		owners := 0
		for _, m := range members {
			b := newHarness(t)
			options := *b.options()
			options.ID = m.ID
			b.SetOptions(options)
			b.view.members = members
			if b.ownsTrials(quarantine.Fingerprint{n}) {
				owners++
			}
		}
		if owners != 1 {
			t.Errorf("%d daemons make trials of part %d", owners, n)
		}
	}
}

// Guards against requests that wait at a runner when their part is quarantined, and crash it when they begin.
func TestWaitingRequestIsWithdrawnWhenItsPartIsQuarantined(t *testing.T) {
	b := newHarness(t)
	b.backends.silent = map[string]bool{"e0": true, "e1": true, "e2": true}
	refusals := make(chan *Refusal, 1)
	go func() { refusals <- b.sendParts(t, "waiting", "/stream/waiting", &fakeCaller{}, 0xdead, 0x77) }()
	sound := make(chan *Refusal, 1)
	ctx, leave := context.WithCancel(t.Context())
	go func() { sound <- b.sendPartsUntil(ctx, t, "sound", "/stream/sound", &fakeCaller{}, 0xf125, 0x78) }()
	eventually.True(t, "both are sent", func() bool { return len(b.backends.arrivals()) == 2 })
	b.quarantinePart(0xdead)
	b.crashWatch.Tick()
	refusal := <-refusals
	if refusal == nil || refusal.Cause != CauseQuarantined || refusal.Outcome != outcome.Unknown {
		t.Errorf("the waiting request: %+v", refusal)
	}
	select {
	case refusal := <-sound:
		t.Errorf("a request without the part: %+v", refusal)
	case <-time.After(100 * time.Millisecond):
	}
	leave()
	<-sound
	if n := b.crashWatch.PendingChecks(); n > 0 {
		t.Errorf("%d endpoints are checked for the end of a withdrawn request", n)
	}
}

// unframedReply returns a handler whose answers end with their connection.
func unframedReply(contentType, body string) func(*port.Exchange) (*port.Answer, error) {
	return func(*port.Exchange) (*port.Answer, error) {
		return &port.Answer{
			Status: 200, Header: http.Header{"Content-Type": {contentType}}, Length: -1, Body: io.NopCloser(strings.NewReader(body)),
		}, nil
	}
}

// Guards against passing on the beginning of an answer as a whole one, and clearing its request, when the end of the connection is that of the endpoint.
func TestAnswerThatEndsWithItsEndpointIsNotWhole(t *testing.T) {
	const events = "id: 1\ndata: a\n\n"
	for _, c := range []struct {
		name     string
		presence port.Presence
		leaving  bool
		isWhole  bool
	}{
		{"it runs on", port.PresenceServing, false, true},
		{"it has crashed", port.PresenceGone, false, false},
		{"it leaves and runs on", port.PresenceServing, true, true},
		{"it leaves, and has ended before or after the answer", port.PresenceGone, true, false},
	} {
		for path, contentType := range map[string]string{"/stream/x": "text/event-stream", "/once/x": "text/plain"} {
			t.Run(c.name+" "+path, func(t *testing.T) {
				b := newHarness(t)
				ends := map[string]port.Presence{}
				for _, id := range []string{"s0", "s1", "s2", "e0", "e1", "e2"} {
					reply := unframedReply(contentType, events)
					b.backends.handlers[id] = func(x *port.Exchange) (*port.Answer, error) {
						if c.leaving {
							b.setLeaving(id)
						}
						b.backends.mu.Lock()
						ends[id] = c.presence
						b.backends.presence = ends
						b.backends.mu.Unlock()
						return reply(x)
					}
				}
				caller := &fakeCaller{}
				refusal := b.send(t, path, caller)
				if (refusal == nil) != c.isWhole {
					t.Fatalf("refused with %+v, the caller has %q", refusal, caller.text())
				}
				if !c.isWhole && refusal.Outcome == outcome.NotRun {
					t.Errorf("the request ran: %+v", refusal)
				}
			})
		}
	}
}

// Guards against the same where the endpoint is back when it is checked again.
func TestAnswerThatEndsWithARestartedEndpointIsNotWhole(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", unframedReply("text/plain", "who"))
	b.setPresence(port.PresenceSilent)
	b.backends.onCheck = func(port.Endpoint) {
		time.AfterFunc(20*time.Millisecond, func() { b.setPresence(port.PresenceServing) })
	}
	caller := &fakeCaller{}
	if refusal := b.send(t, "/once/x", caller); refusal == nil || refusal.Outcome == outcome.NotRun {
		t.Fatalf("refused with %+v, the caller has %q", refusal, caller.text())
	}
}

// Guards against the same where no check is answered in time, other than by a plain service, whose checks wait for a slot.
func TestAnswerOfSilentEngineIsNotWhole(t *testing.T) {
	for path, want := range map[string]bool{"/stream/x": false, "/once/x": true} {
		b := newHarness(t)
		b.setHandlers("s", unframedReply("text/plain", "whole"))
		b.setHandlers("e", unframedReply("text/event-stream", "id: 1\ndata: a\n\n"))
		const longerThanAnybodyWaits = 2 * time.Second
		b.backends.onCheck = func(port.Endpoint) { time.Sleep(longerThanAnybodyWaits) }
		refusal := b.send(t, path, &fakeCaller{})
		if (refusal == nil) != want {
			t.Errorf("%s: refused with %+v", path, refusal)
		}
	}
}

// Guards against the same for an idempotent call, which is then repeated.
func TestCallIsRepeatedWhenItsAnswerEndsWithItsEndpoint(t *testing.T) {
	b := newHarness(t)
	first := ""
	for _, id := range []string{"s0", "s1", "s2"} {
		b.backends.handlers[id] = func(x *port.Exchange) (*port.Answer, error) {
			if first != "" {
				return reply(200, "whole")(x)
			}
			first = id
			b.setPresenceOf(id, port.PresenceGone)
			return unframedReply("text/plain", "who")(x)
		}
	}
	caller := &fakeCaller{}
	if refusal := b.send(t, "/safe/x", caller); refusal != nil || caller.text() != "whole" {
		t.Fatalf("%+v, the caller has %q", refusal, caller.text())
	}
}

// Guards against crashes that are not counted because the paths to the whole pool are in doubt, although another endpoint answers at the address.
func TestReplacedEndpointHasEnded(t *testing.T) {
	b := newHarness(t)
	b.losePool("plain")
	for n := range 3 {
		e, _ := b.endpointTable.get(fmt.Sprint("s", n))
		b.setPresenceOf(e.ID, port.PresenceReplaced)
		// Another attempt there has not noticed yet that its connection is gone.
		older := b.crashWatch.Begin(e.Endpoint, &quarantine.Request{}, nil)
		a := b.crashWatch.Begin(e.Endpoint, &quarantine.Request{Fingerprint: fingerprintOf("/once/fatal")}, nil)
		b.crashWatch.End(a, true)
		b.awaitProbes(t)
		b.crashWatch.End(older, false)
	}
	eventually.True(t, "the request is quarantined", func() bool {
		refusal := b.send(t, "/once/fatal", &fakeCaller{})
		return refusal != nil && refusal.Cause == CauseQuarantined
	})
}

// restart gives an endpoint of the view a later start and applies the change.
func (b *harness) restart(id string) {
	b.view.mu.Lock()
	for i := range b.view.endpoints {
		if b.view.endpoints[i].ID == id {
			b.view.endpoints[i].Incarnation++
			b.view.endpoints[i].State = port.EndpointLive
		}
	}
	b.view.mu.Unlock()
	b.apply()
}

// awaitUse waits until a restarted endpoint has answered and is used.
func (b *harness) awaitUse(t *testing.T, id string) {
	t.Helper()
	eventually.True(t, id+" is used", func() bool {
		e, _ := b.endpointTable.get(id)
		return !b.IsPaused(e.Endpoint)
	})
}

// Guards against a restarted endpoint that is cold and gets its usual share until that is known.
func TestRestartedEndpointIsAskedBeforeItIsUsed(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", reply(200, "fine"))
	answer := make(chan struct{})
	b.backends.onCheck = func(port.Endpoint) { <-answer }
	b.restart("s0")
	if n := b.sendMany(t, 30, "/once/x", "s0"); n > 0 {
		t.Errorf("%d requests reached it before it answered", n)
	}
	close(answer)
	eventually.True(t, "it is used", func() bool { return b.sendMany(t, 10, "/once/x", "s0") > 0 })
}

// Guards against crashes that are not counted because the endpoint is back under its id when it is checked.
func TestRestartUnderTheSameIDIsACrash(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", failure(port.ErrEndpointLost))
	for range 3 {
		_ = b.send(t, "/once/fatal", &fakeCaller{})
		b.awaitProbes(t)
		for _, id := range []string{"s0", "s1", "s2"} {
			b.restart(id)
			b.awaitUse(t, id)
		}
	}
	if refusal := b.send(t, "/once/fatal", &fakeCaller{}); refusal == nil || refusal.Cause != CauseQuarantined {
		t.Fatalf("%+v", refusal)
	}
}

// Guards against counting the planned restart of an endpoint as a crash, also when its connections break after its new entry is known.
func TestPlannedRestartIsNotACrash(t *testing.T) {
	b := newHarness(t)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.backends.handlers[id] = func(*port.Exchange) (*port.Answer, error) {
			b.setLeaving(id)
			b.restart(id)
			return nil, port.ErrEndpointLost
		}
	}
	for range 4 {
		_ = b.send(t, "/once/unlucky", &fakeCaller{})
		b.awaitProbes(t)
	}
	if refusal := b.send(t, "/once/unlucky", &fakeCaller{}); refusal == nil || refusal.Cause == CauseQuarantined {
		t.Fatalf("%+v", refusal)
	}
}

// Guards against a peer's check that is answered by the process which has restarted.
func TestPeerKnowsThatFormerStartHasEnded(t *testing.T) {
	b := newHarness(t)
	b.restart("s0")
	b.awaitUse(t, "s0")
	if reached, known := b.CheckEndpoint("s0", 1); reached || !known {
		t.Errorf("the former start: reached %v, known %v", reached, known)
	}
	if reached, known := b.CheckEndpoint("s0", 2); !reached || !known {
		t.Errorf("the present start: reached %v, known %v", reached, known)
	}
	if _, known := b.CheckEndpoint("s0", 3); known {
		t.Error("a start that is not known here")
	}
}

// Guards against taking an answer without a run for a sign that the parts of the prompt are harmless.
func TestRejectedPromptDoesNotClearItsParts(t *testing.T) {
	for status, cleared := range map[int]bool{200: true, 400: false, 500: false} {
		b := newHarness(t)
		b.quarantinePart(0xdead)
		x := b.newExchange(&Request{Admission: Admission{Route: &route.Route{Targets: []route.Target{{Pool: "engines"}}}, Organisation: "o"}, Generation: &GenerationParams{
			Model: "m", Parts: []PromptPart{{ID: 0xdead}, {ID: 1}},
		}}, &fakeCaller{})
		x.status, x.ranOn = status, true
		x.recordCompletion()
		if refused := x.quarantineRefusal() != nil; refused == cleared {
			t.Errorf("status %d: refused %v", status, refused)
		}
	}
}

// Guards against sending a request to a fourth endpoint after it has crashed
// three.
func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
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
	b.setPresence(port.PresenceGone)
	for _, id := range []string{"s0", "s1", "s2"} {
		b.backends.handlers[id] = func(*port.Exchange) (*port.Answer, error) {
			b.setLeaving(id)
			return nil, port.ErrEndpointLost
		}
	}
	for range 3 {
		b.send(t, "/once/unlucky", &fakeCaller{})
	}
	b.awaitProbes(t)
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

// Guards against counting a cut of this daemon's paths as crashes of the endpoints.
func TestLostPathIsNoCrash(t *testing.T) {
	for _, peers := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(peers, " peers"), func(t *testing.T) {
			b, net := newRelayHarness(t, peers)
			for _, peer := range net.peers {
				peer.setPresence(port.PresenceServing)
			}
			e, _ := b.endpointTable.get("s0")
			for range 3 {
				if b.confirmEnd(e.Endpoint) {
					t.Fatal("the end of an endpoint is confirmed whose path is lost")
				}
			}
		})
	}
}

// Guards against the same where only the path to this endpoint is lost.
func TestLostPathToOneEndpointIsNoCrash(t *testing.T) {
	b, net := newRelayHarness(t, 2)
	e, _ := b.endpointTable.get("s0")
	other, _ := b.endpointTable.get("s1")
	b.ObservePath(other.Endpoint, port.PathReached, nil)
	net.peers["peer0"].setPresenceOf("s0", port.PresenceGone)
	if b.confirmEnd(e.Endpoint) {
		t.Fatal("the end of an endpoint is confirmed that a peer reaches")
	}
}

// Guards against a crash that is taken for a lost path.
func TestCrashIsConfirmed(t *testing.T) {
	for _, peers := range []int{0, 2} {
		b, net := newRelayHarness(t, peers)
		for _, peer := range net.peers {
			peer.setPresenceOf("s0", port.PresenceGone)
		}
		e, _ := b.endpointTable.get("s0")
		other, _ := b.endpointTable.get("s1")
		b.ObservePath(other.Endpoint, port.PathReached, nil)
		if !b.confirmEnd(e.Endpoint) {
			t.Errorf("%d peers: the end of an endpoint is not confirmed", peers)
		}
	}
}

// Guards against crashes that are not counted because all endpoints of a pool end at once, and against taking a cut of all paths of one or all daemons for that.
func TestEndOfAllEndpointsOfAPoolIsPresumed(t *testing.T) {
	for _, c := range []struct {
		name           string
		peers          int
		peerHasPath    bool
		otherPoolsLost bool
		want           bool
	}{
		{"no daemon reaches the pool", 2, false, false, true},
		{"a peer reaches it", 2, true, false, false},
		{"no other pool is reached either", 2, false, true, false},
		{"nobody else can tell", 0, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, _ := newRelayHarness(t, c.peers)
			if c.otherPoolsLost {
				b.losePool("engines")
			}
			for i := range b.view.members {
				if b.view.members[i].ID != "g" && !(c.peerHasPath && i == 1) {
					b.view.members[i].LostPools = []string{"plain"}
				}
			}
			e, _ := b.endpointTable.get("s0")
			if _, got := b.presumeEnd(e.Endpoint); got != c.want {
				t.Errorf("the end is presumed: %v", got)
			}
		})
	}
}

// Guards against an endpoint that isn't used again after its end was presumed, and against counting that twice.
func TestPresumedEndIsReportedOnceAndProbedOn(t *testing.T) {
	b, net := newRelayHarness(t, 1)
	net.peers["peer0"].losePool("plain")
	b.view.members[1].LostPools = []string{"plain"}
	b.setPresence(port.PresenceGone)
	net.peers["peer0"].setPresence(port.PresenceGone)
	e, _ := b.endpointTable.get("s0")
	b.crashWatch.End(b.crashWatch.Begin(e.Endpoint, &quarantine.Request{Fingerprint: fingerprintOf("/once/x")}, nil), true)
	crashes := func() int {
		n := 0
		for _, d := range b.sink.All() {
			if d.Verdict == verdictCrash {
				n++
			}
		}
		return n
	}
	eventually.True(t, "the crash is reported", func() bool { return crashes() == 1 })
	if !b.crashWatch.IsUnanswered(e.Endpoint) {
		t.Error("the endpoint is not checked any more")
	}
	b.setPresence(port.PresenceServing)
	eventually.True(t, "it is used again", func() bool { return !b.crashWatch.IsDown(e.Endpoint) })
	if n := crashes(); n != 1 {
		t.Errorf("%d crashes are reported", n)
	}
}

// Guards against crashes that are not counted because the callers give up before anybody sees the endpoint's end.
func TestCrashAfterItsCallersGaveUpIsCounted(t *testing.T) {
	b := newHarness(t)
	b.backends.silent = map[string]bool{"e0": true, "e1": true, "e2": true}
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = b.sendPartsUntil(ctx, t, "left", "/stream/fatal", &fakeCaller{})
		close(done)
	}()
	eventually.True(t, "it is sent", func() bool { return len(b.backends.arrivals()) == 1 })
	leave()
	<-done
	b.backends.mu.Lock()
	b.backends.silent = nil
	b.backends.presence = map[string]port.Presence{"e0": port.PresenceGone, "e1": port.PresenceGone, "e2": port.PresenceGone}
	b.backends.mu.Unlock()
	_ = b.send(t, "/stream/next", &fakeCaller{})
	eventually.True(t, "the crash is counted", func() bool {
		for _, d := range b.sink.All() {
			if d.Verdict == verdictCrash && strings.Contains(d.Reason, "1 requests were lost") {
				return true
			}
		}
		return false
	})
}

// Guards against using an endpoint whose end could not be established before it answers.
func TestUnconfirmedEndStaysDownUntilAnswer(t *testing.T) {
	b := newHarness(t)
	b.setPresence(port.PresenceGone)
	b.losePool("plain")
	e, _ := b.endpointTable.get("s0")
	a := b.crashWatch.Begin(e.Endpoint, &quarantine.Request{}, nil)
	b.crashWatch.End(a, true)
	eventually.True(t, "it is down", func() bool { return b.crashWatch.IsDown(e.Endpoint) })
	for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(50 * time.Millisecond) {
		if !b.crashWatch.IsDown(e.Endpoint) {
			t.Fatalf("not down any more after %v, though nobody has answered", time.Since(began))
		}
	}
	b.setPresence(port.PresenceServing)
	eventually.True(t, "it is used again", func() bool { return !b.crashWatch.IsDown(e.Endpoint) })
}
