package httpplatform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func serve(t *testing.T, h http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return New(Options{BaseURL: server.URL, Timeout: 5 * time.Second})
}

// redirecting answers a write with a redirect to a path that answers with an
// object, so that a client which follows it would report success.
func redirecting(status int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/elsewhere" {
			answer(http.StatusOK, `{"kind":"k","name":"n","version":3,"value":{}}`)(w, r)
			return
		}
		http.Redirect(w, r, "/elsewhere", status)
	}
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func TestWriteErrors(t *testing.T) {
	const good = `{"kind":"k","name":"n","version":3,"value":{}}`
	cases := []struct {
		name string
		h    http.HandlerFunc
		want error
	}{
		{"written", answer(200, good), nil},
		{"conflict", answer(412, good), port.ErrConflict},
		{"conflict without a body", answer(412, ``), port.ErrConflict},
		{"too large", answer(413, ``), port.ErrTooLarge},
		{"over the rate", answer(429, ``), port.ErrThrottled},
		{"unavailable", answer(503, ``), port.ErrPlatformUnavailable},
		{"bad gateway", answer(502, ``), port.ErrOutcomeUnknown},
		{"internal error", answer(500, ``), port.ErrOutcomeUnknown},
		{"a redirect", redirecting(http.StatusTemporaryRedirect), port.ErrOutcomeUnknown},
		{"a redirect to be followed by GET", redirecting(http.StatusFound), port.ErrOutcomeUnknown},
		{"a truncated reply", answer(200, `{"kind":"k"`), port.ErrOutcomeUnknown},
		{"a reply about another object", answer(200, `{"kind":"k","name":"x","version":3}`), port.ErrOutcomeUnknown},
		{"the connection closes", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, port.ErrOutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := serve(t, c.h).Put(context.Background(), "k", "n", 2, json.RawMessage(`{}`))
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

func TestReadErrors(t *testing.T) {
	cases := []struct {
		name string
		h    http.HandlerFunc
		want error
	}{
		{"read", answer(200, `{"kind":"k","name":"n","version":3,"value":1}`), nil},
		{"absent", answer(404, ``), port.ErrNotFound},
		{"over the rate", answer(429, ``), port.ErrThrottled},
		{"unavailable", answer(503, ``), port.ErrPlatformUnavailable},
		{"a malformed reply", answer(200, `[]`), port.ErrPlatformUnavailable},
		{"another object", answer(200, `{"kind":"k","name":"x","version":3}`), port.ErrPlatformUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if _, err := serve(t, c.h).Get(context.Background(), "k", "n"); !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

// If nothing listens at the address, no byte was sent and nothing was written:
// the error must be "unavailable" instead of "outcome unknown".
func TestWriteToRefusedConnectionIsUnavailable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	_, err = New(Options{BaseURL: "http://" + address}).Put(context.Background(), "k", "n", 2, json.RawMessage(`{}`))
	if !errors.Is(err, port.ErrPlatformUnavailable) {
		t.Fatalf("got %v", err)
	}
}

// Guards against Go's transport retrying a write whose kept-alive connection
// closes after the platform has received the write. The second write would
// conflict with the first, and the operator's own write, which took effect,
// would be reported as a conflict with another change.
func TestTransportNeverRetriesWrite(t *testing.T) {
	var puts atomic.Int64
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			answer(200, `{"kind":"k","name":"n","version":1,"value":1}`)(w, r)
			return
		}
		puts.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	const writes = 50
	for range writes {
		// If connections were kept, the write would use that of the read.
		if _, err := c.Get(context.Background(), "k", "n"); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Put(context.Background(), "k", "n", 1, json.RawMessage(`{}`)); !errors.Is(err, port.ErrOutcomeUnknown) {
			t.Fatalf("got %v", err)
		}
	}
	if n := puts.Load(); n != writes {
		t.Fatalf("the server received %d writes, want %d", n, writes)
	}
}

func TestWriteConditionHeaders(t *testing.T) {
	var got http.Header
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header
		answer(200, `{"kind":"k","name":"n","version":3,"value":{}}`)(w, r)
	})
	for expect, header := range map[uint64]string{0: "If-None-Match", 7: "If-Match"} {
		if _, err := c.Put(context.Background(), "k", "n", expect, json.RawMessage(`{}`)); err != nil {
			t.Fatal(err)
		}
		want := map[uint64]string{0: "*", 7: `"7"`}[expect]
		if got.Get(header) != want || got.Get("Idempotency-Key") != "" {
			t.Fatalf("headers %v", got)
		}
	}
}

func TestWatchOfLostRevisionNeedsList(t *testing.T) {
	for name, h := range map[string]http.HandlerFunc{
		"too old":            answer(410, ``),
		"revision goes back": answer(200, `{"objects":[],"revision":3}`),
	} {
		t.Run(name, func(t *testing.T) {
			if _, _, err := serve(t, h).Watch(context.Background(), "k", 9, time.Second); !errors.Is(err, port.ErrRevisionGone) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// Any reply of the platform must give an error or valid objects: no panic, no
// version of zero, and no version after the revision.
func FuzzReplies(f *testing.F) {
	f.Add([]byte(`{"kind":"k","name":"n","version":3,"value":{"a":1}}`))
	f.Add([]byte(`{"objects":[{"kind":"k","name":"n","version":3,"value":1}],"revision":5}`))
	f.Add([]byte(`{"endpoints":[{"id":"e","address":"127.0.0.1:1","incarnation":2}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if o, err := decodeObject(raw, "k", "n"); err == nil && (o.Version == 0 || o.Kind != "k" || o.Name != "n") {
			t.Fatalf("accepted %+v", o)
		}
		objects, revision, err := decodeListing(raw, "k", 2)
		for _, o := range objects {
			if err == nil && (o.Version == 0 || o.Version > uint64(revision) || o.Kind != "k") {
				t.Fatalf("accepted %+v at revision %d", o, revision)
			}
		}
		if err == nil && revision < 2 {
			t.Fatalf("accepted revision %d, lower than the requested 2", revision)
		}
		hosts, err := decodeHosts(raw)
		for _, h := range hosts {
			if err == nil && (h.ID == "" || h.Address == "") {
				t.Fatalf("accepted %+v", h)
			}
		}
	})
}
