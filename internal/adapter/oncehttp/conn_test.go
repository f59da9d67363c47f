package oncehttp

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// keepingServer states a time in Keep-Alive, closes no connection by itself and counts them.
type keepingServer struct {
	*httptest.Server
	mu           sync.Mutex
	opened, open int
}

func newKeepingServer(t *testing.T, keepAlive string) *keepingServer {
	t.Helper()
	s := &keepingServer{Server: httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if keepAlive != "" {
			w.Header().Set("Keep-Alive", keepAlive)
		}
		_, _ = io.WriteString(w, "x")
	}))}
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch state {
		case http.StateNew:
			s.opened++
			s.open++
		case http.StateClosed:
			s.open--
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s
}

func (s *keepingServer) counts() (opened, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opened, s.open
}

// call sends one request and waits until its connection is unused.
func (s *keepingServer) call(t *testing.T, c *Client, repeatable bool) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	do := c.Do
	if repeatable {
		do = c.DoRepeatable
	}
	resp, err := do(r, []byte("x"), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
}

func newKeepingClient() *Client {
	return New(Options{DialTimeout: testTimeout, IdleConnections: 4, IdleTimeout: 20 * time.Millisecond, KeepStated: true})
}

// Guards against a new connection for each repeatable call to an endpoint that keeps its
// connections open, and against a call that must not run twice on a connection that was
// unused for longer than IdleTimeout.
func TestOnlyRepeatableRequestsUseOldConnections(t *testing.T) {
	s, c := newKeepingServer(t, "timeout=20, max=100"), newKeepingClient()
	s.call(t, c, true)
	s.call(t, c, false)
	if opened, _ := s.counts(); opened != 2 {
		t.Fatalf("%d connections, want one for each kind of request", opened)
	}
	eventually.True(t, "the connection of the second request is closed", func() bool {
		_, open := s.counts()
		return open == 1
	})
	if !c.HasIdle(s.Listener.Addr().String()) {
		t.Fatal("the client doesn't report the connection that it keeps")
	}
	s.call(t, c, true)
	if opened, _ := s.counts(); opened != 2 {
		t.Errorf("a repeatable request opened a connection although one is kept")
	}
	s.call(t, c, false)
	if opened, _ := s.counts(); opened != 3 {
		t.Errorf("a request that must not run twice used a connection that was unused for longer than IdleTimeout")
	}
}

// Guards against a request on a connection that its server is about to close.
func TestUnusedConnectionIsClosedBeforeStatedTime(t *testing.T) {
	for _, keepAlive := range []string{"timeout=1", ""} {
		s, c := newKeepingServer(t, keepAlive), newKeepingClient()
		s.call(t, c, true)
		eventually.True(t, "the unused connection is closed", func() bool {
			_, open := s.counts()
			return open == 0 && !c.HasIdle(s.Listener.Addr().String())
		})
	}
	long := newKeepingClient()
	long.idleTimeout = time.Hour
	s := newKeepingServer(t, "timeout=1")
	s.call(t, long, false)
	eventually.True(t, "the connection for requests that must not run twice is closed", func() bool {
		_, open := s.counts()
		return open == 0
	})
}

// Guards against bytes of a request on a connection that is closed as unused at the same
// moment: the request would count as sent.
func TestNothingIsSentOnExpiredConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	p := &connections{idle: make(map[string]int)}
	c := &countedConn{Conn: httpstrict.NewConn(near), pool: p, address: "a", keepFor: time.Hour}
	first, second := &sentTrace{}, &sentTrace{}
	c.take(first)
	c.putBack(first)
	if !p.hasIdle("a") {
		t.Fatal("the connection doesn't count as unused")
	}
	c.closeUnused()
	c.take(second)
	if _, err := c.Write([]byte("x")); !errors.Is(err, errClosedUnused) || c.written.Load() != 0 {
		t.Errorf("%v after %d bytes, want errClosedUnused after none", err, c.written.Load())
	}
	if p.hasIdle("a") {
		t.Error("the closed connection counts as unused")
	}
}

// Guards against a connection that is closed under a request, because the report that the
// former request has left it comes late.
func TestLateReportDoesNotCloseUsedConnection(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	p := &connections{idle: make(map[string]int)}
	c := &countedConn{Conn: httpstrict.NewConn(near), pool: p, address: "a", keepFor: time.Hour}
	first, second := &sentTrace{}, &sentTrace{}
	c.take(first)
	c.take(second)
	c.putBack(first)
	c.closeUnused()
	if c.hasExpired() || p.hasIdle("a") {
		t.Error("a connection that a request uses was closed as unused")
	}
}

func TestStatedKeepTime(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"": 0, "max=5": 0, "timeout=x": 0, "timeout=-1": 0,
		"timeout=5": 4500 * time.Millisecond, "max=100, Timeout=10": 9500 * time.Millisecond, "timeout=1": 500 * time.Millisecond,
		"timeout=0": time.Millisecond, "timeout=99999999": 24*time.Hour - keepMargin,
	} {
		if got := statedKeepTime(http.Header{"Keep-Alive": {value}}); got != want {
			t.Errorf("%q: %v, want %v", value, got, want)
		}
	}
}
