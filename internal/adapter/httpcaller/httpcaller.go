// Package httpcaller implements the callers' HTTP API described in
// docs/design/wire.md. It translates requests into calls of the application,
// and refusals into problem documents.
package httpcaller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpadmin"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
)

// Application processes the requests.
type Application interface {
	NewRequestID() string
	Generate(ctx context.Context, r *router.GenerationRequest, a router.FrameWriter) *router.Refusal
	Resume(ctx context.Context, r *router.ResumeRequest, a router.FrameWriter) *router.Refusal
	Cancel(ctx context.Context, organisation, token string) (port.GenerationStatus, *router.Refusal)
	CallService(ctx context.Context, r *router.ServiceRequest) (*router.ServiceReply, *router.Refusal)
	LookupRequest(ctx context.Context, organisation, requestID, idempotencyKey string) router.RequestStatus
	EntryAddresses(organisation string) ([]string, time.Duration)
	Leaving() bool
}

// Organisations looks up the organisation that owns a key, given the key's
// SHA-256 in hex.
type Organisations func(keySHA256Hex string) (name string, found bool)

// Options configures the handler of the callers' listener.
type Options struct {
	Application   Application
	Organisations Organisations
	// Synced reports whether the records have been received; before that no
	// key can be checked.
	Synced func() bool
	// KeyRetention returns how long claims of idempotency keys are kept. It may
	// be nil, and returns zero while the duration isn't known yet.
	KeyRetention func() time.Duration
	// BodyTimeout limits the time to receive a request body.
	BodyTimeout time.Duration
	// WriteTimeout limits each write to a caller.
	WriteTimeout time.Duration
}

type handler struct {
	Options
}

// New returns the handler of the callers' listener.
func New(o Options) http.Handler {
	h := &handler{Options: o}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry", h.entry)
	mux.HandleFunc("POST /v1/completions", h.authenticated(h.completions))
	mux.HandleFunc("GET /v1/generations/{token}", h.authenticated(h.resume))
	mux.HandleFunc("DELETE /v1/generations/{token}", h.authenticated(h.cancel))
	mux.HandleFunc("/v1/services/{service}/{path...}", h.authenticated(h.service))
	mux.HandleFunc("GET /v1/requests/{id}", h.authenticated(h.requestStatus))
	mux.HandleFunc("/", h.notFound)
	return h.withCommonHeaders(mux)
}

// caller identifies an authenticated request.
type caller struct {
	organisation string
	requestID    string
}

// withCommonHeaders sets the response headers that all answers have in common.
// While the router shuts down, it has connections closed, so that callers
// reconnect to another router.
func (h *handler) withCommonHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Clear the write deadline of an earlier answer on this connection: it
		// would break an answer that takes long to start.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		w.Header().Set(router.HeaderRequestID, h.Application.NewRequestID())
		if h.Application.Leaving() {
			w.Header().Set("Connection", "close")
		}
		h.setKeyRetention(w, r)
		next.ServeHTTP(w, r)
	})
}

// headerKeyRetention is how long an idempotency key protects against running a
// request twice. After that a retry is refused for the time given in
// docs/design/claims.md.
const headerKeyRetention = "Idempotency-Key-Valid-For-Ms"

func (h *handler) setKeyRetention(w http.ResponseWriter, r *http.Request) {
	if h.KeyRetention == nil || r.Header.Get(router.HeaderIdempotencyKey) == "" {
		return
	}
	if d := h.KeyRetention(); d > 0 {
		w.Header().Set(headerKeyRetention, strconv.FormatInt(d.Milliseconds(), 10))
	}
}

func (h *handler) authenticated(next func(http.ResponseWriter, *http.Request, caller)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !h.Synced() {
			h.rejectNotSynced(w)
			return
		}
		organisation, found := "", false
		if key := httpserver.Bearer(r); key != "" {
			organisation, found = h.Organisations(httpserver.HashToken(key))
		}
		if !found {
			h.reject(w, http.StatusUnauthorized, "unauthorized", "Authorization", "the bearer key is missing or belongs to no organisation")
			return
		}
		next(w, r, caller{organisation: organisation, requestID: w.Header().Get(router.HeaderRequestID)})
	}
}

// rejectNotSynced refuses a request to a router that has just started. Without
// the records, every key would look invalid.
func (h *handler) rejectNotSynced(w http.ResponseWriter) {
	p := &problem.Problem{
		Status: http.StatusServiceUnavailable, Title: "this router has not yet got the records",
		Reason: "not_synchronised", Outcome: problem.OutcomeNotRun, RequestID: w.Header().Get(router.HeaderRequestID),
	}
	problem.Write(w, p.WithRetryAfter(time.Second))
}

// reject refuses a request that has not been run.
func (h *handler) reject(w http.ResponseWriter, status int, reason, field, detail string) {
	problem.Write(w, &problem.Problem{
		Status: status, Title: http.StatusText(status), Detail: detail, Reason: reason,
		Field: field, Outcome: problem.OutcomeNotRun, RequestID: w.Header().Get(router.HeaderRequestID),
	})
}

func (h *handler) rejectInvalid(w http.ResponseWriter, invalid *invalidInput) {
	h.reject(w, invalid.status, "invalid_request", invalid.field, invalid.detail)
}

func (h *handler) notFound(w http.ResponseWriter, _ *http.Request) {
	h.reject(w, http.StatusNotFound, "no_such_path", "path", "there is nothing at this path")
}

type entryReply struct {
	Addresses   []string `json:"addresses"`
	ValidMillis int64    `json:"valid_for_ms"`
}

func (h *handler) entry(w http.ResponseWriter, r *http.Request) {
	if !h.Synced() {
		h.rejectNotSynced(w)
		return
	}
	q := r.URL.Query()
	for _, field := range []string{"organisation", "model"} {
		if len(q.Get(field)) > maxNameBytes {
			h.reject(w, http.StatusBadRequest, "invalid_request", field, "the name is too long")
			return
		}
	}
	addresses, valid := h.Application.EntryAddresses(q.Get("organisation"))
	if len(addresses) == 0 {
		p := &problem.Problem{
			Status: http.StatusServiceUnavailable, Title: "no live router is known", Reason: "no_router",
			Outcome: problem.OutcomeNotRun, RequestID: w.Header().Get(router.HeaderRequestID),
		}
		problem.Write(w, p.WithRetryAfter(time.Second))
		return
	}
	httpadmin.WriteJSON(w, http.StatusOK, entryReply{Addresses: addresses, ValidMillis: valid.Milliseconds()})
}

func (h *handler) requestStatus(w http.ResponseWriter, r *http.Request, c caller) {
	id := r.PathValue("id")
	if len(id) > maxNameBytes || !strings.Contains(id, ".") {
		h.reject(w, http.StatusBadRequest, "invalid_request", "id", "a request id is <router id>.<uuid>")
		return
	}
	key, invalid := idempotencyKey(r)
	if invalid != nil {
		h.rejectInvalid(w, invalid)
		return
	}
	httpadmin.WriteJSON(w, http.StatusOK, h.Application.LookupRequest(r.Context(), c.organisation, id, key))
}
