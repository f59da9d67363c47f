package gateway

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/record"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
)

// inDomains gives endpoint number n of each pool the domain "d" and n.
func (b *bench) inDomains() {
	b.view.mu.Lock()
	for i := range b.view.endpoints {
		e := &b.view.endpoints[i]
		e.FailureDomain = "d" + e.ID[1:]
	}
	b.view.mu.Unlock()
	b.Evacuations = record.Evacuations
	b.apply()
}

var evacuationVersion uint64

// evacuate has the view hold that just these domains are evacuated.
func (b *bench) evacuate(domains ...string) {
	b.view.mu.Lock()
	kept := []port.Record{}
	for _, r := range b.view.records {
		if r.Kind != port.ObjectPlatformEvacuation {
			kept = append(kept, r)
		}
	}
	for _, d := range domains {
		evacuationVersion++
		kept = append(kept, port.Record{Kind: port.ObjectPlatformEvacuation, Name: d, Version: evacuationVersion, Body: record.PresentDocument()})
	}
	b.view.records = kept
	b.view.mu.Unlock()
	b.apply()
}

// Guards against calls, retries and generations sent into an evacuated failure domain.
func TestNothingIsSentIntoEvacuatedDomains(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			b := newBench(t)
			b.inDomains()
			got := countSends(b)
			b.evacuate("d0", "d1")
			for range 20 {
				if refusal := b.ask(t, path, &caller{}); refusal != nil {
					t.Fatal(refusal)
				}
			}
			for id, n := range got() {
				if id[1:] != "2" {
					t.Errorf("%d sent to %s", n, id)
				}
			}
			b.evacuate("d2")
			before := got()["s2"] + got()["e2"]
			for range 20 {
				if refusal := b.ask(t, path, &caller{}); refusal != nil {
					t.Fatal(refusal)
				}
			}
			if after := got()["s2"] + got()["e2"]; after != before || len(got()) == 1 {
				t.Errorf("%d and then %d were sent into the domain that was evacuated in turn: %v", before, after, got())
			}
		})
	}
}

// Guards against callers that wait, or are told of another cause, when all domains are evacuated.
func TestCallersAreRefusedAtOnceWhenAllIsEvacuated(t *testing.T) {
	b := newBench(t)
	b.inDomains()
	b.evacuate("d0", "d1", "d2")
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		began := time.Now()
		refusal := b.ask(t, path, &caller{})
		if refusal == nil || refusal.Cause != CauseEvacuated || refusal.RetryAfter <= 0 || refusal.Outcome != "not_run" {
			t.Fatalf("%s: %+v", path, refusal)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: refused after %v", path, took)
		}
	}
}

// stale is a coordinator that has not heard of an evacuation.
type stale struct {
	Placer
	endpoints []port.Endpoint
	finished  []port.FinishKind
}

func (s *stale) Place(_ context.Context, r *port.GenerationRequest, _ func(*port.Decision)) port.Decision {
	for _, e := range s.endpoints {
		excluded := false
		for _, id := range r.Excluded {
			excluded = excluded || id == e.ID
		}
		if !excluded {
			return port.Decision{Verdict: port.VerdictPlace, Endpoint: e, Reason: "best_score"}
		}
	}
	return port.Decision{Verdict: port.VerdictRefuse, Reason: "every_endpoint_tried"}
}

func (s *stale) Finished(_ string, _ int, kind port.FinishKind) {
	s.finished = append(s.finished, kind)
}

// Guards against sending what a coordinator placed that has not heard of the evacuation yet.
func TestPlacesOfALateCoordinatorAreGivenBack(t *testing.T) {
	b := newBench(t)
	b.inDomains()
	got := countSends(b)
	late := &stale{Placer: b.Placer}
	for _, e := range b.view.Endpoints() {
		if e.Kind == port.KindRunner {
			late.endpoints = append(late.endpoints, e)
		}
	}
	b.Placer = late
	b.evacuate("d0", "d1")
	if refusal := b.ask(t, "/stream/x", &caller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if sent := got(); sent["e2"] != 1 || len(sent) != 1 {
		t.Errorf("sent %v", sent)
	}
	if len(late.finished) != 2 || late.finished[0] != port.FinishCancelled {
		t.Errorf("the coordinator was told %v", late.finished)
	}
	b.evacuate("d0", "d1", "d2")
	if refusal := b.ask(t, "/stream/x", &caller{}); refusal == nil || refusal.Outcome != "not_run" {
		t.Errorf("%+v", refusal)
	}
}

// Guards against moving a run into a failure domain that is evacuated, and taking it up there.
func TestRunIsNotMovedIntoAnEvacuatedDomain(t *testing.T) {
	b := newBench(t)
	b.inDomains()
	var mu sync.Mutex
	var copied []string
	b.world.copies = func(_, to port.Endpoint, _ bool) (port.Copy, error) {
		mu.Lock()
		defer mu.Unlock()
		copied = append(copied, to.ID)
		return port.Copy{Handle: "h"}, nil
	}
	pipes := make(chan *io.PipeWriter, 2)
	b.everywhere("e", func(*port.Exchange) (*port.Answer, error) {
		reader, writer := io.Pipe()
		pipes <- writer
		return streamed(reader)
	})
	got, done := &caller{}, make(chan *Refusal, 1)
	go func() { done <- b.ask(t, "/stream/", got) }()
	first := <-pipes
	_, _ = io.WriteString(first, event(1))
	eventually.True(t, "the event is relayed", func() bool { return strings.Contains(got.text(), event(1)) })
	at := b.world.arrivals()[0]
	gone := "e" + string('0'+(at[1]-'0'+1)%3)
	b.evacuate("d" + gone[1:])
	b.leave(at)
	next := <-pipes
	_, _ = io.WriteString(next, event(2))
	next.Close()
	first.CloseWithError(errReset)
	if refusal := <-done; refusal != nil || got.text() != events(1, 2) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	mu.Lock()
	defer mu.Unlock()
	if slices.Contains(copied, gone) || slices.Contains(b.world.arrivals(), gone) {
		t.Errorf("copied to %v, sent to %v, evacuated %s", copied, b.world.arrivals(), gone)
	}
}

// countSends serves everything and counts what each endpoint gets.
func countSends(b *bench) func() map[string]int {
	b.everywhere("s", reply(200, "fine"))
	b.everywhere("e", func(*port.Exchange) (*port.Answer, error) {
		return streamed(io.NopCloser(strings.NewReader(events(1, 3))))
	})
	return func() map[string]int {
		out := map[string]int{}
		for _, id := range b.world.arrivals() {
			out[id]++
		}
		return out
	}
}
