package httpcaller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

func TestParseCompletionReportsInvalidField(t *testing.T) {
	cases := []struct{ name, in, field string }{
		{"empty", ``, "body"},
		{"cut short", `{"model":"m"`, "body"},
		{"two documents", `{"model":"m","prompt":"p"}{}`, "body"},
		{"not an object", `[]`, "body"},
		{"not UTF-8", "{\"model\":\"m\xff\",\"prompt\":\"p\"}", "body"},
		{"no model", `{"prompt":"p"}`, "model"},
		{"long model", `{"model":"` + strings.Repeat("m", 300) + `","prompt":"p"}`, "model"},
		{"no prompt", `{"model":"m"}`, "prompt"},
		{"prompt of another type", `{"model":"m","prompt":["p"]}`, "prompt"},
		{"long prompt", `{"model":"m","prompt":"` + strings.Repeat("p", maxPromptBytes+1) + `"}`, "prompt"},
		{"negative count", `{"model":"m","prompt":"p","max_tokens":-1}`, "max_tokens"},
		{"huge count", `{"model":"m","prompt":"p","max_tokens":99999999}`, "max_tokens"},
		{"count past an int", `{"model":"m","prompt":"p","max_tokens":1e30}`, "max_tokens"},
		{"fraction", `{"model":"m","prompt":"p","max_tokens":1.5}`, "max_tokens"},
		{"stream of another type", `{"model":"m","prompt":"p","stream":"yes"}`, "stream"},
		{"long user", `{"model":"m","prompt":"p","user":"` + strings.Repeat("u", 300) + `"}`, "user"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, invalid := parseCompletion([]byte(c.in))
			if invalid == nil || invalid.field != c.field || invalid.status != http.StatusBadRequest {
				t.Fatalf("got %+v, want the field %q", invalid, c.field)
			}
		})
	}
}

// Guards against a mistyped non-idempotent mark that is treated as false: the
// request, such as a ledger entry, could run twice.
func TestInvalidHeadersAreRefused(t *testing.T) {
	for _, value := range []string{"", "True", "1", "yes"} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set(router.HeaderNonIdempotent, value)
		if _, wrong := nonIdempotent(r); wrong == nil {
			t.Errorf("mark %q was accepted", value)
		}
	}
	for _, value := range []string{"", strings.Repeat("k", maxKeyBytes+1), "a\x00b", "é"} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header[router.HeaderIdempotencyKey] = []string{value}
		if _, wrong := idempotencyKey(r); wrong == nil {
			t.Errorf("key %q was accepted", value)
		}
	}
	r := httptest.NewRequest(http.MethodPost, "/", nil)
	r.Header[router.HeaderIdempotencyKey] = []string{"a", "b"}
	if _, wrong := idempotencyKey(r); wrong == nil {
		t.Error("two keys were accepted")
	}
}

func FuzzCompletionBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","prompt":"p","max_tokens":3,"stream":true,"user":"u"}`))
	f.Add([]byte(`{"model":"m","prompt":"p","temperature":0.5}`))
	f.Add([]byte(`{"model":{},"prompt":1e999}`))
	f.Add([]byte("{\"model\":\"\xff\"}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		b, invalid := parseCompletion(raw)
		switch {
		case invalid != nil && (invalid.field == "" || invalid.detail == ""):
			t.Fatalf("%q is refused without a field or a reason", raw)
		case invalid == nil && (b.Model == "" || b.Prompt == "" || b.MaxTokens < 0):
			t.Fatalf("%q is accepted as %+v", raw, b)
		}
	})
}
