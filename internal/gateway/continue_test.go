package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

type handler = func(*port.Exchange) (*port.Answer, error)

// cutStream answers with a stream that breaks off after the text.
func cutStream(text string) handler {
	return func(x *port.Exchange) (*port.Answer, error) {
		a, err := streamed(cutBody{strings.NewReader(text)})
		a.Header.Set("X-Seal", "seal-of-"+x.Endpoint.ID)
		return a, err
	}
}

// wholeStream answers with a stream that ends properly after the text.
func wholeStream(text string) handler {
	return func(x *port.Exchange) (*port.Answer, error) {
		a, err := streamed(io.NopCloser(strings.NewReader(text)))
		a.Header.Set("X-Seal", "seal-of-"+x.Endpoint.ID)
		return a, err
	}
}

// checkSent checks which place each request after the first one named.
func checkSent(t *testing.T, b *harness, lastIDs ...string) {
	t.Helper()
	b.backends.mu.Lock()
	defer b.backends.mu.Unlock()
	var got []string
	at := make(map[string]bool)
	for i, x := range b.backends.sent {
		if at[x.Endpoint.ID] {
			t.Errorf("request %d is sent to %s once more", i, x.Endpoint.ID)
		}
		at[x.Endpoint.ID] = true
		if i > 0 {
			got = append(got, x.LastEventID)
		}
	}
	if fmt.Sprint(got) != fmt.Sprint(lastIDs) {
		t.Errorf("the requests after the first one name the events %q, want %q", got, lastIDs)
	}
}

// checkIncomplete checks that the caller has some events and sees that more are missing.
func checkIncomplete(t *testing.T, refusal *Refusal, c *fakeCaller, want string) {
	t.Helper()
	if refusal == nil || !refusal.ResponseStarted || refusal.Outcome != outcome.Failed || c.text() != want {
		t.Errorf("%+v after %q, want an incomplete answer of %q", refusal, c.text(), want)
	}
}

// Guards against a stream that is lost with its endpoint, which crashes in the middle of an
// event: another one continues after the last whole event, in the same answer.
func TestResumableStreamContinuesElsewhere(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("e", sequence(cutStream(events(1, 3)+"id: 4\ndata: e"), wholeStream(events(4, 6))))
	got := &fakeCaller{}
	if refusal := b.send(t, "/resume/", got); refusal != nil || got.text() != events(1, 6) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	checkSent(t, b, "3")
	if first := b.backends.arrivals()[0]; got.header.Get("X-Seal") != "seal-of-"+first {
		t.Errorf("the answer has the seal %q, but began at %s", got.header.Get("X-Seal"), first)
	}
	if b.metrics.streamsContinued.Count() != 1 || b.metrics.streamsNotContinued.Count() != 0 {
		t.Errorf("%d streams continued, %d not", b.metrics.streamsContinued.Count(), b.metrics.streamsNotContinued.Count())
	}
	shown := false
	for _, d := range b.sink.All() {
		shown = shown || d.Verdict == verdictResume && strings.Contains(d.Reason, "continued without a copy after event 3")
	}
	if !shown {
		t.Error("no decision shows the continuation")
	}
}

// closableBody is a body that records that it was closed.
type closableBody struct {
	io.Reader
	closed bool
}

func (b *closableBody) Close() error {
	b.closed = true
	return nil
}

// Guards against two open runs of one request: the abandoned one must be closed and its
// context cancelled before another endpoint is asked.
func TestAbandonedStreamIsClosedBeforeContinuation(t *testing.T) {
	const comment = ": ping\n\n"
	for name, c := range map[string]struct {
		callersID string
		streams   []io.Reader
		want      string
	}{
		"a lost connection": {"", []io.Reader{cutBody{strings.NewReader(events(1, 3))}, strings.NewReader(events(4, 6))}, events(1, 6)},
		"an event that the caller has": {
			"3", []io.Reader{strings.NewReader(comment + events(3, 6)), strings.NewReader(events(4, 6))}, comment + events(4, 6),
		},
		"a second endpoint that leaves out an event": {
			"", []io.Reader{cutBody{strings.NewReader(events(1, 2))}, strings.NewReader(event(3) + event(5)), strings.NewReader(events(4, 6))}, events(1, 6),
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.setMaxAttempts(3)
			var bodies []*closableBody
			b.setHandlers("e", func(*port.Exchange) (*port.Answer, error) {
				b.backends.mu.Lock()
				defer b.backends.mu.Unlock()
				n := len(bodies)
				for i, body := range bodies {
					if !body.closed || b.backends.contexts[i].Err() == nil {
						t.Errorf("request %d is sent while request %d is open", n, i)
					}
				}
				if b.backends.contexts[n].Err() != nil {
					t.Errorf("request %d is sent with a context that has ended", n)
				}
				bodies = append(bodies, &closableBody{Reader: c.streams[n]})
				return streamed(bodies[n])
			})
			got := &fakeCaller{}
			send := func() *Refusal { return b.send(t, "/resume/", got) }
			if c.callersID != "" {
				send = func() *Refusal { return b.sendAfter(t, c.callersID, "/resume/", got) }
			}
			if refusal := send(); refusal != nil || got.text() != c.want || len(bodies) != len(c.streams) {
				t.Errorf("%v after %q from %d streams", refusal, got.text(), len(bodies))
			}
		})
	}
}

// setMaxAttempts sets the bound on the attempts of the route of resumable streams.
func (b *harness) setMaxAttempts(n int) {
	table := testTable(2)
	for i := range table.Routes {
		if table.Routes[i].Name == "resume" {
			table.Routes[i].MaxAttempts = n
		}
	}
	b.view.mu.Lock()
	b.view.records = []port.Record{recordOf(table)}
	b.view.mu.Unlock()
	b.apply()
}

// Guards against an answer that looks whole although events may be missing: a continuation
// without any event doesn't show that the first endpoint had sent the last one.
func TestContinuationWithoutEventsIsNotUsed(t *testing.T) {
	const comment = ": ping\n\n"
	for second, want := range map[string]string{"": events(1, 3), comment: events(1, 3) + comment} {
		b := newHarness(t)
		placer := &kindPlacer{Placer: b.Placer}
		b.Placer = placer
		b.setHandlers("e", sequence(cutStream(events(1, 3)), wholeStream(second)))
		got := &fakeCaller{}
		refusal := b.send(t, "/resume/", got)
		checkIncomplete(t, refusal, got, want)
		checkSent(t, b, "3")
		if b.metrics.streamsNotContinued.Count() != 1 {
			t.Errorf("%d streams count as not continued", b.metrics.streamsNotContinued.Count())
		}
		if want := []port.FinishKind{port.FinishFailed, port.FinishCancelled}; !slices.Equal(placer.kinds, want) {
			t.Errorf("the attempts ended as %v, want %v", placer.kinds, want)
		}
	}
}

// Guards against an answer that ends incomplete after a continuation without events although
// another endpoint may still be asked.
func TestContinuationWithoutEventsGoesToThirdEndpoint(t *testing.T) {
	b := newHarness(t)
	b.setMaxAttempts(3)
	b.setHandlers("e", sequence(cutStream(events(1, 3)), wholeStream(""), wholeStream(events(4, 6))))
	got := &fakeCaller{}
	if refusal := b.send(t, "/resume/", got); refusal != nil || got.text() != events(1, 6) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	checkSent(t, b, "3", "3")
}

// Guards against a stream that ends although another endpoint would continue it, because
// the second one refuses the request or can't be reached.
func TestRefusedContinuationGoesToThirdEndpoint(t *testing.T) {
	for _, err := range []error{port.ErrRefused, port.ErrNotSent} {
		b := newHarness(t)
		b.setHandlers("e", sequence(cutStream(events(1, 3)), failure(err), wholeStream(events(4, 6))))
		got := &fakeCaller{}
		if refusal := b.send(t, "/resume/", got); refusal != nil || got.text() != events(1, 6) {
			t.Fatalf("%v: %v after %q", err, refusal, got.text())
		}
		checkSent(t, b, "3", "3")
	}
}

// Guards against joined runs: an answer of the second endpoint that isn't the continuation
// of the stream, or that breaks off as well, leaves the caller with the events before.
func TestUnusableContinuationEndsStream(t *testing.T) {
	otherType := func(*port.Exchange) (*port.Answer, error) {
		return &port.Answer{Status: 200, Header: http.Header{"Content-Type": {"text/plain"}}, Length: -1, Delimited: true, Body: io.NopCloser(strings.NewReader(events(4, 6)))}, nil
	}
	otherStatus := func(x *port.Exchange) (*port.Answer, error) {
		a, err := wholeStream(events(4, 6))(x)
		a.Status = 206
		return a, err
	}
	for name, c := range map[string]struct {
		second handler
		want   string
	}{
		"it fails with 500":           {reply(500, "x"), events(1, 3)},
		"its answer is lost":          {failure(port.ErrEndpointLost), events(1, 3)},
		"its answer is no stream":     {otherType, events(1, 3)},
		"its status isn't 200":        {otherStatus, events(1, 3)},
		"it repeats the last event":   {wholeStream(events(3, 6)), events(1, 3)},
		"it starts again":             {wholeStream(events(1, 6)), events(1, 3)},
		"it leaves out an event":      {wholeStream(events(5, 6)), events(1, 3)},
		"its event has no id":         {wholeStream("data: e4\n\n"), events(1, 3)},
		"it leaves out a later event": {wholeStream(events(4, 5) + events(7, 8)), events(1, 5)},
		"it repeats a later event":    {wholeStream(events(4, 5) + events(5, 6)), events(1, 5)},
		"it breaks off at once":       {cutStream("id: 4\n"), events(1, 3)},
		"it breaks off later":         {cutStream(events(4, 5)), events(1, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			b.setHandlers("e", sequence(cutStream(events(1, 3)), c.second))
			got := &fakeCaller{}
			checkIncomplete(t, b.send(t, "/resume/", got), got, c.want)
			checkSent(t, b, "3")
			if b.metrics.streamsNotContinued.Count() != 1 {
				t.Errorf("%d streams count as not continued", b.metrics.streamsNotContinued.Count())
			}
		})
	}
}

// Guards against continuations that multiply the load of a fault that ends all streams.
func TestContinuationTakesFromRetryBudget(t *testing.T) {
	b := newHarness(t)
	b.setHandlers("e", sequence(cutStream(events(1, 3)), wholeStream(events(4, 6))))
	for b.budgets.pool("engines").Retry() {
	}
	got := &fakeCaller{}
	refusal := b.send(t, "/resume/", got)
	checkIncomplete(t, refusal, got, events(1, 3))
	checkSent(t, b)
	if !strings.Contains(refusal.Detail, "the retry budget is spent") {
		t.Errorf("the caller's refusal is %q", refusal.Detail)
	}
}

// Guards against a second run on routes that don't allow it.
func TestOnlyResumableStreamsContinue(t *testing.T) {
	for _, path := range []string{"/stream/", "/two/"} {
		b := newHarness(t)
		b.setHandlers("e", sequence(cutStream(events(1, 3)), wholeStream(events(4, 6))))
		got := &fakeCaller{}
		checkIncomplete(t, b.send(t, path, got), got, events(1, 3))
		checkSent(t, b)
	}
}

// Guards against a continuation at a wrong place after events whose ids don't determine it.
func TestStreamWithoutIDsIsNotContinued(t *testing.T) {
	for _, first := range []string{"data: a\n\n", event(1) + "data: a\n\n", event(1) + event(2) + event(4)} {
		b := newHarness(t)
		b.setHandlers("e", sequence(cutStream(first), wholeStream(events(1, 6))))
		got := &fakeCaller{}
		checkIncomplete(t, b.send(t, "/resume/", got), got, first)
		checkSent(t, b)
	}
}

// Guards against a run that is started again although a copy of it exists.
func TestCopyGoesBeforeNewRun(t *testing.T) {
	b := newHarness(t)
	e := &fakeEngine{next: 1, total: 6}
	c, refusal := serveStreamAt(t, b, "/resume/", e, func(n int) {
		if n != 3 {
			return
		}
		from := e.currentRunner()
		b.setLeaving(from)
		eventually.True(t, "the run is resumed at another runner", func() bool { return e.currentRunner() != from })
	})
	if refusal != nil || c.text() != events(1, 6) {
		t.Fatalf("%v after %q", refusal, c.text())
	}
	if len(e.resumedAt) != 1 || b.metrics.streamsContinued.Count() != 0 {
		t.Errorf("resumed from a copy at %v, %d streams continued without", e.resumedAt, b.metrics.streamsContinued.Count())
	}
}

// Guards against a stream that isn't continued, or whose continuation is cut, because of
// blocks that hold no event.
func TestCommentsDoNotInterruptContinuedStream(t *testing.T) {
	const comment = ": ping\n\n"
	first := event(1) + comment + events(2, 3) + comment
	second := comment + event(4) + "retry: 10\r\n\r\n" + events(5, 6)
	b := newHarness(t)
	b.setHandlers("e", sequence(cutStream(first), wholeStream(second)))
	got := &fakeCaller{}
	if refusal := b.send(t, "/resume/", got); refusal != nil || got.text() != first+second {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	checkSent(t, b, "3")
}

// Guards against any repeated, missing or foreign event, for endpoints that break off and
// continue at any place: the caller has a prefix of the stream, and all of it if the answer
// ends as a whole one.
func TestContinuedStreamIsPrefixOfOneRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newHarness(t)
		total := rapid.IntRange(2, 10).Draw(rt, "events")
		b.setHandlers("e", func(x *port.Exchange) (*port.Answer, error) {
			from := 1
			if x.LastEventID != "" {
				if _, err := fmt.Sscan(x.LastEventID, &from); err != nil {
					return nil, err
				}
				from += 1 + rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(rt, "offset")
			}
			to := rapid.IntRange(from-1, total+1).Draw(rt, "to")
			if to > total {
				return wholeStream(events(from, total))(x)
			}
			return cutStream(events(from, to) + rapid.SampledFrom([]string{"", "id: "}).Draw(rt, "rest"))(x)
		})
		got := &fakeCaller{}
		refusal := b.send(t, "/resume/", got)
		text := got.text()
		if refusal == nil && text != events(1, total) {
			rt.Fatalf("ended as complete with %q", text)
		}
		if n := strings.Count(text, "\n\n"); text != events(1, n) {
			rt.Fatalf("the caller has %q", text)
		}
	})
}

// Guards against a continuation that crashes a second endpoint: the request was quarantined
// before its stream broke off, or while it waits at the second endpoint.
func TestQuarantinedStreamIsNotContinued(t *testing.T) {
	for _, whileItWaits := range []bool{false, true} {
		b := newHarness(t)
		b.setHandlers("e", func(x *port.Exchange) (*port.Answer, error) {
			if !whileItWaits {
				b.quarantineRequest("/resume/")
				return cutStream(events(1, 3))(x)
			}
			b.backends.mu.Lock()
			b.backends.silent = map[string]bool{"e0": true, "e1": true, "e2": true}
			b.backends.mu.Unlock()
			return cutStream(events(1, 3))(x)
		})
		sent := 1
		if whileItWaits {
			sent = 2
			go func() {
				eventually.True(t, "the request waits at the second endpoint", func() bool { return len(b.backends.arrivals()) == sent })
				b.quarantineRequest("/resume/")
				b.crashWatch.Tick()
			}()
		}
		got := &fakeCaller{}
		checkIncomplete(t, b.send(t, "/resume/", got), got, events(1, 3))
		if n := len(b.backends.arrivals()); n != sent {
			t.Errorf("%d requests sent, want %d", n, sent)
		}
	}
}

// readerFunc is a reader that calls a function.
type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// Guards against a quarantine that counts as a lost connection of a healthy endpoint: it
// comes after the headers of the second endpoint and before its first event.
func TestStreamQuarantinedAfterHeadersOfContinuation(t *testing.T) {
	b := newHarness(t)
	b.setMaxAttempts(3)
	placer := &kindPlacer{Placer: b.Placer}
	b.Placer = placer
	b.setHandlers("e", sequence(cutStream(events(1, 3)), func(*port.Exchange) (*port.Answer, error) {
		return streamed(io.NopCloser(readerFunc(func([]byte) (int, error) {
			b.quarantineRequest("/resume/")
			b.crashWatch.Tick()
			return 0, context.Canceled
		})))
	}))
	got := &fakeCaller{}
	refusal := b.send(t, "/resume/", got)
	checkIncomplete(t, refusal, got, events(1, 3))
	checkSent(t, b, "3")
	if refusal.Cause != CauseQuarantined {
		t.Errorf("the cause is %q", refusal.Cause)
	}
	if want := []port.FinishKind{port.FinishFailed, port.FinishCancelled}; !slices.Equal(placer.kinds, want) {
		t.Errorf("the attempts ended as %v, want %v", placer.kinds, want)
	}
	for _, d := range b.sink.All() {
		if d.Verdict == verdictFinish && !strings.Contains(d.Reason, errWithdrawn.Error()) {
			t.Errorf("the request's end is recorded as %q", d.Reason)
		}
	}
}

// kindPlacer records how attempts ended.
type kindPlacer struct {
	Placer
	kinds []port.FinishKind
}

func (p *kindPlacer) Finished(id string, tokens int, kind port.FinishKind) {
	p.kinds = append(p.kinds, kind)
	p.Placer.Finished(id, tokens, kind)
}

// Guards against a run that is resumed from its copy at the beginning, because a comment
// came last.
func TestEventWithoutIDKeepsLastID(t *testing.T) {
	r := &run{}
	r.setLastID("7")
	r.setLastID("")
	if r.lastID != "7" {
		t.Errorf("last id %q, want 7", r.lastID)
	}
}
