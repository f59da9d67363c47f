// Package switches stores the faults of a stand-in and serves an HTTP API that
// reads and sets them, for tests and for people.
package switches

import (
	"encoding/json"
	"net/http"
	"sync"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
)

// Paths that every stand-in serves.
const (
	FaultsPath = "/standin/faults"
	StatsPath  = "/standin/stats"
)

// FaultStore stores the faults of one stand-in. The zero value has no faults.
type FaultStore[T any] struct {
	mu      sync.Mutex
	faults  T
	changed chan struct{}
}

// Get returns the current faults.
func (s *FaultStore[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Set replaces the faults.
func (s *FaultStore[T]) Set(faults T) {
	s.Update(func(f *T) { *f = faults })
}

// Update changes the faults under the lock, as faults that count down need.
func (s *FaultStore[T]) Update(change func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// Changed returns a channel that is closed at the next change of the faults.
func (s *FaultStore[T]) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Register adds handlers to mux: FaultsPath reads and sets the faults, and
// StatsPath returns the result of stats.
func (s *FaultStore[T]) Register(mux *http.ServeMux, stats func() any) {
	mux.HandleFunc("GET "+FaultsPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, s.Get())
	})
	mux.HandleFunc("PUT "+FaultsPath, func(w http.ResponseWriter, r *http.Request) {
		var faults T
		if !ReadJSON(w, r, &faults) {
			return
		}
		s.Set(faults)
		WriteJSON(w, http.StatusOK, faults)
	})
	mux.HandleFunc("GET "+StatsPath, func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, stats())
	})
}

// ReadJSON decodes the request body into out and refuses unknown fields. If it
// returns false, it has sent the problem as the response.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		Refuse(w, http.StatusBadRequest, "bad_body", err.Error())
		return false
	}
	return true
}

// WriteJSON sends v as a JSON response with the status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		// Marshalling can't fail, as callers pass only plain values.
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected, so that no error
	// response could reach it.
	_, _ = w.Write(raw)
}

// Refuse sends a problem response with the outcome that nothing was run.
func Refuse(w http.ResponseWriter, status int, reason, detail string) {
	problem.Write(w, &problem.Problem{
		Status: status, Title: http.StatusText(status), Reason: reason,
		Detail: detail, Outcome: problem.OutcomeNotRun,
	})
}
