package httpprobe

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against an error page or a truncated report that marks an endpoint as
// live: only a complete report is accepted.
func TestLoad(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		ok     bool
	}{
		{"a report", 200, `{"endpoint":"e","incarnation":3,"state":"leaving"}`, true},
		{"an error", 503, `{"endpoint":"e"}`, false},
		{"a redirect", 302, ``, false},
		{"truncated", 200, `{"endpoint":"e"`, false},
		{"too large", 200, `{"endpoint":"` + strings.Repeat("e", maxReportBytes) + `"}`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/load" {
					t.Errorf("requested path %s, want /v1/load", r.URL.Path)
				}
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, c.body)
			}))
			defer server.Close()
			report, err := New().Load(t.Context(), port.Endpoint{ID: "e", Address: server.Listener.Addr().String()})
			if c.ok && (err != nil || report.Incarnation != 3 || report.State != port.EndpointLeaving) {
				t.Fatalf("got %+v, %v", report, err)
			}
			if !c.ok && !errors.Is(err, ErrNoReport) {
				t.Fatalf("got %+v, %v", report, err)
			}
		})
	}
}
