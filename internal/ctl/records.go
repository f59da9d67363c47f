package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// kinds are the kinds of records that operators write.
var kinds = []string{
	port.ObjectDomainEvacuation, port.ObjectModelDeployment, port.ObjectOrganisationPriority, port.ObjectRequestQuarantine, port.ObjectRoutingConfiguration,
}

// versionedRecord is a record as a keeper returns it.
type versionedRecord struct {
	Version  uint64          `json:"version"`
	Deleted  bool            `json:"deleted,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

type recordList struct {
	Records []versionedRecord `json:"records"`
}

// writeResult is a keeper's reply to a successful write. Superseded means that a
// later write has already replaced it.
type writeResult struct {
	versionedRecord
	WriteID    string `json:"write_id"`
	Superseded bool   `json:"superseded"`
}

func recordPath(kind, name string) string {
	return "/admin/v1/" + kind + "/" + url.PathEscape(name)
}

// fetch returns a record and its version. If schema is positive, the keeper
// converts the record to that schema version.
func (c *client) fetch(ctx context.Context, kind, name string, schema int) (document, uint64, error) {
	path := recordPath(kind, name)
	if schema > 0 {
		path += "?schema_version=" + strconv.Itoa(schema)
	}
	got, err := c.callKeeper(ctx, &request{method: http.MethodGet, path: path})
	if err != nil {
		return nil, 0, err
	}
	version, err := strconv.ParseUint(strings.Trim(got.header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return nil, 0, merry.Prepend(err, "invalid ETag in the keeper's reply")
	}
	var d document
	if err := readJSON(got.body, &d); err != nil {
		return nil, 0, merry.Prepend(err, "cannot decode the record")
	}
	return d, version, nil
}

// precondition is the version that the record must have for a write to be
// accepted; zero requires that the record doesn't exist.
type precondition uint64

func (v precondition) header() http.Header {
	h := http.Header{}
	if v == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", `"`+strconv.FormatUint(uint64(v), 10)+`"`)
	return h
}

func (c *client) put(ctx context.Context, d document, v precondition) (writeResult, error) {
	r := &request{method: http.MethodPut, path: recordPath(d.kind(), d.name()), header: v.header(), body: d.marshal()}
	r.header.Set("Content-Type", "application/json")
	return c.write(ctx, r)
}

func (c *client) remove(ctx context.Context, kind, name string, v precondition) (writeResult, error) {
	return c.write(ctx, &request{method: http.MethodDelete, path: recordPath(kind, name), header: v.header()})
}

func (c *client) write(ctx context.Context, r *request) (writeResult, error) {
	var w writeResult
	got, err := c.callKeeper(ctx, r)
	if err != nil {
		return w, err
	}
	return w, got.decode(&w)
}

// list returns the records of a kind, sorted by name.
func (c *client) list(ctx context.Context, kind string) ([]listedRecord, error) {
	got, err := c.callKeeper(ctx, &request{method: http.MethodGet, path: "/admin/v1/" + kind})
	if err != nil {
		return nil, err
	}
	var l recordList
	if err := got.decode(&l); err != nil {
		return nil, err
	}
	var out []listedRecord
	for _, r := range l.Records {
		var d document
		if err := readJSON(r.Document, &d); err != nil {
			return nil, merry.Prepend(err, "cannot decode a record of the list")
		}
		out = append(out, listedRecord{Version: r.Version, Document: d})
	}
	slices.SortFunc(out, func(a, b listedRecord) int { return strings.Compare(a.Document.name(), b.Document.name()) })
	return out, nil
}

type listedRecord struct {
	Version  uint64   `json:"version"`
	Document document `json:"document"`
}

// parseKind returns the plural form of a kind given in its plural or singular form.
func parseKind(s string) (string, error) {
	for _, k := range kinds {
		if s == k || s == strings.TrimSuffix(k, "s") || s+"s" == k || singular(k) == s {
			return k, nil
		}
	}
	return "", merry.Appendf(ErrUsage, "unknown kind %q; the kinds are %s", s, strings.Join(kinds, ", "))
}

func singular(kind string) string {
	if stem, ok := strings.CutSuffix(kind, "ies"); ok {
		return stem + "y"
	}
	return strings.TrimSuffix(kind, "s")
}

// applyResult is the outcome of writing or deleting one record.
type applyResult struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Action  string `json:"action"`
	Version uint64 `json:"version"`
	WriteID string `json:"write_id,omitempty"`
}

// apply creates or updates the record of one document. Without ifVersion it
// writes nothing if the record already equals the document.
func (c *client) apply(ctx context.Context, d document, ifVersion uint64) (applyResult, error) {
	a := applyResult{Kind: d.kind(), Name: d.name()}
	kind, err := parseKind(d.kind())
	if err != nil {
		return a, err
	}
	d["kind"], a.Kind = kind, kind
	current, version, err := c.fetch(ctx, kind, d.name(), schemaOf(d))
	if err != nil && !errors.Is(err, ErrNotFound) {
		return a, err
	}
	if ifVersion > 0 {
		version = ifVersion
	} else if current != nil && len(differences(current, d)) == 0 {
		a.Action, a.Version = "unchanged", version
		return a, nil
	}
	w, err := c.put(ctx, d, precondition(version))
	if err != nil {
		return a, err
	}
	a.Action, a.Version, a.WriteID = "changed", w.Version, w.WriteID
	if version == 0 {
		a.Action = "created"
	}
	if w.Superseded {
		a.Action += ", then superseded"
	}
	return a, nil
}

func schemaOf(d document) int {
	n, _ := d["schema_version"].(json.Number)
	schema, _ := strconv.Atoi(n.String())
	return schema
}

// diff compares a document with the record in force. If there is none, every
// field counts as added.
func (c *client) diff(ctx context.Context, d document) (recordDiff, error) {
	kind, err := parseKind(d.kind())
	if err != nil {
		return recordDiff{}, err
	}
	d["kind"] = kind
	current, version, err := c.fetch(ctx, kind, d.name(), schemaOf(d))
	if err != nil && !errors.Is(err, ErrNotFound) {
		return recordDiff{}, err
	}
	changes := differences(current, d)
	return recordDiff{Kind: kind, Name: d.name(), Version: version, Changes: changes}, nil
}
