package spread

import "sync"

// Changes collects the keys of a table whose entries changed, for one reader.
// What it costs to read is proportional to the changes, not to the table: at
// thousands of entries and tens of changes a second, reading the whole table
// each time is most of a daemon's processor time.
type Changes[T any] struct {
	table *Table[T]
	mu    sync.Mutex
	keys  map[string]struct{}
}

// Follow begins to collect changes. The first Take yields all entries.
func (t *Table[T]) Follow() *Changes[T] {
	c := &Changes[T]{table: t, keys: make(map[string]struct{})}
	t.addFollower(c)
	// Only now the entries that were there before: one that is merged in
	// between is collected twice, none is missed.
	for v := range t.All() {
		c.add(t.order.Key(v))
	}
	return c
}

func (t *Table[T]) addFollower(c *Changes[T]) {
	t.following.Lock()
	defer t.following.Unlock()
	var next []*Changes[T]
	if old := t.followers.Load(); old != nil {
		next = append(next, *old...)
	}
	next = append(next, c)
	t.followers.Store(&next)
}

// noteChange is called under the lock of the key's shard, so that a reader
// that takes the key sees at least the entry that was merged.
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

// Take returns the newest state of each entry that changed since the last
// call.
func (c *Changes[T]) Take() []T {
	changed, _ := c.TakeAll()
	return changed
}

// TakeAll is Take with the keys of the entries that were removed.
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
