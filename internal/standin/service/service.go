// Package service is a small stand-in for an ordinary HTTP service. It counts
// the runs per idempotency key, against which tests of at-most-once execution
// check their results.
package service

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// Defaults of the options.
const (
	DefaultConcurrency = 64
	DefaultReportLag   = 500 * time.Millisecond
)

// Options configures the stand-in.
type Options struct {
	ID          string
	Incarnation uint64
	// Concurrency is the maximum number of calls that run at once; the others
	// wait.
	Concurrency int
	// ReportLag is the age at which the load report is renewed.
	ReportLag time.Duration
}

// Faults are set by PUT /standin/faults.
type Faults struct {
	// Refuse rejects every call with status 503 and doesn't run it.
	Refuse     bool  `json:"refuse"`
	SlowMillis int64 `json:"slow_ms"`
	// CloseBeforeReply is the number of next calls that run but whose
	// connection is closed without a response.
	CloseBeforeReply int `json:"close_before_reply"`
	// CloseBeforeRun is the number of next calls whose connection is closed
	// before they run.
	CloseBeforeRun int `json:"close_before_run"`
}

// Stats are counters since the start; Running and Waiting are gauges.
type Stats struct {
	Calls   int `json:"calls"`
	Runs    int `json:"runs"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Reply is the response to a call.
type Reply struct {
	Service   string `json:"service"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	// Key is the call's idempotency key. Run is the number of runs with this
	// key, including this one.
	Key       string `json:"idempotency_key"`
	Run       int    `json:"run"`
	BodyBytes int    `json:"body_bytes"`
}

// Service is an HTTP handler that responds to any call.
type Service struct {
	options Options
	slots   chan struct{}
	faults  switches.FaultStore[Faults]
	mux     *http.ServeMux

	mu     sync.Mutex
	runs   map[string]int
	stats  Stats
	report port.LoadReport
}

// New returns a service without any runs.
func New(o Options) *Service {
	s := &Service{
		options: o,
		slots:   make(chan struct{}, max(1, o.Concurrency)),
		mux:     http.NewServeMux(),
		runs:    map[string]int{},
	}
	s.mux.HandleFunc("GET /v1/load", s.serveLoad)
	s.mux.HandleFunc("GET /standin/runs", s.serveRuns)
	s.faults.Register(s.mux, func() any { return s.Stats() })
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP serves calls and the API that sets the faults.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// Stats returns the counters.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	runs := maps.Clone(s.runs)
	s.mu.Unlock()
	switches.WriteJSON(w, http.StatusOK, runs)
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	switches.WriteJSON(w, http.StatusOK, s.load(time.Now()))
}

// load returns the load report, which is renewed only when it is at least
// Options.ReportLag old.
func (s *Service) load(now time.Time) port.LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := time.UnixMilli(s.report.TakenUnixMillis)
	if now.Sub(taken) >= s.options.ReportLag {
		s.report = port.LoadReport{
			EndpointID: s.options.ID, Incarnation: s.options.Incarnation,
			State: port.EndpointLive, TakenUnixMillis: now.UnixMilli(),
			Running: s.stats.Running, Waiting: s.stats.Waiting,
		}
	}
	return s.report
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	faults := s.faults.Get()
	s.updateStats(func(st *Stats) { st.Calls++ })
	if faults.Refuse {
		switches.Refuse(w, http.StatusServiceUnavailable, "refused", "")
		return
	}
	if s.consumeFault(func(f *Faults) *int { return &f.CloseBeforeRun }) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		switches.Refuse(w, http.StatusBadRequest, "bad_body", err.Error())
		return
	}
	reply := s.run(r, len(body), time.Duration(faults.SlowMillis)*time.Millisecond)
	if s.consumeFault(func(f *Faults) *int { return &f.CloseBeforeReply }) {
		panic(http.ErrAbortHandler)
	}
	switches.WriteJSON(w, http.StatusOK, reply)
}

// run waits for a free slot, counts the run and sleeps for the duration slow.
// Like a real service, it continues if the client disconnects.
func (s *Service) run(r *http.Request, bodyBytes int, slow time.Duration) Reply {
	s.updateStats(func(st *Stats) { st.Waiting++ })
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.updateStats(func(st *Stats) { st.Waiting--; st.Running++; st.Runs++ })
	defer s.updateStats(func(st *Stats) { st.Running-- })
	key := r.Header.Get("Idempotency-Key")
	reply := Reply{
		Service: s.options.ID, Method: r.Method, Path: r.URL.Path,
		RequestID: r.Header.Get("Request-Id"), Key: key,
		Run: s.countRun(key), BodyBytes: bodyBytes,
	}
	if slow > 0 {
		time.Sleep(slow)
	}
	return reply
}

func (s *Service) countRun(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return s.runs[key]
}

func (s *Service) updateStats(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// consumeFault decrements a fault that counts calls, unless it is zero, and
// reports whether it did.
func (s *Service) consumeFault(field func(*Faults) *int) bool {
	faults := s.faults.Get()
	if *field(&faults) == 0 {
		return false
	}
	used := false
	s.faults.Update(func(f *Faults) {
		if n := field(f); *n > 0 {
			*n--
			used = true
		}
	})
	return used
}
