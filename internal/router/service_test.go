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

// truncatedBody is a body that ends with an error after its first bytes.
type truncatedBody struct{ sent bool }

func (c *truncatedBody) Read(p []byte) (int, error) {
	if c.sent {
		return 0, io.ErrUnexpectedEOF
	}
	c.sent = true
	return copy(p, "half"), nil
}

func serviceFixture() *fixture {
	return newFixture(testOptions("r1"), serviceEndpoint("s1"), serviceEndpoint("s2"))
}

func (b *fixture) call(method, key string, nonIdempotent bool) (*ServiceReply, *Refusal) {
	return b.CallService(context.Background(), &ServiceRequest{
		RequestID: b.NewRequestID(), Organisation: "kegsetu", Service: "depot", Method: method, Path: "/ledger",
		Body: []byte("keg 7"), IdempotencyKey: key, NonIdempotent: nonIdempotent,
	})
}

// scriptBoth sets the same script for both endpoints.
func (b *fixture) scriptBoth(f func() (*ServiceReply, error)) {
	b.services.reply["s1"], b.services.reply["s2"] = f, f
}

// An idempotent call must be retried at the other endpoint, in whatever way the
// first one fails, and the caller must get one complete reply.
func TestIdempotentCallsAreRetriedElsewhere(t *testing.T) {
	cutReply := func() (*ServiceReply, error) {
		return &ServiceReply{Status: http.StatusOK, Header: http.Header{}, Rest: io.NopCloser(&truncatedBody{})}, nil
	}
	scripts := map[string]func() (*ServiceReply, error){
		"not sent": failing(port.ErrNotSent), "lost": failing(port.ErrEndpointLost),
		"unavailable": statusReply(http.StatusServiceUnavailable), "cut short": cutReply,
	}
	for name, script := range scripts {
		t.Run(name, func(t *testing.T) {
			b := serviceFixture()
			failed := false
			b.scriptBoth(func() (*ServiceReply, error) {
				if !failed {
					failed = true
					return script()
				}
				return okReply("whole")()
			})
			reply, refusal := b.call(http.MethodGet, "", false)
			if refusal != nil || string(reply.Body) != "whole" {
				t.Fatalf("got reply %+v, refusal %v, want the whole reply of the other endpoint", reply, refusal)
			}
			if b.services.count() != 2 || b.services.calls[0] == b.services.calls[1] {
				t.Fatalf("calls %v", b.services.calls)
			}
		})
	}
}

// If the reply to a ledger entry is lost, its outcome is unknown and it must not be
// sent again. A call that was never sent may go to the other endpoint.
func TestNonIdempotentCallsAreRetriedOnlyIfNotSent(t *testing.T) {
	b := serviceFixture()
	b.scriptBoth(failing(port.ErrEndpointLost))
	_, refusal := b.call(http.MethodPost, "", true)
	if refusal == nil || refusal.Outcome != outcome.Unknown || b.services.count() != 1 {
		t.Fatalf("got refusal %+v after %d calls, want outcome.Unknown, 1 call", refusal, b.services.count())
	}
	b = serviceFixture()
	b.scriptBoth(failing(port.ErrNotSent))
	_, refusal = b.call(http.MethodPost, "", true)
	if refusal == nil || refusal.Outcome != outcome.NotRun || b.services.count() != 2 {
		t.Fatalf("got refusal %+v after %d calls, want outcome.NotRun, 2 calls", refusal, b.services.count())
	}
	// A call whose method isn't idempotent is treated this way even if the caller
	// doesn't mark it as non-idempotent.
	b = serviceFixture()
	b.scriptBoth(failing(port.ErrEndpointLost))
	if _, refusal = b.call(http.MethodPost, "", false); refusal == nil || b.services.count() != 1 {
		t.Fatalf("got refusal %+v after %d calls, want 1 call", refusal, b.services.count())
	}
}

// The retry budget must bound the retries that reach a failing service.
func TestRetriesAreBounded(t *testing.T) {
	b := serviceFixture()
	b.scriptBoth(failing(port.ErrEndpointLost))
	const calls = 200
	for range calls {
		if _, refusal := b.call(http.MethodGet, "", false); refusal == nil {
			t.Fatal("a call was answered although every endpoint loses its calls")
		}
	}
	limit := calls + b.Router.o.RetryBurst + int(b.Router.o.RetryShare*calls) + 1
	if got := b.services.count(); got > limit {
		t.Fatalf("%d calls reached the service, want at most %d", got, limit)
	}
}

// A call is retried with the same key at the same router and at another one that
// shares the claims. It must run once: the same router returns the stored reply,
// the other one reports the outcome of the first request.
func TestKeyedCallRunsOnceAcrossRouters(t *testing.T) {
	first, second := serviceFixture(), serviceFixture()
	second.Ports.Claimer = first.claimer
	first.scriptBoth(okReply("entered"))
	second.scriptBoth(okReply("entered"))
	reply, refusal := first.call(http.MethodPost, "k", true)
	if refusal != nil || string(reply.Body) != "entered" || reply.Replayed {
		t.Fatalf("got reply %+v, refusal %v, want a reply that is not replayed", reply, refusal)
	}
	reply, refusal = first.call(http.MethodPost, "k", true)
	if refusal != nil || string(reply.Body) != "entered" || !reply.Replayed {
		t.Fatalf("retry at the same router: got reply %+v, refusal %v, want the stored reply", reply, refusal)
	}
	_, refusal = second.call(http.MethodPost, "k", true)
	if refusal == nil || refusal.Cause != CauseDuplicateKey || refusal.Outcome != outcome.Done {
		t.Fatalf("retry at another router: got refusal %+v, want CauseDuplicateKey, outcome.Done", refusal)
	}
	for _, d := range second.sink.All() {
		if d.Verdict == verdictFinish && d.Outcome != string(outcome.NotRun) {
			t.Fatalf("the duplicate itself is recorded as %s", d.Outcome)
		}
	}
	if n := first.services.count() + second.services.count(); n != 1 {
		t.Fatalf("the call ran %d times, want once", n)
	}
}

// The router that held the key died after its claim, and it is not known whether it
// dispatched the call. The call must not run again, and its outcome is unknown.
func TestKeyClaimedByDeadRouterIsUnknown(t *testing.T) {
	b := serviceFixture()
	b.scriptBoth(okReply("x"))
	key := newClaimKey("kegsetu", "k")
	b.claimer.Held[key.hash] = port.ClaimState{KeyHash: key.hash, RequestID: "r9.gone", Outcome: port.ClaimUnsettled}
	_, refusal := b.call(http.MethodPost, "k", true)
	if refusal == nil || refusal.Cause != CauseDuplicateKey || refusal.Outcome != outcome.Unknown || b.services.count() != 0 {
		t.Fatalf("got refusal %+v after %d calls, want CauseDuplicateKey, outcome.Unknown, 0 calls", refusal, b.services.count())
	}
}

// While claims can't be stored, nothing may be dispatched and the outcome is
// not_run. Once they can be stored again, the same key works.
func TestFailedClaimPreventsDispatch(t *testing.T) {
	b := serviceFixture()
	b.scriptBoth(okReply("x"))
	b.claimer.Unavailable = true
	_, refusal := b.call(http.MethodPost, "k", true)
	if refusal == nil || refusal.Outcome != outcome.NotRun || refusal.RetryAfter == 0 || b.services.count() != 0 {
		t.Fatalf("got refusal %+v after %d calls, want outcome.NotRun, a retry delay, 0 calls", refusal, b.services.count())
	}
	b.claimer.Unavailable = false
	if _, refusal = b.call(http.MethodPost, "k", true); refusal != nil {
		t.Fatalf("refused after the claimer recovered: %v", refusal)
	}
}

// A call that was never sent must free its key, so that the caller may try again.
func TestNotRunFreesTheKey(t *testing.T) {
	b := serviceFixture()
	b.scriptBoth(failing(port.ErrNotSent))
	if _, refusal := b.call(http.MethodPost, "k", true); refusal == nil || refusal.Outcome != outcome.NotRun {
		t.Fatalf("got refusal %+v, want outcome.NotRun", refusal)
	}
	b.scriptBoth(okReply("x"))
	if _, refusal := b.call(http.MethodPost, "k", true); refusal != nil {
		t.Fatalf("the retry was refused: %v", refusal)
	}
	if b.claimer.Settled[0].Outcome != port.ClaimNotRun || b.claimer.Settled[1].Outcome != port.ClaimDone {
		t.Fatalf("settled %+v", b.claimer.Settled)
	}
}

// A key that was used for a different call must be refused, as the stored reply
// would be the wrong one.
func TestReusedKeyIsRefused(t *testing.T) {
	b := serviceFixture()
	b.scriptBoth(okReply("x"))
	if _, refusal := b.call(http.MethodPost, "k", true); refusal != nil {
		t.Fatal(refusal)
	}
	_, refusal := b.CallService(context.Background(), &ServiceRequest{
		RequestID: b.NewRequestID(), Organisation: "kegsetu", Service: "depot", Method: http.MethodPost,
		Path: "/ledger", Body: []byte("keg 8"), IdempotencyKey: "k", NonIdempotent: true,
	})
	if refusal == nil || refusal.Cause != CauseKeyReused {
		t.Fatalf("got refusal %+v, want CauseKeyReused", refusal)
	}
	// Equal keys of two organisations are different claim keys.
	if newClaimKey("kegsetu", "k") == newClaimKey("bayani", "k") {
		t.Fatal("two organisations share a key")
	}
}

// The stored replies must be bounded, and the oldest evicted first.
func TestStoredRepliesAreBounded(t *testing.T) {
	rs := newReplyCache(10 * (replyOverhead + 100))
	for i := range 100 {
		rs.put([16]byte{byte(i)}, &storedReply{body: make([]byte, 100)})
	}
	if len(rs.m) != 10 || len(rs.m) != len(rs.order) {
		t.Fatalf("%d replies are stored and %d are in the order list, want 10", len(rs.m), len(rs.order))
	}
	if _, ok := rs.get([16]byte{99}); !ok {
		t.Fatal("the newest reply was evicted")
	}
	rs.put([16]byte{200}, &storedReply{body: make([]byte, maxStoredReply+1)})
	if _, ok := rs.get([16]byte{200}); ok {
		t.Fatal("a reply above maxStoredReply was stored")
	}
}

// Looks up a request at the router that served it, at another router, for another
// organisation, and after the router that served it is gone.
func TestLookupRequest(t *testing.T) {
	first, second := serviceFixture(), newFixture(testOptions("r2"))
	first.scriptBoth(okReply("x"))
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
	for name, b := range map[string]*fixture{"the same router": first, "another router": second} {
		if s := b.LookupRequest(ctx, "kegsetu", id, ""); s.Outcome != outcome.Done || s.State != RequestFinished {
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

// An endpoint that reports itself as leaving while the host list still states that
// it is live must get no new work until it has a new incarnation.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	b := newFixture(testOptions("r1"), runner("e1"), runner("e2"))
	b.handleReport(runner("e1"), &port.LoadReport{EndpointID: "e1", Incarnation: 1, State: port.EndpointLeaving})
	b.applyView()
	if got := b.scheduler.endpoints; len(got) != 1 || got[0].ID != "e2" {
		t.Fatalf("the scheduler got %+v, want only e2", got)
	}
	restarted := runner("e1")
	restarted.Incarnation = 2
	b.view.endpoints = []port.Endpoint{restarted, runner("e2")}
	b.applyView()
	if got := b.scheduler.endpoints; len(got) != 2 {
		t.Fatalf("a new incarnation is not eligible: %+v", got)
	}
}

var errReset = errors.New("connection reset")

// A long reply is streamed, and an error of the service in its middle must reach
// the caller, so that it doesn't take the reply for complete.
func TestLongRepliesAreStreamed(t *testing.T) {
	b := serviceFixture()
	long := bytes.Repeat([]byte("x"), maxBufferedReply+10)
	b.scriptBoth(func() (*ServiceReply, error) {
		body := io.MultiReader(bytes.NewReader(long), &failingReader{err: errReset})
		return &ServiceReply{Status: http.StatusOK, Header: http.Header{}, Length: -1, Rest: io.NopCloser(body)}, nil
	})
	reply, refusal := b.call(http.MethodGet, "", false)
	if refusal != nil || reply.Rest == nil || len(reply.Body) != maxBufferedReply {
		t.Fatalf("got refusal %v, or a reply that is not buffered up to maxBufferedReply", refusal)
	}
	tail, err := io.ReadAll(reply.Rest)
	if !errors.Is(err, errReset) || len(tail) != 10 {
		t.Fatalf("read %d more bytes with error %v, want 10 and the service's error", len(tail), err)
	}
	if err := reply.Rest.Close(); err != nil {
		t.Fatal(err)
	}
}

type failingReader struct{ err error }

func (f *failingReader) Read([]byte) (int, error) { return 0, f.err }

// A runner that the keepers' probes can't reach must get no work while another
// runner of its pool is reachable. If they reach none, the runners must stay
// eligible, as the keepers may be the ones that are cut off.
func TestUnreachableRunnersAreExcluded(t *testing.T) {
	unreachable := runner("e1")
	unreachable.Unreachable = true
	b := newFixture(testOptions("r1"), unreachable, runner("e2"))
	if got := b.scheduler.endpoints; len(got) != 1 || got[0].ID != "e2" {
		t.Fatalf("the scheduler got %+v, want only e2", got)
	}
	b.view.endpoints = []port.Endpoint{unreachable}
	b.applyView()
	if got := b.scheduler.endpoints; len(got) != 1 {
		t.Fatalf("no runner is eligible in a pool that no probe reaches: %+v", got)
	}
}

// Once MaxOpen requests are open, the next one must be refused at once as not run.
func TestOpenRequestsAreBounded(t *testing.T) {
	b := serviceFixture()
	b.scriptBoth(okReply("x"))
	b.Router.o.MaxOpen = 1
	if refusal := b.admit("r1.first"); refusal != nil {
		t.Fatal(refusal)
	}
	_, refusal := b.call(http.MethodGet, "", false)
	if refusal == nil || refusal.Cause != CauseTooManyOpen || refusal.Outcome != outcome.NotRun || refusal.RetryAfter == 0 {
		t.Fatalf("got refusal %+v, want CauseTooManyOpen, outcome.NotRun, a retry delay", refusal)
	}
	b.lifecycle.release()
	if _, refusal := b.call(http.MethodGet, "", false); refusal != nil {
		t.Fatal(refusal)
	}
}

// Guards against a breaker that never opens at an endpoint which loses every call.
func TestBreakerOpensOnLostCalls(t *testing.T) {
	b := newFixture(testOptions("r1"), serviceEndpoint("s1"), serviceEndpoint("s2"))
	b.services.reply["s1"] = func() (*ServiceReply, error) { return nil, port.ErrEndpointLost }
	b.services.reply["s2"] = okReply("fine")
	const calls = 100
	for range calls {
		// The result doesn't matter here; only the endpoint that was called is
		// counted.
		_, _ = b.call(http.MethodGet, "", false)
	}
	lost := 0
	for _, id := range b.services.calls {
		if id == "s1" {
			lost++
		}
	}
	if lost > testOptions("").Breaker.Failures {
		t.Fatalf("%d of %d calls went to the endpoint that loses every call", lost, calls)
	}
}
