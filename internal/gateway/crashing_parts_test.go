package gateway

import (
	"context"
	"fmt"
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
			b.setHandlers("e", func(x *port.Exchange) (*port.Answer, error) {
				b.setPresenceOf(x.Endpoint.ID, port.PresenceGone)
				return nil, port.ErrEndpointLost
			})
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

// Guards against refusing all requests that share a part for minutes after a wrong verdict, and against trials that crash endpoints ever again at short intervals.
func TestPartThatCompletedBeforeIsTriedSoon(t *testing.T) {
	began := time.Now()
	scope := quarantine.Scope{Organisation: "o", Pool: "engines", Model: "m"}
	request := func(n int) *quarantine.Request {
		return &quarantine.Request{Fingerprint: fingerprintOf(fmt.Sprint("/stream/lost-", n)), Organisation: "o", Parts: scope.Parts([]uint64{0xf125, 1})}
	}
	b := newHarness(t)
	for _, at := range []time.Time{began, began.Add(time.Hour)} {
		b.quarantine.Completed(at.Add(-20*time.Second), request(0))
		for n := range 5 {
			lost := []quarantine.Loss{{Request: request(n + 1), At: at.Add(time.Duration(n-5) * time.Second)}}
			b.quarantine.Crashed(at, quarantine.NewCrashID(fmt.Sprint(n), uint64(at.Unix())), lost)
		}
		hold, refused := b.quarantine.Quarantined(at, request(9))
		if !refused {
			t.Fatal("the part is not quarantined")
		}
		var trials []time.Duration
		for after := time.Duration(0); after < 50*time.Minute; after += 100 * time.Millisecond {
			if b.trials.take(at.Add(after), &hold) {
				trials = append(trials, after)
			}
		}
		if len(trials) == 0 || trials[0] > 3*time.Second {
			t.Errorf("trials after %v, want one within 3s", trials)
		}
		if len(trials) > 20 {
			t.Errorf("%d trials within 50m, at %v", len(trials), trials)
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
