package gateway

import (
	"slices"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
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

// Guards against requests to an endpoint that announced its leaving in an answer
// of any outcome, while the registry goes on listing it as live.
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

// Guards against keeping an endpoint out of service that has restarted under its
// id, also when a late answer of its former process arrives.
func TestRestartedEndpointIsUsedAgain(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", reply(200, "fine"))
	former, _ := b.endpointTable.get("s1")
	leaving := port.EndpointNotice{Leaving: true, Call: port.CallRequest, Status: 200}
	b.ObserveNotice(former.Endpoint, leaving)
	b.relist("s1", 2)
	b.ObserveNotice(former.Endpoint, leaving)
	if n := b.sendMany(t, 30, "/safe/x", "s1"); n == 0 {
		t.Fatal("the restarted endpoint gets no requests")
	}
}
