package spread

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Hasher hashes the fields of an entry. Strings and byte slices are prefixed with
// their length, so that different sequences of fields give different input.
type Hasher struct{ digest *xxhash.Digest }

// NewHasher returns an empty hasher.
func NewHasher() Hasher { return Hasher{digest: xxhash.New()} }

// Uint64 adds a number.
func (h Hasher) Uint64(n uint64) {
	var raw [8]byte
	binary.LittleEndian.PutUint64(raw[:], n)
	// A Digest's Write never fails.
	_, _ = h.digest.Write(raw[:])
}

// String adds a string.
func (h Hasher) String(s string) {
	h.Uint64(uint64(len(s)))
	_, _ = h.digest.WriteString(s)
}

// Bytes adds bytes.
func (h Hasher) Bytes(b []byte) {
	h.Uint64(uint64(len(b)))
	_, _ = h.digest.Write(b)
}

// Bool adds a flag.
func (h Hasher) Bool(b bool) {
	if b {
		h.Uint64(1)
		return
	}
	h.Uint64(0)
}

// Sum returns the hash. It is never zero, so that every entry changes the digest
// of its table.
func (h Hasher) Sum() uint64 {
	if sum := h.digest.Sum64(); sum != 0 {
		return sum
	}
	return 1
}
