package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func cutReply(body string) func(*port.Exchange) (*port.Answer, error) {
	return func(*port.Exchange) (*port.Answer, error) {
		return &port.Answer{Status: 200, Length: 1000, Delimited: true, Body: cutBody{strings.NewReader(body)}}, nil
	}
}

// Checks, for each result of an attempt, whether the call is sent to a second
// endpoint and which answer or refusal its caller gets.
func TestCallOutcomes(t *testing.T) {
	ok := reply(200, "fine")
	cases := []struct {
		name     string
		path     string
		handler  func(*port.Exchange) (*port.Answer, error)
		arrivals int
		status   int
		outcome  outcome.Outcome
		cause    Cause
	}{
		{"answered", "/once/", ok, 1, 200, "", ""},
		{"a 500 answer to a non-idempotent call is passed on", "/once/", reply(500, "no"), 1, 500, "", ""},
		{"a 500 answer to an idempotent call is retried at another endpoint", "/safe/", sequence(reply(500, "no"), ok), 2, 200, "", ""},
		{"two 503 answers: the caller gets the endpoint's answer", "/safe/", reply(503, "no"), 2, 503, "", ""},
		{"a 404 answer is passed on", "/safe/", reply(404, "no"), 1, 404, "", ""},
		{"connection lost, idempotent: retried", "/safe/", sequence(failure(port.ErrEndpointLost), ok), 2, 200, "", ""},
		{"connection lost, not idempotent: the call may have run", "/once/", failure(port.ErrEndpointLost), 1, 0, outcome.Unknown, CauseEndpointFailed},
		{"answer to another request: the call may have run", "/once/", failure(port.ErrForeignAnswer), 1, 0, outcome.Unknown, CauseEndpointFailed},
		{"truncated answer, not idempotent", "/once/", cutReply("half"), 1, 0, outcome.Unknown, CauseEndpointFailed},
		{"truncated answer, idempotent: retried", "/safe/", sequence(cutReply("half"), ok), 2, 200, "", ""},
		{"refused: has not run, retried even if not idempotent", "/once/", sequence(failure(port.ErrRefused), ok), 2, 200, "", ""},
		{"refused by all: reported as not run", "/once/", failure(port.ErrRefused), 3, 0, outcome.NotRun, CauseEndpointFailed},
		{"not sent: has not run, retried even if not idempotent", "/once/", sequence(failure(port.ErrNotSent), ok), 2, 200, "", ""},
		{"misdirected: retried even if not idempotent", "/once/", sequence(failure(port.ErrMisdirected), ok), 2, 200, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			b.setHandlers("s", c.handler)
			got := &fakeCaller{}
			refusal := b.send(t, c.path, got)
			if n := len(b.backends.arrivals()); n != c.arrivals {
				t.Errorf("%d arrivals, want %d", n, c.arrivals)
			}
			if c.cause != "" {
				if refusal == nil || refusal.Cause != c.cause || refusal.Outcome != c.outcome || refusal.ResponseStarted {
					t.Fatalf("refused with %+v, want %s, %s", refusal, c.cause, c.outcome)
				}
				return
			}
			if refusal != nil || got.status != c.status {
				t.Fatalf("status %d, refusal %+v, want status %d", got.status, refusal, c.status)
			}
		})
	}
}

// Guards against sending more requests to an endpoint whose address answers
// with 421 because another endpoint has taken it over, even if the view still
// lists it as live.
func TestMisdirectedEndpointGetsNoMoreRequests(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", reply(200, "fine"))
	b.backends.handlers["s0"] = failure(port.ErrMisdirected)
	for range 20 {
		if refusal := b.send(t, "/once/", &fakeCaller{}); refusal != nil {
			t.Fatalf("refused: %v", refusal)
		}
		b.apply()
	}
	n := 0
	for _, id := range b.backends.arrivals() {
		if id == "s0" {
			n++
		}
	}
	if n != 1 {
		t.Fatalf("%d requests were sent to an endpoint that has gone, want only the first", n)
	}
}

// A large answer is streamed. If it is truncated, the caller's answer is
// truncated too and the call is not retried, because the caller already has its
// beginning.
func TestTruncatedLargeAnswerIsNotRetried(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", cutReply(strings.Repeat("x", maxBuffered+100)))
	got := &fakeCaller{}
	refusal := b.send(t, "/safe/", got)
	if refusal == nil || !refusal.ResponseStarted || len(b.backends.arrivals()) != 1 {
		t.Fatalf("%+v after %d arrivals, want a begun refusal after one", refusal, len(b.backends.arrivals()))
	}
	b.setHandlers("s", reply(200, strings.Repeat("y", 3*maxBuffered)))
	got = &fakeCaller{}
	if refusal := b.send(t, "/safe/", got); refusal != nil || got.body.Len() != 3*maxBuffered {
		t.Fatalf("%v, %d bytes", refusal, got.body.Len())
	}
}

// If the route's timeout passes while the endpoint works, the caller is
// informed at once and is not told that the call has not run.
func TestRouteTimeoutReportsUnknownOutcome(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", func(x *port.Exchange) (*port.Answer, error) {
		return &port.Answer{Status: 200, Length: -1, Body: endlessEmptyBody{}}, nil
	})
	refusal := b.send(t, "/brief/", &fakeCaller{})
	if refusal == nil || refusal.Cause != CauseTimeout || refusal.Outcome != outcome.Unknown {
		t.Fatalf("%+v, want a timeout of unknown outcome", refusal)
	}
}

// endlessEmptyBody never returns data. It fails once its request's context has
// ended, as a real body does, because the fake endpoints wrap it in a
// contextBody.
type endlessEmptyBody struct{}

func (endlessEmptyBody) Read([]byte) (int, error) { return 0, nil }
func (endlessEmptyBody) Close() error             { return nil }

// A failed write to the caller is not a failure of the endpoint, and the call
// is not sent to another one.
func TestDisconnectedCallerIsNotRetried(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", reply(200, "fine"))
	refusal := b.send(t, "/safe/", &fakeCaller{err: io.ErrClosedPipe})
	if refusal == nil || !refusal.ResponseStarted || len(b.backends.arrivals()) != 1 {
		t.Fatalf("%+v after %d arrivals", refusal, len(b.backends.arrivals()))
	}
}

// All endpoints of a pool lose every call, one after the other. Once their
// breakers are open, a call that must not run twice is refused with the outcome
// that it has not run and a retry time. Calls that may be repeated continue as
// trials that detect when the endpoints recover.
func TestNonIdempotentCallsAreRefusedWhileBreakersAreOpen(t *testing.T) {
	b := newHarness(t)
	b.breakers = breaker.NewSet(breaker.Options{Failures: 3, OpenFor: time.Minute, MaxOpenFor: time.Minute, MaxEndpoints: 100})
	b.setHandlers("s", failure(port.ErrEndpointLost))
	lost := 0
	for {
		refusal := b.send(t, "/once/", &fakeCaller{})
		if refusal == nil {
			t.Fatal("answered by an endpoint that loses every call")
		}
		if refusal.Outcome == outcome.NotRun {
			if refusal.Cause != CauseNoEndpoint || refusal.RetryAfter <= 0 {
				t.Fatalf("%+v, want the cause no_endpoint and a retry time", refusal)
			}
			break
		}
		if lost++; lost > 100 {
			t.Fatal("100 calls were lost and none was refused")
		}
	}
	b.setHandlers("s", reply(200, "fine"))
	for _, path := range []string{"/safe/", "/once/"} {
		if refusal := b.send(t, path, &fakeCaller{}); refusal != nil {
			t.Fatalf("%s: refused after the endpoints recovered: %+v", path, refusal)
		}
	}
}

// The request and the answer are passed on unchanged.
func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("s", reply(201, "made"))
	pass, refusal := b.Admit("H:80", "/once/a%2Fb", "AA")
	if refusal != nil {
		t.Fatal(refusal)
	}
	got := &fakeCaller{}
	req := &Request{
		ID: "r", Method: "PUT", Target: "/once/a%2Fb?q=%20&q", Host: "H:80", Header: http.Header{"X-Own": {"1", "2"}},
		Body: []byte("body"), Admission: pass,
	}
	req.Arrived = b.Clock()
	if refusal := b.Serve(context.Background(), req, got); refusal != nil {
		t.Fatal(refusal)
	}
	x := b.backends.sent[0]
	if x.Method != "PUT" || x.Target != req.Target || x.Host != "H:80" || string(x.Body) != "body" || x.Organisation != "o" || len(x.Header["X-Own"]) != 2 {
		t.Fatalf("the endpoint got %+v", x)
	}
	if got.status != 201 || got.text() != "made" || got.length != 4 || got.header.Get("X-From") != "endpoint" {
		t.Fatalf("the caller got %d %q, length %d, %v", got.status, got.text(), got.length, got.header)
	}
}

func TestAdmission(t *testing.T) {
	b := newHarness(t)
	cases := []struct {
		name, host, path, key string
		cause                 Cause
		rank                  int
	}{
		{"a key", "h", "/safe/x", "aa", "", 2},
		{"no key", "h", "/safe/x", "", CauseNoKey, 0},
		{"an unknown key", "h", "/safe/x", "bb", CauseNoKey, 0},
		{"an open route", "h", "/open/x", "", "", 0},
		{"no such path", "h", "/none/x", "aa", CauseNoRoute, 0},
		{"no such host", "other", "/safe/x", "aa", CauseNoRoute, 0},
		{"a prefix ends at its slash", "h", "/safe", "aa", CauseNoRoute, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			pass, refusal := b.Admit(c.host, c.path, c.key)
			switch {
			case c.cause != "" && (refusal == nil || refusal.Cause != c.cause):
				t.Fatalf("%+v, want %s", refusal, c.cause)
			case c.cause == "" && (refusal != nil || pass.Rank != c.rank):
				t.Fatalf("%+v, rank %d", refusal, pass.Rank)
			}
		})
	}
}

// A daemon that has just started has no routes and can't know whether a path or
// a key exists: it refuses all requests with a retry time.
func TestRefusalsAreTemporaryBeforeRoutesAreKnown(t *testing.T) {
	b := newHarness(t)
	b.index.Store(nil)
	for _, path := range []string{"/safe/x", "/none/x"} {
		if _, refusal := b.Admit("h", path, "bb"); refusal == nil || refusal.Cause != CauseNotSynced || refusal.RetryAfter == 0 {
			t.Fatalf("%s: %+v", path, refusal)
		}
	}
	if b.Ready() {
		t.Fatal("ready without routes")
	}
}

// Versions of the routes arrive in any order and some are unreadable. The
// version in force never decreases.
func TestRouteVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newHarness(unusedT())
		highest := uint64(1)
		for range rapid.IntRange(1, 10).Draw(t, "changes") {
			version := rapid.Uint64Range(1, 9).Draw(t, "version")
			r := recordOf(testTable(version))
			if rapid.IntRange(0, 4).Draw(t, "readable") == 0 {
				r.Body = []byte("{")
			} else {
				highest = max(highest, version)
			}
			b.view.mu.Lock()
			b.view.records = []port.Record{r}
			b.view.mu.Unlock()
			b.apply()
			if got := b.index.Load().Version(); got != highest {
				t.Fatalf("version %d in force, want %d", got, highest)
			}
		}
	})
}

func unusedT() *testing.T { return &testing.T{} }

// Every call fails at every endpoint. Retries stay within this daemon's equal
// share of the budget of all daemons.
func TestRetriesStayWithinSharedBudget(t *testing.T) {
	b := newHarness(t)
	b.view.members = []port.Member{
		{ID: "g", State: port.MemberLive},
		{ID: "h", State: port.MemberLive},
		{ID: "i", State: port.MemberLive},
		{ID: "j", State: port.MemberDead},
	}
	b.setHandlers("s", reply(500, "no"))
	const calls = 200
	for range calls {
		b.send(t, "/safe/", &fakeCaller{})
	}
	retries := len(b.backends.arrivals()) - calls
	o := b.options()
	if most := int(o.RetryShare*calls) + o.RetryBurst/3 + 1; retries > most || retries < most/2 {
		t.Fatalf("%d retries for %d calls at one of three daemons, want at most %d", retries, calls, most)
	}
}

// A request for a model that no runner of its route's pool serves is refused
// with that cause and with the outcome that it has not run.
func TestUnknownModelIsRefused(t *testing.T) {
	b := newHarness(t)
	for i := range 3 {
		b.setLeaving(fmt.Sprint("e", i))
	}
	refusal := b.send(t, "/stream/", &fakeCaller{})
	if refusal == nil || refusal.Cause != CauseUnknownModel || refusal.Outcome != outcome.NotRun {
		t.Fatalf("refused with %+v", refusal)
	}
}
