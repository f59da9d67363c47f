package claim

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

var testLimits = Limits{
	MaxBytes:           1 << 20,
	Retention:          time.Hour,
	TombstoneRetention: 24 * time.Hour,
	NotRunRetention:    5 * time.Minute,
}

var start = time.UnixMilli(1_800_000_000_000)

func entry(key byte, attempt string) port.ClaimEntry {
	return port.ClaimEntry{KeyHash: KeyHash{key}, RequestID: "r1.x", AttemptID: attempt}
}

func settled(e port.ClaimEntry, o port.ClaimOutcome) port.ClaimState {
	return port.ClaimState{KeyHash: e.KeyHash, RequestID: e.RequestID, AttemptID: e.AttemptID, Outcome: o}
}

func wantVerdict(t *testing.T, got Result, want port.ClaimVerdict) {
	t.Helper()
	if got.Verdict != want {
		t.Fatalf("got %+v, want %s", got, want)
	}
}

// A key becomes available again only if the attempt that holds it settles it as
// not_run.
func TestOnlyNotRunOfHolderReleasesKey(t *testing.T) {
	cases := []struct {
		name    string
		settle  port.ClaimState
		verdict port.ClaimVerdict
	}{
		{"done", settled(entry(1, "a"), port.ClaimDone), port.ClaimHeld},
		{"failed", settled(entry(1, "a"), port.ClaimFailed), port.ClaimHeld},
		{"unknown", settled(entry(1, "a"), port.ClaimUnknown), port.ClaimHeld},
		{"claimed", settled(entry(1, "a"), port.ClaimUnsettled), port.ClaimHeld},
		{"not_run of another attempt", settled(entry(1, "b"), port.ClaimNotRun), port.ClaimHeld},
		{"not_run of the holder", settled(entry(1, "a"), port.ClaimNotRun), port.ClaimGranted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := NewShard()
			wantVerdict(t, s.Claim(start, entry(1, "a"), &testLimits), port.ClaimGranted)
			s.Settle(start, c.settle, &testLimits)
			wantVerdict(t, s.Claim(start, entry(1, "b"), &testLimits), c.verdict)
		})
	}
}

// A known outcome is final: not_run after done would permit a second run.
func TestKnownOutcomesAreFinal(t *testing.T) {
	for _, first := range []port.ClaimOutcome{port.ClaimDone, port.ClaimFailed, port.ClaimNotRun} {
		for _, second := range []port.ClaimOutcome{port.ClaimDone, port.ClaimFailed, port.ClaimNotRun, port.ClaimUnknown} {
			s := NewShard()
			s.Claim(start, entry(1, "a"), &testLimits)
			s.Settle(start, settled(entry(1, "a"), first), &testLimits)
			s.Settle(start, settled(entry(1, "a"), second), &testLimits)
			if got, _ := s.Lookup(KeyHash{1}); got.Outcome != first {
				t.Errorf("outcome %s after %s: stored %s", second, first, got.Outcome)
			}
		}
	}
}

// A key that is reused after its outcome has been dropped is refused: running it
// could be the second run.
func TestKeyPastRetentionIsRefused(t *testing.T) {
	s := NewShard()
	wantVerdict(t, s.Claim(start, entry(1, "a"), &testLimits), port.ClaimGranted)
	afterRetention := start.Add(testLimits.Retention + time.Millisecond)
	wantVerdict(t, s.Claim(afterRetention, entry(1, "b"), &testLimits), port.ClaimExpired)
	afterRetention = start.Add(2 * testLimits.Retention)
	s.Prune(afterRetention, &testLimits)
	if s.Len() != 0 || s.Tombstones() != 1 {
		t.Fatalf("got %d claims and %d tombstones, want 0 and 1", s.Len(), s.Tombstones())
	}
	wantVerdict(t, s.Claim(afterRetention, entry(1, "b"), &testLimits), port.ClaimExpired)
	s = reload(t, s)
	wantVerdict(t, s.Claim(afterRetention, entry(1, "b"), &testLimits), port.ClaimExpired)
	afterTombstones := start.Add(testLimits.Retention + testLimits.TombstoneRetention + time.Hour)
	s.Prune(afterTombstones, &testLimits)
	if s.Tombstones() != 0 {
		t.Fatal("the expired tombstone was not dropped")
	}
}

// Attempt "a" is abandoned before "b" claims the key, or while "b" holds it. After
// "b" is settled as not_run, a delayed claim for "a" at a frozen keeper must not
// get the key, as no router would ever settle it.
func TestSupersededAttemptStaysBarred(t *testing.T) {
	for _, abandonedFirst := range []bool{true, false} {
		s := NewShard()
		if abandonedFirst {
			s.Settle(start, settled(entry(1, "a"), port.ClaimNotRun), &testLimits)
		}
		wantVerdict(t, s.Claim(start, entry(1, "b"), &testLimits), port.ClaimGranted)
		s.Settle(start, settled(entry(1, "a"), port.ClaimNotRun), &testLimits)
		s.Settle(start, settled(entry(1, "b"), port.ClaimNotRun), &testLimits)
		s = reload(t, s)
		wantVerdict(t, s.Claim(start, entry(1, "a"), &testLimits), port.ClaimHeld)
		wantVerdict(t, s.Claim(start, entry(1, "c"), &testLimits), port.ClaimGranted)
		s.Prune(start.Add(2*testLimits.NotRunRetention), &testLimits)
		if len(s.barred) != 0 {
			t.Fatal("the expired barred attempt was not dropped")
		}
	}
}

// Abandoning an attempt must change the stored shard, even if another attempt was
// settled as not_run under the key before: a pending write of the abandoned claim
// fails only because the object has a new version.
func TestAbandoningAttemptChangesShard(t *testing.T) {
	s := NewShard()
	s.Settle(start, settled(entry(1, "a"), port.ClaimNotRun), &testLimits)
	c := s.Clone()
	if !c.Settle(start, settled(entry(1, "b"), port.ClaimNotRun), &testLimits) || !c.Changed() {
		t.Fatal("settling the second attempt as not_run did not change the shard")
	}
}

// A key whose attempt did not run gets no tombstone, as it may be used again.
func TestNotRunLeavesNoTombstone(t *testing.T) {
	s := NewShard()
	s.Claim(start, entry(1, "a"), &testLimits)
	s.Settle(start, settled(entry(1, "a"), port.ClaimNotRun), &testLimits)
	afterRetention := start.Add(2 * testLimits.Retention)
	s.Prune(afterRetention, &testLimits)
	if s.Len() != 0 {
		t.Fatal("the expired not_run claim was not dropped")
	}
	wantVerdict(t, s.Claim(afterRetention, entry(1, "b"), &testLimits), port.ClaimGranted)
}

// A shard at its maximum size refuses new keys and still processes claims and
// outcomes of the keys that it contains.
func TestFullShardRefusesNewKeys(t *testing.T) {
	limits := testLimits
	limits.MaxBytes = 4000
	s := NewShard()
	var refused Result
	n := 0
	for ; n < 256 && refused.Verdict == ""; n++ {
		if r := s.Claim(start, entry(byte(n), "a"), &limits); r.Verdict != port.ClaimGranted {
			refused = r
		}
	}
	if refused.Verdict != port.ClaimUnavailable || refused.Reason != ReasonFull {
		t.Fatalf("got %+v after %d claims, want unavailable with reason full", refused, n)
	}
	wantVerdict(t, s.Claim(start, entry(0, "b"), &limits), port.ClaimHeld)
	if !s.Settle(start, settled(entry(0, "a"), port.ClaimNotRun), &limits) {
		t.Fatal("a full shard did not record a not_run outcome")
	}
	wantVerdict(t, s.Claim(start, entry(0, "b"), &limits), port.ClaimGranted)
	raw, err := s.Encode()
	if err != nil || len(raw) > limits.MaxBytes {
		t.Fatalf("the full shard encodes to %d bytes, error %v", len(raw), err)
	}
}

// After any sequence of operations a shard survives encoding and decoding
// unchanged, and its encoded size does not exceed its bound.
func TestEncodeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomShard(t)
		raw, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > s.Bytes() {
			t.Fatalf("encoded size is %d bytes, more than the bound of %d", len(raw), s.Bytes())
		}
		decoded, err := Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		rewritten, err := decoded.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if string(rewritten) != string(raw) {
			t.Fatalf("the encoding changed: %d bytes before decoding, %d after", len(raw), len(rewritten))
		}
		if fmt.Sprint(decoded.claims) != fmt.Sprint(s.claims) {
			t.Fatalf("claims differ:\n%v\n%v", s.claims, decoded.claims)
		}
		if fmt.Sprint(decoded.tombstones.index) != fmt.Sprint(s.tombstones.index) {
			t.Fatal("tombstones differ")
		}
		if fmt.Sprint(decoded.barred) != fmt.Sprint(s.barred) {
			t.Fatal("barred attempts differ")
		}
		if decoded.Bytes() != s.Bytes() {
			t.Fatalf("the size bound changed: %d before decoding, %d after", s.Bytes(), decoded.Bytes())
		}
	})
}

// A key whose attempt did not run is claimed by an attempt of another router. If
// the first router, which has no claim left, stays in the list of issuers, it is
// stored and counted, and the size bound differs after decoding (97 instead of
// 109 in this case).
func TestReplacingClaimRemovesUnusedIssuer(t *testing.T) {
	id := uuid.NewSHA1(uuid.Nil, []byte("request")).String()
	first := port.ClaimEntry{RequestID: "router-1." + id, AttemptID: "router-1." + id + "/1"}
	second := port.ClaimEntry{RequestID: "a.b." + id, AttemptID: "a.b." + id + "/1"}
	s := NewShard()
	wantVerdict(t, s.Claim(start, first, &testLimits), port.ClaimGranted)
	s.Settle(start, settled(first, port.ClaimNotRun), &testLimits)
	wantVerdict(t, s.Claim(start, second, &testLimits), port.ClaimGranted)
	raw, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(raw), "router-1") {
		t.Error("an issuer without claims was stored")
	}
	decoded, err := Decode(raw)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Bytes() != s.Bytes() || len(raw) > s.Bytes() {
		t.Errorf("encoded size %d, bound %d before decoding and %d after", len(raw), s.Bytes(), decoded.Bytes())
	}
}

// The encoded size stays within its bound, before and after decoding, also with
// clock skew between keepers and many issuers.
func TestBytesBoundsEncodedSize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewShard()
		n := rapid.IntRange(0, 400).Draw(t, "claims")
		for i := range n {
			skew := time.Duration(rapid.Int64Range(-int64(48*time.Hour), int64(48*time.Hour)).Draw(t, "skew"))
			id := uuid.NewSHA1(uuid.Nil, []byte{byte(i >> 8), byte(i)})
			e := port.ClaimEntry{KeyHash: KeyHash(id), RequestID: fmt.Sprintf("r%d.%s", i, id), AttemptID: id.String()}
			s.Claim(start.Add(skew), e, &testLimits)
			st := settled(e, port.ClaimFailed)
			st.StatusCode = 599
			s.Settle(start.Add(skew), st, &testLimits)
		}
		raw, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(raw)
		if err != nil {
			t.Fatal(err)
		}
		if len(raw) > s.Bytes() || len(raw) > decoded.Bytes() {
			t.Fatalf("encoded size is %d bytes, more than the bound of %d before decoding or %d after", len(raw), s.Bytes(), decoded.Bytes())
		}
	})
}

// Changes of a clone must not show in the original, which still serves requests
// while the clone is written to the platform.
func TestCloneIsIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomShard(t)
		before, _ := s.Encode()
		c := s.Clone()
		now := start.Add(time.Duration(rapid.Int64Range(0, int64(48*time.Hour)).Draw(t, "later")))
		c.Prune(now, &testLimits)
		for _, e := range rapid.SliceOfN(drawEntry, 0, 10).Draw(t, "entries") {
			c.Claim(now, e, &testLimits)
			c.Settle(now, settled(e, port.ClaimNotRun), &testLimits)
		}
		after, _ := s.Encode()
		if string(before) != string(after) {
			t.Fatal("changing the clone changed the original")
		}
	})
}

var drawEntry = rapid.Custom(func(t *rapid.T) port.ClaimEntry {
	e := port.ClaimEntry{KeyHash: KeyHash{byte(rapid.IntRange(0, 40).Draw(t, "key"))}}
	switch rapid.IntRange(0, 2).Draw(t, "form") {
	case 0:
		e.RequestID = "router-1." + uuid.NewSHA1(uuid.Nil, e.KeyHash[:]).String()
	case 1:
		e.RequestID = "a.b." + uuid.NewSHA1(uuid.Nil, e.KeyHash[:]).String()
	default:
		e.RequestID = rapid.StringN(1, 20, 40).Draw(t, "request")
	}
	switch rapid.IntRange(0, 2).Draw(t, "attempt form") {
	case 0:
		e.AttemptID = e.RequestID + "/1"
	case 1:
		e.AttemptID = uuid.NewSHA1(uuid.Nil, []byte(e.RequestID)).String()
	default:
		e.AttemptID = rapid.StringN(1, 20, 40).Draw(t, "attempt")
	}
	return e
})

func randomShard(t *rapid.T) *Shard {
	s := NewShard()
	now := start
	steps := rapid.IntRange(0, 60).Draw(t, "steps")
	for range steps {
		now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(t, "pass")))
		s.Prune(now, &testLimits)
		e := drawEntry.Draw(t, "entry")
		s.Claim(now, e, &testLimits)
		o := rapid.SampledFrom([]port.ClaimOutcome{port.ClaimUnsettled, port.ClaimDone, port.ClaimFailed, port.ClaimNotRun, port.ClaimUnknown}).Draw(t, "outcome")
		st := settled(e, o)
		st.StatusCode = rapid.IntRange(0, 599).Draw(t, "status")
		s.Settle(now, st, &testLimits)
	}
	return s
}

func reload(t *testing.T, s *Shard) *Shard {
	t.Helper()
	value, err := s.EncodeValue()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeValue(value)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

func TestDecodeRejectsNewerFormat(t *testing.T) {
	if _, err := DecodeValue([]byte(`{"format_version":3,"claims":""}`)); !errors.Is(err, ErrNewerFormat) {
		t.Fatalf("got %v", err)
	}
	if _, err := Decode([]byte{0x08, 0x02}); !errors.Is(err, ErrNewerFormat) {
		t.Fatalf("got %v", err)
	}
}

func TestKeyTooOld(t *testing.T) {
	v7 := uuid.Must(uuid.NewV7())
	created := time.Unix(v7.Time().UnixTime())
	cases := []struct {
		name, key string
		after     time.Duration
		want      bool
	}{
		{"fresh", v7.String(), time.Minute, false},
		{"old", v7.String(), 2 * time.Hour, true},
		{"UUID without a time", uuid.NewString(), 100 * time.Hour, false},
		{"not a uuid", "invoice-17", 100 * time.Hour, false},
	}
	for _, c := range cases {
		if got := KeyTooOld(c.key, created.Add(c.after), time.Hour); got != c.want {
			t.Errorf("%s: got %v", c.name, got)
		}
	}
}

// FuzzDecode checks that no bytes from the platform cause a panic, and that a shard
// that is accepted survives encoding and decoding.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Decode(raw)
		if err != nil {
			return
		}
		reencoded, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(reencoded)
		if err != nil {
			t.Fatal(err)
		}
		if decoded.Len() != s.Len() || decoded.Tombstones() != s.Tombstones() {
			t.Fatal("claims or tombstones were lost")
		}
	})
}

// FuzzDecodeValue checks that no JSON value around the encoded shard causes a panic.
func FuzzDecodeValue(f *testing.F) {
	f.Add([]byte(`{"format_version":1,"claims":"CAE="}`))
	f.Add([]byte(`{"format_version":9}`))
	f.Fuzz(func(_ *testing.T, raw []byte) { _, _ = DecodeValue(raw) })
}
