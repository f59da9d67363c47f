package quarantine

import (
	"sync"
	"time"
)

// Bounds of the memory of completed requests.
const (
	completedShards = 16
	// completedPerShard bounds each of the two generations of a shard.
	completedPerShard = 512
	// completedRotation is the age at which the current generation is replaced.
	completedRotation = time.Minute
)

// completed remembers requests that completed recently, which therefore don't
// crash endpoints. It keeps two generations, so that old entries are dropped
// without a scan.
type completed struct {
	shards [completedShards]completedShard
}

type completedShard struct {
	mu                sync.Mutex
	current, previous map[Fingerprint]struct{}
	currentSince      time.Time
}

func (c *completed) shard(f Fingerprint) *completedShard { return &c.shards[f[0]%completedShards] }

func (c *completed) add(now time.Time, f Fingerprint) {
	s := c.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.current[f] = struct{}{}
}

func (c *completed) has(now time.Time, f Fingerprint) bool {
	s := c.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	_, inCurrent := s.current[f]
	_, inPrevious := s.previous[f]
	return inCurrent || inPrevious
}

// rotate starts a new generation when the current one is full or too old.
func (s *completedShard) rotate(now time.Time) {
	age := now.Sub(s.currentSince)
	if s.current != nil && age < completedRotation && len(s.current) < completedPerShard {
		return
	}
	s.previous = s.current
	if age >= 2*completedRotation {
		s.previous = nil
	}
	s.current, s.currentSince = make(map[Fingerprint]struct{}), now
}
