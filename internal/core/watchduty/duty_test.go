package watchduty

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/dragonflyrail/dragonflyrail/internal/testkit/fixedseed"
)

const (
	overdue = 1500 * time.Millisecond
	ownHash = uint64(100)
)

var start = time.Unix(1000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// answeredCall returns the status after the store answered a call of a daemon.
func answeredCall(seconds float64, by uint64) StoreStatus {
	return StoreStatus{Answered: after(seconds), Tried: after(seconds), By: by}
}

// notWatcher returns the position of a daemon in the middle of a large fleet that is
// not a chosen watcher.
func notWatcher() *Position {
	return &Position{Keepers: 200, WatcherIndex: NotWatcher, HashIndex: 100, Hash: ownHash, Watchers: []uint64{500, 600}, PeerReachable: true}
}

func wantRole(t *testing.T, d *RoleTracker, seconds float64, s *Position, want Role) {
	t.Helper()
	if got := d.Role(after(seconds), s); got != want {
		t.Fatalf("got role %s after %v s, want %s", got, seconds, want)
	}
}

// Hundreds of daemons that start at the same time do not know each other. Without the
// startup wait each would conclude that it is the only one, and all would watch until
// they had learned of each other. Meanwhile only the seeds watch.
func TestOnlySeedsWatchDuringStartup(t *testing.T) {
	alone := &Position{Keepers: 1, WatcherIndex: 0, Hash: ownHash}
	seed := &Position{Keepers: 1, WatcherIndex: 0, Hash: ownHash, Seed: true}
	wantRole(t, New(start, overdue), 0.1, alone, Starting)
	wantRole(t, New(start, overdue), 0.1, seed, Leader)
	wantRole(t, New(start, overdue), 1.1, alone, Leader)
}

func TestRolesOfWatchers(t *testing.T) {
	d := New(start, overdue)
	s := notWatcher()
	d.RecordPeerStatus(answeredCall(1.9, 500))
	wantRole(t, d, 2, s, Off)
	s.WatcherIndex = 3
	wantRole(t, d, 2, s, Deputy)
	s.WatcherIndex = 0
	wantRole(t, d, 2, s, Leader)
}

// When messages are overdue, all daemons notice within the relay time. Only the first
// in line calls the store, and the others receive its result before their own turn.
func TestFirstInLineReadsWhenOverdue(t *testing.T) {
	first, last := notWatcher(), notWatcher()
	first.HashIndex, last.HashIndex = 0, 199
	a, b := New(start, overdue), New(start, overdue)
	a.RecordPeerStatus(answeredCall(10, 500))
	b.RecordPeerStatus(answeredCall(10, 500))
	wantRole(t, a, 11.5, first, Off)
	wantRole(t, a, 12, first, Isolated)
	a.RecordCall(after(12), ownHash, true)
	wantRole(t, b, 12.2, last, Off)
	b.RecordPeerStatus(a.Status())
	wantRole(t, b, 13, last, Off)
}

// A daemon without contact to any peer does not wait for others to read the store, as
// it must learn of changes as soon as any other.
func TestIsolatedDaemonReadsForItself(t *testing.T) {
	d := New(start, overdue)
	s := notWatcher()
	d.RecordPeerStatus(answeredCall(10, 500))
	s.PeerReachable = false
	wantRole(t, d, 11.4, s, Off)
	wantRole(t, d, 11.6, s, Isolated)
	for n := range 50 {
		at := 11.6 + float64(n)
		d.RecordCall(after(at), ownHash, true)
		wantRole(t, d, at+0.9, s, Isolated)
	}
	// The connection is restored. The status of its own calls, sent back by
	// peers, does not count as that of another daemon.
	s.PeerReachable = true
	d.RecordPeerStatus(d.Status())
	wantRole(t, d, 62, s, Isolated)
	d.RecordPeerStatus(answeredCall(62.1, 500))
	wantRole(t, d, 62.2, s, Off)
}

// Two daemons that read the store for themselves learn of each other. If both stopped,
// both would start again later; if neither did, both would continue indefinitely.
// The one with the higher hash stops.
func TestOneOfTwoReadersStops(t *testing.T) {
	low, high := notWatcher(), notWatcher()
	low.Hash, high.Hash = 10, 20
	low.PeerReachable, high.PeerReachable = false, false
	a, b := New(start, overdue), New(start, overdue)
	wantRole(t, a, 5, low, Isolated)
	wantRole(t, b, 5, high, Isolated)
	a.RecordCall(after(5), low.Hash, true)
	b.RecordCall(after(5.01), high.Hash, true)
	a.RecordPeerStatus(b.Status())
	wantRole(t, a, 5.1, low, Isolated)
	a.RecordCall(after(5.2), low.Hash, true)
	b.RecordPeerStatus(a.Status())
	wantRole(t, b, 5.3, high, Off)
}

// A watcher that the store refuses for longer than the overdue time becomes blind,
// and another is chosen in its place. It retries occasionally, as it would otherwise
// stay blind. A daemon whose role does not read the store does not become blind.
func TestBlindOnlyInReadingRole(t *testing.T) {
	d := New(start, overdue)
	s := notWatcher()
	d.RecordPeerStatus(answeredCall(60, 500))
	wantRole(t, d, 60, s, Off)
	if d.Blind(after(61)) {
		t.Fatal("blind although its role never read the store")
	}
	s.WatcherIndex = 0
	wantRole(t, d, 61, s, Leader)
	d.RecordCall(after(61.1), ownHash, false)
	if d.Blind(after(62.4)) || !d.Blind(after(62.6)) {
		t.Fatal("blind before the overdue time without an answer, or not blind after it")
	}
	s.WatcherIndex = NotWatcher
	wantRole(t, d, 63, s, Refused)
	d.RecordCall(after(64), ownHash, true)
	if d.Blind(after(64)) {
		t.Fatal("blind although its call was answered")
	}
	wantRole(t, d, 64.1, s, Off)
}

// A watcher whose call waits for a change is not blind: the call may take seconds.
func TestPendingCallIsNotBlind(t *testing.T) {
	d := New(start, overdue)
	s := notWatcher()
	s.WatcherIndex = 2
	d.RecordCall(after(2), ownHash, true)
	wantRole(t, d, 2, s, Deputy)
	if d.Blind(after(6.9)) {
		t.Fatal("blind while its call waits for a change")
	}
}

// A failure of the store is sent to all daemons at once, as they then query the
// runners directly whether these are leaving. Refusals of a single blind daemon are
// not sent: the store answers the watchers chosen in its place.
func TestRefusalOfBlindDaemonIsNotSent(t *testing.T) {
	d := New(start, overdue)
	s := notWatcher()
	s.WatcherIndex = 0
	wantRole(t, d, 2, s, Leader)
	d.RecordCall(after(2), ownHash, true)
	d.RecordCall(after(3), ownHash, false)
	if !d.Status().Failing() {
		t.Fatal("the failure is not in the status for peers")
	}
	d.RecordCall(after(4), ownHash, false)
	d.Blind(after(4))
	if d.Status().Failing() {
		t.Fatal("the refusal of a blind daemon is in the status for peers")
	}
	d.RecordPeerStatus(answeredCall(3.5, 500))
	if n := d.Status(); n.Failing() || n.By != 500 {
		t.Fatalf("got %+v, want an answered call of daemon 500", n)
	}
}

var drawNews = rapid.Custom(func(t *rapid.T) StoreStatus {
	at := func(name string) time.Time {
		n := rapid.IntRange(0, 3).Draw(t, name)
		if n == 0 {
			return time.Time{}
		}
		return after(float64(n))
	}
	n := StoreStatus{Answered: at("answered"), Tried: at("tried")}
	if n.Answered.After(n.Tried) {
		n.Tried = n.Answered
	}
	// At most one daemon calls at any time.
	n.By = uint64(n.Tried.Unix())
	return n
})

// Join is commutative, associative and idempotent, so that daemons end with the same
// status whatever the order and number of messages.
func TestStoreStatusMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawNews.Draw(t, "a"), drawNews.Draw(t, "b"), drawNews.Draw(t, "c")
		if a.Merge(a) != a || a.Merge(b) != b.Merge(a) || a.Merge(b).Merge(c) != a.Merge(b.Merge(c)) {
			t.Fatalf("Join is not idempotent, commutative and associative for %+v, %+v and %+v", a, b, c)
		}
		if j := a.Merge(b); j.Answered.Before(a.Answered) || j.Tried.Before(a.Tried) || j.Tried.Before(j.Answered) {
			t.Fatalf("joining %+v and %+v gives the invalid status %+v", a, b, j)
		}
	})
}

// Between heartbeats a peer is informed when the store stops answering or answers
// again, and otherwise only when a time has advanced by a step.
func TestStoreStatusShouldSend(t *testing.T) {
	const step = time.Second
	lastSent := answeredCall(10, 1)
	for _, c := range []struct {
		name string
		news StoreStatus
		want bool
	}{
		{"unchanged", lastSent, false},
		{"newer by less than a step", answeredCall(10.5, 1), false},
		{"newer by a step", answeredCall(11, 1), true},
		{"a failure", StoreStatus{Answered: after(10), Tried: after(10.1), By: 1}, true},
	} {
		if got := c.news.ShouldSend(lastSent, step); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
	failing := StoreStatus{Answered: after(10), Tried: after(10.1), By: 1}
	if (StoreStatus{Answered: after(10), Tried: after(10.2), By: 2}).ShouldSend(failing, step) {
		t.Error("a further failure is sent at once")
	}
	if !answeredCall(10.2, 2).ShouldSend(failing, step) {
		t.Error("an answer after a failure is not sent at once")
	}
}
