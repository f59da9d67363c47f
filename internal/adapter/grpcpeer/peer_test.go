package grpcpeer

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/core/spread/node"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// fakeListener stores the members, heartbeats and ended streams of a keeper.
type fakeListener struct {
	mu      sync.Mutex
	members map[string]membership.Member
	beats   map[string]membership.Heartbeat
	closed  map[string]int
}

func newFakeListener() *fakeListener {
	return &fakeListener{members: map[string]membership.Member{}, beats: map[string]membership.Heartbeat{}, closed: map[string]int{}}
}

func (f *fakeListener) HandleHeartbeat(m membership.Member, b membership.Heartbeat, _ bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[m.ID], f.beats[m.ID] = m, b
}

func (f *fakeListener) HandleStreamEnd(b membership.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[b.ID]++
}
func (f *fakeListener) Directory() []*peerv1.Member            { return nil }
func (f *fakeListener) SendsEndpoints(*membership.Member) bool { return true }

func (f *fakeListener) Probe(context.Context, string) membership.ProbeResult {
	return membership.ProbeAnswered
}

func (f *fakeListener) get(id string) (membership.Member, membership.Heartbeat) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[id], f.beats[id]
}

type testKeeper struct {
	node     *node.Node
	listener *fakeListener
	server   *grpc.Server
	address  string
}

func startServer(t *testing.T, register func(*grpc.Server)) (*grpc.Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer(ServerOptions()...)
	register(server)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return server, l.Addr().String()
}

const testHeartbeatEvery = 20 * time.Millisecond

func startKeeper(t *testing.T) *testKeeper {
	t.Helper()
	k := &testKeeper{node: node.New(), listener: newFakeListener()}
	service := &KeeperService{
		Node: k.node, Listener: k.listener, HeartbeatEvery: testHeartbeatEvery,
		Relay: &fakeRelay{},
	}
	k.server, k.address = startServer(t, func(s *grpc.Server) { service.Register(s) })
	return k
}

// startSilentKeeper serves a keeper that accepts subscriptions and never sends a
// message, like a frozen process whose kernel keeps its connections open.
func startSilentKeeper(t *testing.T) string {
	t.Helper()
	_, address := startServer(t, func(s *grpc.Server) { peerv1.RegisterKeeperServer(s, silentKeeper{}) })
	return address
}

type silentKeeper struct {
	peerv1.UnimplementedKeeperServer
}

func (silentKeeper) Subscribe(s peerv1.Keeper_SubscribeServer) error {
	<-s.Context().Done()
	return nil
}

func startView(t *testing.T, id string, o ViewOptions) *View {
	t.Helper()
	o.Self = port.Member{ID: id, Role: port.RoleRouter, FailureDomain: "d", PeerAddress: "127.0.0.1:1"}
	o.Logger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	o.HeartbeatEvery = testHeartbeatEvery
	if o.SilenceAfter == 0 {
		o.SilenceAfter = 30 * time.Second
	}
	v := NewView(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = v.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return v
}

func testRecord(name string, version uint64) port.Record {
	return port.Record{Kind: port.ObjectRoutingConfiguration, Name: name, Version: version, Body: fmt.Appendf(nil, `{"v":%d}`, version)}
}

func testEndpoint() membership.Endpoint {
	return membership.Listed(port.Endpoint{ID: "runner-1", Kind: port.KindRunner, State: port.EndpointLive, Incarnation: 1})
}

func versionOf(v *View, name string) uint64 {
	for _, r := range v.Records() {
		if r.Name == name {
			return r.Version
		}
	}
	return 0
}

func TestViewReceivesKeeperUpdates(t *testing.T) {
	k := startKeeper(t)
	k.node.PutRecord(testRecord("a", 1))
	v := startView(t, "r1", ViewOptions{Keepers: []string{k.address}})
	eventually.True(t, "the record at the router", func() bool { return versionOf(v, "a") == 1 })
	if v.Synced() {
		t.Fatal("synced although the keeper does not hold a complete set of records")
	}
	k.node.PutEndpoint(testEndpoint())
	k.node.SetComplete()
	eventually.True(t, "the synced view", v.Synced)
	changed := v.Changed()
	k.node.PutRecord(testRecord("a", 2))
	<-changed
	eventually.True(t, "version 2 at the router", func() bool { return versionOf(v, "a") == 2 })
	k.node.PutRecord(port.Record{Kind: port.ObjectRoutingConfiguration, Name: "a", Version: 3, Deleted: true})
	eventually.True(t, "the deletion of the record", func() bool { return len(v.Records()) == 0 })
	eventually.True(t, "a heartbeat with version 3", func() bool { _, b := k.listener.get("r1"); return b.HighestVersion == 3 })
	v.SetLeaving()
	eventually.True(t, "a heartbeat of a leaving router", func() bool { m, _ := k.listener.get("r1"); return m.Left })
}

// The keeper freezes: its connection stays open, but no message arrives. The router must
// not keep outdated records. It ends the subscription after the silence timeout and gets
// the change from another keeper.
func TestViewSwitchesFromFrozenKeeper(t *testing.T) {
	frozen := startSilentKeeper(t)
	k := startKeeper(t)
	k.node.PutRecord(testRecord("a", 5))
	k.node.PutEndpoint(testEndpoint())
	k.node.SetComplete()
	v := startView(t, "r1", ViewOptions{Keepers: []string{frozen, k.address}, SilenceAfter: 10 * testHeartbeatEvery})
	eventually.True(t, "the record from the other keeper", func() bool { return v.Synced() && versionOf(v, "a") == 5 })
}

// The router holds version 7, and its next keeper holds only version 5. The router must
// keep version 7 and send it to the keeper.
func TestViewKeepsNewerVersionAtAnotherKeeper(t *testing.T) {
	ahead, behind := startKeeper(t), startKeeper(t)
	ahead.node.PutRecord(testRecord("a", 7))
	ahead.node.SetComplete()
	behind.node.PutRecord(testRecord("a", 5))
	behind.node.SetComplete()
	v := startView(t, "r1", ViewOptions{Keepers: []string{ahead.address}})
	eventually.True(t, "version 7 at the router", func() bool { return versionOf(v, "a") == 7 })
	ahead.server.Stop()
	v.node.PutMember(membership.Member{ID: "k2", Role: port.RoleKeeper, State: port.MemberLive, PeerAddress: behind.address, Incarnation: 1})
	eventually.True(t, "version 7 at the second keeper", func() bool { return behind.node.HighestHeld() == 7 })
	if got := versionOf(v, "a"); got != 7 {
		t.Fatalf("the router holds version %d, want 7", got)
	}
}

// A router starts while no keeper can be reached and the platform is down. It gets the
// newest version of each record from several peers that differ. A peer without a
// complete set is not enough to serve.
func TestViewStartsFromPeerRouters(t *testing.T) {
	peer := func(complete bool, versions ...uint64) string {
		v := NewView(ViewOptions{Self: port.Member{ID: "peer"}})
		for i, version := range versions {
			v.node.PutRecord(testRecord(string(rune('a'+i)), version))
		}
		if complete {
			v.node.PutEndpoint(testEndpoint())
			v.node.SetComplete()
		}
		_, address := startServer(t, func(s *grpc.Server) { (&RouterService{Snapshot: v.Snapshot}).Register(s) })
		return address
	}
	incomplete := peer(false, 1, 1)
	v := NewView(ViewOptions{Self: port.Member{ID: "r1"}, Routers: []string{incomplete}})
	if v.fetchFromPeers(context.Background()) || v.Synced() {
		t.Fatal("complete or synced although the only peer has no complete set")
	}
	v = NewView(ViewOptions{Self: port.Member{ID: "r1"}, Routers: []string{incomplete, peer(true, 4, 9), peer(true, 6, 3)}})
	if !v.fetchFromPeers(context.Background()) {
		t.Fatal("not complete although two peers have complete sets")
	}
	v.node.SetComplete()
	if !v.Synced() || versionOf(v, "a") != 6 || versionOf(v, "b") != 9 {
		t.Fatalf("record a at version %d, b at %d, want a synced view with 6 and 9", versionOf(v, "a"), versionOf(v, "b"))
	}
}

// A version is known to be in force at some daemon, but no daemon sends it. The router
// waits for it only until the catch-up timeout, as that daemon may no longer exist.
func TestSyncedWaitsForAKnownVersion(t *testing.T) {
	v := NewView(ViewOptions{Self: port.Member{ID: "r1"}, CatchUpTimeout: time.Hour})
	v.node.Open(true).Receive(&node.Message{HighestVersion: 9, Complete: true})
	if v.Synced() {
		t.Fatal("synced before the timeout without the highest version")
	}
	v.completeAt = time.Now().Add(-2 * time.Hour)
	if !v.Synced() {
		t.Fatal("not synced after the timeout without the highest version")
	}
}

// The whole system starts, and a keeper has the records before the platform's list of
// hosts. A router that served now would be listed to callers without knowing an
// endpoint, and would refuse all requests. It must wait for an endpoint, but only until
// the catch-up timeout, as there may be none.
func TestSyncedWaitsForEndpoints(t *testing.T) {
	v := NewView(ViewOptions{Self: port.Member{ID: "r1"}, CatchUpTimeout: time.Hour})
	v.node.SetComplete()
	if v.Synced() {
		t.Fatal("synced before the timeout without an endpoint")
	}
	v.node.PutEndpoint(testEndpoint())
	if !v.Synced() {
		t.Fatal("not synced with an endpoint")
	}
	empty := NewView(ViewOptions{Self: port.Member{ID: "r2"}, CatchUpTimeout: time.Hour})
	empty.node.SetComplete()
	empty.Synced()
	empty.completeAt = time.Now().Add(-2 * time.Hour)
	if !empty.Synced() {
		t.Fatal("not synced after the timeout without an endpoint")
	}
}

// A host's clock was set back before a restart, so the daemon's incarnation is smaller
// than the one that other daemons hold. Unless the daemon raises it, its heartbeats are
// treated as late messages of the previous process.
func TestRestartWithAClockSetBack(t *testing.T) {
	k := startKeeper(t)
	k.node.SetComplete()
	previous := membership.Member{ID: "r1", Role: port.RoleRouter, Incarnation: 1 << 62, State: port.MemberDead}
	k.node.PutMember(previous)
	v := startView(t, "r1", ViewOptions{Keepers: []string{k.address}})
	eventually.True(t, "a larger incarnation", func() bool {
		m, _ := k.listener.get("r1")
		return m.Incarnation > previous.Incarnation && v.Incarnation() == m.Incarnation
	})
}

func TestProbeDistinguishesFrozenFromDead(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	k := startKeeper(t)
	if got := Probe(ctx, k.address); got != membership.ProbeAnswered {
		t.Errorf("probe of a live keeper returned %s", got)
	}
	frozen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer frozen.Close()
	short, cancelShort := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancelShort()
	if got := Probe(short, frozen.Addr().String()); got != membership.ProbeAccepted {
		t.Errorf("probe of a process that accepts connections and does not reply returned %s", got)
	}
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := closedListener.Addr().String()
	closedListener.Close()
	if got := Probe(ctx, address); got != membership.ProbeRefused {
		t.Errorf("probe of a dead process returned %s", got)
	}
}

// An endpoint reports to one router that it leaves. The state reaches the other routers
// through the keeper, without a probe.
func TestObservedLeavingReachesOtherRouters(t *testing.T) {
	k := startKeeper(t)
	k.node.PutEndpoint(membership.Listed(port.Endpoint{ID: "e", Address: "a", Incarnation: 1}))
	k.node.SetComplete()
	first := startView(t, "r1", ViewOptions{Keepers: []string{k.address}})
	second := startView(t, "r2", ViewOptions{Keepers: []string{k.address}})
	eventually.True(t, "the endpoint at both routers", func() bool { return len(first.Endpoints()) == 1 && len(second.Endpoints()) == 1 })
	first.ObserveReport(&port.LoadReport{EndpointID: "e", Incarnation: 1, State: port.EndpointLeaving})
	eventually.True(t, "the state leaving at the other router", func() bool { return second.Endpoints()[0].State == port.EndpointLeaving })
}
