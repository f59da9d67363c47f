package grpcrelay_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcrelay"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/gateway"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// fakeApplication is the daemon that requests are passed on to.
type fakeApplication struct {
	accept func(*gateway.RelayedRequest) *gateway.Refusal
	serve  func(context.Context, *gateway.RelayedRequest, gateway.Responder) *gateway.Refusal
}

func (a *fakeApplication) AcceptRelayed(r *gateway.RelayedRequest) *gateway.Refusal {
	if a.accept == nil {
		return nil
	}
	return a.accept(r)
}

func (a *fakeApplication) ServeRelayed(ctx context.Context, r *gateway.RelayedRequest, out gateway.Responder) (string, *gateway.Refusal) {
	return "endpoint-1", a.serve(ctx, r, out)
}

func (a *fakeApplication) CheckEndpoint(id string, incarnation uint64) (reached, known bool) {
	return id == "reached", incarnation == 7
}

// startPeer serves an application and returns its member entry and its server.
func startPeer(t *testing.T, app *fakeApplication) (*port.Member, *grpc.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(grpcpeer.ServerOptions()...)
	(&grpcrelay.Service{App: app}).Register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return &port.Member{ID: "peer", PeerAddress: listener.Addr().String()}, server
}

func newClient(t *testing.T) *grpcrelay.Client {
	c := grpcrelay.NewClient()
	t.Cleanup(c.Close)
	return c
}

// recorder is the caller's end of an answer.
type recorder struct {
	mu      sync.Mutex
	status  int
	header  http.Header
	length  int64
	body    bytes.Buffer
	flushes int
	err     error
}

func (r *recorder) Begin(status int, h http.Header, length int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status, r.header, r.length = status, h, length
	return r.err
}

func (r *recorder) Write(p []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.body.Write(p)
	return r.err
}

func (r *recorder) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushes++
	return r.err
}

func testRequest(body []byte) *gateway.RelayedRequest {
	return &gateway.RelayedRequest{
		Request: gateway.Request{
			ID: "r1", Method: "POST", Target: "/a%2Fb/c?x=1&y", Path: "/a%2Fb/c", Host: "h", KeySHA256: "aa", Body: body,
			Header:        http.Header{"X-Two": {"1", "2"}, "X-Id": {"r1"}},
			Arrived:       time.Now().Add(-300 * time.Millisecond),
			CallerTimeout: 2 * time.Second,
			Generation: &gateway.GenerationParams{
				Model: "m", PromptTokens: 1000, MaxTokens: 40, LengthHint: 30, Parts: []gateway.PromptPart{{ID: 1 << 63, Tokens: 800}, {ID: 2, Tokens: 200}},
			},
			Admission: gateway.Admission{Version: 9},
		},
		From: "a", Attempts: 2, MayHaveRun: 1, Tried: []string{"e1", "e2"}, Repeatable: true,
	}
}

// Guards against requests and answers that are changed on the way, whatever their size.
func TestRelayPassesRequestAndAnswerUnchanged(t *testing.T) {
	for _, size := range []int{0, 1, 32 << 10, 3 << 20} {
		body := []byte(strings.Repeat("k", size))
		var got *gateway.RelayedRequest
		peer, _ := startPeer(t, &fakeApplication{serve: func(_ context.Context, r *gateway.RelayedRequest, out gateway.Responder) *gateway.Refusal {
			got = r
			err := errors.Join(out.Begin(200, http.Header{"X-Seal": {"s"}}, int64(size+4)), out.Write([]byte("ev1\n")), out.Flush(), out.Write(body))
			if err != nil {
				t.Error(err)
			}
			return nil
		}})
		sent, answer := testRequest(body), &recorder{}
		result, err := newClient(t).Relay(t.Context(), peer, sent, answer)
		if err != nil || result.Refusal != nil || result.Endpoint != "endpoint-1" {
			t.Fatalf("%d bytes: %+v, %v", size, result, err)
		}
		if late := got.Arrived.Sub(sent.Arrived); late < -time.Second || late > time.Second {
			t.Errorf("the request arrived at %v, for the peer at %v", sent.Arrived, got.Arrived)
		}
		if got.SenderVersion != 9 || got.BodyBytes != uint64(size) {
			t.Errorf("version %d, %d bytes announced", got.SenderVersion, got.BodyBytes)
		}
		want := *sent
		want.Arrived, want.Admission, want.SenderVersion, want.BodyBytes = got.Arrived, got.Admission, got.SenderVersion, got.BodyBytes
		if !reflect.DeepEqual(*got, want) {
			t.Errorf("%d bytes: got a request other than the one sent", size)
		}
		if answer.status != 200 || answer.header.Get("X-Seal") != "s" || answer.length != int64(size+4) || answer.flushes != 1 || answer.body.String() != "ev1\n"+string(body) {
			t.Errorf("%d bytes: status %d, header %v, length %d, %d flushes, body of %d bytes", size, answer.status, answer.header, answer.length, answer.flushes, answer.body.Len())
		}
	}
}

// Guards against losing what a peer's refusal says, above all whether the request ran.
func TestRelayPassesRefusals(t *testing.T) {
	refusal := &gateway.Refusal{
		Cause: gateway.CauseOverloaded, Outcome: outcome.NotRun, Detail: "full", DecisionID: "peer.d.1",
		RetryAfter: 1250 * time.Millisecond, Version: 3,
	}
	app := &fakeApplication{serve: func(context.Context, *gateway.RelayedRequest, gateway.Responder) *gateway.Refusal { return refusal }}
	peer, _ := startPeer(t, app)
	for _, early := range []bool{false, true} {
		if early {
			app.accept = func(*gateway.RelayedRequest) *gateway.Refusal { return refusal }
		}
		result, err := newClient(t).Relay(t.Context(), peer, testRequest(nil), &recorder{})
		if err != nil || !reflect.DeepEqual(result.Refusal, refusal) {
			t.Errorf("before the body %v: %+v, %v", early, result, err)
		}
	}
}

// Guards against work that goes on at a peer after the caller has gone.
func TestCancelledRelayEndsAtPeer(t *testing.T) {
	const within = 500 * time.Millisecond
	running, ended := make(chan struct{}), make(chan struct{})
	peer, _ := startPeer(t, &fakeApplication{serve: func(ctx context.Context, _ *gateway.RelayedRequest, _ gateway.Responder) *gateway.Refusal {
		close(running)
		<-ctx.Done()
		close(ended)
		return &gateway.Refusal{Cause: gateway.CauseCallerGone}
	}})
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-running; cancel() }()
	_, err := newClient(t).Relay(ctx, peer, testRequest(nil), &recorder{})
	if !errors.Is(err, gateway.ErrRelayLost) {
		t.Fatalf("got %v", err)
	}
	select {
	case <-ended:
	case <-time.After(within):
		t.Fatalf("the peer goes on %v after the caller has gone", within)
	}
}

// Guards against "not run" for a request that a peer may run, and against the contrary.
func TestBrokenRelayTellsWhetherItMayHaveRun(t *testing.T) {
	running := make(chan struct{})
	block := func(ctx context.Context, _ *gateway.RelayedRequest, _ gateway.Responder) *gateway.Refusal {
		close(running)
		<-ctx.Done()
		return &gateway.Refusal{Cause: gateway.CauseCallerGone}
	}
	peer, server := startPeer(t, &fakeApplication{serve: block})
	go func() { <-running; server.Stop() }()
	if _, err := newClient(t).Relay(t.Context(), peer, testRequest(nil), &recorder{}); !errors.Is(err, gateway.ErrRelayLost) {
		t.Errorf("a peer that ends while it serves: %v", err)
	}
	if _, err := newClient(t).Relay(t.Context(), peer, testRequest(nil), &recorder{}); !errors.Is(err, gateway.ErrRelayNotAccepted) {
		t.Errorf("a peer that has ended: %v", err)
	}
	hung := make(chan struct{})
	defer close(hung)
	frozen, _ := startPeer(t, &fakeApplication{accept: func(*gateway.RelayedRequest) *gateway.Refusal { <-hung; return nil }})
	began := time.Now()
	_, err := newClient(t).Relay(t.Context(), frozen, testRequest(nil), &recorder{})
	if took := time.Since(began); !errors.Is(err, gateway.ErrRelayNotAccepted) || took > time.Second {
		t.Errorf("a peer that does not answer: %v after %v", err, took)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	old := &port.Member{ID: "old", PeerAddress: listener.Addr().String()}
	earlierBuild := grpc.NewServer()
	go func() { _ = earlierBuild.Serve(listener) }()
	defer earlierBuild.Stop()
	if _, err := newClient(t).Relay(t.Context(), old, testRequest(nil), &recorder{}); !errors.Is(err, gateway.ErrRelayNotAccepted) {
		t.Errorf("a peer of a build without relays: %v", err)
	}
}

// Guards against an answer that goes on after the caller can't be written to.
func TestRelayEndsIfCallerIsGone(t *testing.T) {
	ended := make(chan error, 1)
	peer, _ := startPeer(t, &fakeApplication{serve: func(_ context.Context, _ *gateway.RelayedRequest, out gateway.Responder) *gateway.Refusal {
		for {
			if err := errors.Join(out.Write([]byte("event\n")), out.Flush()); err != nil {
				ended <- err
				return &gateway.Refusal{Cause: gateway.CauseCallerGone}
			}
		}
	}})
	_, err := newClient(t).Relay(t.Context(), peer, testRequest(nil), &recorder{err: errors.New("gone")})
	if !errors.Is(err, gateway.ErrRelayCallerGone) {
		t.Fatalf("got %v", err)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the peer goes on writing")
	}
}

func TestCheckEndpointAsksPeer(t *testing.T) {
	peer, _ := startPeer(t, &fakeApplication{})
	c := newClient(t)
	for _, want := range []struct {
		endpoint       port.Endpoint
		reached, known bool
	}{
		{port.Endpoint{ID: "reached", Incarnation: 7}, true, true},
		{port.Endpoint{ID: "lost", Incarnation: 7}, false, true},
		{port.Endpoint{ID: "lost", Incarnation: 8}, false, false},
	} {
		if reached, known := c.CheckEndpoint(t.Context(), peer, want.endpoint); reached != want.reached || known != want.known {
			t.Errorf("%s/%d: reached %v, known %v", want.endpoint.ID, want.endpoint.Incarnation, reached, known)
		}
	}
}
