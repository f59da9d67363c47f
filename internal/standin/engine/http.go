package engine

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/enginemodel"
	"github.com/dragonflyrail/dragonflyrail/internal/standin/switches"
)

// HeaderGeneration carries the generation id that the router chose.
const HeaderGeneration = "Generation-Id"

// maxIDBytes bounds a generation id.
const maxIDBytes = 128

// StatusReply is the response to GET and DELETE /v1/generations/{generation}.
type StatusReply struct {
	Status port.GenerationStatus `json:"status"`
	Tokens int                   `json:"tokens"`
}

type cacheEventsReply struct {
	Events []enginemodel.CacheEvent `json:"events"`
	Next   uint64                   `json:"next"`
}

func (e *Engine) routes() {
	e.mux.HandleFunc("POST /v1/completions", e.serveStart)
	e.mux.HandleFunc("GET /v1/generations/{generation}/events", e.serveResume)
	e.mux.HandleFunc("GET /v1/generations/{generation}", e.serveStatus)
	e.mux.HandleFunc("DELETE /v1/generations/{generation}", e.serveCancel)
	e.mux.HandleFunc("GET /v1/load", e.serveLoad)
	e.mux.HandleFunc("GET /v1/cache-events", e.serveCacheEvents)
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("GET /v1/state", e.serveState)
	e.mux.HandleFunc("GET /standin/orders", e.serveAppliedOrders)
	e.mux.HandleFunc("POST /standin/reclaim", e.serveReclaim)
	e.faults.Register(e.mux, func() any { return e.Stats() })
}

func (e *Engine) serveStart(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(HeaderGeneration)
	if id == "" || len(id) > maxIDBytes {
		switches.Refuse(w, http.StatusBadRequest, "bad_generation", HeaderGeneration+" is required")
		return
	}
	var body startRequest
	if !switches.ReadJSON(w, r, &body) {
		return
	}
	faults := e.faults.Get()
	switch {
	case faults.Refuse:
		e.refuseStart(w, "refused")
		return
	case faults.Leaving:
		e.refuseStart(w, "leaving")
		return
	case body.MaxTokens < 0:
		switches.Refuse(w, http.StatusBadRequest, "bad_body", "max_tokens is negative")
		return
	case !e.orders.isReady(body.Model):
		e.refuseStart(w, "model_not_ready")
		return
	}
	g, err := e.start(time.Now(), id, &body)
	switch {
	case errors.Is(err, errUsedID), errors.Is(err, enginemodel.ErrDuplicate):
		switches.Refuse(w, http.StatusConflict, "generation_known", "")
	case errors.Is(err, enginemodel.ErrTooLarge), errors.Is(err, enginemodel.ErrInvalid):
		switches.Refuse(w, http.StatusBadRequest, "too_large", err.Error())
	case err != nil:
		e.refuseStart(w, "full")
	default:
		e.scheduleCrash(body.Prompt)
		e.stream(w, r, g, 0, true)
	}
}

func (e *Engine) refuseStart(w http.ResponseWriter, reason string) {
	e.mu.Lock()
	e.stats.Refused++
	e.mu.Unlock()
	switches.Refuse(w, http.StatusServiceUnavailable, reason, "")
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		switches.Refuse(w, http.StatusBadRequest, "bad_query", "from must be a token index")
		return
	}
	g := e.lookup(r.PathValue("generation"))
	if g == nil || g.progress().status == port.GenerationCancelled {
		switches.Refuse(w, http.StatusNotFound, "no_generation", "")
		return
	}
	e.mu.Lock()
	e.stats.Resumed++
	e.mu.Unlock()
	e.stream(w, r, g, from, false)
}

func (e *Engine) serveStatus(w http.ResponseWriter, r *http.Request) {
	reply := StatusReply{Status: port.GenerationUnknown}
	if g := e.lookup(r.PathValue("generation")); g != nil {
		current := g.progress()
		reply = StatusReply{Status: current.status, Tokens: current.tokens}
	}
	switches.WriteJSON(w, http.StatusOK, reply)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	before := e.cancel(time.Now(), r.PathValue("generation"))
	switches.WriteJSON(w, http.StatusOK, StatusReply{Status: before.status, Tokens: before.tokens})
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	switches.WriteJSON(w, http.StatusOK, e.load())
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			switches.Refuse(w, http.StatusBadRequest, "bad_query", "after must be a number")
			return
		}
	}
	events, next := e.cacheEvents(after)
	switches.WriteJSON(w, http.StatusOK, cacheEventsReply{Events: events, Next: next})
}
