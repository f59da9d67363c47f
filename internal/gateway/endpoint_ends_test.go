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
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

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

// Guards against the same where no check is answered in time, and against dropping the answer of a plain service whose checks wait for a slot.
func TestAnswerOfSilentEngineIsNotWhole(t *testing.T) {
	for path, want := range map[string]bool{"/stream/x": false, "/once/x": true} {
		b := newHarness(t)
		b.setHandlers("s", unframedReply("text/plain", "whole"))
		b.setHandlers("e", unframedReply("text/event-stream", "id: 1\ndata: a\n\n"))
		const longerThanForAnEngine = 2 * time.Second
		b.backends.onCheck = func(port.Endpoint) { time.Sleep(longerThanForAnEngine) }
		refusal := b.send(t, path, &fakeCaller{})
		if (refusal == nil) != want {
			t.Errorf("%s: refused with %+v", path, refusal)
		}
	}
}

// Guards against the same where an engine's health check is answered, but not by which start.
func TestAnswerOfEngineThatDoesNotStateItsStartIsNotWhole(t *testing.T) {
	b := newHarness(t)
	b.backends.noReports = true
	b.setHandlers("e", unframedReply("text/event-stream", "id: 1\ndata: a\n\n"))
	if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal == nil {
		t.Error("the answer passes for whole")
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

// Guards against giving up a whole answer early for a repetition for which no other endpoint is left.
func TestOnlyEndpointsAnswerIsAwaited(t *testing.T) {
	b := newHarness(t)
	b.setLeaving("s1")
	b.setLeaving("s2")
	b.setHandlers("s", unframedReply("text/plain", "whole"))
	b.backends.onCheck = func(port.Endpoint) { time.Sleep(maxEvidenceWait + 300*time.Millisecond) }
	caller := &fakeCaller{}
	if refusal := b.send(t, "/safe/x", caller); refusal != nil || caller.text() != "whole" {
		t.Errorf("refused with %+v, the caller has %q", refusal, caller.text())
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

// Guards against the same where the peers that are asked get no answer in time, as on busy hosts.
func TestLostPathIsNoCrashIfPeersDontKnow(t *testing.T) {
	b, net := newRelayHarness(t, 2)
	for _, peer := range net.peers {
		peer.setPresenceOf("s0", port.PresenceUnknown)
	}
	e, _ := b.endpointTable.get("s0")
	b.losePool("plain")
	if b.confirmEnd(e.Endpoint) {
		t.Fatal("the end of an endpoint is confirmed that nobody has found gone")
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
		b.setPresenceOf("s0", port.PresenceGone)
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
		{"there are no other daemons", 0, false, false, false},
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

// Guards against crashes that are not counted because the attempts there were abandoned before the end of the endpoint is seen.
func TestCrashAfterItsAttemptsWereAbandonedIsCounted(t *testing.T) {
	for _, c := range []struct {
		name     string
		abandon  func(b *harness, leave func())
		discover func(t *testing.T, b *harness)
	}{
		{"the caller leaves, the next attempt fails", leaveCaller, failNextAttempt},
		{"the caller leaves, a check of the path fails", leaveCaller, failPathCheck},
		{"the attempt is withdrawn, a check of the path fails", withdrawAttempt, failPathCheck},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			b.backends.silent = map[string]bool{"e0": true, "e1": true, "e2": true}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			done := make(chan struct{})
			go func() {
				_ = b.sendPartsUntil(ctx, t, "left", "/stream/fatal", &fakeCaller{}, 0xdead, 1)
				close(done)
			}()
			eventually.True(t, "it is sent", func() bool { return len(b.backends.arrivals()) == 1 })
			c.abandon(b, leave)
			<-done
			c.discover(t, b)
			eventually.True(t, "the crash is counted", func() bool {
				for _, d := range b.sink.All() {
					if d.Verdict == verdictCrash && strings.Contains(d.Reason, "1 requests were lost") {
						return true
					}
				}
				return false
			})
		})
	}
}

func leaveCaller(_ *harness, leave func()) { leave() }

func withdrawAttempt(b *harness, _ func()) {
	b.quarantinePart(0xdead)
	b.crashWatch.Tick()
}

func failNextAttempt(t *testing.T, b *harness) {
	crashed := b.backends.arrivals()[0]
	b.setPresenceOf(crashed, port.PresenceGone)
	b.backends.mu.Lock()
	b.backends.silent = nil
	b.backends.mu.Unlock()
	eventually.True(t, "an attempt fails there", func() bool {
		_ = b.send(t, "/stream/next", &fakeCaller{})
		return slices.Contains(b.backends.arrivals()[1:], crashed)
	})
}

func failPathCheck(_ *testing.T, b *harness) {
	crashed := b.backends.arrivals()[0]
	b.setPresenceOf(crashed, port.PresenceGone)
	for _, id := range []string{"e0", "e1", "e2"} {
		e, _ := b.endpointTable.get(id)
		if id == crashed {
			b.ObservePath(e.Endpoint, port.PathConnectFailed, errReset)
		} else {
			b.ObservePath(e.Endpoint, port.PathReached, nil)
		}
	}
}

// Guards against crashes that are never counted because the whole pool is out of reach, and against taking a planned end in that time for one.
func TestEndOfDroppedEndpointIsACrash(t *testing.T) {
	for dropped, want := range map[bool]int{true: 1, false: 0} {
		b := newHarness(t)
		b.setPresence(port.PresenceGone)
		b.losePool("plain")
		e, _ := b.endpointTable.get("s0")
		a := b.crashWatch.Begin(e.Endpoint, &quarantine.Request{Fingerprint: fingerprintOf("/once/fatal")}, nil)
		b.crashWatch.End(a, true)
		eventually.True(t, "its end is in doubt", func() bool { return b.crashWatch.IsUnanswered(e.Endpoint) })
		b.removeEntry("s0", dropped)
		b.awaitProbes(t)
		crashes := 0
		for _, d := range b.sink.All() {
			if d.Verdict == verdictCrash {
				crashes++
			}
		}
		if crashes != want {
			t.Errorf("dropped %v: %d crashes are counted, want %d", dropped, crashes, want)
		}
	}
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
