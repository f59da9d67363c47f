package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// crashes returns the ids of the endpoints that were recorded as crashed.
func (b *harness) crashes() (ids []string) {
	for _, d := range b.sink.All() {
		if d.Verdict == verdictCrash {
			ids = append(ids, d.SubjectID)
		}
	}
	return ids
}

// Guards against counting the endpoints of a pool as crashed when a cut of all paths to it ends after they were probed.
func TestEndOfCutIsNoCrash(t *testing.T) {
	for _, lag := range []time.Duration{0, 300 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t)
			b.setPresence(port.PresenceSilent)
			b.losePool("plain")
			s0, _ := b.endpointTable.get("s0")
			s1, _ := b.endpointTable.get("s1")
			b.crashWatch.End(b.crashWatch.Begin(s0.Endpoint, &quarantine.Request{Fingerprint: fingerprintOf("/once/x")}, nil), true)
			time.Sleep(599 * time.Millisecond)
			// The path to one endpoint is found right before the last probe of the other.
			b.setPresenceOf("s0", port.PresenceSilent)
			b.ObservePath(s1.Endpoint, port.PathReached, nil)
			time.Sleep(2*time.Millisecond + lag)
			b.setPresence(port.PresenceServing)
			time.Sleep(time.Minute)
			if ids := b.crashes(); len(ids) > 0 || b.crashWatch.IsDown(s0.Endpoint) {
				t.Errorf("%v later: crashes of %v, down: %v", lag, ids, b.crashWatch.IsDown(s0.Endpoint))
			}
		})
	}
}

// Guards against confirming ends while no other endpoint is reached, though no failure was observed before.
func TestEndIsNotConfirmedWithoutAnotherEndpoint(t *testing.T) {
	for _, peers := range []int{0, 2} {
		synctest.Test(t, func(t *testing.T) {
			b, net := newRelayHarness(t, peers)
			s0, _ := b.endpointTable.get("s0")
			s1, _ := b.endpointTable.get("s1")
			for _, d := range append([]*harness{b}, net.daemons()...) {
				d.ObservePath(s1.Endpoint, port.PathReached, nil)
				d.setPresence(port.PresenceGone)
			}
			time.Sleep(2 * pathSettleTime)
			if b.confirmEnd(s0.Endpoint) {
				t.Errorf("%d peers: the end is confirmed", peers)
			}
		})
	}
}

// Guards against a peer that confirms the end of an endpoint as the last answer of another came just before the cut.
func TestPeerConfirmsOnlyWhatItsPathsShow(t *testing.T) {
	for name, c := range map[string]struct {
		others         port.Presence
		restoredBefore time.Duration
		reached, known bool
	}{
		"others answer":         {port.PresenceServing, time.Minute, false, true},
		"others don't":          {port.PresenceGone, time.Minute, false, false},
		"the pool is just back": {port.PresenceServing, time.Millisecond, false, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			b := newHarness(t)
			b.losePool("plain")
			s1, _ := b.endpointTable.get("s1")
			b.ObservePath(s1.Endpoint, port.PathReached, nil)
			time.Sleep(c.restoredBefore)
			b.ObservePath(s1.Endpoint, port.PathReached, nil)
			b.setPresence(c.others)
			b.backends.presence["s0"] = port.PresenceGone
			if reached, known := b.CheckEndpoint("s0", 1); reached != c.reached || known != c.known {
				t.Errorf("%s: reached %v, known %v", name, reached, known)
			}
		})
	}
}

// Guards against a crash beside a cut that is never counted, as the paths were in doubt when the endpoint was probed first.
func TestCrashBesideACutIsConfirmedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.setPresence(port.PresenceSilent)
		b.losePool("plain")
		s0, _ := b.endpointTable.get("s0")
		s1, _ := b.endpointTable.get("s1")
		b.crashWatch.End(b.crashWatch.Begin(s0.Endpoint, &quarantine.Request{Fingerprint: fingerprintOf("/once/fatal")}, nil), true)
		time.Sleep(2 * time.Second)
		b.setPresenceOf("s0", port.PresenceSilent)
		b.ObservePath(s1.Endpoint, port.PathReached, nil)
		time.Sleep(3 * time.Second)
		if ids := b.crashes(); len(ids) != 1 {
			t.Errorf("crashes of %v", ids)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a crash that isn't counted because a cut of all paths begins before its last probe.
func TestCrashBeforeACutIsConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.setPresenceOf("s0", port.PresenceSilent)
		b.backends.onCheck = func(e port.Endpoint) {
			if e.ID == "s0" {
				b.ObservePath(e, port.PathBroken, nil)
			}
		}
		s0, _ := b.endpointTable.get("s0")
		s1, _ := b.endpointTable.get("s1")
		b.crashWatch.End(b.crashWatch.Begin(s0.Endpoint, &quarantine.Request{Fingerprint: fingerprintOf("/once/fatal")}, nil), true)
		time.Sleep(80 * time.Millisecond)
		b.ObservePath(s1.Endpoint, port.PathReached, nil)
		time.Sleep(500 * time.Millisecond)
		b.setPresence(port.PresenceSilent)
		b.losePool("plain")
		time.Sleep(pathSettleTime)
		if ids := b.crashes(); len(ids) != 1 {
			t.Errorf("crashes of %v", ids)
		}
		time.Sleep(time.Minute)
	})
}

// Guards against holding a failure against the only endpoint of a pool while nothing else is reached.
func TestOnlyEndpointFailsOnlyIfAnotherPoolIsReached(t *testing.T) {
	for other, want := range map[port.Presence]bool{port.PresenceServing: true, port.PresenceUnknown: false, port.PresenceGone: false} {
		b := newHarness(t)
		b.setLeaving("e1")
		b.setLeaving("e2")
		b.setPresence(other)
		b.backends.presence["e0"] = port.PresenceGone
		e0, _ := b.endpointTable.get("e0")
		if got := b.reachesOthers(e0.Endpoint); got != want {
			t.Errorf("the other pool is %d: it counts as failed: %v", other, got)
		}
		if got := b.confirmEnd(e0.Endpoint); got != want {
			t.Errorf("the other pool is %d: its end is confirmed: %v", other, got)
		}
	}
}

// Guards against crashes that are not counted where the others have asked for a pause, and the first endpoint of another pool has failed.
func TestOnlyEndpointThatCanBeAskedHasEnded(t *testing.T) {
	b := newHarness(t)
	for _, id := range []string{"e1", "e2"} {
		e, _ := b.endpointTable.get(id)
		b.pause(e.Endpoint, time.Minute)
	}
	b.setPresenceOf("s0", port.PresenceGone)
	b.backends.presence["e0"] = port.PresenceGone
	e0, _ := b.endpointTable.get("e0")
	if !b.confirmEnd(e0.Endpoint) {
		t.Error("its end is not confirmed although another pool is reached")
	}
}

// Guards against a peer that doesn't pass on that another start answers, as its own paths are in doubt.
func TestPeerKnowsThatAnotherStartAnswers(t *testing.T) {
	b := newHarness(t)
	b.setPresence(port.PresenceReplaced)
	b.losePool("plain")
	if reached, known := b.CheckEndpoint("s0", 1); reached || !known {
		t.Errorf("reached %v, known %v", reached, known)
	}
}
