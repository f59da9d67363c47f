package record

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

const hashA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

// documentGenerator generates documents with any combination of known fields, and
// with unknown fields at all levels, some with names of the other schema.
type documentGenerator struct{ t *rapid.T }

func (d documentGenerator) maybe(o object, field string, draw func() any) {
	if rapid.Bool().Draw(d.t, "has "+field) {
		o[field] = draw()
	}
}

func (d documentGenerator) number() any {
	return json.Number(fmt.Sprint(rapid.IntRange(1, 50).Draw(d.t, "number")))
}
func (d documentGenerator) fraction() any { return json.Number("0.12500") }
func (d documentGenerator) word() any {
	return rapid.SampledFrom([]string{"a", "b", "c"}).Draw(d.t, "word")
}

func (d documentGenerator) words() any {
	var out []any
	for _, w := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 0, 3, rapid.ID[string]).Draw(d.t, "words") {
		out = append(out, w)
	}
	if out == nil {
		return []any{}
	}
	return out
}

func (d documentGenerator) hash() any {
	return strings.Repeat(rapid.SampledFrom([]string{"a", "b", "0"}).Draw(d.t, "digit"), 64)
}

func (d documentGenerator) unknown(o object, names ...string) {
	for _, n := range append(names, "note", "Model") {
		d.maybe(o, n, func() any {
			return rapid.SampledFrom([]any{
				json.Number("12345678901234567890.10"), "x", nil, true, []any{}, object{}, object{"deep": []any{object{"a": nil}}},
			}).Draw(d.t, "unknown value")
		})
	}
}

func (d documentGenerator) nested(o object, field string, fields []string, draw func() any) {
	d.maybe(o, field, func() any {
		if rapid.IntRange(0, 9).Draw(d.t, "null object") == 0 {
			return nil
		}
		inner := object{}
		for _, f := range fields {
			d.maybe(inner, f, draw)
		}
		d.unknown(inner)
		return inner
	})
}

func (d documentGenerator) document() *Document {
	kind := rapid.SampledFrom(Kinds()).Draw(d.t, "kind")
	version := rapid.IntRange(SchemaV1, LatestSchema).Draw(d.t, "schema version")
	spec := object{}
	switch fmt.Sprint(kind, version) {
	case "routing-configurations1":
		d.maybe(spec, "model", d.word)
		d.nested(spec, "weights", []string{"overflow", "gap", "prefill", "prefix"}, d.fraction)
		d.maybe(spec, "overflow_limit", d.fraction)
		for _, f := range []string{"batch_limit", "hold_limit_ms", "queue_limit"} {
			d.maybe(spec, f, d.number)
		}
		d.unknown(spec, "models", "limits")
	case "routing-configurations2":
		d.maybe(spec, "models", d.words)
		d.nested(spec, "weights", []string{"stall", "token_gap", "prefill", "prefix"}, d.fraction)
		d.nested(spec, "limits", []string{"batch", "hold_ms", "queue"}, d.number)
		d.unknown(spec, "model", "queue_limit")
	case "organisation-priorities1":
		d.maybe(spec, "organisation", d.word)
		d.maybe(spec, "priority", d.number)
		d.maybe(spec, "tokens_per_second", d.fraction)
		d.maybe(spec, "key_sha256", func() any { return []any{d.hash(), d.hash()} })
		d.unknown(spec, "keys", "limits")
	case "organisation-priorities2":
		d.maybe(spec, "organisation", d.word)
		d.nested(spec, "limits", []string{"tokens_per_second", "concurrency"}, d.number)
		d.maybe(spec, "keys", func() any {
			keys := []any{}
			for range rapid.IntRange(0, 3).Draw(d.t, "keys") {
				key := object{"sha256": d.hash()}
				d.maybe(key, "name", d.word)
				d.unknown(key)
				keys = append(keys, key)
			}
			return keys
		})
		d.unknown(spec, "key_sha256", "concurrency")
	case "domain-evacuations1", "domain-evacuations2":
		spec["reason"] = d.word()
		d.maybe(spec, "requested_by", d.word)
		d.unknown(spec)
	case "model-deployments1":
		spec["model"], spec["version"] = d.word(), d.word()
		d.maybe(spec, "replicas", d.number)
		d.maybe(spec, "adapters", d.words)
		d.maybe(spec, "role", d.word)
		d.unknown(spec, "revision", "placement", "rollout")
	case "model-deployments2":
		spec["model"] = d.word()
		revision := object{"version": d.word()}
		d.maybe(revision, "adapters", d.words)
		d.unknown(revision)
		spec["revision"] = revision
		d.nested(spec, "placement", []string{"replicas"}, d.number)
		d.nested(spec, "rollout", []string{"max_unavailable"}, d.number)
		d.unknown(spec, "version", "replicas")
	}
	root := object{"schema_version": version, "kind": kind, "name": "n", "spec": spec}
	d.unknown(root, "labels")
	raw, err := json.Marshal(root)
	if err != nil {
		d.t.Fatal(err)
	}
	doc, err := Parse(raw)
	if err != nil {
		d.t.Fatalf("%v in %s", err, raw)
	}
	return doc
}

// An operator reads a record in the other schema and writes it back unchanged. No
// field of either schema, no unknown field and no digit of a number may be lost.
func TestConvertRoundTripPreservesDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := documentGenerator{t}.document()
		other, err := before.Convert(SchemaV1 + SchemaV2 - before.SchemaVersion)
		if err != nil {
			t.Fatal(err)
		}
		// Encode and decode the document, as an operator's client does.
		other, err = Parse(other.Marshal())
		if err != nil {
			t.Fatalf("the converted document is refused: %v", err)
		}
		after, err := other.Convert(before.SchemaVersion)
		if err != nil {
			t.Fatal(err)
		}
		if !after.Equal(before) {
			t.Fatalf("the conversions changed the document:\nbefore %s\nother  %s\nafter  %s", before.Marshal(), other.Marshal(), after.Marshal())
		}
	})
}

func parse(t *testing.T, raw string) *Document {
	t.Helper()
	d, err := Parse([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// A client of the older schema revises a record written in the newer one and sends
// only the fields it knows. The other fields must be kept.
func TestRevisionInOlderSchemaKeepsNewerFields(t *testing.T) {
	stored := parse(t, `{"schema_version":2,"kind":"model-deployments","name":"m","spec":{"model":"m",
		"revision":{"version":"1"},"placement":{"replicas":3,"failure_domains":["a"]},"rollout":{"max_unavailable":2}}}`)
	revised := parse(t, `{"schema_version":1,"kind":"model-deployments","name":"m","spec":{"model":"m","version":"2","replicas":3}}`)
	kept, err := revised.WithFieldsOf(stored)
	if err != nil {
		t.Fatal(err)
	}
	got, err := kept.Convert(SchemaV2)
	if err != nil {
		t.Fatal(err)
	}
	want := parse(t, `{"schema_version":2,"kind":"model-deployments","name":"m","spec":{"model":"m",
		"revision":{"version":"2"},"placement":{"replicas":3,"failure_domains":["a"]},"rollout":{"max_unavailable":2}}}`)
	if !got.Equal(want) {
		t.Fatalf("got %s", got.Marshal())
	}
}

func TestConvertMergesRevisedLists(t *testing.T) {
	cases := []struct{ name, v2, revise, with, want string }{
		{
			"first of several models",
			`{"schema_version":2,"kind":"routing-configurations","name":"r","spec":{"models":["a","b"]}}`,
			`"model":"a"`, `"model":"c"`,
			`{"schema_version":2,"kind":"routing-configurations","name":"r","spec":{"models":["c","b"]}}`,
		},
		{
			"removed key, the other keeps its name",
			`{"schema_version":2,"kind":"organisation-priorities","name":"o","spec":{"keys":[{"sha256":"` + strings.Repeat("b", 64) + `","name":"old"},{"sha256":"` + hashA + `","name":"desk"}]}}`,
			`"key_sha256":["` + strings.Repeat("b", 64) + `","` + hashA + `"]`, `"key_sha256":["` + hashA + `"]`,
			`{"schema_version":2,"kind":"organisation-priorities","name":"o","spec":{"keys":[{"sha256":"` + hashA + `","name":"desk"}]}}`,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			older, err := parse(t, c.v2).Convert(SchemaV1)
			if err != nil {
				t.Fatal(err)
			}
			raw := string(older.Marshal())
			revised := strings.Replace(raw, c.revise, c.with, 1)
			if revised == raw {
				t.Fatalf("%s is not in %s", c.revise, raw)
			}
			got, err := parse(t, revised).Convert(SchemaV2)
			if err != nil {
				t.Fatal(err)
			}
			if !got.Equal(parse(t, c.want)) {
				t.Fatalf("got %s", got.Marshal())
			}
		})
	}
}
