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

// testTimeout bounds waits for events that must happen.
const testTimeout = 20 * time.Second

// fakeCaller is a FrameWriter that records the frames it gets.
type fakeCaller struct {
	mu           sync.Mutex
	frames       []port.Frame
	flushed      int
	flushes      int
	resumeToken  string
	notResumable bool
	onFrame      func(f *port.Frame) error
}

func (r *fakeCaller) Resumable() bool { return !r.notResumable }

func (r *fakeCaller) WriteFrame(token string, f *port.Frame) error {
	if r.onFrame != nil {
		if err := r.onFrame(f); err != nil {
			return err
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resumeToken = token
	r.frames = append(r.frames, *f)
	return nil
}

func (r *fakeCaller) Flush() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.flushed = len(r.frames)
	r.flushes++
	return nil
}

// flushedCount returns the number of frames that have been flushed to the caller.
func (r *fakeCaller) flushedCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.flushed
}

func (r *fakeCaller) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.frames)
}

// checkFrames fails the test unless the frames are the tokens from index first up
// to total, each once and in order, followed by the end.
func (r *fakeCaller) checkFrames(t *testing.T, first, total int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.frames) != total-first+1 {
		t.Fatalf("got %d frames, want %d tokens and the final frame", len(r.frames), total-first)
	}
	for i, f := range r.frames {
		if f.Index != first+i || f.Final() != (i == total-first) || f.Generation != r.frames[0].Generation {
			t.Fatalf("unexpected frame at position %d: %+v", i, f)
		}
	}
}

// fakeScheduler places requests on the endpoints in order, skipping the excluded
// ones.
type fakeScheduler struct {
	mu        sync.Mutex
	endpoints []port.Endpoint
	holds     int
	ready     chan struct{}
	withdrawn int
	finished  []port.FinishKind
	reports   int
	// modelUnserved makes refusals state that no endpoint serves the model.
	modelUnserved bool
	// onSubmit runs at the start of each Submit.
	onSubmit func()
}

// fakeConfigurationVersion is the version of the routing configuration in every
// placement.
const fakeConfigurationVersion = 12

func (s *fakeScheduler) Submit(_ time.Time, r *port.GenerationRequest) port.Decision {
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
			return port.Decision{Verdict: port.VerdictPlace, Endpoint: e, Reason: "first", ConfigurationVersion: fakeConfigurationVersion}
		}
	}
	reason := "none left"
	if s.modelUnserved {
		reason = routing.ReasonRefusedModel
	}
	return port.Decision{Verdict: port.VerdictRefuse, Reason: reason, RetryAfter: time.Second}
}

func (s *fakeScheduler) Ready(string) <-chan struct{} { return s.ready }

func (s *fakeScheduler) Withdraw(time.Time, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdrawn++
}

func (s *fakeScheduler) Finished(_ time.Time, _ string, _ int, k port.FinishKind) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = append(s.finished, k)
}

func (s *fakeScheduler) SetEndpoints(_ time.Time, es []port.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endpoints = es
}

func (s *fakeScheduler) Report(time.Time, *port.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports++
}
func (s *fakeScheduler) Progress(time.Time, string, int) {}
func (s *fakeScheduler) SetPolicy(port.Policy)           {}
func (s *fakeScheduler) Tick(time.Time)                  {}

// fakeView is a view of the system's state that tests can set.
type fakeView struct {
	mu        sync.Mutex
	endpoints []port.Endpoint
	members   []port.Member
	leaving   bool
	// onLeave runs when the router announces that it is leaving.
	onLeave func()
}

func (v *fakeView) Records() []port.Record { return nil }
func (v *fakeView) Endpoints() []port.Endpoint {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]port.Endpoint(nil), v.endpoints...)
}

func (v *fakeView) Members() []port.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]port.Member(nil), v.members...)
}
func (v *fakeView) Changed() <-chan struct{} { return nil }
func (v *fakeView) Synced() bool             { return true }
func (v *fakeView) SetLeaving() {
	v.mu.Lock()
	v.leaving = true
	v.mu.Unlock()
	if v.onLeave != nil {
		v.onLeave()
	}
}

func (v *fakeView) isLeaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving
}

// fakeServices answers calls with a scripted function per endpoint.
type fakeServices struct {
	mu            sync.Mutex
	reply         map[string]func() (*ServiceReply, error)
	calls         []string
	endpointsGone bool
}

func (s *fakeServices) Call(_ context.Context, e port.Endpoint, _ *ServiceRequest) (*ServiceReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, e.ID)
	return s.reply[e.ID]()
}

func (s *fakeServices) Load(context.Context, port.Endpoint) (port.LoadReport, error) {
	return port.LoadReport{}, port.ErrEndpointLost
}

func (s *fakeServices) CheckPresence(context.Context, port.Endpoint) port.Presence {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpointsGone {
		return port.PresenceGone
	}
	return port.PresenceServing
}

func (s *fakeServices) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// peerRouters maps peer addresses to routers.
type peerRouters map[string]*Router

func (p peerRouters) LookupRequest(_ context.Context, address, id string) ([]byte, bool, error) {
	r, ok := p[address]
	if !ok {
		return nil, false, errors.New("no router has this address")
	}
	raw, found := r.LocalStatusJSON(id)
	return raw, found, nil
}

// fixture is a router with fake ports.
type fixture struct {
	*Router
	engine    *fakes.Engine
	scheduler *fakeScheduler
	view      *fakeView
	claimer   *fakes.Claims
	services  *fakeServices
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
		HoldLimit: testTimeout, StallTimeout: testTimeout, CancelTimeout: testTimeout, CancelLimit: time.Hour,
		ServiceTimeout: testTimeout, ClaimTimeout: testTimeout, PeerTimeout: testTimeout,
		BufferFrames: 4, SlowReaderTimeout: testTimeout, LoadInterval: time.Hour, LoadMaxAge: time.Hour, LoadSubset: 8,
		EntryValidity: time.Millisecond, DrainTimeout: testTimeout, MaxRequestStatuses: 1024, ReplyCacheBytes: 1 << 20,
	}
}

func newFixture(o Options, endpoints ...port.Endpoint) *fixture {
	b := &fixture{
		engine: &fakes.Engine{}, scheduler: &fakeScheduler{}, view: &fakeView{endpoints: endpoints},
		claimer:  fakes.NewClaims(),
		services: &fakeServices{reply: make(map[string]func() (*ServiceReply, error))}, sink: &fakes.Decisions{},
	}
	b.quarantine = quarantine.NewRegister(node.New(), func(quarantine.Change) {})
	b.Router = New(o, Ports{
		Quarantine: b.quarantine,
		Engine:     b.engine, Services: b.services, Scheduler: b.scheduler, View: b.view, Claimer: b.claimer,
		Peers: peerRouters{}, Announcer: b.view, Sink: b.sink,
		Policy: func([]port.Record) port.Policy { return port.Policy{} },
	})
	b.applyView()
	return b
}

// schedulable reports whether the scheduler may place requests on the endpoint.
func (b *fixture) schedulable(id string) bool {
	b.scheduler.mu.Lock()
	defer b.scheduler.mu.Unlock()
	for _, e := range b.scheduler.endpoints {
		if e.ID == id {
			return true
		}
	}
	return false
}

func (b *fixture) generate(a FrameWriter, nonIdempotent bool) *Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
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
