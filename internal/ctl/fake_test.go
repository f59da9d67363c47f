package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const testToken = "operators-only"

// fakeKeeper serves the admin API of a keeper from memory.
type fakeKeeper struct {
	mu      sync.Mutex
	records map[string]versionedRecord
	version uint64
	members []port.Member
	// evacuations are the evacuations in force.
	evacuations []evacuation.Evacuation
	// decisions maps a path below /admin/v1/explain/ to the decisions in the reply.
	decisions map[string][]port.DecisionRecord
	// fault handles authorised requests instead, if it is set.
	fault    http.HandlerFunc
	requests []string
	actors   []string
	server   *httptest.Server
}

func newFakeKeeper(t *testing.T) *fakeKeeper {
	t.Helper()
	k := &fakeKeeper{records: map[string]versionedRecord{}, decisions: map[string][]port.DecisionRecord{}}
	k.server = httptest.NewServer(k)
	t.Cleanup(k.server.Close)
	return k
}

func (k *fakeKeeper) address() string { return k.server.Listener.Addr().String() }

func (k *fakeKeeper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.requests = append(k.requests, r.Method+" "+r.URL.Path)
	k.actors = append(k.actors, r.Header.Get("From"))
	if r.Header.Get("Authorization") != "Bearer "+testToken {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	if k.fault != nil {
		k.fault(w, r)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/admin/v1/")
	parts := strings.Split(path, "/")
	switch {
	case path == "members":
		writeJSON(w, http.StatusOK, memberList{k.members})
	case path == "evacuations":
		writeJSON(w, http.StatusOK, evacuationList{k.evacuations})
	case path == "drain":
		w.WriteHeader(http.StatusAccepted)
	case path == "in-force":
		io.WriteString(w, `{"version":7,"records":2,"platform_age_ms":12,"hosts":[{"id":"r1","role":"router","failure_domain":"howrah-hall","state":"live","version":7,"current":true,"age_ms":900,"heard_age_ms":-1}],"unanswered_keepers":["k2"]}`)
	case parts[0] == "explain":
		writeJSON(w, http.StatusOK, map[string]any{"decisions": k.decisions[strings.TrimPrefix(path, "explain/")]})
	case parts[0] == "audit":
		k.audit(w, parts[1]+"/"+parts[2])
	case len(parts) == 1:
		k.list(w, parts[0])
	default:
		k.record(w, r, path)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (k *fakeKeeper) audit(w http.ResponseWriter, key string) {
	if _, found := k.records[key]; !found {
		writeJSON(w, http.StatusNotFound, problemReply{Reason: "absent"})
		return
	}
	io.WriteString(w, `{"version":3,"deleted":false,"accepted":[{"time":"2026-12-01T10:00:00Z","actor":"asha","action":"create","write_id":"w-1","based_on":0,"reason":"valid"}],"refused_here":[]}`)
}

func (k *fakeKeeper) list(w http.ResponseWriter, kind string) {
	out := recordList{Records: []versionedRecord{}}
	for key, r := range k.records {
		if strings.HasPrefix(key, kind+"/") {
			out.Records = append(out.Records, r)
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (k *fakeKeeper) record(w http.ResponseWriter, r *http.Request, key string) {
	current, found := k.records[key]
	if r.Method == http.MethodGet {
		if !found {
			writeJSON(w, http.StatusNotFound, problemReply{Detail: "no such record", Reason: "absent"})
			return
		}
		w.Header().Set("ETag", etag(current.Version))
		_, _ = w.Write(current.Document)
		return
	}
	matches := r.Header.Get("If-None-Match") == "*" && !found || found && r.Header.Get("If-Match") == etag(current.Version)
	if !matches {
		writeJSON(w, http.StatusPreconditionFailed, problemReply{Reason: "conflict", Winner: &current})
		return
	}
	k.change(w, r, key)
}

func (k *fakeKeeper) change(w http.ResponseWriter, r *http.Request, key string) {
	body, _ := io.ReadAll(r.Body)
	if bytes.Contains(body, []byte(`"batch":-1`)) {
		writeJSON(w, http.StatusUnprocessableEntity, problemReply{Field: "spec.limits.batch", Detail: "must be positive", Reason: "invalid"})
		return
	}
	k.version++
	v := versionedRecord{Version: k.version, Document: body}
	if r.Method == http.MethodDelete {
		delete(k.records, key)
		v = versionedRecord{Version: k.version, Deleted: true}
	} else {
		k.records[key] = v
	}
	writeJSON(w, http.StatusOK, writeResult{versionedRecord: v, WriteID: "w-" + fmt.Sprint(k.version)})
}

func etag(v uint64) string { return fmt.Sprintf("%q", fmt.Sprint(v)) }

// commandResult is the outcome of one command line.
type commandResult struct {
	code           int
	stdout, stderr string
}

// run executes one command line with the given standard input.
func run(t *testing.T, stdin string, args ...string) commandResult {
	t.Helper()
	var out, errs bytes.Buffer
	code := Run(context.Background(), args, strings.NewReader(stdin), &out, &errs)
	return commandResult{code, out.String(), errs.String()}
}

// want checks the exit code, that the output contains the texts, and that an
// error comes with advice.
func (r commandResult) want(t *testing.T, code int, texts ...string) {
	t.Helper()
	if r.code != code {
		t.Fatalf("exit code %d, want %d\n%s%s", r.code, code, r.stdout, r.stderr)
	}
	for _, text := range texts {
		if !strings.Contains(r.stdout+r.stderr, text) {
			t.Fatalf("output lacks %q:\n%s%s", text, r.stdout, r.stderr)
		}
	}
	if code != ExitOK && !strings.Contains(r.stderr, "next:") {
		t.Fatalf("the error output contains no advice: %s", r.stderr)
	}
}
