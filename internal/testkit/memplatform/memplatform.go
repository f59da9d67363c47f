// Package memplatform provides an in-memory implementation of the platform's
// object store. The tests of several packages wrap it to inject faults.
package memplatform

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Store keeps every value ever stored. Its methods do not block and return only
// the errors that port.Platform defines. It is safe for concurrent use.
type Store struct {
	Unwatched

	mu      sync.Mutex
	version uint64
	writes  int
	history map[string][]port.Object
}

// New returns an empty store.
func New() *Store { return &Store{history: map[string][]port.Object{}} }

func (s *Store) current(key string) (port.Object, bool) {
	versions := s.history[key]
	if len(versions) == 0 {
		return port.Object{}, false
	}
	return versions[len(versions)-1], true
}

// Get returns the current object, or port.ErrNotFound if there is none.
func (s *Store) Get(_ context.Context, kind, name string) (port.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found := s.current(kind + "/" + name)
	if !found {
		return port.Object{}, port.ErrNotFound
	}
	return o, nil
}

// List returns the current objects of a kind.
func (s *Store) List(_ context.Context, kind string) ([]port.Object, port.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []port.Object
	for key := range s.history {
		if o, _ := s.current(key); o.Kind == kind {
			out = append(out, o)
		}
	}
	return out, port.StoreRevision(s.version), nil
}

// Put stores a value if the object's current version equals expect, where 0 means
// that the object does not exist. Otherwise it returns the current object with
// port.ErrConflict.
func (s *Store) Put(_ context.Context, kind, name string, expect uint64, value json.RawMessage) (port.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + name
	if current, _ := s.current(key); current.Version != expect {
		return current, port.ErrConflict
	}
	s.version++
	s.writes++
	o := port.Object{Kind: kind, Name: name, Version: s.version, Value: value}
	s.history[key] = append(s.history[key], o)
	return o, nil
}

// Writes returns the number of successful calls of Put.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// History returns all versions of an object, oldest first.
func (s *Store) History(kind, name string) []port.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history[kind+"/"+name])
}

// Unwatched implements the methods of port.Platform that few tests need, Watch
// and Hosts. Both always fail with port.ErrPlatformUnavailable.
type Unwatched struct{}

// Watch returns port.ErrPlatformUnavailable.
func (Unwatched) Watch(context.Context, string, port.StoreRevision, time.Duration) ([]port.Object, port.StoreRevision, error) {
	return nil, 0, port.ErrPlatformUnavailable
}

// Hosts returns port.ErrPlatformUnavailable.
func (Unwatched) Hosts(context.Context) ([]port.HostEntry, error) {
	return nil, port.ErrPlatformUnavailable
}

var _ port.Platform = (*Store)(nil)
