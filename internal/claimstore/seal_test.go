package claimstore

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyrail/dragonflyrail/internal/core/claim"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

const (
	sealRetention  = time.Minute
	sealTombstones = time.Hour
)

// testClock is a wall clock that tests advance.
type testClock struct{ millis atomic.Int64 }

func newTestClock() *testClock {
	c := &testClock{}
	c.millis.Store(1_800_000_000_000)
	return c
}

func (c *testClock) now() time.Time          { return time.UnixMilli(c.millis.Load()) }
func (c *testClock) advance(d time.Duration) { c.millis.Add(d.Milliseconds()) }

// sealStore returns a Store that seals as soon as a shard has a tombstone.
func sealStore(p port.Platform, c *testClock) *Store {
	return New(Options{
		Platform: p, Shards: 1, WritesPerSecond: testRate, WriteBurst: testRate, SettleDelay: time.Millisecond,
		Now:    c.now,
		Limits: claim.Limits{Retention: sealRetention, TombstoneRetention: sealTombstones, SealBytes: 1},
	})
}

// expireKey claims a key and lets it expire, so that the head has a tombstone
// for it.
func expireKey(t *testing.T, s *Store, c *testClock, key byte) {
	t.Helper()
	wantVerdict(t, claimOne(t, s, entry(key, "first")), port.ClaimGranted)
	c.advance(2 * sealRetention)
	wantVerdict(t, claimOne(t, s, entry(key+100, "prunes")), port.ClaimGranted)
}

func readHead(t *testing.T, p *fakePlatform) *claim.Shard {
	t.Helper()
	object, err := p.Store.Get(context.Background(), port.ObjectClaims, "shard-0000")
	if err != nil {
		t.Fatal(err)
	}
	stored, err := claim.DecodeValue(object.Value)
	if err != nil {
		t.Fatal(err)
	}
	return stored
}

func wantParts(t *testing.T, p *fakePlatform, want int) {
	t.Helper()
	if got := readHead(t, p).Parts(); len(got) != want {
		t.Fatalf("parts %+v, want %d", got, want)
	}
}

// faultOnNthWrite injects a fault into a keeper's n-th write from now on,
// counted from one.
func faultOnNthWrite(keeper, n int, f fault) func(int, bool) fault {
	seen := 0
	return func(k int, write bool) fault {
		if k != keeper || !write {
			return faultNone
		}
		seen++
		if seen == n {
			return f
		}
		return faultNone
	}
}

// Guards against granting an expired key again after its tombstone was moved
// to a sealed part, by this keeper or one that starts later.
func TestSealedKeyStaysExpired(t *testing.T) {
	p, c := newFakePlatform(), newTestClock()
	s := sealStore(p.client(1), c)
	expireKey(t, s, c, 1)
	wantParts(t, p, 0)
	wantVerdict(t, claimOne(t, s, entry(50, "seals")), port.ClaimGranted)
	wantParts(t, p, 1)
	if readHead(t, p).Tombstones() != 1 {
		t.Fatal("the shard does not have exactly one tombstone")
	}
	wantVerdict(t, claimOne(t, s, entry(1, "again")), port.ClaimExpired)
	wantVerdict(t, claimOne(t, sealStore(p.client(2), c), entry(1, "again")), port.ClaimExpired)
}

// During sealing, the write of the part or of the head fails or its reply is
// lost, and the write takes effect at once, later or never. In each case the
// expired key must stay refused, and sealing must succeed in the end.
func TestLostReplyWhileSealing(t *testing.T) {
	for _, f := range []fault{faultLoseReply, faultLoseCall, faultDelayWrite, faultUnavailable} {
		for write := 1; write <= 2; write++ {
			p, c := newFakePlatform(), newTestClock()
			s := sealStore(p.client(1), c)
			expireKey(t, s, c, 1)
			p.faultFor = faultOnNthWrite(1, write, f)
			wantVerdict(t, claimOne(t, s, entry(50, "seals")), port.ClaimGranted)
			wantVerdict(t, claimOne(t, s, entry(1, "again")), port.ClaimExpired)
			p.applyDelayed()
			for key := byte(60); key < 64; key++ {
				wantVerdict(t, claimOne(t, s, entry(key, "seals")), port.ClaimGranted)
			}
			wantParts(t, p, 1)
			wantVerdict(t, claimOne(t, s, entry(1, "again")), port.ClaimExpired)
			wantVerdict(t, claimOne(t, sealStore(p.client(2), c), entry(1, "again")), port.ClaimExpired)
		}
	}
}

// Two keepers seal the same tombstones: one is frozen before it writes the
// part, or between its writes of the part and the head, and the other does all
// of it meanwhile. Only one list of parts must remain, the part that it lists
// must be intact, and both keepers and a new one must refuse the expired key.
func TestTwoKeepersSealConcurrently(t *testing.T) {
	for write := 1; write <= 2; write++ {
		p, c := newFakePlatform(), newTestClock()
		a, b := sealStore(p.client(1), c), sealStore(p.client(2), c)
		expireKey(t, a, c, 1)
		p.faultFor = faultOnNthWrite(1, write, faultBlock)
		frozen := make(chan claim.Result, 1)
		go func() { frozen <- claimOne(t, a, entry(50, "seals")) }()
		<-p.blocked
		for key := byte(60); key < 64; key++ {
			wantVerdict(t, claimOne(t, b, entry(key, "seals")), port.ClaimGranted)
		}
		wantParts(t, p, 1)
		p.release[1] <- struct{}{}
		wantVerdict(t, <-frozen, port.ClaimGranted)
		wantParts(t, p, 1)
		for _, s := range []*Store{a, b, sealStore(p.client(3), c)} {
			wantVerdict(t, claimOne(t, s, entry(1, "again")), port.ClaimExpired)
		}
	}
}

// A keeper with an old head is frozen in the write that grants a key.
// Meanwhile another attempt is granted the key and expires, and its tombstone
// is moved to a part. The frozen write must fail, and the key must be refused
// after the part was read.
func TestStaleWriteFailsAfterSealing(t *testing.T) {
	p, c := newFakePlatform(), newTestClock()
	a, b := sealStore(p.client(1), c), sealStore(p.client(2), c)
	wantVerdict(t, claimOne(t, a, entry(9, "warm")), port.ClaimGranted)
	p.faultFor = faultOnNthWrite(1, 1, faultBlock)
	frozen := make(chan claim.Result, 1)
	go func() { frozen <- claimOne(t, a, entry(1, "second")) }()
	<-p.blocked
	expireKey(t, b, c, 1)
	wantVerdict(t, claimOne(t, b, entry(50, "seals")), port.ClaimGranted)
	wantParts(t, p, 1)
	p.release[1] <- struct{}{}
	wantVerdict(t, <-frozen, port.ClaimExpired)
}

// A keeper is frozen in the write of a part while its slot is used, freed and
// used again. The delayed write must not replace the part that the head lists:
// the tombstones of that part would be lost.
func TestDelayedPartWriteDoesNotOverwriteNewerPart(t *testing.T) {
	p, c := newFakePlatform(), newTestClock()
	a, b := sealStore(p.client(1), c), sealStore(p.client(2), c)
	expireKey(t, a, c, 1)
	p.faultFor = faultOnNthWrite(1, 1, faultBlock)
	frozen := make(chan claim.Result, 1)
	go func() { frozen <- claimOne(t, a, entry(50, "seals")) }()
	<-p.blocked
	wantVerdict(t, claimOne(t, b, entry(51, "reads")), port.ClaimGranted)
	wantVerdict(t, claimOne(t, b, entry(52, "seals")), port.ClaimGranted)
	wantParts(t, p, 1)
	first := readHead(t, p).Parts()[0]
	c.advance(2 * sealTombstones)
	expireKey(t, b, c, 2)
	wantVerdict(t, claimOne(t, b, entry(53, "seals")), port.ClaimGranted)
	reused := slices.ContainsFunc(readHead(t, p).Parts(), func(part claim.Part) bool {
		return part.Slot == first.Slot && part.Version != first.Version
	})
	if !reused {
		t.Fatalf("slot %d was not reused: %+v", first.Slot, readHead(t, p).Parts())
	}
	p.release[1] <- struct{}{}
	wantVerdict(t, <-frozen, port.ClaimGranted)
	for _, s := range []*Store{a, b, sealStore(p.client(3), c)} {
		wantVerdict(t, claimOne(t, s, entry(2, "again")), port.ClaimExpired)
	}
}

// The writes of sealing must count towards the write rate limit. Otherwise
// they would be added to the rate that the platform allows for claims.
func TestSealingIsRateLimited(t *testing.T) {
	p, c := newFakePlatform(), newTestClock()
	s := sealStore(p.client(1), c)
	s.opts.WritesPerSecond = 1e-6
	s.writeLimiter = rate.NewLimiter(1e-6, 100)
	expireKey(t, s, c, 1)
	shard := s.openedShards()[0]
	eventually.True(t, "the end of the running commit", func() bool { return !running(shard) })
	before := s.writeLimiter.Tokens()
	shard.seal()
	wantParts(t, p, 1)
	if used := before - s.writeLimiter.Tokens(); used < 1.9 || used > 2.1 {
		t.Fatalf("sealing used %f writes of the rate limit, want 2", used)
	}
}

// recordingPlatform records the names of the objects that are read. If change
// is set, it replaces the results of the reads.
type recordingPlatform struct {
	port.Platform
	names  []string
	change func(name string, o port.Object, err error) (port.Object, error)
}

func (r *recordingPlatform) Get(ctx context.Context, kind, name string) (port.Object, error) {
	r.names = append(r.names, name)
	o, err := r.Platform.Get(ctx, kind, name)
	if r.change == nil {
		return o, err
	}
	return r.change(name, o, err)
}

// sealTwoParts expires keys 1 and 2 and seals their tombstones in two parts.
func sealTwoParts(t *testing.T, p *fakePlatform, c *testClock) {
	t.Helper()
	s := sealStore(p.client(1), c)
	expireKey(t, s, c, 1)
	expireKey(t, s, c, 2)
	wantVerdict(t, claimOne(t, s, entry(50, "seals")), port.ClaimGranted)
	wantParts(t, p, 2)
}

// A keeper that has just started has no keys in memory. It must read the head
// and every part before it grants its first key.
func TestNewKeeperReadsAllPartsBeforeGranting(t *testing.T) {
	p, c := newFakePlatform(), newTestClock()
	sealTwoParts(t, p, c)
	r := &recordingPlatform{Platform: p.client(2)}
	s := sealStore(r, c)
	wantVerdict(t, claimOne(t, s, entry(70, "new")), port.ClaimGranted)
	want := []string{"layout", "shard-0000", "shard-0000-sealed-00", "shard-0000-sealed-01"}
	if !slices.Equal(r.names, want) {
		t.Fatalf("read %v, want %v", r.names, want)
	}
	wantVerdict(t, claimOne(t, s, entry(1, "again")), port.ClaimExpired)
	wantVerdict(t, claimOne(t, s, entry(2, "again")), port.ClaimExpired)
}

// A sealed part can't be read, or is not the one that the head lists. Claims
// must be refused as unavailable, which the caller gets as not_run, and
// nothing may be granted or written. The shard must be usable again once the
// part can be read.
func TestUnreadablePartGrantsNothing(t *testing.T) {
	const part = "shard-0000-sealed-01"
	cases := []struct {
		name   string
		change func(o port.Object) (port.Object, error)
		reason claim.Reason
	}{
		{"down", func(o port.Object) (port.Object, error) { return o, port.ErrPlatformUnavailable }, claim.ReasonPlatform},
		{"missing", func(o port.Object) (port.Object, error) { return o, port.ErrNotFound }, claim.ReasonPlatform},
		{"another version", func(o port.Object) (port.Object, error) { o.Version++; return o, nil }, claim.ReasonPlatform},
		{"corrupt", func(o port.Object) (port.Object, error) { o.Value = json.RawMessage(`{}x`); return o, nil }, claim.ReasonFormat},
		{"empty", func(o port.Object) (port.Object, error) { o.Value = json.RawMessage(`{}`); return o, nil }, claim.ReasonFormat},
		{"newer", func(o port.Object) (port.Object, error) {
			o.Value = json.RawMessage(`{"format_version":3}`)
			return o, nil
		}, claim.ReasonFormat},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p, c := newFakePlatform(), newTestClock()
			sealTwoParts(t, p, c)
			before := p.Writes()
			r := &recordingPlatform{Platform: p.client(2)}
			r.change = func(name string, o port.Object, err error) (port.Object, error) {
				if name != part || err != nil {
					return o, err
				}
				return tc.change(o)
			}
			s := sealStore(r, c)
			for _, key := range []byte{1, 2, 70} {
				got := claimOne(t, s, entry(key, "new"))
				wantVerdict(t, got, port.ClaimUnavailable)
				if got.Reason != tc.reason {
					t.Fatalf("reason %q, want %q", got.Reason, tc.reason)
				}
			}
			if p.Writes() != before {
				t.Fatal("the keeper wrote to the platform without a readable part")
			}
			r.change = nil
			wantVerdict(t, claimOne(t, s, entry(2, "again")), port.ClaimExpired)
			wantVerdict(t, claimOne(t, s, entry(70, "again")), port.ClaimGranted)
		})
	}
}
