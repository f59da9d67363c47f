package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// unlimitedOptions returns options with rate limits that no test reaches and
// without host lag.
func unlimitedOptions() Options {
	o := DefaultOptions()
	o.WritesPerSecond = 1e6
	o.ReadsPerSecond = 1e6
	o.HostLag = 0
	return o
}

func serve(t *testing.T, o Options) (*Platform, *httptest.Server) {
	t.Helper()
	p := New(o)
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	return p, server
}

// call returns the status and body, or status 0 when the connection failed.
func call(method, url, header, body string) (int, []byte) {
	r, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	if name, value, ok := strings.Cut(header, ": "); ok {
		r.Header.Set(name, value)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, raw
}

func TestPutConditions(t *testing.T) {
	_, server := serve(t, unlimitedOptions())
	url := server.URL + "/v1/objects/leases/a"
	steps := []struct {
		name, header, body string
		status             int
		version            uint64
	}{
		{"no condition", "", `1`, http.StatusPreconditionRequired, 0},
		{"update a missing object", `If-Match: "3"`, `1`, http.StatusPreconditionFailed, 0},
		{"malformed version", `If-Match: x`, `1`, http.StatusBadRequest, 0},
		{"not JSON", `If-None-Match: *`, `{`, http.StatusBadRequest, 0},
		{"create", `If-None-Match: *`, `{"a":1}`, http.StatusOK, 1},
		{"create an existing object", `If-None-Match: *`, `{"a":2}`, http.StatusPreconditionFailed, 1},
		{"update", `If-Match: "1"`, `{"a":2}`, http.StatusOK, 2},
		{"update an old version", `If-Match: "1"`, `{"a":3}`, http.StatusPreconditionFailed, 2},
		{"too large", `If-Match: "2"`, `"` + strings.Repeat("x", MaxValueBytes) + `"`, http.StatusRequestEntityTooLarge, 0},
	}
	for _, step := range steps {
		status, raw := call(http.MethodPut, url, step.header, step.body)
		if status != step.status {
			t.Fatalf("%s: status %d, want %d", step.name, status, step.status)
		}
		if step.version == 0 {
			continue
		}
		var o port.Object
		if err := json.Unmarshal(raw, &o); err != nil || o.Version != step.version {
			t.Fatalf("%s: version %d (%v), want %d", step.name, o.Version, err, step.version)
		}
	}
}

// The connection of a write closes without a response, so the writer can't know
// whether the write took effect. It did, and the next read must return it.
func TestLostReplyKeepsTheWrite(t *testing.T) {
	p, server := serve(t, unlimitedOptions())
	p.faults.Set(Faults{LoseReplies: 1})
	url := server.URL + "/v1/objects/claims/0"
	if status, _ := call(http.MethodPut, url, "If-None-Match: *", `{"n":1}`); status != 0 {
		t.Fatalf("status %d, want a closed connection", status)
	}
	status, raw := call(http.MethodGet, url, "", "")
	if status != http.StatusOK || !bytes.Contains(raw, []byte(`{"n":1}`)) {
		t.Fatalf("the next read doesn't return the write: status %d, body %s", status, raw)
	}
	if status, _ := call(http.MethodPut, url, `If-Match: "1"`, `{"n":2}`); status != http.StatusOK {
		t.Fatalf("a second write lost its response too, or failed: status %d", status)
	}
}

func TestDownRefusesAndEndsWatches(t *testing.T) {
	p, server := serve(t, unlimitedOptions())
	statuses := make(chan int, 1)
	go func() {
		status, _ := call(http.MethodGet, server.URL+"/v1/watch/leases?after=0&wait=30s", "", "")
		statuses <- status
	}()
	eventually.True(t, "a waiting watch", func() bool { return p.Stats().WaitingWatches == 1 })
	p.faults.Set(Faults{Down: true})
	if status := <-statuses; status != http.StatusServiceUnavailable {
		t.Fatalf("watch ended with status %d", status)
	}
	status, _ := call(http.MethodPut, server.URL+"/v1/objects/leases/a", "If-None-Match: *", `1`)
	if status != http.StatusServiceUnavailable {
		t.Fatalf("write while the platform is down: status %d", status)
	}
	p.faults.Set(Faults{})
	if status, _ = call(http.MethodGet, server.URL+"/v1/objects/leases/a", "", ""); status != http.StatusNotFound {
		t.Fatalf("a write took effect while the platform was down: read has status %d", status)
	}
}

func TestRateLimit(t *testing.T) {
	o := unlimitedOptions()
	o.WritesPerSecond = 0.001
	p, server := serve(t, o)
	first, _ := call(http.MethodPut, server.URL+"/v1/objects/leases/a", "If-None-Match: *", `1`)
	second, _ := call(http.MethodPut, server.URL+"/v1/objects/leases/b", "If-None-Match: *", `1`)
	if first != http.StatusOK || second != http.StatusTooManyRequests {
		t.Fatalf("writes have status %d and %d", first, second)
	}
	if got := p.Stats(); got.Throttled != 1 || got.Writes != 2 {
		t.Fatalf("stats %+v", got)
	}
}

func TestWatchWakesOnItsKindOnly(t *testing.T) {
	p, server := serve(t, unlimitedOptions())
	answers := make(chan listing, 1)
	go func() {
		_, raw := call(http.MethodGet, server.URL+"/v1/watch/leases?after=0&wait=30s", "", "")
		var l listing
		_ = json.Unmarshal(raw, &l)
		answers <- l
	}()
	eventually.True(t, "a waiting watch", func() bool { return p.Stats().WaitingWatches == 1 })
	p.store.put("claims", "x", 0, json.RawMessage(`1`))
	p.store.put("leases", "y", 0, json.RawMessage(`2`))
	got := <-answers
	if len(got.Objects) != 1 || got.Objects[0].Name != "y" || got.Revision != 2 {
		t.Fatalf("watch of leases returned %+v", got)
	}
}

func TestWatchFromOldOrFutureRevisionIsRefused(t *testing.T) {
	o := unlimitedOptions()
	o.History = 2
	p, server := serve(t, o)
	for i := range 4 {
		p.store.put("leases", fmt.Sprint(i), 0, json.RawMessage(`1`))
	}
	for after, want := range map[int]int{1: http.StatusGone, 2: http.StatusOK, 4: http.StatusOK, 5: http.StatusGone} {
		status, _ := call(http.MethodGet, fmt.Sprintf("%s/v1/watch/leases?after=%d&wait=1ms", server.URL, after), "", "")
		if status != want {
			t.Errorf("after %d: status %d, want %d", after, status, want)
		}
	}
}

func TestHostListIsDelayed(t *testing.T) {
	h := hosts{lag: time.Second}
	start := time.Unix(100, 0)
	list := func(id string) HostList { return HostList{Endpoints: []port.Endpoint{{ID: id}}} }
	h.set(start, list("a"))
	h.set(start.Add(500*time.Millisecond), list("b"))
	cases := []struct {
		after time.Duration
		want  string
	}{{0, ""}, {999 * time.Millisecond, ""}, {time.Second, "a"}, {1499 * time.Millisecond, "a"}, {1500 * time.Millisecond, "b"}, {time.Hour, "b"}}
	for _, c := range cases {
		got := h.visible(start.Add(c.after)).Endpoints
		if c.want == "" && len(got) == 0 {
			continue
		}
		if len(got) != 1 || got[0].ID != c.want {
			t.Errorf("host list after %v: %v, want %q", c.after, got, c.want)
		}
	}
}

func TestUnknownFaultIsRefused(t *testing.T) {
	_, server := serve(t, unlimitedOptions())
	status, _ := call(http.MethodPut, server.URL+"/standin/faults", "", `{"dwon":true}`)
	if status != http.StatusBadRequest {
		t.Fatalf("status %d", status)
	}
}

// Compares the store with a map: a write takes effect if and only if it expects
// the current version, and versions increase across all objects.
func TestStoreAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		oracle := map[objectKey]port.Object{}
		var newest uint64
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				key := drawKey(t)
				expect := rapid.Uint64Range(0, newest).Draw(t, "expected version")
				value := json.RawMessage(fmt.Sprint(rapid.Int().Draw(t, "value")))
				got, ok := s.put(key.kind, key.name, expect, value)
				if ok != (oracle[key].Version == expect) {
					t.Fatalf("put %v expecting version %d: took effect %v, stored version %d", key, expect, ok, oracle[key].Version)
				}
				if !ok {
					return
				}
				if got.Version <= newest {
					t.Fatalf("version %d follows version %d", got.Version, newest)
				}
				newest = got.Version
				oracle[key] = got
			},
			"watch": func(t *rapid.T) {
				kind := drawKey(t).kind
				after := rapid.Uint64Range(0, newest).Draw(t, "after revision")
				got, revision, _ := s.changedAfter(kind, after)
				want := 0
				for key, o := range oracle {
					if key.kind == kind && o.Version > after {
						want++
					}
				}
				if len(got) != want || revision != newest {
					t.Fatalf("%d changed objects at revision %d, want %d at revision %d", len(got), revision, want, newest)
				}
			},
		})
	})
}

func drawKey(t *rapid.T) objectKey {
	return objectKey{
		kind: rapid.SampledFrom([]string{"leases", "claims"}).Draw(t, "kind"),
		name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"),
	}
}
