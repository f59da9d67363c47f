// Package lease decides which daemon may send orders to a shard of endpoints. A lease
// is one platform object, which is acquired and renewed by compare-and-set. The
// package reads no clock: all times are passed in and must be monotonic, and times of
// different processes are never compared.
package lease

import (
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
)

// FormatVersion is the newest format of a stored lease that this release reads.
const FormatVersion = 1

// Errors of decoding a stored lease.
var (
	ErrCorrupt     = merry.Sentinel("lease: the stored lease can't be read")
	ErrNewerFormat = merry.Sentinel("lease: the stored lease has a newer format; update this daemon")
)

// Record is the stored form of a lease.
type Record struct {
	FormatVersion int    `json:"format_version"`
	Holder        string `json:"holder"`
	// Session is different after each start of the holder, so that a restarted
	// daemon does not mistake the lease of its previous process for its own.
	Session string `json:"session"`
	// Renewal is a number that is different for each write of a session.
	Renewal uint64 `json:"renewal"`
	// DurationMillis counts from the time when the holder sent the write.
	DurationMillis int64 `json:"duration_ms"`
	// Released: the holder released the lease while it had no order in progress.
	Released bool `json:"released,omitempty"`
	// Fence is the fencing number, for information of operators. It is zero in
	// the first write of a holder, as the number is the version of that write.
	Fence uint64 `json:"fence,omitempty"`
}

func (r *Record) duration() time.Duration {
	return time.Duration(r.DurationMillis) * time.Millisecond
}

// Decode decodes a stored lease.
func Decode(value json.RawMessage) (*Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, merry.Prepend(ErrCorrupt, err.Error())
	}
	if r.FormatVersion > FormatVersion {
		return nil, ErrNewerFormat
	}
	if r.DurationMillis < 0 || r.DurationMillis > maxDuration.Milliseconds() {
		return nil, merry.Prepend(ErrCorrupt, "duration_ms is negative or longer than an hour")
	}
	return &r, nil
}

// Encode returns the lease in its stored format.
func (r *Record) Encode() (json.RawMessage, error) {
	value, err := json.Marshal(r)
	return value, merry.Prepend(err, "lease")
}
