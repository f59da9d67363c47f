package claimstore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/jsonlog"
	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

const testRate = 1e6

func testStore(p port.Platform) *Store {
	return New(Options{
		Platform: p, Shards: 1, WritesPerSecond: testRate, WriteBurst: testRate,
		SettleDelay: time.Millisecond,
	})
}

func entry(key byte, attempt string) port.ClaimEntry {
	return port.ClaimEntry{KeyHash: claim.KeyHash{key}, RequestID: "r." + attempt, AttemptID: attempt}
}

func notRun(key byte, attempt string) port.ClaimState {
	return port.ClaimState{KeyHash: claim.KeyHash{key}, RequestID: "r." + attempt, AttemptID: attempt, Outcome: port.ClaimNotRun}
}

func claimOne(t *testing.T, s *Store, e port.ClaimEntry) claim.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return s.Claim(ctx, []port.ClaimEntry{e})[0]
}

func settleOne(t *testing.T, s *Store, st port.ClaimState) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	return s.Settle(ctx, []port.ClaimState{st})
}

func wantVerdict(t *testing.T, got claim.Result, want port.ClaimVerdict) {
	t.Helper()
	if got.Verdict != want {
		t.Fatalf("got %+v, want %s", got, want)
	}
}

// A caller retries at another router, which uses another keeper. That keeper
// has not seen the key and must read from the platform that it is held.
func TestSecondKeeperRefusesAHeldKey(t *testing.T) {
	p := newFakePlatform()
	a, b := testStore(p.client(1)), testStore(p.client(2))
	wantVerdict(t, claimOne(t, b, entry(9, "warm")), port.ClaimGranted)
	wantVerdict(t, claimOne(t, a, entry(1, "first")), port.ClaimGranted)
	got := claimOne(t, b, entry(1, "second"))
	wantVerdict(t, got, port.ClaimHeld)
	if got.Holder.AttemptID != "first" {
		t.Fatalf("held by %q", got.Holder.AttemptID)
	}
}

// The reply to a write is lost after the write took effect. The caller must
// not get not_run for a key that stays claimed: the keeper must read the shard
// again, find the attempt's own id and grant the key.
func TestLostReplyIsResolvedByReread(t *testing.T) {
	p := newFakePlatform()
	s := testStore(p.client(1))
	wantVerdict(t, claimOne(t, s, entry(9, "warm")), port.ClaimGranted)
	p.faultFor = faultNextWrite(faultLoseReply)
	wantVerdict(t, claimOne(t, s, entry(1, "first")), port.ClaimGranted)
}

// A write is delayed and its reply counts as lost. The keeper reads the shard
// again, finds nothing and writes again. The delayed write then arrives and
// must fail, as it expects an older version.
func TestDelayedWriteFailsAfterRetry(t *testing.T) {
	p := newFakePlatform()
	s := testStore(p.client(1))
	wantVerdict(t, claimOne(t, s, entry(9, "warm")), port.ClaimGranted)
	p.faultFor = faultNextWrite(faultDelayWrite)
	wantVerdict(t, claimOne(t, s, entry(1, "first")), port.ClaimGranted)
	before := p.Writes()
	p.applyDelayed()
	if p.Writes() != before {
		t.Fatal("the delayed write took effect")
	}
}

// The platform is unavailable. The claim must be refused at once because of
// the platform, and the key must not be claimed.
func TestUnavailablePlatformRefusesImmediately(t *testing.T) {
	p := newFakePlatform()
	s := testStore(p.client(1))
	p.faultFor = func(int, bool) fault { return faultUnavailable }
	got := claimOne(t, s, entry(1, "first"))
	wantVerdict(t, got, port.ClaimUnavailable)
	if got.Reason != claim.ReasonPlatform {
		t.Fatalf("reason %q", got.Reason)
	}
	p.faultFor = func(int, bool) fault { return faultNone }
	wantVerdict(t, claimOne(t, s, entry(1, "second")), port.ClaimGranted)
}

// A write takes effect, its reply is lost, and the platform becomes
// unavailable before the shard can be read again. The claim is not granted,
// although the key is stored as claimed. After the router has settled the
// attempt as not_run, the caller's retry must be granted, not refused as if
// the first attempt had run.
func TestUnsettledClaimCanBeSettledAsNotRun(t *testing.T) {
	p := newFakePlatform()
	s := testStore(p.client(1))
	wantVerdict(t, claimOne(t, s, entry(9, "warm")), port.ClaimGranted)
	p.faultFor = func(_ int, write bool) fault {
		if write {
			return faultLoseReply
		}
		return faultUnavailable
	}
	got := claimOne(t, s, entry(1, "first"))
	wantVerdict(t, got, port.ClaimUnavailable)
	if got.Reason != claim.ReasonUnsettled {
		t.Fatalf("reason %q, want unsettled", got.Reason)
	}
	p.faultFor = func(int, bool) fault { return faultNone }
	wantVerdict(t, claimOne(t, s, entry(1, "second")), port.ClaimHeld)
	if settleOne(t, s, notRun(1, "first")) != 1 {
		t.Fatal("not settled")
	}
	wantVerdict(t, claimOne(t, s, entry(1, "third")), port.ClaimGranted)
}

// A keeper is frozen between its read and its write, and another keeper grants
// the key meanwhile. The frozen keeper must not grant the key too when it
// resumes.
func TestFrozenKeeperDoesNotGrantTwice(t *testing.T) {
	p := newFakePlatform()
	a, b := testStore(p.client(1)), testStore(p.client(2))
	wantVerdict(t, claimOne(t, a, entry(9, "warm")), port.ClaimGranted)
	blocked := false
	p.faultFor = func(keeper int, write bool) fault {
		if keeper == 1 && write && !blocked {
			blocked = true
			return faultBlock
		}
		return faultNone
	}
	frozen := make(chan claim.Result, 1)
	go func() { frozen <- claimOne(t, a, entry(1, "first")) }()
	<-p.blocked
	wantVerdict(t, claimOne(t, b, entry(1, "second")), port.ClaimGranted)
	p.release[1] <- struct{}{}
	wantVerdict(t, <-frozen, port.ClaimHeld)
}

// A router abandons an attempt and settles it as not_run while a frozen keeper
// still has the claim in its queue. The attempt must be barred when the keeper
// resumes. Otherwise the key would stay claimed by a call that will never be
// dispatched.
func TestAbandonedAttemptIsBarred(t *testing.T) {
	p := newFakePlatform()
	a, b := testStore(p.client(1)), testStore(p.client(2))
	if settleOne(t, a, notRun(1, "first")) != 1 {
		t.Fatal("not settled")
	}
	got := claimOne(t, b, entry(1, "first"))
	wantVerdict(t, got, port.ClaimHeld)
	if got.Holder.Outcome != port.ClaimNotRun {
		t.Fatalf("holder %+v", got.Holder)
	}
	wantVerdict(t, claimOne(t, b, entry(1, "second")), port.ClaimGranted)
}

// Attempt "first" did not run, so its key is free. A keeper is frozen in the
// write that grants the key to "second"; the router abandons "second" and
// settles it as not_run at another keeper. The frozen write must fail.
// Otherwise the key would stay claimed by a call that will never be
// dispatched.
func TestBarringAttemptFailsItsPendingWrite(t *testing.T) {
	p := newFakePlatform()
	a, b := testStore(p.client(1)), testStore(p.client(2))
	wantVerdict(t, claimOne(t, b, entry(1, "first")), port.ClaimGranted)
	if settleOne(t, b, notRun(1, "first")) != 1 {
		t.Fatal("not settled")
	}
	wantVerdict(t, claimOne(t, a, entry(9, "warm")), port.ClaimGranted)
	blocked := false
	p.faultFor = func(keeper int, write bool) fault {
		if keeper == 1 && write && !blocked {
			blocked = true
			return faultBlock
		}
		return faultNone
	}
	frozen := make(chan claim.Result, 1)
	go func() { frozen <- claimOne(t, a, entry(1, "second")) }()
	<-p.blocked
	if settleOne(t, b, notRun(1, "second")) != 1 {
		t.Fatal("not settled")
	}
	p.release[1] <- struct{}{}
	wantVerdict(t, <-frozen, port.ClaimHeld)
	wantVerdict(t, claimOne(t, b, entry(1, "third")), port.ClaimGranted)
}

// A keeper that was frozen must not grant a key to a claim whose context has
// ended.
func TestOverdueClaimIsNotWritten(t *testing.T) {
	p := newFakePlatform()
	s := testStore(p.client(1))
	wantVerdict(t, claimOne(t, s, entry(9, "warm")), port.ClaimGranted)
	writes := p.Writes()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	op := newClaim(ctx, entry(1, "first"))
	s.shards[0].commit([]*operation{op})
	a := <-op.response
	if a.result.Reason != claim.ReasonOverdue || p.Writes() != writes {
		t.Fatalf("got %+v after %d writes", a.result, p.Writes()-writes)
	}
}

// Two keepers with different settings must map a key to the same object, or it
// could be granted twice. Both must use the layout that was stored first.
func TestStoredLayoutAppliesToEveryKeeper(t *testing.T) {
	p := newFakePlatform()
	a := New(Options{Platform: p.client(1), Shards: 7})
	b := New(Options{Platform: p.client(2), Shards: 5, Limits: claim.Limits{Retention: time.Minute}})
	for key := range byte(32) {
		e := entry(key, "first")
		e.KeyHash[15] = key
		wantVerdict(t, claimOne(t, a, e), port.ClaimGranted)
		e.AttemptID = "second"
		wantVerdict(t, claimOne(t, b, e), port.ClaimHeld)
	}
	if b.Retention() != DefaultRetention {
		t.Fatalf("retention %s is not the stored one", b.Retention())
	}
}

// A shard written by a newer release must be neither interpreted nor
// rewritten.
func TestNewerFormatIsNotModified(t *testing.T) {
	p := newFakePlatform()
	s := testStore(p.client(1))
	wantVerdict(t, claimOne(t, s, entry(9, "warm")), port.ClaimGranted)
	newer := json.RawMessage(`{"format_version":3,"claims":"","more":1}`)
	current, _ := p.Store.Get(context.Background(), port.ObjectClaims, "shard-0000")
	if _, err := p.Store.Put(context.Background(), port.ObjectClaims, "shard-0000", current.Version, newer); err != nil {
		t.Fatal(err)
	}
	got := claimOne(t, s, entry(1, "first"))
	wantVerdict(t, got, port.ClaimUnavailable)
	if got.Reason != claim.ReasonFormat {
		t.Fatalf("reason %q", got.Reason)
	}
	if after, _ := p.Store.Get(context.Background(), port.ObjectClaims, "shard-0000"); string(after.Value) != string(newer) {
		t.Fatal("the shard was rewritten")
	}
}

// Claims that arrive during a write must be written together by the next one,
// so that the platform gets far fewer writes than claims.
func TestClaimsAreGroupedDuringAWrite(t *testing.T) {
	p := newFakePlatform()
	s := testStore(p.client(1))
	wantVerdict(t, claimOne(t, s, entry(200, "warm")), port.ClaimGranted)
	blocked := false
	p.faultFor = func(_ int, write bool) fault {
		if write && !blocked {
			blocked = true
			return faultBlock
		}
		return faultNone
	}
	before := p.Writes()
	var wait sync.WaitGroup
	wait.Go(func() { wantVerdict(t, claimOne(t, s, entry(0, "a")), port.ClaimGranted) })
	<-p.blocked
	const more = 50
	for key := range byte(more) {
		wait.Go(func() {
			wantVerdict(t, claimOne(t, s, entry(key+1, fmt.Sprint("b", key))), port.ClaimGranted)
		})
	}
	eventually.True(t, "all further claims in the queue", func() bool {
		s.shards[0].mu.Lock()
		defer s.shards[0].mu.Unlock()
		return len(s.shards[0].queue) == more
	})
	p.release[1] <- struct{}{}
	wait.Wait()
	if writes := p.Writes() - before; writes != 2 {
		t.Fatalf("%d writes for %d claims, want 2", writes, more+1)
	}
}

// More keepers must not cause more writes on the platform: each keeper's share
// of the rate must follow the number of keepers while it runs.
func TestWriteRateIsSharedAmongKeepers(t *testing.T) {
	keepers := 4
	s := New(Options{Platform: newFakePlatform().client(1), WritesPerSecond: 100, Keepers: func() int { return keepers }})
	for _, want := range []rate.Limit{25, 50, 100} {
		if err := s.waitForWrite(context.Background()); err != nil || s.writeLimiter.Limit() != want {
			t.Fatalf("write rate %v with %d keepers, %v", s.writeLimiter.Limit(), keepers, err)
		}
		keepers /= 2
	}
}

// Operators must be able to see that a shard is filling up before it refuses
// claims.
func TestFullestShardGauge(t *testing.T) {
	r := gometrics.NewRegistry()
	s := New(Options{Platform: newFakePlatform().client(1), Shards: 2, Metrics: r})
	wantVerdict(t, claimOne(t, s, entry(1, "first")), port.ClaimGranted)
	g, ok := r.Get("claims_fullest_shard_bytes").(gometrics.Gauge)
	if !ok || g.Snapshot().Value() < 50 {
		t.Fatalf("got %v", g)
	}
}

// Lookup must read the platform, and return an error if it can't.
func TestLookup(t *testing.T) {
	p := newFakePlatform()
	a, b := testStore(p.client(1)), testStore(p.client(2))
	wantVerdict(t, claimOne(t, a, entry(1, "first")), port.ClaimGranted)
	done := notRun(1, "first")
	done.Outcome, done.StatusCode = port.ClaimDone, 201
	if settleOne(t, a, done) != 1 {
		t.Fatal("not settled")
	}
	st, found, err := b.Lookup(context.Background(), claim.KeyHash{1})
	if err != nil || !found || st.Outcome != port.ClaimDone || st.StatusCode != 201 {
		t.Fatalf("got %+v %v %v", st, found, err)
	}
	p.faultFor = func(int, bool) fault { return faultUnavailable }
	if _, _, err := b.Lookup(context.Background(), claim.KeyHash{1}); !errors.Is(err, port.ErrPlatformUnavailable) {
		t.Fatalf("got %v", err)
	}
}

// Log lines must name objects but never keys, whatever fails: with the hash of
// a key, a reader of the logs could test guesses of the key.
func TestLogsContainNoKeys(t *testing.T) {
	p := newFakePlatform()
	var lines bytes.Buffer
	s := New(Options{
		Platform: p.client(1), Shards: 1, WritesPerSecond: testRate, WriteBurst: testRate,
		Logger: jsonlog.New(&lines, "test", "t", "debug"),
	})
	sum := sha256.Sum256([]byte("invoice-4711"))
	e := port.ClaimEntry{KeyHash: claim.KeyHash(sum[:16]), RequestID: "r1.request-77", AttemptID: "attempt-88"}
	for _, f := range []fault{faultNone, faultUnavailable, faultLoseCall, faultLoseReply} {
		p.faultFor = func(int, bool) fault { return f }
		claimOne(t, s, e)
		settleOne(t, s, port.ClaimState{KeyHash: e.KeyHash, RequestID: e.RequestID, AttemptID: e.AttemptID, Outcome: port.ClaimNotRun})
	}
	if lines.Len() == 0 {
		t.Fatal("nothing was logged, so the test checks nothing")
	}
	hash := hex.EncodeToString(e.KeyHash[:])
	encoded := base64.StdEncoding.EncodeToString(e.KeyHash[:])
	for _, secret := range []string{"invoice-4711", hash, encoded[:16], string(e.KeyHash[:]), "attempt-88"} {
		if bytes.Contains(lines.Bytes(), []byte(secret)) {
			t.Fatalf("%q is in the log:\n%s", secret, lines.Bytes())
		}
	}
}

// faultNextWrite injects a fault into the next write only.
func faultNextWrite(f fault) func(int, bool) fault {
	used := false
	return func(_ int, write bool) fault {
		if !write || used {
			return faultNone
		}
		used = true
		return f
	}
}
