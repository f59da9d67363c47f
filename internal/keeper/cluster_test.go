package keeper

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/grpcpeer"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpplatform"
	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/platform"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

// cluster is a group of keepers that connect over loopback and share one
// platform stand-in.
type cluster struct {
	t        *testing.T
	platform *platform.Platform
	server   *httptest.Server
	keepers  []*runningKeeper
}

type runningKeeper struct {
	*Keeper
	server *grpc.Server
	stop   func()
	prober *fakeProber
	// cut makes the platform unreachable for this keeper.
	cut *atomic.Bool
}

// cutTransport fails every call while cut is set.
type cutTransport struct {
	cut  *atomic.Bool
	next http.Handler
}

func (c cutTransport) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c.cut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c.next.ServeHTTP(w, r)
}

// fakeProber returns preset load reports for endpoints.
type fakeProber struct {
	mu      sync.Mutex
	reports map[string]port.LoadReport
	probed  int
}

func (f *fakeProber) Load(_ context.Context, e port.Endpoint) (port.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed++
	r, ok := f.reports[e.ID]
	if !ok {
		return port.LoadReport{}, context.DeadlineExceeded
	}
	return r, nil
}

func (f *fakeProber) set(r port.LoadReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports[r.EndpointID] = r
}

func (f *fakeProber) unset(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reports, id)
}

func newCluster(t *testing.T, n int) *cluster {
	t.Helper()
	o := platform.DefaultOptions()
	o.HostLag = 0
	c := &cluster{t: t, platform: platform.New(o)}
	c.server = httptest.NewServer(c.platform)
	t.Cleanup(c.server.Close)
	addresses := make([]string, n)
	listeners := make([]net.Listener, n)
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i], addresses[i] = l, l.Addr().String()
	}
	for i := range n {
		c.keepers = append(c.keepers, c.start(i, listeners[i], addresses))
	}
	return c
}

const testHeartbeat = 20 * time.Millisecond

func (c *cluster) start(i int, l net.Listener, addresses []string) *runningKeeper {
	r := &runningKeeper{prober: &fakeProber{reports: map[string]port.LoadReport{}}, cut: &atomic.Bool{}}
	gate := httptest.NewServer(cutTransport{cut: r.cut, next: c.platform})
	c.t.Cleanup(gate.Close)
	r.Keeper = New(Options{
		Self: port.Member{
			ID: fmt.Sprintf("k%d", i), FailureDomain: fmt.Sprintf("d%d", i%3),
			PeerAddress: l.Addr().String(),
		},
		Keepers: addresses, Platform: httpplatform.New(httpplatform.Options{BaseURL: gate.URL}),
		Prober: r.prober, Decisions: &fakes.Decisions{}, Logger: discardLogger(),
		WatchWait: 200 * time.Millisecond, FallbackAfter: 2 * time.Second,
		HostsEvery: testHeartbeat, ProbeEvery: testHeartbeat,
		HeartbeatEvery: testHeartbeat, SilenceAfter: 500 * time.Millisecond,
		OutcomeTimeout: 2 * time.Second, OutcomeRetryPause: 10 * time.Millisecond,
	})
	r.server = grpc.NewServer(grpcpeer.ServerOptions()...)
	r.Service(nil).Register(r.server)
	go func() { _ = r.server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = r.Run(ctx); close(done) }()
	var once sync.Once
	r.stop = func() { once.Do(func() { cancel(); r.server.Stop(); <-done }) }
	c.t.Cleanup(r.stop)
	return r
}

func (c *cluster) waitUntilReady() {
	c.t.Helper()
	eventually.True(c.t, "all keepers are ready and know each other", func() bool {
		for _, k := range c.keepers {
			if !k.Ready() || len(k.liveKeepers()) != len(c.keepers) {
				return false
			}
		}
		return true
	})
}

func (c *cluster) setFaults(body string) {
	c.t.Helper()
	r, err := http.NewRequest(http.MethodPut, c.server.URL+"/standin/faults", strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	c.do(r)
}

func (c *cluster) setHosts(list string) {
	c.t.Helper()
	r, err := http.NewRequest(http.MethodPut, c.server.URL+"/standin/hosts", strings.NewReader(`{"endpoints":[`+list+`]}`))
	if err != nil {
		c.t.Fatal(err)
	}
	c.do(r)
}

func (c *cluster) do(r *http.Request) {
	c.t.Helper()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		c.t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusOK {
		c.t.Fatalf("%s %s: %d", r.Method, r.URL, res.StatusCode)
	}
}

func (c *cluster) heldEverywhere(version uint64, except ...*runningKeeper) func() bool {
	return func() bool {
		for _, k := range c.keepers {
			skip := false
			for _, e := range except {
				skip = skip || e == k
			}
			if r, ok := k.Record(testKind, testName); !skip && (!ok || r.Version != version) {
				return false
			}
		}
		return true
	}
}

// An operator writes to one of five keepers, three of which watch the platform.
// All five hold the record; the two that don't watch get it through the relay
// alone.
func TestAcceptedWriteReachesAllKeepers(t *testing.T) {
	c := newCluster(t, 5)
	c.waitUntilReady()
	r := mustChange(t, c.keepers[4].Keeper, create(1))
	eventually.True(t, "all keepers hold the record", c.heldEverywhere(r.Record.Version))
	eventually.True(t, "every in-force entry is current", func() bool {
		status := c.keepers[0].InForce(context.Background())
		for _, h := range status.Hosts {
			if !h.Current || h.State != port.MemberLive {
				return false
			}
		}
		return len(status.Hosts) == 5 && len(status.Unanswered) == 0
	})
}

// A write bypasses all keepers, as if the keeper that made it died right after.
// The few keepers that watch the platform read it, and relay it to the others.
func TestWatchedChangeReachesAllKeepers(t *testing.T) {
	c := newCluster(t, 5)
	c.waitUntilReady()
	client := httpplatform.New(httpplatform.Options{BaseURL: c.server.URL})
	writer, _ := newTestKeeper(client)
	r := mustChange(t, writer, create(1))
	eventually.True(t, "all keepers hold the record", c.heldEverywhere(r.Record.Version))
}

// One keeper loses the platform but not the other keepers. Its records stay
// current through the relay. An operator's write to it is refused as not
// written.
func TestKeeperWithoutPlatformStaysCurrent(t *testing.T) {
	c := newCluster(t, 3)
	c.waitUntilReady()
	c.keepers[1].cut.Store(true)
	r := mustChange(t, c.keepers[0].Keeper, create(1))
	eventually.True(t, "all keepers hold the record", c.heldEverywhere(r.Record.Version))
	if _, err := c.keepers[1].Change(context.Background(), revise(2, 1)); err == nil {
		t.Fatal("accepted a write without the platform")
	}
}

// All watchers lose the platform while the other keepers could reach it. The
// age of the last answer grows on every keeper, until other keepers start to
// watch.
func TestOtherKeepersWatchWhenWatchersLosePlatform(t *testing.T) {
	c := newCluster(t, 5)
	c.waitUntilReady()
	watchers := membership.Watchers(c.keepers[0].liveKeepers(), DefaultWatchers)
	for _, k := range c.keepers {
		for _, id := range watchers {
			if k.options.Self.ID == id {
				k.cut.Store(true)
			}
		}
	}
	client := httpplatform.New(httpplatform.Options{BaseURL: c.server.URL})
	writer, _ := newTestKeeper(client)
	r := mustChange(t, writer, create(1))
	eventually.True(t, "all keepers hold the record", c.heldEverywhere(r.Record.Version))
}

// The platform is down and the keepers are replaced one by one. Each new keeper
// gets the records from the remaining ones, and the last one replaced holds
// them all.
func TestRecordsSurviveKeeperReplacementDuringOutage(t *testing.T) {
	c := newCluster(t, 3)
	c.waitUntilReady()
	r := mustChange(t, c.keepers[0].Keeper, create(1))
	eventually.True(t, "all keepers hold the record", c.heldEverywhere(r.Record.Version))
	c.setFaults(`{"down":true}`)
	addresses := make([]string, 0, len(c.keepers))
	for _, k := range c.keepers {
		addresses = append(addresses, k.options.Self.PeerAddress)
	}
	for i := range c.keepers {
		c.keepers[i].stop()
		l, err := net.Listen("tcp", addresses[i])
		if err != nil {
			t.Fatal(err)
		}
		c.keepers[i] = c.start(i, l, addresses)
		eventually.True(t, "the replacement keeper is ready with the record", func() bool {
			held, ok := c.keepers[i].Record(testKind, testName)
			return c.keepers[i].Ready() && ok && held.Version == r.Record.Version
		})
	}
}

// A keeper's process dies. Its address refuses connections, so the others mark
// it dead rather than silent. A new process under the same id is live again.
func TestStoppedKeeperIsMarkedDeadAndRejoins(t *testing.T) {
	c := newCluster(t, 3)
	c.waitUntilReady()
	address := c.keepers[1].options.Self.PeerAddress
	c.keepers[1].stop()
	memberAt := func(k *runningKeeper) membership.Member { m, _ := k.node.Members.Get("k1"); return m }
	eventually.True(t, "the other keepers mark k1 dead", func() bool {
		a, b := memberAt(c.keepers[0]), memberAt(c.keepers[2])
		return a.State == port.MemberDead && b.State == port.MemberDead && a.Condition == membership.ConditionRefused
	})
	l, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.keepers[1] = c.start(1, l, []string{c.keepers[0].options.Self.PeerAddress})
	c.waitUntilReady()
}

const endpointJSON = `{"id":"e","kind":"runner","pool":"p","address":"127.0.0.1:9","failure_domain":"d0","incarnation":1,"state":"live"}`

func (c *cluster) endpointEverywhere(holds func(e membership.Endpoint) bool) func() bool {
	return func() bool {
		for _, k := range c.keepers {
			e, ok := k.node.Endpoints.Get("e")
			if !ok || !holds(e) {
				return false
			}
		}
		return true
	}
}

// An endpoint reports that it is leaving while the list still shows it as live.
// Every keeper learns of it, and the list never makes that incarnation live
// again.
func TestEndpointReportOverridesStaleList(t *testing.T) {
	c := newCluster(t, 3)
	c.waitUntilReady()
	for _, k := range c.keepers {
		k.prober.set(port.LoadReport{EndpointID: "e", Incarnation: 1, State: port.EndpointLive})
	}
	c.setHosts(endpointJSON)
	eventually.True(t, "the endpoint is live and confirmed on all keepers", c.endpointEverywhere(func(e membership.Endpoint) bool { return e.Confirmed && e.State == port.EndpointLive }))
	for _, k := range c.keepers {
		k.prober.set(port.LoadReport{EndpointID: "e", Incarnation: 1, State: port.EndpointLeaving})
	}
	leaving := c.endpointEverywhere(func(e membership.Endpoint) bool { return e.State == port.EndpointLeaving })
	eventually.True(t, "the endpoint is leaving on all keepers", leaving)
	c.setHosts(endpointJSON)
	for _, k := range c.keepers {
		k.mergeHosts([]port.HostEntry{{Endpoint: port.Endpoint{ID: "e", Incarnation: 1, State: port.EndpointLive}}}, map[string]int{})
	}
	if !leaving() {
		t.Fatal("the list made the leaving endpoint live again")
	}
	for _, k := range c.keepers {
		k.prober.set(port.LoadReport{EndpointID: "e", Incarnation: 2, State: port.EndpointLive})
	}
	eventually.True(t, "the next incarnation is live on all keepers", c.endpointEverywhere(func(e membership.Endpoint) bool { return e.Incarnation == 2 && e.State == port.EndpointLive }))
}

// Probes fail for a while: the endpoint is marked unreachable, and reachable
// again as soon as it answers. It is marked gone only when the list has dropped
// it as well.
func TestFailedProbesAloneAreReversible(t *testing.T) {
	c := newCluster(t, 3)
	c.waitUntilReady()
	report := port.LoadReport{EndpointID: "e", Incarnation: 1, State: port.EndpointLive}
	set := func() {
		for _, k := range c.keepers {
			k.prober.set(report)
		}
	}
	unset := func() {
		for _, k := range c.keepers {
			k.prober.unset("e")
		}
	}
	set()
	c.setHosts(endpointJSON)
	eventually.True(t, "the endpoint is confirmed on all keepers", c.endpointEverywhere(func(e membership.Endpoint) bool { return e.Confirmed }))
	unset()
	eventually.True(t, "the endpoint is unreachable on all keepers", c.endpointEverywhere(func(e membership.Endpoint) bool { return e.Unreachable && e.State == port.EndpointLive }))
	set()
	eventually.True(t, "the endpoint is reachable again on all keepers", c.endpointEverywhere(func(e membership.Endpoint) bool { return !e.Unreachable }))
	unset()
	c.setHosts("")
	eventually.True(t, "the endpoint is gone on all keepers", c.endpointEverywhere(func(e membership.Endpoint) bool { return e.State == port.EndpointGone }))
}

// Most of a keeper's probes fail at once. The keeper's own link is the likelier
// cause, so the keeper must not mark all endpoints unreachable for all routers.
func TestMostProbesFailingIsOwnLinkFault(t *testing.T) {
	k, _ := newTestKeeper(newFakePlatform())
	share := make([]membership.Endpoint, 8)
	for i := range share {
		share[i] = membership.Listed(port.Endpoint{ID: fmt.Sprintf("e%d", i), Incarnation: 1})
		k.node.PutEndpoint(share[i])
	}
	unreachable := func() int {
		n := 0
		for e := range k.node.Endpoints.All() {
			if e.Unreachable {
				n++
			}
		}
		return n
	}
	all := []bool{true, true, true, true, true, true, true, true}
	for range 2 * failuresToUnreachable {
		k.handleProbeFailures(share, all)
	}
	if n := unreachable(); n != 0 {
		t.Fatalf("%d endpoints marked unreachable, want none", n)
	}
	one := make([]bool, len(share))
	one[2] = true
	for range failuresToUnreachable {
		k.handleProbeFailures(share, one)
	}
	if n := unreachable(); n != 1 {
		t.Fatalf("%d endpoints marked unreachable, want one", n)
	}
}

// Both sides of a partition have marked the other side dead, and each has a
// complete ring of its own. After the links heal no ring neighbour connects to
// the other side; only the link to a keeper that isn't known to be live does.
func TestPartitionedKeepersRejoin(t *testing.T) {
	c := newCluster(t, 2)
	c.waitUntilReady()
	for i, k := range c.keepers {
		other, _ := k.node.Members.Get(c.keepers[1-i].options.Self.ID)
		other.State, other.Condition = port.MemberDead, membership.ConditionUnreachable
		// Larger than the sequence of any heartbeat that the other keeper has
		// sent so far.
		other.Sequence += 1000
		k.node.PutMember(other)
	}
	c.waitUntilReady()
}
