package grpcpeer

import (
	"testing"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/watchduty"
)

// fakeRelay is a PlatformRelay that merges all statuses it receives.
type fakeRelay struct{ status watchduty.StoreStatus }

func (r *fakeRelay) Status() watchduty.StoreStatus         { return r.status }
func (r *fakeRelay) ReceiveStatus(n watchduty.StoreStatus) { r.status = r.status.Merge(n) }

// recordAnswer replaces the status by an answer of the platform.
func (r *fakeRelay) recordAnswer(at time.Time) {
	r.status = watchduty.StoreStatus{Answered: at, Tried: at, By: 7}
}

// Keepers relay how long ago the platform last answered. If the status were sent only
// with heartbeats, its age would grow by a heartbeat interval per hop, and keepers at
// the far side of a large ring would consider the relay broken and call the platform
// themselves.
func TestYoungerAnswerIsSentBeforeHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &fakeRelay{}
	f := platformStatusSender{relay: r}
	sentAge := func(at time.Time, heartbeat bool) int64 {
		n := f.next(at, heartbeat)
		return n.ageMillis
	}
	if sentAge(start, true) != 0 {
		t.Fatal("an age is sent although the platform never answered")
	}
	r.recordAnswer(start)
	if sentAge(start, false) != 1 {
		t.Fatal("the first answer is not sent before the next heartbeat")
	}
	r.recordAnswer(start.Add(MinStatusAdvance / 2))
	if sentAge(start.Add(MinStatusAdvance/2), false) != 0 {
		t.Fatal("an answer newer by less than FreshnessStep is sent before the next heartbeat")
	}
	r.recordAnswer(start.Add(MinStatusAdvance))
	if sentAge(start.Add(MinStatusAdvance), false) != 1 {
		t.Fatal("an answer newer by FreshnessStep is not sent before the next heartbeat")
	}
	r.recordAnswer(start.Add(MinStatusAdvance + time.Millisecond))
	const age = 700 * time.Millisecond
	if got := sentAge(start.Add(MinStatusAdvance+time.Millisecond+age), true); got != 701 {
		t.Fatalf("got an age of %d ms in a heartbeat, want 701 ms", got)
	}
	if sentAge(start.Add(2*MinStatusAdvance+age), false) != 0 {
		t.Fatal("an answer that was already sent is sent again before the next heartbeat")
	}
	if sentAge(start.Add(2*MinStatusAdvance+age), true) != 0 {
		t.Fatal("an answer that was already sent is sent again with a heartbeat")
	}
}

// The platform stops answering. If a failed call were sent only after MinStatusAdvance,
// the keepers would start to probe runners more than a second later, and half of the
// notice period of runners that leave at that moment would be lost.
func TestFailureIsSentBeforeHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &fakeRelay{}
	f := platformStatusSender{relay: r}
	r.recordAnswer(start)
	f.next(start, false)
	r.status = r.status.Merge(watchduty.StoreStatus{Tried: start.Add(20 * time.Millisecond), By: 9})
	n := f.next(start.Add(20*time.Millisecond), false)
	if n.try.GetAgeMillis() != 1 || n.try.GetBy() != 9 {
		t.Fatalf("got status %+v for a failed call, want an age of 1 ms by keeper 9", n)
	}
	received := statusFromWire(start.Add(25*time.Millisecond), n.ageMillis, n.try)
	if !received.Failing() {
		t.Fatalf("received status %+v, want a failing platform", received)
	}
	r.status = r.status.Merge(watchduty.StoreStatus{Tried: start.Add(30 * time.Millisecond), By: 9})
	if repeated := f.next(start.Add(30*time.Millisecond), false); !repeated.empty() {
		t.Fatal("a second failed call is sent before the next heartbeat")
	}
	r.recordAnswer(start.Add(40 * time.Millisecond))
	if recovered := f.next(start.Add(40*time.Millisecond), false); recovered.empty() {
		t.Fatal("an answer after failed calls is not sent before the next heartbeat")
	}
}

// A peer of an older build sends only the age of the last answer, without a call and
// its keeper.
func TestStatusWithoutPlatformTry(t *testing.T) {
	now := time.Unix(1000, 0)
	n := statusFromWire(now, 300, nil)
	if n.Failing() || n.Answered != now.Add(-300*time.Millisecond) || n.By != 0 {
		t.Fatalf("received status %+v, want an answer 300 ms ago by no keeper", n)
	}
	if !statusFromWire(now, 0, nil).Tried.IsZero() {
		t.Fatal("a message without a status is received as a call to the platform")
	}
}
