package router

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/outcome"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/eventually"
	"github.com/dragonflyrail/dragonflyrail/internal/testkit/fakes"
)

// A router drains while a stream is open and a caller still uses this router's
// address. The router must announce that it is leaving, serve that caller, let the
// stream end, and only then stop.
func TestDrainCompletesOpenStreams(t *testing.T) {
	o := testOptions("r1")
	b := newFixture(o, runner("e1"))
	release := make(chan struct{})
	b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(9), fakes.Whole(2))
	streamCaller := &fakeCaller{onFrame: func(f *port.Frame) error {
		if f.Index == 5 {
			<-release
		}
		return nil
	}}
	streamed := make(chan *Refusal, 1)
	go func() { streamed <- b.generate(streamCaller, false) }()
	eventually.True(t, "the stream is open", func() bool { return streamCaller.count() == 5 })
	lateCaller, served := &fakeCaller{}, make(chan struct{})
	b.view.onLeave = func() {
		// This request is sent here, because the requests sent below would consume
		// the scripted answer that is meant for it.
		defer close(served)
		if addresses, _ := b.EntryAddresses("kegsetu"); slices.Contains(addresses, o.CallerAddress) {
			t.Error("Entry lists a router that is leaving")
		}
		if refusal := b.generate(lateCaller, true); refusal != nil {
			t.Errorf("a caller with the cached address was refused: %v", refusal)
		}
	}
	drained := make(chan struct{})
	go func() { b.Drain(context.Background()); close(drained) }()
	<-served
	eventually.True(t, "the router has announced that it is leaving", b.view.isLeaving)
	eventually.True(t, "new requests are refused", func() bool {
		refusal := b.generate(&fakeCaller{}, true)
		return refusal != nil && refusal.Cause == CauseStopping && refusal.Outcome == outcome.NotRun
	})
	select {
	case <-drained:
		t.Fatal("the router stopped while a stream was open")
	default:
	}
	close(release)
	if refusal := <-streamed; refusal != nil {
		t.Fatalf("the open stream was refused during the drain: %v", refusal)
	}
	streamCaller.checkFrames(t, 0, 9)
	<-drained
	lateCaller.checkFrames(t, 0, 2)
}

// The host is reclaimed before a stream ends. At the drain timeout the caller must
// be told to resume at another router and get the remaining tokens there, none lost
// or duplicated. The engine's run must not be cancelled.
func TestDrainTimeoutHandsOverStreams(t *testing.T) {
	o := testOptions("r1")
	o.DrainTimeout = 10 * time.Millisecond
	b := newFixture(o, runner("e1"))
	b.engine.OnStart = append(b.engine.OnStart, func(s *port.GenerationStart) (port.FrameStream, error) {
		return &fakes.Connection{Script: fakes.Tokens(s.Generation, 0, 4, 9), Hangs: true}, nil
	})
	r := &fakeCaller{}
	streamed := make(chan *Refusal, 1)
	go func() { streamed <- b.generate(r, true) }()
	eventually.True(t, "the stream is open", func() bool { return r.count() == 4 })
	b.Drain(context.Background())
	refusal := <-streamed
	if refusal == nil || refusal.Cause != CauseStopping || refusal.ResumeToken == "" || refusal.LastIndex != 3 {
		t.Fatalf("got refusal %+v, want router_stopping with a resume token and last index 3", refusal)
	}
	if _, _, cancels := b.engine.Calls(); len(cancels) != 0 {
		t.Fatal("the run was cancelled")
	}
	other := newFixture(testOptions("r2"))
	other.engine.OnResume = append(other.engine.OnResume, fakes.RemainingFrames(9))
	resumed := &fakeCaller{}
	if refusal := other.Resume(context.Background(), &ResumeRequest{
		RequestID: other.NewRequestID(), Organisation: "kegsetu", Token: refusal.ResumeToken, From: refusal.LastIndex + 1,
	}, resumed); refusal != nil {
		t.Fatalf("the resume was refused: %v", refusal)
	}
	resumed.checkFrames(t, 4, 9)
}

// The drain timeout passes while a ledger entry is being written at a service. The
// call can't be handed over and must not run twice, so the router must let it
// finish.
func TestDrainTimeoutFinishesServiceCalls(t *testing.T) {
	o := testOptions("r1")
	o.DrainTimeout = 10 * time.Millisecond
	b := newFixture(o, serviceEndpoint("s1"))
	sent, release := make(chan struct{}), make(chan struct{})
	b.scriptBoth(func() (*ServiceReply, error) {
		close(sent)
		<-release
		return okReply("entered")()
	})
	replied := make(chan *Refusal, 1)
	go func() {
		_, refusal := b.call(http.MethodPost, "", true)
		replied <- refusal
	}()
	<-sent
	drained := make(chan struct{})
	go func() { b.Drain(context.Background()); close(drained) }()
	<-b.lifecycle.handover
	if b.grace() <= b.Router.o.ServiceTimeout {
		t.Fatalf("a call may take %s, but the grace period is only %s", b.Router.o.ServiceTimeout, b.grace())
	}
	select {
	case <-drained:
		t.Fatal("the router stopped while a call was open")
	default:
	}
	close(release)
	if refusal := <-replied; refusal != nil {
		t.Fatalf("the open call was refused during the drain: %v", refusal)
	}
	<-drained
}

// EntryAddresses must list live routers only, start at different routers for different
// organisations, and keep its order between calls.
func TestEntry(t *testing.T) {
	b := newFixture(testOptions("r1"))
	add := func(id string, role port.MemberRole, s port.MemberState) {
		b.view.members = append(b.view.members, port.Member{ID: id, Role: role, State: s, CallerAddress: id + ":1"})
	}
	add("r2", port.RoleRouter, port.MemberLive)
	add("r3", port.RoleRouter, port.MemberLive)
	add("r4", port.RoleRouter, port.MemberLeaving)
	add("r5", port.RoleRouter, port.MemberDead)
	add("r6", port.RoleRouter, port.MemberJoining)
	add("k1", port.RoleKeeper, port.MemberLive)
	firsts := make(map[string]bool)
	for _, organisation := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		got, valid := b.EntryAddresses(organisation)
		second, _ := b.EntryAddresses(organisation)
		if !slices.Equal(got, second) || valid != b.Router.o.EntryValidity {
			t.Fatalf("Entry returned %v, then %v, want the same list twice and the configured validity", got, second)
		}
		firsts[got[0]] = true
		slices.Sort(got)
		if !slices.Equal(got, []string{"r1:1", "r2:1", "r3:1"}) {
			t.Fatalf("got %v, want the live routers r1, r2 and r3", got)
		}
	}
	if len(firsts) != 3 {
		t.Fatalf("ten organisations start at %v, want all three routers", firsts)
	}
}
