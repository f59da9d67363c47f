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

// A planned stop: a stream is open and a caller still holds this router's
// address. The router says that it leaves, serves that caller, lets the
// stream end, and only then stops.
func TestPlannedStopCutsNothing(t *testing.T) {
	o := testOptions("r1")
	b := newBench(o, runner("e1"))
	release := make(chan struct{})
	b.engine.OnStart = append(b.engine.OnStart, fakes.Whole(9), fakes.Whole(2))
	long := &reader{before: func(f *port.Frame) error {
		if f.Index == 5 {
			<-release
		}
		return nil
	}}
	streamed := make(chan *Refusal, 1)
	go func() { streamed <- b.generate(long, false) }()
	eventually.True(t, "the stream is open", func() bool { return long.count() == 5 })
	late, served := &reader{}, make(chan struct{})
	b.view.onLeave = func() {
		// The requests that the test sends below would take the engine's answer
		// that is meant for this one.
		defer close(served)
		if addresses, _ := b.Entry("kegsetu"); slices.Contains(addresses, o.CallerAddress) {
			t.Error("entry names a router that leaves")
		}
		if refusal := b.generate(late, true); refusal != nil {
			t.Errorf("a caller that holds the address: %v", refusal)
		}
	}
	drained := make(chan struct{})
	go func() { b.Drain(context.Background()); close(drained) }()
	<-served
	eventually.True(t, "the router leaves", b.view.hasLeft)
	eventually.True(t, "new requests are refused", func() bool {
		refusal := b.generate(&reader{}, true)
		return refusal != nil && refusal.Cause == CauseStopping && refusal.Outcome == outcome.NotRun
	})
	select {
	case <-drained:
		t.Fatal("the router stopped while a stream was open")
	default:
	}
	close(release)
	if refusal := <-streamed; refusal != nil {
		t.Fatalf("the stream was cut: %v", refusal)
	}
	long.check(t, 0, 9)
	<-drained
	late.check(t, 0, 2)
}

// The host is taken before the stream ends: at the drain timeout the caller is
// told to resume elsewhere, and there it gets the rest with no token lost or
// doubled. The engine's run is not cancelled.
func TestBoundedStopHandsStreamsOver(t *testing.T) {
	o := testOptions("r1")
	o.DrainTimeout = 10 * time.Millisecond
	b := newBench(o, runner("e1"))
	b.engine.OnStart = append(b.engine.OnStart, func(s *port.GenerationStart) (port.FrameStream, error) {
		return &fakes.Connection{Script: fakes.Tokens(s.Generation, 0, 4, 9), Hangs: true}, nil
	})
	r := &reader{}
	streamed := make(chan *Refusal, 1)
	go func() { streamed <- b.generate(r, true) }()
	eventually.True(t, "the stream is open", func() bool { return r.count() == 4 })
	b.Drain(context.Background())
	refusal := <-streamed
	if refusal == nil || refusal.Cause != CauseStopping || refusal.ResumeToken == "" || refusal.LastIndex != 3 {
		t.Fatalf("got %+v", refusal)
	}
	if _, _, cancels := b.engine.Seen(); len(cancels) != 0 {
		t.Fatal("the run was cancelled")
	}
	other := newBench(testOptions("r2"))
	other.engine.OnResume = append(other.engine.OnResume, fakes.Rest(9))
	again := &reader{}
	if refusal := other.Resume(context.Background(), &ResumeRequest{
		RequestID: other.NewRequestID(), Organisation: "kegsetu", Token: refusal.ResumeToken, From: refusal.LastIndex + 1,
	}, again); refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
	again.check(t, 4, 9)
}

// The drain timeout comes while a ledger entry is under way at a service. It
// can't be handed over and must not run twice, so it is finished first.
func TestBoundedStopFinishesServiceCalls(t *testing.T) {
	o := testOptions("r1")
	o.DrainTimeout = 10 * time.Millisecond
	b := newBench(o, serviceEndpoint("s1"))
	sent, release := make(chan struct{}), make(chan struct{})
	b.both(func() (*ServiceReply, error) {
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
	<-b.life.handover
	if b.grace() <= b.Router.o.ServiceTimeout {
		t.Fatalf("a call may take %s, and is cut after %s", b.Router.o.ServiceTimeout, b.grace())
	}
	select {
	case <-drained:
		t.Fatal("the router stopped while a call was under way")
	default:
	}
	close(release)
	if refusal := <-replied; refusal != nil {
		t.Fatalf("the call was cut: %v", refusal)
	}
	<-drained
}

// An entry answer names live routers only, begins elsewhere for each
// organisation, and keeps its order.
func TestEntry(t *testing.T) {
	b := newBench(testOptions("r1"))
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
		got, valid := b.Entry(organisation)
		again, _ := b.Entry(organisation)
		if !slices.Equal(got, again) || valid != b.Router.o.EntryValidity {
			t.Fatalf("got %v then %v", got, again)
		}
		firsts[got[0]] = true
		slices.Sort(got)
		if !slices.Equal(got, []string{"r1:1", "r2:1", "r3:1"}) {
			t.Fatalf("got %v", got)
		}
	}
	if len(firsts) != 3 {
		t.Fatalf("ten organisations begin at %v", firsts)
	}
}
