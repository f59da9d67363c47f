// Package httpserver creates HTTP servers with the same limits for every
// listener, and checks bearer tokens.
package httpserver

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/problem"
)

// Limits of every listener. There is no write timeout, because a stream lasts as
// long as its generation; the writers of streams set their own deadlines.
const (
	ReadHeaderTimeout = 5 * time.Second
	IdleTimeout       = 60 * time.Second
	MaxHeaderBytes    = 32 << 10
	MaxBodyBytes      = 1 << 20
)

// New returns a server with these limits. Each request body is limited to
// MaxBodyBytes.
func New(h http.Handler) *http.Server {
	return NewWithoutBodyLimit(http.MaxBytesHandler(h, MaxBodyBytes))
}

// NewWithoutBodyLimit returns a server with these limits except that of bodies, which the
// handler has to limit.
func NewWithoutBodyLimit(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: ReadHeaderTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

// Bearer returns the bearer token of the Authorization header, or "" if there
// is none.
func Bearer(r *http.Request) string {
	scheme, token, found := strings.Cut(r.Header.Get("Authorization"), " ")
	if !found || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return token
}

// HashToken returns the SHA-256 of a token in hex, the form used in records and
// settings.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// RequireToken refuses requests without the token of the given hash. The hashes
// are compared in constant time.
func RequireToken(hash string, next http.Handler) http.Handler {
	want := []byte(strings.ToLower(hash))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(HashToken(Bearer(r)))
		if subtle.ConstantTimeCompare(got, want) != 1 {
			problem.Write(w, &problem.Problem{
				Status: http.StatusUnauthorized, Title: "the admin token is missing or wrong",
				Reason: "unauthorized", Outcome: problem.OutcomeNotRun,
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}
