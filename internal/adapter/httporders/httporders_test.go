package httporders

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

func runner(t *testing.T, h http.HandlerFunc) port.Endpoint {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return port.Endpoint{ID: "e1", Address: s.Listener.Addr().String()}
}

// The status of a runner's answer determines whether it may have accepted the
// order.
func TestOrderErrors(t *testing.T) {
	cases := []struct {
		name   string
		status int
		want   error
	}{
		{"accepted", 200, nil},
		{"a stale fencing token", 409, port.ErrStaleFence},
		{"refused", 400, port.ErrRefused},
		{"an internal error proves nothing", 500, port.ErrEndpointLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := runner(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(c.status) })
			if err := New().Order(context.Background(), e, port.Order{ID: "1"}); !errors.Is(err, c.want) {
				t.Fatalf("got %v", err)
			}
		})
	}
}

// Guards against an order that is executed twice: the runner accepts the order
// and its connection closes before the answer. The transport must not send the
// order again; the client returns ErrEndpointLost.
func TestLostOrderIsNotRetried(t *testing.T) {
	var received atomic.Int32
	e := runner(t, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			t.Error(err)
		}
		if received.Add(1) == 1 {
			return // keeps the connection alive for the next order
		}
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	})
	c := New()
	if err := c.Order(context.Background(), e, port.Order{ID: "1"}); err != nil {
		t.Fatal(err)
	}
	if err := c.Order(context.Background(), e, port.Order{ID: "2"}); !errors.Is(err, port.ErrEndpointLost) {
		t.Fatalf("got %v", err)
	}
	if n := received.Load(); n != 2 {
		t.Fatalf("the runner received %d orders, want 2", n)
	}
}

func TestOrderToUnreachableRunnerIsNotSent(t *testing.T) {
	e := port.Endpoint{Address: "127.0.0.1:1"}
	if err := New().Order(context.Background(), e, port.Order{}); !errors.Is(err, port.ErrNotSent) {
		t.Fatalf("got %v", err)
	}
}

func TestState(t *testing.T) {
	e := runner(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"endpoint":"e1","incarnation":3,"models":[{"model":"m","version":"2"}],"last_fence":7}`)
	})
	s, err := New().State(context.Background(), e)
	if err != nil || s.Incarnation != 3 || s.LastFence != 7 || len(s.Models) != 1 {
		t.Fatalf("got %+v %v", s, err)
	}
	broken := runner(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{`) })
	if _, err := New().State(context.Background(), broken); !errors.Is(err, port.ErrEndpointLost) {
		t.Fatalf("got %v", err)
	}
}
