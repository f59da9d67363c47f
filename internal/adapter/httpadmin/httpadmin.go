// Package httpadmin serves the operators' endpoints that routers and keepers
// have in common.
package httpadmin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/metrics"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Options are what a daemon gives to its admin listener.
type Options struct {
	// TokenSHA256 is the hash of the admin token, in hex; empty serves no admin
	// call.
	TokenSHA256 string
	// Logger is told where no admin call is served. It may be nil.
	Logger    *log.Logger
	Decisions port.DecisionSource
	Registry  gometrics.Registry
	// Ready reports whether the daemon serves.
	Ready func() bool
	// Drain starts a graceful shutdown and returns at once.
	Drain func()
	// Register adds the daemon's own routes under /admin/.
	Register func(mux *http.ServeMux)
}

// explanation answers for one subject.
type explanation struct {
	Subject   string                `json:"subject"`
	ID        string                `json:"id"`
	Decisions []port.DecisionRecord `json:"decisions"`
}

// subjects maps the plural in a path to the subject of decisions.
var subjects = map[string]string{
	"requests":        "request",
	"endpoints":       "endpoint",
	"configurations":  "configuration",
	"failure-domains": "failure-domain",
	"fingerprints":    "fingerprint",
}

// New returns the handler of the admin listener. Only /healthz and /readyz
// are open; all else asks for the token.
func New(o Options) http.Handler {
	admin := http.NewServeMux()
	admin.Handle("GET /metrics", metrics.Handler(o.Registry))
	admin.HandleFunc("GET /admin/v1/explain/{subject}/{id...}", o.explain)
	admin.HandleFunc("POST /admin/v1/drain", o.drain)
	admin.HandleFunc("GET /admin/v1/profile", pprof.Profile)
	admin.Handle("GET /admin/v1/heap", pprof.Handler("heap"))
	if o.Register != nil {
		o.Register(admin)
	}
	mux := http.NewServeMux()
	mux.Handle("/", o.guard(admin))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", o.ready)
	return mux
}

// guard lets only operators in. Without a hash nobody is one: a default that
// stood in the deployed file would let in whoever made it, on every daemon.
func (o *Options) guard(admin http.Handler) http.Handler {
	if o.TokenSHA256 != "" {
		return httpserver.RequireToken(o.TokenSHA256, admin)
	}
	if o.Logger != nil {
		o.Logger.Warn().Str("event", "admin_calls_off").Str("reason", "admin_token_sha256 is not set").Msg("")
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		problem.Write(w, &problem.Problem{
			Status: http.StatusForbidden, Title: "no admin call is served: the daemon's settings name no admin token",
			Reason: "admin_calls_off", Outcome: problem.OutcomeNotRun,
		})
	})
}

func (o *Options) ready(w http.ResponseWriter, _ *http.Request) {
	if !o.Ready() {
		problem.Write(w, &problem.Problem{
			Status: http.StatusServiceUnavailable, Title: "not ready",
			Reason: "not_ready", Outcome: problem.OutcomeNotRun,
		})
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (o *Options) drain(w http.ResponseWriter, _ *http.Request) {
	o.Drain()
	w.WriteHeader(http.StatusAccepted)
}

func (o *Options) explain(w http.ResponseWriter, r *http.Request) {
	subject, known := subjects[r.PathValue("subject")]
	if !known {
		problem.Write(w, &problem.Problem{
			Status: http.StatusNotFound, Title: "explanations are kept for requests, endpoints, configurations and fingerprints",
			Reason: "unknown_subject", Outcome: problem.OutcomeNotRun, Field: "subject",
		})
		return
	}
	id := strings.TrimSuffix(r.PathValue("id"), "/")
	WriteJSON(w, http.StatusOK, explanation{
		Subject:   subject,
		ID:        id,
		Decisions: o.Decisions.Explain(subject, id),
	})
}

// WriteJSON answers with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
