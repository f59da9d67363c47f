// Package httpadmin serves the part of the operators' API that routers, keepers
// and entry daemons have in common.
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

// Options configures a daemon's admin listener.
type Options struct {
	// TokenSHA256 is the hash of the admin token, in hex. If it is empty, all
	// admin calls are refused.
	TokenSHA256 string
	// Logger gets a warning if admin calls are refused. It may be nil.
	Logger    *log.Logger
	Decisions port.DecisionSource
	Registry  gometrics.Registry
	// Ready reports whether the daemon can serve requests.
	Ready func() bool
	// Drain starts a graceful shutdown and returns at once.
	Drain func()
	// Register adds the daemon's own routes under /admin/.
	Register func(mux *http.ServeMux)
}

// explanation lists the recent decisions on one subject.
type explanation struct {
	Subject   string                `json:"subject"`
	ID        string                `json:"id"`
	Decisions []port.DecisionRecord `json:"decisions"`
}

// subjects maps the plural in a path to the subject in decision records.
var subjects = map[string]string{
	"requests":        "request",
	"endpoints":       "endpoint",
	"configurations":  "configuration",
	"failure-domains": "failure-domain",
	"fingerprints":    "fingerprint",
}

// New returns the handler of the admin listener. All paths but /healthz and
// /readyz require the admin token.
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
	mux.Handle("/", o.requireToken(admin))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", o.ready)
	return mux
}

// requireToken accepts only requests with the admin token. Without a configured
// hash it refuses all requests: with a default hash in the deployed settings
// file, whoever chose that token would have access to every daemon.
func (o *Options) requireToken(admin http.Handler) http.Handler {
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
	subject, found := subjects[r.PathValue("subject")]
	if !found {
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

// WriteJSON writes a response with v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// If the write fails, the client has disconnected; the error can't be reported.
	_ = json.NewEncoder(w).Encode(v)
}
