package grpcpeer

import (
	"sync"
	"time"

	"github.com/dragonflyrail/dragonflyrail/internal/core/membership"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// Identity is what a daemon reports about itself. It is safe for concurrent use.
type Identity struct {
	mu     sync.Mutex
	member membership.Member
}

// NewIdentity returns the identity of a daemon that starts now. The incarnation
// defaults to the start time, as hosts have no persistent storage. ExceedIncarnation corrects it
// if the clock was set back.
func NewIdentity(m port.Member) *Identity {
	incarnation := m.Incarnation
	if incarnation == 0 {
		incarnation = uint64(time.Now().UnixNano())
	}
	return &Identity{member: membership.Member{
		ID: m.ID, Role: m.Role, Incarnation: incarnation,
		FailureDomain: m.FailureDomain, Host: m.Host,
		CallerAddress: m.CallerAddress, AdminAddress: m.AdminAddress, PeerAddress: m.PeerAddress,
		State: port.MemberLive, Capacity: m.Capacity,
	}}
}

// ID returns the daemon's id.
func (i *Identity) ID() string { return i.member.ID }

// Next increments the sequence and returns the member for the next heartbeat.
func (i *Identity) Next() membership.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.member.Sequence++
	return i.member
}

// Current returns the member without incrementing the sequence.
func (i *Identity) Current() membership.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.member
}

// SetLeaving makes later heartbeats report that the daemon leaves.
func (i *Identity) SetLeaving() {
	i.mu.Lock()
	i.member.Left = true
	i.mu.Unlock()
}

// SetPlatformUnreachable sets whether later heartbeats report that the platform is unreachable.
func (i *Identity) SetPlatformUnreachable(blind bool) {
	i.mu.Lock()
	i.member.PlatformUnreachable = blind
	i.mu.Unlock()
}

// SetLostPools sets the pools that later heartbeats report as lost, in ascending order.
// The slice must not be modified afterwards.
func (i *Identity) SetLostPools(pools []string) {
	i.mu.Lock()
	i.member.LostPools = pools
	i.mu.Unlock()
}

// SetLoadPercent sets the share of the host's capacity that later heartbeats report as
// in use.
func (i *Identity) SetLoadPercent(percent uint32) {
	i.mu.Lock()
	i.member.LoadPercent = percent
	i.mu.Unlock()
}

// ExceedIncarnation raises the incarnation above one that other daemons hold for this id, and
// reports whether it did. A larger incarnation comes from an earlier process whose
// clock was ahead. If it were not exceeded, other daemons would treat the heartbeats
// of this process as late messages of the earlier one.
func (i *Identity) ExceedIncarnation(seen uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if seen <= i.member.Incarnation {
		return false
	}
	i.member.Incarnation = seen + 1
	i.member.Sequence = 0
	return true
}

// Refute raises the sequence to one that other daemons hold for this incarnation, so
// that the next heartbeat overrides the state that they derived.
func (i *Identity) Refute(incarnation, sequence uint64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.member.Incarnation == incarnation && i.member.Sequence < sequence {
		i.member.Sequence = sequence
	}
}

// nextReport returns the report for the next heartbeat.
func (i *Identity) nextReport(highest, digest uint64) *selfReport {
	m := i.Next()
	return &selfReport{member: m, highest: highest, digest: digest}
}

// selfReport is the part of a heartbeat that describes the sender: the member, the
// highest record version and the digest of its records.
type selfReport struct {
	member          membership.Member
	highest, digest uint64
}
