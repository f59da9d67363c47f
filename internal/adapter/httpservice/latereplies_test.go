package httpservice

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/router"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/latereply"
)

// serveLate starts a service that sends each reply twice.
func serveLate(t *testing.T, answer func(r *http.Request) string) (*Caller, port.Endpoint) {
	t.Helper()
	c := New(Options{DialTimeout: testTimeout, LoadTimeout: testTimeout, IdleConnections: 2})
	return c, port.Endpoint{ID: "s1", Address: latereply.Serve(t, answer)}
}

// replyText returns a reply whose head names the request id, unless that is empty.
func replyText(status int, id, body string) string {
	named := ""
	if id != "" {
		named = router.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, named, len(body), body)
}

// callOnce makes a call and returns the status and the body of its reply.
func callOnce(t *testing.T, c *Caller, e port.Endpoint, method, id string) (int, string, error) {
	t.Helper()
	reply, err := c.Call(t.Context(), e, &router.ServiceRequest{RequestID: id, Method: method, Path: "/" + id})
	if err != nil {
		return 0, "", err
	}
	defer reply.Rest.Close()
	body, err := io.ReadAll(reply.Rest)
	return reply.Status, string(body), err
}

// Guards against a late copy of one call's reply that is delivered as the reply to the next call that must run once.
func TestSecondCopyOfReplyIsNotTheNextAnswer(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusTooManyRequests} {
		c, e := serveLate(t, func(r *http.Request) string {
			if r.URL.Path == "/r1.a" {
				return replyText(status, "", "a")
			}
			return replyText(http.StatusOK, "", "b")
		})
		if got, body, err := callOnce(t, c, e, http.MethodPost, "r1.a"); err != nil || got != status || body != "a" {
			t.Fatalf("first call: got %d %q, %v", got, body, err)
		}
		if got, body, err := callOnce(t, c, e, http.MethodPost, "r1.b"); err != nil || got != http.StatusOK || body != "b" {
			t.Errorf("second call after a %d: got %d %q, %v, want its own reply", status, got, body, err)
		}
	}
}

// Guards against a reply that names another call of this router, and against a connection that is used again after it.
func TestReplyThatNamesAnotherCallIsNoAnswer(t *testing.T) {
	c, e := serveLate(t, func(r *http.Request) string {
		return replyText(http.StatusOK, r.Header.Get(router.HeaderRequestID), r.URL.Path)
	})
	if _, _, err := callOnce(t, c, e, http.MethodGet, "r1.a"); err != nil {
		t.Fatal(err)
	}
	if _, body, err := callOnce(t, c, e, http.MethodGet, "r1.b"); !errors.Is(err, port.ErrEndpointLost) {
		t.Errorf("second call: got %q, %v, want ErrEndpointLost", body, err)
	}
	if _, body, err := callOnce(t, c, e, http.MethodGet, "r1.c"); err != nil || body != "/r1.c" {
		t.Errorf("third call: got %q, %v, want its own reply", body, err)
	}
}

// Guards against calls that fail because their service names its replies in a way of its own.
func TestServiceMayNameItsOwnRequests(t *testing.T) {
	c, e := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(router.HeaderRequestID, "ledger."+r.URL.Path)
	})
	for _, id := range []string{"r1.a", "r1.b"} {
		if status, _, err := callOnce(t, c, e, http.MethodGet, id); err != nil || status != http.StatusOK {
			t.Errorf("%s: got %d, %v", id, status, err)
		}
	}
}

// Guards against a late reply to a call that is read as the service's load report.
func TestLateReplyIsNoLoadReport(t *testing.T) {
	c, e := serveLate(t, func(r *http.Request) string {
		if r.URL.Path == "/v1/load" {
			return replyText(http.StatusOK, "", `{"endpoint":"s1","incarnation":2}`)
		}
		return replyText(http.StatusOK, "", `{"endpoint":"s1","incarnation":1}`)
	})
	if _, _, err := callOnce(t, c, e, http.MethodGet, "r1.a"); err != nil {
		t.Fatal(err)
	}
	if report, err := c.Load(t.Context(), e); err != nil || report.Incarnation != 2 {
		t.Fatalf("got %+v, %v, want the report of incarnation 2", report, err)
	}
}

// Guards against good replies that are dropped because their service stored them for an earlier call, whose name they have.
func TestStoredReplyIsAnAnswer(t *testing.T) {
	c, e := serve(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(router.HeaderRequestID, "r1.first")
	})
	for _, id := range []string{"r1.first", "r1.between", "r1.b", "r1.c"} {
		for _, method := range []string{http.MethodGet, http.MethodPut} {
			if status, _, err := callOnce(t, c, e, method, id+method); err != nil || status != http.StatusOK {
				t.Errorf("%s %s: got %d, %v", method, id, status, err)
			}
		}
	}
}

// Guards against a late copy of one call's reply that is delivered as the reply to the next idempotent call, by a service that names none.
func TestLateUnnamedReplyIsNotTheNextAnswer(t *testing.T) {
	c, e := serveLate(t, func(r *http.Request) string { return replyText(http.StatusOK, "", r.URL.Path) })
	for _, id := range []string{"r1.a", "r1.b", "r1.c"} {
		for _, method := range []string{http.MethodGet, http.MethodPut} {
			if _, body, err := callOnce(t, c, e, method, id+method); err != nil || body != "/"+id+method {
				t.Errorf("%s %s: got %q, %v, want its own reply", method, id, body, err)
			}
		}
	}
}

// Guards against an unnamed reply on a used connection that counts as the next call's, and against calls that are lost again and again because some replies of their service have no name.
func TestUnnamedReplyOnUsedConnectionIsNoAnswer(t *testing.T) {
	c, e := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/r1.named") {
			w.Header().Set(router.HeaderRequestID, r.Header.Get(router.HeaderRequestID))
		}
	})
	var lost []string
	for _, id := range []string{"r1.named-a", "r1.named-b", "r1.c", "r1.named-d", "r1.e", "r1.named-f", "r1.g"} {
		if _, _, err := callOnce(t, c, e, http.MethodGet, id); err != nil {
			lost = append(lost, id)
		}
	}
	if !slices.Equal(lost, []string{"r1.c"}) {
		t.Errorf("lost %v, want only the first call without a name", lost)
	}
}

// Guards against a connection for each call where the service names its replies, and against a connection that is kept for an endpoint's next start by what its former one did.
func TestConnectionsAreKeptWhereRepliesAreNamed(t *testing.T) {
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "unnamed") {
			w.Header().Set(router.HeaderRequestID, r.Header.Get(router.HeaderRequestID))
		}
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	c := New(Options{DialTimeout: testTimeout, LoadTimeout: testTimeout, IdleConnections: 2})
	e := port.Endpoint{ID: "s1", Address: strings.TrimPrefix(server.URL, "http://"), Incarnation: 1}
	const calls = 10
	for _, step := range []struct {
		incarnation uint64
		path        string
		want        int32
	}{{1, "r1.named", 1}, {2, "r1.unnamed", calls}, {3, "r1.named", 1}} {
		before := opened.Load()
		e.Incarnation = step.incarnation
		c.idempotent.CloseIdle()
		for i := range calls {
			if _, _, err := callOnce(t, c, e, http.MethodGet, fmt.Sprint(step.path, i)); err != nil {
				t.Fatalf("start %d, call %d: %v", step.incarnation, i, err)
			}
		}
		if got := opened.Load() - before; got != step.want {
			t.Errorf("start %d: %d connections for %d calls, want %d", step.incarnation, got, calls, step.want)
		}
	}
}

// Guards against a good reply that is dropped on a used connection, because it was stored for its key's first call.
func TestStoredReplyOfNamingServiceIsAnAnswer(t *testing.T) {
	c, e := serve(t, func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(router.HeaderRequestID)
		if r.Header.Get(router.HeaderIdempotencyKey) != "" {
			id = "r1.first"
		}
		w.Header().Set(router.HeaderRequestID, id)
	})
	for i := range 6 {
		header := http.Header{}
		if i%2 == 1 {
			header.Set(router.HeaderIdempotencyKey, "k")
		}
		reply, err := c.Call(t.Context(), e, &router.ServiceRequest{RequestID: fmt.Sprint(i), Method: http.MethodPut, Path: "/", Header: header})
		if err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		_, _ = io.Copy(io.Discard, reply.Rest)
		reply.Rest.Close()
	}
}

// Guards against a memory of endpoints that grows with each endpoint ever called, and against one that is lost to a call without a reply.
func TestNamingIsBounded(t *testing.T) {
	var n naming
	e := port.Endpoint{ID: "s"}
	if !n.mayKeep(e) || n.mayKeep(e) {
		t.Fatal("not exactly the first call shows whether replies are named")
	}
	n.forget(e)
	if !n.mayKeep(e) {
		t.Fatal("an endpoint whose first call got no reply is never asked again")
	}
	for i := range 2 * maxEndpoints {
		n.mayKeep(port.Endpoint{ID: fmt.Sprint(i)})
	}
	if len(n.endpoints) > maxEndpoints {
		t.Fatalf("%d endpoints are remembered", len(n.endpoints))
	}
}

// Guards against an endpoint that counts as gone because an older report, from before its restart, comes late.
func TestPresenceIsNoOlderReport(t *testing.T) {
	var reports atomic.Uint64
	c, e := serveLate(t, func(*http.Request) string {
		return replyText(http.StatusOK, "", fmt.Sprintf(`{"endpoint":"s1","incarnation":%d}`, reports.Add(1)))
	})
	if _, err := c.Load(t.Context(), e); err != nil {
		t.Fatal(err)
	}
	e.Incarnation = 2
	if got := c.CheckPresence(t.Context(), e); got != port.PresenceServing {
		t.Fatalf("got %v, want PresenceServing", got)
	}
}
