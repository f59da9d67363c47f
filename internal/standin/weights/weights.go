// Package weights is a small stand-in for the weight store. It serves the bytes
// of a model version at a rate limit that all readers share.
package weights

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// Defaults of the options.
const (
	DefaultBytesPerSecond = 64 << 20
	DefaultModelBytes     = 16 << 20
)

const chunkBytes = 64 << 10

// Options configures the stand-in.
type Options struct {
	// BytesPerSecond is the rate limit that all readers share.
	BytesPerSecond int
	// ModelBytes is the size of every model version.
	ModelBytes int
}

// Faults are set by PUT /standin/faults.
type Faults struct {
	Down       bool  `json:"down"`
	SlowMillis int64 `json:"slow_ms"`
}

// Stats are counters since the start; Reading is a gauge.
type Stats struct {
	Reads   int64 `json:"reads"`
	Bytes   int64 `json:"bytes"`
	Reading int64 `json:"reading"`
}

// Store serves GET /v1/weights/{model}/{version}.
type Store struct {
	options Options
	limit   *rate.Limiter
	faults  switches.FaultStore[Faults]
	mux     *http.ServeMux

	reads, bytes, reading atomic.Int64
}

// New returns a store that has every model.
func New(o Options) *Store {
	s := &Store{
		options: o,
		limit:   rate.NewLimiter(rate.Limit(o.BytesPerSecond), chunkBytes),
		mux:     http.NewServeMux(),
	}
	s.mux.HandleFunc("GET /v1/weights/{model}/{version}", s.serveWeights)
	s.faults.Register(s.mux, func() any { return s.Stats() })
	return s
}

// ServeHTTP serves weights and the API that sets the faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Stats returns the counters.
func (s *Store) Stats() Stats {
	return Stats{Reads: s.reads.Load(), Bytes: s.bytes.Load(), Reading: s.reading.Load()}
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	s.reads.Add(1)
	s.reading.Add(1)
	defer s.reading.Add(-1)
	faults := s.faults.Get()
	if faults.Down {
		switches.Refuse(w, http.StatusServiceUnavailable, "down", "")
		return
	}
	if slow := time.Duration(faults.SlowMillis) * time.Millisecond; slow > 0 {
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(s.options.ModelBytes))
	s.send(w, r)
}

// send writes zeros, as no reader checks the contents.
func (s *Store) send(w http.ResponseWriter, r *http.Request) {
	var chunk [chunkBytes]byte
	for left := s.options.ModelBytes; left > 0; {
		n := min(left, chunkBytes)
		if err := s.limit.WaitN(r.Context(), n); err != nil {
			return
		}
		// The bytes are counted before the write, so that a reader that has
		// received all of them and then requests the statistics finds its own
		// read in them.
		s.bytes.Add(int64(n))
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}
