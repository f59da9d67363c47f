// Package fleet derives from the member list how many daemons serve callers and
// which rank this daemon has among them.
package fleet

import (
	"slices"
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Members is the part of the state that Fleet uses.
type Members interface {
	Members() []port.Member
	// Changed returns a channel that is closed at the next change of any of the state.
	Changed() <-chan struct{}
}

// Fleet derives from the members the number of routers that share the limits and
// this router's rank among them. Both are read for every request but change only
// with a member, so the result is cached until the state changes: to list hundreds
// of members per request would cost more than the decision itself. It is safe for
// concurrent use.
type Fleet struct {
	selfID  string
	members Members
	cached  atomic.Pointer[snapshot]
}

// snapshot is valid until changed is closed.
type snapshot struct {
	changed <-chan struct{}
	rank    int
	routers int
	keepers []string
}

// New returns the Fleet of the daemon with the id selfID.
func New(selfID string, members Members) *Fleet { return &Fleet{selfID: selfID, members: members} }

func (f *Fleet) current() *snapshot {
	if s := f.cached.Load(); s != nil && !isClosed(s.changed) {
		return s
	}
	// The channel is fetched before the members are read, so that a change in
	// between invalidates the snapshot.
	s := &snapshot{changed: f.members.Changed()}
	s.derive(f.selfID, f.members.Members())
	f.cached.Store(s)
	return s
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (s *snapshot) derive(selfID string, members []port.Member) {
	ids := []string{selfID}
	for i := range members {
		m := &members[i]
		if m.State != port.MemberLive {
			continue
		}
		if m.Role == port.RoleKeeper {
			s.keepers = append(s.keepers, m.PeerAddress)
		}
		if m.CallerAddress != "" && m.ID != selfID {
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids)
	s.rank, _ = slices.BinarySearch(ids, selfID)
	s.routers = len(ids)
}

// LiveRouters returns the number of routers that share the limits, including this
// one.
func (f *Fleet) LiveRouters() int { return f.current().routers }

// RouterRank returns this router's rank among the live routers, ordered by id, and
// their number. Each router prefers the runners of its rank.
func (f *Fleet) RouterRank() (rank, live int) {
	s := f.current()
	return s.rank, s.routers
}

// LiveKeepers returns the peer addresses of the keepers known to be live.
func (f *Fleet) LiveKeepers() []string { return f.current().keepers }
