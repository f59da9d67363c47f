package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// document is a record in the form its author wrote, including fields that
// this build doesn't know.
type document map[string]any

func (d document) text(field string) string {
	s, _ := d[field].(string)
	return s
}

func (d document) kind() string { return d.text("kind") }
func (d document) name() string { return d.text("name") }

func (d document) marshal() []byte {
	raw, err := json.Marshal(d)
	if err != nil {
		// A document holds only values decoded from JSON, so it can be encoded.
		panic(err)
	}
	return raw
}

// readDocuments reads one or more documents from the file at path or, for
// "-", from input. The text is a sequence of JSON objects, of arrays of objects,
// or of both.
func readDocuments(path string, input io.Reader) ([]document, error) {
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, merry.Append(ErrUsage, err.Error())
		}
		defer f.Close()
		input = f
	}
	decoder := json.NewDecoder(input)
	decoder.UseNumber()
	var all []document
	for {
		var raw any
		err := decoder.Decode(&raw)
		if err == io.EOF {
			break
		}
		if err != nil {
			return nil, merry.Appendf(ErrUsage, "%s: %v", path, err)
		}
		parsed, err := asDocuments(raw)
		if err != nil {
			return nil, merry.Prepend(err, path)
		}
		all = append(all, parsed...)
	}
	if len(all) == 0 {
		return nil, merry.Appendf(ErrUsage, "input %s contains no document", path)
	}
	return all, nil
}

func asDocuments(raw any) ([]document, error) {
	items, isArray := raw.([]any)
	if !isArray {
		items = []any{raw}
	}
	var all []document
	for _, item := range items {
		fields, ok := item.(map[string]any)
		if !ok {
			return nil, merry.Append(ErrUsage, "every document must be a JSON object")
		}
		d := document(fields)
		if d.kind() == "" || d.name() == "" {
			return nil, merry.Append(ErrUsage, "every document needs the fields kind and name")
		}
		all = append(all, d)
	}
	return all, nil
}

// set writes a value at a dotted path and creates missing parent objects. The
// text is used as JSON if it is valid JSON, else as a string. A field that
// holds a string stays a string, so that setting a version to 3 needs no
// additional quotes.
func (d document) set(path, text string) error {
	var value any
	if readJSON([]byte(text), &value) != nil || !json.Valid([]byte(text)) {
		value = text
	}
	fields, field, err := d.parent(path, true)
	if err != nil {
		return err
	}
	if _, fieldIsString := fields[field].(string); fieldIsString {
		if _, valueIsString := value.(string); !valueIsString {
			value = text
		}
	}
	fields[field] = value
	return nil
}

// unset removes the field at a dotted path.
func (d document) unset(path string) error {
	fields, field, err := d.parent(path, false)
	if err != nil {
		return err
	}
	if _, found := fields[field]; !found {
		return merry.Appendf(ErrUsage, "field %s is not set in the record", path)
	}
	delete(fields, field)
	return nil
}

// parent returns the object that contains the last field of a dotted path, and
// that field's name. Missing objects on the path are created if create is true.
func (d document) parent(path string, create bool) (map[string]any, string, error) {
	names := strings.Split(path, ".")
	fields := map[string]any(d)
	for _, name := range names[:len(names)-1] {
		if _, found := fields[name]; !found && create {
			fields[name] = map[string]any{}
		}
		next, ok := fields[name].(map[string]any)
		if !ok {
			return nil, "", merry.Appendf(ErrUsage, "cannot resolve path %s: field %s is not an object", path, name)
		}
		fields = next
	}
	return fields, names[len(names)-1], nil
}

// fieldChange is a field whose value differs between two documents.
type fieldChange struct {
	Path string `json:"path"`
	Old  any    `json:"old,omitempty"`
	New  any    `json:"new,omitempty"`
}

// differences lists the fields that change from one document to the other.
func differences(from, to document) []fieldChange {
	return compare("", map[string]any(from), map[string]any(to))
}

func compare(path string, from, to any) []fieldChange {
	old, oldIsObject := from.(map[string]any)
	updated, updatedIsObject := to.(map[string]any)
	// An object that is added or removed as a whole is listed field by field.
	added := from == nil && len(updated) > 0
	removed := to == nil && len(old) > 0
	if !added && !removed && (!oldIsObject || !updatedIsObject) {
		if reflect.DeepEqual(from, to) {
			return nil
		}
		return []fieldChange{{Path: path, Old: from, New: to}}
	}
	var changes []fieldChange
	for _, name := range fieldNames(old, updated) {
		changes = append(changes, compare(join(path, name), old[name], updated[name])...)
	}
	return changes
}

func fieldNames(a, b map[string]any) []string {
	var names []string
	for name := range a {
		names = append(names, name)
	}
	for name := range b {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func compact(raw json.RawMessage) string {
	var b bytes.Buffer
	if json.Compact(&b, raw) != nil {
		return string(raw)
	}
	return b.String()
}

func valueText(v any) string {
	if v == nil {
		return ""
	}
	raw, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(raw)
}
