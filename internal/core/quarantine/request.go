package quarantine

import (
	"encoding/binary"
	"strconv"
	"time"
)

// Request is what identifies a request and the parts of its prompt.
type Request struct {
	Fingerprint  Fingerprint
	Organisation string
	// Parts are the parts of its prompt that other requests may share, see Scope.Parts.
	// They are empty for a request without a prompt.
	Parts []Part
}

// Part is a part of a prompt within its scope.
type Part struct {
	// Fingerprint identifies the part and its scope.
	Fingerprint Fingerprint
	// ID is the part's id as the caller sent it.
	ID uint64
}

// Scope bounds what a verdict on a part applies to. Within another organisation, pool
// or model the same id is another part: no organisation can have the parts of another
// one quarantined.
type Scope struct {
	Organisation, Pool, Model string
}

// maxParts bounds the parts of one prompt that are tracked.
const maxParts = 64

// Parts returns the parts of a prompt with the given ids, in their order, but for the
// last one. That one belongs to the request or its session.
func (s Scope) Parts(ids []uint64) []Part {
	if len(ids) < 2 {
		return nil
	}
	ids = ids[:min(len(ids)-1, maxParts)]
	out := make([]Part, 0, len(ids))
	seen := make(map[uint64]struct{}, len(ids))
	for _, id := range ids {
		if _, repeated := seen[id]; repeated {
			continue
		}
		seen[id] = struct{}{}
		f := FingerprintOf(s.Organisation, "part", s.Pool, s.Model, binary.BigEndian.AppendUint64(nil, id))
		out = append(out, Part{Fingerprint: f, ID: id})
	}
	return out
}

// PartName returns the id of a part in the notation of callers.
func PartName(id uint64) string { return strconv.FormatUint(id, 16) }

// Loss is a request that was lost when its endpoint ended.
type Loss struct {
	Request *Request
	// At is when its connection broke, by the monotonic clock of this daemon, and Ran
	// how long its attempt had lasted.
	At  time.Time
	Ran time.Duration
	// IsPresumed is set if the end of the endpoint is only presumed. It then counts
	// against the parts of the prompt, but not against the request: one that is repeated
	// is lost at many endpoints in a single failure of the network.
	IsPresumed bool
}

// presumedSpan is the time within which the presumed ends of endpoints are one event.
const presumedSpan = 2 * time.Second

// Presumed returns the loss for an end that is presumed, of a failure that began at the
// given time. Of several presumed ends within presumedSpan only one is independent.
func (l Loss) Presumed(since time.Time) Loss {
	if since.Before(l.At) {
		l.At = since
	}
	l.Ran += presumedSpan
	l.IsPresumed = true
	return l
}

// short returns a prefix of a fingerprint that is distinct within one scope.
func (f Fingerprint) short() uint64 { return binary.BigEndian.Uint64(f[:]) }
