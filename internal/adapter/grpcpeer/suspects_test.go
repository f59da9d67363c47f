package grpcpeer

import (
	"math"
	"reflect"
	"testing"
	"time"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/faultproxy"
)

// Guards against a field of a suspected part that does not reach other daemons.
func TestPartSuspectsOnTheWire(t *testing.T) {
	now := time.Now()
	sent := quarantine.PartSuspect{
		Part: quarantine.Part{Fingerprint: quarantine.Fingerprint{1, 2}, ID: math.MaxUint64}, Organisation: "o", Cleared: 3, Completed: true,
		Crashes:    []quarantine.PartCrash{{ID: 1, Request: 2, Ran: time.Second, At: now.Add(-time.Minute)}, {ID: math.MaxUint64, At: now}},
		Companions: []uint64{5, math.MaxUint64}, Renewals: 7, UpdatedAt: now.Add(-time.Second),
	}
	received := partSuspectsFromWire(time.Now(), partSuspectsToWire([]quarantine.PartSuspect{sent}))
	if len(received) != 1 {
		t.Fatalf("%d received", len(received))
	}
	got := received[0]
	for i := range got.Crashes {
		if skew := sent.Crashes[i].At.Sub(got.Crashes[i].At).Abs(); skew > time.Second {
			t.Errorf("crash %d is off by %v", i, skew)
		}
		got.Crashes[i].At = sent.Crashes[i].At
	}
	if skew := sent.UpdatedAt.Sub(got.UpdatedAt).Abs(); skew > time.Second {
		t.Errorf("the age is off by %v", skew)
	}
	got.UpdatedAt = sent.UpdatedAt
	if !reflect.DeepEqual(got, sent) {
		t.Errorf("received %+v, sent %+v", got, sent)
	}
}

// Guards against a malformed message of a peer.
func TestInvalidPartSuspectsAreSkipped(t *testing.T) {
	old := int64(quarantine.SuspectRetention / time.Millisecond)
	got := partSuspectsFromWire(time.Now(), []*peerv1.PartSuspect{
		{Fingerprint: []byte{1}}, {Fingerprint: make([]byte, 16), HeardAgeMillis: old}, nil,
	})
	if len(got) > 0 {
		t.Fatalf("accepted %+v", got)
	}
}

// Guards against crashes that are dated by how long the message about them waited, for a daemon that was stopped or behind a stalled link.
func TestAgesOfCrashesIncludeTheWaitOfTheirMessage(t *testing.T) {
	const (
		wait    = time.Second
		maxSkew = 200 * time.Millisecond
	)
	k := startKeeper(t)
	k.node.SetComplete()
	proxy, err := faultproxy.New("127.0.0.1:0", k.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	v := startView(t, "r1", ViewOptions{Keepers: []string{proxy.Address()}})
	suspectOf := func(n byte) quarantine.PartSuspect {
		now := time.Now()
		return quarantine.PartSuspect{
			Part: quarantine.Part{Fingerprint: quarantine.Fingerprint{n}, ID: 1}, UpdatedAt: now,
			Crashes: []quarantine.PartCrash{{ID: 1, At: now}},
		}
	}
	for n, link := range []struct {
		name     string
		put      func(quarantine.PartSuspect) bool
		received *spread.Table[quarantine.PartSuspect]
	}{
		{"from the keeper", k.node.PutPartSuspect, v.PartSuspects()},
		{"to the keeper", v.PutPartSuspect, k.node.PartSuspects()},
	} {
		isReceived := func(s quarantine.PartSuspect) bool {
			_, held := link.received.Get(quarantine.PartOrder{}.Key(s))
			return held
		}
		prompt := suspectOf(byte(2*n + 1))
		link.put(prompt)
		eventually.True(t, "a message that didn't wait, "+link.name, func() bool { return isReceived(prompt) })
		proxy.Set(faultproxy.Faults{HoldUpstream: true, HoldDownstream: true})
		sent := suspectOf(byte(2*n + 2))
		link.put(sent)
		eventually.True(t, "the wait is over", func() bool { return time.Since(sent.UpdatedAt) > wait })
		proxy.Set(faultproxy.Faults{})
		eventually.True(t, "the message that waited, "+link.name, func() bool { return isReceived(sent) })
		got, _ := link.received.Get(quarantine.PartOrder{}.Key(sent))
		if skew := got.Crashes[0].At.Sub(sent.Crashes[0].At).Abs(); skew > maxSkew {
			t.Errorf("%s: the crash is dated %v late", link.name, skew)
		}
		if skew := got.UpdatedAt.Sub(sent.UpdatedAt).Abs(); skew > maxSkew {
			t.Errorf("%s: the update is dated %v late", link.name, skew)
		}
	}
}
