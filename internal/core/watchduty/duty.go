package watchduty

import (
	"sync"
	"time"
)

// Role determines whether and how a daemon reads the store.
type Role int

// The roles, in order of increasing read frequency.
const (
	// Off: the daemon does not read the store; others do.
	Off Role = iota
	// Starting: the daemon reads the store once and waits for messages about
	// who the watchers are.
	Starting
	// Refused: the store refuses the calls of the daemon, which retries
	// occasionally.
	Refused
	// Deputy: the daemon watches for changes in addition to the leader, at lower
	// urgency.
	Deputy
	// Isolated: the daemon receives no current messages about the store, and reads
	// for itself and for the peers that it can still reach.
	Isolated
	// Leader: the daemon reads for all, without delay.
	Leader
)

// String returns the name of the role as used in logs.
func (r Role) String() string {
	return [...]string{"off", "starting", "blind", "deputy", "alone", "leader"}[r]
}

// Reads reports whether a daemon with the role reads the store continuously.
func (r Role) Reads() bool { return r == Deputy || r == Isolated || r == Leader }

// Position is the position of a daemon among the live daemons that it knows.
type Position struct {
	// Keepers is the number of live daemons, itself included.
	Keepers int
	// WatcherIndex is its index among the chosen watchers, or NotWatcher.
	WatcherIndex int
	// HashIndex is its index among all daemons in the order of the hashes of their
	// ids; Hash is its own.
	HashIndex int
	Hash      uint64
	// Watchers are the hashes of the ids of the chosen watchers.
	Watchers []uint64
	// PeerReachable: a message from a peer has arrived recently.
	PeerReachable bool
	// Seed: other daemons are configured to contact this one first.
	Seed bool
}

// NotWatcher is the WatcherIndex of a daemon that is not a chosen watcher.
const NotWatcher = -1

// The delays that decide when a daemon starts to read the store.
const (
	// startupWait is how long a daemon waits after its start for messages about
	// who the watchers are. Daemons that start together do not know each other yet,
	// and each would conclude that it is the only one.
	startupWait = time.Second
	// relayDelayPerKeeper is the allowance for relaying a message through the
	// daemons, for each of them.
	relayDelayPerKeeper = 2 * time.Millisecond
	// takeoverStep is the delay between daemons that find messages overdue, per
	// position by HashIndex: the first of them can inform the others before they act.
	takeoverStep = 5 * time.Millisecond
)

// RoleTracker tracks the role of one daemon. It is safe for concurrent use.
type RoleTracker struct {
	// overdueAfter is the age of the last known call to the store from which on
	// messages are overdue, without the delays that depend on the number of daemons.
	overdueAfter time.Duration
	started      time.Time

	mu sync.Mutex
	// ownStatus results from this daemon's calls, peerStatus from messages of
	// peers.
	ownStatus, peerStatus StoreStatus
	// readsSince is since when the daemon has continuously had a role that reads
	// the store; zero while it has none.
	readsSince time.Time
	blind      bool
	role       Role
}

// New returns the RoleTracker of a daemon that starts now. overdue is the age of the last
// known call to the store from which on messages are overdue.
func New(now time.Time, overdueAfter time.Duration) *RoleTracker {
	return &RoleTracker{overdueAfter: overdueAfter, started: now}
}

// RecordPeerStatus records the store status received from a peer.
func (d *RoleTracker) RecordPeerStatus(n StoreStatus) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peerStatus = d.peerStatus.Merge(n)
}

// RecordCall records whether the store answered a call of this daemon, whose hash is
// given.
func (d *RoleTracker) RecordCall(now time.Time, hash uint64, answered bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := StoreStatus{Tried: now, By: hash}
	if answered {
		n.Answered = now
		d.blind = false
	}
	d.ownStatus = d.ownStatus.Merge(n)
}

// Status returns the store status to send to peers. It leaves out refusals of this
// daemon's calls while it is blind: other watchers are then chosen in its place, and
// the store may answer them.
func (d *RoleTracker) Status() StoreStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statusLocked()
}

func (d *RoleTracker) statusLocked() StoreStatus {
	own := d.ownStatus
	if d.blind {
		own.Tried = own.Answered
	}
	return d.peerStatus.Merge(own)
}

// Blind reports whether the store is unreachable for this daemon: it has had a role
// that reads the store, without an answer, for longer than the overdue time.
func (d *RoleTracker) Blind(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.readsSince.IsZero() || !d.ownStatus.Failing() {
		return d.blind
	}
	last := d.ownStatus.Answered
	if d.readsSince.After(last) {
		last = d.readsSince
	}
	d.blind = now.Sub(last) > d.overdueAfter
	return d.blind
}

// Role determines the role of this daemon and records since when it has one that
// reads the store.
func (d *RoleTracker) Role(now time.Time, s *Position) Role {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.role = d.decideRole(now, s)
	switch {
	case !d.role.Reads():
		d.readsSince = time.Time{}
	case d.readsSince.IsZero():
		d.readsSince = now
	}
	return d.role
}

func (d *RoleTracker) decideRole(now time.Time, s *Position) Role {
	switch {
	case now.Sub(d.started) < startupWait && !s.Seed:
		return Starting
	case d.blind:
		return Refused
	case s.WatcherIndex == 0:
		return Leader
	case s.WatcherIndex > 0:
		return Deputy
	case d.mustReadAlone(now, s):
		return Isolated
	default:
		return Off
	}
}

// mustReadAlone reports whether the daemon has to read the store itself, because no
// recent call by any daemon is known. Once it does so, it continues until another
// daemon has taken over.
func (d *RoleTracker) mustReadAlone(now time.Time, s *Position) bool {
	if d.role == Isolated && !d.takenOver(s) {
		return true
	}
	last := d.statusLocked().Tried
	if d.started.After(last) {
		last = d.started
	}
	return now.Sub(last) > d.takeoverAge(s)
}

// takenOver reports whether the last known call was answered and made by a chosen
// watcher, or by a daemon with a lower hash.
func (d *RoleTracker) takenOver(s *Position) bool {
	if !d.peerStatus.Tried.After(d.ownStatus.Tried) || d.peerStatus.Failing() {
		return false
	}
	for _, w := range s.Watchers {
		if d.peerStatus.By == w {
			return true
		}
	}
	return d.peerStatus.By < s.Hash
}

// takeoverAge is the age of the last known call to the store above which this daemon
// reads the store itself. Without contact to any peer it does not wait for others.
func (d *RoleTracker) takeoverAge(s *Position) time.Duration {
	if !s.PeerReachable {
		return d.overdueAfter
	}
	return d.overdueAfter + MaxRelayDelay(s.Keepers) + time.Duration(s.HashIndex)*takeoverStep
}

// MaxRelayDelay returns the maximum delay between the first and the last of the given
// number of daemons receiving a message.
func MaxRelayDelay(keepers int) time.Duration { return time.Duration(keepers) * relayDelayPerKeeper }
