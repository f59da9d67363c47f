// Package breaker keeps retries from making an overload worse. It has a circuit
// breaker per endpoint, and a budget that bounds retries to a share of first tries.
// Both take the current time from the caller.
package breaker

import (
	"sync"
	"time"
)

// Options of a Set.
type Options struct {
	// Failures is the number of consecutive failures that opens a breaker.
	Failures int
	// OpenFor is how long a breaker stays open at first; it doubles with each
	// failed trial, up to MaxOpenFor.
	OpenFor    time.Duration
	MaxOpenFor time.Duration
	// MaxEndpoints bounds the memory; further endpoints have no breaker.
	MaxEndpoints int
}

// Set holds a breaker per endpoint. It is safe for concurrent use.
type Set struct {
	o      Options
	mu     sync.Mutex
	states map[string]*state
}

type state struct {
	failures  int
	openFor   time.Duration
	openUntil time.Time
	// trial is set while one call tests whether the endpoint has recovered.
	trial bool
}

// NewSet returns a set in which all breakers are closed.
func NewSet(o Options) *Set { return &Set{o: o, states: make(map[string]*state)} }

// Open reports whether the endpoint's breaker is open, so that calls should be
// avoided.
func (s *Set) Open(now time.Time, endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[endpoint]
	if st == nil || st.openUntil.IsZero() {
		return false
	}
	return now.Before(st.openUntil)
}

// Begin records that a call goes to the endpoint. After the open time this call is
// the trial: the breaker opens again for the other calls until Success or Failure
// reports its result, or until the open time has passed once more.
func (s *Set) Begin(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[endpoint]
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
	delete(s.states, endpoint)
}

// Len returns the number of endpoints with recorded failures.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.states)
}

// Forget drops an endpoint that was removed.
func (s *Set) Forget(endpoint string) { s.Success(endpoint) }

// Failure records a call that the endpoint did not answer.
func (s *Set) Failure(now time.Time, endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.states[endpoint]
	if st == nil {
		if len(s.states) >= s.o.MaxEndpoints {
			return
		}
		st = &state{openFor: s.o.OpenFor}
		s.states[endpoint] = st
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
