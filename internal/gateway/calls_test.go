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

// What an endpoint makes of a call, and what may follow from it: whether the
// call goes to a second endpoint, and what the caller is told.
func TestCalls(t *testing.T) {
	ok := reply(200, "fine")
	cases := []struct {
		name     string
		path     string
		script   func(*port.Exchange) (*port.Answer, error)
		arrivals int
		status   int
		outcome  outcome.Outcome
		cause    Cause
	}{
		{"answered", "/once/", ok, 1, 200, "", ""},
		{"an endpoint's own refusal of what may not be repeated is passed on", "/once/", reply(500, "no"), 1, 500, "", ""},
		{"a failure of what may be repeated goes elsewhere", "/safe/", inTurn(reply(500, "no"), ok), 2, 200, "", ""},
		{"two failures: the caller gets the endpoint's own", "/safe/", reply(503, "no"), 2, 503, "", ""},
		{"an error of the caller's own is passed on", "/safe/", reply(404, "no"), 1, 404, "", ""},
		{"lost, may be repeated", "/safe/", inTurn(failure(port.ErrEndpointLost), ok), 2, 200, "", ""},
		{"lost, may not be repeated: it may have run", "/once/", failure(port.ErrEndpointLost), 1, 0, outcome.Unknown, CauseEndpointFailed},
		{"another request's answer: ours may have run", "/once/", failure(port.ErrForeignAnswer), 1, 0, outcome.Unknown, CauseEndpointFailed},
		{"cut in the answer, may not be repeated", "/once/", cutReply("half"), 1, 0, outcome.Unknown, CauseEndpointFailed},
		{"cut in the answer, may be repeated", "/safe/", inTurn(cutReply("half"), ok), 2, 200, "", ""},
		{"full: nothing has run, so even what runs once goes elsewhere", "/once/", inTurn(failure(port.ErrRefused), ok), 2, 200, "", ""},
		{"all full: not run, and said so", "/once/", failure(port.ErrRefused), 3, 0, outcome.NotRun, CauseEndpointFailed},
		{"not reached: nothing has run", "/once/", inTurn(failure(port.ErrNotSent), ok), 2, 200, "", ""},
		{"another runner has the address", "/once/", inTurn(failure(port.ErrMisdirected), ok), 2, 200, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.everywhere("s", c.script)
			got := &caller{}
			refusal := b.ask(t, c.path, got)
			if n := len(b.world.arrivals()); n != c.arrivals {
				t.Errorf("%d arrivals, want %d", n, c.arrivals)
			}
			if c.cause != "" {
				if refusal == nil || refusal.Cause != c.cause || refusal.Outcome != c.outcome || refusal.Begun {
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

// An endpoint answers with 421 at an address that was another's. The one that
// was meant is gone: no list brings it back, also where it still names it.
func TestMisdirectedEndpointIsGone(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", reply(200, "fine"))
	b.world.on["s0"] = failure(port.ErrMisdirected)
	for range 20 {
		if refusal := b.ask(t, "/once/", &caller{}); refusal != nil {
			t.Fatalf("refused: %v", refusal)
		}
		b.apply()
	}
	n := 0
	for _, id := range b.world.arrivals() {
		if id == "s0" {
			n++
		}
	}
	if n != 1 {
		t.Fatalf("%d requests went to an endpoint that is gone, want the first one only", n)
	}
}

// A large answer streams through. Cut in the middle it is cut for the caller
// too, and not sent again: the caller has its beginning.
func TestLargeAnswerThatBreaksOffIsNotRepeated(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", cutReply(strings.Repeat("x", maxBuffered+100)))
	got := &caller{}
	refusal := b.ask(t, "/safe/", got)
	if refusal == nil || !refusal.Begun || len(b.world.arrivals()) != 1 {
		t.Fatalf("%+v after %d arrivals, want a begun refusal after one", refusal, len(b.world.arrivals()))
	}
	b.everywhere("s", reply(200, strings.Repeat("y", 3*maxBuffered)))
	got = &caller{}
	if refusal := b.ask(t, "/safe/", got); refusal != nil || got.body.Len() != 3*maxBuffered {
		t.Fatalf("%v, %d bytes", refusal, got.body.Len())
	}
}

// The route's time is over while the endpoint works: the caller hears so at
// once, and not that the call has not run.
func TestRouteTimeoutIsAnswered(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", func(x *port.Exchange) (*port.Answer, error) {
		return &port.Answer{Status: 200, Length: -1, Body: silentBody{}}, nil
	})
	refusal := b.ask(t, "/brief/", &caller{})
	if refusal == nil || refusal.Cause != CauseTimeout || refusal.Outcome != outcome.Unknown {
		t.Fatalf("%+v, want a timeout of unknown outcome", refusal)
	}
}

// silentBody fails once its request is over, as a real one does.
type silentBody struct{}

func (silentBody) Read([]byte) (int, error) { return 0, nil }
func (silentBody) Close() error             { return nil }

// The caller's answer can't be written any more: that is no endpoint's fault
// and nobody is asked again.
func TestCallerThatLeavesIsNotServedTwice(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", reply(200, "fine"))
	refusal := b.ask(t, "/safe/", &caller{err: io.ErrClosedPipe})
	if refusal == nil || !refusal.Begun || len(b.world.arrivals()) != 1 {
		t.Fatalf("%+v after %d arrivals", refusal, len(b.world.arrivals()))
	}
}

// Every endpoint of a pool loses whatever it is sent, one call after another.
// A call that may run once at most is soon not given away any more: its caller
// hears that it has not run, and when to come back. Calls that may be repeated
// go on as the trials that find the endpoints again.
func TestLosingEndpointsGetNoMoreOfWhatRunsOnce(t *testing.T) {
	b := newBench(t)
	b.breakers = breaker.NewSet(breaker.Options{Failures: 3, OpenFor: time.Minute, MaxOpenFor: time.Minute, MaxEndpoints: 100})
	b.everywhere("s", failure(port.ErrEndpointLost))
	lost := 0
	for {
		refusal := b.ask(t, "/once/", &caller{})
		if refusal == nil {
			t.Fatal("answered by an endpoint that loses everything")
		}
		if refusal.Outcome == outcome.NotRun {
			if refusal.Cause != CauseNoEndpoint || refusal.RetryAfter <= 0 {
				t.Fatalf("%+v, want a refusal that says when to come back", refusal)
			}
			break
		}
		if lost++; lost > 100 {
			t.Fatal("100 calls lost one after another")
		}
	}
	b.everywhere("s", reply(200, "fine"))
	for _, path := range []string{"/safe/", "/once/"} {
		if refusal := b.ask(t, path, &caller{}); refusal != nil {
			t.Fatalf("%s after the endpoints came back: %+v", path, refusal)
		}
	}
}

// What the caller sent and what the endpoint answered pass unchanged.
func TestNothingIsChangedOnTheWay(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", reply(201, "made"))
	pass, refusal := b.Admit("H:80", "/once/a%2Fb", "AA")
	if refusal != nil {
		t.Fatal(refusal)
	}
	got := &caller{}
	req := &Request{
		ID: "r", Method: "PUT", Target: "/once/a%2Fb?q=%20&q", Host: "H:80", Header: http.Header{"X-Own": {"1", "2"}},
		Body: []byte("body"), Pass: pass,
	}
	req.Arrived = b.Clock()
	if refusal := b.Serve(context.Background(), req, got); refusal != nil {
		t.Fatal(refusal)
	}
	x := b.world.sent[0]
	if x.Method != "PUT" || x.Target != req.Target || x.Host != "H:80" || string(x.Body) != "body" || x.Organisation != "o" || len(x.Header["X-Own"]) != 2 {
		t.Fatalf("the endpoint got %+v", x)
	}
	if got.status != 201 || got.text() != "made" || got.length != 4 || got.header.Get("X-From") != "endpoint" {
		t.Fatalf("the caller got %d %q, length %d, %v", got.status, got.text(), got.length, got.header)
	}
}

func TestAdmission(t *testing.T) {
	b := newBench(t)
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

// A daemon that has just started knows no routes. Whether a path or a key
// exists it can't say: it refuses all for now, and none for good.
func TestNothingIsDeniedBeforeTheRoutesAreKnown(t *testing.T) {
	b := newBench(t)
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

// Versions of the routes arrive in any order, some unreadable: the one in force
// never goes back.
func TestRoutesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(nopT())
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

func nopT() *testing.T { return &testing.T{} }

// Every call fails everywhere. Retries stay within the budget that all daemons
// share, of which this one has its even part.
func TestRetriesKeepToTheSharedBudget(t *testing.T) {
	b := newBench(t)
	b.view.members = []port.Member{
		{ID: "g", State: port.MemberLive},
		{ID: "h", State: port.MemberLive},
		{ID: "i", State: port.MemberLive},
		{ID: "j", State: port.MemberDead},
	}
	b.everywhere("s", reply(500, "no"))
	const calls = 200
	for range calls {
		b.ask(t, "/safe/", &caller{})
	}
	retries := len(b.world.arrivals()) - calls
	o := b.options()
	if most := int(o.RetryShare*calls) + o.RetryBurst/3 + 1; retries > most || retries < most/2 {
		t.Fatalf("%d retries for %d calls at one of three daemons, want at most %d", retries, calls, most)
	}
}

// A request names a model that no runner of its route's pool serves: it is told
// so, and that it has not run.
func TestUnknownModelIsSaid(t *testing.T) {
	b := newBench(t)
	for i := range 3 {
		b.leave(fmt.Sprint("e", i))
	}
	refusal := b.ask(t, "/stream/", &caller{})
	if refusal == nil || refusal.Cause != CauseUnknownModel || refusal.Outcome != outcome.NotRun {
		t.Fatalf("refused with %+v", refusal)
	}
}
