package grpcpeer

import (
	"math"
	"reflect"
	"testing"
	"time"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
)

// Guards against a field of a suspected part that does not reach other daemons.
func TestPartSuspectsOnTheWire(t *testing.T) {
	now := time.Now()
	sent := quarantine.PartSuspect{
		Part: quarantine.Part{Fingerprint: quarantine.Fingerprint{1, 2}, ID: math.MaxUint64}, Organisation: "o", Cleared: 3, Completed: true,
		Crashes:    []quarantine.PartCrash{{ID: 1, Request: 2, Ran: time.Second, At: now.Add(-time.Minute)}, {ID: math.MaxUint64, At: now}},
		Companions: []uint64{5, math.MaxUint64}, Renewals: 7, UpdatedAt: now.Add(-time.Second),
	}
	received := partSuspectsFromWire(partSuspectsToWire([]quarantine.PartSuspect{sent}))
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
	got := partSuspectsFromWire([]*peerv1.PartSuspect{
		{Fingerprint: []byte{1}}, {Fingerprint: make([]byte, 16), HeardAgeMillis: old}, nil,
	})
	if len(got) > 0 {
		t.Fatalf("accepted %+v", got)
	}
}
