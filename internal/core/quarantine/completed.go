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

// completed remembers when requests completed recently, which therefore don't
// crash endpoints. It keeps two generations, so that old entries are dropped
// without a scan.
type completed struct {
	shards [completedShards]completedShard
}

type completedShard struct {
	mu                sync.Mutex
	current, previous map[Fingerprint]time.Time
	currentSince      time.Time
}

func (c *completed) shard(f Fingerprint) *completedShard { return &c.shards[f[0]%completedShards] }

func (c *completed) add(now time.Time, f Fingerprint) {
	s := c.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	s.current[f] = now
}

func (c *completed) has(now time.Time, f Fingerprint) bool {
	_, has := c.last(now, f)
	return has
}

// last returns when a request last completed; has is false if none did recently.
func (c *completed) last(now time.Time, f Fingerprint) (at time.Time, has bool) {
	s := c.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if at, has = s.current[f]; !has {
		at, has = s.previous[f]
	}
	return at, has
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
	s.current, s.currentSince = make(map[Fingerprint]time.Time), now
}
