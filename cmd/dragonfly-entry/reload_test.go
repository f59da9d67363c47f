package main

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
)

// settingsJSON returns a settings file with every required field, after change
// has modified it.
func settingsJSON(t *testing.T, change func(map[string]any)) []byte {
	t.Helper()
	m := map[string]any{
		"id": "e", "host": "127.0.0.1", "failure_domain": "d",
		"admin_token_sha256": strings.Repeat("0", 64),
		"listen":             map[string]any{"callers": "127.0.0.1:1", "admin": "127.0.0.1:2", "peers": "127.0.0.1:3"},
		"directory":          "127.0.0.1:4", "readiness": "127.0.0.1:5", "metrics": "127.0.0.1:6", "store": "127.0.0.1:7",
	}
	change(m)
	raw, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func decodeSettings(t *testing.T, raw []byte) *entrySettings {
	t.Helper()
	s := defaults()
	if err := settings.Decode(raw, &s); err != nil {
		t.Fatal(err)
	}
	return &s
}

// Guards against a reload that ignores changeable settings, doesn't log that other
// settings need a restart, or applies parts of an invalid file.
func TestReload(t *testing.T) {
	var out bytes.Buffer
	a := assemble(decodeSettings(t, settingsJSON(t, func(map[string]any) {})), jsonlog.New(&out, name, "e", "info"), gometrics.NewRegistry())
	cases := []struct {
		name  string
		raw   []byte
		want  string
		slack float64
	}{
		{"seeds and budget", settingsJSON(t, func(m map[string]any) {
			m["keepers"] = []string{"127.0.0.9:9"}
			m["retry_slack"] = 7
		}), `"needs_restart":false`, 7},
		{"a wrong field", settingsJSON(t, func(m map[string]any) { m["retry_ratio"] = 2 }), "retry_ratio", 7},
		{"no JSON", []byte("{"), "reload_refused", 7},
		{"a listener", settingsJSON(t, func(m map[string]any) { m["directory"] = "127.0.0.1:44" }), `"needs_restart":true`, defaults().RetrySlack},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			out.Reset()
			a.reload(c.raw, nil)
			if !strings.Contains(out.String(), c.want) {
				t.Fatalf("log %q lacks %q", out.String(), c.want)
			}
			if a.settings.RetrySlack != c.slack {
				t.Fatalf("retry_slack %v in force, want %v", a.settings.RetrySlack, c.slack)
			}
		})
	}
}
