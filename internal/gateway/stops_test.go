package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
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
		{[]port.Presence{port.PresenceUnknown}, 0},
		{[]port.Presence{port.PresenceUnreached, port.PresenceServing}, 0},
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
			s.b.backends.presence[e.ID] = c.checks[n%len(c.checks)]
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

// Guards against a second run of a resumable stream beside the first: the connection breaks, and its endpoint may work on.
func TestResumableStreamIsContinuedAfterStop(t *testing.T) {
	for name, c := range map[string]struct {
		stopped  port.Copy
		err      error
		presence port.Presence
		// continues is how the second request continues the stream, empty for none. released:
		// the copy that the source keeps is released.
		continues string
		released  bool
	}{
		"stopped and copied":           {stopped: port.Copy{Handle: "h"}, continues: "copy h"},
		"stopped, no room for a copy":  {stopped: port.Copy{Handle: "h"}, err: port.ErrNoRoom, continues: "event 3", released: true},
		"no such run":                  {err: port.ErrNoGeneration, continues: "event 3"},
		"its endpoint has ended":       {err: port.ErrNotSent, presence: port.PresenceGone, continues: "event 3"},
		"its endpoint has restarted":   {err: port.ErrNotSent, presence: port.PresenceReplaced, continues: "event 3"},
		"its endpoint isn't reached":   {err: port.ErrNotSent, presence: port.PresenceUnreached, continues: "event 3"},
		"connections to it break":      {err: port.ErrEndpointLost, presence: port.PresenceSilent, continues: "event 3"},
		"the stop is lost":             {err: port.ErrEndpointLost},
		"the stop is answered foreign": {err: port.ErrForeignAnswer},
		"the stop isn't sent":          {err: port.ErrNotSent, presence: port.PresenceServing},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.setHandlers("e", sequence(cutStream(events(1, 3)), wholeStream(events(4, 6))))
			stops := 0
			b.backends.copyHandler = func(from, to port.Endpoint, stop bool) (port.Copy, error) {
				b.backends.mu.Lock()
				defer b.backends.mu.Unlock()
				if stops++; !stop || len(b.backends.sent) != 1 || from.ID != b.backends.sent[0].Endpoint.ID || to.ID == from.ID {
					t.Errorf("copied from %s to %s, stopped: %v, after %d requests", from.ID, to.ID, stop, len(b.backends.sent))
				}
				b.backends.presence = map[string]port.Presence{from.ID: c.presence}
				return c.stopped, c.err
			}
			got := &fakeCaller{}
			refusal := b.send(t, "/resume/", got)
			if stops == 0 {
				t.Error("the run was not stopped")
			}
			if c.continues == "" {
				checkIncomplete(t, refusal, got, events(1, 3))
				checkSent(t, b)
				return
			}
			if refusal != nil || got.text() != events(1, 6) || len(b.backends.sent) != 2 {
				t.Fatalf("%+v after %q and %d requests", refusal, got.text(), len(b.backends.sent))
			}
			second, how := b.backends.sent[1], "event "+b.backends.sent[1].LastEventID
			if second.Generation.Continue != nil {
				how = "copy " + second.Generation.Continue.Handle
			}
			if how != c.continues {
				t.Errorf("continued from %s, want %s", how, c.continues)
			}
			if c.released {
				eventually.True(t, "the copy is released", func() bool {
					return slices.Equal(b.backends.releasedCopies(), []string{b.backends.sent[0].Endpoint.ID + "/h"})
				})
			}
		})
	}
}

// Guards against a third run of a resumable stream beside the second, whose outcome is unknown.
func TestContinuationWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	for _, lost := range []error{port.ErrEndpointLost, port.ErrForeignAnswer} {
		b := newHarness(t)
		b.setMaxAttempts(3)
		b.setHandlers("e", sequence(cutStream(events(1, 3)), failure(lost), wholeStream(events(4, 6))))
		got := &fakeCaller{}
		checkIncomplete(t, b.send(t, "/resume/", got), got, events(1, 3))
		checkSent(t, b, "3")
	}
}

// cutEndpoints are endpoints to which connects fail after half a second, the default limit.
type cutEndpoints struct{ *fakeEndpoints }

const connectLimit = 500 * time.Millisecond

func (e cutEndpoints) Copy(ctx context.Context, _ port.Endpoint, _ string, _ port.Endpoint, _ bool) (port.Copy, error) {
	sleepUnlessDone(ctx, connectLimit)
	return port.Copy{}, port.ErrNotSent
}

func (e cutEndpoints) CheckPresence(ctx context.Context, _ port.Endpoint, _ string) port.Presence {
	if !sleepUnlessDone(ctx, connectLimit) {
		// A check that ends before the connect has failed shows nothing.
		return port.PresenceUnknown
	}
	return port.PresenceUnreached
}

// slowCopyEndpoints stop a run at once and copy it for a while.
type slowCopyEndpoints struct {
	*fakeEndpoints
	took  time.Duration
	began time.Time
}

func (e *slowCopyEndpoints) Copy(ctx context.Context, _ port.Endpoint, _ string, _ port.Endpoint, _ bool) (port.Copy, error) {
	switch {
	case e.began.IsZero():
		e.began = time.Now()
		if !sleepUnlessDone(ctx, e.took) {
			return port.Copy{}, port.ErrEndpointLost
		}
		return port.Copy{Handle: "h", Stopped: true}, nil
	case time.Since(e.began) < e.took:
		return port.Copy{}, port.ErrCopyInProgress
	}
	return port.Copy{}, port.ErrNoGeneration
}

// Guards against a resumable stream that ends because copying its stopped run takes over a second.
func TestStreamIsContinuedAfterSlowCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.Endpoints = &slowCopyEndpoints{fakeEndpoints: b.backends, took: 1500 * time.Millisecond}
		b.setHandlers("e", sequence(cutStream(events(1, 3)), wholeStream(events(4, 6))))
		got := &fakeCaller{}
		if refusal := b.send(t, "/resume/", got); refusal != nil || got.text() != events(1, 6) {
			t.Errorf("%+v after %q", refusal, got.text())
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a resumable stream that ends with the path to its endpoint: that no connection can be established is found out too late.
func TestLostPathIsFoundInTimeToContinue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newHarness(t)
		b.Endpoints = cutEndpoints{b.backends}
		b.setHandlers("e", sequence(cutStream(events(1, 3)), wholeStream(events(4, 6))))
		got, began := &fakeCaller{}, time.Now()
		if refusal := b.send(t, "/resume/", got); refusal != nil || got.text() != events(1, 6) {
			t.Errorf("%+v after %q", refusal, got.text())
		}
		if took := time.Since(began); took > confirmTimeout {
			t.Errorf("continued after %v", took)
		}
		// The check of the endpoint ends.
		time.Sleep(time.Minute)
	})
}
