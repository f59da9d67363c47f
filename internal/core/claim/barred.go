package claim

import "github.com/cespare/xxhash/v2"

// barredAttempts maps the hash of the id of each attempt that must no longer be
// granted to the time when it was barred, in Unix milliseconds. A hash collision
// refuses an unrelated attempt as not_run, which is harmless.
type barredAttempts map[uint64]int64

func (b barredAttempts) has(attemptID string) bool {
	_, found := b[xxhash.Sum64String(attemptID)]
	return found
}

func (b barredAttempts) add(attemptID string, unixMillis int64) {
	b[xxhash.Sum64String(attemptID)] = unixMillis
}

// dropBefore removes the attempts barred before unixMillis and reports whether
// there were any.
func (b barredAttempts) dropBefore(unixMillis int64) bool {
	dropped := false
	for hash, at := range b {
		if at < unixMillis {
			delete(b, hash)
			dropped = true
		}
	}
	return dropped
}
