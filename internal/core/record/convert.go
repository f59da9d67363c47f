package record

import (
	"reflect"
	"slices"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// reshape turns a value from one schema's form into the other's. What the
// new form has no place for comes back as kept; ok is false for a value that
// has no counterpart at all.
type reshape func(v any) (moved, kept any, ok bool)

// restore joins a converted value with what was kept of its former self.
// Moved is nil where the field is gone.
type restore func(moved, kept any) any

// move says where one field stands in either schema.
type move struct {
	v1, v2 string
	// up and down are nil for a value that is the same in both.
	up, down reshape
	// join restores the v2 value; the v1 values never keep a rest.
	join restore
}

// mapping is what the schemas of one kind have in common.
type mapping struct {
	moves []move
	// v1Top and v2Top are all known fields at the top of a spec. Others keep
	// their place in both schemas.
	v1Top, v2Top []string
}

var mappings = map[string]mapping{
	port.ObjectRoutingConfiguration: {
		moves: []move{
			{v1: "model", v2: "models", up: wrapModel, down: firstModel, join: joinModels},
			{v1: "weights.overflow", v2: "weights.stall"},
			{v1: "weights.gap", v2: "weights.token_gap"},
			{v1: "weights.prefill", v2: "weights.prefill"},
			{v1: "weights.prefix", v2: "weights.prefix"},
			{v1: "overflow_limit", v2: "limits.overflow_probability"},
			{v1: "batch_limit", v2: "limits.batch"},
			{v1: "hold_limit_ms", v2: "limits.hold_ms"},
			{v1: "queue_limit", v2: "limits.queue"},
		},
		v1Top: []string{"model", "weights", "overflow_limit", "batch_limit", "hold_limit_ms", "queue_limit"},
		v2Top: []string{"models", "weights", "limits"},
	},
	port.ObjectOrganisationPriority: {
		moves: []move{
			{v1: "organisation", v2: "organisation"},
			{v1: "priority", v2: "priority"},
			{v1: "share", v2: "share"},
			{v1: "tokens_per_second", v2: "limits.tokens_per_second"},
			{v1: "concurrency", v2: "limits.concurrency"},
			{v1: "key_sha256", v2: "keys", up: wrapKeys, down: keyHashes, join: joinKeys},
		},
		v1Top: []string{"organisation", "priority", "share", "tokens_per_second", "concurrency", "key_sha256"},
		v2Top: []string{"organisation", "priority", "share", "limits", "keys"},
	},
	port.ObjectDomainEvacuation: {
		moves: []move{
			{v1: "reason", v2: "reason"},
			{v1: "requested_by", v2: "requested_by"},
			{v1: "since", v2: "since"},
		},
		v1Top: []string{"reason", "requested_by", "since"},
		v2Top: []string{"reason", "requested_by", "since"},
	},
	port.ObjectRequestQuarantine: {
		moves: []move{{v1: "requests", v2: "requests"}},
		v1Top: []string{"requests"},
		v2Top: []string{"requests"},
	},
	port.ObjectModelDeployment: {
		moves: []move{
			{v1: "model", v2: "model"},
			{v1: "version", v2: "revision.version"},
			{v1: "adapters", v2: "revision.adapters"},
			{v1: "replicas", v2: "placement.replicas"},
			{v1: "role", v2: "placement.role"},
		},
		v1Top: []string{"model", "version", "replicas", "adapters", "role"},
		v2Top: []string{"model", "revision", "placement", "rollout"},
	},
}

// Convert returns the document in another schema version. Converting back
// gives the same document again: what the target has no place for travels in
// the field carried.
func (d *Document) Convert(schemaVersion int) (*Document, error) {
	if schemaVersion < SchemaV1 || schemaVersion > LatestSchema {
		return nil, merry.Prependf(ErrNewerSchema, "no schema version %d", schemaVersion)
	}
	if schemaVersion == d.SchemaVersion {
		return d, nil
	}
	m := mappings[d.Kind]
	up := schemaVersion > d.SchemaVersion
	spec, rest := m.transfer(d.spec, up)
	if d.carried != nil {
		spec = m.overlay(d.carried.spec, spec, up)
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

// transfer moves the fields that both schemas know, and the top fields that
// neither knows; rest is all else.
func (m mapping) transfer(from object, up bool) (to, rest object) {
	rest, to = cloneObject(from), object{}
	for _, mv := range m.moves {
		mv.apply(rest, to, up)
	}
	for name, v := range rest {
		if !slices.Contains(m.v1Top, name) && !slices.Contains(m.v2Top, name) {
			to[name] = v
			delete(rest, name)
		}
	}
	return to, rest
}

func (mv *move) apply(rest, to object, up bool) {
	source, target, change := mv.v1, mv.v2, mv.up
	if !up {
		source, target, change = mv.v2, mv.v1, mv.down
	}
	v, found := lookup(rest, path(source))
	if !found {
		return
	}
	moved, kept := v, any(nil)
	if change != nil {
		var ok bool
		if moved, kept, ok = change(v); !ok {
			return
		}
	}
	if kept == nil {
		remove(rest, path(source))
	}
	set(to, path(target), moved)
}

// overlay puts converted fields over those carried from before. A field that
// was removed meanwhile stays removed, as carried never holds a moved field
// whole but for lists, which their join settles.
func (m mapping) overlay(kept, converted object, up bool) object {
	out := mergeObjects(cloneObject(kept), converted)
	if !up {
		return out
	}
	for _, mv := range m.moves {
		keptValue, found := lookup(kept, path(mv.v2))
		if mv.join == nil || !found {
			continue
		}
		moved, _ := lookup(converted, path(mv.v2))
		set(out, path(mv.v2), mv.join(moved, keptValue))
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

func wrapModel(v any) (moved, kept any, ok bool) {
	model, isString := v.(string)
	if !isString || model == "" {
		return nil, nil, false
	}
	return []any{model}, nil, true
}

func firstModel(v any) (moved, kept any, ok bool) {
	models, isList := v.([]any)
	if !isList || len(models) == 0 {
		return nil, nil, false
	}
	if len(models) > 1 {
		kept = models
	}
	return models[0], kept, true
}

// joinModels: the first model may have been revised through the older
// schema, the others could not.
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

func wrapKeys(v any) (moved, kept any, ok bool) {
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

func keyHashes(v any) (moved, kept any, ok bool) {
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

// joinKeys gives each key back its name. Keys are matched in place first, so
// that a hash that stands twice keeps both names.
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

// remove deletes a field and the objects that it leaves empty.
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

// KeepCarried is for a revision written in another schema version than the
// stored one, by a client that knows nothing of the newer fields: it keeps
// them, where without it each edit through the older schema would lose them.
func (d *Document) KeepCarried(stored *Document) (*Document, error) {
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

// Equal reports whether two documents say the same.
func (d *Document) Equal(o *Document) bool {
	return reflect.DeepEqual(normal(d), normal(o))
}

func normal(d *Document) object {
	root, err := decodeObject(d.Marshal())
	if err != nil {
		panic(err)
	}
	return root
}
