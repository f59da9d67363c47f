package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// Defaults of the options.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
	DefaultHostLag         = 2 * time.Second
	DefaultHistory         = 100_000
	// MaxValueBytes is the size limit of one value.
	MaxValueBytes = 1 << 20
	// MaxWatchWait bounds a long poll.
	MaxWatchWait = time.Minute
)

// Options configures the stand-in. Rates are in calls per second.
type Options struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	// HostLag is the time between setting a host list and serving it.
	HostLag time.Duration
	// History is how many revisions back a watch may start.
	History uint64
}

// DefaultOptions returns the default rates, host lag and history.
func DefaultOptions() Options {
	return Options{
		WritesPerSecond: DefaultWritesPerSecond, ReadsPerSecond: DefaultReadsPerSecond,
		HostLag: DefaultHostLag, History: DefaultHistory,
	}
}

// Faults are set by PUT /standin/faults.
type Faults struct {
	// Down refuses every call with status 503 and ends the waiting watches.
	Down       bool  `json:"down"`
	SlowMillis int64 `json:"slow_ms"`
	// LoseReplies is the number of next writes that take effect but whose
	// connection is closed without a response.
	LoseReplies int `json:"lose_replies"`
}

// Stats are counters of calls since the start; WaitingWatches is a gauge.
type Stats struct {
	Reads          int64 `json:"reads"`
	Writes         int64 `json:"writes"`
	Conflicts      int64 `json:"conflicts"`
	Throttled      int64 `json:"throttled"`
	Watches        int64 `json:"watches"`
	WaitingWatches int64 `json:"waiting_watches"`
}

type counters struct {
	reads, writes, conflicts, throttled, watches, waitingWatches atomic.Int64
}

// listing is the response to a list and to a watch.
type listing struct {
	Objects  []port.Object `json:"objects"`
	Revision uint64        `json:"revision"`
}

// Platform serves the object API.
type Platform struct {
	store    *store
	hosts    hosts
	faults   switches.FaultStore[Faults]
	reads    *rate.Limiter
	writes   *rate.Limiter
	counters counters
	history  uint64
	mux      *http.ServeMux
}

// New returns a platform without objects.
func New(o Options) *Platform {
	p := &Platform{
		store:   newStore(),
		hosts:   hosts{lag: o.HostLag},
		reads:   rate.NewLimiter(rate.Limit(o.ReadsPerSecond), max(1, int(o.ReadsPerSecond/4))),
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), max(1, int(o.WritesPerSecond/4))),
		history: o.History,
		mux:     http.NewServeMux(),
	}
	p.routes()
	return p
}

func (p *Platform) routes() {
	p.mux.HandleFunc("GET /v1/objects/{kind}/{name}", p.guardRead(p.getObject))
	p.mux.HandleFunc("GET /v1/objects/{kind}", p.guardRead(p.listObjects))
	p.mux.HandleFunc("GET /v1/watch/{kind}", p.guardRead(p.watchKind))
	p.mux.HandleFunc("GET /v1/hosts", p.guardRead(p.listHosts))
	p.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", p.guard(p.writes, &p.counters.writes, p.putObject))
	p.mux.HandleFunc("PUT /standin/hosts", p.setHosts)
	p.faults.Register(p.mux, func() any { return p.Stats() })
}

// ServeHTTP serves the object API and the API that sets the faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Stats returns the counters.
func (p *Platform) Stats() Stats {
	return Stats{
		Reads: p.counters.reads.Load(), Writes: p.counters.writes.Load(),
		Conflicts: p.counters.conflicts.Load(), Throttled: p.counters.throttled.Load(),
		Watches: p.counters.watches.Load(), WaitingWatches: p.counters.waitingWatches.Load(),
	}
}

func (p *Platform) guardRead(next http.HandlerFunc) http.HandlerFunc {
	return p.guard(p.reads, &p.counters.reads, next)
}

// guard applies the faults and the rate limit, and counts the call.
func (p *Platform) guard(limit *rate.Limiter, count *atomic.Int64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		count.Add(1)
		faults := p.faults.Get()
		if faults.Down {
			switches.Refuse(w, http.StatusServiceUnavailable, "down", "")
			return
		}
		if !limit.Allow() {
			p.counters.throttled.Add(1)
			w.Header().Set("Retry-After", "1")
			switches.Refuse(w, http.StatusTooManyRequests, "throttled", "")
			return
		}
		if !pause(r, time.Duration(faults.SlowMillis)*time.Millisecond) {
			return
		}
		next(w, r)
	}
}

// pause waits for d. It returns false if the client disconnects before.
func pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	o, ok := p.store.get(r.PathValue("kind"), r.PathValue("name"))
	if !ok {
		switches.Refuse(w, http.StatusNotFound, "not_found", "")
		return
	}
	switches.WriteJSON(w, http.StatusOK, o)
}

func (p *Platform) listObjects(w http.ResponseWriter, r *http.Request) {
	objects, revision, _ := p.store.changedAfter(r.PathValue("kind"), 0)
	switches.WriteJSON(w, http.StatusOK, listing{Objects: objects, Revision: revision})
}

func (p *Platform) listHosts(w http.ResponseWriter, _ *http.Request) {
	switches.WriteJSON(w, http.StatusOK, p.hosts.visible(time.Now()))
}

func (p *Platform) setHosts(w http.ResponseWriter, r *http.Request) {
	var list HostList
	if !switches.ReadJSON(w, r, &list) {
		return
	}
	p.hosts.set(time.Now(), list)
	switches.WriteJSON(w, http.StatusOK, list)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	expect, ok := expectedVersion(w, r)
	if !ok {
		return
	}
	value, ok := readBody(w, r)
	if !ok {
		return
	}
	o, ok := p.store.put(r.PathValue("kind"), r.PathValue("name"), expect, value)
	if p.consumeLostReply(ok) {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		p.counters.conflicts.Add(1)
		switches.WriteJSON(w, http.StatusPreconditionFailed, o)
		return
	}
	switches.WriteJSON(w, http.StatusOK, o)
}

// consumeLostReply reports whether the response must be lost, and decrements
// Faults.LoseReplies if so. Only writes that took effect lose their response.
func (p *Platform) consumeLostReply(written bool) bool {
	if !written || p.faults.Get().LoseReplies == 0 {
		return false
	}
	lost := false
	p.faults.Update(func(f *Faults) {
		if f.LoseReplies > 0 {
			f.LoseReplies--
			lost = true
		}
	})
	return lost
}

// expectedVersion returns the stored version that the write's condition
// requires; zero means that the object must not exist. If the headers are
// invalid, it has sent the error response and returns false.
func expectedVersion(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		switches.Refuse(w, http.StatusPreconditionRequired, "no_condition", "If-Match or If-None-Match is required")
		return 0, false
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || version == 0 {
		switches.Refuse(w, http.StatusBadRequest, "bad_condition", "If-Match must be a quoted version")
		return 0, false
	}
	return version, true
}

func readBody(w http.ResponseWriter, r *http.Request) (json.RawMessage, bool) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		switches.Refuse(w, http.StatusRequestEntityTooLarge, "too_large", "")
		return nil, false
	case err != nil:
		switches.Refuse(w, http.StatusBadRequest, "bad_body", err.Error())
		return nil, false
	case !json.Valid(raw):
		switches.Refuse(w, http.StatusBadRequest, "bad_body", "not JSON")
		return nil, false
	}
	return raw, true
}
