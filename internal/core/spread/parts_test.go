package spread

import (
	"bytes"
	"compress/flate"
	"math/rand/v2"
	"runtime"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// randomText returns pseudo-random content without repeated sections.
func randomText(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, 0))
	out := make([]byte, size)
	for i := range out {
		out[i] = "abcdefghijklmnop"[random.IntN(16)]
	}
	return out
}

// For any content, the parts joined are the content, their size is bounded, and
// compression preserves them.
func TestPartsPreserveContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := randomText(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 200<<10).Draw(t, "size"))
		if rapid.Bool().Draw(t, "repeat one byte") {
			content = bytes.Repeat([]byte{7}, len(content))
		}
		var joined []byte
		for _, part := range Split(content) {
			if len(part) == 0 || len(part) > maxPartSize {
				t.Fatalf("part size %d bytes is out of bounds", len(part))
			}
			unpacked, err := Unpack(Pack(part))
			if err != nil || !bytes.Equal(unpacked, part) {
				t.Fatalf("part of %d bytes unpacked to %d bytes that differ: %v", len(part), len(unpacked), err)
			}
			joined = append(joined, unpacked...)
		}
		if !bytes.Equal(joined, content) {
			t.Fatal("the joined parts differ from the content")
		}
	})
}

// Operators insert, delete or change a few bytes in the middle of a body: only the
// parts around them may change. If all parts after them changed too, most of the
// table would have to be sent over every link again.
func TestLocalChangeAffectsOnlyNearbyParts(t *testing.T) {
	const maxChanged = 4
	rapid.Check(t, func(t *rapid.T) {
		before := randomText(rapid.Uint64().Draw(t, "seed"), 300<<10)
		at := rapid.IntRange(0, len(before)).Draw(t, "at")
		end := min(len(before), at+rapid.IntRange(0, 200).Draw(t, "deleted"))
		inserted := randomText(rapid.Uint64().Draw(t, "seed of inserted text"), rapid.IntRange(0, 200).Draw(t, "inserted"))
		after := bytes.Join([][]byte{before[:at], inserted, before[end:]}, nil)
		known := map[PartID]bool{}
		for _, part := range Split(before) {
			known[IDOf(part)] = true
		}
		changed := 0
		for _, part := range Split(after) {
			if !known[IDOf(part)] {
				changed++
			}
		}
		if changed > maxChanged {
			t.Fatalf("%d parts changed, want at most %d", changed, maxChanged)
		}
	})
}

// A few bytes that decompress to gigabytes must not exhaust a daemon's memory.
func TestUnpackIsBounded(t *testing.T) {
	const content, maxAlloc = 64 << 20, 1 << 20
	var bomb bytes.Buffer
	w, _ := flate.NewWriter(&bomb, flate.BestCompression)
	for range content / maxPartSize {
		_, _ = w.Write(make([]byte, maxPartSize))
	}
	_ = w.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := Unpack(bomb.Bytes())
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; err == nil || allocated > maxAlloc {
		t.Fatalf("unpacking %d bytes allocated %d bytes, error %v", bomb.Len(), allocated, err)
	}
	if _, err := Unpack([]byte("no part")); err == nil {
		t.Fatal("invalid compressed data was unpacked without an error")
	}
}
