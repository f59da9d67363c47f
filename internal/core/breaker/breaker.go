// Package breaker keeps retries from making an overload worse: a breaker per
// endpoint, and a budget that bounds retries to a share of first tries. Both
// take the time from their caller.
package breaker

import (
	"sync"
	"time"
)

// Options of a Set.
type Options struct {
	// Failures in a row that open a breaker.
	Failures int
	// OpenFor is the first time that it stays open; it doubles with each
	// failed trial, up to MaxOpenFor.
	OpenFor    time.Duration
	MaxOpenFor time.Duration
	// MaxEndpoints bounds the memory; endpoints past it are not watched.
	MaxEndpoints int
}

// Set holds a breaker per endpoint. It is safe for concurrent use.
type Set struct {
	o  Options
	mu sync.Mutex
	m  map[string]*state
}

type state struct {
	failures  int
	openFor   time.Duration
	openUntil time.Time
	// trial: one call is let through to see whether the endpoint is back.
	trial bool
}

// NewSet returns a set with every breaker closed.
func NewSet(o Options) *Set { return &Set{o: o, m: make(map[string]*state)} }

// Open reports whether calls to the endpoint should be spared.
func (s *Set) Open(now time.Time, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.m[endpoint]
	if st == nil || st.openUntil.IsZero() {
		return false
	}
	return now.Before(st.openUntil)
}

// Begin notes that a call goes to the endpoint. After the open time it is the
// one trial: the others are spared again until Success or Failure tells how
// it went, or the open time is over once more.
func (s *Set) Begin(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.m[endpoint]
	if st == nil || st.openUntil.IsZero() {
		return
	}
	st.trial = true
	st.openUntil = now.Add(st.openFor)
}

// Success closes the endpoint's breaker.
func (s *Set) Success(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.m, endpoint)
}

// Len counts the endpoints that are remembered.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.m)
}

// Forget drops an endpoint that is gone.
func (s *Set) Forget(endpoint string) { s.Success(endpoint) }

// Failure counts a call that the endpoint did not answer.
func (s *Set) Failure(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.m[endpoint]
	if st == nil {
		if len(s.m) >= s.o.MaxEndpoints {
			return
		}
		st = &state{openFor: s.o.OpenFor}
		s.m[endpoint] = st
	}
	st.failures++
	if st.trial {
		st.openFor = min(2*st.openFor, s.o.MaxOpenFor)
	}
	if st.trial || st.failures >= s.o.Failures {
		st.openUntil = now.Add(st.openFor)
	}
	st.trial = false
}
