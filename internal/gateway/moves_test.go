package gateway

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

// slowCopies answers the first copy off each runner at once and keeps the
// second one waiting until the test lets it go.
type slowCopies struct {
	mu   sync.Mutex
	seen map[string]int
	held chan struct{}
}

func (s *slowCopies) copy(from, _ port.Endpoint, _ bool) (port.Copy, error) {
	s.mu.Lock()
	s.seen[from.ID]++
	n := s.seen[from.ID]
	s.mu.Unlock()
	if n > 1 {
		<-s.held
	}
	return port.Copy{Handle: "h"}, nil
}

// waiting reports whether a second copy off the runner is under way.
func (s *slowCopies) waiting(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id] > 1
}

// A caller reads a report whose runner leaves. While a second copy is under way
// the runner dies, and the run goes on from the first copy at a runner that
// leaves too, so a second move begins before the first one's copy has come back.
// The end of the first move must not end the second: it closed the second's
// channel, the second closed it once more, and the whole daemon fell.
func TestMoveOutlivesTheRunThatItCopied(t *testing.T) {
	b := newBench(t)
	copies := &slowCopies{seen: map[string]int{}, held: make(chan struct{})}
	b.world.copies = copies.copy
	var mu sync.Mutex
	var at []string
	var pipes []*io.PipeWriter
	b.everywhere("e", func(x *port.Exchange) (*port.Answer, error) {
		reader, writer := io.Pipe()
		mu.Lock()
		at, pipes = append(at, x.Endpoint.ID), append(pipes, writer)
		mu.Unlock()
		return streamed(reader)
	})
	where := func(n int) (string, *io.PipeWriter) {
		var id string
		var pipe *io.PipeWriter
		eventually.True(t, "the run is taken up", func() bool {
			mu.Lock()
			defer mu.Unlock()
			if len(at) > n {
				id, pipe = at[n], pipes[n]
			}
			return pipe != nil
		})
		return id, pipe
	}
	got := &caller{}
	done := make(chan *Refusal, 1)
	go func() { done <- b.ask(t, "/stream/", got) }()
	for n := range 2 {
		id, pipe := where(n)
		_, _ = io.WriteString(pipe, event(n+1))
		eventually.True(t, "the event is relayed", func() bool { return strings.Contains(got.text(), event(n+1)) })
		b.leave(id)
		eventually.True(t, "a second copy is under way", func() bool { return copies.waiting(id) })
		if n == 0 {
			pipe.CloseWithError(errReset)
		}
	}
	close(copies.held)
	_, second := where(1)
	second.CloseWithError(errReset)
	_, last := where(2)
	_, _ = io.WriteString(last, event(3))
	last.Close()
	if refusal := <-done; refusal != nil || got.text() != events(1, 3) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
}

// runMachine drives one run as its relay and its movers do, in any order, and
// holds beside it what it must know.
type runMachine struct {
	run *run
	// open are the moves that have begun and not ended.
	open []*moveState
	// current is the last move off the source that is read now, nil for none;
	// copied is the copy that it left.
	current *moveState
	copied  *copyAt
	// stopped: the current move has stopped the run. taken: the relay has asked
	// for the copy since the move began.
	stopped bool
	taken   bool
	copies  int
}

func (m *runMachine) begin(t *rapid.T) {
	s, _ := m.run.beginMove(func() {})
	mayBegin := !m.stopped && !slices.Contains(m.open, m.current)
	if (s != nil) != mayBegin {
		t.Fatalf("a move begins: %v, want %v", s != nil, mayBegin)
	}
	if s != nil {
		m.open, m.current, m.taken = append(m.open, s), s, false
	}
}

// draw picks one of the open moves, nil where there is none.
func (m *runMachine) draw(t *rapid.T) *moveState {
	if len(m.open) == 0 {
		return nil
	}
	return rapid.SampledFrom(m.open).Draw(t, "move")
}

func (m *runMachine) copy(t *rapid.T) {
	s := m.draw(t)
	if s == nil {
		return
	}
	m.copies++
	c := &copyAt{handle: fmt.Sprint(m.copies)}
	useless := m.run.setCopy(s, c)
	if s == m.current && !m.taken {
		m.copied = c
	} else if useless != c {
		t.Fatal("a copy of a move that the run has left is not freed")
	}
}

func (m *runMachine) stop(t *rapid.T) {
	s := m.draw(t)
	if s == nil {
		return
	}
	got := m.run.stop(s)
	if want := s == m.current && !m.taken; got != want {
		t.Fatalf("the run is stopped: %v, want %v", got, want)
	}
	m.stopped = m.stopped || got
}

func (m *runMachine) end(t *rapid.T) {
	s := m.draw(t)
	if s == nil {
		return
	}
	m.run.endMove(s)
	m.open = slices.DeleteFunc(m.open, func(o *moveState) bool { return o == s })
}

func (m *runMachine) takeUp(t *rapid.T) {
	if m.stopped && slices.Contains(m.open, m.current) {
		// The relay waits for the last copy.
		return
	}
	c, _ := m.run.handover(nil)
	if c != m.copied {
		t.Fatalf("the relay goes on from %+v, want %+v", c, m.copied)
	}
	m.taken = true
	if c == nil {
		return
	}
	m.run.reads(port.Endpoint{ID: c.handle}, io.NopCloser(nil))
	m.current, m.copied, m.stopped = nil, nil, false
}

// Moves begin, copy, stop the run and end in any order while the relay takes
// the run up from copies at other runners. One move at a time has a part in the
// run; what an earlier one still does changes nothing for the later one, and no
// end of a move is taken for another's.
func TestMovesOfOneRunInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &runMachine{run: &run{}}
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "copy": m.copy, "stop": m.stop, "end": m.end, "take up": m.takeUp,
		})
	})
}

// The code of one move meets a fault: the runner's reply to a copy makes it
// panic. The run goes on where it is and its caller has the whole answer; a
// panic in a goroutine ended the daemon, and all its callers' streams with it.
func TestPanicOfAMoveEndsTheMoveOnly(t *testing.T) {
	b := newBench(t)
	b.world.copies = nil
	e := &engine{next: 1, total: 6}
	got, refusal := play(t, b, e, func(n int) {
		if n != 3 {
			return
		}
		b.world.mu.Lock()
		b.world.copies = func(_, _ port.Endpoint, _ bool) (port.Copy, error) { panic("a reply that nobody expects") }
		b.world.mu.Unlock()
		b.leave(e.where())
		eventually.True(t, "the fault is in the log", func() bool { return slices.Contains(b.sink.Verdicts(), verdictPanic) })
	})
	if refusal != nil || got.text() != events(1, 6) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
}

// The code that serves a request meets a fault before anything was sent, or
// while an endpoint has it. The caller is told, truthfully, whether it can have
// run, and the next request is served.
func TestPanicOfARequestEndsTheRequestOnly(t *testing.T) {
	b := newBench(t)
	b.everywhere("s", func(*port.Exchange) (*port.Answer, error) { panic("an answer that nobody expects") })
	refusal := b.ask(t, "/once/", &caller{})
	if refusal == nil || refusal.Cause != CauseInternal || refusal.Outcome != outcome.Unknown || refusal.RetryAfter != 0 {
		t.Fatalf("refused with %+v", refusal)
	}
	b.everywhere("s", reply(200, "fine"))
	got := &caller{}
	if refusal := b.ask(t, "/once/", got); refusal != nil || got.status != 200 {
		t.Fatalf("status %d, refusal %+v", got.status, refusal)
	}
}

// A report ends at its leaving runner while a copy of it lies at another one.
// Nobody will take it up there: its room is freed at once, as prompts wait for
// it. The copy from which a run goes on is not freed.
func TestCopiesThatNobodyUsesAreFreed(t *testing.T) {
	b := newBench(t)
	copies := &slowCopies{seen: map[string]int{}, held: make(chan struct{})}
	b.world.copies = copies.copy
	body, writer := io.Pipe()
	first := make(chan string, 1)
	b.everywhere("e", func(x *port.Exchange) (*port.Answer, error) {
		first <- x.Endpoint.ID
		return streamed(body)
	})
	got := &caller{}
	done := make(chan *Refusal, 1)
	go func() { done <- b.ask(t, "/stream/", got) }()
	from := <-first
	_, _ = io.WriteString(writer, event(1))
	eventually.True(t, "the event is relayed", func() bool { return got.text() == event(1) })
	b.leave(from)
	eventually.True(t, "a second copy is under way", func() bool { return copies.waiting(from) })
	writer.Close()
	if refusal := <-done; refusal != nil {
		t.Fatal(refusal)
	}
	eventually.True(t, "the first copy is freed", func() bool { return len(b.world.freed()) == 1 })
	close(copies.held)
	eventually.True(t, "the copy that came late is freed too", func() bool { return len(b.world.freed()) == 2 })
}

func TestCopyThatIsTakenUpIsKept(t *testing.T) {
	b := newBench(t)
	e := &engine{next: 1, total: 8}
	got, refusal := play(t, b, e, func(n int) {
		if n != 4 {
			return
		}
		from := e.where()
		b.leave(from)
		eventually.True(t, "the run is taken up elsewhere", func() bool { return e.where() != from })
	})
	if refusal != nil || got.text() != events(1, 8) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	if freed := b.world.freed(); len(freed) != 0 {
		t.Fatalf("freed %v", freed)
	}
}

// Two organisations of different ranks ask a pool. Its queue knows who goes
// first; the engine is told of one rank, or it would preempt the run of one for
// the prompt of the other.
func TestEnginesAreToldOfOneRank(t *testing.T) {
	b := newBench(t)
	b.everywhere("e", func(x *port.Exchange) (*port.Answer, error) {
		if x.Generation.Rank != engineRank {
			t.Errorf("rank %d at the engine", x.Generation.Rank)
		}
		return streamed(io.NopCloser(strings.NewReader(events(1, 1))))
	})
	if refusal := b.ask(t, "/stream/", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
}
