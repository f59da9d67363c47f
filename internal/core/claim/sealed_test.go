package claim

import (
	"encoding/json"
	"errors"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// withTombstone returns a shard with one tombstone, that of the key.
func withTombstone(t *testing.T, key byte) *Shard {
	t.Helper()
	s := NewShard()
	wantVerdict(t, s.Claim(start, entry(key, "a"), &testLimits), port.ClaimGranted)
	s.Prune(start.Add(2*testLimits.Retention), &testLimits)
	return s
}

// Without its sealed parts a head doesn't know which keys have expired. It grants
// no key until the part is attached.
func TestIncompleteShardGrantsNothing(t *testing.T) {
	s := withTombstone(t, 1)
	value, err := s.EncodeTombstones()
	if err != nil {
		t.Fatal(err)
	}
	s.Seal(0, 7)
	now := start.Add(2 * testLimits.Retention)
	wantVerdict(t, s.Claim(now, entry(1, "b"), &testLimits), port.ClaimExpired)
	reloaded := reload(t, s)
	for key := range byte(3) {
		wantVerdict(t, reloaded.Claim(now, entry(key, "b"), &testLimits), port.ClaimUnavailable)
	}
	content, err := DecodeSealed(value)
	if err != nil {
		t.Fatal(err)
	}
	if err := reloaded.Attach(0, content); err != nil {
		t.Fatal(err)
	}
	wantVerdict(t, reloaded.Claim(now, entry(1, "b"), &testLimits), port.ClaimExpired)
	wantVerdict(t, reloaded.Claim(now, entry(2, "b"), &testLimits), port.ClaimGranted)
	if reloaded.Tombstones() != 1 {
		t.Fatalf("got %d tombstones, want 1", reloaded.Tombstones())
	}
}

// A part with fewer tombstones than the head recorded is corrupt: an expired key
// missing from it would be granted.
func TestAttachRejectsWrongCount(t *testing.T) {
	s := withTombstone(t, 1)
	s.Seal(0, 7)
	if err := reload(t, s).Attach(0, &PartContent{}); !errors.Is(err, ErrCorrupt) {
		t.Fatalf("got %v", err)
	}
}

// A head with sealed parts is written in a format of its own, as a release without
// support for sealed parts reads only format 1 and has to refuse it.
func TestSealedShardUsesSealedFormat(t *testing.T) {
	s := withTombstone(t, 1)
	for _, want := range []int{plainFormat, sealedFormat} {
		value, err := s.EncodeValue()
		if err != nil {
			t.Fatal(err)
		}
		var stored storedValue
		if err := json.Unmarshal(value, &stored); err != nil || stored.FormatVersion != want {
			t.Fatalf("got format %d, error %v; want format %d", stored.FormatVersion, err, want)
		}
		s.Seal(0, 7)
	}
}

// A sealed part is dropped when its newest tombstone has expired, not before. Its
// slot keeps the version at which the object is to be overwritten.
func TestSealedPartExpires(t *testing.T) {
	s := withTombstone(t, 1)
	s.Seal(0, 7)
	end := start.Add(testLimits.Retention + testLimits.TombstoneRetention)
	s.Prune(end, &testLimits)
	wantVerdict(t, s.Claim(end, entry(1, "b"), &testLimits), port.ClaimExpired)
	end = end.Add(testLimits.Retention)
	s.Prune(end, &testLimits)
	if !s.Changed() || len(s.Parts()) != 0 {
		t.Fatal("the expired part was not dropped")
	}
	wantVerdict(t, s.Claim(end, entry(1, "b"), &testLimits), port.ClaimGranted)
	if slot, version := reload(t, s).FreeSlot(); slot != 0 || version != 7 {
		t.Fatalf("got free slot %d at version %d, want slot 0 at version 7", slot, version)
	}
}

func TestSealDue(t *testing.T) {
	limits := testLimits
	s := withTombstone(t, 1)
	if s.SealDue(&limits) {
		t.Error("seal is due without a size limit")
	}
	limits.SealBytes = s.tombstones.bytes()
	if !s.SealDue(&limits) {
		t.Error("seal is not due at the size limit")
	}
	limits.SealBytes++
	if s.SealDue(&limits) {
		t.Error("seal is due below the size limit")
	}
	limits.SealBytes = 1
	for slot := range MaxSlots {
		s.Seal(slot, 7)
		s.tombstones = withTombstone(t, 1).tombstones
	}
	if s.SealDue(&limits) {
		t.Error("seal is due without a free slot")
	}
}

// The size bound that limits new claims includes the list of sealed parts.
func TestBytesBoundsPartList(t *testing.T) {
	s := NewShard()
	for slot := range MaxSlots {
		s.Seal(slot, math.MaxUint64)
		s.sealed.Parts[slot].NewestUnixMillis = start.Add(100 * 365 * 24 * time.Hour).UnixMilli()
		s.sealed.Parts[slot].Count = math.MaxInt32
	}
	value, err := json.Marshal(s.sealed)
	if err != nil {
		t.Fatal(err)
	}
	if len(value) > s.Bytes() {
		t.Fatalf("the part list has %d bytes, more than the bound of %d", len(value), s.Bytes())
	}
}

func TestDecodeRejectsInvalidPartList(t *testing.T) {
	cases := map[string]string{
		"no list":           `null`,
		"slot out of range": `{"parts":[{"slot":1,"version":7}],"versions":[7]}`,
		"negative slot":     `{"parts":[{"slot":-1,"version":7}],"versions":[7]}`,
		"duplicate slot":    `{"parts":[{"slot":0,"version":7},{"slot":0,"version":7}],"versions":[7,8]}`,
		"version mismatch":  `{"parts":[{"slot":0,"version":7}],"versions":[8]}`,
		"version zero":      `{"parts":[{"slot":0,"version":0}],"versions":[0]}`,
		"negative count":    `{"parts":[{"slot":0,"version":7,"count":-1}],"versions":[7]}`,
		"too many slots":    `{"parts":[],"versions":[` + strings.Repeat("1,", MaxSlots) + `1]}`,
	}
	for name, parts := range cases {
		if _, err := DecodeValue([]byte(`{"format_version":2,"claims":"CAE=","ring":` + parts + `}`)); !errors.Is(err, ErrCorrupt) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}
