package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies a request across repeats: same organisation, target and
// body. It is a prefix of a cryptographic hash, so that no caller can forge a
// request with the fingerprint of another's.
type Fingerprint [16]byte

// FingerprintOf returns a request's fingerprint. The target is the path and
// query as the caller sent them; the organisation is empty on open routes.
func FingerprintOf(organisation, method, host, target string, body []byte) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, field := range []string{organisation, method, host, target} {
		// The length prefix makes the encoding of the fields unambiguous.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// String returns the fingerprint in hex, as it appears in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
