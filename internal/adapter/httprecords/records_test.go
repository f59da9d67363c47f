package httprecords

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/keeper"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// fakeKeeper answers every change with the same result and stores the last
// change.
type fakeKeeper struct {
	records []port.Record
	ready   bool
	result  keeper.Result
	err     error
	last    *keeper.Change
}

func (f *fakeKeeper) Change(_ context.Context, c *keeper.Change) (keeper.Result, error) {
	f.last = c
	return f.result, f.err
}

func (f *fakeKeeper) Audit(context.Context, string, string) (keeper.Audit, error) {
	return keeper.Audit{Version: 3}, f.err
}

func (f *fakeKeeper) Record(kind, name string) (port.Record, bool) {
	for _, r := range f.records {
		if r.Kind == kind && r.Name == name {
			return r, true
		}
	}
	return port.Record{}, false
}

// Records omits deleted records, as the keeper does.
func (f *fakeKeeper) Records() []port.Record {
	return slices.DeleteFunc(slices.Clone(f.records), func(r port.Record) bool { return r.Deleted })
}
func (f *fakeKeeper) Endpoints() []port.Endpoint             { return nil }
func (f *fakeKeeper) Members() []port.Member                 { return nil }
func (f *fakeKeeper) InForce(context.Context) keeper.InForce { return keeper.InForce{Version: 3} }
func (f *fakeKeeper) PlatformAge(time.Time) time.Duration    { return 1500 * time.Millisecond }
func (f *fakeKeeper) Ready() bool                            { return f.ready }

const (
	document = `{"schema_version":2,"kind":"routing-configurations","name":"r","spec":{"models":["m"],"weights":{"stall":2}}}`
	path     = "/admin/v1/routing-configurations/r"
)

func newFakeKeeper() *fakeKeeper {
	return &fakeKeeper{ready: true, records: []port.Record{
		{Kind: port.ObjectRoutingConfiguration, Name: "r", Version: 3, Body: json.RawMessage(document)},
		{Kind: port.ObjectRoutingConfiguration, Name: "gone", Version: 4, Deleted: true},
	}}
}

func call(f *fakeKeeper, method, target, headers, body string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	(&Handler{Keeper: f}).Register(mux)
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	for header := range strings.SplitSeq(headers, "\n") {
		if name, value, ok := strings.Cut(header, ": "); ok {
			r.Header.Set(name, value)
		}
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return w
}

func TestReadResponses(t *testing.T) {
	notReady := newFakeKeeper()
	notReady.ready = false
	cases := []struct {
		name   string
		keeper *fakeKeeper
		target string
		status int
		want   string
	}{
		{"stored schema", newFakeKeeper(), path, 200, `"stall":2`},
		{"older schema", newFakeKeeper(), path + "?schema_version=1", 200, `"overflow":2`},
		{"list in the older schema", newFakeKeeper(), "/admin/v1/routing-configurations?schema_version=1", 200, `"version":3,"document":{"kind"`},
		{"empty list", newFakeKeeper(), "/admin/v1/model-deployments", 200, `{"records":[]}`},
		{"newer schema", newFakeKeeper(), path + "?schema_version=3", 400, `"field":"schema_version"`},
		{"absent", newFakeKeeper(), "/admin/v1/routing-configurations/x", 404, `"reason":"absent"`},
		{"deleted", newFakeKeeper(), "/admin/v1/routing-configurations/gone", 404, `"reason":"absent"`},
		{"keeper without all records", notReady, path, 503, `"reason":"not_ready"`},
		{"in force", newFakeKeeper(), "/admin/v1/in-force", 200, `"version":3`},
		{"audit", newFakeKeeper(), "/admin/v1/audit/routing-configurations/r", 200, `"refused_here":[]`},
		{"audit of an unknown kind", newFakeKeeper(), "/admin/v1/audit/x/r", 404, `"field":"kind"`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := call(c.keeper, http.MethodGet, c.target, "", "")
			if w.Code != c.status || !strings.Contains(w.Body.String(), c.want) {
				t.Fatalf("got %d %s, want %d with %s", w.Code, w.Body, c.status, c.want)
			}
		})
	}
	w := call(newFakeKeeper(), http.MethodGet, path, "", "")
	if w.Header().Get("ETag") != `"3"` || w.Header().Get(headerPlatformAge) != "1500" {
		t.Fatalf("headers %v", w.Header())
	}
}

func TestChangesRequireCondition(t *testing.T) {
	cases := []struct {
		name, method, headers string
		status                int
	}{
		{"none", "PUT", "", 428},
		{"none on delete", "DELETE", "", 428},
		{"both", "PUT", "If-Match: \"3\"\nIf-None-Match: *", 400},
		{"any version", "PUT", "If-Match: *", 400},
		{"unquoted", "PUT", "If-Match: 3", 400},
		{"weak", "PUT", `If-Match: W/"3"`, 400},
		{"several", "PUT", `If-Match: "3", "4"`, 400},
		{"zero", "PUT", `If-Match: "0"`, 400},
		{"If-None-Match with a version", "PUT", `If-None-Match: "3"`, 400},
		{"delete with If-None-Match", "DELETE", "If-None-Match: *", 400},
		{"revise", "PUT", `If-Match: "3"`, 200},
		{"create", "PUT", "If-None-Match: *", 201},
		{"delete", "DELETE", `If-Match: "3"`, 200},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeKeeper()
			w := call(f, c.method, path, c.headers, document)
			if w.Code != c.status {
				t.Fatalf("got %d %s", w.Code, w.Body)
			}
			if passed := f.last != nil; passed != (c.status < 300) {
				t.Fatalf("change passed to the keeper: %v", passed)
			}
		})
	}
}

func TestChangeErrorResponses(t *testing.T) {
	cases := []struct {
		name    string
		err     error
		status  int
		outcome string
	}{
		{"invalid", &record.FieldError{Field: "spec.x", Problem: "p"}, 422, "not_run"},
		{"newer schema", record.ErrNewerSchema, 422, "not_run"},
		{"conflict", keeper.ErrStale, 412, "not_run"},
		{"absent", keeper.ErrNotFound, 404, "not_run"},
		{"too large", keeper.ErrTooLarge, 413, "not_run"},
		{"platform down", keeper.ErrNotWritten, 503, "not_run"},
		{"unknown outcome", keeper.ErrOutcomeUnknown, 504, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeKeeper()
			f.err = c.err
			f.result = keeper.Result{WriteID: "w1", Record: f.records[0]}
			w := call(f, "PUT", path, "If-Match: \"2\"\nFrom: kim\x01", document)
			var p struct {
				Outcome, Reason string
				DecisionID      string `json:"decision_id"`
				Winner          *versioned
			}
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || p.Outcome != c.outcome || p.DecisionID != "w1" || w.Header().Get("Decision-Id") != "w1" {
				t.Fatalf("got %d %s", w.Code, w.Body)
			}
			hasWinner := p.Winner != nil && p.Winner.Version == 3
			if hasWinner != (c.status == 412) {
				t.Fatalf("winner shown: %v in %s", hasWinner, w.Body)
			}
			if retry := w.Header().Get("Retry-After"); (retry != "") != (c.status >= 500) {
				t.Fatalf("Retry-After %q", retry)
			}
			if f.last.Actor != "kim" {
				t.Fatalf("actor %q", f.last.Actor)
			}
		})
	}
}
