package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint tells whether two requests are the same one, sent again: of one
// organisation, with one target and one body. It is the beginning of a
// cryptographic hash, so that no caller can make up a request that bears the
// fingerprint of another's.
type Fingerprint [16]byte

// FingerprintOf returns a request's fingerprint. The target is the path and
// query as the caller sent them; the organisation is empty on open routes.
func FingerprintOf(organisation, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, field := range []string{organisation, method, host, target} {
		// With its length before each field, no two requests give the same bytes.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String is the fingerprint in hex, as logs name it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
