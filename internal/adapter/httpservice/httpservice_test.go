package httpservice

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/rawserver"
)

const testTimeout = 20 * time.Second

func serve(t *testing.T, h http.HandlerFunc) (*Caller, port.Endpoint) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	c := New(Options{DialTimeout: testTimeout, LoadTimeout: testTimeout, IdleConnections: 2})
	return c, port.Endpoint{ID: "s1", Address: strings.TrimPrefix(server.URL, "http://")}
}

// A service receives the caller's request with its idempotency key and the
// caller's organisation, but never the caller's credentials.
func TestCallForwardsRequest(t *testing.T) {
	var got *http.Request
	var body string
	c, e := serve(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		got, body = r, string(raw)
		w.Header().Set("X-Ledger", "7")
		w.Header().Set(router.HeaderRequestID, "the service's own")
		w.WriteHeader(http.StatusCreated)
	})
	header := http.Header{}
	header.Set("Authorization", "Bearer secret")
	header.Set("Cookie", "session=secret")
	header.Set("Content-Type", "text/plain")
	header.Set(router.HeaderIdempotencyKey, "k")
	header.Set(router.HeaderNonIdempotent, "true")
	reply, err := c.Call(t.Context(), e, &router.ServiceRequest{
		RequestID: "r1.x", Organisation: "kegsetu", Method: http.MethodPatch, Path: "/a%2Fb?x=1",
		Header: header, Body: []byte("keg 7"),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer reply.Rest.Close()
	if got.Header.Get("Authorization") != "" || got.Header.Get("Cookie") != "" {
		t.Fatalf("the caller's credentials were passed on: %v", got.Header)
	}
	if got.Method != http.MethodPatch || got.RequestURI != "/a%2Fb?x=1" || body != "keg 7" {
		t.Fatalf("got %s %s %q", got.Method, got.RequestURI, body)
	}
	for name, want := range map[string]string{
		router.HeaderIdempotencyKey: "k", router.HeaderNonIdempotent: "true", router.HeaderRequestID: "r1.x",
		router.HeaderOrganisation: "kegsetu", "Content-Type": "text/plain",
	} {
		if got.Header.Get(name) != want {
			t.Errorf("%s: got %q, want %q", name, got.Header.Get(name), want)
		}
	}
	if reply.Status != http.StatusCreated || reply.Header.Get("X-Ledger") != "7" || reply.Header.Get(router.HeaderRequestID) != "" {
		t.Fatalf("got %d %v", reply.Status, reply.Header)
	}
}

// Guards against a path that contains a host address and redirects the call
// there.
func TestPathDoesNotChooseTheHost(t *testing.T) {
	reached := false
	c, e := serve(t, func(http.ResponseWriter, *http.Request) { reached = true })
	for _, path := range []string{"/@127.0.0.1:1/", "//127.0.0.1:1/", "/..//127.0.0.1:1"} {
		reached = false
		reply, err := c.Call(t.Context(), e, &router.ServiceRequest{Method: http.MethodGet, Path: path})
		if err != nil {
			t.Fatalf("%q: %v", path, err)
		}
		reply.Rest.Close()
		if !reached {
			t.Errorf("the call with path %q did not reach the endpoint", path)
		}
	}
}

// A call to a closed port fails with ErrNotSent. A load request that isn't
// answered with a report fails with ErrEndpointLost.
func TestCallErrors(t *testing.T) {
	c, e := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	if _, err := c.Load(t.Context(), e); !errors.Is(err, port.ErrEndpointLost) {
		t.Fatalf("load: got %v", err)
	}
	closedPort := port.Endpoint{ID: "s2", Address: "127.0.0.1:1"}
	if _, err := c.Call(t.Context(), closedPort, &router.ServiceRequest{Method: http.MethodPost, Path: "/"}); !errors.Is(err, port.ErrNotSent) {
		t.Fatalf("call: got %v", err)
	}
}

// Guards against an endpoint that counts as ended because its report broke off.
func TestReportThatBreaksOffShowsNoEnd(t *testing.T) {
	for _, response := range rawserver.BrokenOff {
		c := New(Options{DialTimeout: testTimeout, LoadTimeout: testTimeout})
		e := port.Endpoint{ID: "s1", Address: rawserver.Serve(t, rawserver.Text(response.With("", `{"endpoint":"s1"}`)))}
		if got := c.CheckPresence(t.Context(), e); got != port.PresenceUnknown {
			t.Errorf("%q: %v, want unknown", response, got)
		}
	}
}
