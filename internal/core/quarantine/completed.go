package quarantine

import (
	"sync"
	"time"
)

// Bounds of what is remembered of requests that ran to their end.
const (
	completedShards = 16
	// completedPerShard bounds each of the two ages that a shard keeps.
	completedPerShard = 512
	// completedAge is the time after which an age is followed by the next one.
	completedAge = time.Minute
)

// completed remembers requests that ran to their end of late: they crash
// nothing. It keeps two ages, so that forgetting costs nothing.
type completed struct {
	shards [completedShards]completedShard
}

type completedShard struct {
	mu         sync.Mutex
	young, old map[Fingerprint]struct{}
	youngSince time.Time
}

func (c *completed) shard(f Fingerprint) *completedShard { return &c.shards[f[0]%completedShards] }

func (c *completed) add(now time.Time, f Fingerprint) {
	s := c.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	s.young[f] = struct{}{}
}

func (c *completed) has(now time.Time, f Fingerprint) bool {
	s := c.shard(f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	_, young := s.young[f]
	_, old := s.old[f]
	return young || old
}

// turn begins a new age where the present one is full or over.
func (s *completedShard) turn(now time.Time) {
	age := now.Sub(s.youngSince)
	if s.young != nil && age < completedAge && len(s.young) < completedPerShard {
		return
	}
	s.old = s.young
	if age >= 2*completedAge {
		s.old = nil
	}
	s.young, s.youngSince = make(map[Fingerprint]struct{}), now
}
