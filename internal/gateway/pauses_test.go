package gateway

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

const testPause = 3 * time.Second

// replyPause returns a handler that refuses requests and asks for a pause.
func (b *harness) replyPause() func(*port.Exchange) (*port.Answer, error) {
	return func(x *port.Exchange) (*port.Answer, error) {
		b.pause(x.Endpoint, testPause)
		return nil, port.ErrRefused
	}
}

func (b *harness) pause(e port.Endpoint, duration time.Duration) {
	b.ObserveNotice(e, port.EndpointNotice{PauseFor: duration, Call: port.CallRequest, Status: 503})
}

// pauseAll pauses the given endpoints.
func (b *harness) pauseAll(ids ...string) {
	for _, id := range ids {
		h, _ := b.endpointTable.get(id)
		b.pause(h.Endpoint, testPause)
	}
}

// useFakeClock replaces the gateway's clock and returns a function that advances
// it.
func (b *harness) useFakeClock() (advance func(time.Duration)) {
	var mu sync.Mutex
	now := time.Now()
	b.Clock = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	return func(d time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		now = now.Add(d)
	}
}

// Guards against requests within the pause that an endpoint asked for, and against a longer pause.
func TestPausedEndpointGetsNothingUntilPauseEnds(t *testing.T) {
	for _, c := range []struct{ path, endpoint string }{{"/safe/x", "s1"}, {"/once/x", "s1"}, {"/stream/x", "e1"}} {
		t.Run(c.path, func(t *testing.T) {
			b := newHarness(t)
			advance := b.useFakeClock()
			countSends(b)
			b.backends.handlers[c.endpoint] = b.replyPause()
			for b.countArrivals(c.endpoint) == 0 {
				if refusal := b.send(t, c.path, &fakeCaller{}); refusal != nil {
					t.Fatal(refusal)
				}
			}
			for range 29 {
				advance(testPause / 30)
				if n := b.sendMany(t, 3, c.path, c.endpoint); n > 0 {
					t.Fatalf("%d requests during the pause", n)
				}
			}
			advance(testPause / 30)
			b.recordEndedPauses()
			b.pauseAll(c.endpoint[:1]+"0", c.endpoint[:1]+"2")
			if n := b.sendMany(t, 1, c.path, c.endpoint); n != 1 {
				t.Fatal("no requests after the pause, while the other endpoints are paused")
			}
		})
	}
}

// Guards against callers that wait, or get no time to return, when all endpoints are paused.
func TestRequestsAreRefusedAtOnceWhenAllEndpointsArePaused(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		b := newHarness(t)
		advance := b.useFakeClock()
		countSends(b)
		b.pauseAll("s0", "s1", "s2", "e0", "e1", "e2")
		advance(testPause / 3)
		began := time.Now()
		refusal := b.send(t, path, &fakeCaller{})
		if refusal == nil || refusal.Cause != CausePaused || refusal.Outcome != "not_run" {
			t.Fatalf("%s: %+v", path, refusal)
		}
		remaining := testPause * 2 / 3
		if refusal.RetryAfter < remaining || refusal.RetryAfter > remaining+pauseReturnSpread {
			t.Errorf("%s: Retry-After %v, the pause ends in %v", path, refusal.RetryAfter, remaining)
		}
		if took := time.Since(began); took > time.Second || len(b.backends.arrivals()) > 0 {
			t.Errorf("%s: refused after %v and sent to %v", path, took, b.backends.arrivals())
		}
	}
}

// Guards against pausing an endpoint that has restarted under its id.
func TestRestartedEndpointIsNotPaused(t *testing.T) {
	b := newHarness(t)
	countSends(b)
	b.pauseAll("s0", "s1", "s2")
	b.relist("s1", 2)
	eventually.True(t, "the check of the restarted endpoint has ended", func() bool { return b.checksEnded() == 1 })
	if n := b.sendMany(t, 10, "/safe/x", "s1"); n != 10 {
		t.Errorf("%d of 10 requests reached the restarted endpoint", n)
	}
}

// pausingPlacer is a coordinator whose chosen runner asks this host for a pause
// while the first request is held.
type pausingPlacer struct {
	staleCoordinator
	pause func(port.Endpoint)
	once  sync.Once
}

func (p *pausingPlacer) Place(ctx context.Context, r *port.GenerationRequest, held func(*port.Decision)) port.Decision {
	d := p.staleCoordinator.Place(ctx, r, held)
	p.once.Do(func() { p.pause(d.Endpoint) })
	return d
}

// Guards against a held request that is released to a runner which is paused by now.
func TestHeldRequestIsNotSentToPausedEndpoint(t *testing.T) {
	b := newHarness(t)
	got := countSends(b)
	b.useStaleCoordinator("e0", "e1", "e2")
	b.Placer = &pausingPlacer{
		staleCoordinator: *b.Placer.(*staleCoordinator),
		pause:            func(e port.Endpoint) { b.pause(e, testPause) },
	}
	if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if sent := got(); sent["e1"] != 1 || len(sent) != 1 {
		t.Errorf("requests sent: %v", sent)
	}
}

// Guards against refusing requests after several placements at paused endpoints while one accepts them.
func TestPausedEndpointsAreNoCandidates(t *testing.T) {
	b := newHarness(t)
	for i := 3; i < 9; i++ {
		b.view.endpoints = append(b.view.endpoints,
			testEndpoint(fmt.Sprint("s", i), "plain", port.KindService), testEndpoint(fmt.Sprint("e", i), "engines", port.KindRunner))
	}
	b.apply()
	countSends(b)
	b.pauseAll("s0", "s1", "e0", "e1")
	for i := 3; i < 9; i++ {
		b.pauseAll(fmt.Sprint("s", i), fmt.Sprint("e", i))
	}
	for range 10 {
		for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
			if refusal := b.send(t, path, &fakeCaller{}); refusal != nil {
				t.Fatalf("%s: %v", path, refusal)
			}
		}
	}
	for _, d := range b.sink.All() {
		if d.Verdict == verdictWithdraw {
			t.Fatalf("placed at %s and withdrawn", d.Endpoint)
		}
	}
}

// runWithCopy starts a generation at the runner e0, announces its leaving, and
// waits until a copy at e1 exists. It returns the streams of the requests in the
// order in which they arrive.
func (b *harness) runWithCopy(t *testing.T, beforeLeaving func()) (first *io.PipeWriter, pipes chan *io.PipeWriter, got *fakeCaller, done chan *Refusal) {
	t.Helper()
	b.useStaleCoordinator("e0", "e1")
	pipes = make(chan *io.PipeWriter, 3)
	b.setHandlers("e", func(*port.Exchange) (*port.Answer, error) {
		reader, writer := io.Pipe()
		pipes <- writer
		return streamed(reader)
	})
	got, done = &fakeCaller{}, make(chan *Refusal, 1)
	go func() { done <- b.send(t, "/stream/", got) }()
	first = <-pipes
	_, _ = io.WriteString(first, event(1))
	eventually.True(t, "the event is relayed", func() bool { return strings.Contains(got.text(), event(1)) })
	beforeLeaving()
	h, _ := b.endpointTable.get("e0")
	b.ObserveNotice(h.Endpoint, port.EndpointNotice{Leaving: true, Call: port.CallRequest, Status: 200})
	return first, pipes, got, done
}

// Guards against copies within the pause of their source, and a run that is not moved after it.
func TestMoveWaitsForThePauseOfItsSource(t *testing.T) {
	const sourcePause = 300 * time.Millisecond
	b := newHarness(t)
	var mu sync.Mutex
	var copiedAt time.Time
	b.backends.copyHandler = func(_, _ port.Endpoint, _ bool) (port.Copy, error) {
		mu.Lock()
		defer mu.Unlock()
		if copiedAt.IsZero() {
			copiedAt = time.Now()
		}
		return port.Copy{Handle: "h"}, nil
	}
	var pausedAt time.Time
	first, pipes, got, done := b.runWithCopy(t, func() {
		h, _ := b.endpointTable.get("e0")
		pausedAt = time.Now()
		b.pause(h.Endpoint, sourcePause)
	})
	next := <-pipes
	_, _ = io.WriteString(next, event(2))
	next.Close()
	first.CloseWithError(errReset)
	if refusal := <-done; refusal != nil || got.text() != events(1, 2) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	mu.Lock()
	defer mu.Unlock()
	if after := copiedAt.Sub(pausedAt); after < sourcePause {
		t.Errorf("copied %v after the request for a pause of %v", after, sourcePause)
	}
}

// Guards against resuming a run at a paused runner, and against losing it when both are paused.
func TestResumeAvoidsPausedRunners(t *testing.T) {
	const short, long = 200 * time.Millisecond, 30 * time.Second
	for _, c := range []struct {
		name, want string
		// destination and source are the pauses of the runners, wait is the time
		// for which the run must wait.
		destination, source, wait time.Duration
	}{
		{"destination", "e0", long, 0, 0},
		{"both", "e1", short, short, short},
		{"destination for longer", "e0", long, short, short},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(t)
			stopped := make(chan struct{})
			b.backends.copyHandler = func(_, _ port.Endpoint, stop bool) (port.Copy, error) {
				if stop {
					destination, _ := b.endpointTable.get("e1")
					b.pause(destination.Endpoint, c.destination)
					source, _ := b.endpointTable.get("e0")
					b.pause(source.Endpoint, c.source)
					close(stopped)
				}
				return port.Copy{Handle: "h"}, nil
			}
			first, pipes, got, done := b.runWithCopy(t, func() {})
			<-stopped
			began := time.Now()
			first.CloseWithError(errReset)
			next := <-pipes
			_, _ = io.WriteString(next, event(2))
			next.Close()
			if refusal := <-done; refusal != nil || got.text() != events(1, 2) {
				t.Fatalf("%v after %q", refusal, got.text())
			}
			if sent := b.backends.arrivals(); !slices.Equal(sent, []string{"e0", c.want}) {
				t.Errorf("sent to %v", sent)
			}
			if waited := time.Since(began); waited < c.wait/2 || waited > long/2 {
				t.Errorf("resumed after %v, want %v", waited, c.wait)
			}
		})
	}
}

// Guards against a stream that stays open until its deadline because all runners that could resume it are paused for longer.
func TestStreamEndsAtOnceIfPausesOutlastItsDeadline(t *testing.T) {
	b := newHarness(t)
	stopped := make(chan struct{})
	b.backends.copyHandler = func(_, _ port.Endpoint, stop bool) (port.Copy, error) {
		if stop {
			for _, id := range []string{"e0", "e1"} {
				h, _ := b.endpointTable.get(id)
				b.pause(h.Endpoint, time.Hour)
			}
			close(stopped)
		}
		return port.Copy{Handle: "h"}, nil
	}
	first, _, got, done := b.runWithCopy(t, func() {})
	<-stopped
	first.CloseWithError(errReset)
	select {
	case refusal := <-done:
		if refusal == nil || !refusal.ResponseStarted || got.text() != event(1) {
			t.Fatalf("%+v after %q", refusal, got.text())
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the stream is still open")
	}
}

// Guards against a call that releases a copy at a runner within its pause.
func TestCopyIsNotReleasedAtPausedRunner(t *testing.T) {
	b := newHarness(t)
	b.pauseAll("e1")
	x := &exchange{g: b.Gateway, req: &Request{ID: "r"}}
	for _, id := range []string{"e1", "e2"} {
		h, _ := b.endpointTable.get(id)
		x.release(&runCopy{to: h.Endpoint, handle: "h"})
	}
	eventually.True(t, "the copy of the other runner is released", func() bool { return len(b.backends.releasedCopies()) > 0 })
	eventually.True(t, "both decisions are recorded", func() bool {
		n := 0
		for _, d := range b.sink.All() {
			if d.Verdict == verdictRelease {
				n++
			}
		}
		return n == 2
	})
	if got := b.backends.releasedCopies(); !slices.Equal(got, []string{"e2/h"}) {
		t.Errorf("released %v", got)
	}
}

// Guards against a Retry-After within the pause that all endpoints asked for with their refusals.
func TestRetryTimeCoversPausesThatBeganWithTheRequest(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		b := newHarness(t)
		b.useFakeClock()
		b.setHandlers("s", b.replyPause())
		b.setHandlers("e", b.replyPause())
		refusal := b.send(t, path, &fakeCaller{})
		if refusal == nil || refusal.Outcome != "not_run" {
			t.Fatalf("%s: %+v", path, refusal)
		}
		if refusal.RetryAfter < testPause {
			t.Errorf("%s: Retry-After %v within a pause of %v", path, refusal.RetryAfter, testPause)
		}
	}
}

// Guards against a check for another daemon that reaches an endpoint during its pause.
func TestPausedEndpointIsNotCheckedForPeers(t *testing.T) {
	b := newHarness(t)
	e, _ := b.endpointTable.get("s0")
	b.ObserveNotice(e.Endpoint, port.EndpointNotice{PauseFor: time.Minute, Call: port.CallRequest, Status: 503})
	if _, known := b.CheckEndpoint("s0", e.Incarnation); known || b.backends.probes > 0 {
		t.Fatalf("known %v after %d checks", known, b.backends.probes)
	}
	if reached, known := b.CheckEndpoint("s1", e.Incarnation); !reached || !known {
		t.Fatal("another endpoint is not checked")
	}
}
