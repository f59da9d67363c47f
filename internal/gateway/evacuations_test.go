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

// assignDomains puts endpoint number n of each pool into failure domain "dn".
func (b *harness) assignDomains() {
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

// evacuate makes the view hold evacuations of exactly these domains.
func (b *harness) evacuate(domains ...string) {
	b.view.mu.Lock()
	kept := []port.Record{}
	for _, r := range b.view.records {
		if r.Kind != port.ObjectPlatformEvacuation {
			kept = append(kept, r)
		}
	}
	for _, d := range domains {
		evacuationVersion++
		kept = append(kept, port.Record{Kind: port.ObjectPlatformEvacuation, Name: d, Version: evacuationVersion, Body: record.EmptyDocument()})
	}
	b.view.records = kept
	b.view.mu.Unlock()
	b.apply()
}

// Guards against requests of a starting daemon into an evacuated domain, when it has the routes and not yet the evacuations.
func TestRequestsAreRefusedUntilRecordsAreComplete(t *testing.T) {
	b := newIdleHarness()
	b.view.setIncomplete(true)
	b.assignDomains()
	got := countSends(b)
	check := func() {
		t.Helper()
		refusal := b.send(t, "/safe/x", &fakeCaller{})
		if refusal == nil || refusal.Cause != CauseNotSynced || refusal.RetryAfter <= 0 || b.Ready() || len(got()) > 0 {
			t.Fatalf("%+v, ready: %v, sent: %v", refusal, b.Ready(), got())
		}
	}
	check()
	// The last records have arrived, and the gateway has not applied them yet.
	b.view.setIncomplete(false)
	check()
	b.evacuate("d0", "d1")
	for range 20 {
		if refusal := b.send(t, "/safe/x", &fakeCaller{}); refusal != nil {
			t.Fatal(refusal)
		}
	}
	if n := got()["s2"]; n != 20 || !b.Ready() {
		t.Errorf("%v, ready: %v", got(), b.Ready())
	}
}

// Guards against returning an endpoint to its former state when its state and the evacuation of its domain change together.
func TestEndpointKeepsItsNewestStateWhenEvacuationsChange(t *testing.T) {
	for _, c := range []struct{ path, endpoint string }{{"/safe/x", "s1"}, {"/stream/x", "e1"}} {
		b := newHarness(t)
		b.assignDomains()
		got := countSends(b)
		b.evacuate("d1")
		b.view.mu.Lock()
		for i := range b.view.endpoints {
			if e := &b.view.endpoints[i]; e.ID == c.endpoint {
				e.State, e.Incarnation = port.EndpointLeaving, e.Incarnation+1
				e.Revision++
			}
		}
		b.view.mu.Unlock()
		b.evacuate()
		h, _ := b.endpointTable.get(c.endpoint)
		if n := b.sendMany(t, 30, c.path, c.endpoint); h.State != port.EndpointLeaving || h.Incarnation != 2 || n > 0 {
			t.Errorf("%s is %s, incarnation %d; %d requests reached it: %v", c.endpoint, h.State, h.Incarnation, n, got())
		}
	}
}

// Guards against calls, retries and generations sent into an evacuated failure domain.
func TestNoRequestIsSentToEvacuatedDomains(t *testing.T) {
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			b := newHarness(t)
			b.assignDomains()
			got := countSends(b)
			b.evacuate("d0", "d1")
			for range 20 {
				if refusal := b.send(t, path, &fakeCaller{}); refusal != nil {
					t.Fatal(refusal)
				}
			}
			for id, n := range got() {
				if id[1:] != "2" {
					t.Errorf("%d requests sent to %s", n, id)
				}
			}
			b.evacuate("d2")
			before := got()["s2"] + got()["e2"]
			for range 20 {
				if refusal := b.send(t, path, &fakeCaller{}); refusal != nil {
					t.Fatal(refusal)
				}
			}
			if after := got()["s2"] + got()["e2"]; after != before || len(got()) == 1 {
				t.Errorf("%d and then %d requests were sent into the domain that was evacuated last: %v", before, after, got())
			}
		})
	}
}

// Guards against holding callers, or refusing them with another cause, when all
// domains are evacuated.
func TestCallsAreRefusedAtOnceWhenAllDomainsAreEvacuated(t *testing.T) {
	b := newHarness(t)
	b.assignDomains()
	b.evacuate("d0", "d1", "d2")
	for _, path := range []string{"/safe/x", "/once/x", "/stream/x"} {
		began := time.Now()
		refusal := b.send(t, path, &fakeCaller{})
		if refusal == nil || refusal.Cause != CauseEvacuated || refusal.RetryAfter <= 0 || refusal.Outcome != "not_run" {
			t.Fatalf("%s: %+v", path, refusal)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("%s: refused after %v", path, took)
		}
	}
}

// stalePlacer is a coordinator that has not received an evacuation.
type stalePlacer struct {
	Placer
	endpoints []port.Endpoint
	finished  []port.FinishKind
}

func (s *stalePlacer) Place(_ context.Context, r *port.GenerationRequest, _ func(*port.Decision)) port.Decision {
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

func (s *stalePlacer) Finished(_ string, _ int, kind port.FinishKind) {
	s.finished = append(s.finished, kind)
}

// Guards against sending a request to an endpoint that was chosen by a
// coordinator without the current evacuations.
func TestPlacementsOfAStaleCoordinatorAreWithdrawn(t *testing.T) {
	b := newHarness(t)
	b.assignDomains()
	got := countSends(b)
	placer := &stalePlacer{Placer: b.Placer}
	for _, e := range b.view.Endpoints() {
		if e.Kind == port.KindRunner {
			placer.endpoints = append(placer.endpoints, e)
		}
	}
	b.Placer = placer
	b.evacuate("d0", "d1")
	if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal != nil {
		t.Fatal(refusal)
	}
	if sent := got(); sent["e2"] != 1 || len(sent) != 1 {
		t.Errorf("requests sent: %v", sent)
	}
	if len(placer.finished) != 2 || placer.finished[0] != port.FinishCancelled {
		t.Errorf("the coordinator was informed of the ends %v", placer.finished)
	}
	b.evacuate("d0", "d1", "d2")
	if refusal := b.send(t, "/stream/x", &fakeCaller{}); refusal == nil || refusal.Outcome != "not_run" {
		t.Errorf("%+v", refusal)
	}
}

// Guards against moving a run into an evacuated failure domain and resuming it
// there.
func TestRunIsNotMovedIntoAnEvacuatedDomain(t *testing.T) {
	b := newHarness(t)
	b.assignDomains()
	var mu sync.Mutex
	var copied []string
	b.backends.copyHandler = func(_, to port.Endpoint, _ bool) (port.Copy, error) {
		mu.Lock()
		defer mu.Unlock()
		copied = append(copied, to.ID)
		return port.Copy{Handle: "h"}, nil
	}
	pipes := make(chan *io.PipeWriter, 2)
	b.setHandlers("e", func(*port.Exchange) (*port.Answer, error) {
		reader, writer := io.Pipe()
		pipes <- writer
		return streamed(reader)
	})
	got, done := &fakeCaller{}, make(chan *Refusal, 1)
	go func() { done <- b.send(t, "/stream/", got) }()
	firstPipe := <-pipes
	_, _ = io.WriteString(firstPipe, event(1))
	eventually.True(t, "the event is relayed", func() bool { return strings.Contains(got.text(), event(1)) })
	at := b.backends.arrivals()[0]
	evacuated := "e" + string('0'+(at[1]-'0'+1)%3)
	b.evacuate("d" + evacuated[1:])
	b.setLeaving(at)
	nextPipe := <-pipes
	_, _ = io.WriteString(nextPipe, event(2))
	nextPipe.Close()
	firstPipe.CloseWithError(errReset)
	if refusal := <-done; refusal != nil || got.text() != events(1, 2) {
		t.Fatalf("%v after %q", refusal, got.text())
	}
	mu.Lock()
	defer mu.Unlock()
	if slices.Contains(copied, evacuated) || slices.Contains(b.backends.arrivals(), evacuated) {
		t.Errorf("copied to %v, sent to %v, evacuated %s", copied, b.backends.arrivals(), evacuated)
	}
}

// countSends makes all endpoints answer and returns a function that counts the
// requests sent to each.
func countSends(b *harness) func() map[string]int {
	b.setHandlers("s", reply(200, "fine"))
	b.setHandlers("e", func(*port.Exchange) (*port.Answer, error) {
		return streamed(io.NopCloser(strings.NewReader(events(1, 3))))
	})
	return func() map[string]int {
		out := map[string]int{}
		for _, id := range b.backends.arrivals() {
			out[id]++
		}
		return out
	}
}
