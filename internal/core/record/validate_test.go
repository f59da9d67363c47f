package record

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func TestParseReportsInvalidField(t *testing.T) {
	routing := func(spec string) string {
		return `{"schema_version":2,"kind":"routing-configurations","name":"r","spec":` + spec + `}`
	}
	cases := []struct{ name, in, field string }{
		{"not JSON", `{`, "(document)"},
		{"null", `null`, "(document)"},
		{"two values", routing(`{}`) + `{}`, "(document)"},
		{"too large", routing(`{"x":"` + strings.Repeat("x", MaxDocumentBytes) + `"}`), "(document)"},
		{"no schema version", `{"kind":"routing-configurations","name":"r","spec":{}}`, "schema_version"},
		{"schema version as a string", `{"schema_version":"2","kind":"routing-configurations","name":"r","spec":{}}`, "schema_version"},
		{"schema version zero", `{"schema_version":0,"kind":"routing-configurations","name":"r","spec":{}}`, "schema_version"},
		{"unknown kind", `{"schema_version":2,"kind":"x","name":"r","spec":{}}`, "kind"},
		{"bad name", `{"schema_version":2,"kind":"routing-configurations","name":"../r","spec":{}}`, "name"},
		{"no spec", `{"schema_version":2,"kind":"routing-configurations","name":"r"}`, "spec"},
		{"wrong type", routing(`{"weights":{"stall":"much"}}`), "spec.weights.stall"},
		{"number for a name", routing(`{"models":[5]}`), "spec.models[0]"},
		{"below the bound", routing(`{"weights":{"token_gap":-1}}`), "spec.weights.token_gap"},
		{"above the bound", routing(`{"limits":{"overflow_probability":1.5}}`), "spec.limits.overflow_probability"},
		{"not whole", routing(`{"limits":{"batch":1.5}}`), "spec.limits.batch"},
		{"huge", routing(`{"limits":{"batch":1e400}}`), "spec.limits.batch"},
		{"v1 field", `{"schema_version":1,"kind":"routing-configurations","name":"r","spec":{"queue_limit":-1}}`, "spec.queue_limit"},
		{"key hash", `{"schema_version":1,"kind":"organisation-priorities","name":"o","spec":{"key_sha256":["zz"]}}`, "spec.key_sha256[0]"},
		{"key hash in v2", `{"schema_version":2,"kind":"organisation-priorities","name":"o","spec":{"keys":[{"sha256":"zz"}]}}`, "spec.keys[0].sha256"},
		{"deployment without a model", `{"schema_version":2,"kind":"model-deployments","name":"m","spec":{"revision":{"version":"1"}}}`, "spec.model"},
		{"deployment without a version", `{"schema_version":2,"kind":"model-deployments","name":"m","spec":{"model":"m"}}`, "spec.revision.version"},
		{"carried of the same version", `{"schema_version":2,"kind":"routing-configurations","name":"r","spec":{},"carried":{"schema_version":2,"spec":{}}}`, "carried.schema_version"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.in))
			var wrong *FieldError
			if !errors.As(err, &wrong) || wrong.Field != c.field || !errors.Is(err, ErrInvalid) {
				t.Fatalf("got %v, want an error about %s", err, c.field)
			}
		})
	}
}

func TestNewerSchemaIsRefused(t *testing.T) {
	_, err := Parse([]byte(`{"schema_version":3,"kind":"routing-configurations","name":"r","spec":{}}`))
	if !errors.Is(err, ErrNewerSchema) {
		t.Fatalf("got %v", err)
	}
	if _, err := DecodeEnvelope(json.RawMessage(`{"format":2,"document":{}}`)); !errors.Is(err, ErrNewerFormat) {
		t.Fatalf("got %v", err)
	}
}

func TestPolicyAndKeys(t *testing.T) {
	body := func(raw string) json.RawMessage { return json.RawMessage(raw) }
	rs := []port.Record{
		{Kind: port.ObjectRoutingConfiguration, Name: "default", Version: 3, Body: body(`{"schema_version":1,"kind":"routing-configurations","name":"default","spec":{"weights":{"gap":7},"hold_limit_ms":250}}`)},
		{Kind: port.ObjectRoutingConfiguration, Name: "newer", Version: 9, Body: body(`{"schema_version":2,"kind":"routing-configurations","name":"newer","spec":{"models":["a","b"],"weights":{"stall":2}}}`)},
		{Kind: port.ObjectRoutingConfiguration, Name: "older", Version: 8, Body: body(`{"schema_version":1,"kind":"routing-configurations","name":"older","spec":{"model":"a","weights":{"overflow":5}}}`)},
		{Kind: port.ObjectRoutingConfiguration, Name: "gone", Version: 12, Deleted: true},
		{Kind: port.ObjectRoutingConfiguration, Name: "unreadable", Version: 13, Body: body(`{"schema_version":99}`)},
		{Kind: port.ObjectOrganisationPriority, Name: "o", Version: 4, Body: body(`{"schema_version":2,"kind":"organisation-priorities","name":"o","spec":{"organisation":"kegs","priority":3,"share":2,"limits":{"concurrency":4},"keys":[{"sha256":"` + strings.ToUpper(hashA) + `"}]}}`)},
	}
	p := Policy(rs)
	if p.Version != 9 {
		t.Errorf("version %d", p.Version)
	}
	if w := p.Weights[""]; w.Gap != 7 || w.Overflow != defaultWeight || w.HoldLimit != 250*time.Millisecond || w.BatchLimit != defaultBatch {
		t.Errorf("default weights %+v", w)
	}
	if p.Weights["a"].Overflow != 2 || p.Weights["b"].Overflow != 2 {
		t.Errorf("the newer record doesn't take precedence: %+v", p.Weights)
	}
	if o := p.Organisations["kegs"]; o.Priority != 3 || o.Share != 2 || o.Concurrency != 4 {
		t.Errorf("organisation %+v", o)
	}
	if o := p.Organisations[""]; o.Share != defaultShare {
		t.Errorf("default organisation %+v", o)
	}
	keys := NewKeys(rs)
	if name, ok := keys.Organisation(hashA); !ok || name != "kegs" {
		t.Errorf("the key's organisation is %q, found %v", name, ok)
	}
	if _, ok := keys.Organisation(strings.Repeat("0", 64)); ok {
		t.Error("an unknown key has an organisation")
	}
}

func TestAuditTrailIsBounded(t *testing.T) {
	e := &Envelope{}
	for i := range MaxAuditEntries + 5 {
		e = e.Next(json.RawMessage(`{}`), &AuditEntry{WriteID: string(rune('A' + i)), BasedOn: uint64(i)})
	}
	if len(e.Audit) != MaxAuditEntries {
		t.Fatalf("the trail has %d entries, want MaxAuditEntries", len(e.Audit))
	}
	if e.HasWrite("A") || !e.HasWrite(e.WriteID) || !e.HasWrite(string(rune('A'+5))) {
		t.Error("HoldsWrite must be true exactly for the writes in the trail")
	}
	if e.HasWriteBasedOn(4) || !e.HasWriteBasedOn(5) {
		t.Error("KnowsSuccessorOf must be true exactly for the versions that writes in the trail are based on")
	}
}

// Any input, from an operator or a damaged platform, must give an error or a document
// that can be converted and converted back without loss, and never a panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"schema_version":1,"kind":"routing-configurations","name":"r","spec":{"model":"m","weights":{"gap":1}}}`))
	f.Add([]byte(`{"schema_version":2,"kind":"organisation-priorities","name":"o","spec":{"keys":[{"sha256":"` + hashA + `","name":"x"}],"limits":null}}`))
	f.Add([]byte(`{"schema_version":2,"kind":"model-deployments","name":"m","spec":{"model":"m","revision":{"version":"1"}},"carried":{"schema_version":1,"spec":{"x":1}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		d, err := Parse(raw)
		if err != nil {
			return
		}
		other, err := d.Convert(SchemaV1 + SchemaV2 - d.SchemaVersion)
		if err != nil {
			t.Fatal(err)
		}
		again, err := other.Convert(d.SchemaVersion)
		if err != nil {
			t.Fatal(err)
		}
		// A "carried" in the input may contain fields that a conversion wouldn't put
		// there, so only documents without it must stay the same.
		if d.carried == nil && !again.Equal(d) {
			t.Fatalf("the conversions changed the document:\n%s\n%s\n%s", d.Marshal(), other.Marshal(), again.Marshal())
		}
	})
}

func FuzzEnvelope(f *testing.F) {
	f.Add([]byte(`{"format":1,"document":{"a":1},"write_id":"w","audit":[]}`))
	f.Add([]byte(`{"format":1,"deleted":true}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e, err := DecodeEnvelope(raw)
		if err != nil {
			return
		}
		next := e.Next(e.Document, &AuditEntry{WriteID: "w"})
		if _, err := DecodeEnvelope(next.Encode()); err != nil {
			t.Fatalf("%v in %s", err, next.Encode())
		}
	})
}
