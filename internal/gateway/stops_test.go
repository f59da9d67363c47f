package gateway

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// resumptions returns a handler that counts the requests that continue a stream, and ends it.
func resumptions(n *atomic.Int32) func(*port.Exchange) (*port.Answer, error) {
	return func(x *port.Exchange) (*port.Answer, error) {
		n.Add(1)
		return wholeStream(event(2))(x)
	}
}

// Guards against a run that goes on elsewhere although its runner answers health checks and has confirmed no stop.
func TestRunAtReachableRunnerIsNotResumed(t *testing.T) {
	var resumed atomic.Int32
	ready := make(chan struct{})
	s := serveMovedStreamCopied(t, true, func(int, func()) (port.Copy, error) {
		<-ready
		return port.Copy{}, port.ErrNotSent
	}, resumptions(&resumed))
	s.b.backends.mu.Lock()
	s.b.backends.noReports = true
	s.b.backends.mu.Unlock()
	close(ready)
	s.end(t)
	if n := resumed.Load(); n > 0 {
		t.Errorf("resumed %d times after %d calls to stop it", n, s.stopCalls())
	}
}

// Guards against a run that goes on elsewhere, because a health check of its runner got an answer that proves nothing or a single connect failed, and the calls to stop it were not sent.
func TestRunnerIsOutOfReachOnlyOnEvidence(t *testing.T) {
	for _, c := range []struct {
		checks  []port.Presence
		resumed int32
	}{
		{[]port.Presence{port.PresenceUnknown, port.PresenceUnknown, port.PresenceUnknown, port.PresenceUnknown}, 0},
		{[]port.Presence{port.PresenceServing, port.PresenceUnreached, port.PresenceServing, port.PresenceUnreached}, 0},
		{[]port.Presence{port.PresenceServing, port.PresenceUnreached, port.PresenceUnreached}, 1},
	} {
		var resumed atomic.Int32
		ready := make(chan struct{})
		s := serveMovedStreamCopied(t, true, func(int, func()) (port.Copy, error) {
			<-ready
			return port.Copy{}, port.ErrNotSent
		}, resumptions(&resumed))
		n := 0
		s.b.backends.mu.Lock()
		s.b.backends.presence = map[string]port.Presence{}
		s.b.backends.onCheck = func(e port.Endpoint) {
			s.b.backends.mu.Lock()
			defer s.b.backends.mu.Unlock()
			s.b.backends.presence[e.ID] = c.checks[min(n, len(c.checks)-1)]
			n++
		}
		s.b.backends.mu.Unlock()
		close(ready)
		s.end(t)
		if resumed.Load() != c.resumed {
			t.Errorf("checks %v: resumed %d times, want %d", c.checks, resumed.Load(), c.resumed)
		}
	}
}

// Guards against a run that goes on elsewhere because connections to its runner are refused, while its stream still brings events.
func TestRunWithOpenStreamIsNotResumed(t *testing.T) {
	const events = 20
	var resumed atomic.Int32
	ready := make(chan struct{})
	s := serveMovedStreamCopied(t, false, func(int, func()) (port.Copy, error) {
		<-ready
		return port.Copy{}, port.ErrNotSent
	}, resumptions(&resumed))
	s.b.backends.mu.Lock()
	s.b.backends.presence = map[string]port.Presence{s.b.backends.sent[0].Endpoint.ID: port.PresenceGone}
	s.b.backends.mu.Unlock()
	close(ready)
	go func() {
		for n := 2; n < events; n++ {
			time.Sleep(sourceGrace / 4)
			if _, err := s.pipe.Write([]byte(event(n))); err != nil {
				return
			}
		}
		_ = s.pipe.Close()
	}()
	s.end(t)
	if n := resumed.Load(); n > 0 {
		t.Errorf("resumed %d times", n)
	}
}

// Guards against a stream that ends because its runner was still copying the run when it was to be stopped.
func TestStopWaitsForCopyInProgress(t *testing.T) {
	const copying = 500 * time.Millisecond
	var resumed atomic.Int32
	var first atomic.Pointer[time.Time]
	s := serveMovedStreamCopied(t, true, func(int, func()) (port.Copy, error) {
		now := time.Now()
		first.CompareAndSwap(nil, &now)
		if now.Sub(*first.Load()) < copying {
			return port.Copy{}, port.ErrCopyInProgress
		}
		return port.Copy{Handle: "h"}, nil
	}, resumptions(&resumed))
	s.end(t)
	if resumed.Load() == 0 {
		t.Errorf("not resumed after %d calls to stop it", s.stopCalls())
	}
}
