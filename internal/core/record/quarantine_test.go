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

// Guards against losing quarantined requests on the way through the record.
func TestQuarantineOutlivesItsRecord(t *testing.T) {
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
		held, released, err := Quarantined(r)
		if err != nil || len(held) != MaxQuarantinedRequests || len(released) != 0 {
			t.Fatalf("%d held, %d released, %v", len(held), len(released), err)
		}
		if !HoldsQuarantine(r, quarantined) || HoldsQuarantine(r, quarantined[1:]) {
			t.Fatal("a record can't be told from one that is out of date")
		}
	}
}

// Guards against a release that is overwritten before it takes effect.
func TestReleaseIsReadFromTheRecord(t *testing.T) {
	quarantined := []quarantine.Suspect{{Fingerprint: quarantine.Fingerprint{1}, Crashes: []quarantine.CrashID{1, 2, 3}}}
	r := quarantineRecord(bytes.Replace(QuarantineDocument(quarantined), []byte(`"crashes"`), []byte(`"released":true,"crashes"`), 1))
	held, released, err := Quarantined(r)
	if err != nil || len(held) != 0 || len(released) != 1 || released[0].Fingerprint != quarantined[0].Fingerprint {
		t.Fatalf("held %v, released %v, %v", held, released, err)
	}
	if HoldsQuarantine(r, nil) {
		t.Fatal("the release would stay in the record")
	}
	if _, _, err := Quarantined(quarantineRecord([]byte(`{"schema_version":2,"kind":"request-quarantines","name":"main","spec":{"requests":[{"fingerprint":"zz"}]}}`))); err == nil {
		t.Fatal("a wrong fingerprint is read")
	}
}
