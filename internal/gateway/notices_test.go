package gateway

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// replyLeaving returns a handler whose answers announce that the endpoint leaves.
func (b *harness) replyLeaving(handler func(*port.Exchange) (*port.Answer, error)) func(*port.Exchange) (*port.Answer, error) {
	return func(x *port.Exchange) (*port.Answer, error) {
		b.ObserveNotice(x.Endpoint, port.EndpointNotice{Leaving: true, Call: port.CallRequest, Status: 200, RequestID: x.RequestID})
		return handler(x)
	}
}

// sendMany sends a number of requests and returns how many reached the endpoint.
func (b *harness) sendMany(t *testing.T, n int, path, endpoint string) int {
	t.Helper()
	before := b.countArrivals(endpoint)
	for range n {
		// Only the endpoints that were tried matter, not the outcomes.
		_ = b.send(t, path, &fakeCaller{})
	}
	return b.countArrivals(endpoint) - before
}

func (b *harness) countArrivals(endpoint string) int {
	n := 0
	for _, id := range b.backends.arrivals() {
		if id == endpoint {
			n++
		}
	}
	return n
}

// relist has the view list an endpoint as live with a newer revision.
func (b *harness) relist(id string, incarnation uint64) {
	b.view.mu.Lock()
	for i := range b.view.endpoints {
		if e := &b.view.endpoints[i]; e.ID == id {
			e.State, e.Incarnation = port.EndpointLive, incarnation
			e.Revision++
		}
	}
	b.view.mu.Unlock()
	b.apply()
}

// Guards against requests to an endpoint that announced its leaving while the registry lists it as live.
func TestAnnouncedLeavingOutweighsRegistry(t *testing.T) {
	for _, c := range []struct{ name, path, endpoint string }{
		{"call", "/safe/x", "s1"}, {"call that may run once", "/once/x", "s1"}, {"generation", "/stream/x", "e1"},
	} {
		for _, outcome := range []struct {
			name    string
			handler func(*port.Exchange) (*port.Answer, error)
		}{
			{"success", reply(200, "fine")}, {"failure", reply(500, "no")}, {"refusal", failure(port.ErrRefused)}, {"reset", failure(port.ErrEndpointLost)},
		} {
			t.Run(c.name+"/"+outcome.name, func(t *testing.T) {
				b := newHarness(t)
				b.setHandlers("s", reply(200, "fine"))
				b.setHandlers("e", reply(200, "fine"))
				b.backends.handlers[c.endpoint] = b.replyLeaving(outcome.handler)
				for b.countArrivals(c.endpoint) == 0 {
					_ = b.send(t, c.path, &fakeCaller{})
				}
				if n := b.sendMany(t, 30, c.path, c.endpoint); n > 0 {
					t.Fatalf("%d requests after the announcement", n)
				}
				if want := []string{c.endpoint + "/1"}; !slices.Equal(b.view.leavingPublished, want) {
					t.Fatalf("published %v, want %v", b.view.leavingPublished, want)
				}
				b.relist(c.endpoint, 1)
				if n := b.sendMany(t, 30, c.path, c.endpoint); n > 0 {
					t.Fatalf("%d requests after a newer entry listed it as live", n)
				}
			})
		}
	}
}

// Guards against keeping an endpoint out of service that has restarted under its id.
func TestRestartedEndpointIsUsedAgain(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", reply(200, "fine"))
	former, _ := b.endpointTable.get("s1")
	leaving := port.EndpointNotice{Leaving: true, Call: port.CallRequest, Status: 200}
	b.ObserveNotice(former.Endpoint, leaving)
	b.relist("s1", 2)
	eventually.True(t, "the check has ended", func() bool { return b.checksEnded() == 1 })
	b.ObserveNotice(former.Endpoint, leaving)
	eventually.True(t, "the second check has ended", func() bool { return b.checksEnded() == 2 })
	if n := b.sendMany(t, 30, "/safe/x", "s1"); n == 0 {
		t.Fatal("the restarted endpoint gets no requests")
	}
}

// Guards against losing the notice of an endpoint that has restarted under its id, because it came before the new incarnation was known.
func TestNoticeOfRestartedEndpointIsNotLost(t *testing.T) {
	for name, notice := range map[string]port.EndpointNotice{
		"leaving": {Leaving: true, Status: 200},
		"pause":   {PauseFor: testPause, Status: 503},
	} {
		for _, c := range []struct{ path, endpoint string }{{"/safe/x", "s1"}, {"/stream/x", "e1"}} {
			for _, late := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, notice after the new incarnation: %v", name, c.endpoint, late), func(t *testing.T) {
					b := newHarness(t)
					got := countSends(b)
					checked := make(chan struct{})
					b.backends.onCheck = func(at port.Endpoint) {
						<-checked
						b.ObserveNotice(at, notice)
					}
					former, _ := b.endpointTable.get(c.endpoint)
					if late {
						b.relist(c.endpoint, 2)
						b.ObserveNotice(former.Endpoint, notice)
					} else {
						b.ObserveNotice(former.Endpoint, notice)
						b.relist(c.endpoint, 2)
					}
					_ = b.sendMany(t, 10, c.path, c.endpoint)
					close(checked)
					eventually.True(t, "the check has ended", func() bool { return b.checksEnded() == 1 })
					_ = b.sendMany(t, 10, c.path, c.endpoint)
					if n := got()[c.endpoint]; n > 0 {
						t.Errorf("%d requests reached it", n)
					}
				})
			}
		}
	}
}

// Guards against a placement by a coordinator that knows of a restart before this daemon does.
func TestPlacementAtUncheckedRestartIsWithdrawn(t *testing.T) {
	b := newHarness(t)
	got := countSends(b)
	b.useStaleCoordinator("e0", "e1")
	former, _ := b.endpointTable.get("e0")
	b.ObserveNotice(former.Endpoint, port.EndpointNotice{Leaving: true, Status: 200})
	b.Placer.(*staleCoordinator).endpoints[0].Incarnation++
	if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal != nil || got()["e0"] > 0 {
		t.Errorf("%v, requests sent: %v", refusal, got())
	}
}

// checksEnded returns the number of restarted endpoints whose check has ended.
func (b *harness) checksEnded() int {
	n := 0
	for _, d := range b.sink.All() {
		if d.Verdict == verdictCheck && strings.HasPrefix(d.Reason, "it is ") {
			n++
		}
	}
	return n
}

// staleCoordinator chooses endpoints in a fixed order, without what this daemon
// knows of them.
type staleCoordinator struct{ stalePlacer }

func (s *staleCoordinator) Relocate(_ context.Context, _ string, c port.RelocationConstraints) port.Decision {
	for _, e := range s.endpoints {
		if !slices.Contains(c.Excluded, e.ID) {
			return port.Decision{Verdict: port.VerdictPlace, Endpoint: e, Reason: "relocated"}
		}
	}
	return port.Decision{Verdict: port.VerdictRefuse, Reason: "no_runner_has_room"}
}

func (s *staleCoordinator) Relocated(string, bool, string) {}

func (s *staleCoordinator) Progress(string, int) {}

func (s *staleCoordinator) Delayed(string) {}

// useStaleCoordinator replaces the placer by one that prefers the given runners.
func (b *harness) useStaleCoordinator(ids ...string) {
	s := &staleCoordinator{stalePlacer: stalePlacer{Placer: b.Placer}}
	for _, id := range ids {
		h, _ := b.endpointTable.get(id)
		s.endpoints = append(s.endpoints, h.Endpoint)
	}
	b.Placer = s
}

// Guards against a generation at a leaving runner that a coordinator without that news chose.
func TestPlacementAtLeavingEndpointIsWithdrawn(t *testing.T) {
	b := newHarness(t)
	got := countSends(b)
	b.useStaleCoordinator("e0", "e1", "e2")
	for _, id := range []string{"e0", "e1"} {
		h, _ := b.endpointTable.get(id)
		b.ObserveNotice(h.Endpoint, port.EndpointNotice{Leaving: true, Call: port.CallRequest, Status: 200})
	}
	if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if sent := got(); sent["e2"] != 1 || len(sent) != 1 {
		t.Errorf("requests sent: %v", sent)
	}
}

// Guards against a generation at a runner that the registry or another daemon lists as leaving, chosen by a coordinator that has not received that.
func TestPlacementAtEndpointReportedLeavingIsWithdrawn(t *testing.T) {
	b := newHarness(t)
	got := countSends(b)
	b.useStaleCoordinator("e0", "e1", "e2")
	b.setLeaving("e0")
	b.setLeaving("e1")
	if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if sent := got(); sent["e2"] != 1 || len(sent) != 1 {
		t.Errorf("requests sent: %v", sent)
	}
}

// Guards against a call at an endpoint that is said to be leaving while the call waits for its turn there.
func TestCallIsNotSentToEndpointThatLeavesDuringItsWait(t *testing.T) {
	var b *harness
	var waited []string
	b, _ = newLimitedHarness(t, []float64{3, 3, 3}, func(asks []ratelimit.Candidate, _ time.Duration) ratelimit.Grant {
		waited = append(waited, asks[0].Endpoint)
		if len(waited) == 1 {
			b.setLeaving(asks[0].Endpoint)
		}
		return ratelimit.Grant{Endpoint: asks[0].Endpoint, Wait: time.Millisecond}
	})
	if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if len(waited) != 2 || !slices.Equal(b.backends.arrivals(), waited[1:]) {
		t.Errorf("waited for %v, sent to %v", waited, b.backends.arrivals())
	}
}

// Guards against naming every endpoint that ever left in each request that is placed again.
func TestLongDepartedEndpointsAreNotExcluded(t *testing.T) {
	b := newHarness(t)
	advance := b.useFakeClock()
	b.setLeaving("e0")
	advance(2 * maxCoordinatorDelay)
	b.setLeaving("e1")
	if got := b.ineligibleIDs("engines"); !slices.Equal(got, []string{"e1"}) {
		t.Errorf("excluded %v", got)
	}
}

// Guards against refusing a placement by a newer entry or incarnation than this daemon has.
func TestPlacementByNewerStateIsKept(t *testing.T) {
	for name, renew := range map[string]func(*port.Endpoint){
		"entry":       func(e *port.Endpoint) { e.Revision += 5 },
		"incarnation": func(e *port.Endpoint) { e.Incarnation++ },
	} {
		b := newHarness(t)
		got := countSends(b)
		b.useStaleCoordinator("e0")
		renew(&b.Placer.(*staleCoordinator).endpoints[0])
		b.setLeaving("e0")
		if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal != nil || got()["e0"] != 1 {
			t.Errorf("%s: %v, requests sent: %v", name, refusal, got())
		}
	}
}

// Guards against moving a run to a runner that announced its leaving to this daemon.
func TestRunIsNotMovedToLeavingEndpoint(t *testing.T) {
	b := newHarness(t)
	b.useStaleCoordinator("e0", "e1", "e2")
	b.backends.copyHandler = func(_, _ port.Endpoint, _ bool) (port.Copy, error) { return port.Copy{Handle: "h"}, nil }
	pipes := make(chan *io.PipeWriter, 3)
	b.setHandlers("e", func(*port.Exchange) (*port.Answer, error) {
		reader, writer := io.Pipe()
		pipes <- writer
		return streamed(reader)
	})
	got, done := &fakeCaller{}, make(chan *Refusal, 1)
	go func() { done <- b.send(t, "/stream/", got) }()
	firstPipe := <-pipes
	_, _ = io.WriteString(firstPipe, event(1))
	eventually.True(t, "the event is relayed", func() bool { return strings.Contains(got.text(), event(1)) })
	for _, id := range []string{"e1", "e0"} {
		h, _ := b.endpointTable.get(id)
		b.ObserveNotice(h.Endpoint, port.EndpointNotice{Leaving: true, Call: port.CallRequest, Status: 200})
	}
	nextPipe := <-pipes
	_, _ = io.WriteString(nextPipe, event(2))
	nextPipe.Close()
	firstPipe.CloseWithError(errReset)
	if refusal := <-done; refusal != nil || got.text() != events(1, 2) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	if sent := b.backends.arrivals(); !slices.Equal(sent, []string{"e0", "e2"}) {
		t.Errorf("sent to %v", sent)
	}
}
