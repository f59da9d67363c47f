package settings

import (
	"strings"
	"testing"
	"time"
)

type sample struct {
	Listen struct {
		Callers string `json:"callers" validate:"required,hostname_port"`
	} `json:"listen"`
	Heartbeat time.Duration `json:"heartbeat" validate:"min=10ms,max=1m"`
	Peers     []string      `json:"peers" validate:"dive,hostname_port"`
}

func TestDecodeErrorNamesField(t *testing.T) {
	cases := []struct{ name, in, want string }{
		{"missing", `{"heartbeat":"1s"}`, "listen.callers"},
		{"unknown nested field", `{"listen":{"callers":"127.0.0.1:1","caller":"x"},"heartbeat":"1s"}`, "caller"},
		{"wrong type", `{"listen":{"callers":"127.0.0.1:1"},"heartbeat":true}`, "heartbeat"},
		{"bad duration", `{"listen":{"callers":"127.0.0.1:1"},"heartbeat":"soon"}`, "heartbeat"},
		{"too long", `{"listen":{"callers":"127.0.0.1:1"},"heartbeat":"2h"}`, "heartbeat: must satisfy max=1m"},
		{"list item", `{"listen":{"callers":"127.0.0.1:1"},"heartbeat":"1s","peers":["a"]}`, "peers[0]"},
		{"other case", `{"Listen":{"callers":"127.0.0.1:1"},"heartbeat":"1s"}`, "Listen"},
		{"not an object", `[]`, "cannot unmarshal"},
		{"cut short", `{"listen"`, "unexpected end"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s sample
			err := Decode([]byte(c.in), &s)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Fatalf("got %v, want an error naming %q", err, c.want)
			}
		})
	}
}

func TestDecodeKeepsDefaults(t *testing.T) {
	s := sample{Heartbeat: time.Second}
	if err := Decode([]byte(`{"listen":{"callers":"127.0.0.1:1"}}`), &s); err != nil {
		t.Fatal(err)
	}
	if s.Heartbeat != time.Second {
		t.Fatalf("the default heartbeat was overwritten: %v", s.Heartbeat)
	}
}

type CommonSample struct {
	ID     string `json:"id" validate:"required"`
	Listen struct {
		Admin string `json:"admin" validate:"required,hostname_port"`
	} `json:"listen"`
}

type daemonSample struct {
	CommonSample
	Extra int `json:"extra" validate:"min=1"`
}

func TestEmbeddedFieldsAreTopLevel(t *testing.T) {
	var s daemonSample
	if err := Decode([]byte(`{"id":"a","listen":{"admin":"127.0.0.1:1"},"extra":2}`), &s); err != nil {
		t.Fatal(err)
	}
	if s.ID != "a" || s.Extra != 2 {
		t.Fatalf("got %+v", s)
	}
	err := Decode([]byte(`{"id":"a","listen":{"admin":"x"},"extra":2}`), &s)
	if err == nil || !strings.Contains(err.Error(), "listen.admin") || strings.Contains(err.Error(), "CommonSample") {
		t.Fatalf("got %v, want the field's path in the file, without the embedded struct", err)
	}
}
