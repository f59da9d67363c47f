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

func TestTokenRequired(t *testing.T) {
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
		{"health needs no token", "GET", "/healthz", "", 200},
		{"readiness needs no token", "GET", "/readyz", "", 503},
		{"metrics need a token", "GET", "/metrics", "", 401},
		{"a wrong token", "POST", "/admin/v1/drain", "x", 401},
		{"metrics", "GET", "/metrics", token, 200},
		{"profiles need a token", "GET", "/admin/v1/heap", "", 401},
		{"a profile", "GET", "/admin/v1/heap", token, 200},
		{"drain", "POST", "/admin/v1/drain", token, 202},
		{"explain", "GET", "/admin/v1/explain/configurations/a/b", token, 200},
		{"explain an unknown subject", "GET", "/admin/v1/explain/prompts/a", token, 404},
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

// Guards against open admin access on a daemon deployed with the repository's
// settings file, which has no token hash: every admin call is refused, whatever
// token it has. Health checks still work, and the log states at startup why
// admin calls are refused.
func TestAdminCallsRefusedWithoutTokenHash(t *testing.T) {
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
		t.Errorf("the event admin_calls_off is missing in the log: %s", &lines)
	}
}
