package record

import (
	"reflect"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// convertValue converts a value from the form of one schema to that of the other.
// If the new form can't represent all of the value, kept is the original value.
// ok is false for a value without a counterpart.
type convertValue func(v any) (moved, kept any, ok bool)

// joinValues combines a converted value with the original value that was kept.
// moved is nil if the field was removed.
type joinValues func(moved, kept any) any

// fieldMapping maps the path of a field in schema 1 to its path in schema 2.
type fieldMapping struct {
	v1, v2 string
	// toV2 and toV1 are nil for a value that is the same in both schemas.
	toV2, toV1 convertValue
	// join restores the v2 value. Nothing has to be kept of v1 values, as schema
	// 2 can represent them completely.
	join joinValues
}

// kindMapping maps the fields that both schemas of a kind have.
type kindMapping struct {
	fields []fieldMapping
	// v1Fields and v2Fields are the known top-level fields of a spec. Other
	// fields have the same place in both schemas.
	v1Fields, v2Fields []string
}

var mappings = map[string]kindMapping{
	port.ObjectRoutingConfiguration: {
		fields: []fieldMapping{
			{v1: "model", v2: "models", toV2: modelToList, toV1: listToModel, join: joinModels},
			{v1: "weights.overflow", v2: "weights.stall"},
			{v1: "weights.gap", v2: "weights.token_gap"},
			{v1: "weights.prefill", v2: "weights.prefill"},
			{v1: "weights.prefix", v2: "weights.prefix"},
			{v1: "overflow_limit", v2: "limits.overflow_probability"},
			{v1: "batch_limit", v2: "limits.batch"},
			{v1: "hold_limit_ms", v2: "limits.hold_ms"},
			{v1: "queue_limit", v2: "limits.queue"},
		},
		v1Fields: []string{"model", "weights", "overflow_limit", "batch_limit", "hold_limit_ms", "queue_limit"},
		v2Fields: []string{"models", "weights", "limits"},
	},
	port.ObjectOrganisationPriority: {
		fields: []fieldMapping{
			{v1: "organisation", v2: "organisation"},
			{v1: "priority", v2: "priority"},
			{v1: "share", v2: "share"},
			{v1: "tokens_per_second", v2: "limits.tokens_per_second"},
			{v1: "concurrency", v2: "limits.concurrency"},
			{v1: "key_sha256", v2: "keys", toV2: hashesToKeys, toV1: keysToHashes, join: joinKeys},
		},
		v1Fields: []string{"organisation", "priority", "share", "tokens_per_second", "concurrency", "key_sha256"},
		v2Fields: []string{"organisation", "priority", "share", "limits", "keys"},
	},
	port.ObjectDomainEvacuation: {
		fields: []fieldMapping{
			{v1: "reason", v2: "reason"},
			{v1: "requested_by", v2: "requested_by"},
			{v1: "since", v2: "since"},
		},
		v1Fields: []string{"reason", "requested_by", "since"},
		v2Fields: []string{"reason", "requested_by", "since"},
	},
	port.ObjectRequestQuarantine: {
		fields:   []fieldMapping{{v1: "requests", v2: "requests"}, {v1: "parts", v2: "parts"}},
		v1Fields: []string{"requests", "parts"},
		v2Fields: []string{"requests", "parts"},
	},
	port.ObjectModelDeployment: {
		fields: []fieldMapping{
			{v1: "model", v2: "model"},
			{v1: "version", v2: "revision.version"},
			{v1: "adapters", v2: "revision.adapters"},
			{v1: "replicas", v2: "placement.replicas"},
			{v1: "role", v2: "placement.role"},
		},
		v1Fields: []string{"model", "version", "replicas", "adapters", "role"},
		v2Fields: []string{"model", "revision", "placement", "rollout"},
	},
}

// Convert returns the document in another schema version. Converting it back gives
// the same document: fields that the target can't represent are kept in the field
// carried.
func (d *Document) Convert(schemaVersion int) (*Document, error) {
	if schemaVersion < SchemaV1 || schemaVersion > LatestSchema {
		return nil, merry.Prependf(ErrNewerSchema, "no schema version %d", schemaVersion)
	}
	if schemaVersion == d.SchemaVersion {
		return d, nil
	}
	m := mappings[d.Kind]
	toV2 := schemaVersion > d.SchemaVersion
	spec, rest := m.convertFields(d.spec, toV2)
	if d.carried != nil {
		spec = m.mergeCarried(d.carried.spec, spec, toV2)
	}
	out := &Document{
		SchemaVersion: schemaVersion, Kind: d.Kind, Name: d.Name,
		spec: spec, extra: cloneObject(d.extra),
	}
	if len(rest) > 0 {
		out.carried = &carried{schemaVersion: d.SchemaVersion, spec: rest}
	}
	return out, nil
}

// convertFields returns in to the converted fields that both schemas have and the
// top-level fields that neither has. rest has all other fields.
func (m kindMapping) convertFields(from object, toV2 bool) (to, rest object) {
	rest, to = cloneObject(from), object{}
	for _, mv := range m.fields {
		mv.apply(rest, to, toV2)
	}
	for name, v := range rest {
		if !slices.Contains(m.v1Fields, name) && !slices.Contains(m.v2Fields, name) {
			to[name] = v
			delete(rest, name)
		}
	}
	return to, rest
}

func (mv *fieldMapping) apply(rest, to object, toV2 bool) {
	source, target, convert := mv.v1, mv.v2, mv.toV2
	if !toV2 {
		source, target, convert = mv.v2, mv.v1, mv.toV1
	}
	v, found := lookup(rest, splitPath(source))
	if !found {
		return
	}
	moved, kept := v, any(nil)
	if convert != nil {
		var ok bool
		if moved, kept, ok = convert(v); !ok {
			return
		}
	}
	if kept == nil {
		remove(rest, splitPath(source))
	}
	set(to, splitPath(target), moved)
}

// mergeCarried merges converted fields into those carried from the target schema; the
// converted ones take precedence. A field removed in between stays removed, since
// carried doesn't contain converted fields, except for lists, which are merged by
// their join.
func (m kindMapping) mergeCarried(kept, converted object, toV2 bool) object {
	out := mergeObjects(cloneObject(kept), converted)
	if !toV2 {
		return out
	}
	for _, mv := range m.fields {
		keptValue, found := lookup(kept, splitPath(mv.v2))
		if mv.join == nil || !found {
			continue
		}
		moved, _ := lookup(converted, splitPath(mv.v2))
		set(out, splitPath(mv.v2), mv.join(moved, keptValue))
	}
	return out
}

func mergeObjects(under, over object) object {
	for name, v := range over {
		lower, lowerIsObject := under[name].(object)
		upper, upperIsObject := v.(object)
		if lowerIsObject && upperIsObject {
			under[name] = mergeObjects(lower, upper)
			continue
		}
		under[name] = v
	}
	return under
}

func modelToList(v any) (moved, kept any, ok bool) {
	model, isString := v.(string)
	if !isString || model == "" {
		return nil, nil, false
	}
	return []any{model}, nil, true
}

func listToModel(v any) (moved, kept any, ok bool) {
	models, isList := v.([]any)
	if !isList || len(models) == 0 {
		return nil, nil, false
	}
	if len(models) > 1 {
		kept = models
	}
	return models[0], kept, true
}

// joinModels combines the converted first model with the other models that were
// kept. Only the first one can be revised in schema 1.
func joinModels(moved, kept any) any {
	others, _ := kept.([]any)
	first, revised := moved.([]any)
	if len(others) == 0 && !revised {
		return kept
	}
	if len(others) > 0 {
		others = others[1:]
	}
	return slices.Concat(first, others)
}

const keyHashField = "sha256"

func hashesToKeys(v any) (moved, kept any, ok bool) {
	hashes, isList := v.([]any)
	if !isList {
		return nil, nil, false
	}
	keys := make([]any, len(hashes))
	for i, h := range hashes {
		keys[i] = object{keyHashField: h}
	}
	return keys, nil, true
}

func keysToHashes(v any) (moved, kept any, ok bool) {
	keys, isList := v.([]any)
	if !isList {
		return nil, nil, false
	}
	hashes := make([]any, len(keys))
	for i, k := range keys {
		key, isObject := k.(object)
		if !isObject || key[keyHashField] == nil {
			return nil, nil, false
		}
		hashes[i] = key[keyHashField]
		if len(key) > 1 {
			kept = keys
		}
	}
	return hashes, kept, true
}

// joinKeys restores the fields of keys other than the hash. A key is first compared
// with the kept one at the same index, so that two keys with equal hashes keep their
// own names.
func joinKeys(moved, kept any) any {
	keys, revised := moved.([]any)
	named, isList := kept.([]any)
	if !revised && !isList {
		return kept
	}
	out := make([]any, len(keys))
	for i, k := range keys {
		out[i] = k
		hash := k.(object)[keyHashField]
		if i < len(named) && hashOf(named[i]) == hash {
			out[i] = named[i]
			continue
		}
		at := slices.IndexFunc(named, func(n any) bool { return hashOf(n) == hash })
		if at >= 0 {
			out[i] = named[at]
		}
	}
	return out
}

func hashOf(key any) any {
	o, _ := key.(object)
	return o[keyHashField]
}

func lookup(o object, path []string) (any, bool) {
	for _, name := range path[:len(path)-1] {
		next, ok := o[name].(object)
		if !ok {
			return nil, false
		}
		o = next
	}
	v, ok := o[path[len(path)-1]]
	return v, ok
}

// remove deletes a field, and the objects that become empty by that.
func remove(o object, path []string) {
	if len(path) == 1 {
		delete(o, path[0])
		return
	}
	next, ok := o[path[0]].(object)
	if !ok {
		return
	}
	remove(next, path[1:])
	if len(next) == 0 {
		delete(o, path[0])
	}
}

func set(o object, path []string, v any) {
	for _, name := range path[:len(path)-1] {
		next, ok := o[name].(object)
		if !ok {
			next = object{}
			o[name] = next
		}
		o = next
	}
	o[path[len(path)-1]] = v
}

// WithFieldsOf returns the document with the fields of the stored one that its own
// schema version can't represent. It is for a revision by a client that uses another
// schema version and doesn't know these fields: without it, each edit in the older
// schema would lose them.
func (d *Document) WithFieldsOf(stored *Document) (*Document, error) {
	if d.carried != nil || stored.SchemaVersion == d.SchemaVersion {
		return d, nil
	}
	before, err := stored.Convert(d.SchemaVersion)
	if err != nil || before.carried == nil {
		return d, err
	}
	kept := *d
	kept.carried = before.carried
	return &kept, nil
}

// Equal reports whether two documents have the same JSON content.
func (d *Document) Equal(o *Document) bool {
	return reflect.DeepEqual(normalForm(d), normalForm(o))
}

func normalForm(d *Document) object {
	root, err := decodeObject(d.Marshal())
	if err != nil {
		panic(err)
	}
	return root
}
