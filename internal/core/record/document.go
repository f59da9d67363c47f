// Package record implements the records that operators write: their kinds and
// schema versions, validation, defaults, conversion between schema versions, the
// stored form, and the values that the daemons derive from them.
package record

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// The schema versions that this build supports.
const (
	SchemaV1     = 1
	SchemaV2     = 2
	LatestSchema = SchemaV2
)

// MaxDocumentBytes is the maximum size of a document. Together with its audit trail
// it stays far below the platform's limit of one megabyte.
const MaxDocumentBytes = 256 << 10

// Errors of this package. Errors about a field contain its path.
var (
	// ErrInvalid is wrapped by all errors about the content of a document.
	ErrInvalid = merry.Sentinel("record: invalid")
	// ErrNewerSchema is the error for a document with the schema version of a newer
	// build. It is refused and never rewritten, as this build could lose fields that
	// it doesn't know.
	ErrNewerSchema = merry.Sentinel("record: schema version is newer than known")
)

// FieldError describes an invalid field.
type FieldError struct {
	// Field is the path from the document's root, for example spec.limits.batch.
	Field   string
	Problem string
}

// Error returns the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// Unwrap returns ErrInvalid.
func (e *FieldError) Unwrap() error { return ErrInvalid }

// object is a JSON object, which may have fields that this build doesn't know.
type object = map[string]any

// Document is the content of a record in one schema version. Fields that this build
// doesn't know are kept at every level.
type Document struct {
	SchemaVersion int
	Kind          string
	Name          string
	spec          object
	// carried holds the fields that SchemaVersion can't represent, nil for none.
	carried *carried
	// extra holds the unknown fields at the top level.
	extra object
}

// carried holds fields of another schema version, so that converting to this
// version and back loses nothing.
type carried struct {
	schemaVersion int
	spec          object
}

// The fields of a document.
const (
	fieldSchema  = "schema_version"
	fieldKind    = "kind"
	fieldName    = "name"
	fieldSpec    = "spec"
	fieldCarried = "carried"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// Kinds returns the kinds of records, sorted.
func Kinds() []string {
	return []string{
		port.ObjectDomainEvacuation, port.ObjectModelDeployment, port.ObjectOrganisationPriority, port.ObjectRequestQuarantine, port.ObjectRoutingConfiguration,
	}
}

// KnownKind reports whether kind is one of Kinds.
func KnownKind(kind string) bool { return slices.Contains(Kinds(), kind) }

// ValidName reports whether name is allowed as the name of a record.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Parse decodes and validates a document. The error is a *FieldError, or wraps
// ErrNewerSchema.
func Parse(raw []byte) (*Document, error) {
	if len(raw) > MaxDocumentBytes {
		return nil, &FieldError{Field: "(document)", Problem: "larger than 256 KiB"}
	}
	root, err := decodeObject(raw)
	if err != nil {
		return nil, &FieldError{Field: "(document)", Problem: err.Error()}
	}
	d, err := fromRoot(root)
	if err != nil {
		return nil, err
	}
	if err := validate(d); err != nil {
		return nil, err
	}
	return d, nil
}

func decodeObject(raw []byte) (object, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	// Numbers are kept as text: a float64 could round the value of an unknown field.
	decoder.UseNumber()
	var root object
	if err := decoder.Decode(&root); err != nil {
		return nil, err
	}
	if root == nil {
		return nil, merry.New("must be a JSON object")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, merry.New("more than one JSON value")
	}
	return root, nil
}

func fromRoot(root object) (*Document, error) {
	d := &Document{}
	var err error
	if d.SchemaVersion, err = takeVersion(root, fieldSchema); err != nil {
		return nil, err
	}
	if d.Kind, err = takeString(root, fieldKind); err != nil {
		return nil, err
	}
	if d.Name, err = takeString(root, fieldName); err != nil {
		return nil, err
	}
	if d.spec, err = takeObject(root, fieldSpec); err != nil {
		return nil, err
	}
	if d.carried, err = takeCarried(root, d.SchemaVersion); err != nil {
		return nil, err
	}
	d.extra = root
	return d, nil
}

func takeVersion(root object, field string) (int, error) {
	number, ok := root[field].(json.Number)
	if !ok {
		return 0, &FieldError{Field: field, Problem: "must be a number"}
	}
	version, err := number.Int64()
	if err != nil || version < SchemaV1 {
		return 0, &FieldError{Field: field, Problem: "must be a positive whole number"}
	}
	if version > LatestSchema {
		return 0, merry.Prependf(ErrNewerSchema, "%s %d, newest known is %d", field, version, LatestSchema)
	}
	delete(root, field)
	return int(version), nil
}

func takeString(root object, field string) (string, error) {
	s, ok := root[field].(string)
	if !ok {
		return "", &FieldError{Field: field, Problem: "must be a string"}
	}
	delete(root, field)
	return s, nil
}

func takeObject(root object, field string) (object, error) {
	o, ok := root[field].(object)
	if !ok {
		return nil, &FieldError{Field: field, Problem: "must be a JSON object"}
	}
	delete(root, field)
	return o, nil
}

func takeCarried(root object, schemaVersion int) (*carried, error) {
	if _, present := root[fieldCarried]; !present {
		return nil, nil
	}
	o, err := takeObject(root, fieldCarried)
	if err != nil {
		return nil, err
	}
	version, err := takeVersion(o, fieldSchema)
	if err != nil {
		return nil, prefixField(err, fieldCarried)
	}
	if version == schemaVersion {
		return nil, &FieldError{Field: fieldCarried + "." + fieldSchema, Problem: "must differ from the document's"}
	}
	spec, err := takeObject(o, fieldSpec)
	if err != nil {
		return nil, prefixField(err, fieldCarried)
	}
	return &carried{schemaVersion: version, spec: spec}, nil
}

func prefixField(err error, prefix string) error {
	if wrong, ok := err.(*FieldError); ok {
		return &FieldError{Field: prefix + "." + wrong.Field, Problem: wrong.Problem}
	}
	return merry.Prepend(err, prefix)
}

// Marshal returns the document as JSON, including unknown fields.
func (d *Document) Marshal() json.RawMessage {
	root := cloneObject(d.extra)
	root[fieldSchema] = d.SchemaVersion
	root[fieldKind] = d.Kind
	root[fieldName] = d.Name
	root[fieldSpec] = d.spec
	if d.carried != nil {
		root[fieldCarried] = object{fieldSchema: d.carried.schemaVersion, fieldSpec: d.carried.spec}
	}
	raw, err := json.Marshal(root)
	if err != nil {
		// Can't happen: all values came from JSON.
		panic(err)
	}
	return raw
}

func cloneObject(o object) object {
	c := make(object, len(o))
	for k, v := range o {
		c[k] = cloneValue(v)
	}
	return c
}

func cloneValue(v any) any {
	switch v := v.(type) {
	case object:
		return cloneObject(v)
	case []any:
		c := make([]any, len(v))
		for i := range v {
			c[i] = cloneValue(v[i])
		}
		return c
	default:
		return v
	}
}

// splitPath splits a field's path into names.
func splitPath(p string) []string { return strings.Split(p, ".") }
