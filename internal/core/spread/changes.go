package spread

import "sync"

// Changes collects the keys of the entries of a table that changed, for one
// reader. The cost of reading is proportional to the number of changes, not to the
// size of the table. With thousands of entries and tens of changes per second,
// reading the whole table each time would be most of a daemon's CPU time.
type Changes[T any] struct {
	table *Table[T]
	mu    sync.Mutex
	keys  map[string]struct{}
}

// Follow starts collecting changes. The first Take returns all entries.
func (t *Table[T]) Follow() *Changes[T] {
	c := &Changes[T]{table: t, keys: make(map[string]struct{})}
	t.addFollower(c)
	// The existing entries are added after the follower is registered: an entry
	// merged in between is added twice, and none is missed.
	for v := range t.All() {
		c.add(t.order.Key(v))
	}
	return c
}

func (t *Table[T]) addFollower(c *Changes[T]) {
	t.followersMu.Lock()
	defer t.followersMu.Unlock()
	var next []*Changes[T]
	if old := t.followers.Load(); old != nil {
		next = append(next, *old...)
	}
	next = append(next, c)
	t.followers.Store(&next)
}

// noteChange adds a changed key to all followers. It is called with the lock of the
// key's shard held, so a reader that takes the key reads the merged entry or a
// newer one.
func (t *Table[T]) noteChange(key string) {
	followers := t.followers.Load()
	if followers == nil {
		return
	}
	for _, c := range *followers {
		c.add(key)
	}
}

func (c *Changes[T]) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[key] = struct{}{}
}

// Take returns the current state of each entry that changed since the last call.
func (c *Changes[T]) Take() []T {
	changed, _ := c.TakeAll()
	return changed
}

// TakeAll is like Take, but also returns the keys of removed entries.
func (c *Changes[T]) TakeAll() (changed []T, removed []string) {
	c.mu.Lock()
	keys := c.keys
	c.keys = make(map[string]struct{})
	c.mu.Unlock()
	changed = make([]T, 0, len(keys))
	for key := range keys {
		v, held := c.table.Get(key)
		if !held {
			removed = append(removed, key)
			continue
		}
		changed = append(changed, v)
	}
	return changed, removed
}
