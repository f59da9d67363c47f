package httpadmin

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/decisions"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
)

func TestAccess(t *testing.T) {
	const token = "operators-only"
	drained := 0
	handler := New(Options{
		TokenSHA256: httpserver.HashToken(token),
		Decisions:   decisions.New(jsonlog.New(io.Discard, "test", "t", "info"), 64),
		Registry:    gometrics.NewRegistry(),
		Ready:       func() bool { return false },
		Drain:       func() { drained++ },
	})
	cases := []struct {
		name, method, path, token string
		want                      int
	}{
		{"health is open", "GET", "/healthz", "", 200},
		{"readiness is open and honest", "GET", "/readyz", "", 503},
		{"metrics want a token", "GET", "/metrics", "", 401},
		{"a wrong token", "POST", "/admin/v1/drain", "x", 401},
		{"metrics", "GET", "/metrics", token, 200},
		{"profiles want a token", "GET", "/admin/v1/heap", "", 401},
		{"a profile", "GET", "/admin/v1/heap", token, 200},
		{"drain", "POST", "/admin/v1/drain", token, 202},
		{"explain", "GET", "/admin/v1/explain/configurations/a/b", token, 200},
		{"explain nothing known", "GET", "/admin/v1/explain/prompts/a", token, 404},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := httptest.NewRequest(c.method, c.path, http.NoBody)
			if c.token != "" {
				r.Header.Set("Authorization", "Bearer "+c.token)
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code != c.want {
				t.Fatalf("got %d, want %d: %s", w.Code, c.want, w.Body)
			}
		})
	}
	if drained != 1 {
		t.Fatalf("drained %d times, want once", drained)
	}
}

// A daemon is deployed with the file as it stands in the repository, which names
// no token. Nobody may ask or drain it, whatever token they send; callers' checks
// still work, and the log says at the start why operators are turned away.
func TestNoTokenServesNoAdminCall(t *testing.T) {
	var lines bytes.Buffer
	drained := 0
	handler := New(Options{
		Logger:    jsonlog.New(&lines, "test", "t", "info"),
		Decisions: decisions.New(jsonlog.New(io.Discard, "test", "t", "info"), 64),
		Registry:  gometrics.NewRegistry(),
		Ready:     func() bool { return true },
		Drain:     func() { drained++ },
	})
	for path, want := range map[string]int{
		"/healthz": 200, "/readyz": 200, "/metrics": 403, "/admin/v1/drain": 403, "/admin/v1/explain/requests/a": 403,
	} {
		for _, bearer := range []string{"", "Bearer ", "Bearer x"} {
			r := httptest.NewRequest(http.MethodGet, path, http.NoBody)
			if path == "/admin/v1/drain" {
				r.Method = http.MethodPost
			}
			r.Header.Set("Authorization", bearer)
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			if w.Code != want {
				t.Errorf("%s with %q: %d, want %d", path, bearer, w.Code, want)
			}
		}
	}
	if drained != 0 {
		t.Errorf("drained %d times", drained)
	}
	if !strings.Contains(lines.String(), "admin_calls_off") {
		t.Errorf("the log says nothing of it: %s", &lines)
	}
}
