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

// schedulerOnTheWire serves the scheduler of one runner.
func schedulerOnTheWire(t *testing.T) (*scheduling.PoolScheduler, *SchedulingPeer) {
	t.Helper()
	s := routing.NewScheduler(routing.Options{RouterID: "r"})
	s.SetEndpoints(time.Now(), oneRunner())
	pools := scheduling.NewPoolScheduler(s, nil)
	return pools, onTheWire(t, (&SchedulingService{Scheduler: pools, Admitter: limiter{ratelimit.NewLimiter()}}).Register)
}

func onTheWire(t *testing.T, register func(grpc.ServiceRegistrar)) *SchedulingPeer {
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

// limiter admits to any pool.
type limiter struct{ *ratelimit.Limiter }

func (l limiter) AdmitHere(_ string, asks []ratelimit.Ask, patience time.Duration) ratelimit.Grant {
	return l.Admit(time.Now(), asks, patience)
}

// A daemon gets leave for one request at another, and is told when to ask again.
func TestAdmitsOverTheWire(t *testing.T) {
	_, peer := schedulerOnTheWire(t)
	asks := []ratelimit.Ask{{Endpoint: "e", Limit: ratelimit.Limit{PerSecond: 0.5}}}
	g, err := peer.Admit(t.Context(), "pool", asks, 0)
	if err != nil || g.Endpoint != "e" || g.Wait != 0 {
		t.Fatalf("%+v, %v", g, err)
	}
	g, err = peer.Admit(t.Context(), "pool", asks, 500*time.Millisecond)
	if err != nil || g.Endpoint != "" || g.Wait < time.Second || g.Wait > 1500*time.Millisecond {
		t.Fatalf("%+v, %v", g, err)
	}
}

// A daemon of the build before places, and knows nothing of limits.
func TestDaemonThatAdmitsNothingIsNotTakenForLost(t *testing.T) {
	peer := onTheWire(t, func(r grpc.ServiceRegistrar) {
		peerv1.RegisterSchedulingServer(r, peerv1.UnimplementedSchedulingServer{})
	})
	if _, err := peer.Admit(t.Context(), "pool", nil, 0); !errors.Is(err, scheduling.ErrNotAdmitting) {
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

// One daemon's request is placed by another's scheduler, a second one is held until
// the first has ended, and both hear the reasons.
func TestPlacesAndHoldsOverTheWire(t *testing.T) {
	pools, peer := schedulerOnTheWire(t)
	// The size of the cache is for the coordinator; whoever asks knows it.
	want := oneRunner()[0]
	want.CacheTokens = 0
	d, err := peer.Place(t.Context(), generation("first", 9000), nil)
	if err != nil || d.Verdict != port.VerdictPlace || !reflect.DeepEqual(d.Endpoint, want) {
		t.Fatalf("%+v, %v", d, err)
	}
	if len(d.Candidates) != 1 || d.Candidates[0].Endpoint != "e" || d.Reason != routing.ReasonPlaced {
		t.Fatalf("the reasons were lost: %+v", d)
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
		t.Fatalf("held with %+v", d)
	}
	events := []scheduling.RunEvent{{RequestID: "first", Tokens: 5, Finish: port.FinishDone}}
	if err := peer.Update(t.Context(), nil, events); err != nil {
		t.Fatal(err)
	}
	if d := <-placed; d.Verdict != port.VerdictPlace || d.Reason != routing.ReasonReleased {
		t.Fatalf("after the first has ended: %+v", d)
	}
	if n := pools.Held(); n != 1 {
		t.Fatalf("%d runs counted, want the second", n)
	}
}

// A run is told to a scheduler that doesn't know it, and moves: there is nowhere to go
// from the only runner, and the reason says so.
func TestAdoptsAndRelocatesOverTheWire(t *testing.T) {
	pools, peer := schedulerOnTheWire(t)
	run := port.RunningRequest{Request: *generation("run", 100), EndpointID: "e", Tokens: 40}
	if err := peer.Update(t.Context(), []port.RunningRequest{run}, nil); err != nil || pools.Held() != 1 {
		t.Fatalf("%d runs counted, %v", pools.Held(), err)
	}
	d, err := peer.Relocate(t.Context(), &run, port.Relocation{FailureDomain: "d"})
	if err != nil || d.Verdict != port.VerdictRefuse || d.Reason != routing.ReasonRefusedRoom {
		t.Fatalf("%+v, %v", d, err)
	}
	for _, e := range []scheduling.RunEvent{
		{RequestID: "run", Relocated: true, Moved: true},
		{RequestID: "run", Relocated: true},
		{RequestID: "run", Tokens: 9},
		{RequestID: "run", Finish: port.FinishElsewhere},
	} {
		if got := eventFromWire(eventToWire(e)); got != e {
			t.Errorf("%+v became %+v", e, got)
		}
	}
}

// The coordinator is frozen: its host takes the connection and says
// nothing. A request that waited for it would be late; it is given up in time
// to ask the next in line.
func TestSilentCoordinatorIsGivenUp(t *testing.T) {
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
	if _, err := peer.Relocate(t.Context(), &run, port.Relocation{}); !errors.Is(err, ErrPeerLost) {
		t.Fatalf("got %v, want ErrPeerLost", err)
	}
	if _, err := peer.Admit(t.Context(), "pool", nil, 0); !errors.Is(err, ErrPeerLost) {
		t.Fatalf("got %v, want ErrPeerLost", err)
	}
}
