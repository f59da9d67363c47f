package record

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func quarantineRecord(body []byte) port.Record {
	return port.Record{Kind: port.ObjectRequestQuarantine, Name: QuarantineName, Version: 1, Body: body}
}

// Guards against losing quarantined requests when they are encoded as a record,
// converted and decoded.
func TestQuarantineRoundTrip(t *testing.T) {
	var quarantined Quarantined
	for n := range MaxQuarantinedRequests + 10 {
		f := quarantine.Fingerprint{byte(n >> 8), byte(n)}
		quarantined.Requests = append(quarantined.Requests, quarantine.Suspect{
			Fingerprint: f, Crashes: []quarantine.CrashID{3, 1 << 63, ^quarantine.CrashID(0)},
		})
		quarantined.Parts = append(quarantined.Parts, quarantine.PartSuspect{
			Part: quarantine.Part{Fingerprint: f, ID: 1<<63 + uint64(n)}, Organisation: "o", Companions: []uint64{1, 1 << 63},
			Crashes: []quarantine.PartCrash{
				{ID: 3, Request: 7, Ran: time.Second, At: time.Unix(1000, 0)},
				{ID: 1 << 63, Request: 1 << 63, Ran: 50 * time.Millisecond, At: time.Unix(1002, 0)},
			},
		})
	}
	withoutFirst, otherCrash := quarantined, quarantined
	withoutFirst.Requests = quarantined.Requests[1:]
	otherCrash.Parts = slices.Clone(quarantined.Parts)
	otherCrash.Parts[0].Crashes = quarantined.Parts[0].Crashes[:1]
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
		if err != nil || len(held.Requests) != MaxQuarantinedRequests || len(held.Parts) != MaxQuarantinedParts || !released.IsEmpty() {
			t.Fatalf("%d requests and %d parts held, released %v, %v", len(held.Requests), len(held.Parts), released, err)
		}
		if !QuarantineUpToDate(r, quarantined) || QuarantineUpToDate(r, withoutFirst) || QuarantineUpToDate(r, otherCrash) {
			t.Fatal("QuarantineUpToDate is false for the same requests and parts or true for different ones")
		}
		crashes := held.Parts[0].Crashes
		if between := crashes[1].At.Sub(crashes[0].At); between != 2*time.Second || crashes[0].Ran != time.Second {
			t.Fatalf("crashes %v apart, the first attempt had run for %v", between, crashes[0].Ran)
		}
	}
}

// Guards against a release by an operator that is ignored, or is left in the record
// after it has taken effect.
func TestReleaseIsDecodedFromRecord(t *testing.T) {
	quarantined := Quarantined{
		Requests: []quarantine.Suspect{{Fingerprint: quarantine.Fingerprint{1}, Crashes: []quarantine.CrashID{1, 2, 3}}},
		Parts: []quarantine.PartSuspect{{
			Part:    quarantine.Part{Fingerprint: quarantine.Fingerprint{2}, ID: 0xdead},
			Crashes: []quarantine.PartCrash{{ID: 1}, {ID: 2}, {ID: 3}},
		}},
	}
	r := quarantineRecord(bytes.ReplaceAll(QuarantineDocument(quarantined), []byte(`"crashes"`), []byte(`"released":true,"crashes"`)))
	held, released, err := DecodeQuarantine(r)
	if err != nil || !held.IsEmpty() || len(released.Requests) != 1 || released.Requests[0].Fingerprint != quarantined.Requests[0].Fingerprint ||
		len(released.Parts) != 1 || released.Parts[0].Part != quarantined.Parts[0].Part {
		t.Fatalf("held %v, released %v, %v", held, released, err)
	}
	if QuarantineUpToDate(r, Quarantined{}) {
		t.Fatal("a record with a release counts as up to date")
	}
	if _, _, err := DecodeQuarantine(quarantineRecord([]byte(`{"schema_version":2,"kind":"request-quarantines","name":"main","spec":{"requests":[{"fingerprint":"zz"}]}}`))); err == nil {
		t.Fatal("an invalid fingerprint was accepted")
	}
}
