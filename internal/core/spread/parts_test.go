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

// text is content of which no two pieces are alike.
func text(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, 0))
	out := make([]byte, size)
	for i := range out {
		out[i] = "abcdefghijklmnop"[random.IntN(16)]
	}
	return out
}

// Whatever the content, its parts are the content, bounded, and the same after
// they were packed and unpacked.
func TestPartsAreTheContent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := text(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 200<<10).Draw(t, "size"))
		if rapid.Bool().Draw(t, "monotonous") {
			content = bytes.Repeat([]byte{7}, len(content))
		}
		var joined []byte
		for _, part := range Cut(content) {
			if len(part) == 0 || len(part) > maxPart {
				t.Fatalf("a part of %d bytes", len(part))
			}
			unpacked, err := Unpack(Pack(part))
			if err != nil || !bytes.Equal(unpacked, part) {
				t.Fatalf("a part of %d bytes comes out as %d: %v", len(part), len(unpacked), err)
			}
			joined = append(joined, unpacked...)
		}
		if !bytes.Equal(joined, content) {
			t.Fatal("the parts aren't the content")
		}
	})
}

// Operators insert, drop or change a few bytes in the middle: only the parts
// around them are new. Were all parts behind them new, the whole table would
// cross every link again.
func TestChangeLeavesOtherPartsAsTheyWere(t *testing.T) {
	const most = 4
	rapid.Check(t, func(t *rapid.T) {
		before := text(rapid.Uint64().Draw(t, "seed"), 300<<10)
		at := rapid.IntRange(0, len(before)).Draw(t, "at")
		end := min(len(before), at+rapid.IntRange(0, 200).Draw(t, "dropped"))
		inserted := text(rapid.Uint64().Draw(t, "other seed"), rapid.IntRange(0, 200).Draw(t, "inserted"))
		after := bytes.Join([][]byte{before[:at], inserted, before[end:]}, nil)
		known := map[PartID]bool{}
		for _, part := range Cut(before) {
			known[IDOf(part)] = true
		}
		changed := 0
		for _, part := range Cut(after) {
			if !known[IDOf(part)] {
				changed++
			}
		}
		if changed > most {
			t.Fatalf("%d parts are new, want %d at most", changed, most)
		}
	})
}

// A few bytes that unpack to gigabytes must not take a daemon's memory.
func TestUnpackIsBounded(t *testing.T) {
	const content, most = 64 << 20, 1 << 20
	var bomb bytes.Buffer
	w, _ := flate.NewWriter(&bomb, flate.BestCompression)
	for range content / maxPart {
		_, _ = w.Write(make([]byte, maxPart))
	}
	_ = w.Close()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := Unpack(bomb.Bytes())
	runtime.ReadMemStats(&after)
	if took := after.TotalAlloc - before.TotalAlloc; err == nil || took > most {
		t.Fatalf("%d bytes take %d bytes of memory, error %v", bomb.Len(), took, err)
	}
	if _, err := Unpack([]byte("no part")); err == nil {
		t.Fatal("what is no part is unpacked")
	}
}
