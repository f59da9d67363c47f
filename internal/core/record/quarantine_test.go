package record

import (
	"bytes"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func quarantineRecord(body []byte) port.Record {
	return port.Record{Kind: port.ObjectRequestQuarantine, Name: QuarantineName, Version: 1, Body: body}
}

// Guards against losing quarantined requests when they are encoded as a record,
// converted and decoded.
func TestQuarantineRoundTrip(t *testing.T) {
	var quarantined []quarantine.Suspect
	for n := range MaxQuarantinedRequests + 10 {
		quarantined = append(quarantined, quarantine.Suspect{
			Fingerprint: quarantine.Fingerprint{byte(n >> 8), byte(n)}, Crashes: []quarantine.CrashID{3, 1 << 63, ^quarantine.CrashID(0)},
		})
	}
	body := QuarantineDocument(quarantined)
	d, err := Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	old, err := d.Convert(SchemaV1)
	if err != nil {
		t.Fatal(err)
	}
	for _, raw := range [][]byte{body, d.Marshal(), old.Marshal()} {
		r := quarantineRecord(raw)
		held, released, err := DecodeQuarantine(r)
		if err != nil || len(held) != MaxQuarantinedRequests || len(released) != 0 {
			t.Fatalf("%d held, %d released, %v", len(held), len(released), err)
		}
		if !QuarantineUpToDate(r, quarantined) || QuarantineUpToDate(r, quarantined[1:]) {
			t.Fatal("HoldsQuarantine is false for the same requests or true for different ones")
		}
	}
}

// Guards against a release by an operator that is ignored, or is left in the record
// after it has taken effect.
func TestReleaseIsDecodedFromRecord(t *testing.T) {
	quarantined := []quarantine.Suspect{{Fingerprint: quarantine.Fingerprint{1}, Crashes: []quarantine.CrashID{1, 2, 3}}}
	r := quarantineRecord(bytes.Replace(QuarantineDocument(quarantined), []byte(`"crashes"`), []byte(`"released":true,"crashes"`), 1))
	held, released, err := DecodeQuarantine(r)
	if err != nil || len(held) != 0 || len(released) != 1 || released[0].Fingerprint != quarantined[0].Fingerprint {
		t.Fatalf("held %v, released %v, %v", held, released, err)
	}
	if QuarantineUpToDate(r, nil) {
		t.Fatal("a record with a release counts as up to date")
	}
	if _, _, err := DecodeQuarantine(quarantineRecord([]byte(`{"schema_version":2,"kind":"request-quarantines","name":"main","spec":{"requests":[{"fingerprint":"zz"}]}}`))); err == nil {
		t.Fatal("an invalid fingerprint was accepted")
	}
}
