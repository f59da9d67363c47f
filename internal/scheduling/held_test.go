package scheduling

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// heldPlacement is a request that another daemon's scheduler holds.
type heldPlacement struct {
	decision chan port.Decision
	holds    chan string
}

// hold fills all runners through the relaying daemon and places one more request, which
// must be held. It returns the requests that fill the runners.
func (f *handOverFleet) hold(relay string) (h *heldPlacement, filling []string) {
	f.t.Helper()
	for i := range numRunners {
		id := fmt.Sprint("filling-", i)
		d := f.clients[relay].Place(f.t.Context(), newRequest(f.clock.Now(), id, 9000), ignoreHold)
		if d.Verdict != port.VerdictPlace {
			f.t.Fatalf("%s: verdict %v, reason %q", id, d.Verdict, d.Reason)
		}
		filling = append(filling, id)
	}
	h = &heldPlacement{decision: make(chan port.Decision, 1), holds: make(chan string, 4)}
	r := newRequest(f.clock.Now(), "held", 9000)
	r.Deadline = f.clock.Now().Add(20 * time.Second)
	go func() {
		h.decision <- f.clients[relay].Place(f.t.Context(), r, func(d *port.Decision) { h.holds <- d.Coordinator })
	}()
	return h, filling
}

// relayOf returns a daemon that is neither the coordinator nor its successor.
func (f *handOverFleet) relayOf() (relay string) {
	former := f.holder("a")
	f.set(former, port.MemberLeaving)
	f.showAll()
	successor := f.holder("a")
	f.set(former, port.MemberLive)
	f.showAll()
	for _, name := range f.names {
		if name != former && name != successor {
			relay = name
		}
	}
	return relay
}

func (f *handOverFleet) tracks(name, requestID string) bool {
	b := f.schedulers[name]
	b.mu.Lock()
	defer b.mu.Unlock()
	_, tracked := b.lastReport[requestID]
	return tracked
}

// Guards against a held request that is placed twice, refused or forgotten because the
// coordinator changes. The former coordinator keeps it, and the successor learns of its
// placement with the next message, without waiting for the next report of all runs.
func TestHeldRequestStaysWithFormerCoordinator(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	relay := f.relayOf()
	h, filling := f.hold(relay)
	holder := <-h.holds
	former, successor, _ := f.change()
	if holder != former {
		t.Fatalf("held by %s, want %s", holder, former)
	}
	select {
	case d := <-h.decision:
		t.Fatalf("verdict %v, reason %q because of the change", d.Verdict, d.Reason)
	case <-time.After(50 * time.Millisecond):
	}
	f.clients[relay].Finished(filling[0], 10, port.FinishDone)
	f.clients[relay].flushSync()
	d := <-h.decision
	if d.Verdict != port.VerdictPlace || d.Coordinator != former {
		t.Fatalf("verdict %v by %s, reason %q, want a placement by %s", d.Verdict, d.Coordinator, d.Reason, former)
	}
	f.clients[relay].flushSync()
	if !f.tracks(successor, "held") {
		t.Fatal("the successor does not count the run")
	}
	f.clock.advance(formerInformedFor)
	f.exchangeUpdates()
	if !f.tracks(successor, "held") || f.tracks(former, "held") {
		t.Fatalf("later the run is counted by the successor: %v, by the former coordinator: %v", f.tracks(successor, "held"), f.tracks(former, "held"))
	}
	if len(h.holds) != 0 {
		t.Errorf("the request was held again by %s", <-h.holds)
	}
}

// Guards against a request that waits until its deadline at a coordinator that is frozen
// or cut off: the connection stays open, so only the list of members shows it.
func TestHeldRequestLeavesDeadCoordinator(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	relay := f.relayOf()
	former := f.holder("a")
	f.frozen[former] = true
	h := &heldPlacement{decision: make(chan port.Decision, 1), holds: make(chan string, 4)}
	r := newRequest(f.clock.Now(), "held", 100)
	r.Deadline = f.clock.Now().Add(20 * time.Second)
	go func() {
		h.decision <- f.clients[relay].Place(t.Context(), r, func(d *port.Decision) { h.holds <- d.Coordinator })
	}()
	if holder := <-h.holds; holder != former {
		t.Fatalf("held by %s, want %s", holder, former)
	}
	f.set(former, port.MemberDead)
	f.showAll()
	select {
	case d := <-h.decision:
		if d.Verdict != port.VerdictPlace || d.Coordinator == former {
			t.Fatalf("verdict %v by %s, reason %q", d.Verdict, d.Coordinator, d.Reason)
		}
	case <-time.After(time.Second):
		t.Fatal("still held by a coordinator that is listed as dead")
	}
}

// Guards against counting or running a request twice when its coordinator is killed after
// it placed the request and before the answer arrives. The relaying daemon gets one
// placement, which the successor counts, and the former count ends.
func TestCoordinatorKilledBetweenPlacementAndAnswer(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	relay, former := f.relayOf(), f.holder("a")
	f.nextFault = func() int {
		f.nextFault = func() int { return 0 }
		f.mu.Lock()
		defer f.mu.Unlock()
		f.cut[former] = true
		return 2
	}
	r := newRequest(f.clock.Now(), "once", 100)
	d := f.clients[relay].Place(t.Context(), r, ignoreHold)
	if d.Verdict != port.VerdictPlace || d.Coordinator == former {
		t.Fatalf("verdict %v by %s, reason %q", d.Verdict, d.Coordinator, d.Reason)
	}
	f.set(former, port.MemberDead)
	f.showAll()
	f.clients[relay].reassignRuns()
	f.clients[relay].flushSync()
	counting := 0
	for _, name := range f.names {
		if name != former && f.tracks(name, "once") {
			counting++
		}
	}
	if counting != 1 {
		t.Errorf("%d live schedulers count the run, want 1", counting)
	}
	if run, known := f.clients[relay].running("once"); !known || run.EndpointID != d.Endpoint.ID {
		t.Errorf("the relaying daemon has the run at %q, want %q", run.EndpointID, d.Endpoint.ID)
	}
	f.clock.advance(runExpiry)
	f.schedulers[former].Expire()
	if n := f.schedulers[former].RunCount(); n != 0 {
		t.Errorf("the former coordinator counts %d runs that nobody reports", n)
	}
}

// Guards against a run that the coordinator ceases to count after changes back and forth:
// the end of its count and its new report are in one message.
func TestRunsAreCountedAfterChangesBackAndForth(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	relay, holder := f.relayOf(), f.holder("a")
	f.clients[relay].Place(t.Context(), newRequest(f.clock.Now(), "run", 100), ignoreHold)
	for range 2 {
		_, second, _ := f.change()
		f.clients[relay].reassignRuns()
		f.change()
		f.clients[relay].reassignRuns()
		f.set(holder, port.MemberLive)
		f.set(second, port.MemberLive)
		f.showAll()
		f.clients[relay].reassignRuns()
	}
	f.clients[relay].flushSync()
	if !f.tracks(holder, "run") {
		t.Fatal("the coordinator does not count the run")
	}
	f.clock.advance(formerInformedFor)
	f.exchangeUpdates()
	for _, name := range f.names {
		if f.tracks(name, "run") != (name == holder) {
			t.Errorf("%s counts the run: %v, the coordinator is %s", name, f.tracks(name, "run"), holder)
		}
	}
}

// Guards against a request that is refused for its caller's end when only the watch on
// its coordinator has ended the call, and the reverse.
func TestCallerGoneWhileHeld(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	relay := f.relayOf()
	f.frozen[f.holder("a")] = true
	ctx, cancel := context.WithCancel(t.Context())
	d := f.clients[relay].Place(ctx, newRequest(f.clock.Now(), "gone", 100), func(*port.Decision) { cancel() })
	if d.Verdict != port.VerdictRefuse || d.Reason != cancelReason(context.Canceled) {
		t.Fatalf("verdict %v, reason %q", d.Verdict, d.Reason)
	}
}

// Guards against requests that are placed for callers that have left, and that then take
// up room until they expire: a held one that is released at the moment when its call
// ends, and one that is placed before its caller's end is known.
func TestPlacementWithoutCallerIsNotCounted(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	relay, holder := f.relayOf(), f.holder("a")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 50 {
		if f.schedulers[holder].wait(ctx, newRequest(f.clock.Now(), "released", 100)) {
			t.Fatal("a released request would be placed although its call has ended")
		}
	}
	ctx, cancel = context.WithCancel(t.Context())
	f.nextFault = func() int { cancel(); return 0 }
	d := f.clients[relay].Place(ctx, newRequest(f.clock.Now(), "placed", 100), ignoreHold)
	if d.Verdict != port.VerdictRefuse || f.schedulers[holder].RunCount() != 1 {
		t.Fatalf("verdict %v, %d runs counted, want a refusal and a run that nobody has", d.Verdict, f.schedulers[holder].RunCount())
	}
	f.clients[relay].flushSync()
	if n := f.schedulers[holder].RunCount(); n != 0 {
		t.Fatalf("%d runs are counted after the caller left, want 0", n)
	}
}

// Guards against a burst of placements on full runners: when the relaying daemons report
// their runs to the successor, the former coordinator must not take the runners for
// empty and place all requests that it holds at once. It must see runs end, too.
func TestFormerCoordinatorPlacesOnlyInFreeRoom(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	relay := f.relayOf()
	h, filling := f.hold(relay)
	<-h.holds
	former, successor, _ := f.change()
	exchange := func() {
		f.clients[relay].reassignRuns()
		f.clients[relay].reportRuns()
		f.clients[relay].flushSync()
		f.schedulers[former].Expire()
	}
	for range 10 {
		exchange()
		f.clock.advance(progressInterval)
	}
	select {
	case d := <-h.decision:
		t.Fatalf("verdict %v, reason %q while all runners are full", d.Verdict, d.Reason)
	case <-time.After(50 * time.Millisecond):
	}
	f.clients[relay].Finished(filling[0], 10, port.FinishDone)
	exchange()
	if d := <-h.decision; d.Verdict != port.VerdictPlace || d.Coordinator != former {
		t.Fatalf("verdict %v by %s, reason %q, want a placement by %s", d.Verdict, d.Coordinator, d.Reason, former)
	}
	for range formerInformedFor/progressInterval + 1 {
		f.clock.advance(progressInterval)
		exchange()
	}
	if n := f.schedulers[former].RunCount(); n != 0 {
		t.Errorf("the former coordinator still counts %d runs", n)
	}
	if n := f.schedulers[successor].RunCount(); n != numRunners {
		t.Errorf("the successor counts %d runs, want %d", n, numRunners)
	}
}
