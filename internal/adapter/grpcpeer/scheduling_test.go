package grpcpeer

import (
	"errors"
	"net"
	"reflect"
	"testing"
	"time"

	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/ratelimit"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
)

func oneRunner() []port.Endpoint {
	return []port.Endpoint{{
		ID: "e", Kind: port.KindRunner, Pool: "pool", Address: "127.0.0.1:1", FailureDomain: "d", Incarnation: 3,
		State: port.EndpointLive, Models: []string{"m"}, CacheTokens: 10_000, Slots: 24, Revision: 7,
	}}
}

// startScheduler serves a scheduler with one runner and returns it with a client.
func startScheduler(t *testing.T) (*scheduling.PoolScheduler, *SchedulingPeer) {
	t.Helper()
	s := routing.NewScheduler(routing.Options{RouterID: "r"})
	s.SetEndpoints(time.Now(), oneRunner())
	pools := scheduling.NewPoolScheduler(s, nil)
	return pools, startSchedulingServer(t, (&SchedulingService{Scheduler: pools, Admitter: fakeAdmitter{ratelimit.NewLimiter()}}).Register)
}

func startSchedulingServer(t *testing.T, register func(grpc.ServiceRegistrar)) *SchedulingPeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(ServerOptions()...)
	register(server)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	peer := DialScheduling(listener.Addr().String())
	t.Cleanup(peer.Close)
	return peer
}

// fakeAdmitter admits requests to any pool with a single limiter.
type fakeAdmitter struct{ *ratelimit.Limiter }

func (l fakeAdmitter) AdmitLocally(_ string, asks []ratelimit.Candidate, patience time.Duration) ratelimit.Grant {
	return l.Admit(time.Now(), asks, patience)
}

// The first request is admitted over gRPC. The second one exceeds the rate and is
// refused with the time after which to try again.
func TestAdmitOverGRPC(t *testing.T) {
	_, peer := startScheduler(t)
	asks := []ratelimit.Candidate{{Endpoint: "e", Limit: ratelimit.Limit{PerSecond: 0.5}}}
	g, err := peer.Admit(t.Context(), "pool", asks, 0)
	if err != nil || g.Endpoint != "e" || g.Wait != 0 {
		t.Fatalf("first request: got grant %+v, error %v, want endpoint e at once", g, err)
	}
	g, err = peer.Admit(t.Context(), "pool", asks, 500*time.Millisecond)
	if err != nil || g.Endpoint != "" || g.Wait < time.Second || g.Wait > 1500*time.Millisecond {
		t.Fatalf("second request: got grant %+v, error %v, want a refusal with a wait of 1 s to 1.5 s", g, err)
	}
}

// A daemon of an older build does not implement Admit. The error must not be
// ErrPeerLost, as the daemon still places runs.
func TestAdmitUnimplementedIsNotErrPeerLost(t *testing.T) {
	peer := startSchedulingServer(t, func(r grpc.ServiceRegistrar) {
		peerv1.RegisterSchedulingServer(r, peerv1.UnimplementedSchedulingServer{})
	})
	if _, err := peer.Admit(t.Context(), "pool", nil, 0); !errors.Is(err, scheduling.ErrAdmissionUnsupported) {
		t.Fatalf("got %v, want ErrNotAdmitting", err)
	}
}

func generation(id string, prompt int) *port.GenerationRequest {
	now := time.Now()
	return &port.GenerationRequest{
		RequestID: id, Organisation: "o", Pool: "pool", Model: "m", PromptTokens: prompt, MaxTokens: 100, Attempt: 1,
		Arrived: now, Deadline: now.Add(time.Minute),
	}
}

// A request is placed by the scheduler of another daemon, and a second one is held
// until the first has ended. Both decisions contain their reasons.
func TestPlaceAndHoldOverGRPC(t *testing.T) {
	pools, peer := startScheduler(t)
	// The reply leaves out the size of the cache, which the requesting daemon knows.
	want := oneRunner()[0]
	want.CacheTokens = 0
	d, err := peer.Place(t.Context(), generation("first", 9000), nil)
	if err != nil || d.Verdict != port.VerdictPlace || !reflect.DeepEqual(d.Endpoint, want) {
		t.Fatalf("got decision %+v, error %v, want a placement at endpoint e", d, err)
	}
	if len(d.Candidates) != 1 || d.Candidates[0].Endpoint != "e" || d.Reason != routing.ReasonPlaced {
		t.Fatalf("got decision %+v, want candidate e and the reason of a placement", d)
	}
	held := make(chan port.Decision, 1)
	placed := make(chan port.Decision, 1)
	go func() {
		d, err := peer.Place(t.Context(), generation("second", 9000), func(d *port.Decision) { held <- *d })
		if err != nil {
			t.Error(err)
		}
		placed <- d
	}()
	if d := <-held; d.Verdict != port.VerdictHold || d.Reason != routing.ReasonHeldOverflow {
		t.Fatalf("got decision %+v, want a hold because of overflow", d)
	}
	events := []scheduling.RunEvent{{RequestID: "first", Tokens: 5, Finish: port.FinishDone}}
	if err := peer.Update(t.Context(), nil, events); err != nil {
		t.Fatal(err)
	}
	if d := <-placed; d.Verdict != port.VerdictPlace || d.Reason != routing.ReasonReleased {
		t.Fatalf("got decision %+v after the first run ended, want a placement on release", d)
	}
	if n := pools.RunCount(); n != 1 {
		t.Fatalf("the scheduler tracks %d runs, want only the second", n)
	}
}

// A scheduler adopts a run that it did not place. Relocating the run is refused for lack
// of capacity, as there is only one runner. Run events survive the conversion to the
// wire format and back.
func TestAdoptAndRelocateOverGRPC(t *testing.T) {
	pools, peer := startScheduler(t)
	run := port.RunningRequest{Request: *generation("run", 100), EndpointID: "e", Tokens: 40}
	if err := peer.Update(t.Context(), []port.RunningRequest{run}, nil); err != nil || pools.RunCount() != 1 {
		t.Fatalf("the scheduler tracks %d runs, error %v, want 1", pools.RunCount(), err)
	}
	d, err := peer.Relocate(t.Context(), &run, port.RelocationConstraints{FailureDomain: "d"})
	if err != nil || d.Verdict != port.VerdictRefuse || d.Reason != routing.ReasonRefusedNoCapacity {
		t.Fatalf("got decision %+v, error %v, want a refusal for lack of capacity", d, err)
	}
	for _, e := range []scheduling.RunEvent{
		{RequestID: "run", Relocated: true, Moved: true},
		{RequestID: "run", Relocated: true},
		{RequestID: "run", Tokens: 9},
		{RequestID: "run", Finish: port.FinishUntracked},
		{RequestID: "run", Tokens: 9, Sample: port.StreamSample{Slowness: 1.3}},
		{RequestID: "run", Finish: port.FinishDone, Sample: port.StreamSample{PerToken: 17500 * time.Microsecond, Gap: 180 * time.Millisecond}},
	} {
		if got := eventFromWire(eventToWire(e)); got != e {
			t.Errorf("event %+v was converted to %+v", e, got)
		}
	}
}

// Guards against samples read out of an event of the previous build, which has none, and
// against durations that overflow to short ones.
func TestSampleFieldsOfRunEvents(t *testing.T) {
	want := scheduling.RunEvent{RequestID: "run", Tokens: 9}
	if got := eventFromWire(&peerv1.RunEvent{RequestId: "run", Tokens: 9}); got != want {
		t.Errorf("got %+v, want no sample", got)
	}
	long := scheduling.RunEvent{RequestID: "run", Sample: port.StreamSample{PerToken: -time.Second, Gap: 100 * time.Hour}}
	got := eventFromWire(eventToWire(long)).Sample
	if got.PerToken != 0 || got.Gap < time.Hour {
		t.Errorf("got %+v, want no time per token and a gap above an hour", got)
	}
}

// Guards against explanations from another daemon that lack the slowness.
func TestSlownessOfCandidatesIsSent(t *testing.T) {
	want := port.CandidateScore{Endpoint: "e", Score: 1, Slowness: 2.5}
	if got := candidateFromWire(candidateToWire(want)); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// The coordinator is frozen: its host accepts the connection, but no reply arrives. All
// calls must fail with ErrPeerLost in time to try the next coordinator.
func TestSilentCoordinatorTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer := DialScheduling(listener.Addr().String())
	defer peer.Close()
	if _, err := peer.Place(t.Context(), generation("r", 10), nil); !errors.Is(err, ErrPeerLost) {
		t.Fatalf("got %v, want ErrPeerLost", err)
	}
	run := port.RunningRequest{Request: *generation("run", 100), EndpointID: "e"}
	if _, err := peer.Relocate(t.Context(), &run, port.RelocationConstraints{}); !errors.Is(err, ErrPeerLost) {
		t.Fatalf("got %v, want ErrPeerLost", err)
	}
	if _, err := peer.Admit(t.Context(), "pool", nil, 0); !errors.Is(err, ErrPeerLost) {
		t.Fatalf("got %v, want ErrPeerLost", err)
	}
}
