package grpcclaim

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"

	peerv1 "github.com/dragonflyrail/dragonflyrail/api/peer/v1"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

const patience = 30 * time.Second

// fakeStore is one linear shard, which several keepers share as they would
// share the platform.
type fakeStore struct {
	mu    sync.Mutex
	shard *claim.Shard
	calls int
	// claim overrides the verdicts where set.
	claim func(ctx context.Context, entries []port.ClaimEntry) []claim.Result
}

var limits = claim.Limits{MaxBytes: 1 << 20, Retention: time.Hour, TombstoneRetention: time.Hour, NotRunMemory: time.Hour}

func newFakeStore() *fakeStore { return &fakeStore{shard: claim.NewShard()} }

func (f *fakeStore) Claim(ctx context.Context, entries []port.ClaimEntry) []claim.Result {
	f.mu.Lock()
	f.calls++
	override := f.claim
	f.mu.Unlock()
	if override != nil {
		return override(ctx, entries)
	}
	return f.decide(entries)
}

func (f *fakeStore) decide(entries []port.ClaimEntry) []claim.Result {
	f.mu.Lock()
	defer f.mu.Unlock()
	results := make([]claim.Result, len(entries))
	for i, e := range entries {
		results[i] = f.shard.Claim(time.Now(), e, &limits)
	}
	return results
}

func (f *fakeStore) Settle(_ context.Context, states []port.ClaimState) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, st := range states {
		if f.shard.Settle(time.Now(), st, &limits) {
			n++
		}
	}
	return n
}

func (f *fakeStore) Lookup(_ context.Context, key claim.KeyHash) (port.ClaimState, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	st, found := f.shard.Lookup(key)
	return st, found, nil
}

func (f *fakeStore) Retention() time.Duration { return limits.Retention }

func (f *fakeStore) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

type keeper struct {
	*Server
	peerv1.UnimplementedKeeperServer
}

// The methods of Server win over the embedded defaults.
func (k keeper) Claim(ctx context.Context, in *peerv1.ClaimRequest) (*peerv1.ClaimReply, error) {
	return k.Server.Claim(ctx, in)
}

func (k keeper) Settle(ctx context.Context, in *peerv1.SettleRequest) (*peerv1.SettleReply, error) {
	return k.Server.Settle(ctx, in)
}

func (k keeper) LookupClaim(ctx context.Context, in *peerv1.LookupClaimRequest) (*peerv1.LookupClaimReply, error) {
	return k.Server.LookupClaim(ctx, in)
}

func serve(t *testing.T, s Store) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := grpc.NewServer()
	peerv1.RegisterKeeperServer(g, keeper{Server: NewServer(s)})
	go func() { _ = g.Serve(l) }()
	t.Cleanup(g.Stop)
	return l.Addr().String()
}

// Addresses that refuse connections: these ports are reserved and have no
// service. A port closed by the test itself could be given out again.
const (
	refusing  = "127.0.0.1:1"
	refusing2 = "127.0.0.1:2"
)

func newTestClient(t *testing.T, o Options, addresses ...string) *Client {
	t.Helper()
	o.Keepers = func() []string { return addresses }
	o.Lanes = 1
	setDefault(&o.Timeout, patience)
	setDefault(&o.TryTimeout, patience)
	o.SettleDelay, o.SettleRetry = time.Millisecond, time.Millisecond
	c := NewClient(o)
	t.Cleanup(func() { c.Close(context.Background()) })
	return c
}

func entry(key byte, attempt string) port.ClaimEntry {
	return port.ClaimEntry{KeyHash: claim.KeyHash{key}, RequestID: "r1.x", AttemptID: attempt}
}

func wantClaim(t *testing.T, c *Client, e port.ClaimEntry, want port.ClaimVerdict) port.ClaimState {
	t.Helper()
	got, holder, err := c.Claim(context.Background(), e)
	if got != want {
		t.Fatalf("got %s %+v %v, want %s", got, holder, err, want)
	}
	return holder
}

func TestClaimSettleLookup(t *testing.T) {
	c := newTestClient(t, Options{}, serve(t, newFakeStore()))
	wantClaim(t, c, entry(1, "a"), port.ClaimGranted)
	if holder := wantClaim(t, c, entry(1, "b"), port.ClaimHeld); holder.AttemptID != "a" {
		t.Fatalf("holder %+v", holder)
	}
	c.Settle(port.ClaimState{KeyHash: claim.KeyHash{1}, RequestID: "r1.x", AttemptID: "a", Outcome: port.ClaimDone, StatusCode: 200})
	eventually.True(t, "the condition", func() bool {
		st, found, err := c.Lookup(context.Background(), claim.KeyHash{1})
		return err == nil && found && st.Outcome == port.ClaimDone && st.StatusCode == 200
	})
	if _, found, err := c.Lookup(context.Background(), claim.KeyHash{2}); found || err != nil {
		t.Fatalf("unknown key: %v %v", found, err)
	}
	if c.Retention() != limits.Retention {
		t.Fatalf("retention %s", c.Retention())
	}
}

// The preferred keeper is gone. Claims go to the other one, and the failed
// one is not asked first again for a while.
func TestFailsOverToAnotherKeeper(t *testing.T) {
	store := newFakeStore()
	c := newTestClient(t, Options{MaxTries: 3}, refusing, serve(t, store), refusing2)
	for key := range byte(20) {
		wantClaim(t, c, entry(key, "a"), port.ClaimGranted)
	}
}

// The preferred keeper is cut off from the platform and says so; another one
// still reaches it.
func TestAsksAnotherKeeperWhenOneIsCutOff(t *testing.T) {
	store, cut := newFakeStore(), newFakeStore()
	cut.claim = unavailable(claim.ReasonPlatform)
	addresses := []string{serve(t, store), serve(t, cut)}
	// Which keeper a lane prefers hangs on the ports that the test was given: one
	// time in 256, eight lanes all prefer the sound one.
	const lanes, mostLanes = 8, 128
	for lane := 0; lane < lanes || cut.callCount() == 0 && lane < mostLanes; lane++ {
		// A fresh client each time, as the cut keeper is remembered.
		c := newTestClient(t, Options{}, addresses...)
		c.lanes[0].number = lane
		wantClaim(t, c, entry(byte(lane), "a"), port.ClaimGranted)
	}
	if cut.callCount() == 0 {
		t.Fatal("the cut keeper was never asked; the test proves nothing")
	}
}

// No keeper can be reached: refused at once, and nothing is left to settle,
// as no byte was sent.
func TestNoKeeperReachable(t *testing.T) {
	c := newTestClient(t, Options{}, refusing)
	verdict, _, err := c.Claim(context.Background(), entry(1, "a"))
	if verdict != port.ClaimUnavailable || !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got %s %v", verdict, err)
	}
	c.settler.mu.Lock()
	defer c.settler.mu.Unlock()
	if len(c.settler.queue) != 0 {
		t.Fatal("a claim that was never sent waits to be settled")
	}
}

// The caller's deadline passes while a keeper is slow; the grant comes in
// afterwards. The router has answered not_run, so the grant is given back and
// the caller's next attempt runs.
func TestLateGrantIsGivenBack(t *testing.T) {
	store := newFakeStore()
	entered, release := make(chan struct{}), make(chan struct{})
	store.claim = func(_ context.Context, entries []port.ClaimEntry) []claim.Result {
		close(entered)
		<-release
		store.mu.Lock()
		store.claim = nil
		store.mu.Unlock()
		return store.decide(entries)
	}
	c := newTestClient(t, Options{}, serve(t, store))
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-entered
		cancel()
	}()
	verdict, _, _ := c.Claim(ctx, entry(1, "a"))
	if verdict != port.ClaimUnavailable {
		t.Fatalf("got %s", verdict)
	}
	close(release)
	eventually.True(t, "the condition", func() bool {
		st, found, _ := store.Lookup(context.Background(), claim.KeyHash{1})
		return found && st.Outcome == port.ClaimNotRun
	})
	wantClaim(t, c, entry(1, "b"), port.ClaimGranted)
}

// A keeper could not settle whether its write took effect. The claim is not
// granted, and the attempt is settled as not_run until the platform has it.
func TestUnsettledClaimIsSettledAsNotRun(t *testing.T) {
	store := newFakeStore()
	store.claim = func(_ context.Context, entries []port.ClaimEntry) []claim.Result {
		store.decide(entries) // the write takes effect, its reply is lost
		return unavailable(claim.ReasonUnsettled)(context.Background(), entries)
	}
	c := newTestClient(t, Options{}, serve(t, store))
	wantClaim(t, c, entry(1, "a"), port.ClaimUnavailable)
	eventually.True(t, "the condition", func() bool {
		st, found, _ := store.Lookup(context.Background(), claim.KeyHash{1})
		return found && st.Outcome == port.ClaimNotRun
	})
	store.mu.Lock()
	store.claim = nil
	store.mu.Unlock()
	wantClaim(t, c, entry(1, "b"), port.ClaimGranted)
}

// A keeper hangs after it took the call and may still write; the second one
// refuses for want of room. The first write may come, so the attempt is
// settled as not_run all the same.
func TestRefusalAfterASilentKeeperIsUnsettled(t *testing.T) {
	a := newAsking([]*waiter{{entry: entry(1, "a")}})
	a.markUncertain()
	reply := &peerv1.ClaimReply{Results: []*peerv1.ClaimResult{{Verdict: string(port.ClaimUnavailable), Reason: string(claim.ReasonFull)}}}
	if err := a.read(reply); err != nil {
		t.Fatal(err)
	}
	if a.results[0] != unsettled {
		t.Fatalf("got %+v", a.results[0])
	}
}

// An answer of a newer keeper that this router doesn't know is no grant.
func TestUnknownVerdictIsNoGrant(t *testing.T) {
	for _, m := range []*peerv1.ClaimResult{{}, {Verdict: "granted2"}, {Verdict: "held"}} {
		if got := resultFromWire(m); got != unsettled {
			t.Errorf("%v: got %+v", m, got)
		}
	}
}

// While a call is under way, the claims of a lane gather into the next one.
func TestClaimsGatherIntoOneCall(t *testing.T) {
	store := newFakeStore()
	entered, release := make(chan struct{}), make(chan struct{})
	var first sync.Once
	store.claim = func(_ context.Context, entries []port.ClaimEntry) []claim.Result {
		first.Do(func() {
			close(entered)
			<-release
		})
		return store.decide(entries)
	}
	c := newTestClient(t, Options{CallsPerLane: 1}, serve(t, store))
	var wait sync.WaitGroup
	ask := func(key byte) {
		wait.Go(func() {
			if verdict, _, err := c.Claim(context.Background(), entry(key, "a")); verdict != port.ClaimGranted {
				t.Errorf("key %d: %s %v", key, verdict, err)
			}
		})
	}
	ask(0)
	<-entered
	const more = 40
	for key := range byte(more) {
		ask(key + 1)
	}
	eventually.True(t, "the condition", func() bool {
		c.lanes[0].mu.Lock()
		defer c.lanes[0].mu.Unlock()
		return len(c.lanes[0].waiting) == more
	})
	close(release)
	wait.Wait()
	if store.callCount() != 2 {
		t.Fatalf("%d calls, want 2", store.callCount())
	}
}

// A malformed call is refused whole and reaches no store.
func TestServerRefusesMalformedCalls(t *testing.T) {
	store := newFakeStore()
	s := NewServer(store)
	long := string(make([]byte, maxIDBytes+1))
	key := make([]byte, 16)
	for _, e := range []*peerv1.ClaimEntry{
		{KeyHash: key[:15], RequestId: "r", AttemptId: "a"},
		{KeyHash: key, AttemptId: "a"},
		{KeyHash: key, RequestId: "r"},
		{KeyHash: key, RequestId: long, AttemptId: "a"},
	} {
		if _, err := s.Claim(context.Background(), &peerv1.ClaimRequest{Entries: []*peerv1.ClaimEntry{e}}); err == nil {
			t.Errorf("%v was accepted", e)
		}
	}
	if _, err := s.Settle(context.Background(), &peerv1.SettleRequest{States: []*peerv1.ClaimState{
		{KeyHash: key, RequestId: "r", AttemptId: "a", Outcome: "perhaps"},
	}}); err == nil {
		t.Error("an unknown outcome was accepted")
	}
	if store.callCount() != 0 {
		t.Error("a malformed call reached the store")
	}
}

func unavailable(r claim.Reason) func(context.Context, []port.ClaimEntry) []claim.Result {
	return func(_ context.Context, entries []port.ClaimEntry) []claim.Result {
		results := make([]claim.Result, len(entries))
		for i := range results {
			results[i] = claim.Result{Verdict: port.ClaimUnavailable, Reason: r}
		}
		return results
	}
}
