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

const testTimeout = 30 * time.Second

// fakeStore holds one shard behind a lock. Several keepers can share it, as they
// share the platform.
type fakeStore struct {
	mu    sync.Mutex
	shard *claim.Shard
	calls int
	// claimOverride replaces decide if set.
	claimOverride func(ctx context.Context, entries []port.ClaimEntry) []claim.Result
}

var limits = claim.Limits{MaxBytes: 1 << 20, Retention: time.Hour, TombstoneRetention: time.Hour, NotRunRetention: time.Hour}

func newFakeStore() *fakeStore { return &fakeStore{shard: claim.NewShard()} }

func (f *fakeStore) Claim(ctx context.Context, entries []port.ClaimEntry) []claim.Result {
	f.mu.Lock()
	f.calls++
	override := f.claimOverride
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

// These methods resolve the ambiguity between the two embedded types.
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

// Addresses that refuse connections, as no service listens on these reserved
// ports. A port that the test itself opened and closed could be reused by another
// process.
const (
	closedAddress  = "127.0.0.1:1"
	closedAddress2 = "127.0.0.1:2"
)

func newTestClient(t *testing.T, o Options, addresses ...string) *Client {
	t.Helper()
	o.Keepers = func() []string { return addresses }
	o.Partitions = 1
	setDefault(&o.Timeout, testTimeout)
	setDefault(&o.TryTimeout, testTimeout)
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
		t.Fatalf("got verdict %s, holder %+v, error %v, want verdict %s", got, holder, err, want)
	}
	return holder
}

func TestClaimSettleLookup(t *testing.T) {
	c := newTestClient(t, Options{}, serve(t, newFakeStore()))
	wantClaim(t, c, entry(1, "a"), port.ClaimGranted)
	if holder := wantClaim(t, c, entry(1, "b"), port.ClaimHeld); holder.AttemptID != "a" {
		t.Fatalf("got holder %+v, want attempt a", holder)
	}
	c.Settle(port.ClaimState{KeyHash: claim.KeyHash{1}, RequestID: "r1.x", AttemptID: "a", Outcome: port.ClaimDone, StatusCode: 200})
	eventually.True(t, "the stored outcome done with status 200", func() bool {
		st, found, err := c.Lookup(context.Background(), claim.KeyHash{1})
		return err == nil && found && st.Outcome == port.ClaimDone && st.StatusCode == 200
	})
	if _, found, err := c.Lookup(context.Background(), claim.KeyHash{2}); found || err != nil {
		t.Fatalf("lookup of an unclaimed key: found %v, error %v", found, err)
	}
	if c.Retention() != limits.Retention {
		t.Fatalf("got retention %s, want that of the keeper", c.Retention())
	}
}

// Two of three keepers refuse connections. All claims are granted by the third one,
// whichever keeper the partition prefers; failed keepers are called last for a while.
func TestFailsOverToReachableKeeper(t *testing.T) {
	store := newFakeStore()
	c := newTestClient(t, Options{MaxTries: 3}, closedAddress, serve(t, store), closedAddress2)
	for key := range byte(20) {
		wantClaim(t, c, entry(key, "a"), port.ClaimGranted)
	}
}

// The preferred keeper replies that it can't reach the platform. The claim is then
// granted by a keeper that can.
func TestFailsOverFromKeeperWithoutPlatform(t *testing.T) {
	store, disconnected := newFakeStore(), newFakeStore()
	disconnected.claimOverride = unavailable(claim.ReasonPlatform)
	addresses := []string{serve(t, store), serve(t, disconnected)}
	// Which keeper a partition prefers depends on the ports that the test was given.
	// With a probability of 1 in 256, the first eight partitions all prefer the
	// connected one, and further partitions are tried.
	const minPartitions, maxPartitions = 8, 128
	for partition := 0; partition < minPartitions || disconnected.callCount() == 0 && partition < maxPartitions; partition++ {
		// Each partition uses a new client, as a client demotes the disconnected
		// keeper after the first call.
		c := newTestClient(t, Options{}, addresses...)
		c.batchers[0].partition = partition
		wantClaim(t, c, entry(byte(partition), "a"), port.ClaimGranted)
	}
	if disconnected.callCount() == 0 {
		t.Fatal("no claim was sent to the disconnected keeper, so the failover was not tested")
	}
}

// No keeper can be reached. The claim is refused, and nothing is queued to be
// settled, as nothing was sent.
func TestNoKeeperReachable(t *testing.T) {
	c := newTestClient(t, Options{}, closedAddress)
	verdict, _, err := c.Claim(context.Background(), entry(1, "a"))
	if verdict != port.ClaimUnavailable || !errors.Is(err, ErrUnavailable) {
		t.Fatalf("got verdict %s, error %v, want unavailable with ErrUnavailable", verdict, err)
	}
	c.settler.mu.Lock()
	defer c.settler.mu.Unlock()
	if len(c.settler.queue) != 0 {
		t.Fatal("a claim that was never sent is queued to be settled")
	}
}

// The caller's context ends while a keeper is slow, and the grant arrives
// afterwards. The router has already answered not_run, so the attempt must be
// settled as not_run to free the key for the caller's next attempt.
func TestLateGrantIsSettledAsNotRun(t *testing.T) {
	store := newFakeStore()
	entered, release := make(chan struct{}), make(chan struct{})
	store.claimOverride = func(_ context.Context, entries []port.ClaimEntry) []claim.Result {
		close(entered)
		<-release
		store.mu.Lock()
		store.claimOverride = nil
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
		t.Fatalf("got verdict %s after the context ended, want unavailable", verdict)
	}
	close(release)
	eventually.True(t, "the stored outcome not_run", func() bool {
		st, found, _ := store.Lookup(context.Background(), claim.KeyHash{1})
		return found && st.Outcome == port.ClaimNotRun
	})
	wantClaim(t, c, entry(1, "b"), port.ClaimGranted)
}

// A keeper could not determine whether its write took effect. The claim is not
// granted, and the client settles the attempt as not_run until it is stored.
func TestUnsettledClaimIsSettledAsNotRun(t *testing.T) {
	store := newFakeStore()
	store.claimOverride = func(_ context.Context, entries []port.ClaimEntry) []claim.Result {
		store.decide(entries) // The write takes effect, but its reply is lost.
		return unavailable(claim.ReasonUnsettled)(context.Background(), entries)
	}
	c := newTestClient(t, Options{}, serve(t, store))
	wantClaim(t, c, entry(1, "a"), port.ClaimUnavailable)
	eventually.True(t, "the stored outcome not_run", func() bool {
		st, found, _ := store.Lookup(context.Background(), claim.KeyHash{1})
		return found && st.Outcome == port.ClaimNotRun
	})
	store.mu.Lock()
	store.claimOverride = nil
	store.mu.Unlock()
	wantClaim(t, c, entry(1, "b"), port.ClaimGranted)
}

// The first keeper does not answer and may still write the claim. The second one
// refuses because its shard is full. The result must be unsettled, so that the
// attempt is settled as not_run.
func TestRefusalAfterUncertainCallIsUnsettled(t *testing.T) {
	a := newClaimBatch([]*pendingClaim{{entry: entry(1, "a")}})
	a.markUncertain()
	reply := &peerv1.ClaimReply{Results: []*peerv1.ClaimResult{{Verdict: string(port.ClaimUnavailable), Reason: string(claim.ReasonFull)}}}
	if err := a.applyReply(reply); err != nil {
		t.Fatal(err)
	}
	if a.results[0] != unsettled {
		t.Fatalf("got %+v, want unsettled", a.results[0])
	}
}

// A verdict that this router doesn't know, such as one of a newer keeper, and a
// held verdict without a holder are not treated as grants.
func TestUnknownVerdictIsUnsettled(t *testing.T) {
	for _, m := range []*peerv1.ClaimResult{{}, {Verdict: "granted2"}, {Verdict: "held"}} {
		if got := resultFromWire(m); got != unsettled {
			t.Errorf("reply %v: got %+v, want unsettled", m, got)
		}
	}
}

// While a call is active, further claims of the partition are batched into the next
// call.
func TestClaimsAreBatchedIntoOneCall(t *testing.T) {
	store := newFakeStore()
	entered, release := make(chan struct{}), make(chan struct{})
	var first sync.Once
	store.claimOverride = func(_ context.Context, entries []port.ClaimEntry) []claim.Result {
		first.Do(func() {
			close(entered)
			<-release
		})
		return store.decide(entries)
	}
	c := newTestClient(t, Options{CallsPerPartition: 1}, serve(t, store))
	var wg sync.WaitGroup
	startClaim := func(key byte) {
		wg.Go(func() {
			if verdict, _, err := c.Claim(context.Background(), entry(key, "a")); verdict != port.ClaimGranted {
				t.Errorf("key %d: got verdict %s, error %v, want granted", key, verdict, err)
			}
		})
	}
	startClaim(0)
	<-entered
	const queuedClaims = 40
	for key := range byte(queuedClaims) {
		startClaim(key + 1)
	}
	eventually.True(t, "all further claims in the queue", func() bool {
		c.batchers[0].mu.Lock()
		defer c.batchers[0].mu.Unlock()
		return len(c.batchers[0].waiting) == queuedClaims
	})
	close(release)
	wg.Wait()
	if store.callCount() != 2 {
		t.Fatalf("got %d calls, want 2", store.callCount())
	}
}

// A call with one malformed entry is rejected as a whole and doesn't reach the
// store.
func TestServerRejectsMalformedCalls(t *testing.T) {
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
			t.Errorf("malformed claim %v was accepted", e)
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
