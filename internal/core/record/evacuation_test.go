package record

import (
	"encoding/json"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against losing the reason and the author of an evacuation, and against
// ignoring an evacuation whose record can't be decoded.
func TestEvacuationsFromRecords(t *testing.T) {
	body := json.RawMessage(`{"schema_version":2,"kind":"domain-evacuations","name":"a","spec":{"reason":"power work","requested_by":"anjali","since":"2026-12-03T10:00:00Z"}}`)
	d, err := Parse(body)
	if err != nil {
		t.Fatal(err)
	}
	old, err := d.Convert(SchemaV1)
	if err != nil {
		t.Fatal(err)
	}
	for _, raw := range []json.RawMessage{body, old.Marshal()} {
		all := Evacuations([]port.Record{{Kind: port.ObjectDomainEvacuation, Name: "a", Version: 3, Body: raw}}).All()
		if len(all) != 1 || all[0].Reason != "power work" || all[0].RequestedBy != "anjali" || all[0].Since == nil || all[0].Version != 3 {
			t.Fatalf("evacuations in force: %+v, want that of the record with all its fields", all)
		}
	}
	set := Evacuations([]port.Record{
		{Kind: port.ObjectDomainEvacuation, Name: "newer", Body: json.RawMessage(`{"schema_version":9}`)},
		{Kind: port.ObjectPlatformEvacuation, Name: "platform", Body: EmptyDocument()},
		{Kind: port.ObjectDomainEvacuation, Name: "ended", Deleted: true},
		{Kind: port.ObjectPlatformEvacuation, Name: "ended", Deleted: true},
		{Kind: port.ObjectOrganisationPriority, Name: "other", Body: body},
	})
	if !set.Has("newer") || !set.Has("platform") || set.Has("ended") || set.Has("other") {
		t.Fatalf("evacuations in force: %+v, want newer and platform", set.All())
	}
}

// Guards against evacuations without a reason or with an invalid time.
func TestEvacuationNeedsAReason(t *testing.T) {
	for _, spec := range []string{`{}`, `{"reason":""}`, `{"reason":"x","since":"yesterday"}`} {
		if _, err := Parse([]byte(`{"schema_version":2,"kind":"domain-evacuations","name":"a","spec":` + spec + `}`)); err == nil {
			t.Errorf("the invalid spec %s was accepted", spec)
		}
	}
}
