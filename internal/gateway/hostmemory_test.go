package gateway

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/breaker"
	"github.com/dragonflyrail/dragonflyrail/internal/core/hostmemory"
	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// finishes records how runs ended.
type finishes struct {
	Placer
	kinds []port.FinishKind
}

func (f *finishes) Finished(id string, tokens int, kind port.FinishKind) {
	f.kinds = append(f.kinds, kind)
	f.Placer.Finished(id, tokens, kind)
}

// observedCaller calls onWrite before each write.
type observedCaller struct {
	fakeCaller
	onWrite func(p []byte)
}

func (c *observedCaller) Write(p []byte) error {
	c.onWrite(p)
	return c.fakeCaller.Write(p)
}

// newBoundedHarness returns a harness of a host whose answers are bounded, whose endpoints
// answer with a text of unknown length.
func newBoundedHarness(t *testing.T, answerMemory int64, status int, text func() io.ReadCloser) (*harness, *finishes) {
	t.Helper()
	b := newHarness(t)
	o := *b.options()
	o.AnswerMemory = answerMemory
	b.SetOptions(o)
	for prefix, contentType := range map[string]string{"s": "text/plain", "e": "text/event-stream"} {
		b.setHandlers(prefix, func(*port.Exchange) (*port.Answer, error) {
			return &port.Answer{Status: status, Header: http.Header{"Content-Type": {contentType}}, Length: -1, Delimited: true, Body: text()}, nil
		})
	}
	f := &finishes{Placer: b.Placer}
	b.Placer = f
	return b, f
}

// Guards against an answer that the endpoint aborted because its caller didn't read, and that
// counts as a crash, opens a breaker or is a failure for routing; and against a failure of the
// endpoint that is put down to the caller.
func TestUnreadAnswerThatEndpointAborts(t *testing.T) {
	text := "id: 1\ndata: " + strings.Repeat("x", 50<<10) + "\n\nid: 2\ndata: " + strings.Repeat("x", 50<<10)
	for _, c := range []struct {
		path      string
		memory    int64
		writeTime time.Duration
		isFailure bool
	}{
		{"/once/x", 1 << 20, 150 * time.Millisecond, false},
		{"/once/x", 1 << 20, 10 * time.Millisecond, true},
		{"/stream/x", 1 << 20, 150 * time.Millisecond, false},
		{"/stream/x", 1 << 20, 10 * time.Millisecond, true},
		// A host without a memory limit.
		{"/stream/x", 0, 5 * time.Second, true},
	} {
		b, runs := newBoundedHarness(t, c.memory, 200, func() io.ReadCloser { return cutBody{strings.NewReader(text)} })
		b.breakers = breaker.NewSet(breaker.Options{Failures: 1, OpenFor: time.Minute, MaxOpenFor: time.Minute, MaxEndpoints: 10})
		now := time.Now()
		b.Clock = func() time.Time { return now }
		refusal := b.send(t, c.path, &observedCaller{onWrite: func([]byte) { now = now.Add(c.writeTime) }})
		if refusal == nil || !refusal.ResponseStarted || (refusal.Cause == CauseUnread) == c.isFailure || (refusal.Cause == CauseEndpointFailed) != c.isFailure {
			t.Errorf("%+v: %+v", c, refusal)
		}
		at, _ := b.endpointTable.get(b.backends.arrivals()[0])
		wantRun := map[bool]port.FinishKind{false: port.FinishCancelled, true: port.FinishFailed}[c.isFailure]
		if isGeneration := c.path == "/stream/x"; isGeneration && !slices.Equal(runs.kinds, []port.FinishKind{wantRun}) ||
			!isGeneration && b.breakers.Open(now, at.ID) != c.isFailure {
			t.Errorf("%+v: runs ended as %v, breaker open: %v", c, runs.kinds, b.breakers.Open(now, at.ID))
		}
		b.backends.mu.Lock()
		isChecked := b.backends.probes > 0
		b.backends.mu.Unlock()
		if isChecked = isChecked || b.crashWatch.PendingChecks() > 0; isChecked != c.isFailure {
			t.Errorf("%+v: checked for a crash: %v", c, isChecked)
		}
	}
}

// Guards against relays that read on while the caller doesn't, or hold more of an answer than
// 64 KB, or than a piece once all answers together hold what they may.
func TestAnswerIsHeldInPart(t *testing.T) {
	text := strings.Repeat("data: "+strings.Repeat("x", 3000)+"\n\n", 100)
	for _, path := range []string{"/once/x", "/stream/x"} {
		for memory, limit := range map[int64]int{hostmemory.MaxAnswer: hostmemory.MaxAnswer, hostmemory.MaxAnswer - 1: pieceBytes} {
			read, written, most := &strings.Builder{}, 0, 0
			b, _ := newBoundedHarness(t, memory, 200, func() io.ReadCloser { return io.NopCloser(io.TeeReader(strings.NewReader(text), read)) })
			out := &observedCaller{onWrite: func(p []byte) {
				most = max(most, read.Len()-written)
				written += len(p)
			}}
			if refusal := b.send(t, path, out); refusal != nil || out.text() != text || most > limit {
				t.Errorf("%s: %v, %d of %d bytes, %d held, at most %d", path, refusal, written, len(text), most, limit)
			}
		}
	}
}

// Guards against an endpoint's own failure that is too long to be held and reaches the caller
// in part, and against memory for answers that is not given back.
func TestLongFailureIsNotKept(t *testing.T) {
	b, _ := newBoundedHarness(t, 2*hostmemory.MaxAnswer, 500, func() io.ReadCloser { return io.NopCloser(strings.NewReader(strings.Repeat("x", 100<<10))) })
	got := &fakeCaller{}
	if refusal := b.send(t, "/safe/x", got); refusal == nil || refusal.ResponseStarted || got.text() != "" || b.answers.budget != (hostmemory.AnswerBudget{Total: 2 * hostmemory.MaxAnswer}) {
		t.Errorf("%+v, %d bytes, memory %+v", refusal, len(got.text()), b.answers.budget)
	}
}

// Guards against an answer of known length that fits but counts as longer than what may be
// held: its endpoint's failure doesn't reach the caller, and the balancer gets no sample.
func TestAnswerThatFitsIsHeldWhole(t *testing.T) {
	for _, size := range []int{hostmemory.MinAnswer, hostmemory.MinAnswer + 1, hostmemory.MaxAnswer} {
		text := strings.Repeat("x", size)
		b, _ := newBoundedHarness(t, 2*hostmemory.MaxAnswer, 500, nil)
		b.setHandlers("s", func(*port.Exchange) (*port.Answer, error) {
			return &port.Answer{Status: 500, Header: http.Header{}, Length: int64(size), Delimited: true, Body: io.NopCloser(strings.NewReader(text))}, nil
		})
		got := &fakeCaller{}
		if refusal := b.send(t, "/safe/x", got); refusal != nil || got.status != 500 || got.text() != text {
			t.Errorf("%d bytes: %+v, status %d, %d bytes passed on", size, refusal, got.status, len(got.text()))
		}
	}
}

// fakeMemory is the memory of a host that accepts a number of requests.
type fakeMemory struct{ free, open int }

func (m *fakeMemory) Reserve(int64) MemoryReservation {
	if m.free == 0 {
		return nil
	}
	m.free--
	m.open++
	return m
}

func (m *fakeMemory) Settle(int64) {}
func (m *fakeMemory) Release()     { m.open-- }

// Guards against requests of other daemons that are run with too little memory, or refused to
// their callers although a third daemon serves them, and against memory that is not given back.
func TestPeerWithoutMemoryDeclines(t *testing.T) {
	b, net := newRelayHarness(t, 2)
	memory := &fakeMemory{free: 1}
	net.peers["peer0"].Memory, net.peers["peer1"].Memory = &fakeMemory{}, memory
	for i, serves := range []bool{true, false, false} {
		refusal := b.send(t, "/once/", &fakeCaller{})
		if serves != (refusal == nil) || !serves && (refusal.Cause != CauseNoPath || refusal.Outcome != outcome.NotRun) {
			t.Errorf("request %d: %+v", i, refusal)
		}
	}
	if without, with := len(net.peers["peer0"].backends.arrivals()), len(net.peers["peer1"].backends.arrivals()); without != 0 || with != 1 || memory.open != 0 {
		t.Errorf("%d and %d attempts, the memory of %d requests was not given back", without, with, memory.open)
	}
}
