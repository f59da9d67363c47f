package httpadmin

import (
	"io"
	"net/http"
	"net/http/httptest"
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
