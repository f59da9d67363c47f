// Package platform is a small stand-in for the platform's service. It has
// versioned objects with conditional updates and watches, a delayed list of
// hosts, a rate limit, and faults that are set over HTTP.
package platform

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

type objectKey struct{ kind, name string }

// store holds the objects. One lock is enough, as the rate limit keeps the load
// on it low.
type store struct {
	mu       sync.Mutex
	objects  map[objectKey]port.Object
	revision uint64
	changed  map[string]chan struct{}
}

func newStore() *store {
	return &store{
		objects: map[objectKey]port.Object{},
		changed: map[string]chan struct{}{},
	}
}

// get returns the object and whether it exists.
func (s *store) get(kind, name string) (port.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	return o, ok
}

// put writes the object if its stored version is expect; zero means that it
// doesn't exist. Otherwise put returns the current object and false.
func (s *store) put(kind, name string, expect uint64, value json.RawMessage) (port.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := objectKey{kind, name}
	current := s.objects[key]
	if current.Version != expect {
		return current, false
	}
	s.revision++
	next := port.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	s.objects[key] = next
	if ch, ok := s.changed[kind]; ok {
		close(ch)
		delete(s.changed, kind)
	}
	return next, true
}

// changedAfter returns the kind's objects that changed after the revision,
// oldest change first, the store's current revision, and a channel that is
// closed at the kind's next change.
func (s *store) changedAfter(kind string, revision uint64) ([]port.Object, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []port.Object{}
	for key, o := range s.objects {
		if key.kind == kind && o.Version > revision {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b port.Object) int {
		if a.Version != b.Version {
			return int(int64(a.Version) - int64(b.Version))
		}
		return strings.Compare(a.Name, b.Name)
	})
	if s.changed[kind] == nil {
		s.changed[kind] = make(chan struct{})
	}
	return found, s.revision, s.changed[kind]
}
