package ctl

import (
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/core/evacuation"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const routing = `{"schema_version":2,"kind":"routing-configurations","name":"default","spec":{"limits":{"batch":32},"future":12345678901234567890}}`

// withGlobalFlags prepends the flags that connect a command to k.
func withGlobalFlags(k *fakeKeeper, args ...string) []string {
	return append([]string{"--keeper", k.address(), "--token", testToken, "--actor", "asha"}, args...)
}

func TestApplyCreatesSkipsUnchangedAndUpdates(t *testing.T) {
	k := newFakeKeeper(t)
	run(t, routing, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitOK, "created", "w-1")
	run(t, routing, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitOK, "unchanged")
	revised := strings.Replace(routing, "32", "48", 1)
	run(t, revised, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitOK, "changed", "w-2")
	if !strings.Contains(string(k.records["routing-configurations/default"].Document), "12345678901234567890") {
		t.Fatal("a number in an unknown field lost digits")
	}
	if !slices.Contains(k.actors, "asha") {
		t.Fatal("the actor was not sent with the change")
	}
}

func TestApplyStopsAtFirstFailure(t *testing.T) {
	k := newFakeKeeper(t)
	bad := strings.NewReplacer("default", "second", "32", "-1").Replace(routing)
	third := strings.Replace(routing, "default", "third", 1)
	run(t, routing+bad+third, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitRefused, "created", "second", "spec.limits.batch")
	if len(k.records) != 1 {
		t.Fatalf("%d records were written, want 1", len(k.records))
	}
}

// Guards against overwriting another operator's change: two operators change
// the same record, and the second write must fail and show the record in force.
func TestConflictShowsCurrentRecord(t *testing.T) {
	k := newFakeKeeper(t)
	run(t, routing, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitOK)
	run(t, "", withGlobalFlags(k, "edit", "routing-configuration", "default", "--set", "spec.limits.batch=48")...).want(t, ExitOK, "changed")
	run(t, "", withGlobalFlags(k, "edit", "routing-configurations", "default", "--set", "spec.limits.batch=64", "--if-version", "1")...).
		want(t, ExitConflict, `"batch":48`, "version 2")
	run(t, routing, withGlobalFlags(k, "apply", "-f", "-", "--if-version", "1")...).want(t, ExitConflict)
	run(t, "", withGlobalFlags(k, "delete", "routing-configurations", "default", "--if-version", "1")...).want(t, ExitConflict)
	if k.version != 2 {
		t.Fatal("a write with an outdated version was accepted")
	}
}

func TestEditSetsAndRemovesFields(t *testing.T) {
	k := newFakeKeeper(t)
	withVersion := strings.Replace(routing, `"future"`, `"version":"2","future"`, 1)
	run(t, withVersion, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitOK)
	run(t, "", withGlobalFlags(k, "edit", "routing-configurations", "default",
		"--set", "spec.models=[\"a\"]", "--set", "spec.note=evening", "--set", "spec.version=3", "--unset", "spec.limits.batch")...).want(t, ExitOK)
	got := string(k.records["routing-configurations/default"].Document)
	for _, want := range []string{`"models":["a"]`, `"note":"evening"`, `"limits":{}`, `"version":"3"`} {
		if !strings.Contains(got, want) {
			t.Errorf("document lacks %s: %s", want, got)
		}
	}
	run(t, "", withGlobalFlags(k, "edit", "routing-configurations", "default")...).want(t, ExitUsage, "--set")
	run(t, "", withGlobalFlags(k, "edit", "routing-configurations", "default", "--unset", "spec.absent")...).want(t, ExitUsage, "not set")
}

func TestGetListDiffDelete(t *testing.T) {
	k := newFakeKeeper(t)
	run(t, routing, withGlobalFlags(k, "diff", "-f", "-")...).want(t, ExitDifferent, "spec.limits.batch", "apply -f")
	run(t, routing, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitOK)
	run(t, routing, withGlobalFlags(k, "diff", "-f", "-")...).want(t, ExitOK, "no difference")
	run(t, "", withGlobalFlags(k, "get", "routing-configurations", "default")...).want(t, ExitOK, "spec.limits.batch", "32", "(version)")
	got := run(t, "", withGlobalFlags(k, "get", "routing-configurations", "default", "-o", "json")...)
	got.want(t, ExitOK)
	run(t, got.stdout, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitOK, "unchanged")
	run(t, "", withGlobalFlags(k, "list")...).want(t, ExitOK, "routing-configurations", "default")
	run(t, "", withGlobalFlags(k, "list", "model-deployments", "-o", "json")...).want(t, ExitOK, "[]")
	run(t, "", withGlobalFlags(k, "delete", "routing-configurations", "default")...).want(t, ExitOK, "deleted")
	run(t, "", withGlobalFlags(k, "get", "routing-configurations", "default")...).want(t, ExitNotFound, "list")
	run(t, "", withGlobalFlags(k, "get", "routing", "default")...).want(t, ExitUsage, "model-deployments")
}

// Guards against reporting a write as failed, or sending it to another keeper,
// when the connection breaks after it was sent: the change may be in force.
func TestLostReplyReportsUnknownOutcome(t *testing.T) {
	failing, other := newFakeKeeper(t), newFakeKeeper(t)
	failing.fault = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}
	args := append([]string{"--keeper", failing.address()}, withGlobalFlags(other, "apply", "-f", "-")...)
	run(t, routing, args...).want(t, ExitUnknown, "may be in force")
	if len(other.requests) != 0 {
		t.Fatalf("the write was sent to another keeper: %v", other.requests)
	}
}

func TestUnavailableKeepers(t *testing.T) {
	k := newFakeKeeper(t)
	unreachable := refusingAddress
	args := append([]string{"--keeper", unreachable}, withGlobalFlags(k, "apply", "-f", "-")...)
	run(t, routing, args...).want(t, ExitOK, "created")
	run(t, routing, "--keeper", unreachable, "--token", testToken, "apply", "-f", "-").want(t, ExitUnavailable, "nothing was changed")
	run(t, "", "--keeper", k.address(), "--token", "wrong", "list").want(t, ExitUnauthorized, "--token")
	k.fault = func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusServiceUnavailable, problemReply{Reason: "platform_unavailable"})
	}
	run(t, routing, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitUnavailable, "platform_unavailable")
	k.fault = func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusGatewayTimeout, problemReply{Reason: "unknown", DecisionID: "w-77"})
	}
	run(t, routing, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitUnknown, "w-77")
}

// refusingAddress refuses connections: the port is reserved and no service
// listens on it.
const refusingAddress = "127.0.0.1:1"

// Guards against querying every daemon about a generation, whose id contains the
// id of its router. A keeper provides the address of that router.
func TestWhyRequestQueriesOnlyTheRouterInTheID(t *testing.T) {
	k, r1, r2 := newFakeKeeper(t), newFakeKeeper(t), newFakeKeeper(t)
	k.members = []port.Member{
		{ID: "r1", Role: port.RoleRouter, AdminAddress: r1.address()},
		{ID: "r2", Role: port.RoleRouter, AdminAddress: r2.address()},
	}
	const id = "r2.0191a7ee-5c4b-7d0a-8f3e-1c2d3e4f5a6b"
	r2.decisions["requests/"+id] = []port.DecisionRecord{{
		ID: "d-1", Verdict: "place", Reason: "least overflow", Endpoint: "runner-3", Attempt: 1,
		Candidates: []port.CandidateScore{{Endpoint: "runner-3", Score: 0.25}, {Endpoint: "runner-4", Excluded: "leaving"}},
	}}
	run(t, "", withGlobalFlags(k, "why", "request", id)...).want(t, ExitOK, "least overflow", "runner-3", "leaving", "r2")
	if len(r1.requests) != 0 {
		t.Fatalf("r1 was queried: %v", r1.requests)
	}
	run(t, "", withGlobalFlags(k, "why", "request", "r1.gone")...).want(t, ExitNotFound, "logs")
	run(t, "", withGlobalFlags(k, "why", "request", "r9.0191a7ee")...).want(t, ExitNotFound, "logs")
}

// Guards against missing decisions on a request whose id was chosen by the
// caller: any daemon may have served it, so all are queried.
func TestWhyRequestWithCallerIDQueriesAllDaemons(t *testing.T) {
	k, e1, e2 := newFakeKeeper(t), newFakeKeeper(t), newFakeKeeper(t)
	k.members = []port.Member{
		{ID: "e1", Role: port.RoleKeeper, AdminAddress: e1.address()},
		{ID: "e2", Role: port.RoleKeeper, AdminAddress: e2.address()},
	}
	e2.decisions["requests/order-417"] = []port.DecisionRecord{{ID: "d-1", Verdict: "place", Endpoint: "runner-3", Attempt: 1}}
	run(t, "", withGlobalFlags(k, "why", "request", "order-417")...).want(t, ExitOK, "runner-3", "e2")
}

func TestWhyEndpointAndConfiguration(t *testing.T) {
	k, r := newFakeKeeper(t), newFakeKeeper(t)
	k.members = []port.Member{
		{ID: "r1", Role: port.RoleRouter, AdminAddress: r.address()},
		{ID: "r2", Role: port.RoleRouter, AdminAddress: refusingAddress},
	}
	now := time.Now()
	k.decisions["endpoints/e1"] = []port.DecisionRecord{{Time: now, Verdict: "order", Reason: "load triage-3b", Fence: 12}}
	r.decisions["endpoints/e1"] = []port.DecisionRecord{{Time: now.Add(-time.Second), Verdict: "exclude", Reason: "probe failed"}}
	got := run(t, "", withGlobalFlags(k, "why", "endpoint", "e1")...)
	got.want(t, ExitOK, "load triage-3b", "12", "probe failed", "not reached", "r2")
	if strings.Index(got.stdout, "probe failed") > strings.Index(got.stdout, "load triage-3b") {
		t.Fatal("decisions are not in order of time")
	}
	run(t, routing, withGlobalFlags(k, "apply", "-f", "-")...).want(t, ExitOK)
	run(t, "", withGlobalFlags(k, "why", "configuration", "routing-configurations/default")...).want(t, ExitOK, "asha", "w-1", "valid")
	run(t, "", withGlobalFlags(k, "why", "prompt", "x")...).want(t, ExitUsage, "why request")
}

func TestInForceDrainEntry(t *testing.T) {
	k := newFakeKeeper(t)
	k.members = []port.Member{{ID: "r1", Role: port.RoleRouter, AdminAddress: k.address()}}
	run(t, "", withGlobalFlags(k, "in-force")...).want(t, ExitOK, "howrah-hall", "900 ms", "k2", "newest version 7")
	run(t, "", withGlobalFlags(k, "drain", "r1")...).want(t, ExitOK, "draining")
	run(t, "", withGlobalFlags(k, "drain", "r2")...).want(t, ExitNotFound, "in-force")
	run(t, "", withGlobalFlags(k, "drain", k.address())...).want(t, ExitOK, "draining")
	k.fault = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("model") != "triage-3b" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeJSON(w, http.StatusOK, entryReply{Addresses: []string{"10.0.0.1:7101"}, ValidForMillis: 5000})
	}
	args := []string{
		"--entry-address", k.address(), "--organisation-key", testToken,
		"entry", "--organisation", "kegsetu", "--model", "triage-3b",
	}
	run(t, "", args...).want(t, ExitOK, "10.0.0.1:7101", "5000 ms")
}

// Flags override the environment, and the environment overrides the file.
func TestConnectionSources(t *testing.T) {
	k := newFakeKeeper(t)
	file := filepath.Join(t.TempDir(), "ctl.json")
	content := `{"keepers":["` + k.address() + `"],"admin_token":"` + testToken + `"}`
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	run(t, "", "--config", file, "list").want(t, ExitOK)
	t.Setenv("DRAGONFLYCTL_TOKEN", "wrong")
	run(t, "", "--config", file, "list").want(t, ExitUnauthorized)
	run(t, "", "--config", file, "--token", testToken, "list").want(t, ExitOK)
	if err := os.WriteFile(file, []byte(`{"keeper":[]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	run(t, "", "--config", file, "list").want(t, ExitUsage, "keeper")
}

func TestCompletion(t *testing.T) {
	var kind kindArg
	var subject whySubject
	if got := kind.Complete("mod"); len(got) != 1 || got[0].Item != port.ObjectModelDeployment {
		t.Errorf("completions of kind \"mod\": %v", got)
	}
	if got := subject.Complete(""); len(got) != len(subjectPaths) {
		t.Errorf("completions of an empty subject: %v", got)
	}
}

// Guards against printing the admin token or an organisation's key in errors or
// help texts.
func TestSecretsAreNotPrinted(t *testing.T) {
	k := newFakeKeeper(t)
	const key = "organisation-secret"
	for _, args := range [][]string{
		withGlobalFlags(k, "--organisation-key", key, "get", "model-deployments", "x"),
		withGlobalFlags(k, "--organisation-key", key, "--entry-address", refusingAddress, "entry", "--organisation", "o"),
		{"--keeper", refusingAddress, "--token", testToken, "list"},
		{"--keeper", k.address(), "--token", testToken, "drain"},
		{"--token", testToken, "--help"},
	} {
		got := run(t, "", args...)
		if strings.Contains(got.stdout+got.stderr, testToken) || strings.Contains(got.stdout+got.stderr, key) {
			t.Errorf("%v prints a secret:\n%s%s", args, got.stdout, got.stderr)
		}
	}
}

func TestInvalidCommandLines(t *testing.T) {
	run(t, "").want(t, ExitUsage)
	run(t, "", "launch").want(t, ExitUsage)
	run(t, "", "get", "routing-configurations").want(t, ExitUsage)
	run(t, "", "apply").want(t, ExitUsage)
	run(t, "", "list").want(t, ExitUsage, "--keeper")
	if got := run(t, "", "--help"); got.code != ExitOK || !strings.Contains(got.stdout, "in-force") {
		t.Fatalf("%+v", got)
	}
}

// Checks that the printed hash is the one that the daemons' settings expect, and
// that tokens short enough to be guessed, or too long, are refused.
func TestHashToken(t *testing.T) {
	const token = "0123456789abcdef0123"
	run(t, token+"\n", "hash-token").want(t, ExitOK, httpserver.HashToken(token))
	run(t, "short", "hash-token").want(t, ExitUsage, "standard input")
	run(t, strings.Repeat("x", maxTokenBytes+1), "hash-token").want(t, ExitUsage)
}

// Guards against evacuations without a recorded reason and operator, and
// against evacuations that can't be cancelled.
func TestEvacuateListAndUseAgain(t *testing.T) {
	k := newFakeKeeper(t)
	run(t, "", withGlobalFlags(k, "evacuate", "howrah-hall")...).want(t, ExitUsage, "reason")
	run(t, "", withGlobalFlags(k, "evacuate", "howrah-hall", "--reason", "power work")...).want(t, ExitOK, "howrah-hall", "evacuated")
	got := string(k.records["domain-evacuations/howrah-hall"].Document)
	for _, want := range []string{`"reason":"power work"`, `"requested_by":"asha"`, `"since":"20`} {
		if !strings.Contains(got, want) {
			t.Errorf("document lacks %s: %s", want, got)
		}
	}
	run(t, "", withGlobalFlags(k, "evacuate", "howrah-hall", "--reason", "again")...).want(t, ExitConflict, "already")
	k.evacuations = []evacuation.Evacuation{{FailureDomain: "howrah-hall", Kind: "domain-evacuations", RequestedBy: "asha", Reason: "power work"}}
	run(t, "", withGlobalFlags(k, "evacuations")...).want(t, ExitOK, "howrah-hall", "asha", "power work")
	run(t, "", withGlobalFlags(k, "use-again", "howrah-hall")...).want(t, ExitOK, "used again")
	run(t, "", withGlobalFlags(k, "use-again", "howrah-hall")...).want(t, ExitNotFound, "evacuations")
}
