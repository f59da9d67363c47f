package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/quarantine"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/core/stream"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

// patience bounds the wait for something that must happen.
const patience = 20 * time.Second

// reader is the caller's end of a stream.
type reader struct {
	mu      sync.Mutex
	got     []port.Frame
	flushed int
	flushes int
	token   string
	once    bool
	before  func(f *port.Frame) error
}

func (r *reader) Resumable() bool { return !r.once }

func (r *reader) Frame(token string, f *port.Frame) error {
	if r.before != nil {
		if err := r.before(f); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.token = token
	r.got = append(r.got, *f)
	return nil
}

func (r *reader) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushed = len(r.got)
	r.flushes++
	return nil
}

// shown counts the events that have reached the caller.
func (r *reader) shown() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flushed
}

func (r *reader) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.got)
}

// check wants total tokens from first on, once and in order, then the end.
func (r *reader) check(t *testing.T, first, total int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.got) != total-first+1 {
		t.Fatalf("got %d events, want %d tokens and the end", len(r.got), total-first)
	}
	for i, f := range r.got {
		if f.Index != first+i || f.Final() != (i == total-first) || f.Generation != r.got[0].Generation {
			t.Fatalf("event %d is %+v", i, f)
		}
	}
}

// scheduler places at the endpoints in order, leaving out those excluded.
type scheduler struct {
	mu        sync.Mutex
	endpoints []port.Endpoint
	holds     int
	ready     chan struct{}
	withdrawn int
	finished  []port.FinishKind
	reports   int
	// unserved: no endpoint serves the model.
	unserved bool
	// onSubmit runs before each answer.
	onSubmit func()
}

// fakeVersion is the routing configuration behind every placement.
const fakeVersion = 12

func (s *scheduler) Submit(_ time.Time, r *port.GenerationRequest) port.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onSubmit != nil {
		s.onSubmit()
	}
	if s.holds > 0 {
		s.holds--
		return port.Decision{Verdict: port.VerdictHold, Reason: "full"}
	}
	for _, e := range s.endpoints {
		excluded := false
		for _, id := range r.Excluded {
			excluded = excluded || id == e.ID
		}
		if !excluded {
			return port.Decision{Verdict: port.VerdictPlace, Endpoint: e, Reason: "first", ConfigurationVersion: fakeVersion}
		}
	}
	reason := "none left"
	if s.unserved {
		reason = routing.ReasonRefusedModel
	}
	return port.Decision{Verdict: port.VerdictRefuse, Reason: reason, RetryAfter: time.Second}
}

func (s *scheduler) Ready(string) <-chan struct{} { return s.ready }

func (s *scheduler) Withdraw(time.Time, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn++
}

func (s *scheduler) Finished(_ time.Time, _ string, _ int, k port.FinishKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = append(s.finished, k)
}

func (s *scheduler) SetEndpoints(_ time.Time, es []port.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = es
}

func (s *scheduler) Report(time.Time, *port.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
}
func (s *scheduler) Progress(time.Time, string, int) {}
func (s *scheduler) SetPolicy(port.Policy)           {}
func (s *scheduler) Tick(time.Time)                  {}

// view is a settable state.
type view struct {
	mu        sync.Mutex
	endpoints []port.Endpoint
	members   []port.Member
	left      bool
	// onLeave runs while the others are told.
	onLeave func()
}

func (v *view) Records() []port.Record { return nil }
func (v *view) Endpoints() []port.Endpoint {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]port.Endpoint(nil), v.endpoints...)
}

func (v *view) Members() []port.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]port.Member(nil), v.members...)
}
func (v *view) Changed() <-chan struct{} { return nil }
func (v *view) Synced() bool             { return true }
func (v *view) SetLeaving() {
	v.mu.Lock()
	v.left = true
	v.mu.Unlock()
	if v.onLeave != nil {
		v.onLeave()
	}
}

func (v *view) hasLeft() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.left
}

// services answers calls by a script per endpoint.
type services struct {
	mu    sync.Mutex
	reply map[string]func() (*ServiceReply, error)
	calls []string
	gone  bool
}

func (s *services) Call(_ context.Context, e port.Endpoint, _ *ServiceRequest) (*ServiceReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, e.ID)
	return s.reply[e.ID]()
}

func (s *services) Load(context.Context, port.Endpoint) (port.LoadReport, error) {
	return port.LoadReport{}, port.ErrEndpointLost
}

func (s *services) Look(context.Context, port.Endpoint) port.Presence {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return port.PresenceGone
	}
	return port.PresenceServing
}

func (s *services) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// peerRouters maps peer addresses to routers.
type peerRouters map[string]*Router

func (p peerRouters) LookupRequest(_ context.Context, address, id string) ([]byte, bool, error) {
	r, ok := p[address]
	if !ok {
		return nil, false, errors.New("gone")
	}
	raw, found := r.LocalRequest(id)
	return raw, found, nil
}

// bench is a router among fakes.
type bench struct {
	*Router
	engine    *fakes.Engine
	scheduler *scheduler
	view      *view
	claimer   *fakes.Claims
	services  *services
	sink      *fakes.Decisions

	quarantine *quarantine.Register
}

func runner(id string) port.Endpoint {
	return port.Endpoint{
		ID: id, Kind: port.KindRunner, Pool: "p", Address: "127.0.0.1:1",
		Incarnation: 1, State: port.EndpointLive,
	}
}

func serviceEndpoint(id string) port.Endpoint {
	return port.Endpoint{
		ID: id, Kind: port.KindService, Pool: "depot", Address: "127.0.0.1:2",
		Incarnation: 1, State: port.EndpointLive,
	}
}

func testOptions(id string) Options {
	limits := stream.DefaultLimits()
	limits.Backoff = time.Millisecond
	return Options{
		ID: id, CallerAddress: id + ":1", Tokens: stream.NewTokens([]byte("0123456789abcdef")), Stream: limits,
		Breaker:    breaker.Options{Failures: 3, OpenFor: time.Second, MaxOpenFor: time.Minute, MaxEndpoints: 16},
		RetryShare: 0.1, RetryBurst: 10, MaxAttempts: 3, MaxOpen: 100,
		HoldLimit: patience, StallTimeout: patience, CancelTimeout: patience, CancelLimit: time.Hour,
		ServiceTimeout: patience, ClaimTimeout: patience, PeerTimeout: patience,
		BufferFrames: 4, ReaderPatience: patience, LoadInterval: time.Hour, LoadStale: time.Hour, LoadSubset: 8,
		EntryValidity: time.Millisecond, DrainTimeout: patience, RememberRequests: 1024, RememberReplies: 1 << 20,
	}
}

func newBench(o Options, endpoints ...port.Endpoint) *bench {
	b := &bench{
		engine: &fakes.Engine{}, scheduler: &scheduler{}, view: &view{endpoints: endpoints},
		claimer:  fakes.NewClaims(),
		services: &services{reply: make(map[string]func() (*ServiceReply, error))}, sink: &fakes.Decisions{},
	}
	b.quarantine = quarantine.NewRegister(node.New(), func(quarantine.Change) {})
	b.Router = New(o, Ports{
		Quarantine: b.quarantine,
		Engine:     b.engine, Services: b.services, Scheduler: b.scheduler, View: b.view, Claimer: b.claimer,
		Peers: peerRouters{}, Announcer: b.view, Sink: b.sink,
		Policy: func([]port.Record) port.Policy { return port.Policy{} },
	})
	b.apply()
	return b
}

// takes reports whether the scheduler may place at the endpoint.
func (b *bench) takes(id string) bool {
	b.scheduler.mu.Lock()
	defer b.scheduler.mu.Unlock()
	for _, e := range b.scheduler.endpoints {
		if e.ID == id {
			return true
		}
	}
	return false
}

func (b *bench) generate(a Answer, nonIdempotent bool) *Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	return b.Generate(ctx, &GenerationRequest{
		RequestID: b.NewRequestID(), Organisation: "kegsetu", Model: "m", Prompt: "p", NonIdempotent: nonIdempotent,
	}, a)
}

func okReply(body string) func() (*ServiceReply, error) {
	return func() (*ServiceReply, error) {
		return &ServiceReply{
			Status: http.StatusOK, Header: http.Header{}, Length: int64(len(body)),
			Rest: io.NopCloser(newBody(body)),
		}, nil
	}
}
