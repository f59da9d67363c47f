package enginemodel

import "container/list"

// CacheOp is the kind of a change of the prefix cache.
type CacheOp string

// The kinds of changes of the prefix cache.
const (
	CacheAdd  CacheOp = "add"
	CacheDrop CacheOp = "drop"
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq  uint64  `json:"seq"`
	Op   CacheOp `json:"op"`
	Hash uint64  `json:"hash"`
}

// prefixBlock is a computed block that jobs with the same prefix share.
type prefixBlock struct {
	hash uint64
	refs int
	// idle is the block's element in the list of evictable blocks while refs
	// is zero.
	idle *list.Element
}

// blockCache accounts for the blocks of the cache. A block is free, used by
// jobs, or an idle prefix block. Any allocation may evict idle prefix blocks,
// the least recently used first.
type blockCache struct {
	total     int
	free      int
	prefixes  map[uint64]*prefixBlock
	idle      *list.List
	events    []CacheEvent
	maxEvents int
	seq       uint64
}

func newBlockCache(total, eventLimit int) blockCache {
	return blockCache{
		total:     total,
		free:      total,
		prefixes:  make(map[uint64]*prefixBlock),
		idle:      list.New(),
		maxEvents: eventLimit,
	}
}

func (c *blockCache) used() int { return c.total - c.free - c.idle.Len() }

// allocate takes n free blocks, evicting idle prefix blocks if needed. If free
// and idle blocks together are fewer than n, it takes none and returns false.
func (c *blockCache) allocate(n int) bool {
	if c.free+c.idle.Len() < n {
		return false
	}
	for c.free < n {
		c.evict()
	}
	c.free -= n
	return true
}

func (c *blockCache) evict() {
	oldest := c.idle.Front()
	block := c.idle.Remove(oldest).(*prefixBlock)
	delete(c.prefixes, block.hash)
	c.free++
	c.recordEvent(CacheDrop, block.hash)
}

// acquirePrefix adds the longest cached prefix of the job, of at most this many
// blocks, to its shared blocks and returns their number.
func (c *blockCache) acquirePrefix(j *job, blocks int) int {
	for _, hash := range j.PrefixHashes[:blocks] {
		block, cached := c.prefixes[hash]
		if !cached {
			break
		}
		if block.idle != nil {
			c.idle.Remove(block.idle)
			block.idle = nil
		}
		block.refs++
		j.shared = append(j.shared, block)
	}
	return len(j.shared)
}

// publishPrefix makes the job's computed leading blocks shareable.
func (c *blockCache) publishPrefix(j *job, blocks int) {
	for i := len(j.shared); i < blocks; i++ {
		hash := j.PrefixHashes[i]
		if _, cached := c.prefixes[hash]; cached {
			return
		}
		block := &prefixBlock{hash: hash, refs: 1}
		c.prefixes[hash] = block
		j.shared = append(j.shared, block)
		j.private--
		c.recordEvent(CacheAdd, hash)
	}
}

// release frees the job's blocks. Prefix blocks that no other job uses become
// evictable.
func (c *blockCache) release(j *job) {
	c.free += j.private
	j.private = 0
	for _, block := range j.shared {
		block.refs--
		if block.refs == 0 {
			block.idle = c.idle.PushBack(block)
		}
	}
	j.shared = nil
}

func (c *blockCache) recordEvent(op CacheOp, hash uint64) {
	c.seq++
	if len(c.events) >= c.maxEvents {
		c.events = append(c.events[:0], c.events[len(c.events)/2+1:]...)
	}
	c.events = append(c.events, CacheEvent{Seq: c.seq, Op: op, Hash: hash})
}

func (c *blockCache) eventsAfter(after uint64) ([]CacheEvent, uint64) {
	for i, event := range c.events {
		if event.Seq > after {
			return append([]CacheEvent(nil), c.events[i:]...), c.seq
		}
	}
	return nil, c.seq
}
