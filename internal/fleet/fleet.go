// Package fleet derives from the members how many daemons serve callers, and
// which place this one has among them.
package fleet

import (
	"slices"
	"sync/atomic"

	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Members is the part of the state that the fleet is derived from.
type Members interface {
	Members() []port.Member
	// Changed is closed at the next change of any of the state.
	Changed() <-chan struct{}
}

// Fleet derives from the members what each decision asks for: how many
// routers share the limits, and this one's place among them. It is read for
// every request and changes with a member only, so it is kept until the state
// changes: listing hundreds of members per request would cost more than the
// decision itself. It is safe for concurrent use.
type Fleet struct {
	selfID string
	view   Members
	kept   atomic.Pointer[snapshot]
}

// snapshot holds until changed is closed.
type snapshot struct {
	changed <-chan struct{}
	rank    int
	routers int
	keepers []string
}

// New returns the fleet as seen by the daemon of that id.
func New(selfID string, view Members) *Fleet { return &Fleet{selfID: selfID, view: view} }

func (f *Fleet) state() *snapshot {
	if s := f.kept.Load(); s != nil && !isClosed(s.changed) {
		return s
	}
	// Taken before the members are read: a change in between is seen next time.
	s := &snapshot{changed: f.view.Changed()}
	s.derive(f.selfID, f.view.Members())
	f.kept.Store(s)
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

// LiveRouters counts the routers that share the limits, this one included.
func (f *Fleet) LiveRouters() int { return f.state().routers }

// RouterRank is this router's place among the live ones, by id, and their
// count. Each router prefers the runners of its rank.
func (f *Fleet) RouterRank() (rank, live int) {
	s := f.state()
	return s.rank, s.routers
}

// LiveKeepers lists the peer addresses of the keepers known to be live.
func (f *Fleet) LiveKeepers() []string { return f.state().keepers }
