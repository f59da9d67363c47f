package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against requests to an endpoint whose address was taken, and that answers there again while it is leaving, by its own word or the registry's.
func TestDisplacedEndpointThatLeavesIsNotUsedAgain(t *testing.T) {
	for name, leave := range map[string]func(*harness, port.Endpoint){
		"it stays":     nil,
		"it says so":   func(b *harness, e port.Endpoint) { b.ObserveNotice(e, port.EndpointNotice{Leaving: true}) },
		"its entry":    func(b *harness, e port.Endpoint) { b.setLeaving(e.ID) },
		"it is paused": func(b *harness, e port.Endpoint) { b.pause(e, time.Minute) },
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t)
			b.setHandlers("s", reply(200, "fine"))
			b.setHandlers("e", reply(200, "fine"))
			b.setPresenceOf("s0", port.PresenceReplaced)
			b.backends.presence["e0"] = port.PresenceReplaced
			paths := map[string]string{"s0": "/once/x", "e0": "/stream/x"}
			for id := range paths {
				e, _ := b.endpointTable.get(id)
				b.markDisplaced(e.Endpoint)
			}
			tick := func() {
				time.Sleep(displacedCheckInterval)
				b.checkDisplaced()
				synctest.Wait()
			}
			tick()
			for id, path := range paths {
				if n := b.sendMany(t, 30, path, id); n > 0 {
					t.Errorf("%s: %d requests reached %s while another answers there", name, n, id)
				}
				if e, _ := b.endpointTable.get(id); leave != nil {
					leave(b, e.Endpoint)
				}
			}
			b.setPresenceOf("", port.PresenceServing)
			tick()
			tick()
			for id, path := range paths {
				if n := b.sendMany(t, 30, path, id); (n > 0) != (leave == nil) {
					t.Errorf("%s: %d requests reached %s", name, n, id)
				}
			}
		})
	}
}

// Guards against a later start that isn't used because the address of the former one was taken.
func TestLaterStartOfDisplacedEndpointIsUsed(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", reply(200, "fine"))
	b.setHandlers("e", reply(200, "fine"))
	for id, path := range map[string]string{"s0": "/once/x", "e0": "/stream/x"} {
		e, _ := b.endpointTable.get(id)
		b.markDisplaced(e.Endpoint)
		b.restart(id)
		b.awaitUse(t, id)
		if b.sendMany(t, 30, path, id) == 0 {
			t.Errorf("%s isn't used", id)
		}
	}
}
