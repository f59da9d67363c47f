package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

func event(n int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", n, n) }

func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		b.WriteString(event(n))
	}
	return b.String()
}

// streamed returns an answer whose events the test writes to body.
func streamed(body io.ReadCloser) (*port.Answer, error) {
	return &port.Answer{
		Status: 200, Header: http.Header{"Content-Type": {"text/event-stream"}}, Length: -1, Delimited: true, Body: body,
	}, nil
}

// fakeEngine simulates one run across all runners: it sends events one by one,
// and the run can be copied, stopped, and resumed after its last event.
type fakeEngine struct {
	mu sync.Mutex
	// next is the number of the next event, total that of the last one.
	next, total int
	// runner is the runner that has the run, and pipe its answer's body.
	runner  string
	pipe    *io.PipeWriter
	stopped bool
	copies  int
	// resumedAt lists the runners at which the run was resumed.
	resumedAt []string
	// loads are the loads that the answers state, one after the other; none beyond.
	loads []*port.LoadHint
}

func (e *fakeEngine) send(x *port.Exchange) (*port.Answer, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x.Generation.Continue != nil {
		var after int
		if _, err := fmt.Sscan(x.Generation.Continue.LastEventID, &after); err != nil || !e.stopped {
			return nil, port.ErrRefused
		}
		e.next, e.stopped = after+1, false
		e.resumedAt = append(e.resumedAt, x.Endpoint.ID)
	}
	reader, writer := io.Pipe()
	e.runner, e.pipe = x.Endpoint.ID, writer
	a, err := streamed(reader)
	if len(e.loads) > 0 {
		a.Load, e.loads = e.loads[0], e.loads[1:]
	}
	return a, err
}

// make writes one event, and closes the stream after the last one.
func (e *fakeEngine) make() {
	e.mu.Lock()
	pipe, n, stopped := e.pipe, e.next, e.stopped
	if !stopped {
		e.next++
	}
	last := e.next > e.total
	e.mu.Unlock()
	if stopped || pipe == nil {
		return
	}
	// The write fails if the relay has ended.
	_, _ = io.WriteString(pipe, event(n))
	if last {
		pipe.Close()
	}
}

func (e *fakeEngine) copy(_, _ port.Endpoint, stop bool) (port.Copy, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.next > e.total {
		return port.Copy{}, port.ErrNoGeneration
	}
	e.copies++
	if stop {
		e.stopped = true
		e.pipe.CloseWithError(errReset)
	}
	return port.Copy{Handle: "h", Events: e.next - 1}, nil
}

func (e *fakeEngine) currentRunner() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runner
}

// serveStream serves one stream from the engine until it ends; it calls hook
// before each event.
func serveStream(t *testing.T, b *harness, e *fakeEngine, hook func(n int)) (*fakeCaller, *Refusal) {
	t.Helper()
	return serveStreamAt(t, b, "/stream/", e, hook)
}

func serveStreamAt(t *testing.T, b *harness, path string, e *fakeEngine, hook func(n int)) (*fakeCaller, *Refusal) {
	t.Helper()
	b.setHandlers("e", e.send)
	b.backends.copyHandler = e.copy
	got := &fakeCaller{}
	done := make(chan *Refusal, 1)
	go func() { done <- b.send(t, path, got) }()
	eventually.True(t, "the run begins", func() bool { return e.currentRunner() != "" })
	for n := 1; n <= e.total; n++ {
		hook(n)
		e.make()
		if n < e.total {
			eventually.True(t, "the event is relayed", func() bool { return strings.Contains(got.text(), event(n)) })
		}
	}
	select {
	case refusal := <-done:
		return got, refusal
	case <-time.After(20 * time.Second):
		t.Fatal("the stream did not end in time")
		return nil, nil
	}
}

func TestStreamIsRelayedWhole(t *testing.T) {
	b := newHarness(t)
	got, refusal := serveStream(t, b, &fakeEngine{next: 1, total: 5}, func(int) {})
	if refusal != nil || got.text() != events(1, 5) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
}

// A runner is reclaimed while it streams. The caller gets every event of the
// run once and in order, and the move is not visible to it.
func TestRunMovesFromALeavingRunner(t *testing.T) {
	b := newHarness(t)
	e := &fakeEngine{next: 1, total: 20}
	moves := 0
	got, refusal := serveStream(t, b, e, func(n int) {
		if n != 5 && n != 12 {
			return
		}
		from := e.currentRunner()
		b.setLeaving(from)
		moves++
		eventually.True(t, "the run is resumed at another runner", func() bool { return e.currentRunner() != from })
	})
	if refusal != nil || got.text() != events(1, 20) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	if len(e.resumedAt) != moves {
		t.Fatalf("resumed at %v, want %d moves", e.resumedAt, moves)
	}
}

// A run whose runner leaves can't be copied anywhere and continues where it is.
// If it is cut off there, the caller's answer must be recognisable as
// incomplete.
func TestTruncatedStreamThatCannotMoveFails(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("e", func(*port.Exchange) (*port.Answer, error) {
		return streamed(cutBody{strings.NewReader(events(1, 3) + "id: 4\nda")})
	})
	b.backends.copyHandler = func(_, _ port.Endpoint, _ bool) (port.Copy, error) { return port.Copy{}, port.ErrNoRoom }
	got := &fakeCaller{}
	refusal := b.send(t, "/stream/", got)
	if refusal == nil || !refusal.ResponseStarted || refusal.Outcome != outcome.Failed || got.text() != events(1, 3) {
		t.Fatalf("%+v after %q", refusal, got.text())
	}
	if n := len(b.backends.arrivals()); n != 1 {
		t.Fatalf("%d requests sent: a stream that has begun was retried", n)
	}
}

// A runner fails before the first event of a stream. The request may have run,
// so it is not sent again; nothing has reached the caller, which gets a
// refusal.
func TestStreamLostBeforeItsFirstEventIsNotRetried(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("e", func(*port.Exchange) (*port.Answer, error) { return streamed(cutBody{strings.NewReader("")}) })
	refusal := b.send(t, "/stream/", &fakeCaller{})
	if refusal == nil || refusal.ResponseStarted || refusal.Outcome != outcome.Unknown || len(b.backends.arrivals()) != 1 {
		t.Fatalf("%+v after %d arrivals", refusal, len(b.backends.arrivals()))
	}
}

// A request refused by a full runner has not run and is sent to another one.
func TestRequestRefusedByAFullRunnerIsRetried(t *testing.T) {
	b := newHarness(t)
	whole := func(*port.Exchange) (*port.Answer, error) {
		return streamed(io.NopCloser(strings.NewReader(events(1, 3))))
	}
	b.setHandlers("e", sequence(failure(port.ErrRefused), whole))
	got := &fakeCaller{}
	if refusal := b.send(t, "/stream/", got); refusal != nil || got.text() != events(1, 3) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
}

// Runs move, can't be copied, are stopped and not resumed, or are cut off with
// and without a copy, in any order. The caller always has a prefix of the one
// run, with each event once and in order, and gets a complete answer only if
// the run completes.
func TestCallerSeesEachEventOnceInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newHarness(t)
		total := rapid.IntRange(1, 12).Draw(rt, "events")
		r := &unreliableEngine{
			total: total, cutAt: rapid.IntRange(0, 2*total).Draw(rt, "cut"), leave: b.setLeaving,
			// Drawn in advance, because a move may outlast its request.
			choices: rapid.SliceOfN(rapid.IntRange(0, 59), 40, 40).Draw(rt, "choices"),
		}
		b.setHandlers("e", r.send)
		b.backends.copyHandler = r.copy
		got := &fakeCaller{}
		refusal := b.send(t, "/stream/", got)
		text := got.text()
		if refusal == nil && text != events(1, total) {
			rt.Fatalf("ended as complete with %q", text)
		}
		if n := strings.Count(text, "\n\n"); text != events(1, n) {
			rt.Fatalf("the caller has %q", text)
		}
	})
}

// unreliableEngine answers with bodies that break off and copies that fail.
type unreliableEngine struct {
	total int
	cutAt int
	leave func(id string)

	mu      sync.Mutex
	choices []int
	runs    int
}

// choose returns the next drawn choice, in [0, n).
func (r *unreliableEngine) choose(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.choices) == 0 {
		return n - 1
	}
	f := r.choices[0] % n
	r.choices = r.choices[1:]
	return f
}

func (r *unreliableEngine) send(x *port.Exchange) (*port.Answer, error) {
	from := 1
	if c := x.Generation.Continue; c != nil {
		if r.choose(4) == 0 {
			return nil, port.ErrRefused
		}
		if _, err := fmt.Sscan(c.LastEventID, &from); err != nil {
			return nil, errors.New("no event id to resume from")
		}
		from++
	}
	r.mu.Lock()
	r.runs++
	first := r.runs == 1
	r.mu.Unlock()
	if first && r.choose(2) == 0 {
		go r.leave(x.Endpoint.ID)
	}
	to := r.total
	if first || r.choose(4) == 0 {
		to = min(r.total, max(from-1, r.cutAt))
	}
	text := events(from, to)
	if to == r.total {
		return streamed(io.NopCloser(strings.NewReader(text)))
	}
	return streamed(cutBody{strings.NewReader(text + "id: ")})
}

func (r *unreliableEngine) copy(_, _ port.Endpoint, _ bool) (port.Copy, error) {
	switch r.choose(5) {
	case 0:
		return port.Copy{}, port.ErrNoRoom
	case 1:
		return port.Copy{}, port.ErrNoGeneration
	case 2:
		return port.Copy{}, port.ErrEndpointLost
	}
	return port.Copy{Handle: "h"}, nil
}
