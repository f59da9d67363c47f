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

var kinds = []string{
	port.ObjectDomainEvacuation, port.ObjectModelDeployment, port.ObjectOrganisationPriority, port.ObjectRequestQuarantine, port.ObjectRoutingConfiguration,
}

// versioned is a record as keepers answer it.
type versioned struct {
	Version  uint64          `json:"version"`
	Deleted  bool            `json:"deleted,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

type recordList struct {
	Records []versioned `json:"records"`
}

// written is the answer to a change that took effect.
type written struct {
	versioned
	WriteID    string `json:"write_id"`
	Superseded bool   `json:"superseded"`
}

func recordPath(kind, name string) string {
	return "/admin/v1/" + kind + "/" + url.PathEscape(name)
}

// fetch returns a record and its version.
func (c *client) fetch(ctx context.Context, kind, name string, schema int) (document, uint64, error) {
	path := recordPath(kind, name)
	if schema > 0 {
		path += "?schema_version=" + strconv.Itoa(schema)
	}
	got, err := c.keepers(ctx, &request{method: http.MethodGet, path: path})
	if err != nil {
		return nil, 0, err
	}
	version, err := strconv.ParseUint(strings.Trim(got.header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return nil, 0, merry.Prepend(err, "the keeper's ETag")
	}
	var d document
	if err := readJSON(got.body, &d); err != nil {
		return nil, 0, merry.Prepend(err, "the record can't be read")
	}
	return d, version, nil
}

// condition is the version a change rests on; zero: the record is new.
type condition uint64

func (v condition) header() http.Header {
	h := http.Header{}
	if v == 0 {
		h.Set("If-None-Match", "*")
		return h
	}
	h.Set("If-Match", `"`+strconv.FormatUint(uint64(v), 10)+`"`)
	return h
}

func (c *client) put(ctx context.Context, d document, v condition) (written, error) {
	r := &request{method: http.MethodPut, path: recordPath(d.kind(), d.name()), header: v.header(), body: d.marshal()}
	r.header.Set("Content-Type", "application/json")
	return c.change(ctx, r)
}

func (c *client) remove(ctx context.Context, kind, name string, v condition) (written, error) {
	return c.change(ctx, &request{method: http.MethodDelete, path: recordPath(kind, name), header: v.header()})
}

func (c *client) change(ctx context.Context, r *request) (written, error) {
	var w written
	got, err := c.keepers(ctx, r)
	if err != nil {
		return w, err
	}
	return w, got.decode(&w)
}

// list returns the documents of a kind in a table's order.
func (c *client) list(ctx context.Context, kind string) ([]listed, error) {
	got, err := c.keepers(ctx, &request{method: http.MethodGet, path: "/admin/v1/" + kind})
	if err != nil {
		return nil, err
	}
	var l recordList
	if err := got.decode(&l); err != nil {
		return nil, err
	}
	var out []listed
	for _, r := range l.Records {
		var d document
		if err := readJSON(r.Document, &d); err != nil {
			return nil, merry.Prepend(err, "a record can't be read")
		}
		out = append(out, listed{Version: r.Version, Document: d})
	}
	slices.SortFunc(out, func(a, b listed) int { return strings.Compare(a.Document.name(), b.Document.name()) })
	return out, nil
}

type listed struct {
	Version  uint64   `json:"version"`
	Document document `json:"document"`
}

// kindOf accepts a kind in plural or singular.
func kindOf(s string) (string, error) {
	for _, k := range kinds {
		if s == k || s == strings.TrimSuffix(k, "s") || s+"s" == k || singular(k) == s {
			return k, nil
		}
	}
	return "", merry.Appendf(ErrUsage, "no kind %q; the kinds are %s", s, strings.Join(kinds, ", "))
}

func singular(kind string) string {
	if stem, ok := strings.CutSuffix(kind, "ies"); ok {
		return stem + "y"
	}
	return strings.TrimSuffix(kind, "s")
}

// applied is what became of one document.
type applied struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Action  string `json:"action"`
	Version uint64 `json:"version"`
	WriteID string `json:"write_id,omitempty"`
}

// apply brings one document into force unless it already is.
func (c *client) apply(ctx context.Context, d document, ifVersion uint64) (applied, error) {
	a := applied{Kind: d.kind(), Name: d.name()}
	kind, err := kindOf(d.kind())
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
	w, err := c.put(ctx, d, condition(version))
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

// diff compares a document with the one in force; where there is none, every
// field is new.
func (c *client) diff(ctx context.Context, d document) (compared, error) {
	kind, err := kindOf(d.kind())
	if err != nil {
		return compared{}, err
	}
	d["kind"] = kind
	current, version, err := c.fetch(ctx, kind, d.name(), schemaOf(d))
	if err != nil && !errors.Is(err, ErrNotFound) {
		return compared{}, err
	}
	changes := differences(current, d)
	return compared{Kind: kind, Name: d.name(), Version: version, Changes: changes}, nil
}
