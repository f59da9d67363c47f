// Package membership holds the replicated state of daemons and endpoints as
// join-semilattices, and the failure detector that classifies daemons whose
// heartbeats stop.
package membership

import (
	"cmp"
	"slices"

	"github.com/dragonflyrail/dragonflyrail/internal/core/spread"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Condition is the reason for a member's state.
type Condition string

// The conditions.
const (
	ConditionNone Condition = ""
	// ConditionSilent: heartbeats stopped and no probe has finished yet.
	ConditionSilent Condition = "silent"
	// ConditionFrozen: the host accepts connections but the process doesn't
	// answer. It may resume at any moment.
	ConditionFrozen Condition = "frozen"
	// ConditionRefused: the host refuses connections, so the process has ended.
	ConditionRefused Condition = "refused"
	// ConditionUnreachable: no probe got a response.
	ConditionUnreachable Condition = "unreachable"
	// ConditionLinkCut: the member answered a probe, so only a link is down.
	ConditionLinkCut Condition = "link_cut"
)

// Member is the replicated state of one daemon.
type Member struct {
	ID            string
	Role          port.MemberRole
	Incarnation   uint64
	FailureDomain string
	Host          string
	CallerAddress string
	AdminAddress  string
	PeerAddress   string
	// Left is set once the member announces that it is shutting down, and stays
	// set within the incarnation.
	Left bool
	// Sequence is the number of the heartbeat that State is based on. The next
	// heartbeat of a member that was declared dead overrides that state.
	Sequence  uint64
	State     port.MemberState
	Condition Condition
	// DecidedBy is the keeper that determined State.
	DecidedBy string
	// PlatformUnreachable is set by a keeper that can't reach the platform.
	PlatformUnreachable bool
	// LostPools are the pools of which the member reaches no endpoint, in ascending
	// order. It is not modified.
	LostPools []string
	// Capacity is the capacity of the member's host. It stays set within the
	// incarnation.
	Capacity port.HostCapacity
	// LoadPercent is the share of the capacity in use, in steps of 25.
	LoadPercent uint32
}

func stateRank(s port.MemberState) int {
	switch s {
	case port.MemberJoining:
		return 0
	case port.MemberLive:
		return 1
	case port.MemberSuspect:
		return 2
	default:
		return 3
	}
}

// MemberOrder is the semilattice of members. The larger incarnation replaces
// the smaller one entirely; within an incarnation Left and the capacity stay set and
// the state with the larger heartbeat sequence wins.
//
// Daemons of earlier builds pass entries on without the capacity. If it didn't stay
// set, a member would renew its own entry each time it comes back from one of them.
type MemberOrder struct{}

// Key is the member's id.
func (MemberOrder) Key(m Member) string { return m.ID }

// Join returns the least upper bound.
func (MemberOrder) Join(a, b Member) Member {
	newer := a
	if compareMembers(&a, &b) < 0 {
		newer = b
	}
	if a.Incarnation == b.Incarnation {
		newer.Left = a.Left || b.Left
		newer.Capacity = port.HostCapacity{
			ProcessorMilli: max(a.Capacity.ProcessorMilli, b.Capacity.ProcessorMilli),
			LinkKbps:       max(a.Capacity.LinkKbps, b.Capacity.LinkKbps),
		}
	}
	return newer
}

// compareMembers is a total order over all fields except Left and Capacity. Identity fields
// don't change within an incarnation; they are compared so that two members
// misconfigured with the same id still converge to one state on all daemons.
func compareMembers(a, b *Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Sequence, b.Sequence),
		cmp.Compare(stateRank(a.State), stateRank(b.State)),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Condition, b.Condition),
		cmp.Compare(a.DecidedBy, b.DecidedBy),
		compareBools(a.PlatformUnreachable, b.PlatformUnreachable),
		slices.Compare(a.LostPools, b.LostPools),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
		cmp.Compare(a.CallerAddress, b.CallerAddress),
		cmp.Compare(a.AdminAddress, b.AdminAddress),
		cmp.Compare(a.Host, b.Host),
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.Role, b.Role),
		// Last, so that daemons of earlier builds, which don't know the load, choose the
		// same entry.
		cmp.Compare(a.LoadPercent, b.LoadPercent),
	)
}

// Hash covers all fields.
func (MemberOrder) Hash(m Member) uint64 {
	h := spread.NewHasher()
	h.String(m.ID)
	h.String(string(m.Role))
	h.Uint64(m.Incarnation)
	h.String(m.FailureDomain)
	h.String(m.Host)
	h.String(m.CallerAddress)
	h.String(m.AdminAddress)
	h.String(m.PeerAddress)
	h.Bool(m.Left)
	h.Uint64(m.Sequence)
	h.String(string(m.State))
	h.String(string(m.Condition))
	h.String(m.DecidedBy)
	h.Bool(m.PlatformUnreachable)
	// Daemons of earlier builds compute the hash without the lost pools, so that it
	// only differs while there are any.
	for _, pool := range m.LostPools {
		h.String(pool)
	}
	// The same holds for the capacity and the load.
	if m.Capacity != (port.HostCapacity{}) || m.LoadPercent != 0 {
		h.Bool(true)
		h.Uint64(uint64(m.Capacity.ProcessorMilli))
		h.Uint64(uint64(m.Capacity.LinkKbps))
		h.Uint64(uint64(m.LoadPercent))
	}
	return h.Sum()
}

// Effective returns the state that other daemons act on: a member that
// announced its shutdown is leaving until it is dead.
func (m *Member) Effective() port.MemberState {
	if m.Left && m.State != port.MemberDead {
		return port.MemberLeaving
	}
	return m.State
}

// Reachable reports whether the member can be connected to.
func (m *Member) Reachable() bool {
	return m.State == port.MemberLive || m.State == port.MemberJoining
}

// Port converts the member to the type of package port.
func (m *Member) Port() port.Member {
	return port.Member{
		ID: m.ID, Role: m.Role, Incarnation: m.Incarnation,
		FailureDomain: m.FailureDomain, Host: m.Host,
		CallerAddress: m.CallerAddress, AdminAddress: m.AdminAddress, PeerAddress: m.PeerAddress,
		State: m.Effective(), LostPools: m.LostPools, Capacity: m.Capacity, LoadPercent: m.LoadPercent,
	}
}

// SameReport reports whether a member reports the same about itself in two entries.
func (m *Member) SameReport(other *Member) bool {
	return m.SameReportExceptLoad(other) && m.LoadPercent == other.LoadPercent
}

// SameReportExceptLoad is SameReport without the load. Daemons of earlier builds pass
// entries on without it, so a member that renewed its entry for each difference in the
// load would do so all the time.
func (m *Member) SameReportExceptLoad(other *Member) bool {
	return m.Incarnation == other.Incarnation && m.Left == other.Left &&
		m.PlatformUnreachable == other.PlatformUnreachable && slices.Equal(m.LostPools, other.LostPools) &&
		m.Capacity == other.Capacity
}

// NewMemberTable returns an empty table of members.
func NewMemberTable() *spread.Table[Member] {
	return spread.NewTable[Member](MemberOrder{}, spread.HashKey)
}
