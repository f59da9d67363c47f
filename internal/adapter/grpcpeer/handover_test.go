package grpcpeer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/scheduling"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// fakeSuccessor records the messages that it gets.
type fakeSuccessor struct {
	got []*port.HandOver
	err error
}

func (s *fakeSuccessor) ReceiveHandOver(m *port.HandOver) (bool, error) {
	s.got = append(s.got, m)
	return len(s.got) == 1, s.err
}

func startSuccessor(t *testing.T, s Successor) *SchedulingPeer {
	t.Helper()
	return startSchedulingServer(t, (&SchedulingService{Successor: s}).Register)
}

// Guards against figures that are lost or scaled wrongly between two daemons, and against
// times that are compared between two clocks.
func TestHandOverOverGRPC(t *testing.T) {
	successor := &fakeSuccessor{}
	peer := startSuccessor(t, successor)
	now := time.Now()
	sent := port.HandOver{
		Pool: "pool", Sender: "a", Incarnation: 7, Sequence: 3, At: now.Add(-2 * time.Second),
		Speeds:        []port.EndpointSpeed{{Endpoint: "e", Incarnation: 9, Stated: 2.4, Step: 7350 * time.Microsecond}},
		Organisations: []port.OrganisationUse{{Organisation: "o", Work: 1e7, Demand: 2.5, ShortPerSecond: 3.25, LongPerSecond: 0.125}},
		Bookings:      []port.RetryBooking{{Organisation: "o", Long: true, Due: now.Add(5 * time.Second)}, {Organisation: "o", Due: now.Add(-time.Second)}},
	}
	for _, want := range []bool{true, false} {
		if accepted, err := peer.HandOver(t.Context(), &sent); err != nil || accepted != want {
			t.Fatalf("accepted %v, error %v, want %v", accepted, err, want)
		}
	}
	got := *successor.got[0]
	near := func(a, b time.Time) bool { return a.Sub(b).Abs() < answerTimeout }
	if !near(got.At, sent.At) || len(got.Bookings) != 2 || !near(got.Bookings[0].Due, sent.Bookings[0].Due) || !near(got.Bookings[1].Due, sent.Bookings[1].Due) {
		t.Fatalf("times: got %+v, want %+v", got, sent)
	}
	got.At, got.Bookings[0].Due, got.Bookings[1].Due = sent.At, sent.Bookings[0].Due, sent.Bookings[1].Due
	if !reflect.DeepEqual(got, sent) {
		t.Fatalf("got %+v, want %+v", got, sent)
	}
}

// members is a list of members that changes once.
type members struct {
	list    atomic.Pointer[[]port.Member]
	changed chan struct{}
}

func (m *members) Members() []port.Member   { return *m.list.Load() }
func (m *members) Changed() <-chan struct{} { return m.changed }

func (m *members) set(states map[string]port.MemberState, addresses map[string]string) {
	var list []port.Member
	for _, id := range slices.Sorted(maps.Keys(states)) {
		list = append(list, port.Member{ID: id, State: states[id], CallerAddress: id, PeerAddress: addresses[id]})
	}
	m.list.Store(&list)
}

// Guards against learned speeds that don't reach the successor with the timers and
// connections of real daemons.
func TestSpeedsReachSuccessor(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	addresses := map[string]string{}
	m := &members{changed: make(chan struct{})}
	m.set(map[string]port.MemberState{"former": port.MemberLive}, addresses)
	schedulers := map[string]*routing.Scheduler{}
	var running sync.WaitGroup
	for _, id := range []string{"former", "successor"} {
		s := routing.NewScheduler(routing.Options{RouterID: id})
		s.SetEndpoints(time.Now(), oneRunner())
		pools := scheduling.NewPoolScheduler(s, nil)
		client := scheduling.NewClient(scheduling.Options{
			Self: id, Members: m, Learned: s, Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			Dial: func(address string) scheduling.Peer { return DialScheduling(address) },
		}, pools)
		peer := startSchedulingServer(t, (&SchedulingService{Scheduler: pools, Successor: client}).Register)
		addresses[id], schedulers[id] = strings.TrimPrefix(peer.conn.Target(), "passthrough:///"), s
		running.Go(func() { client.Run(ctx) })
	}
	s, now := schedulers["former"], time.Now()
	s.Adopt(now, &port.RunningRequest{Request: *generation("run", 10), EndpointID: "e"})
	s.ObserveStream(now, "run", port.StreamSample{Slowness: 2.4})
	// Both daemons must know the first list before it changes.
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	m.set(map[string]port.MemberState{"former": port.MemberLeaving, "successor": port.MemberLive}, addresses)
	close(m.changed)
	eventually.True(t, "the speed is at the successor", func() bool {
		h := schedulers["successor"].HandOver(time.Now(), "pool")
		return len(h.Speeds) == 1 && h.Speeds[0].Stated == 2.4
	})
	t.Logf("the speed was at the successor after %v", time.Since(began))
	cancel()
	running.Wait()
}

// Guards against repeating a message to a daemon of a previous build, and to one without
// the setting. Both must answer alike.
func TestHandOverUnsupported(t *testing.T) {
	peers := map[string]*SchedulingPeer{
		"previous build": startSchedulingServer(t, func(r grpc.ServiceRegistrar) {
			peerv1.RegisterSchedulingServer(r, peerv1.UnimplementedSchedulingServer{})
		}),
		"no successor":    startSuccessor(t, nil),
		"without setting": startSuccessor(t, &fakeSuccessor{err: scheduling.ErrHandOverUnsupported}),
	}
	for name, peer := range peers {
		if _, err := peer.HandOver(t.Context(), &port.HandOver{}); !errors.Is(err, scheduling.ErrHandOverUnsupported) {
			t.Errorf("%s: got %v, want ErrHandOverUnsupported", name, err)
		}
	}
}

// Guards against a sender that waits for a frozen successor for longer than a second, two
// attempts included.
func TestHandOverToSilentPeerTimesOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer := DialScheduling(listener.Addr().String())
	defer peer.Close()
	if _, err := peer.HandOver(t.Context(), &port.HandOver{}); !errors.Is(err, ErrPeerLost) {
		t.Fatalf("got %v, want ErrPeerLost", err)
	}
}

// Guards against messages above the maximum size: the scheduler's estimate of the size
// must not be below the encoded size, and a larger message must be refused.
func TestHandOverSizeIsBounded(t *testing.T) {
	now := time.Now()
	s := routing.NewScheduler(routing.Options{RouterID: "r"})
	s.SetEndpoints(now, oneRunner())
	for i := range 4000 {
		s.ApplyHandOver(now, &port.HandOver{
			Pool: "pool", At: now,
			Organisations: []port.OrganisationUse{{
				Organisation: fmt.Sprint("organisation-", i), Work: 1e9 + float64(i), Demand: 1e9, ShortPerSecond: 1, LongPerSecond: 1,
			}},
			Bookings: []port.RetryBooking{{Organisation: fmt.Sprint("organisation-", i), Long: true, Due: now.Add(9 * time.Minute)}},
		})
	}
	h := s.HandOver(now, "pool")
	h.Sender, h.Incarnation, h.Sequence = "sender", uint64(now.UnixNano()), 1<<40
	if n := proto.Size(handOverToWire(now, &h)); n > routing.MaxHandOverBytes || n < routing.MaxHandOverBytes/2 {
		t.Fatalf("%d bytes, want at most %d and more than half of it", n, routing.MaxHandOverBytes)
	}
	successor := &fakeSuccessor{}
	peer := startSuccessor(t, successor)
	h.Organisations = append(h.Organisations, port.OrganisationUse{Organisation: strings.Repeat("x", routing.MaxHandOverBytes)})
	if _, err := peer.HandOver(t.Context(), &h); !errors.Is(err, ErrPeerLost) || len(successor.got) != 0 {
		t.Fatalf("a message above the maximum size: error %v, %d received", err, len(successor.got))
	}
}
