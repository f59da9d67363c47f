package scheduling

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/routing"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Guards against a successor that starts without what the former coordinator has learned.
// The message must be sent once, and its sending and its use must be logged.
func TestSuccessorGetsWhatWasLearned(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	f.learn(f.holder("a"), 1, 2.4)
	former, successor, other := f.change()
	f.clock.advance(20 * time.Millisecond)
	f.check()
	f.check()
	if got := f.knows(successor)["runner-1"]; got != 2.4 {
		t.Fatalf("the successor knows a slowness of %v, want 2.4", got)
	}
	if n := len(f.attempts()); n != 1 || len(f.knows(other)) != 0 {
		t.Fatalf("%d messages, another daemon knows %v, want one message to the successor", n, f.knows(other))
	}
	f.wantLines(former, 1, `"event":"handover_sent"`, `"pool":"pool"`, `"peer":"`+successor+`"`, `"sequence":1`, `"speeds":1`, `"age_ms":`)
	f.wantLines(successor, 1, `"event":"handover_applied"`, `"peer":"`+former+`"`, `"sequence":1`, `"speeds":1`)
	if s, a := f.clients[former].handOvers.sent.Count(), f.clients[successor].handOvers.applied.Count(); s != 1 || a != 1 {
		t.Errorf("%d sent and %d applied are counted, want 1 and 1", s, a)
	}
}

// Guards against a handover that is abandoned after one lost message, or repeated without
// end. Without it the successor learns from samples of its own.
func TestLostHandOverIsRepeatedOnce(t *testing.T) {
	for _, c := range []struct {
		faults           []int
		attempts, failed int
		arrives          bool
	}{{[]int{1}, 2, 1, true}, {[]int{1, 1}, 2, 2, false}} {
		f := newHandOverFleet(t, "a", "b", "c")
		f.learn(f.holder("a"), 1, 2.4)
		f.faults = c.faults
		former, successor, _ := f.change()
		f.check()
		f.check()
		if n := len(f.attempts()); n != c.attempts || (f.knows(successor)["runner-1"] == 2.4) != c.arrives {
			t.Errorf("faults %v: %d attempts, the successor knows %v", c.faults, n, f.knows(successor))
		}
		f.wantLines(former, c.failed, `"event":"handover_failed"`, `"peer":"`+successor+`"`)
		f.learn(successor, 2, 1.3)
		if got := f.knows(successor)["runner-2"]; got != 1.3 {
			t.Errorf("faults %v: the successor's own sample is %v", c.faults, got)
		}
	}
}

// Guards against bookings that are added twice because the answer to a message was lost
// and the message repeated.
func TestRepeatedHandOverIsAppliedOnce(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	holder := f.holder("a")
	due := f.clock.Now().Add(20 * time.Second)
	f.routingSchedulers[holder].ApplyHandOver(f.clock.Now(), &port.HandOver{
		Pool: "pool", At: f.clock.Now(), Bookings: []port.RetryBooking{{Organisation: "o", Due: due}},
	})
	f.faults = []int{2}
	former, successor, _ := f.change()
	f.check()
	f.wantLines(successor, 1, `"event":"handover_applied"`, `"bookings":1`)
	f.wantLines(successor, 1, `"event":"handover_dropped"`, `"reason":"older_sequence"`)
	f.wantLines(former, 1, `"event":"handover_sent"`, `"accepted":true`, `"attempt":2`)
	if n := len(f.routingSchedulers[successor].HandOver(f.clock.Now(), "pool").Bookings); n != 1 {
		t.Errorf("%d bookings at the successor, want 1", n)
	}
}

// Guards against old messages that replace or add to what the present coordinator knows:
// those that arrive late, with an older sequence number, of an older start of the sender,
// or from the holder before the last one.
func TestOldHandOversAreDropped(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	f.learn(f.holder("a"), 1, 2.4)
	first, _, _ := f.change()
	now := f.clock.Now()
	f.clock.advance(200 * time.Millisecond)
	second, third, _ := f.change()
	message := func(sender string, incarnation, sequence uint64, at time.Time) *port.HandOver {
		return &port.HandOver{
			Pool: "pool", Sender: sender, Incarnation: incarnation, Sequence: sequence, At: at,
			Speeds: []port.EndpointSpeed{{Endpoint: "runner-0", Stated: float64(sequence)}},
		}
	}
	receive := func(m *port.HandOver, want bool, reason string) {
		t.Helper()
		accepted, err := f.clients[third].ReceiveHandOver(m)
		if err != nil || accepted != want {
			t.Errorf("message %d of %s: accepted %v, error %v, want %v", m.Sequence, m.Sender, accepted, err, want)
		}
		if reason != "" {
			f.wantLines(third, 1, `"event":"handover_dropped"`, `"peer":"`+m.Sender+`"`, fmt.Sprintf(`"sequence":%d,`, m.Sequence), `"reason":"`+reason+`"`)
		}
	}
	receive(message(second, 5, 7, f.clock.Now()), true, "")
	receive(message(first, 1, 1, now), false, dropOlderHolder)
	receive(message(second, 5, 6, f.clock.Now()), false, dropOlderSequence)
	receive(message(second, 4, 9, f.clock.Now()), false, dropOlderSequence)
	receive(message(second, 5, 8, f.clock.Now().Add(-handOverKeep-time.Millisecond)), false, dropLate)
	if got := f.knows(third)["runner-0"]; got != 7 {
		t.Errorf("the coordinator knows a slowness of %v, want that of the first message", got)
	}
	if n := f.clients[third].handOvers.dropped.Count(); n != 4 {
		t.Errorf("%d dropped messages are counted, want 4", n)
	}
}

// Guards against a handover that is lost because it arrives before the change of members,
// and against one that is applied although its receiver never became the coordinator.
func TestEarlyHandOverIsKept(t *testing.T) {
	for _, becomes := range []bool{true, false} {
		f := newHandOverFleet(t, "a", "b", "c")
		former := f.holder("a")
		f.learn(former, 1, 2.4)
		f.set(former, port.MemberLeaving)
		f.show(former)
		successor := f.holder(former)
		f.check(former)
		f.check(successor)
		f.wantLines(successor, 1, `"event":"handover_kept"`)
		if known := f.knows(successor); len(known) != 0 {
			t.Fatalf("applied before the successor lists itself as the coordinator: %v", known)
		}
		f.clock.advance(handOverKeep)
		if becomes {
			f.show(successor)
		} else {
			f.clock.advance(time.Millisecond)
		}
		f.check(successor)
		f.check(successor)
		if got := f.knows(successor)["runner-1"] == 2.4; got != becomes {
			t.Errorf("applied %v, want %v", got, becomes)
		}
		if !becomes {
			f.wantLines(successor, 1, `"event":"handover_dropped"`, `"reason":"not_coordinator"`)
		}
	}
}

// Guards against losing what was learned meanwhile when the coordinator changes back
// within a second.
func TestChangeBackKeepsWhatWasLearned(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	f.learn(f.holder("a"), 1, 2.4)
	former, successor, _ := f.change()
	f.check()
	f.clock.advance(500 * time.Millisecond)
	f.learn(successor, 2, 1.3)
	f.set(former, port.MemberLive)
	f.showAll()
	f.check()
	if got := f.knows(former); got["runner-1"] != 2.4 || got["runner-2"] != 1.3 {
		t.Fatalf("after the change back the coordinator knows %v", got)
	}
}

// Guards against losing everything when two coordinators change within a second and the
// one in between never had the list in which it was the coordinator.
func TestSecondSuccessorGetsWhatWasLearned(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	former := f.holder("a")
	f.learn(former, 1, 2.4)
	f.set(former, port.MemberLeaving)
	f.show(former)
	between := f.holder(former)
	f.check(former)
	f.clock.advance(300 * time.Millisecond)
	f.set(between, port.MemberDead)
	f.showAll()
	f.check()
	last := f.holder("a")
	if got := f.knows(last)["runner-1"]; last == between || got != 2.4 {
		t.Fatalf("the coordinator %s after %s knows a slowness of %v", last, between, got)
	}
}

// Guards against repeated calls to daemons of a previous build, and to those without the
// setting.
func TestHandOverToPreviousBuildIsNotRepeated(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	f.learn(f.holder("a"), 1, 2.4)
	former, successor, _ := f.change()
	f.noHandOver[successor] = true
	f.check()
	if n := len(f.attempts()); n != 1 {
		t.Fatalf("%d attempts, want 1", n)
	}
	f.wantLines(former, 1, `"event":"handover_failed"`, ErrHandOverUnsupported.Error())
}

// Guards against a daemon that drains and exits without handing over, or that hands over
// while no other daemon can coordinate.
func TestDrainingDaemonHandsOver(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	former := f.holder("a")
	for _, name := range f.names {
		if name != former {
			f.set(name, port.MemberDead)
		}
	}
	f.set(former, port.MemberLeaving)
	f.showAll()
	f.check()
	f.learn(former, 1, 2.4)
	if n := len(f.attempts()); n != 0 {
		t.Fatalf("%d messages while the draining daemon is the only one", n)
	}
	for _, name := range f.names {
		if name != former {
			f.set(name, port.MemberLive)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.clients[former].Run(ctx)
	}()
	f.showAll()
	cancel()
	<-ended
	if got := f.knows(f.holder("a"))["runner-1"]; f.holder("a") == former || got != 2.4 {
		t.Fatalf("after the drain the coordinator %s knows a slowness of %v", f.holder("a"), got)
	}
}

// Guards against a partition that costs more than the message: the former coordinator
// must neither block nor send without end, and the message must arrive when the network
// is back.
func TestPartitionDuringHandOver(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	f.learn(f.holder("a"), 1, 2.4)
	former, successor, _ := f.change()
	f.cut[successor] = true
	f.check(former)
	f.check(former)
	if n := len(f.attempts()); n != handOverAttempts {
		t.Fatalf("%d attempts, want %d", n, handOverAttempts)
	}
	d := f.clients[former].Place(t.Context(), newRequest(f.clock.Now(), "during", 100), ignoreHold)
	if d.Verdict != port.VerdictPlace {
		t.Fatalf("verdict %v during the partition, reason %q", d.Verdict, d.Reason)
	}
	f.check(former)
	f.cut[successor] = false
	f.clock.advance(avoidDuration)
	f.check()
	f.exchangeUpdates()
	if got := f.knows(successor)["runner-1"]; got != 2.4 {
		t.Errorf("after the partition the successor knows a slowness of %v, want 2.4", got)
	}
	if n := f.schedulers[successor].RunCount(); n != 1 {
		t.Errorf("the successor counts %d runs after the partition, want 1", n)
	}
}

// Guards against a daemon that restarts within seconds and starts without any knowledge,
// because it was never listed as dead and its deputy therefore never as the coordinator.
func TestDeputyHandsOverToRestartedDaemon(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	holder := f.holder("a")
	f.cut[holder] = true
	for _, name := range f.names {
		if name != holder {
			f.clients[name].Place(t.Context(), newRequest(f.clock.Now(), "by "+name, 100), ignoreHold)
		}
	}
	f.check()
	for _, name := range f.names {
		if name != holder && f.holder(name) == name {
			f.learn(name, 1, 2.4)
		}
	}
	f.cut[holder] = false
	f.clock.advance(avoidDuration)
	f.check()
	if got := f.knows(holder)["runner-1"]; got != 2.4 {
		t.Fatalf("the restarted daemon knows a slowness of %v, want 2.4", got)
	}
}

// Guards against memory that grows with each sender that ever existed.
func TestSendersAreForgotten(t *testing.T) {
	f := newHandOverFleet(t, "a", "b", "c")
	holder := f.holder("a")
	for i := range 4 * maxHandOverSenders {
		f.clock.advance(time.Second)
		m := &port.HandOver{Pool: "pool", Sender: fmt.Sprint("gone-", i), Sequence: 1, At: f.clock.Now()}
		if _, err := f.clients[holder].ReceiveHandOver(m); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(f.clients[holder].handOvers.received); n > maxHandOverSenders {
		t.Fatalf("%d senders are remembered", n)
	}
}

var _ LearnedState = (*routing.Scheduler)(nil)
