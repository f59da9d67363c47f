package gateway

import (
	"io"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// movedStream is one stream whose runner leaves after the first event.
type movedStream struct {
	b    *harness
	got  *fakeCaller
	done chan *Refusal

	mu sync.Mutex
	// pipe is the body of the first answer. copies counts the calls that copy the run while
	// it continues, stops those that are to stop it.
	pipe          *io.PipeWriter
	copies, stops int
}

// serveMovedStream begins a stream, has its runner leave, and returns once it does. stop
// answers the nth call to stop the run; closeSource ends the run's stream without its end.
// resume answers the requests that continue from a copy.
func serveMovedStream(t *testing.T, stop func(n int, closeSource func()) (port.Copy, error), resume handler) *movedStream {
	t.Helper()
	return serveMovedStreamCopied(t, false, stop, resume)
}

// serveMovedStreamCopied is serveMovedStream; if copiedOnce is set, the stream breaks off
// during the second copy.
func serveMovedStreamCopied(t *testing.T, copiedOnce bool, stop func(n int, closeSource func()) (port.Copy, error), resume handler) *movedStream {
	t.Helper()
	b := newHarness(t)
	s := &movedStream{b: b, got: &fakeCaller{}, done: make(chan *Refusal, 1)}
	reader, writer := io.Pipe()
	s.pipe = writer
	b.setHandlers("e", func(x *port.Exchange) (*port.Answer, error) {
		if x.Generation.Continue != nil {
			return resume(x)
		}
		return streamed(reader)
	})
	closeSource := func() { writer.CloseWithError(errReset) }
	b.backends.copyHandler = func(_, _ port.Endpoint, last bool) (port.Copy, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !last {
			s.copies++
			if s.copies > 1 && copiedOnce {
				closeSource()
				return port.Copy{}, port.ErrEndpointLost
			}
			return port.Copy{Handle: "h"}, nil
		}
		s.stops++
		return stop(s.stops, closeSource)
	}
	go func() { s.done <- b.send(t, "/stream/", s.got) }()
	_, _ = io.WriteString(writer, event(1))
	eventually.True(t, "the event is relayed", func() bool { return s.got.text() == event(1) })
	b.setLeaving(b.backends.arrivals()[0])
	return s
}

// end waits for the end of the request.
func (s *movedStream) end(t *testing.T) *Refusal {
	t.Helper()
	select {
	case refusal := <-s.done:
		return refusal
	case <-time.After(20 * time.Second):
		t.Fatal("the request did not end in time")
		return nil
	}
}

func (s *movedStream) stopCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stops
}

// Guards against a run in progress at two runners: the answer to its resumption is lost, and its source would resume it as well.
func TestResumptionWithUnknownOutcomeIsNotRepeated(t *testing.T) {
	for _, lost := range []error{port.ErrEndpointLost, port.ErrForeignAnswer} {
		stop := func(_ int, closeSource func()) (port.Copy, error) {
			closeSource()
			return port.Copy{Handle: "h"}, nil
		}
		s := serveMovedStream(t, stop, sequence(failure(lost), wholeStream(event(2))))
		checkIncomplete(t, s.end(t), s.got, event(1))
		if n := len(s.b.backends.arrivals()); n != 2 {
			t.Errorf("%v: %d requests sent, want the first one and one resumption", lost, n)
		}
	}
}

// Guards against a resumption that ends although the destination states that it did not run it.
func TestRefusedResumptionGoesToSource(t *testing.T) {
	for _, refused := range []error{port.ErrRefused, port.ErrNotSent} {
		stop := func(_ int, closeSource func()) (port.Copy, error) {
			closeSource()
			return port.Copy{Handle: "h"}, nil
		}
		s := serveMovedStream(t, stop, sequence(failure(refused), wholeStream(event(2))))
		if refusal := s.end(t); refusal != nil || s.got.text() != events(1, 2) {
			t.Errorf("%v: %+v after %q", refused, refusal, s.got.text())
		}
	}
}

// Guards against a run in progress at two runners: the calls to stop it are lost, and it would go on from an earlier copy.
func TestRunWithUnconfirmedStopStaysAtItsRunner(t *testing.T) {
	for _, lost := range []error{port.ErrEndpointLost, port.ErrForeignAnswer, port.ErrNotSent, port.ErrRefused, port.ErrNoRoom} {
		s := serveMovedStream(t, func(int, func()) (port.Copy, error) { return port.Copy{}, lost }, wholeStream(events(2, 3)))
		eventually.True(t, "all calls to stop the run are made", func() bool { return s.stopCalls() == maxStopCalls })
		time.Sleep(2 * sourceGrace)
		_, _ = io.WriteString(s.pipe, events(2, 3))
		s.pipe.Close()
		if refusal := s.end(t); refusal != nil || s.got.text() != events(1, 3) {
			t.Errorf("%v: %+v after %q", lost, refusal, s.got.text())
		}
		if n := len(s.b.backends.arrivals()); n != 1 {
			t.Errorf("%v: %d requests sent, want 1", lost, n)
		}
	}
}

// Guards against a run in progress at two runners: its stream breaks off, and its runner never answers whether it is stopped.
func TestBrokenRunWithUnconfirmedStopEnds(t *testing.T) {
	stop := func(_ int, closeSource func()) (port.Copy, error) {
		closeSource()
		return port.Copy{}, port.ErrEndpointLost
	}
	s := serveMovedStream(t, stop, wholeStream(event(2)))
	checkIncomplete(t, s.end(t), s.got, event(1))
	if n := len(s.b.backends.arrivals()); n != 1 {
		t.Errorf("%d requests sent, want 1", n)
	}
}

// Guards against a run that is lost with one answer although its runner confirms the stop to a second call.
func TestStopIsConfirmedBySecondCall(t *testing.T) {
	lost := func(port.Copy) (port.Copy, error) { return port.Copy{}, port.ErrEndpointLost }
	for name, stop := range map[string]func(n int, closeSource func()) (port.Copy, error){
		"the first call was not executed": func(n int, closeSource func()) (port.Copy, error) {
			if n == 1 {
				return lost(port.Copy{})
			}
			closeSource()
			return port.Copy{Handle: "h"}, nil
		},
		"the first call was executed": func(n int, closeSource func()) (port.Copy, error) {
			if n == 1 {
				closeSource()
				return lost(port.Copy{})
			}
			return port.Copy{}, port.ErrNoGeneration
		},
	} {
		s := serveMovedStream(t, stop, wholeStream(event(2)))
		if refusal := s.end(t); refusal != nil || s.got.text() != events(1, 2) {
			t.Errorf("%s: %+v after %q", name, refusal, s.got.text())
		}
		if n := len(s.b.backends.arrivals()); n != 2 {
			t.Errorf("%s: %d requests sent, want 2", name, n)
		}
	}
}

// Guards against a run in progress at two runners: its connection breaks before a stop, and its runner keeps working on it.
func TestBrokenRunIsStoppedBeforeItIsResumed(t *testing.T) {
	for name, c := range map[string]struct {
		stopped port.Copy
		err     error
		resumed bool
	}{
		"the stop is confirmed": {port.Copy{Handle: "h"}, nil, true},
		"the run has ended":     {port.Copy{}, port.ErrNoGeneration, true},
		"the stop is lost":      {port.Copy{}, port.ErrEndpointLost, false},
	} {
		stops := make(chan struct{}, maxStopCalls)
		s := serveMovedStreamCopied(t, true, func(int, func()) (port.Copy, error) {
			stops <- struct{}{}
			return c.stopped, c.err
		}, func(x *port.Exchange) (*port.Answer, error) {
			if len(stops) == 0 {
				t.Errorf("%s: the run is resumed before it is stopped", name)
			}
			return wholeStream(event(2))(x)
		})
		refusal := s.end(t)
		if !c.resumed {
			checkIncomplete(t, refusal, s.got, event(1))
		} else if refusal != nil || s.got.text() != events(1, 2) {
			t.Errorf("%s: %+v after %q", name, refusal, s.got.text())
		}
	}
}

// Guards against an answer that looks whole: a call to stop its run, counted as lost, ends the run after it was resumed at its source.
func TestLateStopOfResumedRunIsNoEnd(t *testing.T) {
	reader, writer := io.Pipe()
	unframed := func(x *port.Exchange) (*port.Answer, error) {
		a, err := unframedReply("text/event-stream", "")(x)
		a.Body = reader
		return a, err
	}
	s := serveMovedStream(t, func(n int, closeSource func()) (port.Copy, error) {
		switch n {
		case 1:
			return port.Copy{}, port.ErrEndpointLost
		case 2:
			closeSource()
			return port.Copy{Handle: "h"}, port.ErrNoRoom
		}
		return port.Copy{}, port.ErrNoGeneration
	}, sequence(failure(port.ErrRefused), unframed))
	_, _ = io.WriteString(writer, event(2))
	eventually.True(t, "the event is relayed", func() bool { return s.got.text() == events(1, 2) })
	writer.Close()
	checkIncomplete(t, s.end(t), s.got, events(1, 2))
}

// Guards against a stream that stands still for the whole time of a copy: its run was stopped, and only the answer to that call is missing.
func TestSilentStopIsAskedForAgainSoon(t *testing.T) {
	var stopped, resumed time.Time
	s := serveMovedStream(t, func(n int, closeSource func()) (port.Copy, error) {
		if n == 1 {
			stopped = time.Now()
			closeSource()
			return port.Copy{}, errSilent
		}
		return port.Copy{}, port.ErrNoGeneration
	}, func(x *port.Exchange) (*port.Answer, error) {
		resumed = time.Now()
		return wholeStream(event(2))(x)
	})
	if refusal := s.end(t); refusal != nil || s.got.text() != events(1, 2) {
		t.Fatalf("%+v after %q", refusal, s.got.text())
	}
	if after := resumed.Sub(stopped); after >= 2*stopCallTimeout {
		t.Errorf("resumed %v after the stop", after)
	}
}

// Guards against a run that is lost with its leaving runner, although a copy of it exists: the calls to stop it were not answered, and no other move is begun.
func TestRunWithUnconfirmedStopIsResumedAfterItsRunnersEnd(t *testing.T) {
	ended := make(chan struct{})
	s := serveMovedStream(t, func(int, func()) (port.Copy, error) {
		select {
		case <-ended:
			return port.Copy{}, port.ErrNotSent
		default:
			return port.Copy{}, port.ErrEndpointLost
		}
	}, wholeStream(event(2)))
	eventually.True(t, "all calls to stop the run are made", func() bool { return s.stopCalls() == maxStopCalls })
	s.b.backends.mu.Lock()
	s.b.backends.presence = map[string]port.Presence{s.b.backends.sent[0].Endpoint.ID: port.PresenceGone}
	s.b.backends.mu.Unlock()
	close(ended)
	s.pipe.CloseWithError(errReset)
	if refusal := s.end(t); refusal != nil || s.got.text() != events(1, 2) {
		t.Errorf("%+v after %q", refusal, s.got.text())
	}
}
