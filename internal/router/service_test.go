package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func newBody(s string) io.Reader { return bytes.NewReader([]byte(s)) }

func failing(err error) func() (*ServiceReply, error) {
	return func() (*ServiceReply, error) { return nil, err }
}

func statusReply(status int) func() (*ServiceReply, error) {
	return func() (*ServiceReply, error) {
		return &ServiceReply{Status: status, Header: http.Header{}, Rest: io.NopCloser(newBody(""))}, nil
	}
}

// cut is a body that breaks off.
type cut struct{ sent bool }

func (c *cut) Read(p []byte) (int, error) {
	if c.sent {
		return 0, io.ErrUnexpectedEOF
	}
	c.sent = true
	return copy(p, "half"), nil
}

func serviceBench() *bench {
	return newBench(testOptions("r1"), serviceEndpoint("s1"), serviceEndpoint("s2"))
}

func (b *bench) call(method, key string, once bool) (*ServiceReply, *Refusal) {
	return b.CallService(context.Background(), &ServiceRequest{
		RequestID: b.NewRequestID(), Organisation: "kegsetu", Service: "depot", Method: method, Path: "/ledger",
		Body: []byte("keg 7"), IdempotencyKey: key, NonIdempotent: once,
	})
}

// both gives both endpoints the same script.
func (b *bench) both(f func() (*ServiceReply, error)) {
	b.services.reply["s1"], b.services.reply["s2"] = f, f
}

// A lookup is retried at the other endpoint, whatever way the first one fails;
// the caller sees one whole reply.
func TestIdempotentCallsAreRetriedElsewhere(t *testing.T) {
	cutReply := func() (*ServiceReply, error) {
		return &ServiceReply{Status: http.StatusOK, Header: http.Header{}, Rest: io.NopCloser(&cut{})}, nil
	}
	scripts := map[string]func() (*ServiceReply, error){
		"not sent": failing(port.ErrNotSent), "lost": failing(port.ErrEndpointLost),
		"unavailable": statusReply(http.StatusServiceUnavailable), "cut short": cutReply,
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			b := serviceBench()
			failed := false
			b.both(func() (*ServiceReply, error) {
				if !failed {
					failed = true
					return script()
				}
				return okReply("whole")()
			})
			reply, refusal := b.call(http.MethodGet, "", false)
			if refusal != nil || string(reply.Body) != "whole" {
				t.Fatalf("got %+v, %v", reply, refusal)
			}
			if b.services.count() != 2 || b.services.calls[0] == b.services.calls[1] {
				t.Fatalf("calls %v", b.services.calls)
			}
		})
	}
}

// A ledger entry was sent and its reply lost: unknown, and one call only. One
// that never left may go to the other endpoint.
func TestCallsThatRunOnceAreNotRepeated(t *testing.T) {
	b := serviceBench()
	b.both(failing(port.ErrEndpointLost))
	_, refusal := b.call(http.MethodPost, "", true)
	if refusal == nil || refusal.Outcome != outcome.Unknown || b.services.count() != 1 {
		t.Fatalf("got %+v after %d calls", refusal, b.services.count())
	}
	b = serviceBench()
	b.both(failing(port.ErrNotSent))
	_, refusal = b.call(http.MethodPost, "", true)
	if refusal == nil || refusal.Outcome != outcome.NotRun || b.services.count() != 2 {
		t.Fatalf("got %+v after %d calls", refusal, b.services.count())
	}
	// A method that is not idempotent by itself needs no mark.
	b = serviceBench()
	b.both(failing(port.ErrEndpointLost))
	if _, refusal = b.call(http.MethodPost, "", false); refusal == nil || b.services.count() != 1 {
		t.Fatalf("got %+v after %d calls", refusal, b.services.count())
	}
}

// The retry budget is spent: a sick service is not hit by more retries than
// its share.
func TestRetriesAreBounded(t *testing.T) {
	b := serviceBench()
	b.both(failing(port.ErrEndpointLost))
	const calls = 200
	for range calls {
		if _, refusal := b.call(http.MethodGet, "", false); refusal == nil {
			t.Fatal("a reply from nowhere")
		}
	}
	most := calls + b.Router.o.RetryBurst + int(b.Router.o.RetryShare*calls) + 1
	if got := b.services.count(); got > most {
		t.Fatalf("%d calls reached the service, want at most %d", got, most)
	}
}

// A retry with the same key, at the same router and at another one, while the
// claims are shared: one run. The same router gives the stored reply; another
// tells what became of the first request.
func TestKeyedCallRunsOnceAcrossRouters(t *testing.T) {
	first, second := serviceBench(), serviceBench()
	second.Ports.Claimer = first.claimer
	first.both(okReply("entered"))
	second.both(okReply("entered"))
	reply, refusal := first.call(http.MethodPost, "k", true)
	if refusal != nil || string(reply.Body) != "entered" || reply.Replayed {
		t.Fatalf("got %+v, %v", reply, refusal)
	}
	reply, refusal = first.call(http.MethodPost, "k", true)
	if refusal != nil || string(reply.Body) != "entered" || !reply.Replayed {
		t.Fatalf("again at the same router: got %+v, %v", reply, refusal)
	}
	_, refusal = second.call(http.MethodPost, "k", true)
	if refusal == nil || refusal.Cause != CauseDuplicateKey || refusal.Outcome != outcome.Done {
		t.Fatalf("at another router: got %+v", refusal)
	}
	for _, d := range second.sink.All() {
		if d.Verdict == verdictFinish && d.Outcome != string(outcome.NotRun) {
			t.Fatalf("the duplicate itself is recorded as %s", d.Outcome)
		}
	}
	if n := first.services.count() + second.services.count(); n != 1 {
		t.Fatalf("%d runs", n)
	}
}

// The router that held the key died after its claim. Nobody can tell whether
// it dispatched, so the key is not run again and the caller hears unknown.
func TestKeyOfADeadRouterIsUnknown(t *testing.T) {
	b := serviceBench()
	b.both(okReply("x"))
	key := newClaimKey("kegsetu", "k")
	b.claimer.Held[key.hash] = port.ClaimState{KeyHash: key.hash, RequestID: "r9.gone", Outcome: port.ClaimedOnly}
	_, refusal := b.call(http.MethodPost, "k", true)
	if refusal == nil || refusal.Cause != CauseDuplicateKey || refusal.Outcome != outcome.Unknown || b.services.count() != 0 {
		t.Fatalf("got %+v after %d calls", refusal, b.services.count())
	}
}

// The platform is down: nothing is dispatched, and not_run is true. Once it is
// back the same key works.
func TestNoClaimNoDispatch(t *testing.T) {
	b := serviceBench()
	b.both(okReply("x"))
	b.claimer.Down = true
	_, refusal := b.call(http.MethodPost, "k", true)
	if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.RetryAfter == 0 || b.services.count() != 0 {
		t.Fatalf("got %+v after %d calls", refusal, b.services.count())
	}
	b.claimer.Down = false
	if _, refusal = b.call(http.MethodPost, "k", true); refusal != nil {
		t.Fatalf("once it is back: %v", refusal)
	}
}

// A call that never left frees its key, so that the caller may try again.
func TestNotRunFreesTheKey(t *testing.T) {
	b := serviceBench()
	b.both(failing(port.ErrNotSent))
	if _, refusal := b.call(http.MethodPost, "k", true); refusal == nil || refusal.Outcome != outcome.NotRun {
		t.Fatalf("got %+v", refusal)
	}
	b.both(okReply("x"))
	if _, refusal := b.call(http.MethodPost, "k", true); refusal != nil {
		t.Fatalf("again: %v", refusal)
	}
	if b.claimer.Settled[0].Outcome != port.ClaimNotRun || b.claimer.Settled[1].Outcome != port.ClaimDone {
		t.Fatalf("settled %+v", b.claimer.Settled)
	}
}

// A key that is used for another call would give its caller the wrong reply.
func TestKeyOfAnotherCallIsRefused(t *testing.T) {
	b := serviceBench()
	b.both(okReply("x"))
	if _, refusal := b.call(http.MethodPost, "k", true); refusal != nil {
		t.Fatal(refusal)
	}
	_, refusal := b.CallService(context.Background(), &ServiceRequest{
		RequestID: b.NewRequestID(), Organisation: "kegsetu", Service: "depot", Method: http.MethodPost,
		Path: "/ledger", Body: []byte("keg 8"), IdempotencyKey: "k", NonIdempotent: true,
	})
	if refusal == nil || refusal.Cause != CauseKeyReused {
		t.Fatalf("got %+v", refusal)
	}
	// The same key of another organisation is another key.
	if newClaimKey("kegsetu", "k") == newClaimKey("bayani", "k") {
		t.Fatal("two organisations share a key")
	}
}

// The memory of replies is bounded: the oldest go first.
func TestStoredRepliesAreBounded(t *testing.T) {
	rs := newReplies(10 * (replyOverhead + 100))
	for i := range 100 {
		rs.put([16]byte{byte(i)}, &storedReply{body: make([]byte, 100)})
	}
	if len(rs.m) != 10 || len(rs.m) != len(rs.order) {
		t.Fatalf("%d replies kept, %d in order", len(rs.m), len(rs.order))
	}
	if _, ok := rs.get([16]byte{99}); !ok {
		t.Fatal("the newest is gone")
	}
	rs.put([16]byte{200}, &storedReply{body: make([]byte, maxStoredReply+1)})
	if _, ok := rs.get([16]byte{200}); ok {
		t.Fatal("a large reply is kept")
	}
}

// What became of a request, asked at the router that decided, at another, of
// another organisation, and after the router is gone.
func TestLookupRequest(t *testing.T) {
	first, second := serviceBench(), newBench(testOptions("r2"))
	first.both(okReply("x"))
	id := first.NewRequestID()
	_, refusal := first.CallService(context.Background(), &ServiceRequest{
		RequestID: id, Organisation: "kegsetu", Service: "depot", Method: http.MethodPost, Path: "/",
		IdempotencyKey: "k", NonIdempotent: true,
	})
	if refusal != nil {
		t.Fatal(refusal)
	}
	second.Ports.Claimer = first.claimer
	second.Ports.Peers = peerRouters{"peer-1": first.Router}
	second.view.members = []port.Member{{ID: "r1", Role: port.RoleRouter, State: port.MemberLive, PeerAddress: "peer-1"}}
	ctx := context.Background()
	for name, b := range map[string]*bench{"the same router": first, "another router": second} {
		if s := b.LookupRequest(ctx, "kegsetu", id, ""); s.Outcome != outcome.Done || s.State != RequestOver {
			t.Errorf("%s: got %+v", name, s)
		}
		if s := b.LookupRequest(ctx, "bayani", id, ""); s.State != RequestUnknown || s.Endpoint != "" {
			t.Errorf("%s, another organisation: got %+v", name, s)
		}
	}
	second.Ports.Peers = peerRouters{}
	if s := second.LookupRequest(ctx, "kegsetu", id, ""); s.State != RequestUnknown || s.Outcome != outcome.Unknown {
		t.Errorf("the router is gone: got %+v", s)
	}
	if s := second.LookupRequest(ctx, "kegsetu", id, "k"); s.Outcome != outcome.Done {
		t.Errorf("the router is gone, with the key: got %+v", s)
	}
}

// An endpoint says that it leaves while the host list still calls it live: it
// gets no new work, for as long as it is the same incarnation.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	b := newBench(testOptions("r1"), runner("e1"), runner("e2"))
	b.tookReport(runner("e1"), &port.LoadReport{EndpointID: "e1", Incarnation: 1, State: port.EndpointLeaving})
	b.apply()
	if got := b.scheduler.endpoints; len(got) != 1 || got[0].ID != "e2" {
		t.Fatalf("got %+v", got)
	}
	back := runner("e1")
	back.Incarnation = 2
	b.view.endpoints = []port.Endpoint{back, runner("e2")}
	b.apply()
	if got := b.scheduler.endpoints; len(got) != 2 {
		t.Fatalf("a new incarnation is shut out: %+v", got)
	}
}

var errReset = errors.New("connection reset")

// A caller that goes away in the middle of a long reply ends it; one whose
// service breaks off in a long reply must not see a whole one.
func TestLongRepliesStreamThrough(t *testing.T) {
	b := serviceBench()
	long := bytes.Repeat([]byte("x"), maxBufferedReply+10)
	b.both(func() (*ServiceReply, error) {
		body := io.MultiReader(bytes.NewReader(long), &failingReader{err: errReset})
		return &ServiceReply{Status: http.StatusOK, Header: http.Header{}, Length: -1, Rest: io.NopCloser(body)}, nil
	})
	reply, refusal := b.call(http.MethodGet, "", false)
	if refusal != nil || reply.Rest == nil || len(reply.Body) != maxBufferedReply {
		t.Fatalf("got %v", refusal)
	}
	tail, err := io.ReadAll(reply.Rest)
	if !errors.Is(err, errReset) || len(tail) != 10 {
		t.Fatalf("got %d bytes, %v", len(tail), err)
	}
	if err := reply.Rest.Close(); err != nil {
		t.Fatal(err)
	}
}

type failingReader struct{ err error }

func (f *failingReader) Read([]byte) (int, error) { return 0, f.err }

// The keepers' probes don't reach a runner: it gets no work while another of
// its pool is reached. Where they reach none, it may be they who are cut off.
func TestUnreachableRunnersAreSpared(t *testing.T) {
	dead := runner("e1")
	dead.Unreachable = true
	b := newBench(testOptions("r1"), dead, runner("e2"))
	if got := b.scheduler.endpoints; len(got) != 1 || got[0].ID != "e2" {
		t.Fatalf("got %+v", got)
	}
	b.view.endpoints = []port.Endpoint{dead}
	b.apply()
	if got := b.scheduler.endpoints; len(got) != 1 {
		t.Fatalf("a pool that no probe reaches is empty: %+v", got)
	}
}

// A flood opens more requests than the router may hold: the next one is
// refused at once as not run.
func TestOpenRequestsAreBounded(t *testing.T) {
	b := serviceBench()
	b.both(okReply("x"))
	b.Router.o.MaxOpen = 1
	if refusal := b.begin("r1.first"); refusal != nil {
		t.Fatal(refusal)
	}
	_, refusal := b.call(http.MethodGet, "", false)
	if refusal == nil || refusal.Cause != CauseTooManyOpen || refusal.Outcome != outcome.NotRun || refusal.RetryAfter == 0 {
		t.Fatalf("got %+v", refusal)
	}
	b.life.leave()
	if _, refusal := b.call(http.MethodGet, "", false); refusal != nil {
		t.Fatal(refusal)
	}
}

// Guards against a breaker that never opens at an endpoint which loses every call.
func TestBreakerOpensOnLostCalls(t *testing.T) {
	b := newBench(testOptions("r1"), serviceEndpoint("s1"), serviceEndpoint("s2"))
	b.services.reply["s1"] = func() (*ServiceReply, error) { return nil, port.ErrEndpointLost }
	b.services.reply["s2"] = okReply("fine")
	const calls = 100
	for range calls {
		// Whatever becomes of it, it counts where it went.
		_, _ = b.call(http.MethodGet, "", false)
	}
	lost := 0
	for _, id := range b.services.calls {
		if id == "s1" {
			lost++
		}
	}
	if lost > testOptions("").Breaker.Failures {
		t.Fatalf("%d of %d calls went to the endpoint that loses them", lost, calls)
	}
}
