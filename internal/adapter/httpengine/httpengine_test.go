package httpengine

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

const testTimeout = 20 * time.Second

func serve(t *testing.T, h http.HandlerFunc) (*Engine, port.Endpoint) {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	e := New(Options{DialTimeout: testTimeout, CallTimeout: testTimeout, OpenTimeout: testTimeout, IdleConnections: 2})
	return e, port.Endpoint{ID: "e1", Address: strings.TrimPrefix(server.URL, "http://")}
}

func start(t *testing.T, e *Engine, ep port.Endpoint) (port.FrameStream, error) {
	t.Helper()
	return e.Start(t.Context(), &port.GenerationStart{Endpoint: ep, Generation: "r1.x.1", Model: "m", Prompt: "p"})
}

// readAll reads a stream until its end or the first error.
func readAll(ctx context.Context, s port.FrameStream) (frames []port.Frame, err error) {
	for f, err := range s.Frames(ctx) {
		if err != nil {
			return frames, err
		}
		frames = append(frames, f)
	}
	return frames, nil
}

// Only 409, 503 and a rejection prove that the engine did not start the
// generation. If a 500 were treated in the same way, the caller would retry and
// two generations would run.
func TestStartErrorsByStatus(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusConflict:            port.ErrRefused,
		http.StatusServiceUnavailable:  port.ErrRefused,
		http.StatusBadRequest:          port.ErrRejected,
		http.StatusInternalServerError: port.ErrEndpointLost,
		http.StatusBadGateway:          port.ErrEndpointLost,
		http.StatusTemporaryRedirect:   port.ErrEndpointLost,
	} {
		e, ep := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
		if _, err := start(t, e, ep); !errors.Is(err, want) {
			t.Errorf("%d: got %v, want %v", status, err, want)
		}
	}
}

// A missing or unknown status proves nothing about the generation.
func TestCancelRejectsUnknownStatus(t *testing.T) {
	for _, body := range []string{``, `{}`, `{"status":"barred"}`, `[]`, `{"status":"unkn`} {
		e, ep := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
		if status, err := e.Cancel(t.Context(), ep, "g"); !errors.Is(err, port.ErrEndpointLost) {
			t.Errorf("%q: got %q, %v", body, status, err)
		}
	}
}

// A connection that closes in the middle of an event yields the complete events
// and then ends; the incomplete event is not a frame.
func TestIncompleteEventIsNotAFrame(t *testing.T) {
	e, ep := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: g:0\ndata: {\"generation\":\"g\",\"index\":0}\n\nid: g:1\ndata: {\"generation\":\"g\",\"ind")
	})
	s, err := e.Resume(t.Context(), ep, "g", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	frames, _ := readAll(t.Context(), s)
	if len(frames) == 0 || frames[0].Generation != "g" {
		t.Fatalf("got %+v", frames)
	}
	if len(frames) > 1 {
		t.Fatalf("an incomplete event became the frame %+v", frames[1])
	}
}

// Guards against an event that never ends and exhausts the router's memory.
func TestEventSizeIsLimited(t *testing.T) {
	e, ep := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		line := strings.Repeat("x", 1<<10)
		_, _ = io.WriteString(w, "data: ")
		for range 4 * MaxFrameBytes >> 10 {
			if _, err := io.WriteString(w, line); err != nil {
				return
			}
		}
	})
	s, err := e.Resume(t.Context(), ep, "g", 0)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if frames, err := readAll(t.Context(), s); err == nil || len(frames) > 0 {
		t.Fatalf("got %+v, %v", frames, err)
	}
}

// Guards against blocking on an unresponsive engine: a stream without events
// ends when its reader cancels, and an engine that doesn't answer at all counts
// as lost after the open timeout, even if the caller's context has no deadline.
func TestUnresponsiveEngineDoesNotBlock(t *testing.T) {
	release := make(chan struct{})
	var timedOut atomic.Bool
	e, ep := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.(http.Flusher).Flush()
		}
		select {
		case <-release:
		case <-time.After(testTimeout):
			timedOut.Store(true)
		}
	})
	t.Cleanup(func() { close(release) })
	s, err := e.Resume(t.Context(), ep, "g", 0)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if frames, err := readAll(ctx, s); err == nil || len(frames) > 0 {
		t.Fatalf("%d frames from an unresponsive engine, error %v", len(frames), err)
	}
	s.Close()
	e.o.OpenTimeout = time.Millisecond
	if _, err := start(t, e, ep); err == nil {
		t.Fatal("an unresponsive engine opened a stream")
	}
	if timedOut.Load() {
		t.Fatal("the client waited until the engine answered")
	}
}
